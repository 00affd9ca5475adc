package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
)

// history remembers which VMs were live in the lists that were held. It keeps
// one time for each VM and not the lists: a thousand lists a day of 420 VMs
// would take more than half of a VM's memory.
type history struct {
	// start is since when every list was seen, none missed in between.
	start time.Time
	// selfSince is since when the VM itself is live in every list; zero when
	// it is not.
	selfSince time.Time
	// left tells when a VM that is live no more was last live.
	left map[ids.VMID]departure
}

type departure struct {
	vm platformapi.VM
	at time.Time
}

func newHistory() history {
	return history{left: make(map[ids.VMID]departure)}
}

func (h *history) observe(now time.Time, self ids.VMID, old, next *List, gap bool) {
	if gap {
		h.start = now
	}
	h.observeSelf(now, self, next, gap)
	for _, vm := range old.Live() {
		if after, listed := next.VM(vm.ID); !listed || after.State != platformapi.VMLive {
			h.left[vm.ID] = departure{vm: vm, at: now}
		}
	}
	for id, gone := range h.left {
		if now.Sub(gone.at) > HistoryTerm {
			delete(h.left, id)
		}
	}
}

func (h *history) observeSelf(now time.Time, self ids.VMID, next *List, gap bool) {
	vm, listed := next.VM(self)
	if !listed || vm.State != platformapi.VMLive {
		h.selfSince = time.Time{}
		return
	}
	if gap || h.selfSince.IsZero() {
		h.selfSince = now
	}
}

// SelfLiveSince returns since when the VM itself is live in every list, none
// missed; ok is false when it is not live in the newest one.
func (m *Members) SelfLiveSince() (since time.Time, ok bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.history.selfSince, !m.history.selfSince.IsZero()
}

// HistoryStart returns since when no list was missed. Lists are numbered one
// by one, so that a jump of the revision shows a missed list.
func (m *Members) HistoryStart() time.Time {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.history.start
}

// LiveSince lists every VM that was live in some list held since a moment, in
// order of id. It is complete when the moment is not before HistoryStart.
func (m *Members) LiveSince(moment time.Time) []platformapi.VM {
	m.mu.RLock()
	defer m.mu.RUnlock()
	list := m.List()
	union := slices.Clone(list.Live())
	for id, gone := range m.history.left {
		now, listed := list.VM(id)
		liveAgain := listed && now.State == platformapi.VMLive
		if !liveAgain && !gone.at.Before(moment) {
			union = append(union, gone.vm)
		}
	}
	slices.SortFunc(union, func(a, b platformapi.VM) int { return cmp.Compare(a.ID, b.ID) })
	return union
}
