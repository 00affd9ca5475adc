package retrybudget_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/retrybudget"
)

// When every endpoint of a service fails, every request wants a retry. The
// retries must stay within the configured ratio and reserve in every window.
func TestRetriesStayWithinRatioAndReserve(t *testing.T) {
	start := time.Unix(1000, 0)
	// ratio and slack are the limit that operators set; VMs use only this share
	// of it.
	const ratio, slack, share = 0.2, 10.0, 0.8
	config := retrybudget.Config{Ratio: share * ratio, Reserve: share * slack, Window: 10 * time.Second}
	b := retrybudget.New(config, start)
	retriesPerStep := make([]int, 600)
	for i := range retriesPerStep {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		for range 5 {
			b.AddRequest(now)
			if b.TakeRetry(now) {
				retriesPerStep[i]++
			}
		}
	}
	for from := range retriesPerStep {
		sum := 0
		for _, count := range retriesPerStep[from:min(from+100, len(retriesPerStep))] {
			sum += count
		}
		assert.Assert(t, float64(sum) <= ratio*500+slack, "%[2]d retries in the window from step %[1]d", from, sum)
	}
}
