package balance_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/balance"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
)

var startTime = time.Unix(1000, 0)

func endpoints(names ...ids.EndpointID) []*serving.Endpoint {
	var list []*serving.Endpoint
	for _, name := range names {
		list = append(list, &serving.Endpoint{ID: name, DataCentre: "dc"})
	}
	return list
}

// Load: two requests at an engine that is silent. Guards against an engine that counts
// as sound until the requests that wait there have ended, and against one that stays
// ejected although it has answered since.
func TestSilentEndpointIsEjectedWhileRequestsWait(t *testing.T) {
	b := balance.New(balance.DefaultConfig("dc"))
	for range 2 {
		b.Begin(startTime, "a")
	}
	assert.Assert(t, !b.RecordSilence(startTime, "a"))
	assert.Assert(t, b.RecordSilence(startTime, "a"))
	assert.Assert(t, !b.Available(startTime, "a"))
	assert.Equal(t, b.TotalLoad(startTime, "a").Starting, 2)
	b.End(startTime, "a", false, balance.Served)
	assert.Assert(t, b.Available(startTime, "a"))
}

// Guards against all VMs sending to the same endpoint because each counts only
// its own requests.
func TestPickCountsLoadOfPeers(t *testing.T) {
	b := balance.New(balance.DefaultConfig("dc"))
	list := endpoints("a", "b")
	b.ApplyPeerReport(startTime, "peer", balance.PeerReport{Loads: map[ids.EndpointID]balance.Load{"a": {Starting: 5}}})
	assert.Equal(t, b.Pick(startTime, list, 1).ID, ids.EndpointID("b"))
	for range 8 {
		b.Begin(startTime, "b")
	}
	assert.Equal(t, b.Pick(startTime, list, 1).ID, ids.EndpointID("a"))
	later := startTime.Add(time.Minute)
	assert.Equal(t, b.TotalLoad(later, "a"), balance.Load{})
}

// Guards against requests that are still sent to an endpoint that fails them
// although its health probe passes, and against an endpoint that is never tried
// again.
func TestFailingEndpointIsEjectedAndRetried(t *testing.T) {
	b := balance.New(balance.DefaultConfig("dc"))
	list := endpoints("a", "b")
	fail := func(now time.Time) bool {
		b.Begin(now, "a")
		return b.End(now, "a", false, balance.Failed)
	}
	assert.Assert(t, !fail(startTime))
	assert.Assert(t, fail(startTime))
	for salt := range uint64(16) {
		assert.Equal(t, b.Pick(startTime, list, salt).ID, ids.EndpointID("b"))
	}
	later := startTime.Add(balance.DefaultConfig("dc").EjectBase)
	assert.Assert(t, b.Available(later, "a"))
	b.Begin(later, "a")
	assert.Assert(t, !b.Available(later, "a"), "more than one trial at a time")
	b.End(later, "a", false, balance.Served)
	assert.Assert(t, b.Available(later, "a"))
}

// Guards against refusing all requests of a service because each of its
// endpoints failed: the least loaded one is still used.
func TestPickFallsBackWhenAllEndpointsAreEjected(t *testing.T) {
	b := balance.New(balance.DefaultConfig("dc"))
	for _, id := range []ids.EndpointID{"a", "b"} {
		b.Eject(startTime, id)
	}
	assert.Assert(t, b.Pick(startTime, endpoints("a", "b"), 0) != nil)
	assert.Assert(t, b.Pick(startTime, nil, 0) == nil)
}

// Guards against streams that pause for too long because slow engines get as
// many prompts as fast ones.
func TestEnginesThatPauseGetLess(t *testing.T) {
	b := balance.New(balance.DefaultConfig("dc"))
	for range 6 {
		b.RecordStream(startTime, "a", true)
		b.RecordStream(startTime, "b", false)
	}
	assert.Equal(t, b.Pick(startTime, endpoints("a", "b"), 0).ID, ids.EndpointID("b"))
	peer := balance.New(balance.DefaultConfig("dc"))
	peer.ApplyPeerReport(startTime, "peer", balance.PeerReport{Pauses: b.Pauses(startTime, func(ids.VMID) bool { return false })})
	assert.Equal(t, peer.Pick(startTime, endpoints("a", "b"), 0).ID, ids.EndpointID("b"))
}

// Guards against an engine that gets no requests because its streams paused
// once, while the other engines are overloaded.
func TestEngineThatPausedIsUsedUnderLoad(t *testing.T) {
	b := balance.New(balance.DefaultConfig("dc"))
	for range 50 {
		b.RecordStream(startTime, "a", true)
	}
	for range 10 {
		b.Begin(startTime, "b")
	}
	assert.Equal(t, b.Pick(startTime, endpoints("a", "b"), 0).ID, ids.EndpointID("a"))
}

// Guards against VMs that rank endpoints differently for the same adapter, and
// against a changed order when an unrelated endpoint is added.
func TestRankIsDeterministicAndStable(t *testing.T) {
	before := balance.Rank("model/a1", endpoints("a", "b", "c", "d"))
	assert.DeepEqual(t, before, balance.Rank("model/a1", endpoints("d", "c", "b", "a")))
	after := balance.Rank("model/a1", endpoints("a", "b", "c", "d", "e"))
	var kept []*serving.Endpoint
	for _, e := range after {
		if e.ID != "e" {
			kept = append(kept, e)
		}
	}
	assert.DeepEqual(t, before, kept)
}

// Guards against a large fleet in which all VMs send to the engine that had the
// least load half a second ago.
func TestJitterSpreadsRequestsOnStaleLoads(t *testing.T) {
	b := balance.New(balance.DefaultConfig("dc"))
	b.SetJitter(1.5)
	list := endpoints("a", "b", "c", "d")
	b.ApplyPeerReport(startTime, "peer", balance.PeerReport{Loads: map[ids.EndpointID]balance.Load{"b": {Starting: 1}, "c": {Starting: 1}, "d": {Starting: 4}}})
	picked := make(map[ids.EndpointID]int)
	for salt := range uint64(1000) {
		picked[b.Pick(startTime, list, salt).ID]++
	}
	assert.Assert(t, picked["a"] < 950 && picked["b"] > 10 && picked["c"] > 10, "picked %v", picked)
	assert.Equal(t, picked["d"], 0)
}

// Guards against a large fleet in which each VM must itself see failures at a
// crashed endpoint before it avoids it, and against avoiding a healthy endpoint
// because a single VM cannot reach it.
func TestFailuresAtPeersMakeEndpointUnavailable(t *testing.T) {
	b := balance.New(balance.DefaultConfig("dc"))
	list := endpoints("a", "b")
	b.ApplyPeerReport(startTime, "peer", balance.PeerReport{Outcomes: map[ids.EndpointID]balance.Outcomes{"a": {Failed: 3, Served: 1}, "b": {Failed: 2, Served: 20}}})
	assert.Assert(t, !b.Available(startTime, "a"))
	assert.Assert(t, b.Available(startTime, "b"))
	for salt := range uint64(16) {
		assert.Equal(t, b.Pick(startTime, list, salt).ID, ids.EndpointID("b"))
	}
	b.ResetEndpoint("a")
	assert.Assert(t, b.Available(startTime, "a"), "the new process is still blamed for failures of the old one")
}

// Guards against requests that are still sent to an address at which nothing
// listens.
func TestUnreachableEndpointIsEjectedAtOnce(t *testing.T) {
	b := balance.New(balance.DefaultConfig("dc"))
	b.Begin(startTime, "a")
	assert.Assert(t, b.End(startTime, "a", false, balance.Unreachable))
	assert.Assert(t, !b.Available(startTime, "a"))
	peer := balance.New(balance.DefaultConfig("dc"))
	peer.ApplyPeerReport(startTime, "vm", balance.PeerReport{Outcomes: b.Outcomes(startTime, func(ids.VMID) bool { return false })})
	assert.Assert(t, !peer.Available(startTime, "a"))
	later := startTime.Add(2 * time.Second)
	peer.ApplyPeerReport(later, "vm", balance.PeerReport{Outcomes: b.Outcomes(later, func(ids.VMID) bool { return false })})
	assert.Assert(t, peer.Available(later, "a"), "an endpoint is never tried again")
}
