package placement

import (
	"sort"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// repeatFraction of DemandTerm is the time after which unchanged demand is
// reported again, so that demand does not expire because one message was lost.
const repeatFraction = 0.4

// DemandReporter selects which of a VM's demand must be reported to the owners
// of the endpoints: demand that is new, has changed, has moved to another
// endpoint or has ended is reported at once, unchanged demand only from time to
// time. It is not safe for concurrent use.
type DemandReporter struct {
	// term is the time after which unchanged demand is reported again.
	term     time.Duration
	reported map[customerDemandKey]reportedDemand
}

// customerDemandKey identifies a customer's demand for an adapter version.
type customerDemandKey struct {
	ref      ids.AdapterRef
	customer ids.CustomerID
}

// reportedDemand is what was reported last to the owner of the endpoint.
type reportedDemand struct {
	endpoint   ids.EndpointID
	requests   int
	reportedAt time.Time
}

// NewDemandReporter returns a reporter that has reported nothing yet. term is
// the DemandTerm of the owners.
func NewDemandReporter(term time.Duration) *DemandReporter {
	return &DemandReporter{term: time.Duration(float64(term) * repeatFraction), reported: make(map[customerDemandKey]reportedDemand)}
}

// Due returns the demand that must be reported now to the owners of the
// endpoints. demands is all demand of the VM. Demand that has ended or moved is
// reported with zero requests for its previous endpoint; the Sender of ended
// demand is empty, because the message that carries it names the VM.
func (r *DemandReporter) Due(now time.Time, demands []CustomerDemand) []CustomerDemand {
	var due []CustomerDemand
	present := make(map[customerDemandKey]bool, len(demands))
	for _, demand := range demands {
		key := customerDemandKey{ref: demand.Ref, customer: demand.Customer}
		present[key] = true
		previous, ok := r.reported[key]
		if ok && previous.endpoint == demand.Endpoint && similarCounts(previous.requests, demand.Requests) && now.Sub(previous.reportedAt) < r.term {
			continue
		}
		if ok && previous.endpoint != demand.Endpoint {
			due = append(due, CustomerDemand{Sender: demand.Sender, Endpoint: previous.endpoint, Ref: demand.Ref, Customer: demand.Customer})
		}
		r.reported[key] = reportedDemand{endpoint: demand.Endpoint, requests: demand.Requests, reportedAt: now}
		due = append(due, demand)
	}
	return append(due, r.endedDemand(present)...)
}

// similarCounts reports whether the number of waiting requests changed too
// little to affect the order of loads much. Reporting every change at once made
// up half of all bytes between VMs.
func similarCounts(previous, current int) bool {
	return current < 2*previous && previous < 2*current || previous == current
}

// endedDemand returns the removal of reported demand that is no longer present,
// and forgets that it was reported.
func (r *DemandReporter) endedDemand(present map[customerDemandKey]bool) []CustomerDemand {
	var out []CustomerDemand
	for key, previous := range r.reported {
		if !present[key] {
			out = append(out, CustomerDemand{Endpoint: previous.endpoint, Ref: key.ref, Customer: key.customer})
			delete(r.reported, key)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Ref != out[j].Ref {
			return adapterRefLess(out[i].Ref, out[j].Ref)
		}
		return out[i].Customer < out[j].Customer
	})
	return out
}
