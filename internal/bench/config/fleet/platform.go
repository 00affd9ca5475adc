package fleet

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
)

// platformDelay is the one-way time to the platform and its processing.
const platformDelay = 2 * time.Millisecond

// Platform is the simulated configuration service with its VM list.
type Platform struct {
	sim *Sim

	// Down fails every call; FrozenAt, when not zero, answers every call as of
	// that record revision and FrozenList that list revision.
	Down       bool
	FrozenAt   ids.Revision
	FrozenList ids.Revision
	// ListLag returns how old a list the next reader gets.
	ListLag func() time.Duration

	events  []platformapi.Event
	current map[string]int
	lists   []datedList
	waiters []*waiter

	started  map[int64]int
	waiting  int
	peakHeld map[int64]int
	total    int
}

type datedList struct {
	list platformapi.VMList
	at   time.Time
}

type waiter struct {
	done bool
	wake func(timeout bool)
}

func newPlatform(sim *Sim) *Platform {
	return &Platform{
		sim:      sim,
		ListLag:  func() time.Duration { return 0 },
		current:  make(map[string]int),
		started:  make(map[int64]int),
		peakHeld: make(map[int64]int),
	}
}

// Publish publishes a record and returns its revision.
func (p *Platform) Publish(key, value string) ids.Revision {
	return p.change(platformapi.Event{Key: key, Value: json.RawMessage(value)})
}

// Withdraw withdraws a record and returns the revision of the withdrawal.
func (p *Platform) Withdraw(key string) ids.Revision {
	return p.change(platformapi.Event{Key: key, Deleted: true})
}

func (p *Platform) change(event platformapi.Event) ids.Revision {
	event.Revision = ids.Revision(len(p.events) + 1)
	p.current[event.Key] = len(p.events)
	p.events = append(p.events, event)
	p.wakeAll()
	return event.Revision
}

// Revision returns the newest record revision.
func (p *Platform) Revision() ids.Revision { return ids.Revision(len(p.events)) }

// PutList publishes a VM list.
func (p *Platform) PutList(vms []platformapi.VM) ids.Revision {
	revision := ids.Revision(len(p.lists) + 1)
	p.lists = append(p.lists, datedList{
		list: platformapi.VMList{Revision: revision, VMs: slices.Clone(vms)},
		at:   p.sim.Now(),
	})
	p.wakeAll()
	return revision
}

// visible returns the revision that readers see.
func (p *Platform) visible() ids.Revision {
	if p.FrozenAt > 0 {
		return min(p.FrozenAt, p.Revision())
	}
	return p.Revision()
}

func (p *Platform) changesAfter(after ids.Revision) platformapi.Changes {
	changes := platformapi.Changes{Revision: p.visible()}
	for i := int(after); i < int(changes.Revision); i++ {
		changes.Events = append(changes.Events, p.events[i])
	}
	return changes
}

func (p *Platform) listing() platformapi.Listing {
	listing := platformapi.Listing{Revision: p.visible()}
	latest := make(map[string]platformapi.Event)
	for _, event := range p.events[:listing.Revision] {
		latest[event.Key] = event
	}
	for key, event := range latest {
		if !event.Deleted {
			listing.Items = append(listing.Items, platformapi.Item{Key: key, Revision: event.Revision, Value: event.Value})
		}
	}
	return listing
}

func (p *Platform) vmList() platformapi.VMList {
	seen := p.sim.Now().Add(-p.ListLag())
	var newest platformapi.VMList
	for i, dated := range p.lists {
		frozen := p.FrozenList > 0 && dated.list.Revision > p.FrozenList
		if i > 0 && (dated.at.After(seen) || frozen) {
			break
		}
		newest = dated.list
	}
	return newest
}

// call counts a call and passes the answer on after the delay. ready tells
// whether there is an answer now; otherwise the call waits up to wait.
func (p *Platform) call(wait time.Duration, ready func() bool, answer func(), fail func()) {
	p.count()
	p.sim.After(platformDelay, func() {
		if p.Down {
			p.sim.After(platformDelay, fail)
			return
		}
		if wait <= 0 || ready() {
			p.sim.After(platformDelay, answer)
			return
		}
		p.hold(wait, ready, answer, fail)
	})
}

// hold keeps a call waiting until there is an answer or its wait is over.
func (p *Platform) hold(wait time.Duration, ready func() bool, answer, fail func()) {
	w := &waiter{}
	p.waiting++
	w.wake = func(timeout bool) {
		if w.done || (!timeout && !ready()) {
			return
		}
		w.done = true
		p.waiting--
		if p.Down {
			p.sim.After(platformDelay, fail)
			return
		}
		p.sim.After(platformDelay, answer)
	}
	p.waiters = append(p.waiters, w)
	p.sim.After(wait, func() { w.wake(true) })
}

func (p *Platform) wakeAll() {
	held := p.waiters
	p.waiters = nil
	for _, w := range held {
		w.wake(false)
		if !w.done {
			p.waiters = append(p.waiters, w)
		}
	}
}

func (p *Platform) count() {
	second := int64(p.sim.Elapsed() / time.Second)
	p.total++
	p.started[second]++
	p.peakHeld[second] = max(p.peakHeld[second], p.waiting)
}

// Load is the calls of one second: those that started, and those that waited.
type Load struct {
	Started, Waiting int
}

// LoadBetween returns the mean and the largest load of the seconds in a span.
func (p *Platform) LoadBetween(from, to time.Duration) (mean float64, peak int) {
	seconds := 0
	for second := int64(from / time.Second); second < int64(to/time.Second); second++ {
		load := p.started[second] + p.peakHeld[second]
		mean += float64(load)
		peak = max(peak, load)
		seconds++
	}
	return mean / float64(max(seconds, 1)), peak
}
