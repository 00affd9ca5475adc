package balance_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/balance"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
)

var start = time.Unix(1000, 0)

func endpoints(names ...ids.EndpointID) []*serving.Endpoint {
	var list []*serving.Endpoint
	for _, name := range names {
		list = append(list, &serving.Endpoint{ID: name, DataCentre: "dc"})
	}
	return list
}

// Guards against all VMs sending to one endpoint because each sees only its
// own requests.
func TestLoadOfOtherVMsCounts(t *testing.T) {
	b := balance.New(balance.DefaultConfig("dc"))
	list := endpoints("a", "b")
	b.Hear(start, "peer", balance.Told{Loads: map[ids.EndpointID]balance.Load{"a": {Starting: 5}}})
	assert.Equal(t, b.Pick(start, list, 1).ID, ids.EndpointID("b"))
	for range 8 {
		b.Begin(start, "b")
	}
	assert.Equal(t, b.Pick(start, list, 1).ID, ids.EndpointID("a"))
	later := start.Add(time.Minute)
	assert.Equal(t, b.Total(later, "a"), balance.Load{})
}

// Guards against requests that keep going to an endpoint that fails them
// although its health probe passes, and against one that is never tried again.
func TestFailingEndpointIsSetAsideAndTriedAgain(t *testing.T) {
	b := balance.New(balance.DefaultConfig("dc"))
	list := endpoints("a", "b")
	fail := func(now time.Time) bool {
		b.Begin(now, "a")
		return b.End(now, "a", false, balance.Failed)
	}
	assert.Assert(t, !fail(start))
	assert.Assert(t, fail(start))
	for salt := range uint64(16) {
		assert.Equal(t, b.Pick(start, list, salt).ID, ids.EndpointID("b"))
	}
	later := start.Add(balance.DefaultConfig("dc").EjectBase)
	assert.Assert(t, b.Available(later, "a"))
	b.Begin(later, "a")
	assert.Assert(t, !b.Available(later, "a"), "more than one trial at a time")
	b.End(later, "a", false, balance.Served)
	assert.Assert(t, b.Available(later, "a"))
}

// Guards against a service that is refused as a whole because every endpoint
// has failed: the least loaded one is still used.
func TestAllEndpointsFailing(t *testing.T) {
	b := balance.New(balance.DefaultConfig("dc"))
	for _, id := range []ids.EndpointID{"a", "b"} {
		b.Eject(start, id)
	}
	assert.Assert(t, b.Pick(start, endpoints("a", "b"), 0) != nil)
	assert.Assert(t, b.Pick(start, nil, 0) == nil)
}

// Guards against streams that pause too long since slower engines get as many
// prompts as the others.
func TestEnginesThatPauseGetLess(t *testing.T) {
	b := balance.New(balance.DefaultConfig("dc"))
	for range 6 {
		b.Paused(start, "a", true)
		b.Paused(start, "b", false)
	}
	assert.Equal(t, b.Pick(start, endpoints("a", "b"), 0).ID, ids.EndpointID("b"))
	c := balance.New(balance.DefaultConfig("dc"))
	c.Hear(start, "peer", balance.Told{Pauses: b.Pauses(start, func(ids.VMID) bool { return false })})
	assert.Equal(t, c.Pick(start, endpoints("a", "b"), 0).ID, ids.EndpointID("b"))
}

// Guards against an engine that stays empty since its streams once paused,
// while the other engines are overloaded.
func TestEngineThatPausedIsUsedUnderLoad(t *testing.T) {
	b := balance.New(balance.DefaultConfig("dc"))
	for range 50 {
		b.Paused(start, "a", true)
	}
	for range 10 {
		b.Begin(start, "b")
	}
	assert.Equal(t, b.Pick(start, endpoints("a", "b"), 0).ID, ids.EndpointID("a"))
}

// Guards against VMs that choose different homes for one adapter, and against
// homes that move when an unrelated endpoint comes.
func TestRankIsTheSameEverywhereAndStable(t *testing.T) {
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

// Guards against a large fleet whose VMs all send to the engine that was the
// least loaded half a second ago.
func TestLateLoadsAreSpread(t *testing.T) {
	b := balance.New(balance.DefaultConfig("dc"))
	b.SetJitter(1.5)
	list := endpoints("a", "b", "c", "d")
	b.Hear(start, "peer", balance.Told{Loads: map[ids.EndpointID]balance.Load{"b": {Starting: 1}, "c": {Starting: 1}, "d": {Starting: 4}}})
	picked := make(map[ids.EndpointID]int)
	for salt := range uint64(1000) {
		picked[b.Pick(start, list, salt).ID]++
	}
	assert.Assert(t, picked["a"] < 950 && picked["b"] > 10 && picked["c"] > 10, "picked %v", picked)
	assert.Equal(t, picked["d"], 0)
}

// Guards against a large fleet each of whose VMs has to fail at a crashed
// endpoint by itself, and against a healthy endpoint that is set aside since
// one VM does not reach it.
func TestFailuresAtOtherVMsCount(t *testing.T) {
	b := balance.New(balance.DefaultConfig("dc"))
	list := endpoints("a", "b")
	b.Hear(start, "peer", balance.Told{Outcomes: map[ids.EndpointID]balance.Outcomes{"a": {Failed: 3, Served: 1}, "b": {Failed: 2, Served: 20}}})
	assert.Assert(t, !b.Available(start, "a"))
	assert.Assert(t, b.Available(start, "b"))
	for salt := range uint64(16) {
		assert.Equal(t, b.Pick(start, list, salt).ID, ids.EndpointID("b"))
	}
	b.Restarted("a")
	assert.Assert(t, b.Available(start, "a"), "a new process is judged by the last one")
}

// Guards against requests that go on to an address at which nothing listens.
func TestUnreachableEndpointIsSetAsideAtOnce(t *testing.T) {
	b := balance.New(balance.DefaultConfig("dc"))
	b.Begin(start, "a")
	assert.Assert(t, b.End(start, "a", false, balance.Unreachable))
	assert.Assert(t, !b.Available(start, "a"))
	peer := balance.New(balance.DefaultConfig("dc"))
	peer.Hear(start, "vm", balance.Told{Outcomes: b.Outcomes(start, func(ids.VMID) bool { return false })})
	assert.Assert(t, !peer.Available(start, "a"))
	later := start.Add(2 * time.Second)
	peer.Hear(later, "vm", balance.Told{Outcomes: b.Outcomes(later, func(ids.VMID) bool { return false })})
	assert.Assert(t, peer.Available(later, "a"), "an endpoint is never tried again")
}
