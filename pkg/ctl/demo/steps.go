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

// propagation is the time in which an accepted change must be in force on
// every VM.
const propagation = 12 * time.Second

// steps lists the steps of the demonstration in their order.
var steps = []struct {
	title string
	run   func(context.Context, *world, *verdict)
}{
	{"model requests through every VM", modelRequests},
	{"requests that must be refused", refusals},
	{"plain service with calls that may not be repeated", plainService},
	{"a new adapter version", newVersion},
	{"a withdrawn key", withdrawnKey},
	{"a customer above its rate", rateLimit},
	{"an engine that restarts cold under load", engineRestart},
	{"a VM killed under load and replaced", vmKilled},
	{"a VM drained under load", drainUnderLoad},
	{"what the endpoints and the logs saw", whatEndpointsSaw},
}

// parallel runs n calls with a bounded number at once.
func parallel(n, atOnce int, run func(i int)) {
	places := make(chan struct{}, atOnce)
	var group sync.WaitGroup
	for i := range n {
		places <- struct{}{}
		group.Go(func() {
			run(i)
			<-places
		})
	}
	group.Wait()
}

// firstError remembers the first failure for a check's detail.
type firstError struct {
	once sync.Once
	text string
}

func (f *firstError) note(format string, arguments ...any) {
	f.once.Do(func() { f.text = "; first failure: " + fmt.Sprintf(format, arguments...) })
}

func modelRequests(ctx context.Context, w *world, v *verdict) {
	for _, kind := range []string{"unary", "streaming"} {
		const requests = 96
		var whole, retries atomic.Int64
		var failure firstError
		var first sync.Once
		var firstAfter time.Duration
		start := time.Now()
		parallel(requests, 16, func(i int) {
			via := w.vms[i%len(w.vms)]
			a := ask{
				key: w.keys["large-1"], adapter: adapterName(i / len(w.vms) % adapters), maxTokens: 12,
				prompt: fmt.Sprintf("%s request %d", kind, i), stream: kind == "streaming",
			}
			r := via.send(ctx, a)
			retries.Add(int64(r.retries))
			if r.matches(a, 1) {
				whole.Add(1)
				first.Do(func() { firstAfter = time.Since(start) })
				return
			}
			failure.note("%s via %s: %v %q", a.adapter, via.id(), r.err, r.text)
		})
		v.check(kind, whole.Load() == requests, "%d of %d answers whole, from the adapter version asked for, the first after %.1f s, %d retries%s",
			whole.Load(), requests, firstAfter.Seconds(), retries.Load(), failure.text)
	}
}

func refusals(ctx context.Context, w *world, v *verdict) {
	base := ask{key: w.keys["large-1"], adapter: adapterName(0), prompt: "refused", maxTokens: 4}
	for _, test := range []struct {
		name   string
		change func(*ask)
		code   connect.Code
	}{
		{"without a key", func(a *ask) { a.key = "" }, connect.CodeUnauthenticated},
		{"unknown key", func(a *ask) { a.key = "demo-" + uuid.NewString() }, connect.CodeUnauthenticated},
		{"unknown adapter", func(a *ask) { a.adapter = "nothing" }, connect.CodeNotFound},
		{"unknown version", func(a *ask) { a.version = 77 }, connect.CodeNotFound},
		{"cost above the burst", func(a *ask) { a.maxTokens = 10 * largeBurst }, connect.CodeInvalidArgument},
	} {
		refused := 0
		var failure firstError
		for _, via := range w.vms {
			a := base
			test.change(&a)
			r := via.once(ctx, a)
			if connect.CodeOf(r.err) == test.code && r.notRun() {
				refused++
				continue
			}
			failure.note("via %s: %v %v", via.id(), r.err, r.outcome)
		}
		v.check(test.name, refused == len(w.vms), "%s and NOT_RUN on %d of %d VMs%s", test.code, refused, len(w.vms), failure.text)
	}
}

func plainService(ctx context.Context, w *world, v *verdict) {
	const orders = 16
	before := len(w.service.Runs())
	var answered, repeatedAlike atomic.Int64
	var failure firstError
	parallel(orders, 4, func(i int) {
		key, err := uuid.NewV7()
		if err != nil {
			failure.note("%v", err)
			return
		}
		c := call{
			method: http.MethodPost, path: "/booking/orders", body: fmt.Sprintf(`{"order":%d}`, i),
			key: w.keys["large-1"], idempotencyKey: key.String(),
		}
		first := w.callPatiently(ctx, w.vms[i%len(w.vms)], c)
		if first.status != http.StatusOK {
			failure.note("%d %s %s %v %s", first.status, first.outcome, first.reason, first.err, first.body)
			return
		}
		answered.Add(1)
		// The same call with the same key through another VM must not run.
		again := w.callPatiently(ctx, w.vms[(i+1)%len(w.vms)], c)
		if again.status == http.StatusOK && again.body == first.body {
			repeatedAlike.Add(1)
			return
		}
		failure.note("repeat: %d %s %s %v", again.status, again.outcome, again.reason, again.err)
	})
	runs := len(w.service.Runs()) - before
	v.check("keyed calls", answered.Load() == orders && repeatedAlike.Load() == orders && runs == orders,
		"%d of %d answered, %d repeats got the stored answer, %d runs%s", answered.Load(), orders, repeatedAlike.Load(), runs, failure.text)

	open := w.call(ctx, w.vms[0], call{method: http.MethodGet, path: "/public/menu"})
	v.check("open route", open.status == http.StatusOK, "status %d without a key", open.status)
	closed := w.call(ctx, w.vms[0], call{method: http.MethodGet, path: "/booking/orders"})
	v.check("closed route", closed.status == http.StatusUnauthorized && closed.outcome == "NOT_RUN", "status %d %s without a key", closed.status, closed.outcome)
}

// callPatiently repeats a keyed call that was refused as not run, or whose key
// is still in use: the homes of a key learn the end of a call shortly after
// its caller has the answer.
func (w *world) callPatiently(ctx context.Context, via *vm, c call) callResult {
	deadline := time.Now().Add(requestTimeout)
	for {
		r := w.call(ctx, via, c)
		refused := r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests
		again := refused && r.outcome == "NOT_RUN" || r.reason == "IDEMPOTENCY_IN_PROGRESS"
		if !again || time.Now().After(deadline) || ctx.Err() != nil {
			return r
		}
		time.Sleep(minRetryPause)
	}
}

// eventually polls each VM until the condition holds there, and returns the
// longest time that one took and how many got there in time.
func (w *world) eventually(condition func(*vm) bool) (time.Duration, int) {
	start := time.Now()
	var longest atomic.Int64
	var reached atomic.Int64
	parallel(len(w.vms), len(w.vms), func(i int) {
		for time.Since(start) < propagation {
			if condition(w.vms[i]) {
				reached.Add(1)
				for took := int64(time.Since(start)); ; {
					old := longest.Load()
					if took <= old || longest.CompareAndSwap(old, took) {
						return
					}
				}
			}
			time.Sleep(poll)
		}
	})
	return time.Duration(longest.Load()), int(reached.Load())
}

func newVersion(ctx context.Context, w *world, v *verdict) {
	adapter := adapterName(0)
	if err := w.publishAdapter(adapter, 2); err != nil {
		v.check("publish version 2", false, "%v", err)
		return
	}
	a := ask{key: w.keys["large-1"], adapter: adapter, prompt: "which version", maxTokens: 4}
	var wrong atomic.Int64
	took, reached := w.eventually(func(via *vm) bool {
		r := via.send(ctx, a)
		if !r.matches(a, 1) && !r.matches(a, 2) {
			wrong.Add(1)
		}
		return r.matches(a, 2)
	})
	v.check("default is version 2", reached == len(w.vms) && wrong.Load() == 0, "on %d of %d VMs within %.1f s, %d wrong answers", reached, len(w.vms), took.Seconds(), wrong.Load())
	old := a
	old.version = 1
	alike := 0
	for _, via := range w.vms {
		if r := via.send(ctx, old); r.matches(old, 1) {
			alike++
		}
	}
	v.check("version 1 on request", alike == len(w.vms), "through %d of %d VMs", alike, len(w.vms))
}

func withdrawnKey(ctx context.Context, w *world, v *verdict) {
	a := ask{key: w.keys["large-2"], adapter: adapterName(1), prompt: "withdrawn", maxTokens: 2}
	served := 0
	for _, via := range w.vms {
		if r := via.send(ctx, a); r.matches(a, 1) {
			served++
		}
	}
	w.platform.Delete("key/large-2")
	took, reached := w.eventually(func(via *vm) bool {
		r := via.once(ctx, a)
		return connect.CodeOf(r.err) == connect.CodeUnauthenticated && r.notRun()
	})
	v.check("withdrawn key", served == len(w.vms) && reached == len(w.vms), "worked on %d VMs, refused on %d of %d within %.1f s", served, reached, len(w.vms), took.Seconds())
	other := ask{key: w.keys["large-1"], adapter: adapterName(1), prompt: "still valid", maxTokens: 2}
	r := w.vms[0].send(ctx, other)
	v.check("other key of the customer", r.matches(other, 1), "still works (%v)", r.err)
}

func rateLimit(ctx context.Context, w *world, v *verdict) {
	const requests, duration = 400, 4 * time.Second
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	start := time.Now()
	var tokens, answered, refused, late, wrong atomic.Int64
	var failure firstError
	parallel(requests, 24, func(i int) {
		if ctx.Err() != nil {
			return
		}
		a := ask{
			key: w.keys["small-1"], adapter: adapterName(i % adapters), version: 1, prompt: fmt.Sprintf("small %d", i),
			maxTokens: 16, timeout: time.Second,
		}
		r := w.vms[i%len(w.vms)].once(ctx, a)
		switch {
		case r.matches(a, 1):
			answered.Add(1)
			tokens.Add(int64(r.tokens))
		case r.reason() == inferencev1.Reason_REASON_RATE_EXCEEDED && r.notRun():
			refused.Add(1)
		case connect.CodeOf(r.err) == connect.CodeDeadlineExceeded || ctx.Err() != nil:
			late.Add(1)
		default:
			wrong.Add(1)
			failure.note("%v", r.err)
		}
	})
	elapsed := time.Since(start)
	bound := smallBurst + float64(smallTokensPerMinute)/60*elapsed.Seconds()
	v.check("rate and burst", float64(tokens.Load()) <= bound && refused.Load() > 0 && answered.Load() > 0 && wrong.Load() == 0,
		"%d answers with %d tokens in %.1f s (allowed %.0f over all VMs), %d refused as RATE_EXCEEDED, %d not answered within 1 s, %d other failures%s",
		answered.Load(), tokens.Load(), elapsed.Seconds(), bound, refused.Load(), late.Load(), wrong.Load(), failure.text)
}

// tally counts how requests under a fault ended.
type tally struct {
	whole, unknown, broken, wrong, refused atomic.Int64
	failure                                firstError
}

// count adds the result of one request.
func (t *tally) count(via *vm, a ask, r result) {
	switch {
	case r.matches(a, 1):
		t.whole.Add(1)
	case r.err == nil:
		t.wrong.Add(1)
		t.failure.note("%s via %s: answer of %s: %q", a.adapter, via.id(), r.ref, r.text)
	case r.notRun():
		t.refused.Add(1)
		t.failure.note("%s via %s: %v", a.adapter, via.id(), r.err)
	case r.outcome != nil:
		t.unknown.Add(1)
	default:
		t.broken.Add(1)
	}
}

// mixedLoad sends unary and streaming requests through the VMs, and runs the
// fault soon after the first ones have started.
func (w *world) mixedLoad(ctx context.Context, name string, requests int, fault func()) *tally {
	var t tally
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(4 * firstTokenTime)
		fault()
	})
	via := append([]*vm(nil), w.vms...)
	parallel(requests, 12, func(i int) {
		a := ask{
			key: w.keys["large-1"], adapter: adapterName(1 + i%(adapters-1)), version: 1,
			prompt: fmt.Sprintf("%s %d", name, i), maxTokens: 40, stream: i%2 == 0,
		}
		t.count(via[i%len(via)], a, via[i%len(via)].send(ctx, a))
	})
	group.Wait()
	return &t
}

func engineRestart(ctx context.Context, w *world, v *verdict) {
	const requests = 72
	restarted := w.engines[0]
	t := w.mixedLoad(ctx, "restart", requests, restarted.Restart)
	v.check("engine restart", t.wrong.Load() == 0 && t.broken.Load() == 0 && t.refused.Load() == 0 && t.whole.Load() > 0,
		"%s restarted; %d of %d answers whole, %d streams ended as UNKNOWN, %d wrong, %d refused, %d without an outcome%s",
		restarted.id, t.whole.Load(), requests, t.unknown.Load(), t.wrong.Load(), t.refused.Load(), t.broken.Load(), t.failure.text)
}

func vmKilled(ctx context.Context, w *world, v *verdict) {
	const requests, victim = 72, 1
	killed := w.vms[victim]
	t := w.mixedLoad(ctx, "kill", requests, killed.process.kill)
	// Requests through the killed VM break without an outcome: a quarter of
	// all at most. No other request may.
	v.check("VM killed", t.wrong.Load() == 0 && t.refused.Load() == 0 && t.broken.Load() <= int64(requests/len(w.vms)),
		"%s killed; %d of %d answers whole, %d broken connections, %d ended as UNKNOWN, %d wrong, %d refused%s",
		killed.id(), t.whole.Load(), requests, t.broken.Load(), t.unknown.Load(), t.wrong.Load(), t.refused.Load(), t.failure.text)

	replacement, err := w.replaceVM(ctx, victim)
	if err != nil {
		v.check("VM replaced", false, "%v", err)
		return
	}
	served := 0
	var slowest time.Duration
	var failure firstError
	for i := range adapters - 1 {
		a := ask{key: w.keys["large-1"], adapter: adapterName(1 + i), version: 1, prompt: "replaced", maxTokens: 4}
		start := time.Now()
		r := replacement.send(ctx, a)
		slowest = max(slowest, time.Since(start))
		if r.matches(a, 1) {
			served++
			continue
		}
		failure.note("%s: %v", a.adapter, r.err)
	}
	v.check("VM replaced", served == adapters-1, "%s serves %d of %d adapters, the slowest after %.1f s%s",
		replacement.id(), served, adapters-1, slowest.Seconds(), failure.text)
}

func drainUnderLoad(ctx context.Context, w *world, v *verdict) {
	leaving := w.vms[len(w.vms)-1]
	const before, requests = 8, 64
	var whole, cut, refused atomic.Int64
	var failure firstError
	var drained atomic.Bool
	started := make(chan struct{}, requests)
	drainDone := make(chan error, 1)
	go func() {
		for range before {
			<-started
		}
		time.Sleep(firstTokenTime)
		w.publishVMs(leaving.id())
		drainDone <- w.drain(ctx, leaving)
		drained.Store(true)
	}()
	parallel(requests, 16, func(i int) {
		started <- struct{}{}
		a := ask{
			key: w.keys["large-1"], adapter: adapterName(2 + i%2), prompt: fmt.Sprintf("drain %d", i),
			maxTokens: 40, stream: i%2 == 0,
		}
		r := leaving.once(ctx, a)
		switch {
		case r.matches(a, 1):
			whole.Add(1)
		case r.notRun() && r.reason() == inferencev1.Reason_REASON_DRAINING, r.outcome == nil && strings.Contains(fmt.Sprint(r.err), "connection refused"):
			// The caller's load balancer would now choose another VM.
			refused.Add(1)
			other := w.vms[i%(len(w.vms)-1)]
			if again := other.send(ctx, a); !again.matches(a, 1) {
				failure.note("via %s: %v", other.id(), again.err)
				cut.Add(1)
			}
		default:
			cut.Add(1)
			failure.note("%v", r.err)
		}
	})
	err := <-drainDone
	v.check("no request cut", cut.Load() == 0 && whole.Load() > 0, "%d answered by the draining VM, %d sent on to others, %d cut%s", whole.Load(), refused.Load(), cut.Load(), failure.text)
	v.check("drain ends", err == nil && drained.Load(), "%v", errorOr(err, "the daemon ended by itself"))
	a := ask{key: w.keys["large-1"], adapter: adapterName(4), prompt: "after the drain", maxTokens: 4}
	served := 0
	w.vms = w.vms[:len(w.vms)-1]
	for _, via := range w.vms {
		if r := via.send(ctx, a); r.matches(a, 1) {
			served++
		}
	}
	w.publishVMs("")
	v.check("other VMs go on", served == len(w.vms), "%d of %d serve", served, len(w.vms))
}

func errorOr(err error, text string) any {
	if err != nil {
		return err
	}
	return text
}

// drain drains a VM as the platform does: it starts the drain, then ends the
// process, which must wait for the open requests.
func (w *world) drain(ctx context.Context, v *vm) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.settings.Listen.Admin+admin.PathDrain, nil)
	if err != nil {
		return err
	}
	response, err := w.http.Do(request)
	if err != nil {
		return err
	}
	response.Body.Close()
	if response.StatusCode != http.StatusAccepted {
		return fmt.Errorf("drain answered %s", response.Status)
	}
	if state, err := w.drainState(ctx, v); err != nil || state == admin.DrainNone {
		return fmt.Errorf("drain state %q, error %v", state, err)
	}
	return v.process.end(v.settings.Timeouts.Drain.Duration())
}

// drainState asks a VM how far its drain is.
func (w *world) drainState(ctx context.Context, v *vm) (admin.DrainState, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.settings.Listen.Admin+admin.PathStatus, nil)
	if err != nil {
		return "", err
	}
	response, err := w.http.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	var status admin.Status
	err = json.NewDecoder(response.Body).Decode(&status)
	return status.Drain.State, err
}

func whatEndpointsSaw(_ context.Context, w *world, v *verdict) {
	runs, violations := 0, []string{}
	var seen bytes.Buffer
	for _, e := range w.engines {
		for _, run := range e.Runs() {
			runs++
			fmt.Fprintln(&seen, run.Header, run.Prompt)
		}
		for _, violation := range e.Violations() {
			violations = append(violations, fmt.Sprintf("%s %s %s (%s)", e.id, violation.Kind, violation.Model, violation.Detail))
		}
	}
	for _, run := range w.service.Runs() {
		fmt.Fprintln(&seen, run.Header, run.Path, run.Body)
	}
	v.check("engines", len(violations) == 0, "%d runs, %d breaches %s", runs, len(violations), strings.Join(violations, "; "))
	store := w.store.Counters()
	v.check("weight store", store.OverRate == 0 && store.OverInFlight == 0, "%d loads, at most %d in flight, %d above the rate, %d above the number in flight",
		store.Finished, store.MaxInFlight, store.OverRate, store.OverInFlight)
	calls := w.platform.Calls()
	v.check("configuration service", calls.Refused == 0, "%d calls, at most %d waiting, %d refused", calls.Total, calls.MaxWaiting, calls.Refused)
	v.check("no key at an endpoint", !holdsKey(w.keys, seen.Bytes()), "%d runs of engines and %d of the service searched", runs, len(w.service.Runs()))
	logBytes, leaked := 0, false
	for _, file := range w.logs {
		data, err := os.ReadFile(file)
		leaked = leaked || err != nil || holdsKey(w.keys, data)
		logBytes += len(data)
	}
	v.check("no key in a log", !leaked, "%d bytes of logs searched", logBytes)
}

func holdsKey(keys map[string]string, data []byte) bool {
	for _, key := range keys {
		if bytes.Contains(data, []byte(key)) {
			return true
		}
	}
	return false
}
