// Package freshness tracks how recently a VM's configuration was known to be
// current. The evidence is either a read from the platform, or a peer's
// evidence for a revision that this VM has applied too. The age of that
// evidence counts from the time at which the read was sent. The node asks for
// it to decide whether it may still serve.
package freshness

import (
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Proof records the latest evidence that the configuration of a VM is current.
// It is not safe for concurrent use.
type Proof struct {
	// provenAt is the time for which the evidence holds, and through the revision
	// that it covers. any is set once there is evidence.
	provenAt time.Time
	through  ids.Revision
	any      bool
}

// Confirm records an answer from the platform. sent is the time at which the
// read was sent, and through is the revision up to which the answer was
// applied. A read that was sent earlier than the recorded one is ignored.
func (p *Proof) Confirm(sent time.Time, through ids.Revision) {
	if !p.any || sent.After(p.provenAt) {
		p.provenAt, p.through, p.any = sent, max(p.through, through), true
	}
}

// ConfirmFromPeer records a proof reported by a peer: at some moment after
// asked, the peer's proof for peerRevision had the given age. It is ignored
// unless this VM has applied every revision that the peer had, and if the age
// is negative.
func (p *Proof) ConfirmFromPeer(asked time.Time, age time.Duration, peerRevision, appliedRevision ids.Revision) {
	if age < 0 || appliedRevision < peerRevision {
		return
	}
	p.Confirm(asked.Add(-age), peerRevision)
}

// Age returns the age of the proof, and reports whether there is a proof.
func (p *Proof) Age(now time.Time) (time.Duration, bool) {
	return now.Sub(p.provenAt), p.any
}
