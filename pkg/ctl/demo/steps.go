package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/inferencev1"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/admin"
)

// maxPropagationTime is the maximum time until a change that the platform
// accepted takes effect on every VM.
const maxPropagationTime = 12 * time.Second

// steps lists the steps of the demonstration in execution order.
var steps = []struct {
	title string
	run   func(context.Context, *deployment, *checkReport)
}{
	{"model requests through every VM", checkModelRequests},
	{"requests that must be rejected", checkRefusals},
	{"plain service calls that must not run twice", checkPlainService},
	{"a new adapter version", checkNewVersion},
	{"a withdrawn key", checkKeyWithdrawal},
	{"a customer that exceeds its rate", checkRateLimit},
	{"an engine that restarts without its adapters under load", checkEngineRestart},
	{"a VM killed under load and replaced", checkVMReplacement},
	{"a VM drained under load", checkDrainUnderLoad},
	{"data recorded by the endpoints and the logs", checkRecordedData},
}

// runParallel runs n calls with at most maxConcurrent of them at once, and
// returns when all have ended.
func runParallel(n, maxConcurrent int, run func(i int)) {
	semaphore := make(chan struct{}, maxConcurrent)
	var group sync.WaitGroup
	for i := range n {
		semaphore <- struct{}{}
		group.Go(func() {
			run(i)
			<-semaphore
		})
	}
	group.Wait()
}

// firstFailure keeps the text of the first failure for the detail of a check.
type firstFailure struct {
	once sync.Once
	text string
}

// record stores the failure if it is the first.
func (f *firstFailure) record(format string, arguments ...any) {
	f.once.Do(func() { f.text = "; first failure: " + fmt.Sprintf(format, arguments...) })
}

// checkModelRequests sends unary and streaming requests and checks that each
// response is complete and comes from the requested adapter version.
func checkModelRequests(ctx context.Context, d *deployment, report *checkReport) {
	for _, kind := range []string{"unary", "streaming"} {
		const requests = 96
		var complete, retries atomic.Int64
		var failure firstFailure
		var firstOnce sync.Once
		var firstAfter time.Duration
		start := time.Now()
		runParallel(requests, 16, func(i int) {
			via := d.vms[i%len(d.vms)]
			request := modelRequest{
				key: d.callerKeys["large-1"], adapter: adapterName(i / len(d.vms) % adapterCount), maxTokens: 12,
				prompt: fmt.Sprintf("%s request %d", kind, i), stream: kind == "streaming",
			}
			result := via.sendWithRetry(ctx, request)
			retries.Add(int64(result.retries))
			if result.matches(request, 1) {
				complete.Add(1)
				firstOnce.Do(func() { firstAfter = time.Since(start) })
				return
			}
			failure.record("%s via %s: %v %q", request.adapter, via.id(), result.err, result.text)
		})
		report.check(kind, complete.Load() == requests, "%d of %d responses complete and from the requested adapter version, the first after %.1f s, %d retries%s",
			complete.Load(), requests, firstAfter.Seconds(), retries.Load(), failure.text)
	}
}

// checkRefusals checks that every VM rejects invalid requests with the right
// code and the outcome NOT_RUN.
func checkRefusals(ctx context.Context, d *deployment, report *checkReport) {
	baseRequest := modelRequest{key: d.callerKeys["large-1"], adapter: adapterName(0), prompt: "refused", maxTokens: 4}
	for _, test := range []struct {
		name   string
		change func(*modelRequest)
		code   connect.Code
	}{
		{"without a key", func(request *modelRequest) { request.key = "" }, connect.CodeUnauthenticated},
		{"unknown key", func(request *modelRequest) { request.key = "demo-" + uuid.NewString() }, connect.CodeUnauthenticated},
		{"unknown adapter", func(request *modelRequest) { request.adapter = "nothing" }, connect.CodeNotFound},
		{"unknown version", func(request *modelRequest) { request.version = 77 }, connect.CodeNotFound},
		{"cost above the burst", func(request *modelRequest) { request.maxTokens = 10 * largeBurstTokens }, connect.CodeInvalidArgument},
	} {
		refused := 0
		var failure firstFailure
		for _, via := range d.vms {
			request := baseRequest
			test.change(&request)
			r := via.send(ctx, request)
			if connect.CodeOf(r.err) == test.code && r.notRun() {
				refused++
				continue
			}
			failure.record("via %s: %v %v", via.id(), r.err, r.outcome)
		}
		report.check(test.name, refused == len(d.vms), "%s and NOT_RUN on %d of %d VMs%s", test.code, refused, len(d.vms), failure.text)
	}
}

// checkPlainService checks that calls with an idempotency key run once, and
// which routes need a caller's key.
func checkPlainService(ctx context.Context, d *deployment, report *checkReport) {
	const orders = 16
	before := len(d.service.Runs())
	var answered, sameAnswers atomic.Int64
	var failure firstFailure
	runParallel(orders, 4, func(i int) {
		key, err := uuid.NewV7()
		if err != nil {
			failure.record("%v", err)
			return
		}
		order := serviceCall{
			method: http.MethodPost, path: "/booking/orders", body: fmt.Sprintf(`{"order":%d}`, i),
			key: d.callerKeys["large-1"], idempotencyKey: key.String(),
		}
		first := d.callServiceWithRetry(ctx, d.vms[i%len(d.vms)], order)
		if first.status != http.StatusOK {
			failure.record("%d %s %s %v %s", first.status, first.outcome, first.reason, first.err, first.body)
			return
		}
		answered.Add(1)
		// The service must not run a call that is repeated through another VM
		// with the same idempotency key.
		repeated := d.callServiceWithRetry(ctx, d.vms[(i+1)%len(d.vms)], order)
		if repeated.status == http.StatusOK && repeated.body == first.body {
			sameAnswers.Add(1)
			return
		}
		failure.record("repeat: %d %s %s %v", repeated.status, repeated.outcome, repeated.reason, repeated.err)
	})
	runs := len(d.service.Runs()) - before
	report.check("keyed calls", answered.Load() == orders && sameAnswers.Load() == orders && runs == orders,
		"%d of %d answered, %d repeated calls got the stored response, %d runs%s", answered.Load(), orders, sameAnswers.Load(), runs, failure.text)

	open := d.callService(ctx, d.vms[0], serviceCall{method: http.MethodGet, path: "/public/menu"})
	report.check("open route", open.status == http.StatusOK, "status %d without a key", open.status)
	closed := d.callService(ctx, d.vms[0], serviceCall{method: http.MethodGet, path: "/booking/orders"})
	report.check("closed route", closed.status == http.StatusUnauthorized && closed.outcome == "NOT_RUN", "status %d %s without a key", closed.status, closed.outcome)
}

// callServiceWithRetry sends a call with an idempotency key, and repeats it
// while it is refused as not run or its key is still in use. The key can still
// be in use after a response, because the VMs that are responsible for the key
// learn of the end of a call shortly after its caller has received the
// response.
func (d *deployment) callServiceWithRetry(ctx context.Context, via *vm, request serviceCall) serviceResult {
	deadline := time.Now().Add(requestTimeout)
	for {
		r := d.callService(ctx, via, request)
		refused := r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests
		retry := refused && r.outcome == "NOT_RUN" || r.reason == "IDEMPOTENCY_IN_PROGRESS"
		if !retry || time.Now().After(deadline) || ctx.Err() != nil {
			return r
		}
		time.Sleep(minRetryBackoff)
	}
}

// waitOnAllVMs polls a condition on every VM in parallel for at most
// maxPropagationTime. It returns the longest time that a VM took to fulfil it,
// and the number of VMs that did.
func (d *deployment) waitOnAllVMs(condition func(*vm) bool) (time.Duration, int) {
	start := time.Now()
	var longest atomic.Int64
	var reached atomic.Int64
	runParallel(len(d.vms), len(d.vms), func(i int) {
		for time.Since(start) < maxPropagationTime {
			if condition(d.vms[i]) {
				reached.Add(1)
				for elapsed := int64(time.Since(start)); ; {
					current := longest.Load()
					if elapsed <= current || longest.CompareAndSwap(current, elapsed) {
						return
					}
				}
			}
			time.Sleep(pollInterval)
		}
	})
	return time.Duration(longest.Load()), int(reached.Load())
}

// checkNewVersion publishes a second version of an adapter, and checks that it
// becomes the default on every VM while version 1 stays available.
func checkNewVersion(ctx context.Context, d *deployment, report *checkReport) {
	adapter := adapterName(0)
	if err := d.publishAdapter(adapter, 2); err != nil {
		report.check("publish version 2", false, "%v", err)
		return
	}
	request := modelRequest{key: d.callerKeys["large-1"], adapter: adapter, prompt: "which version", maxTokens: 4}
	var wrong atomic.Int64
	took, reached := d.waitOnAllVMs(func(via *vm) bool {
		r := via.sendWithRetry(ctx, request)
		if !r.matches(request, 1) && !r.matches(request, 2) {
			wrong.Add(1)
		}
		return r.matches(request, 2)
	})
	report.check("default is version 2", reached == len(d.vms) && wrong.Load() == 0, "on %d of %d VMs within %.1f s, %d wrong responses", reached, len(d.vms), took.Seconds(), wrong.Load())
	versionOne := request
	versionOne.version = 1
	matching := 0
	for _, via := range d.vms {
		if r := via.sendWithRetry(ctx, versionOne); r.matches(versionOne, 1) {
			matching++
		}
	}
	report.check("version 1 on request", matching == len(d.vms), "through %d of %d VMs", matching, len(d.vms))
}

// checkKeyWithdrawal checks that every VM rejects a withdrawn key and still
// accepts the customer's other key.
func checkKeyWithdrawal(ctx context.Context, d *deployment, report *checkReport) {
	request := modelRequest{key: d.callerKeys["large-2"], adapter: adapterName(1), prompt: "withdrawn", maxTokens: 2}
	served := 0
	for _, via := range d.vms {
		if r := via.sendWithRetry(ctx, request); r.matches(request, 1) {
			served++
		}
	}
	d.platform.Delete("key/large-2")
	took, reached := d.waitOnAllVMs(func(via *vm) bool {
		r := via.send(ctx, request)
		return connect.CodeOf(r.err) == connect.CodeUnauthenticated && r.notRun()
	})
	report.check("withdrawn key", served == len(d.vms) && reached == len(d.vms), "worked on %d VMs, refused on %d of %d within %.1f s", served, reached, len(d.vms), took.Seconds())
	other := modelRequest{key: d.callerKeys["large-1"], adapter: adapterName(1), prompt: "still valid", maxTokens: 2}
	r := d.vms[0].sendWithRetry(ctx, other)
	report.check("other key of the customer", r.matches(other, 1), "still works (%v)", r.err)
}

// checkRateLimit sends requests above a customer's rate and checks that all VMs
// together admit no more tokens than the rate and the burst allow.
func checkRateLimit(ctx context.Context, d *deployment, report *checkReport) {
	const requests, duration = 400, 4 * time.Second
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	start := time.Now()
	var tokens, answered, refused, timedOut, wrong atomic.Int64
	var failure firstFailure
	runParallel(requests, 24, func(i int) {
		if ctx.Err() != nil {
			return
		}
		request := modelRequest{
			key: d.callerKeys["small-1"], adapter: adapterName(i % adapterCount), version: 1, prompt: fmt.Sprintf("small %d", i),
			maxTokens: 16, timeout: time.Second,
		}
		r := d.vms[i%len(d.vms)].send(ctx, request)
		switch {
		case r.matches(request, 1):
			answered.Add(1)
			tokens.Add(int64(r.tokens))
		case r.reason() == inferencev1.Reason_REASON_RATE_EXCEEDED && r.notRun():
			refused.Add(1)
		case connect.CodeOf(r.err) == connect.CodeDeadlineExceeded || ctx.Err() != nil:
			timedOut.Add(1)
		default:
			wrong.Add(1)
			failure.record("%v", r.err)
		}
	})
	elapsed := time.Since(start)
	allowedTokens := smallBurstTokens + float64(smallTokensPerMinute)/60*elapsed.Seconds()
	report.check("rate and burst", float64(tokens.Load()) <= allowedTokens && refused.Load() > 0 && answered.Load() > 0 && wrong.Load() == 0,
		"%d responses with %d tokens in %.1f s (at most %.0f allowed over all VMs), %d refused as RATE_EXCEEDED, %d not answered within 1 s, %d other failures%s",
		answered.Load(), tokens.Load(), elapsed.Seconds(), allowedTokens, refused.Load(), timedOut.Load(), wrong.Load(), failure.text)
}

// outcomeCounts counts how the requests ended that were sent during a fault. It
// is safe for concurrent use.
type outcomeCounts struct {
	complete, unknown, noOutcome, wrong, refused atomic.Int64
	failure                                      firstFailure
}

// add counts the result of one request.
func (c *outcomeCounts) add(via *vm, request modelRequest, r modelResult) {
	switch {
	case r.matches(request, 1):
		c.complete.Add(1)
	case r.err == nil:
		c.wrong.Add(1)
		c.failure.record("%s via %s: response from %s: %q", request.adapter, via.id(), r.ref, r.text)
	case r.notRun():
		c.refused.Add(1)
		c.failure.record("%s via %s: %v", request.adapter, via.id(), r.err)
	case r.outcome != nil:
		c.unknown.Add(1)
	default:
		c.noOutcome.Add(1)
	}
}

// mixedLoad sends unary and streaming requests through all VMs, injects the
// fault shortly after the first requests have started, and returns the counts.
func (d *deployment) mixedLoad(ctx context.Context, name string, requests int, fault func()) *outcomeCounts {
	var counts outcomeCounts
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(4 * firstTokenTime)
		fault()
	})
	via := append([]*vm(nil), d.vms...)
	runParallel(requests, 12, func(i int) {
		request := modelRequest{
			key: d.callerKeys["large-1"], adapter: adapterName(1 + i%(adapterCount-1)), version: 1,
			prompt: fmt.Sprintf("%s %d", name, i), maxTokens: 40, stream: i%2 == 0,
		}
		counts.add(via[i%len(via)], request, via[i%len(via)].sendWithRetry(ctx, request))
	})
	group.Wait()
	return &counts
}

// checkEngineRestart restarts an engine without its adapters under load, and
// checks that no request gets a wrong response or ends without an outcome.
func checkEngineRestart(ctx context.Context, d *deployment, report *checkReport) {
	const requests = 72
	restarted := d.engines[0]
	outcomes := d.mixedLoad(ctx, "restart", requests, restarted.Restart)
	report.check("engine restart", outcomes.wrong.Load() == 0 && outcomes.noOutcome.Load() == 0 && outcomes.refused.Load() == 0 && outcomes.complete.Load() > 0,
		"%s restarted; %d of %d responses complete, %d streams ended as UNKNOWN, %d wrong, %d refused, %d without an outcome%s",
		restarted.id, outcomes.complete.Load(), requests, outcomes.unknown.Load(), outcomes.wrong.Load(), outcomes.refused.Load(), outcomes.noOutcome.Load(), outcomes.failure.text)
}

// checkVMReplacement kills a VM under load, checks the requests through the
// other VMs, and checks that its replacement serves all adapters.
func checkVMReplacement(ctx context.Context, d *deployment, report *checkReport) {
	const requests, killedIndex = 72, 1
	killed := d.vms[killedIndex]
	outcomes := d.mixedLoad(ctx, "kill", requests, killed.process.kill)
	// Only requests through the killed VM may end without an outcome, which is
	// at most their share of all requests: one quarter.
	report.check("VM killed", outcomes.wrong.Load() == 0 && outcomes.refused.Load() == 0 && outcomes.noOutcome.Load() <= int64(requests/len(d.vms)),
		"%s killed; %d of %d responses complete, %d without an outcome, %d ended as UNKNOWN, %d wrong, %d refused%s",
		killed.id(), outcomes.complete.Load(), requests, outcomes.noOutcome.Load(), outcomes.unknown.Load(), outcomes.wrong.Load(), outcomes.refused.Load(), outcomes.failure.text)

	replacement, err := d.replaceVM(ctx, killedIndex)
	if err != nil {
		report.check("VM replaced", false, "%v", err)
		return
	}
	served := 0
	var slowest time.Duration
	var failure firstFailure
	for i := range adapterCount - 1 {
		request := modelRequest{key: d.callerKeys["large-1"], adapter: adapterName(1 + i), version: 1, prompt: "replaced", maxTokens: 4}
		start := time.Now()
		r := replacement.sendWithRetry(ctx, request)
		slowest = max(slowest, time.Since(start))
		if r.matches(request, 1) {
			served++
			continue
		}
		failure.record("%s: %v", request.adapter, r.err)
	}
	report.check("VM replaced", served == adapterCount-1, "%s serves %d of %d adapters, the slowest after %.1f s%s",
		replacement.id(), served, adapterCount-1, slowest.Seconds(), failure.text)
}

// checkDrainUnderLoad drains a VM under load and checks that no request is
// interrupted, that the daemon exits, and that the other VMs keep serving.
func checkDrainUnderLoad(ctx context.Context, d *deployment, report *checkReport) {
	leaving := d.vms[len(d.vms)-1]
	const before, requests = 8, 64
	var complete, failed, refused atomic.Int64
	var failure firstFailure
	var drained atomic.Bool
	started := make(chan struct{}, requests)
	drainDone := make(chan error, 1)
	go func() {
		for range before {
			<-started
		}
		time.Sleep(firstTokenTime)
		d.publishVMList(leaving.id())
		drainDone <- d.drain(ctx, leaving)
		drained.Store(true)
	}()
	runParallel(requests, 16, func(i int) {
		started <- struct{}{}
		request := modelRequest{
			key: d.callerKeys["large-1"], adapter: adapterName(2 + i%2), prompt: fmt.Sprintf("drain %d", i),
			maxTokens: 40, stream: i%2 == 0,
		}
		r := leaving.send(ctx, request)
		switch {
		case r.matches(request, 1):
			complete.Add(1)
		case r.notRun() && r.reason() == inferencev1.Reason_REASON_DRAINING, r.outcome == nil && strings.Contains(fmt.Sprint(r.err), "connection refused"):
			// A load balancer would now send the request to another VM.
			refused.Add(1)
			other := d.vms[i%(len(d.vms)-1)]
			if again := other.sendWithRetry(ctx, request); !again.matches(request, 1) {
				failure.record("via %s: %v", other.id(), again.err)
				failed.Add(1)
			}
		default:
			failed.Add(1)
			failure.record("%v", r.err)
		}
	})
	err := <-drainDone
	report.check("no request interrupted", failed.Load() == 0 && complete.Load() > 0, "%d answered by the draining VM, %d repeated through other VMs, %d failed%s", complete.Load(), refused.Load(), failed.Load(), failure.text)
	report.check("drain ends", err == nil && drained.Load(), "%v", errorOr(err, "the daemon exited"))
	request := modelRequest{key: d.callerKeys["large-1"], adapter: adapterName(4), prompt: "after the drain", maxTokens: 4}
	served := 0
	d.vms = d.vms[:len(d.vms)-1]
	for _, via := range d.vms {
		if r := via.sendWithRetry(ctx, request); r.matches(request, 1) {
			served++
		}
	}
	d.publishVMList("")
	report.check("other VMs keep serving", served == len(d.vms), "%d of %d serve", served, len(d.vms))
}

// errorOr returns err, or text if err is nil.
func errorOr(err error, text string) any {
	if err != nil {
		return err
	}
	return text
}

// drain drains a VM as the platform does: it requests the drain and then
// terminates the process, which must first finish the open requests.
func (d *deployment) drain(ctx context.Context, v *vm) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.settings.Listen.Admin+admin.PathDrain, nil)
	if err != nil {
		return err
	}
	response, err := d.httpClient.Do(request)
	if err != nil {
		return err
	}
	response.Body.Close()
	if response.StatusCode != http.StatusAccepted {
		return fmt.Errorf("drain answered %s", response.Status)
	}
	if state, err := d.drainState(ctx, v); err != nil || state == admin.DrainNone {
		return fmt.Errorf("drain state %q, error %v", state, err)
	}
	return v.process.terminate(v.settings.Timeouts.Drain.Duration())
}

// drainState returns the state of the drain from the status of a VM.
func (d *deployment) drainState(ctx context.Context, v *vm) (admin.DrainState, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.settings.Listen.Admin+admin.PathStatus, nil)
	if err != nil {
		return "", err
	}
	response, err := d.httpClient.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	var status admin.Status
	err = json.NewDecoder(response.Body).Decode(&status)
	return status.Drain.State, err
}

// checkRecordedData checks what the simulated systems recorded: no violations,
// no exceeded limits, and no caller's key in a request to an endpoint or in a
// log.
func checkRecordedData(_ context.Context, d *deployment, report *checkReport) {
	runs, violations := 0, []string{}
	var recorded bytes.Buffer
	for _, e := range d.engines {
		for _, run := range e.Runs() {
			runs++
			fmt.Fprintln(&recorded, run.Header, run.Prompt)
		}
		for _, violation := range e.Violations() {
			violations = append(violations, fmt.Sprintf("%s %s %s (%s)", e.id, violation.Kind, violation.Model, violation.Detail))
		}
	}
	for _, run := range d.service.Runs() {
		fmt.Fprintln(&recorded, run.Header, run.Path, run.Body)
	}
	report.check("engines", len(violations) == 0, "%d runs, %d violations %s", runs, len(violations), strings.Join(violations, "; "))
	store := d.store.Counters()
	report.check("weight store", store.OverRate == 0 && store.OverInFlight == 0, "%d loads, at most %d in flight, %d above the rate, %d above the number in flight",
		store.Finished, store.MaxInFlight, store.OverRate, store.OverInFlight)
	calls := d.platform.Calls()
	report.check("configuration service", calls.Refused == 0, "%d calls, at most %d waiting, %d refused", calls.Total, calls.MaxWaiting, calls.Refused)
	report.check("no key at an endpoint", !containsKey(d.callerKeys, recorded.Bytes()), "%d runs of engines and %d of the service searched", runs, len(d.service.Runs()))
	logBytes, leaked := 0, false
	for _, file := range d.logFiles {
		data, err := os.ReadFile(file)
		leaked = leaked || err != nil || containsKey(d.callerKeys, data)
		logBytes += len(data)
	}
	report.check("no key in a log", !leaked, "%d bytes of logs searched", logBytes)
}

// containsKey reports whether data contains one of the callers' keys.
func containsKey(keys map[string]string, data []byte) bool {
	for _, key := range keys {
		if bytes.Contains(data, []byte(key)) {
			return true
		}
	}
	return false
}
