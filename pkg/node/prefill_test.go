package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a handler that panics, and so closes the caller's connection
// without an answer, when an engine's owner does not answer.
func TestOwnerThatDoesNotAnswerIsLeftOut(t *testing.T) {
	var silent unresponsiveVMs
	now := time.Unix(1000, 0)
	assert.Assert(t, !silent.isBackedOff(now, "owner"))
	silent.backOffUntil("owner", now.Add(unresponsiveOwnerBackoff))
	assert.Assert(t, silent.isBackedOff(now, "owner"))
	assert.Assert(t, !silent.isBackedOff(now.Add(unresponsiveOwnerBackoff), "owner"))
}
