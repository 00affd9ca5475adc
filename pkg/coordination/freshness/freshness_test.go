package freshness_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/freshness"
)

var start = time.Unix(1000, 0)

// The age must count from the time at which the read was sent, not from its
// answer, and a read that was sent earlier must not replace a later one.
func TestAgeCountsFromSendTime(t *testing.T) {
	var p freshness.Proof
	_, proven := p.Age(start)
	assert.Assert(t, !proven)
	p.Confirm(start, 5)
	p.Confirm(start.Add(-time.Second), 5)
	age, proven := p.Age(start.Add(3 * time.Second))
	assert.Assert(t, proven)
	assert.Equal(t, age, 3*time.Second)
}

// A peer's proof for a revision that this VM has not applied must be ignored,
// because a revoked key could still be accepted. A proof from the future must
// be ignored as well.
func TestPeerProofNeedsTheSameRevision(t *testing.T) {
	var p freshness.Proof
	p.ConfirmFromPeer(start, 100*time.Millisecond, 9, 8)
	_, proven := p.Age(start)
	assert.Assert(t, !proven)
	p.ConfirmFromPeer(start, -time.Second, 8, 8)
	_, proven = p.Age(start)
	assert.Assert(t, !proven)
	p.ConfirmFromPeer(start, 100*time.Millisecond, 8, 8)
	age, _ := p.Age(start)
	assert.Equal(t, age, 100*time.Millisecond)
}
