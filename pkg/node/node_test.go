package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/directory"
)

// Guards against copies that use up the weight store's bandwidth needed for
// adapters that no engine has, when many rarely used adapters are requested.
func TestCopyNeedsRepeatedDemand(t *testing.T) {
	start := time.Unix(1000, 0)
	key := serving.AdapterKey{Model: "base", Adapter: "a1"}
	c := &copyThrottle{requests: make(map[serving.AdapterKey]requestCount), interval: copyInterval, minRequests: copyMinRequests}
	for i := range copyMinRequests - 1 {
		assert.Assert(t, !c.allow(start, key), "request %d", i)
	}
	assert.Assert(t, c.allow(start, key))
	assert.Assert(t, !c.allow(start, key), "a second copy within the pause")
	later := start.Add(copyInterval)
	assert.Assert(t, !c.allow(later, key), "demand from before the pause counts")
}

// Guards against a log that blocks requests, or that grows without bound under
// load, when nobody reads it.
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
	assert.Assert(t, w.droppedLogLines.Load() > 0)
	close(release)
}

type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(line []byte) (int, error) {
	<-b.release
	return len(line), nil
}

// Guards against a resumed stream that repeats part of an event, or that
// continues after an event of which the caller got only a part.
func TestOnlyWholeEventsArePassedOn(t *testing.T) {
	b := eventBuffer{wholeEvents: true}
	assert.Equal(t, string(b.add([]byte("id: 1\ndata: a\n\nid: 2\nda"))), "id: 1\ndata: a\n\n")
	assert.Equal(t, b.lastID("0"), "1")
	assert.Equal(t, len(b.add([]byte("ta: b\n"))), 0)
	assert.Equal(t, b.lastID("0"), "1")
	assert.Equal(t, string(b.add([]byte("\n"))), "id: 2\ndata: b\n\n")
	assert.Equal(t, b.lastID("0"), "2")
}

// Guards against model loads above the weight store's rate when many engines
// restart empty at once and each data centre has a different owner.
func TestModelLoadsOfAllOwnersStayWithinTheRate(t *testing.T) {
	const centres, perSecond = 4, 3.4
	const window = 5 * time.Second
	config := &serving.Config{Services: map[string]*serving.Service{"lm": {Name: "lm", Engine: &serving.Engine{LoadsPerSecond: perSecond}}}}
	view := directory.NewView(config, nil, nil)
	e := &engine{endpoint: &serving.Endpoint{Service: "lm"}}
	var owners []*engineOwner
	for range centres {
		owners = append(owners, newOwner(&Node{settings: Settings{
			DataCentres: make([]ids.DataCentreID, centres),
			Bounds:      Bounds{ModelLoadWindow: window, ModelLoadRateFactor: 1.1},
		}}))
	}
	start := time.Unix(1000, 0)
	var modelLoads []time.Time
	for at := start; at.Before(start.Add(20 * time.Second)); at = at.Add(ownerStepInterval) {
		for _, o := range owners {
			if o.mayLoadModel(at, view, e) {
				o.modelLoads--
				modelLoads = append(modelLoads, at)
			}
		}
	}
	// The operators' limit: the rate plus ten percent, plus three loads.
	bound := int(perSecond*window.Seconds()*1.1 + 3)
	for i, first := range modelLoads {
		count := 0
		for _, at := range modelLoads[i:] {
			if at.Before(first.Add(window)) {
				count++
			}
		}
		assert.Assert(t, count <= bound, "%d loads in the window from %v, bound %d", count, first.Sub(start), bound)
	}
}
