package departures

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

var t0 = time.Unix(1000, 0)

func after(seconds float64) time.Time { return t0.Add(time.Duration(seconds * float64(time.Second))) }

// listing returns a function for Prune that lists the given endpoints.
func listing(starts map[ids.EndpointID]int64) func(ids.EndpointID) (int64, bool) {
	return func(id ids.EndpointID) (int64, bool) {
		started, listed := starts[id]
		return started, listed
	}
}

// Guards against an endpoint that is used again although its process still leaves, and
// against one that is never used again: an entry that comes back from an older copy of
// the store, a restart under the same id, and entries without a start.
func TestDepartureHoldsForAnIncarnation(t *testing.T) {
	for name, c := range map[string]struct {
		said, listed int64
		leaving      bool
	}{
		"the same process":                  {said: 5, listed: 5, leaving: true},
		"an older entry":                    {said: 5, listed: 4, leaving: true},
		"the next process":                  {said: 5, listed: 6, leaving: false},
		"an entry without a start":          {said: 5, listed: 0, leaving: true},
		"said without a start":              {said: 0, listed: 5, leaving: true},
		"said and listed without any start": {said: 0, listed: 0, leaving: true},
	} {
		d := New(DefaultConfig())
		d.RecordLeaving(t0, "e", c.said)
		assert.Equal(t, d.Leaving("e", c.listed), c.leaving, name)
		assert.Assert(t, !d.Leaving("another id at the address", c.listed), name)
	}
}

// Guards against an endpoint that is never used again since its start was not known
// when it left: the departure belongs to the incarnation that is listed next.
func TestDepartureWithoutAStartIsBoundToTheListedOne(t *testing.T) {
	d := New(DefaultConfig())
	d.RecordLeaving(t0, "e", 0)
	d.Prune(after(1), listing(map[ids.EndpointID]int64{"e": 0}))
	assert.Assert(t, d.Leaving("e", 7))
	d.Prune(after(2), listing(map[ids.EndpointID]int64{"e": 7}))
	assert.Assert(t, d.Leaving("e", 7))
	assert.Assert(t, !d.Leaving("e", 8))
}

// Guards against a departure that is forgotten with the endpoint's entry, which the
// store may lose and list again, and against one that an older word replaces.
func TestDepartureOutlastsAnEntry(t *testing.T) {
	d := New(DefaultConfig())
	assert.Assert(t, d.RecordLeaving(t0, "e", 5))
	assert.Assert(t, !d.RecordLeaving(t0, "e", 5))
	assert.Assert(t, !d.RecordLeaving(t0, "e", 4))
	assert.Assert(t, !d.RecordLeaving(t0, "e", 0))
	d.Prune(after(1), listing(map[ids.EndpointID]int64{"e": 5}))
	d.Prune(after(2), listing(nil))
	d.Prune(after(300), listing(nil))
	assert.Assert(t, d.Leaving("e", 5))
	d.Prune(after(301), listing(map[ids.EndpointID]int64{"e": 5}))
	assert.Assert(t, d.Leaving("e", 5))
	// The next incarnation may leave too.
	assert.Assert(t, !d.Leaving("e", 6))
	assert.Assert(t, d.RecordLeaving(after(302), "e", 6))
	assert.Assert(t, d.Leaving("e", 6))
}

// Guards against departures that use up memory: of 10,000 endpoints that are replaced
// one after the other, and of those that a peer names and nobody lists.
func TestDeparturesAreBounded(t *testing.T) {
	config := DefaultConfig()
	config.MaxUnlisted = 10
	d := New(config)
	for i := range 10000 {
		id := ids.EndpointID(fmt.Sprint(i))
		d.RecordLeaving(after(float64(i)/100), id, int64(i+1))
		d.Prune(after(float64(i)/100), listing(map[ids.EndpointID]int64{id: int64(i + 1)}))
		assert.Assert(t, d.Leaving(id, int64(i+1)))
		assert.Assert(t, len(d.departures) <= config.MaxUnlisted+1)
	}
	assert.Assert(t, d.Leaving("9990", 9991), "the newest are kept")
	report := make(map[ids.EndpointID]int64)
	for i := range 1000 {
		report[ids.EndpointID(fmt.Sprintf("unheard-of-%d", i))] = 1
	}
	d.Apply(after(101), report)
	d.Prune(after(101), listing(map[ids.EndpointID]int64{"9999": 10000}))
	assert.Equal(t, len(d.departures), config.MaxUnlisted+1)
	d.Prune(after(101).Add(config.Retention+time.Second), listing(map[ids.EndpointID]int64{"9999": 10000}))
	assert.Equal(t, len(d.departures), 1)
}

// Guards against departures that do not reach a VM which has joined or missed
// messages, and against ones that go round for ever.
func TestReportsReachOtherVMs(t *testing.T) {
	a, b, c := New(DefaultConfig()), New(DefaultConfig()), New(DefaultConfig())
	a.RecordLeaving(t0, "e", 5)
	listed := listing(map[ids.EndpointID]int64{"e": 5})
	a.Prune(t0, listed)
	assert.DeepEqual(t, b.Apply(after(0.3), a.Report(t0)), []ids.EndpointID{"e"})
	assert.Assert(t, b.Leaving("e", 5))
	// A relay passes on what it has learned.
	assert.DeepEqual(t, c.Apply(after(0.6), b.Report(after(0.1))), []ids.EndpointID{"e"})
	assert.Equal(t, len(a.Apply(after(0.9), c.Report(after(0.1)))), 0)
	assert.Equal(t, len(a.Report(after(1))), 0)
	// All of the listed ones.
	assert.Equal(t, len(a.Report(time.Time{})), 1)
	a.Prune(after(2), listing(nil))
	assert.Equal(t, len(a.Report(time.Time{})), 0)
	// Neither an older word nor a malformed one changes anything.
	assert.Equal(t, len(a.Apply(after(3), map[ids.EndpointID]int64{"e": 4, "f": -1})), 0)
	assert.Assert(t, !a.Leaving("f", 0))
}
