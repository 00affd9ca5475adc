package node

import (
	"sync"
	"time"
)

// paceKeep is the weight of the past in the estimate of a prompt's time.
const paceKeep = 0.95

// firstPace is the estimate before any answer was seen.
const firstPace = 50 * time.Millisecond

// pace estimates how long an engine takes to begin one answer.
type pace struct {
	mu   sync.Mutex
	each time.Duration
}

func newPace() *pace { return &pace{each: firstPace} }

// observe takes the time to the first byte of a request that was one of a
// number that the engine had to begin.
func (p *pace) observe(took time.Duration, starting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	each := took / time.Duration(max(starting, 1))
	p.each = time.Duration(paceKeep*float64(p.each) + (1-paceKeep)*float64(each))
}

// expect returns the time to the first byte behind others.
func (p *pace) expect(starting int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.each * time.Duration(starting+1)
}
