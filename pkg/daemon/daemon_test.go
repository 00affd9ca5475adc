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

func poem(prompt string) *inferencev1.GenerateRequest {
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

// stream is what a caller received of a stream.
type stream struct {
	text  string
	final *inferencev1.StreamEnd
	err   error
}

// receive calls GenerateStream; each is called for each message.
func (f *fleet) receive(vm *Daemon, message *inferencev1.GenerateRequest, each func()) stream {
	ctx, cancel := context.WithTimeout(f.ctx, callWait)
	defer cancel()
	request := connect.NewRequest(message)
	request.Header().Set("Authorization", "Bearer "+testKey)
	messages, err := f.client(vm.settings.VMID).GenerateStream(ctx, request)
	if err != nil {
		return stream{err: err}
	}
	defer messages.Close()
	var got stream
	for messages.Receive() {
		got.text += messages.Msg().GetText()
		got.final = messages.Msg().GetFinal()
		if each != nil {
			each()
		}
	}
	got.err = messages.Err()
	return got
}

// TestServing runs requests of all kinds through three VMs in two data
// centres. One fleet serves all cases, because its start takes seconds.
func TestServing(t *testing.T) {
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
		{"crossed answers", testCrossedAnswers},
		{"cut stream", testCutStream},
		{"silent connection", testSilentConnection},
		{"plain service", testPlainService},
		{"killed connection", testKilledConnection},
		{"status", testStatus},
		{"leaving endpoint", testLeavingEndpoint},
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
	f.assertNoKeySeen(t)
}

// assertNoKeySeen guards R4: no endpoint sees a caller's key.
func (f *fleet) assertNoKeySeen(t *testing.T) {
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

// Guards against requests that do not reach an engine or run on another
// version than asked for.
func testUnary(t *testing.T, f *fleet) {
	for _, id := range f.order {
		for version, model := range map[uint64]string{0: "poet@2", 1: "poet@1"} {
			request := poem("hello " + string(id))
			request.Version = version
			answer, err := f.generate(id, testKey, request)
			assert.NilError(t, err)
			assert.Equal(t, answer.GetText(), engine.Text(model, request.GetPrompt(), 8))
			assert.Equal(t, answer.GetUsage().GetCompletionTokens(), uint32(8))
		}
	}
}

// Guards against streams that lose pieces or their end.
func testStream(t *testing.T, f *fleet) {
	got := f.receive(f.vms["a1"], poem("a stream"), nil)
	assert.NilError(t, got.err)
	assert.Equal(t, got.text, engine.Text("poet@2", "a stream", 8))
	assert.Equal(t, got.final.GetFinishReason(), "length")
}

// Guards against refusals without a truthful outcome.
func testRefusals(t *testing.T, f *fleet) {
	unknown, withdrawn, large := poem("x"), poem("x"), poem(strings.Repeat("x", 2<<20))
	unknown.Adapter = "nobody"
	withdrawn.Version = 3
	leaking := poem("my key is " + testKey)
	costly := poem("x")
	costly.MaxTokens = 10_000_000
	for _, test := range []struct {
		name, key string
		message   *inferencev1.GenerateRequest
		reason    inferencev1.Reason
		code      connect.Code
	}{
		{"no key", "", poem("x"), inferencev1.Reason_REASON_KEY_MISSING, connect.CodeUnauthenticated},
		{"wrong key", "wrong", poem("x"), inferencev1.Reason_REASON_KEY_UNKNOWN, connect.CodeUnauthenticated},
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
	response, _ := f.call("a1", http.MethodPost, "/wagtailspoke.v1.InferenceService/Generate", "{", map[string]string{"Content-Type": "application/json"})
	assert.Equal(t, response.StatusCode, http.StatusBadRequest)
}

// Guards against another request's answer reaching a caller.
func testCrossedAnswers(t *testing.T, f *fleet) {
	for _, faults := range []engine.Faults{{AnswerModel: "poet@1"}, {AnswerID: "another"}} {
		f.setEngineFaults(faults)
		_, err := f.generate("b1", testKey, poem("crossed"))
		outcome := outcomeOf(t, err)
		assert.Equal(t, outcome.GetReason(), inferencev1.Reason_REASON_ANSWER_MISMATCH)
		assert.Equal(t, outcome.GetOutcome(), inferencev1.Outcome_OUTCOME_UNKNOWN)
	}
}

// Guards against a cut stream that looks whole or is said not to have run.
func testCutStream(t *testing.T, f *fleet) {
	f.setEngineFaults(engine.Faults{CutAfterTokens: 3})
	got := f.receive(f.vms["a1"], poem("cut"), nil)
	assert.Assert(t, got.err != nil && got.final == nil)
	assert.Equal(t, outcomeOf(t, got.err).GetOutcome(), inferencev1.Outcome_OUTCOME_UNKNOWN)
	assert.Equal(t, got.text, engine.Text("poet@2", "cut", 3))
}

// Guards against requests that are lost to connections which went silent
// while new ones work.
func testSilentConnection(t *testing.T, f *fleet) {
	silences := func() int64 { return f.vms["a1"].Status().Requests.FailedAttempts["silent"] }
	before := silences()
	// Routing may choose an engine without a kept connection, so several
	// requests are sent until one met a silent connection.
	for range 20 {
		_, err := f.generate("a1", testKey, poem("before silence"))
		assert.NilError(t, err)
		time.Sleep(20 * time.Millisecond) // The connection is kept by a goroutine.
		f.setEngineFaults(engine.Faults{SilenceOpenConnections: true})
		answer, err := f.generate("a1", testKey, poem("after silence"))
		assert.NilError(t, err)
		assert.Equal(t, answer.GetText(), engine.Text("poet@2", "after silence", 8))
		if silences() > before {
			return
		}
	}
	t.Fatal("no request met a silent connection")
}

// Guards against pass-through that changes calls or serves other paths.
func testPlainService(t *testing.T, f *fleet) {
	before := f.runs()
	response, body := f.call("b1", http.MethodPost, "/orders/7?size=2", "tea", map[string]string{"Wagtailspoke-Request-Id": "order-7"})
	assert.Equal(t, response.StatusCode, http.StatusOK, body)
	assert.Assert(t, strings.Contains(body, `"body":"tea"`), body)
	assert.Equal(t, response.Header.Get("Wagtailspoke-Request-Id"), "order-7")
	assert.Assert(t, response.Header.Get("Wagtailspoke-View-Age") != "")
	assert.Equal(t, f.runs(), before+1)

	response, _ = f.call("b1", http.MethodPost, "/elsewhere", "tea", nil)
	assert.Equal(t, response.StatusCode, http.StatusNotFound)
	assert.Equal(t, response.Header.Get("Wagtailspoke-Outcome"), "NOT_RUN")
	assert.Equal(t, response.Header.Get("Wagtailspoke-Reason"), "ROUTE_UNKNOWN")
	response, _ = f.call("b1", http.MethodPost, "/orders/../admin", "tea", nil)
	assert.Equal(t, response.StatusCode, http.StatusBadRequest)
	response, _ = f.call("b1", http.MethodGet, "/orders/1", "", map[string]string{"Authorization": "Bearer wrong"})
	assert.Equal(t, response.StatusCode, http.StatusUnauthorized)
	response, _ = f.call("b1", http.MethodGet, "/open/1", "", map[string]string{"Authorization": ""})
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

// Guards against a non-idempotent call that runs twice when its connection
// dies after it ran, and against "not run" being said of it.
func testKilledConnection(t *testing.T, f *fleet) {
	f.call("a1", http.MethodGet, "/orders/warm", "", nil)
	f.setServiceFaults(service.Faults{DieAfterRun: true})
	before := f.runs()
	response, _ := f.call("a1", http.MethodPost, "/orders/8", "coffee", nil)
	assert.Equal(t, response.StatusCode, http.StatusBadGateway)
	assert.Equal(t, response.Header.Get("Wagtailspoke-Outcome"), "UNKNOWN")
	assert.Equal(t, f.runs(), before+1)

	f.call("a1", http.MethodGet, "/orders/8", "", nil)
	assert.Assert(t, f.runs() > before+2, "an idempotent call is retried")
}

// Guards against a keyed call that runs once for each VM it is sent to.
func testIdempotencyKey(t *testing.T, f *fleet) {
	before := f.runs()
	header := make(map[string]string)
	var first string
	// The homes of a fleet that has just started cover no key yet.
	eventually(t, "first keyed call", func() bool {
		key, err := uuid.NewV7()
		assert.NilError(t, err)
		header["Idempotency-Key"] = key.String()
		response, body := f.call("a1", http.MethodPost, "/orders/9", "cake", header)
		if response.StatusCode == http.StatusOK {
			first = body
			return true
		}
		assert.Equal(t, response.Header.Get("Wagtailspoke-Reason"), "IDEMPOTENCY_UNAVAILABLE")
		assert.Equal(t, response.Header.Get("Wagtailspoke-Outcome"), "NOT_RUN")
		time.Sleep(500 * time.Millisecond)
		return false
	})
	for _, id := range f.order {
		eventually(t, "stored answer", func() bool {
			response, body := f.call(id, http.MethodPost, "/orders/9", "cake", header)
			// The end of the first call reaches the homes after its answer.
			inProgress := response.Header.Get("Wagtailspoke-Reason") == "IDEMPOTENCY_IN_PROGRESS"
			assert.Assert(t, inProgress || body == first, "%s: %d %s", id, response.StatusCode, body)
			return !inProgress
		})
	}
	assert.Equal(t, f.runs(), before+1)
	response, _ := f.call("a1", http.MethodPost, "/orders/9", "another cake", header)
	assert.Equal(t, response.Header.Get("Wagtailspoke-Reason"), "IDEMPOTENCY_KEY_REUSED")

	// The violation that claims prevent: without them each VM runs the call.
	for _, id := range f.order {
		f.vms[id].rules.claimKeys = false
		f.call(id, http.MethodPost, "/orders/9", "cake", header)
		f.vms[id].rules.claimKeys = true
	}
	assert.Equal(t, f.runs(), before+1+len(f.order))
}

// Guards against a status that hides what operators need.
func testStatus(t *testing.T, f *fleet) {
	owners, pins := 0, 0
	for _, id := range f.order {
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

// Guards against new work for an endpoint whose record says that it leaves.
func testLeavingEndpoint(t *testing.T, f *fleet) {
	leaving := f.services["orders-dc-a"]
	f.put("endpoint", "orders-dc-a", `{"dataCentre":"dc-a","kind":"service","service":"orders","address":"`+leaving.Address()+`","state":"leaving"}`)
	eventually(t, "record applied", func() bool { return f.caughtUp() })
	before := len(leaving.Runs())
	for range 10 {
		response, _ := f.call("a1", http.MethodPost, "/orders/1", "tea", nil)
		assert.Equal(t, response.StatusCode, http.StatusOK)
	}
	assert.Equal(t, len(leaving.Runs()), before)
}

func (f *fleet) caughtUp() bool {
	for _, vm := range f.vms {
		if vm.catalog.CompleteThrough() < f.platform.Revision() {
			return false
		}
	}
	return true
}

// Guards against a withdrawn key that still works: for a request that waits
// in the queue, for a running stream, and for new requests.
func TestWithdrawnKeyStops(t *testing.T) {
	t.Parallel()
	for _, on := range []bool{true, false} {
		t.Run(map[bool]string{true: "rule on", false: "rule off"}[on], func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, fleetSpec{
				vms:    []vmSpec{{id: "a1", dataCentre: "dc-a", rules: func(r *rules) { r.keyAtDispatch = on }}},
				engine: engine.Config{FirstTokenTime: 20 * time.Millisecond, TokenTime: 50 * time.Millisecond},
			})
			vm := f.vms["a1"]
			_, err := f.generate("a1", testKey, poem("warm"))
			assert.NilError(t, err)
			withdrawn := make(chan struct{})
			request := poem("long")
			request.MaxTokens = 100
			got := f.receive(vm, request, func() {
				select {
				case <-withdrawn:
				default:
					f.platform.Delete("key/ember-1")
					close(withdrawn)
				}
			})
			if !on {
				assert.NilError(t, got.err, "the violation that the rule prevents")
				return
			}
			outcome := outcomeOf(t, got.err)
			assert.Equal(t, outcome.GetReason(), inferencev1.Reason_REASON_KEY_WITHDRAWN)
			assert.Equal(t, outcome.GetOutcome(), inferencev1.Outcome_OUTCOME_UNKNOWN)
			_, err = f.generate("a1", testKey, poem("after"))
			assert.Equal(t, outcomeOf(t, err).GetReason(), inferencev1.Reason_REASON_KEY_WITHDRAWN)
		})
	}
}

// Guards against a graceful shutdown that cuts requests or takes new ones.
func TestDrainCutsNoRequest(t *testing.T) {
	t.Parallel()
	for _, on := range []bool{true, false} {
		t.Run(map[bool]string{true: "rule on", false: "rule off"}[on], func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, fleetSpec{
				vms:    []vmSpec{{id: "a1", dataCentre: "dc-a", rules: func(r *rules) { r.drainWaits = on }}},
				engine: engine.Config{TokenTime: 20 * time.Millisecond},
			})
			vm := f.vms["a1"]
			_, err := f.generate("a1", testKey, poem("warm"))
			assert.NilError(t, err)
			term, terminate := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			go func() { ended <- vm.Run(term) }()
			request := poem("while draining")
			request.MaxTokens = 50
			seen := 0
			got := f.receive(vm, request, func() {
				seen++
				if seen != 5 {
					return
				}
				terminate()
				if on {
					eventually(t, "drain", func() bool { return vm.Status().Drain.State == "draining" })
					assert.Check(t, len(vm.Status().Drain.WaitingFor) > 0)
					_, err := f.generate("a1", testKey, poem("too late"))
					assert.Check(t, outcomeOf(t, err).GetReason() == inferencev1.Reason_REASON_DRAINING)
				}
			})
			drainErr := <-ended
			if !on {
				assert.Assert(t, got.err != nil, "the violation that the rule prevents")
				return
			}
			assert.NilError(t, drainErr)
			assert.NilError(t, got.err)
			assert.Equal(t, got.text, engine.Text("poet@2", "while draining", 50))
			assert.Equal(t, vm.table.PinCount(time.Now()), 0, "pins are given back")
		})
	}
}
