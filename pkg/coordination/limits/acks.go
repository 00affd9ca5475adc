package limits

import (
	"sync"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// ackLog tracks up to which revision each listed VM has applied the records.
type ackLog struct {
	mu      sync.Mutex
	self    ids.VMID
	applied map[ids.VMID]ids.Revision
	// matched is, for each peer, the highest revision that the peer reported
	// and that this VM had applied too when it compared. Only such an
	// acknowledgement counts: a peer that is ahead may have skipped the
	// revision that lowers its share.
	matched   map[ids.VMID]ids.Revision
	listed    []ids.VMID
	listKnown bool
	// advances records since when every listed VM had applied a revision, so
	// that a bucket that is updated late earns its raise from that time on.
	advances []advance
}

// advance is a revision that all listed VMs had applied at a time.
type advance struct {
	revision ids.Revision
	at       int64
}

// maxAdvances bounds the remembered advances. In place of a forgotten one the
// next is used, which is later and therefore safe.
const maxAdvances = 64

func newAckLog(self ids.VMID) *ackLog {
	return &ackLog{self: self, applied: map[ids.VMID]ids.Revision{}, matched: map[ids.VMID]ids.Revision{}}
}

// observe records the revision up to which a VM has applied all records.
func (a *ackLog) observe(now int64, vm ids.VMID, revision ids.Revision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if revision <= a.applied[vm] {
		return
	}
	a.applied[vm] = revision
	if vm == a.self {
		for peer := range a.applied {
			a.match(peer)
		}
	} else {
		a.match(vm)
	}
	a.refresh(now)
}

// match counts the reported revision of a VM if this VM has applied it too.
func (a *ackLog) match(vm ids.VMID) {
	if revision := a.applied[vm]; revision <= a.applied[a.self] {
		a.matched[vm] = max(a.matched[vm], revision)
	}
}

// list sets the VMs whose acknowledgements a raise needs, and forgets all
// others.
func (a *ackLog) list(now int64, vms []VM) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.listKnown = true
	a.listed = a.listed[:0]
	applied, matched := map[ids.VMID]ids.Revision{}, map[ids.VMID]ids.Revision{}
	applied[a.self] = a.applied[a.self]
	for _, vm := range vms {
		applied[vm.ID], matched[vm.ID] = a.applied[vm.ID], a.matched[vm.ID]
		if vm.ID != a.self {
			a.listed = append(a.listed, vm.ID)
		}
	}
	a.applied, a.matched = applied, matched
	a.refresh(now)
}

// refresh records an advance if the lowest matched revision of the listed VMs
// has risen.
func (a *ackLog) refresh(now int64) {
	if !a.listKnown {
		return
	}
	least := a.applied[a.self]
	for _, vm := range a.listed {
		least = min(least, a.matched[vm])
	}
	if n := len(a.advances); n > 0 && least <= a.advances[n-1].revision {
		return
	}
	a.advances = append(a.advances, advance{revision: least, at: now})
	if len(a.advances) > maxAdvances {
		a.advances = append(a.advances[:0], a.advances[1:]...)
	}
}

// allAppliedSince returns the time since which every listed VM has applied a
// revision, and reports whether they all have.
func (a *ackLog) allAppliedSince(revision ids.Revision) (int64, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, adv := range a.advances {
		if adv.revision >= revision {
			return adv.at, true
		}
	}
	return 0, false
}

// pendingOn returns the listed VMs that have not acknowledged a revision.
func (a *ackLog) pendingOn(revision ids.Revision) []ids.VMID {
	a.mu.Lock()
	defer a.mu.Unlock()
	var pending []ids.VMID
	for _, vm := range a.listed {
		if a.matched[vm] < revision {
			pending = append(pending, vm)
		}
	}
	return pending
}
