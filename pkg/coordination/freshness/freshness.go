// Package freshness keeps the proof that a VM's configuration is current. A
// proof is the moment at which a read was sent whose answer showed the state
// that is in force here.
package freshness

import (
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Proof is what a VM knows of the state of its configuration.
type Proof struct {
	at      time.Time
	through ids.Revision
	any     bool
}

// Confirm takes an answer of the platform to a read sent at the given time.
// Through is the revision through which the answer was applied.
func (p *Proof) Confirm(sent time.Time, through ids.Revision) {
	if !p.any || sent.After(p.at) {
		p.at, p.through, p.any = sent, max(p.through, through), true
	}
}

// Relay takes a peer's word: at some moment after asked the peer's proof for a
// revision had the given age. It counts only if this VM has applied everything
// that the peer had.
func (p *Proof) Relay(asked time.Time, age time.Duration, theirs, applied ids.Revision) {
	if age < 0 || applied < theirs {
		return
	}
	p.Confirm(asked.Add(-age), theirs)
}

// Age returns the age of the proof, and false if there is none.
func (p *Proof) Age(now time.Time) (time.Duration, bool) {
	return now.Sub(p.at), p.any
}
