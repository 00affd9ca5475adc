package daemon

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/internal/standin/engine"
	"github.com/wagtailspoke/wagtailspoke/internal/standin/service"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/inferencev1"
)

// poemRequest returns a request for the default version of adapter "poet".
func poemRequest(prompt string) *inferencev1.GenerateRequest {
	return &inferencev1.GenerateRequest{Adapter: "poet", Prompt: prompt, MaxTokens: 8}
}

func (f *fleet) setEngineFaults(faults engine.Faults) {
	for _, e := range f.engines {
		e.SetFaults(faults)
	}
}

func (f *fleet) setServiceFaults(faults service.Faults) {
	for _, s := range f.services {
		s.SetFaults(faults)
	}
}

// streamResult is what a caller received from GenerateStream.
type streamResult struct {
	text  string
	final *inferencev1.StreamEnd
	err   error
}

// generateStream calls GenerateStream on a VM, and onMessage for each message
// of the answer.
func (f *fleet) generateStream(vm *Daemon, message *inferencev1.GenerateRequest, onMessage func()) streamResult {
	ctx, cancel := context.WithTimeout(f.ctx, callTimeout)
	defer cancel()
	request := connect.NewRequest(message)
	request.Header().Set("Authorization", "Bearer "+testKey)
	messages, err := f.client(vm.settings.VMID).GenerateStream(ctx, request)
	if err != nil {
		return streamResult{err: err}
	}
	defer messages.Close()
	var result streamResult
	for messages.Receive() {
		result.text += messages.Msg().GetText()
		result.final = messages.Msg().GetFinal()
		if onMessage != nil {
			onMessage()
		}
	}
	result.err = messages.Err()
	return result
}

// TestServesAllRequestKinds runs requests of all kinds through three VMs in
// two data centres. All cases share one fleet, because its start takes
// seconds.
func TestServesAllRequestKinds(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{vms: []vmSpec{
		{id: "a1", dataCentre: "dc-a"}, {id: "a2", dataCentre: "dc-a"}, {id: "b1", dataCentre: "dc-b"},
	}})
	for _, test := range []struct {
		name string
		run  func(*testing.T, *fleet)
	}{
		{"unary", testUnary},
		{"stream", testStream},
		{"refusals", testRefusals},
		{"mismatched answers", testMismatchedAnswers},
		{"cut stream", testCutStream},
		{"silent connection", testSilentConnection},
		{"plain service", testPlainService},
		{"killed connection", testKilledConnection},
		{"status", testStatus},
		{"leaving endpoint", testLeavingEndpointGetsNoNewWork},
		{"idempotency key", testIdempotencyKey},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.run(t, f)
			f.setEngineFaults(engine.Faults{})
			f.setServiceFaults(service.Faults{})
		})
	}
	for name, e := range f.engines {
		assert.Equal(t, len(e.Violations()), 0, "%s: %v", name, e.Violations())
	}
	f.assertNoKeySent(t)
}

// assertNoKeySent checks requirement R4: no endpoint is sent a caller's key.
func (f *fleet) assertNoKeySent(t *testing.T) {
	t.Helper()
	runs := 0
	for _, e := range f.engines {
		for _, run := range e.Runs() {
			runs++
			assertNoKey(t, run.Header, run.Prompt)
		}
	}
	for _, s := range f.services {
		for _, run := range s.Runs() {
			runs++
			assertNoKey(t, run.Header, run.Body)
		}
	}
	assert.Assert(t, runs > 0)
}

func assertNoKey(t *testing.T, header http.Header, body string) {
	t.Helper()
	assert.Assert(t, !strings.Contains(body, testKey))
	for name, values := range header {
		assert.Assert(t, !strings.Contains(strings.Join(values, " "), testKey), name)
	}
}

// Guards against requests that reach no engine or run on another adapter
// version than the requested one.
func testUnary(t *testing.T, f *fleet) {
	for _, id := range f.vmIDs {
		for version, model := range map[uint64]string{0: "poet@2", 1: "poet@1"} {
			request := poemRequest("hello " + string(id))
			request.Version = version
			answer, err := f.generate(id, testKey, request)
			assert.NilError(t, err)
			assert.Equal(t, answer.GetText(), engine.GeneratedText(model, request.GetPrompt(), 8))
			assert.Equal(t, answer.GetUsage().GetCompletionTokens(), uint32(8))
		}
	}
}

// Guards against streams that lose pieces of text or the final message.
func testStream(t *testing.T, f *fleet) {
	result := f.generateStream(f.vms["a1"], poemRequest("a stream"), nil)
	assert.NilError(t, result.err)
	assert.Equal(t, result.text, engine.GeneratedText("poet@2", "a stream", 8))
	assert.Equal(t, result.final.GetFinishReason(), "length")
}

// Guards against refusals with a wrong outcome or with the caller's key in
// their text: none of these requests runs.
func testRefusals(t *testing.T, f *fleet) {
	unknown, withdrawn, large := poemRequest("x"), poemRequest("x"), poemRequest(strings.Repeat("x", 2<<20))
	unknown.Adapter = "nobody"
	withdrawn.Version = 3
	leaking := poemRequest("my key is " + testKey)
	costly := poemRequest("x")
	costly.MaxTokens = 10_000_000
	for _, test := range []struct {
		name, key string
		message   *inferencev1.GenerateRequest
		reason    inferencev1.Reason
		code      connect.Code
	}{
		{"no key", "", poemRequest("x"), inferencev1.Reason_REASON_KEY_MISSING, connect.CodeUnauthenticated},
		{"wrong key", "wrong", poemRequest("x"), inferencev1.Reason_REASON_KEY_UNKNOWN, connect.CodeUnauthenticated},
		{"unknown adapter", testKey, unknown, inferencev1.Reason_REASON_ADAPTER_UNKNOWN, connect.CodeNotFound},
		{"withdrawn version", testKey, withdrawn, inferencev1.Reason_REASON_VERSION_WITHDRAWN, connect.CodeFailedPrecondition},
		{"large body", testKey, large, inferencev1.Reason_REASON_BODY_TOO_LARGE, connect.CodeInvalidArgument},
		{"key in prompt", testKey, leaking, inferencev1.Reason_REASON_MALFORMED, connect.CodeInvalidArgument},
		{"cost above the burst", testKey, costly, inferencev1.Reason_REASON_COST_ABOVE_LIMIT, connect.CodeInvalidArgument},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := f.generate("a1", test.key, test.message)
			assert.Equal(t, connect.CodeOf(err), test.code)
			outcome := outcomeOf(t, err)
			assert.Equal(t, outcome.GetReason(), test.reason)
			assert.Equal(t, outcome.GetOutcome(), inferencev1.Outcome_OUTCOME_NOT_RUN)
			assert.Assert(t, !strings.Contains(err.Error(), testKey))
		})
	}
	response, _ := f.callService("a1", http.MethodPost, "/wagtailspoke.v1.InferenceService/Generate", "{", map[string]string{"Content-Type": "application/json"})
	assert.Equal(t, response.StatusCode, http.StatusBadRequest)
}

// Guards against an engine's answer to another request reaching a caller.
func testMismatchedAnswers(t *testing.T, f *fleet) {
	for _, faults := range []engine.Faults{{AnswerModel: "poet@1"}, {AnswerID: "another"}} {
		f.setEngineFaults(faults)
		_, err := f.generate("b1", testKey, poemRequest("crossed"))
		outcome := outcomeOf(t, err)
		assert.Equal(t, outcome.GetReason(), inferencev1.Reason_REASON_ANSWER_MISMATCH)
		assert.Equal(t, outcome.GetOutcome(), inferencev1.Outcome_OUTCOME_UNKNOWN)
	}
}

// Guards against a cut stream that looks complete to the caller, or is
// reported as not run.
func testCutStream(t *testing.T, f *fleet) {
	f.setEngineFaults(engine.Faults{CutAfterTokens: 3})
	result := f.generateStream(f.vms["a1"], poemRequest("cut"), nil)
	assert.Assert(t, result.err != nil && result.final == nil)
	assert.Equal(t, outcomeOf(t, result.err).GetOutcome(), inferencev1.Outcome_OUTCOME_UNKNOWN)
	assert.Equal(t, result.text, engine.GeneratedText("poet@2", "cut", 3))
}

// Guards against requests that fail because kept-alive connections went
// silent while new connections work.
func testSilentConnection(t *testing.T, f *fleet) {
	silentFailures := func() int64 { return f.vms["a1"].Status().Requests.FailedAttempts["silent"] }
	before := silentFailures()
	// Routing may choose an engine without a kept-alive connection, so requests
	// are sent until one has met a silent connection.
	for range 20 {
		_, err := f.generate("a1", testKey, poemRequest("before silence"))
		assert.NilError(t, err)
		time.Sleep(20 * time.Millisecond) // A goroutine returns the connection to the idle pool.
		f.setEngineFaults(engine.Faults{SilenceOpenConnections: true})
		answer, err := f.generate("a1", testKey, poemRequest("after silence"))
		assert.NilError(t, err)
		assert.Equal(t, answer.GetText(), engine.GeneratedText("poet@2", "after silence", 8))
		if silentFailures() > before {
			return
		}
	}
	t.Fatal("no request met a silent connection")
}

// Guards against calls that are changed on their way to the service, and
// against serving paths that have no route.
func testPlainService(t *testing.T, f *fleet) {
	before := f.serviceRuns()
	response, body := f.callService("b1", http.MethodPost, "/orders/7?size=2", "tea", map[string]string{"Wagtailspoke-Request-Id": "order-7"})
	assert.Equal(t, response.StatusCode, http.StatusOK, body)
	assert.Assert(t, strings.Contains(body, `"body":"tea"`), body)
	assert.Equal(t, response.Header.Get("Wagtailspoke-Request-Id"), "order-7")
	assert.Assert(t, response.Header.Get("Wagtailspoke-View-Age") != "")
	assert.Equal(t, f.serviceRuns(), before+1)

	response, _ = f.callService("b1", http.MethodPost, "/elsewhere", "tea", nil)
	assert.Equal(t, response.StatusCode, http.StatusNotFound)
	assert.Equal(t, response.Header.Get("Wagtailspoke-Outcome"), "NOT_RUN")
	assert.Equal(t, response.Header.Get("Wagtailspoke-Reason"), "ROUTE_UNKNOWN")
	response, _ = f.callService("b1", http.MethodPost, "/orders/../admin", "tea", nil)
	assert.Equal(t, response.StatusCode, http.StatusBadRequest)
	response, _ = f.callService("b1", http.MethodGet, "/orders/1", "", map[string]string{"Authorization": "Bearer wrong"})
	assert.Equal(t, response.StatusCode, http.StatusUnauthorized)
	response, _ = f.callService("b1", http.MethodGet, "/open/1", "", map[string]string{"Authorization": ""})
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

// Guards against a non-idempotent call that is sent again after it ran and
// its connection was lost, or that is reported as not run.
func testKilledConnection(t *testing.T, f *fleet) {
	f.callService("a1", http.MethodGet, "/orders/warm", "", nil)
	f.setServiceFaults(service.Faults{DieAfterRun: true})
	before := f.serviceRuns()
	response, _ := f.callService("a1", http.MethodPost, "/orders/8", "coffee", nil)
	assert.Equal(t, response.StatusCode, http.StatusBadGateway)
	assert.Equal(t, response.Header.Get("Wagtailspoke-Outcome"), "UNKNOWN")
	assert.Equal(t, f.serviceRuns(), before+1)

	f.callService("a1", http.MethodGet, "/orders/8", "", nil)
	assert.Assert(t, f.serviceRuns() > before+2, "an idempotent call is retried")
}

// Guards against a call with an idempotency key that runs again when it is
// repeated at another VM.
func testIdempotencyKey(t *testing.T, f *fleet) {
	before := f.serviceRuns()
	header := make(map[string]string)
	var first string
	// The homes of a fleet that has just started grant no key yet.
	eventually(t, "first keyed call", func() bool {
		key, err := uuid.NewV7()
		assert.NilError(t, err)
		header["Idempotency-Key"] = key.String()
		response, body := f.callService("a1", http.MethodPost, "/orders/9", "cake", header)
		if response.StatusCode == http.StatusOK {
			first = body
			return true
		}
		assert.Equal(t, response.Header.Get("Wagtailspoke-Reason"), "IDEMPOTENCY_UNAVAILABLE")
		assert.Equal(t, response.Header.Get("Wagtailspoke-Outcome"), "NOT_RUN")
		time.Sleep(500 * time.Millisecond)
		return false
	})
	for _, id := range f.vmIDs {
		eventually(t, "stored answer", func() bool {
			response, body := f.callService(id, http.MethodPost, "/orders/9", "cake", header)
			// The homes learn of the first call's end only after the caller got
			// its answer.
			inProgress := response.Header.Get("Wagtailspoke-Reason") == "IDEMPOTENCY_IN_PROGRESS"
			assert.Assert(t, inProgress || body == first, "%s: %d %s", id, response.StatusCode, body)
			return !inProgress
		})
	}
	assert.Equal(t, f.serviceRuns(), before+1)
	response, _ := f.callService("a1", http.MethodPost, "/orders/9", "another cake", header)
	assert.Equal(t, response.Header.Get("Wagtailspoke-Reason"), "IDEMPOTENCY_KEY_REUSED")

	// Without claims, each VM runs the call.
	for _, id := range f.vmIDs {
		f.vms[id].safetyRules.claimIdempotencyKeys = false
		f.callService(id, http.MethodPost, "/orders/9", "cake", header)
		f.vms[id].safetyRules.claimIdempotencyKeys = true
	}
	assert.Equal(t, f.serviceRuns(), before+1+len(f.vmIDs))
}

// Guards against a status that lacks readiness, catalog revision, peers, pins
// or ownership.
func testStatus(t *testing.T, f *fleet) {
	owners, pins := 0, 0
	for _, id := range f.vmIDs {
		status := f.vms[id].Status()
		assert.Assert(t, status.Ready)
		assert.Equal(t, status.Catalog.Revision, f.platform.Revision())
		assert.Assert(t, status.Catalog.AgeMillis >= 0)
		assert.Equal(t, len(status.Peers), 2)
		for _, endpoint := range status.Endpoints {
			pins += len(endpoint.Pins)
			if endpoint.Owned {
				owners++
				assert.Assert(t, endpoint.Fence > 0)
			}
		}
	}
	assert.Assert(t, pins > 0)
	assert.Equal(t, owners, len(f.engines)+len(f.services), "each endpoint has one owner")
}

// Guards against new calls being sent to an endpoint whose record says that
// it is leaving.
func testLeavingEndpointGetsNoNewWork(t *testing.T, f *fleet) {
	leaving := f.services["orders-dc-a"]
	f.putRecord("endpoint", "orders-dc-a", `{"dataCentre":"dc-a","kind":"service","service":"orders","address":"`+leaving.Address()+`","state":"leaving"}`)
	eventually(t, "record applied", func() bool { return f.allCaughtUp() })
	before := len(leaving.Runs())
	for range 10 {
		response, _ := f.callService("a1", http.MethodPost, "/orders/1", "tea", nil)
		assert.Equal(t, response.StatusCode, http.StatusOK)
	}
	assert.Equal(t, len(leaving.Runs()), before)
}

// allCaughtUp reports whether all VMs have applied all records of the
// platform.
func (f *fleet) allCaughtUp() bool {
	for _, vm := range f.vms {
		if vm.catalog.CompleteThrough() < f.platform.Revision() {
			return false
		}
	}
	return true
}

// Guards against a withdrawn key that still works for a running stream or for
// new requests. TestQueuedRequestOfWithdrawnKeyDoesNotRun tests queued ones.
func TestWithdrawnKeyStopsRequests(t *testing.T) {
	t.Parallel()
	for _, enabled := range []bool{true, false} {
		t.Run(map[bool]string{true: "rule on", false: "rule off"}[enabled], func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, fleetSpec{
				vms:    []vmSpec{{id: "a1", dataCentre: "dc-a", setRules: func(r *safetyRules) { r.recheckKeyAtDispatch = enabled }}},
				engine: engine.Config{FirstTokenTime: 20 * time.Millisecond, TokenTime: 50 * time.Millisecond},
			})
			vm := f.vms["a1"]
			_, err := f.generate("a1", testKey, poemRequest("warm"))
			assert.NilError(t, err)
			withdrawn := make(chan struct{})
			request := poemRequest("long")
			request.MaxTokens = 100
			result := f.generateStream(vm, request, func() {
				select {
				case <-withdrawn:
				default:
					f.platform.Delete("key/ember-1")
					close(withdrawn)
				}
			})
			if !enabled {
				assert.NilError(t, result.err, "without the rule the violation must occur")
				return
			}
			outcome := outcomeOf(t, result.err)
			assert.Equal(t, outcome.GetReason(), inferencev1.Reason_REASON_KEY_WITHDRAWN)
			assert.Equal(t, outcome.GetOutcome(), inferencev1.Outcome_OUTCOME_UNKNOWN)
			_, err = f.generate("a1", testKey, poemRequest("after"))
			assert.Equal(t, outcomeOf(t, err).GetReason(), inferencev1.Reason_REASON_KEY_WITHDRAWN)
		})
	}
}

// Guards against a graceful shutdown that cuts off open requests or admits
// new ones.
func TestDrainCutsNoRequest(t *testing.T) {
	t.Parallel()
	for _, enabled := range []bool{true, false} {
		t.Run(map[bool]string{true: "rule on", false: "rule off"}[enabled], func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, fleetSpec{
				vms:    []vmSpec{{id: "a1", dataCentre: "dc-a", setRules: func(r *safetyRules) { r.drainWaitsForRequests = enabled }}},
				engine: engine.Config{TokenTime: 20 * time.Millisecond},
			})
			vm := f.vms["a1"]
			_, err := f.generate("a1", testKey, poemRequest("warm"))
			assert.NilError(t, err)
			term, terminate := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			go func() { ended <- vm.Run(term) }()
			request := poemRequest("while draining")
			request.MaxTokens = 50
			seen := 0
			result := f.generateStream(vm, request, func() {
				seen++
				if seen != 5 {
					return
				}
				terminate()
				if enabled {
					eventually(t, "drain", func() bool { return vm.Status().Drain.State == "draining" })
					assert.Check(t, len(vm.Status().Drain.WaitingFor) > 0)
					_, err := f.generate("a1", testKey, poemRequest("too late"))
					assert.Check(t, outcomeOf(t, err).GetReason() == inferencev1.Reason_REASON_DRAINING)
				}
			})
			drainErr := <-ended
			if !enabled {
				assert.Assert(t, result.err != nil, "without the rule the violation must occur")
				return
			}
			assert.NilError(t, drainErr)
			assert.NilError(t, result.err)
			assert.Equal(t, result.text, engine.GeneratedText("poet@2", "while draining", 50))
			assert.Equal(t, vm.ownershipTable.PinCount(time.Now()), 0, "all pins must be released")
		})
	}
}
