package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
)

// Guards against copies that take the weight store's bandwidth from adapters
// that no engine has, on days when many rare adapters are asked for.
func TestCopyNeedsRepeatedDemand(t *testing.T) {
	start := time.Unix(1000, 0)
	key := serving.AdapterKey{Model: "base", Adapter: "a1"}
	c := &pacer{last: make(map[serving.AdapterKey]demandCount), pause: copyPause, need: copyDemand}
	for i := range copyDemand - 1 {
		assert.Assert(t, !c.due(start, key), "request %d", i)
	}
	assert.Assert(t, c.due(start, key))
	assert.Assert(t, !c.due(start, key), "a second copy within the pause")
	later := start.Add(copyPause)
	assert.Assert(t, !c.due(later, key), "demand from before the pause counts")
}

// Guards against a log that holds requests up, or that grows without bound
// under load, when nobody reads it.
func TestLogNeverBlocksAndIsBounded(t *testing.T) {
	release := make(chan struct{})
	w := newLineWriter(blockedWriter{release})
	done := make(chan struct{})
	go func() {
		for range 3 * logQueueLines {
			_, _ = w.Write([]byte("line\n"))
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("a write blocked")
	}
	assert.Assert(t, w.dropped.Load() > 0)
	close(release)
}

type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(line []byte) (int, error) {
	<-b.release
	return len(line), nil
}

// Guards against a resumed stream that repeats a part of an event, or goes on
// after an event that the caller has only in part.
func TestOnlyWholeEventsArePassedOn(t *testing.T) {
	b := eventBuffer{whole: true}
	assert.Equal(t, string(b.take([]byte("id: 1\ndata: a\n\nid: 2\nda"))), "id: 1\ndata: a\n\n")
	assert.Equal(t, b.lastID("0"), "1")
	assert.Equal(t, len(b.take([]byte("ta: b\n"))), 0)
	assert.Equal(t, b.lastID("0"), "1")
	assert.Equal(t, string(b.take([]byte("\n"))), "id: 2\ndata: b\n\n")
	assert.Equal(t, b.lastID("0"), "2")
}
