package replicas_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/replicas"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
)

var start = time.Unix(1000, 0)

func key(i int) serving.AdapterKey {
	return serving.AdapterKey{Model: "base", Adapter: ids.AdapterID(fmt.Sprintf("a%d", i))}
}

// simulateUse uses each adapter i at rates[i] requests per second and returns
// the time at the end.
func simulateUse(d *replicas.Demand, from time.Time, seconds int, rates map[int]float64) time.Time {
	const step = 100 * time.Millisecond
	for n := range seconds * 10 {
		for i, rate := range rates {
			d.Used(from.Add(time.Duration(n)*step), key(i), rate*step.Seconds())
		}
	}
	return from.Add(time.Duration(seconds) * time.Second)
}

// Guards against sending all requests of an adapter to one engine when they
// are several times an average engine's load. The numbers are those of a calm
// day with 90 engines, on which the most used adapter gets nine requests per
// second.
func TestPopularAdapterGetsSeveralReplicas(t *testing.T) {
	d := replicas.New(replicas.DefaultConfig())
	rates := map[int]float64{0: 9, 1: 0.5}
	for i := range 290 {
		rates[10+i] = 1
	}
	now := simulateUse(d, start, 40, rates)
	targets := d.Targets(now, 90)
	assert.Equal(t, len(targets), 1)
	assert.Equal(t, targets[0].Key, key(0))
	// A replica receives at most half of an average engine's 3.3 requests per
	// second, and there are no more replicas than needed at one request per
	// second each.
	assert.Assert(t, targets[0].Rate/float64(targets[0].Count) <= 3.3/2, "%d copies", targets[0].Count)
	assert.Assert(t, targets[0].Count <= 9, "%d copies", targets[0].Count)
}

// Guards against extra replicas on a small fleet or at low load, where one
// engine easily serves an adapter's requests.
func TestNoReplicasAtLowLoad(t *testing.T) {
	small := replicas.New(replicas.DefaultConfig())
	rates := map[int]float64{0: 2.5}
	for i := range 90 {
		rates[10+i] = 1
	}
	assert.Equal(t, len(small.Targets(simulateUse(small, start, 40, rates), 12)), 0)
	idle := replicas.New(replicas.DefaultConfig())
	assert.Equal(t, len(idle.Targets(simulateUse(idle, start, 40, map[int]float64{0: 0.9}), 90)), 0)
}

// Guards against replicas that remain targets after the demand has moved to
// another adapter.
func TestOldDemandIsForgotten(t *testing.T) {
	d := replicas.New(replicas.DefaultConfig())
	now := simulateUse(d, start, 20, map[int]float64{0: 9})
	now = simulateUse(d, now, 20, map[int]float64{1: 9})
	targets := d.Targets(now, 90)
	assert.Equal(t, len(targets), 1)
	assert.Equal(t, targets[0].Key, key(1))
}

// Guards against copies of adapters that are hardly used when their engine leaves, and
// against a busy one that is copied after a rare one.
func TestAdaptersInUseMoveFromLeavingEngines(t *testing.T) {
	const old, once, twice, busy, elsewhere, never = 0, 1, 2, 3, 4, 5
	d := replicas.New(replicas.DefaultConfig())
	d.Used(start, key(old), 1)
	now := start.Add(10 * time.Second)
	d.Used(now, key(once), 1)
	d.Used(now, key(twice), 2)
	d.Used(now, key(busy), 20)
	d.Used(now, key(elsewhere), 20)
	moves := d.Moves(now, []serving.AdapterKey{key(never), key(old), key(once), key(twice), key(busy), key(busy)})
	assert.Equal(t, len(moves), 2)
	assert.Equal(t, moves[0].Key, key(busy))
	assert.Equal(t, moves[0].Count, 1)
	assert.Equal(t, moves[1].Key, key(twice))
}
