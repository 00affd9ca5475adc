package weights

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/weightsapi"
)

// Guards against a store that is faster or slower than specified: a load takes
// 0.25 s with up to 8 loads in flight, and 0.25 s * n/8 with n > 8.
func TestLoadTimeDependsOnLoadsInFlight(t *testing.T) {
	for _, test := range []struct {
		loads int
		want  time.Duration
	}{
		{1, 250 * time.Millisecond},
		{8, 250 * time.Millisecond},
		{16, 500 * time.Millisecond},
		{20, 625 * time.Millisecond},
	} {
		timing := newLoadTiming(DefaultLoadTime, DefaultMaxInFlight)
		start := time.Unix(0, 0)
		var last uint64
		for range test.loads {
			last = timing.start(start)
		}
		assert.Equal(t, timing.timeLeft(start, last), test.want)
		halfway := start.Add(test.want / 2)
		assert.Equal(t, timing.timeLeft(halfway, last), test.want/2)
	}
}

// Guards against loads that stay slow after others have ended.
func TestLoadsSpeedUpWhenOthersEnd(t *testing.T) {
	timing := newLoadTiming(DefaultLoadTime, DefaultMaxInFlight)
	start := time.Unix(0, 0)
	loads := make([]uint64, 16)
	for i := range loads {
		loads[i] = timing.start(start)
	}
	halfway := start.Add(250 * time.Millisecond)
	for _, load := range loads[8:] {
		timing.stop(halfway, load)
	}
	assert.Equal(t, timing.timeLeft(halfway, loads[0]), 125*time.Millisecond)
}

func load(s *Store, ref ids.AdapterRef) int {
	response, err := http.Get(s.URL() + weightsapi.AdapterPath(ref))
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// Guards against violations of the store's limits that are not counted.
func TestCountsViolationsOfLimits(t *testing.T) {
	s, err := Start(t.Context(), Config{LoadsPerSecond: 100, Burst: 4, MaxInFlight: 2, LoadTime: 50 * time.Millisecond})
	assert.NilError(t, err)
	var group sync.WaitGroup
	for i := range 4 {
		group.Go(func() { load(s, ids.AdapterRef{Adapter: "a", Version: ids.AdapterVersion(i + 1)}) })
	}
	group.Wait()
	within := s.Counters()
	assert.Equal(t, within.OverRate, 0)
	assert.Assert(t, within.OverInFlight > 0)
	assert.Equal(t, within.Finished, 4)

	slow, err := Start(t.Context(), Config{LoadsPerSecond: 20, Burst: 1, LoadTime: time.Millisecond})
	assert.NilError(t, err)
	for range 4 {
		assert.Equal(t, load(slow, ids.AdapterRef{Adapter: "a", Version: 1}), http.StatusOK)
	}
	assert.Assert(t, slow.Counters().OverRate > 0)
}

// Guards against injected faults that have no effect.
func TestFailedLoads(t *testing.T) {
	s, err := Start(t.Context(), Config{LoadTime: time.Millisecond})
	assert.NilError(t, err)
	s.SetFaults(Faults{FailNext: 1})
	ref := ids.AdapterRef{Adapter: "a", Version: 1}
	assert.Equal(t, load(s, ref), http.StatusServiceUnavailable)
	assert.Equal(t, load(s, ref), http.StatusOK)
	assert.Equal(t, s.Counters().Failed, 1)
}
