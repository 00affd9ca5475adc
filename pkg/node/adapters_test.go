package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/directory"
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

// Guards against loads of base models beyond the weight store's rate when many
// engines restart empty at once and each data centre has an owner of its own.
func TestModelLoadsOfAllOwnersStayWithinTheRate(t *testing.T) {
	const centres, perSecond = 4, 3.4
	const window = 5 * time.Second
	config := &serving.Config{Services: map[string]*serving.Service{"lm": {Name: "lm", Engine: &serving.Engine{LoadsPerSecond: perSecond}}}}
	view := directory.NewView(config, nil, nil)
	e := &engine{endpoint: &serving.Endpoint{Service: "lm"}}
	var owners []*owner
	for range centres {
		owners = append(owners, newOwner(&Node{settings: Settings{
			DataCentres: make([]ids.DataCentreID, centres),
			Bounds:      Bounds{ModelLoadWindow: window, ModelLoadOverrate: 1.1},
		}}))
	}
	start := time.Unix(1000, 0)
	var loads []time.Time
	for at := start; at.Before(start.Add(20 * time.Second)); at = at.Add(ownerInterval) {
		for _, o := range owners {
			if o.mayLoadModel(at, view, e) {
				o.loads--
				loads = append(loads, at)
			}
		}
	}
	// The operators' bound: a tenth above the rate, and three.
	bound := int(perSecond*window.Seconds()*1.1 + 3)
	for i, first := range loads {
		count := 0
		for _, at := range loads[i:] {
			if at.Before(first.Add(window)) {
				count++
			}
		}
		assert.Assert(t, count <= bound, "%d loads in the window from %v, bound %d", count, first.Sub(start), bound)
	}
}
