package node

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/directory"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/mirror"
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
	add := func(data string) string {
		ready, _, err := b.add([]byte(data))
		assert.NilError(t, err)
		return string(ready)
	}
	assert.Equal(t, add("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n")
	assert.Equal(t, b.lastID("0"), "1")
	assert.Equal(t, add("ta: b\n"), "")
	assert.Equal(t, b.lastID("0"), "1")
	assert.Equal(t, add("\n"), "id: 2\ndata: b\n\n")
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

// Guards against adapters that stay unknown after their owner restarted: its
// first message may leave out what this VM knew from the owner's previous run.
func TestTablesOfARestartedOwnerAreAskedForAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newAdapterIndex()
	table := func(free int) map[ids.EndpointID]publishedTable {
		return map[ids.EndpointID]publishedTable{"e": {Fence: 1, FreeSlots: free, Models: []string{"base"}}}
	}
	r.applyFromPeer(now, "owner", "first run", table(3), 0, 500)
	assert.Equal(t, r.seenChanges("owner"), uint64(500))
	r.applyFromPeer(now, "owner", "second run", nil, 500, 4)
	assert.Equal(t, r.seenChanges("owner"), uint64(0), "changes 1 to 4 of the second run were not received")
	r.applyFromPeer(now, "owner", "second run", table(2), 0, 5)
	assert.Equal(t, r.seenChanges("owner"), uint64(5))
	free, _ := r.freeSlots("e", "base")
	assert.Equal(t, free, 2)
}

// Guards against a proof that is taken for younger than it is: a message that
// was held up on a silent link proves nothing about the time of its arrival.
func TestHeldUpMessageProvesOnlyTheTimeItEchoes(t *testing.T) {
	n := New(Settings{IP: "127.0.0.1", ListenAddresses: ListenAddresses{Peers: "127.0.0.1:1"}}, Options{LogOutput: io.Discard})
	defer n.stop()
	n.bootTimeAtStart = n.bootTime().Add(-10 * time.Second)
	n.mirror.Apply(mirror.Delta{Through: 3})
	request := stateMessage{Through: 3, ProofAgeMs: 100}
	request.ID, request.Boot = "127.0.0.1:2", "peer"
	n.catchUpFromRequest(request)
	request.Echo = &messageSendTime{Boot: "an earlier run", SentMs: 9900}
	n.catchUpFromRequest(request)
	time.Sleep(20 * time.Millisecond)
	_, proven := n.proofAge()
	assert.Assert(t, !proven)

	request.Echo = &messageSendTime{Boot: n.boot, SentMs: 6000}
	n.catchUpFromRequest(request)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, proven := n.proofAge(); !proven {
			return poll.Continue("no proof")
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
	age, _ := n.proofAge()
	assert.Assert(t, age >= 4100*time.Millisecond, "%v", age)
}

// Pattern: every endpoint of a service is full. Guards against a request that
// goes to and fro between endpoints which have just shed it: each is asked once,
// then the caller learns when to come back.
func TestRequestThatAllEndpointsShedIsRefused(t *testing.T) {
	n := New(Settings{IP: "127.0.0.1", ListenAddresses: ListenAddresses{Peers: "127.0.0.1:1"}}, Options{LogOutput: io.Discard})
	defer n.stop()
	endpoints := map[ids.EndpointID]*serving.Endpoint{"a": {ID: "a", Service: "app"}, "b": {ID: "b", Service: "app"}}
	service := &serving.Service{Name: "app"}
	n.directory.Set(directory.NewView(&serving.Config{Services: map[string]*serving.Service{"app": service}}, endpoints, nil))
	p := &requestState{request: &serving.Request{Service: service}, excluded: make(map[ids.EndpointID]bool)}
	for range endpoints {
		e, refused := n.chooseEndpoint(t.Context(), p)
		assert.Assert(t, refused == nil && !p.excluded[e.ID])
		n.prepareAfterShed(t.Context(), p, e, sendResult{shed: true})
	}
	_, refused := n.chooseEndpoint(t.Context(), p)
	assert.Assert(t, refused != nil, "the request is sent to an endpoint that shed it")
	assert.Equal(t, refused.status, http.StatusServiceUnavailable)
	assert.Assert(t, refused.retryAfter > 0)
}

// Guards against a stalled stream that counts as alive since it sends a byte now
// and then: only the end of an event is progress, however it is cut into reads.
func TestOnlyTheEndOfAnEventIsProgress(t *testing.T) {
	for _, wholeEvents := range []bool{false, true} {
		b := eventBuffer{wholeEvents: wholeEvents}
		var got strings.Builder
		var progress []bool
		for _, data := range []string{"id: 1\n", "data: a", "\n", "\n", ":", ":", "\n\nid: 2\ndata: b\n\n", "\n"} {
			ready, ended, err := b.add([]byte(data))
			assert.NilError(t, err)
			got.Write(ready)
			progress = append(progress, ended)
		}
		assert.DeepEqual(t, progress, []bool{false, false, false, true, false, false, true, true})
		assert.Equal(t, got.String()+string(b.remainder()), "id: 1\ndata: a\n\n::\n\nid: 2\ndata: b\n\n\n")
	}
}

// Guards against an engine that uses up the VM's memory with bytes that hold no
// end of an event.
func TestEventWithoutEndIsCut(t *testing.T) {
	for _, wholeEvents := range []bool{false, true} {
		b := eventBuffer{wholeEvents: wholeEvents}
		chunk := bytes.Repeat([]byte("x"), streamReadBytes)
		var err error
		reads := 0
		for ; err == nil; reads++ {
			assert.Assert(t, reads <= maxEventBytes/streamReadBytes+1)
			_, _, err = b.add(chunk)
		}
		assert.Assert(t, len(b.remainder()) <= maxEventBytes)
	}
}

// Guards against answers that together use up the VM's memory although each is
// within its own bound.
func TestMemoryOfAllAnswersIsBounded(t *testing.T) {
	m := newAnswerMemory(40 << 20)
	answer := bytes.Repeat([]byte("x"), 1<<20)
	var releases []func()
	for {
		body, release, err := m.readAll(bytes.NewReader(answer))
		releases = append(releases, release)
		if err != nil {
			break
		}
		assert.Equal(t, len(body), len(answer))
		assert.Assert(t, len(releases) <= 4)
	}
	for _, release := range releases {
		release()
	}
	assert.Equal(t, m.used.Load(), int64(0))
	_, release, err := m.readAll(io.LimitReader(endlessReader{}, maxBufferedAnswerBytes+1))
	release()
	assert.Assert(t, err != nil)
	big := newAnswerMemory(1 << 30)
	_, release, err = big.readAll(endlessReader{})
	release()
	assert.ErrorIs(t, err, errAnswerTooLarge)
}

// endlessReader never ends.
type endlessReader struct{}

func (endlessReader) Read(b []byte) (int, error) { return len(b), nil }

// Pattern: all VMs restart while the engines go on. Guards against requests that
// wait for an owner's first table although the engine's own entry names the
// adapter, and against an entry that replaces what an owner has published.
func TestRegisteredAdaptersAreUsedUntilTheOwnerPublishes(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newAdapterIndex()
	key := serving.AdapterKey{Model: "base", Adapter: "a1"}
	models := []serving.HeldModel{{Name: "base", Adapters: []ids.AdapterRef{{Adapter: "a1", Version: 2}}}}
	r.setRegistered(now, "e", models)
	held, found := r.find("e", key, 2)
	assert.Assert(t, found && !held.Ready.After(now))
	_, found = r.find("e", key, 3)
	assert.Assert(t, !found, "an older version is used")
	tables, _ := r.tablesSince(now, 0, func(ids.EndpointID) bool { return true })
	assert.Equal(t, len(tables), 0, "an engine's entry is passed on as an owner's table")

	r.applyFromPeer(now, "owner", "boot", map[ids.EndpointID]publishedTable{"e": {Fence: 1, Models: []string{"base"}}}, 0, 1)
	_, found = r.find("e", key, 0)
	assert.Assert(t, !found, "the owner knows that the adapter is gone")
	r.setRegistered(now, "e", models)
	_, found = r.find("e", key, 0)
	assert.Assert(t, !found)
}

// Guards against a withdrawn key that is used after the machine was suspended:
// Go's monotonic clock stands still meanwhile, so that the proof would seem as
// young as before.
func TestProofAgesWhileTheMachineIsSuspended(t *testing.T) {
	n := New(Settings{IP: "127.0.0.1", ListenAddresses: ListenAddresses{Peers: "127.0.0.1:1"}}, Options{LogOutput: io.Discard})
	defer n.stop()
	suspended := time.Duration(0)
	n.bootTime = func() time.Time { return bootTime().Add(suspended) }
	n.settings.Bounds = Bounds{StrictRevocation: true, MaxRevocationDelay: 5 * time.Second}
	n.confirmProof(n.bootTime(), 1)
	customer := &serving.Customer{ID: "c", Keys: []string{"key"}}
	n.directory.Set(directory.NewView(&serving.Config{Customers: []serving.Customer{*customer}}, nil, nil))
	p := &requestState{key: "key", request: &serving.Request{Customer: customer, Route: &serving.Route{}}}
	assert.Assert(t, n.checkKey(p) == nil)
	suspended = 6 * time.Second
	refused := n.checkKey(p)
	assert.Assert(t, refused != nil && refused.status == http.StatusServiceUnavailable)
}
