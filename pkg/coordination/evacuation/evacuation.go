// Package evacuation tracks the data centres that operators evacuate, from the point
// of view of one VM: when an evacuation begins and ends, and when the last request that
// this VM has open there has ended. Whether a data centre is evacuated is decided by the
// operators alone. Package node passes the time and logs the events.
package evacuation

import (
	"cmp"
	"slices"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Kind is the kind of an event.
type Kind int

// Kinds of events. Emptied means that the last request of this VM in an evacuated data
// centre has ended, or that it had none when the evacuation began. Unknown means that
// operators evacuate a name that no data centre has.
const (
	Began Kind = iota
	Emptied
	Ended
	Unknown
)

// Event is a change at one data centre.
type Event struct {
	Kind       Kind
	DataCentre ids.DataCentreID
	// Open is the number of this VM's requests there.
	Open int
	// Since is the time since the evacuation began at this VM; 0 for Unknown.
	Since time.Duration
}

// Tracker tracks evacuations at one VM. It is not safe for concurrent use.
type Tracker struct {
	// evacuated holds the evacuated data centres that are known, with the time when this
	// VM learned of it, and unknown the evacuated names that are not.
	evacuated map[ids.DataCentreID]time.Time
	unknown   map[ids.DataCentreID]bool
	// open holds the number of requests at the endpoints of each data centre.
	open map[ids.DataCentreID]int
}

// New returns a tracker without evacuations.
func New() *Tracker {
	return &Tracker{evacuated: make(map[ids.DataCentreID]time.Time), unknown: make(map[ids.DataCentreID]bool), open: make(map[ids.DataCentreID]int)}
}

// Update replaces the set of evacuated names and returns what changed, in order of
// name. known reports whether a name is that of a data centre; a name that becomes
// known later begins an evacuation then.
func (t *Tracker) Update(now time.Time, evacuated map[ids.DataCentreID]bool, known func(ids.DataCentreID) bool) []Event {
	var events []Event
	for dc := range t.unknown {
		if !evacuated[dc] {
			delete(t.unknown, dc)
		}
	}
	for dc, since := range t.evacuated {
		if !evacuated[dc] {
			delete(t.evacuated, dc)
			events = append(events, Event{Kind: Ended, DataCentre: dc, Open: t.open[dc], Since: now.Sub(since)})
		}
	}
	for dc := range evacuated {
		if _, begun := t.evacuated[dc]; begun {
			// A data centre whose endpoints are all gone stays evacuated.
			continue
		}
		if !known(dc) {
			if !t.unknown[dc] {
				t.unknown[dc] = true
				events = append(events, Event{Kind: Unknown, DataCentre: dc})
			}
			continue
		}
		delete(t.unknown, dc)
		t.evacuated[dc] = now
		events = append(events, Event{Kind: Began, DataCentre: dc, Open: t.open[dc]})
		if t.open[dc] == 0 {
			events = append(events, Event{Kind: Emptied, DataCentre: dc})
		}
	}
	slices.SortFunc(events, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Kind, b.Kind))
	})
	return events
}

// BeginRequest counts a request at an endpoint of a data centre until EndRequest is
// called.
func (t *Tracker) BeginRequest(dc ids.DataCentreID) { t.open[dc]++ }

// EndRequest counts the end of a request, and reports whether it was this VM's last one
// in an evacuated data centre.
func (t *Tracker) EndRequest(now time.Time, dc ids.DataCentreID) (Event, bool) {
	if t.open[dc]--; t.open[dc] > 0 {
		return Event{}, false
	}
	delete(t.open, dc)
	since, evacuated := t.evacuated[dc]
	return Event{Kind: Emptied, DataCentre: dc, Since: now.Sub(since)}, evacuated
}

// Counts returns the number of evacuated data centres, and of this VM's requests there.
func (t *Tracker) Counts() (dataCentres, open int) {
	for dc := range t.evacuated {
		open += t.open[dc]
	}
	return len(t.evacuated), open
}
