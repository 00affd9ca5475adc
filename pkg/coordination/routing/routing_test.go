package routing

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wagtailspoke/wagtailspoke/internal/rapidtest"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/placement"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
)

// TestMain fixes the seed of rapid, so that each run draws the same cases.
func TestMain(m *testing.M) { rapidtest.Main(m, 20261204, 80) }

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// withoutFilter returns a copy of a profile that lacks one filter.
func withoutFilter(p Profile, excluded Filter) Profile {
	var kept []Filter
	for _, filter := range p.Filters {
		if filter != excluded {
			kept = append(kept, filter)
		}
	}
	p.Filters = kept
	return p
}

// fakeEngine runs requests for resident adapters and answers 404 for others.
type fakeEngine struct {
	id       ids.EndpointID
	boot     int
	sequence uint64
	resident map[ids.AdapterRef]bool
	// delayedReports have not reached the planner yet.
	delayedReports []placement.Report
	// leavingSince is when the record of the endpoint last changed to leaving.
	leavingSince time.Time
	leaving      bool
}

func (e *fakeEngine) report() placement.Report {
	e.sequence++
	r := placement.Report{Endpoint: e.id, Boot: ids.BootID(fmt.Sprint("b", e.boot)), Sequence: e.sequence}
	for ref := range e.resident {
		r.Resident = append(r.Resident, ref)
	}
	slices.SortFunc(r.Resident, func(a, b ids.AdapterRef) int { return strings.Compare(a.String(), b.String()) })
	return r
}

// testFleet drives one VM's planner and routing state against fake engines.
type testFleet struct {
	planner *placement.Planner
	state   *State
	engines []*fakeEngine
	now     time.Time
	// catalog holds the published versions.
	catalog map[ids.AdapterRef]bool
	random  *rand.Rand

	ran, wrongVersion, sentToLeaving int
}

func endpointRecord(state records.EndpointState) records.Endpoint {
	return records.Endpoint{DataCentre: "a", Kind: records.EndpointModel, Address: "127.0.0.1:1", BaseModel: "b", Slots: 8, MaxBatch: 8, State: state}
}

func newTestFleet(seed uint64) *testFleet {
	f := &testFleet{now: startTime, catalog: make(map[ids.AdapterRef]bool), random: rand.New(rand.NewPCG(seed, 5))}
	f.planner = placement.NewPlanner(placement.DefaultConfig(records.PolicyLatency))
	f.state = NewState(DefaultStateConfig("a", "r"), f.planner, nil)
	for n := range 9 {
		f.catalog[ids.AdapterRef{Adapter: ids.AdapterID(fmt.Sprint("m", n/3)), Version: ids.AdapterVersion(n%3 + 1)}] = true
	}
	for i := range 3 {
		e := &fakeEngine{id: ids.EndpointID(fmt.Sprint("e", i)), boot: 1, resident: make(map[ids.AdapterRef]bool)}
		f.engines = append(f.engines, e)
		f.planner.SetEndpoint(e.id, endpointRecord(records.EndpointServing))
		f.state.SetEndpoint(e.id, endpointRecord(records.EndpointServing))
	}
	return f
}

func (f *testFleet) step(t *rapid.T, profile Profile) {
	f.now = f.now.Add(time.Duration(rapid.IntRange(10, 2000).Draw(t, "millis")) * time.Millisecond)
	e := f.engines[rapid.IntRange(0, 2).Draw(t, "engine")]
	ref := ids.AdapterRef{
		Adapter: ids.AdapterID(fmt.Sprint("m", rapid.IntRange(0, 2).Draw(t, "adapter"))),
		Version: ids.AdapterVersion(rapid.IntRange(1, 3).Draw(t, "version")),
	}
	switch rapid.IntRange(0, 11).Draw(t, "action") {
	case 0:
		e.resident[ref] = true
		e.delayedReports = append(e.delayedReports, e.report())
	case 1:
		delete(e.resident, ref)
		e.delayedReports = append(e.delayedReports, e.report())
	case 2:
		e.boot++
		e.sequence = 0
		e.resident = make(map[ids.AdapterRef]bool)
		e.delayedReports = append(e.delayedReports, e.report())
	case 3:
		f.catalog[ref] = !f.catalog[ref]
	case 4:
		if e.leaving = !e.leaving; e.leaving {
			e.leavingSince = f.now
			f.state.SetEndpoint(e.id, endpointRecord(records.EndpointLeaving))
		} else {
			f.state.SetEndpoint(e.id, endpointRecord(records.EndpointServing))
		}
	default:
		f.request(ref, profile)
	}
	for i := len(e.delayedReports) - 1; i >= 0; i-- {
		if f.random.IntN(2) == 0 {
			f.planner.Observe(f.now, e.delayedReports[i])
			e.delayedReports = append(e.delayedReports[:i], e.delayedReports[i+1:]...)
		}
	}
}

// request sends a request to the chosen endpoint. Like the daemon, it asks for
// the adapter version of the chosen candidate.
func (f *testFleet) request(ref ids.AdapterRef, profile Profile) {
	if !f.catalog[ref] {
		return
	}
	request := &Request{Kind: records.EndpointModel, Ref: ref, BaseModel: "b", Deadline: f.now.Add(time.Second)}
	choice, err := profile.Pick(request, f.state.Candidates(f.now, request), f.random)
	if errors.Is(err, ErrNoEndpoint) {
		return
	}
	for _, e := range f.engines {
		if e.id != choice.Endpoint {
			continue
		}
		if e.leaving {
			f.sentToLeaving++
		}
		if !e.resident[choice.Resident] {
			f.planner.MarkNotResident(e.id, choice.Boot, choice.Resident)
			continue
		}
		f.ran++
		if choice.Resident != ref {
			f.wrongVersion++
		}
	}
}

func runTestFleet(t *rapid.T, profile Profile) *testFleet {
	f := newTestFleet(rapid.Uint64().Draw(t, "seed"))
	for range 120 {
		f.step(t, profile)
	}
	return f
}

// Guards against answers by another version of the adapter (R1) and against new
// work for leaving endpoints (R10), while versions are published and withdrawn,
// engines restart and their reports arrive late and out of order.
func TestRequestsRunOnTheirVersionAndNotOnLeavingEndpoints(t *testing.T) {
	ran := 0
	rapid.Check(t, func(t *rapid.T) {
		f := runTestFleet(t, ModelProfile(records.PolicyLatency))
		ran += f.ran
		if f.wrongVersion > 0 || f.sentToLeaving > 0 {
			t.Fatalf("%d on a wrong version, %d to a leaving endpoint", f.wrongVersion, f.sentToLeaving)
		}
	})
	assert.Assert(t, ran > 200, "only %d requests ran", ran)
	wrong, leaving := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		wrong += runTestFleet(t, withoutFilter(ModelProfile(records.PolicyLatency), ExactVersion{})).wrongVersion
		leaving += runTestFleet(t, withoutFilter(ModelProfile(records.PolicyLatency), Serving{})).sentToLeaving
	})
	t.Logf("%d on a wrong version without ExactVersion, %d to a leaving endpoint without Serving", wrong, leaving)
	assert.Assert(t, wrong > 0, "ExactVersion makes no difference")
	assert.Assert(t, leaving > 0, "Serving makes no difference")
}

// Guards against a scorer that no longer decides between otherwise equal
// endpoints.
func TestScorersPreferPinnedNearIdleAndWarm(t *testing.T) {
	request := &Request{Kind: records.EndpointModel, Ref: ids.AdapterRef{Adapter: "m", Version: 1}, BaseModel: "b"}
	baseline := Candidate{Endpoint: "plain", Record: endpointRecord(records.EndpointServing), Resident: request.Ref, Reachable: true, Distance: SameRegion, Load: 4}
	tests := []struct {
		name   string
		change func(*Candidate)
	}{
		{"pinned", func(c *Candidate) { c.Pinned = true }},
		{"near", func(c *Candidate) { c.Distance = SameDataCentre }},
		{"idle", func(c *Candidate) { c.Load = 0 }},
		{"warm", func(c *Candidate) { c.PrefixHit = true }},
	}
	random := rand.New(rand.NewPCG(1, 1))
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			better := baseline
			better.Endpoint = "better"
			test.change(&better)
			choice, err := ModelProfile(records.PolicyLatency).Pick(request, []Candidate{baseline, better}, random)
			assert.NilError(t, err)
			assert.Equal(t, choice.Endpoint, ids.EndpointID("better"))
		})
	}
}

// Guards against requests that queue up in a full engine, and against a retry
// at an endpoint that was already tried.
func TestFullAndTriedEndpointsAreExcluded(t *testing.T) {
	f := newTestFleet(1)
	ref := ids.AdapterRef{Adapter: "m", Version: 1}
	f.planner.Observe(f.now, placement.Report{Endpoint: "e0", Boot: "b1", Sequence: 1, Resident: []ids.AdapterRef{ref}})
	request := &Request{Kind: records.EndpointModel, Ref: ref, BaseModel: "b", Prefix: 9}
	profile := ModelProfile(records.PolicyLatency)
	for range 8 {
		choice, err := profile.Pick(request, f.state.Candidates(f.now, request), f.random)
		assert.NilError(t, err)
		f.state.Begin(f.now, choice.Endpoint, request)
	}
	_, err := profile.Pick(request, f.state.Candidates(f.now, request), f.random)
	assert.ErrorIs(t, err, ErrNoEndpoint)
	f.state.End("e0")
	candidates := f.state.Candidates(f.now, request)
	assert.Assert(t, candidates[0].PrefixHit)
	_, err = profile.Pick(request, candidates, f.random)
	assert.NilError(t, err)
	request.Tried = []ids.EndpointID{"e0"}
	_, err = profile.Pick(request, candidates, f.random)
	assert.ErrorIs(t, err, ErrNoEndpoint)
}

// Guards against requests that are sent to the endpoints of another service.
func TestServiceRequestsGoToEndpointsOfTheirService(t *testing.T) {
	f := newTestFleet(1)
	f.state.SetDataCentre("far", "other")
	for id, service := range map[ids.EndpointID]string{"s1": "booking", "s2": "ordering"} {
		f.state.SetEndpoint(id, records.Endpoint{DataCentre: "far", Kind: records.EndpointService, Service: service, State: records.EndpointServing})
	}
	request := &Request{Kind: records.EndpointService, Service: "booking"}
	choice, err := ServiceProfile().Pick(request, f.state.Candidates(f.now, request), f.random)
	assert.NilError(t, err)
	assert.Equal(t, choice.Endpoint, ids.EndpointID("s1"))
	assert.Equal(t, choice.Distance, OtherRegion)
}
