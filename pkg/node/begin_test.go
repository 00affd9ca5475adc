package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a handler that panics, and so closes its connection without an
// answer, when the owner of an engine does not answer.
func TestOwnerThatDoesNotAnswerIsLeftOut(t *testing.T) {
	var silent silentOwners
	now := time.Unix(1000, 0)
	assert.Assert(t, !silent.has(now, "owner"))
	silent.set("owner", now.Add(beginPause))
	assert.Assert(t, silent.has(now, "owner"))
	assert.Assert(t, !silent.has(now.Add(beginPause), "owner"))
}
