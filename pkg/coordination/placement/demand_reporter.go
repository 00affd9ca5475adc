package placement

import (
	"sort"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// reportAgain is after which part of DemandTerm unchanged demand is told again,
// so that one lost message does not end it.
const reportAgain = 0.4

// DemandReporter decides which parts of a VM's demand the owners need to be
// told: what is new, changed, moved or gone, and the rest only now and then. It
// is not safe for concurrent use.
type DemandReporter struct {
	term time.Duration
	told map[demandPart]reportedPart
}

type demandPart struct {
	ref      ids.AdapterRef
	customer ids.CustomerID
}

type reportedPart struct {
	endpoint ids.EndpointID
	requests int
	at       time.Time
}

// NewDemandReporter returns a reporter that has reported nothing yet. term is
// the DemandTerm of the owners.
func NewDemandReporter(term time.Duration) *DemandReporter {
	return &DemandReporter{term: time.Duration(float64(term) * reportAgain), told: make(map[demandPart]reportedPart)}
}

// Due takes all demand of the VM and returns what to tell the owners of the
// endpoints in it. Demand that has gone or moved is told with zero requests;
// that of gone demand has no Sender, as the message names it.
func (t *DemandReporter) Due(now time.Time, all []Waiting) []Waiting {
	var due []Waiting
	present := make(map[demandPart]bool, len(all))
	for _, w := range all {
		part := demandPart{ref: w.Ref, customer: w.Customer}
		present[part] = true
		before, ok := t.told[part]
		if ok && before.endpoint == w.Endpoint && similar(before.requests, w.Requests) && now.Sub(before.at) < t.term {
			continue
		}
		if ok && before.endpoint != w.Endpoint {
			due = append(due, Waiting{Sender: w.Sender, Endpoint: before.endpoint, Ref: w.Ref, Customer: w.Customer})
		}
		t.told[part] = reportedPart{endpoint: w.Endpoint, requests: w.Requests, at: now}
		due = append(due, w)
	}
	return append(due, t.gone(present)...)
}

// similar tells whether a change in the number of waiting requests is too small
// to change the order of loads by much. Each change told at once made up half
// of all bytes between VMs.
func similar(before, after int) bool {
	return after < 2*before && before < 2*after || before == after
}

func (t *DemandReporter) gone(present map[demandPart]bool) []Waiting {
	var out []Waiting
	for part, before := range t.told {
		if !present[part] {
			out = append(out, Waiting{Endpoint: before.endpoint, Ref: part.ref, Customer: part.customer})
			delete(t.told, part)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Ref != out[j].Ref {
			return lessRef(out[i].Ref, out[j].Ref)
		}
		return out[i].Customer < out[j].Customer
	})
	return out
}
