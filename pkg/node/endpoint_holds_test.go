package node

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/residency"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
)

// Guards against a send to an endpoint that has named, since it was chosen, a time for
// which it wants no requests, and against a hold for the endpoint that was asked
// although another one answered at its address.
func TestHoldBelongsToTheEndpointThatAnswered(t *testing.T) {
	asked := &serving.Endpoint{ID: "asked", Service: "s", Started: 1}
	answered := &serving.Endpoint{ID: "answered", Service: "s", Started: 2}
	n := nodeWithEndpoints(t, asked, answered)
	n.recordHold(asked, http.StatusServiceUnavailable, Answer{RetryAfter: time.Minute, NotRun: true, Endpoint: "answered"})
	assert.Assert(t, n.beginSend(asked))
	assert.Assert(t, !n.beginSend(answered))
	n.recordHold(asked, http.StatusServiceUnavailable, Answer{RetryAfter: time.Minute, NotRun: true, Endpoint: "never listed"})
	assert.Assert(t, n.beginSend(asked))
	n.recordHold(asked, http.StatusServiceUnavailable, Answer{NotRun: true})
	assert.Assert(t, n.beginSend(asked))
	n.recordHold(asked, http.StatusServiceUnavailable, Answer{RetryAfter: time.Minute})
	assert.Assert(t, !n.beginSend(asked))
	assert.Equal(t, len(n.accepting(time.Now(), n.directory.View().ServiceEndpoints("s"))), 0)
	// Its next process wants requests.
	next := &serving.Endpoint{ID: "asked", Service: "s", Started: 2}
	n.list(next)
	assert.Assert(t, n.beginSend(next))
}

// Guards against a hold that ends with an entry that the store loses for a while.
func TestHoldOutlastsALostEntry(t *testing.T) {
	e := &serving.Endpoint{ID: "e", Service: "s", Started: 1}
	n := nodeWithEndpoints(t, e)
	n.recordHold(e, http.StatusServiceUnavailable, Answer{RetryAfter: time.Minute, NotRun: true})
	n.list()
	n.pruneHolds(time.Now())
	n.list(e)
	n.pruneHolds(time.Now())
	assert.Assert(t, !n.beginSend(e))
}

// Guards against routine reports of an engine that wants nothing from this VM, and
// against an engine that other VMs use and that gets no report which its loads need.
func TestRoutineReportsWaitForTheEndOfAHold(t *testing.T) {
	e := &serving.Endpoint{ID: "e", Service: "s", Started: 1}
	n := nodeWithEndpoints(t, e)
	now := time.Now()
	owned := &engine{endpoint: e, fence: 1, table: residency.NewTable(residency.DefaultConfig(), n.engineOwner.loadTime)}
	owned.table.ApplyReport(now, now, residency.Report{Models: []serving.HeldModel{{Name: "base"}}})
	assert.Assert(t, n.engineOwner.reportDue(now, owned))
	n.recordHold(e, http.StatusServiceUnavailable, Answer{RetryAfter: time.Minute, NotRun: true})
	assert.Assert(t, !n.engineOwner.reportDue(now, owned))
	owned.table.Reset(now)
	assert.Assert(t, n.engineOwner.reportDue(now, owned), "the engine's state is not known")
}
