package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
)

// history records which VMs were live in past lists and which lists were
// missed. It keeps one time per VM instead of the lists: at a thousand lists
// a day, the lists of 420 VMs would take more than half of a VM's memory.
type history struct {
	// completeSince is the start of the period in which no list was missed.
	completeSince time.Time
	// selfLiveSince is when this VM became live, counted over consecutive
	// lists without a gap; zero while it is not live.
	selfLiveSince time.Time
	// departures holds, for each VM that is no longer live, when it was last
	// live. Entries expire after HistoryRetention.
	departures map[ids.VMID]departure
}

// departure is a VM that is no longer live and when the list without it was
// observed.
type departure struct {
	vm     platformapi.VM
	leftAt time.Time
}

func newHistory() history {
	return history{departures: make(map[ids.VMID]departure)}
}

// recordChange records which VMs stopped being live between the old and the
// next list. gap reports that lists between the two were missed.
func (h *history) recordChange(now time.Time, self ids.VMID, old, next *List, gap bool) {
	if gap {
		h.completeSince = now
	}
	h.updateSelfLiveSince(now, self, next, gap)
	for _, vm := range old.Live() {
		if current, listed := next.VM(vm.ID); !listed || current.State != platformapi.VMLive {
			h.departures[vm.ID] = departure{vm: vm, leftAt: now}
		}
	}
	for id, departed := range h.departures {
		if now.Sub(departed.leftAt) > HistoryRetention {
			delete(h.departures, id)
		}
	}
}

func (h *history) updateSelfLiveSince(now time.Time, self ids.VMID, next *List, gap bool) {
	vm, listed := next.VM(self)
	if !listed || vm.State != platformapi.VMLive {
		h.selfLiveSince = time.Time{}
		return
	}
	if gap || h.selfLiveSince.IsZero() {
		h.selfLiveSince = now
	}
}

// SelfLiveSince returns since when this VM has been live in every list, with
// no list missed; ok is false if it is not live in the newest list.
func (m *Members) SelfLiveSince() (since time.Time, ok bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.history.selfLiveSince, !m.history.selfLiveSince.IsZero()
}

// HistoryCompleteSince returns the start of the period in which no list was
// missed. List revisions are consecutive, so a jump in the revision reveals a
// missed list.
func (m *Members) HistoryCompleteSince() time.Time {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.history.completeSince
}

// LiveSince returns every VM that was live in some list at or after since,
// sorted by ID. The result is complete if since is not before
// HistoryCompleteSince.
func (m *Members) LiveSince(since time.Time) []platformapi.VM {
	m.mu.RLock()
	defer m.mu.RUnlock()
	list := m.List()
	vms := slices.Clone(list.Live())
	for id, departed := range m.history.departures {
		current, listed := list.VM(id)
		liveAgain := listed && current.State == platformapi.VMLive
		if !liveAgain && !departed.leftAt.Before(since) {
			vms = append(vms, departed.vm)
		}
	}
	slices.SortFunc(vms, func(a, b platformapi.VM) int { return cmp.Compare(a.ID, b.ID) })
	return vms
}
