// Package platform is a stand-in for the configuration service and the VM
// list.
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

// DefaultCallsPerSecond is the rate that the real service allows over all
// its readers.
const DefaultCallsPerSecond = 2000

// Config configures the stand-in.
type Config struct {
	// Listen is the address to listen on; empty stands for a free loopback
	// port.
	Listen string
	// CallsPerSecond bounds the readers' calls; more are answered 429. Zero
	// stands for DefaultCallsPerSecond.
	CallsPerSecond int
}

// Faults are the faults that can be switched on.
type Faults struct {
	// Down makes all readers' calls fail and ends waiting watches.
	Down bool `json:"down"`
	// SlowMillis delays each reader's call.
	SlowMillis int `json:"slowMillis"`
	// StaleRevision makes records be answered as they were at this revision.
	StaleRevision ids.Revision `json:"staleRevision"`
	// VMListLagMillis is the age at which a VM list is shown.
	VMListLagMillis int `json:"vmListLagMillis"`
}

// Calls counts the calls of readers.
type Calls struct {
	Total    int `json:"total"`
	Listings int `json:"listings"`
	Watches  int `json:"watches"`
	VMLists  int `json:"vmLists"`
	// Refused counts calls above the allowed rate.
	Refused int `json:"refused"`
	// Waiting is the number of watches that wait now.
	Waiting int `json:"waiting"`
	// MaxWaiting is the largest number that waited at once.
	MaxWaiting int `json:"maxWaiting"`
}

// publishedList is a VM list and when it was published.
type publishedList struct {
	list platformapi.VMList
	at   time.Time
}

// Platform is a running stand-in.
type Platform struct {
	*standin.Server

	callsPerSecond int

	mu sync.Mutex
	// log holds all changes in order; entry i has revision i+1.
	log []platformapi.Event
	// compacted is the revision up to which watches can no longer start.
	compacted ids.Revision
	lists     []publishedList
	faults    Faults
	calls     Calls
	// window and inWindow count the calls of the current second.
	window   time.Time
	inWindow int
	// changed is closed and replaced whenever an answer may change.
	changed chan struct{}
}

// Start starts the stand-in. It ends with ctx.
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

// Put publishes a record under a key of the form kind/id.
func (p *Platform) Put(key string, value json.RawMessage) ids.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.append(platformapi.Event{Key: key, Value: value})
}

// Delete withdraws a record.
func (p *Platform) Delete(key string) ids.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.append(platformapi.Event{Key: key, Deleted: true})
}

// PutVMs publishes a VM list and returns its revision.
func (p *Platform) PutVMs(vms []platformapi.VM) ids.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	revision := ids.Revision(len(p.lists) + 1)
	p.lists = append(p.lists, publishedList{list: platformapi.VMList{Revision: revision, VMs: vms}, at: time.Now()})
	p.wake()
	return revision
}

// Compact makes watches after a lower revision fail with 410.
func (p *Platform) Compact(through ids.Revision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.compacted = through
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	p.wake()
}

// Faults returns the faults that are on.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Calls returns the counters of readers' calls.
func (p *Platform) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Revision returns the newest revision, whatever the faults.
func (p *Platform) Revision() ids.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return ids.Revision(len(p.log))
}

// append adds a change to the log. The caller holds the lock.
func (p *Platform) append(event platformapi.Event) ids.Revision {
	event.Revision = ids.Revision(len(p.log) + 1)
	p.log = append(p.log, event)
	p.wake()
	return event.Revision
}

// wake lets waiting watches look again. The caller holds the lock.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// visible returns the changes that readers may see. The caller holds the
// lock.
func (p *Platform) visible() []platformapi.Event {
	if stale := p.faults.StaleRevision; stale > 0 && int(stale) < len(p.log) {
		return p.log[:stale]
	}
	return p.log
}

// listing returns all visible records below the prefix.
func (p *Platform) listing(prefix string) platformapi.Listing {
	p.mu.Lock()
	defer p.mu.Unlock()
	events := p.visible()
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

// changesAfter returns the visible changes after a revision, and a channel
// that is closed when the answer may have changed.
func (p *Platform) changesAfter(after ids.Revision) (changes platformapi.Changes, changed <-chan struct{}, status int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Down {
		return platformapi.Changes{}, nil, http.StatusServiceUnavailable
	}
	if after < p.compacted {
		return platformapi.Changes{}, nil, http.StatusGone
	}
	events := p.visible()
	changes = platformapi.Changes{Revision: ids.Revision(len(events)), Events: []platformapi.Event{}}
	if int(after) < len(events) {
		changes.Events = append(changes.Events, events[after:]...)
	}
	return changes, p.changed, http.StatusOK
}

// vmList returns the list that readers see now, a channel that is closed
// when a newer one may be seen, and when a lagging one becomes visible.
func (p *Platform) vmList(now time.Time) (list platformapi.VMList, changed <-chan struct{}, due time.Time, status int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Down {
		return platformapi.VMList{}, nil, time.Time{}, http.StatusServiceUnavailable
	}
	lag := time.Duration(p.faults.VMListLagMillis) * time.Millisecond
	list = platformapi.VMList{VMs: []platformapi.VM{}}
	for _, published := range p.lists {
		if visibleAt := published.at.Add(lag); visibleAt.After(now) {
			due = visibleAt
			break
		}
		list = published.list
	}
	return list, p.changed, due, http.StatusOK
}

// admit counts one reader's call and applies the rate and the faults. It
// answers the call itself and returns false when the call must fail.
func (p *Platform) admit(w http.ResponseWriter, r *http.Request, kind func(*Calls)) bool {
	if standin.HangIfSilent(r) {
		return false
	}
	p.mu.Lock()
	now := time.Now()
	if now.Sub(p.window) >= time.Second {
		p.window, p.inWindow = now, 0
	}
	p.inWindow++
	p.calls.Total++
	kind(&p.calls)
	over := p.inWindow > p.callsPerSecond
	if over {
		p.calls.Refused++
	}
	faults := p.faults
	p.mu.Unlock()
	if over {
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

// waiting counts a waiting watch until the returned function is called.
func (p *Platform) waiting() func() {
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
