package node

import (
	"sync"
	"time"
)

// estimateRetention is the weight of the previous estimate when a new
// measurement is added.
const estimateRetention = 0.95

// initialPerPrompt is the estimate before the first measurement.
const initialPerPrompt = 50 * time.Millisecond

// firstByteEstimator estimates the time to an answer's first byte at an engine,
// from the mean time that engines take for one prompt.
type firstByteEstimator struct {
	mu        sync.Mutex
	perPrompt time.Duration
}

func newFirstByteEstimator() *firstByteEstimator {
	return &firstByteEstimator{perPrompt: initialPerPrompt}
}

// observe adds the measured time to the first byte of a request, given how many
// requests the engine had to start at that time, this one included.
func (p *firstByteEstimator) observe(took time.Duration, starting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	perPrompt := took / time.Duration(max(starting, 1))
	p.perPrompt = time.Duration(estimateRetention*float64(p.perPrompt) + (1-estimateRetention)*float64(perPrompt))
}

// estimate returns the expected time to the first byte of a request that starts
// behind the given number of others.
func (p *firstByteEstimator) estimate(starting int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.perPrompt * time.Duration(starting+1)
}
