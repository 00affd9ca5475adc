// Package platform simulates the operators' platform: the configuration
// service, which stores records and lets readers watch them, and the VM list.
// It counts the calls of readers and can inject faults.
package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/internal/standin"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
)

// DefaultCallsPerSecond is the rate that the real configuration service allows
// for all readers together.
const DefaultCallsPerSecond = 2000

// Config configures the platform.
type Config struct {
	// Listen is the address to listen on. Empty stands for a free loopback
	// port.
	Listen string
	// CallsPerSecond bounds the calls of all readers; calls above it get
	// status 429. Zero stands for DefaultCallsPerSecond.
	CallsPerSecond int
}

// Faults selects the faults that the platform injects.
type Faults struct {
	// Down makes all calls of readers fail, including watches that are
	// waiting.
	Down bool `json:"down"`
	// SlowMillis delays each call of a reader, in milliseconds.
	SlowMillis int `json:"slowMillis"`
	// StaleRevision makes the platform return the records as of this revision.
	// Zero disables the fault.
	StaleRevision ids.Revision `json:"staleRevision"`
	// VMListLagMillis is the delay after which a published VM list becomes
	// visible to readers, in milliseconds.
	VMListLagMillis int `json:"vmListLagMillis"`
}

// Calls counts the calls of readers.
type Calls struct {
	Total    int `json:"total"`
	Listings int `json:"listings"`
	Watches  int `json:"watches"`
	VMLists  int `json:"vmLists"`
	// Refused counts the calls above the allowed rate.
	Refused int `json:"refused"`
	// Waiting is the number of watches that are waiting now.
	Waiting int `json:"waiting"`
	// MaxWaiting is the largest number of watches that waited at once.
	MaxWaiting int `json:"maxWaiting"`
}

// publishedVMList is a VM list and the time at which it was published.
type publishedVMList struct {
	list        platformapi.VMList
	publishedAt time.Time
}

// Platform is a running simulated platform. mu guards all fields below it.
type Platform struct {
	*standin.Server

	callsPerSecond int

	mu sync.Mutex
	// changeLog holds all changes of records in order; entry i has revision
	// i+1.
	changeLog []platformapi.Event
	// compacted is the lowest revision from which a watch can still start.
	compacted ids.Revision
	vmLists   []publishedVMList
	faults    Faults
	calls     Calls
	// windowStart is the start of the current window of one second,
	// callsInWindow the number of readers' calls in it.
	windowStart   time.Time
	callsInWindow int
	// changed is closed and replaced whenever the response to a watch may have
	// changed.
	changed chan struct{}
}

// Start starts the platform. It stops when ctx ends.
func Start(ctx context.Context, cfg Config) (*Platform, error) {
	p := &Platform{callsPerSecond: cfg.CallsPerSecond, changed: make(chan struct{})}
	if p.callsPerSecond == 0 {
		p.callsPerSecond = DefaultCallsPerSecond
	}
	server, err := standin.Serve(ctx, cfg.Listen, p.routes())
	if err != nil {
		return nil, err
	}
	p.Server = server
	return p, nil
}

// Put publishes a record under a key of the form kind/id and returns the
// revision of the change.
func (p *Platform) Put(key string, value json.RawMessage) ids.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.appendEvent(platformapi.Event{Key: key, Value: value})
}

// Delete withdraws a record and returns the revision of the change.
func (p *Platform) Delete(key string) ids.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.appendEvent(platformapi.Event{Key: key, Deleted: true})
}

// PutVMs publishes a VM list and returns its revision.
func (p *Platform) PutVMs(vms []platformapi.VM) ids.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	revision := ids.Revision(len(p.vmLists) + 1)
	p.vmLists = append(p.vmLists, publishedVMList{list: platformapi.VMList{Revision: revision, VMs: vms}, publishedAt: time.Now()})
	p.notifyWatches()
	return revision
}

// Compact makes watches that start after a revision lower than through fail
// with status 410.
func (p *Platform) Compact(through ids.Revision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.compacted = through
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	p.notifyWatches()
}

// Faults returns the injected faults.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Calls returns the counters of the readers' calls.
func (p *Platform) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Revision returns the newest revision of the records, regardless of faults.
func (p *Platform) Revision() ids.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return ids.Revision(len(p.changeLog))
}

// appendEvent appends a change to the log and returns its revision. The caller
// holds p.mu.
func (p *Platform) appendEvent(event platformapi.Event) ids.Revision {
	event.Revision = ids.Revision(len(p.changeLog) + 1)
	p.changeLog = append(p.changeLog, event)
	p.notifyWatches()
	return event.Revision
}

// notifyWatches makes waiting watches check again whether they have something
// to return. The caller holds p.mu.
func (p *Platform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// visibleEvents returns the changes that readers can see, which the fault
// StaleRevision limits. The caller holds p.mu.
func (p *Platform) visibleEvents() []platformapi.Event {
	if stale := p.faults.StaleRevision; stale > 0 && int(stale) < len(p.changeLog) {
		return p.changeLog[:stale]
	}
	return p.changeLog
}

// listing returns the newest version of all visible records whose key has the
// prefix.
func (p *Platform) listing(prefix string) platformapi.Listing {
	p.mu.Lock()
	defer p.mu.Unlock()
	events := p.visibleEvents()
	newest := make(map[string]int)
	for i, event := range events {
		newest[event.Key] = i
	}
	listing := platformapi.Listing{Revision: ids.Revision(len(events)), Items: []platformapi.Item{}}
	for i, event := range events {
		if newest[event.Key] != i || event.Deleted || !strings.HasPrefix(event.Key, prefix) {
			continue
		}
		listing.Items = append(listing.Items, platformapi.Item{Key: event.Key, Revision: event.Revision, Value: event.Value})
	}
	return listing
}

// changesAfter returns the visible changes after a revision, a channel that is
// closed when the result may have changed, and the status of the response.
func (p *Platform) changesAfter(after ids.Revision) (changes platformapi.Changes, changed <-chan struct{}, status int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Down {
		return platformapi.Changes{}, nil, http.StatusServiceUnavailable
	}
	if after < p.compacted {
		return platformapi.Changes{}, nil, http.StatusGone
	}
	events := p.visibleEvents()
	changes = platformapi.Changes{Revision: ids.Revision(len(events)), Events: []platformapi.Event{}}
	if int(after) < len(events) {
		changes.Events = append(changes.Events, events[after:]...)
	}
	return changes, p.changed, http.StatusOK
}

// vmList returns the VM list that readers see at the time now, a channel that
// is closed when the result may have changed, the time at which the next
// delayed list becomes visible (zero if there is none), and the status of the
// response.
func (p *Platform) vmList(now time.Time) (list platformapi.VMList, changed <-chan struct{}, due time.Time, status int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Down {
		return platformapi.VMList{}, nil, time.Time{}, http.StatusServiceUnavailable
	}
	lag := time.Duration(p.faults.VMListLagMillis) * time.Millisecond
	list = platformapi.VMList{VMs: []platformapi.VM{}}
	for _, published := range p.vmLists {
		if visibleAt := published.publishedAt.Add(lag); visibleAt.After(now) {
			due = visibleAt
			break
		}
		list = published.list
	}
	return list, p.changed, due, http.StatusOK
}

// admitCall counts one call of a reader, applies the rate limit and the faults,
// and reports whether the call may proceed. If it returns false and the caller
// still waits, it has already responded.
func (p *Platform) admitCall(w http.ResponseWriter, r *http.Request, count func(*Calls)) bool {
	if standin.HangIfSilent(r) {
		return false
	}
	p.mu.Lock()
	now := time.Now()
	if now.Sub(p.windowStart) >= time.Second {
		p.windowStart, p.callsInWindow = now, 0
	}
	p.callsInWindow++
	p.calls.Total++
	count(&p.calls)
	aboveRate := p.callsInWindow > p.callsPerSecond
	if aboveRate {
		p.calls.Refused++
	}
	faults := p.faults
	p.mu.Unlock()
	if aboveRate {
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return false
	}
	if !standin.Sleep(r.Context(), time.Duration(faults.SlowMillis)*time.Millisecond) {
		return false
	}
	if faults.Down {
		http.Error(w, "service down", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// trackWaitingWatch counts a watch as waiting until the returned function is
// called.
func (p *Platform) trackWaitingWatch() func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Waiting++
	p.calls.MaxWaiting = max(p.calls.MaxWaiting, p.calls.Waiting)
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.calls.Waiting--
	}
}
