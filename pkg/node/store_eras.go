package node

import (
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/mirror"
)

// A store that comes back from a copy begins a new era. What it has lost is
// written again soon.
const (
	// DefaultRestoreSettleTime is the default of Settings.RestoreSettleTime. Endpoints
	// have written again after two seconds, and operators are taken to need no longer.
	DefaultRestoreSettleTime = 2500 * time.Millisecond
	// MaxRestoreSettleTime bounds the setting: requests with a key are refused for so
	// long after each return of the store.
	MaxRestoreSettleTime = time.Minute
	// lostEndpointHold is how long an endpoint is used that the store has lost.
	// Endpoints that are alive are back within two seconds.
	lostEndpointHold = 2 * time.Second
	// heartbeatsUntilRemoved is the number of missed heartbeats after which the
	// store removes an endpoint, and removalMargin the time that this may take
	// longer.
	heartbeatsUntilRemoved = 3
	removalMargin          = time.Second
	defaultHeartbeat       = 1500 * time.Millisecond
	// maxCopyAge is the age of the oldest copy from which a store may come back.
	maxCopyAge = 2 * time.Minute
)

func newMirror(records Records, settings Settings) *mirror.Mirror {
	if records == nil {
		return mirror.New()
	}
	heartbeat := settings.EndpointHeartbeat
	if heartbeat <= 0 {
		heartbeat = defaultHeartbeat
	}
	return mirror.NewWithRetention(records.Rank, records.Content, mirror.RetentionConfig{
		SettleTime: settings.restoreSettleTime(),
		LostHold:   lostEndpointHold,
		MaxCopyAge: maxCopyAge,

		OutdatedHold: heartbeatsUntilRemoved*heartbeat + removalMargin,
	})
}

// restoreSettleTime returns the setting or its default.
func (s Settings) restoreSettleTime() time.Duration {
	if s.RestoreSettleTime <= 0 {
		return DefaultRestoreSettleTime
	}
	return s.RestoreSettleTime
}

// mayProve reports whether a read of the store that was sent at a boot time proves
// that the configuration is current. Soon after a store came back from a copy,
// changes that this VM has never seen may be missing.
func (n *Node) mayProve(sent time.Time) bool {
	return n.mirror.UntilSettled(sent) == 0
}

// expireRetained ends the use of endpoints' records that the store did not confirm
// in time, as far as the proof shows.
func (n *Node) expireRetained() {
	age, proven := n.proofAge()
	if !proven || n.mirror.RetainedHash() == 0 {
		return
	}
	n.recordsMu.Lock()
	defer n.recordsMu.Unlock()
	n.applyItems(n.mirror.Expire(n.bootTime().Add(-age)), "end of retention")
}

// maxLoggedKeys limits the keys in one log line.
const maxLoggedKeys = 20

func (n *Node) logEra(before, after mirror.Position, from string) {
	if before.Era == 0 {
		return
	}
	retained := n.mirror.RetainedKeys()
	age, ageKnown := n.mirror.EraAge(n.bootTime())
	n.logInfo("store era changed", fields{
		"era": after.Era, "through": after.Revision, "eraBefore": before.Era, "throughBefore": before.Revision, "from": from,
		"ageKnown": ageKnown, "ageMs": age.Milliseconds(), "retained": len(retained), "retainedKeys": retained[:min(len(retained), maxLoggedKeys)],
	})
}

// eraState is what a state message says of the sender's copy of the store.
type eraState struct {
	// Era is that of the revisions in the message.
	Era ids.Era `json:"era,omitempty"`
	// RetainedHash identifies the records of earlier eras that the sender keeps in
	// effect; 0 for none.
	RetainedHash uint64 `json:"retainedHash,omitempty"`
	// EraAgeMs is the age of the era; nil if the sender does not know it.
	EraAgeMs *int64 `json:"eraAge,omitempty"`
}

func (n *Node) eraState(status mirror.Status) eraState {
	state := eraState{Era: status.Era, RetainedHash: status.RetainedHash}
	if age, known := n.mirror.EraAge(n.bootTime()); known {
		ms := age.Milliseconds()
		state.EraAgeMs = &ms
	}
	return state
}

// lacks reports whether a peer's copy of the store has something that this VM's
// lacks.
func (n *Node) lacks(peer stateMessage) bool {
	own := n.mirror.Status()
	switch {
	case peer.Era != own.Era:
		return peer.Era > own.Era
	case peer.RetainedHash != 0 && peer.RetainedHash != own.RetainedHash:
		return true
	}
	return peer.Through > own.Revision && !n.mirror.SkipTo(peer.mirrorStatus())
}

// mirrorStatus returns the status of the sender's copy of the store.
func (s stateMessage) mirrorStatus() mirror.Status {
	return mirror.Status{Position: mirror.Position{Era: s.Era, Revision: s.Through}, Digest: s.Digest, RetainedHash: s.RetainedHash}
}

// coversPeer reports whether this VM's copy of the store has all that a peer's has.
func (n *Node) coversPeer(peer stateMessage) bool {
	own := n.mirror.Status()
	return peer.Era == own.Era && peer.Through <= own.Revision && (peer.RetainedHash == 0 || peer.RetainedHash == own.RetainedHash) && !differs(own, peer)
}

// differs reports whether a peer's copy of the store has other records at the same
// position.
func differs(own mirror.Status, peer stateMessage) bool {
	return own.Position == mirror.Position{Era: peer.Era, Revision: peer.Through} && own.Digest != peer.Digest
}

// copyCheckInterval is the least time between two listings of the store that are read
// since this VM's copy differs from a peer's. VMs of two versions may read records
// differently for as long as both run.
const copyCheckInterval = 10 * time.Second

// checkCopy has the store listed if this VM's copy of it differs from a peer's at the
// same position: one of the two misses a change that nothing would correct.
func (n *Node) checkCopy(peer stateMessage) {
	own := n.mirror.Status()
	if !differs(own, peer) {
		return
	}
	now := n.bootTime().UnixNano()
	last := n.copyCheckedAt.Load()
	if now-last < int64(copyCheckInterval) || !n.copyCheckedAt.CompareAndSwap(last, now) {
		return
	}
	n.logInfo("copy of the store differs from a peer's, listing the store", fields{"peer": peer.ID, "era": own.Era, "through": own.Revision, "digest": own.Digest, "peerDigest": peer.Digest})
	n.copyDiffers.Store(true)
	n.wakeStoreReader.wake()
}
