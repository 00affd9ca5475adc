package freshness_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/freshness"
)

var start = time.Unix(1000, 0)

// Guards against a proof that counts from the answer, or goes back in time.
func TestProofCountsFromTheSending(t *testing.T) {
	var p freshness.Proof
	_, proven := p.Age(start)
	assert.Assert(t, !proven)
	p.Confirm(start, 5)
	p.Confirm(start.Add(-time.Second), 5)
	age, proven := p.Age(start.Add(3 * time.Second))
	assert.Assert(t, proven)
	assert.Equal(t, age, 3*time.Second)
}

// Guards against a peer's proof for a revision that is not applied here, which
// would let a withdrawn key pass, and against a proof from the future.
func TestRelayedProofNeedsTheSameRevision(t *testing.T) {
	var p freshness.Proof
	p.Relay(start, 100*time.Millisecond, 9, 8)
	_, proven := p.Age(start)
	assert.Assert(t, !proven)
	p.Relay(start, -time.Second, 8, 8)
	_, proven = p.Age(start)
	assert.Assert(t, !proven)
	p.Relay(start, 100*time.Millisecond, 8, 8)
	age, _ := p.Age(start)
	assert.Equal(t, age, 100*time.Millisecond)
}
