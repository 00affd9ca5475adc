package faults

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/wagtailspoke/wagtailspoke/internal/standin/engine"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Promise names one of the things that must always hold.
type Promise string

// The promises that a run is checked for, in the order of docs/design.md.
const (
	PromiseVersion    Promise = "R1 asked version"
	PromiseNoEvict    Promise = "R2 no eviction while serving"
	PromiseCustomer   Promise = "R3 customer of the key"
	PromiseKeyHidden  Promise = "R4 key hidden"
	PromiseWithdrawn  Promise = "R5 withdrawn key stops"
	PromiseRate       Promise = "R6 rate and burst"
	PromiseWhole      Promise = "R7 whole own answer"
	PromiseNotRun     Promise = "R8 not run is true"
	PromiseOnce       Promise = "R9 at most once"
	PromiseLeaving    Promise = "R10 leaving endpoint"
	PromiseDrain      Promise = "R11 drain cuts nothing"
	PromiseForce      Promise = "R12 in force, no revert"
	PromiseStoreLimit Promise = "store limits"
)

// Promises lists all promises in the order of the table.
var Promises = []Promise{
	PromiseVersion, PromiseNoEvict, PromiseCustomer, PromiseKeyHidden, PromiseWithdrawn, PromiseRate,
	PromiseWhole, PromiseNotRun, PromiseOnce, PromiseLeaving, PromiseDrain, PromiseForce, PromiseStoreLimit,
}

// Violation is one breach of a promise.
type Violation struct {
	Promise Promise `json:"promise"`
	Detail  string  `json:"detail"`
}

// Bounds of the promises, from docs/design.md.
const (
	// forceBound is the time from publishing to force at the target.
	forceBound = 12 * time.Second
	// secondsBound is what "within seconds" is taken to be for keys and
	// leaving endpoints on VMs that are connected.
	secondsBound = 5 * time.Second
)

// report collects violations of one promise.
type report struct {
	promise Promise
	found   []Violation
}

func (r *report) add(format string, arguments ...any) {
	r.found = append(r.found, Violation{Promise: r.promise, Detail: fmt.Sprintf(format, arguments...)})
}

// checks maps each promise to its check.
var checks = map[Promise]func(*Observations, *report){
	PromiseVersion:    checkVersion,
	PromiseNoEvict:    checkNoEvict,
	PromiseCustomer:   checkCustomer,
	PromiseKeyHidden:  checkKeyHidden,
	PromiseWithdrawn:  checkWithdrawn,
	PromiseRate:       checkRate,
	PromiseWhole:      checkWhole,
	PromiseNotRun:     checkNotRun,
	PromiseOnce:       checkOnce,
	PromiseLeaving:    checkLeaving,
	PromiseDrain:      checkDrain,
	PromiseForce:      checkForce,
	PromiseStoreLimit: checkStoreLimit,
}

// Check returns the violations of all promises in a run.
func Check(observed *Observations) []Violation {
	var found []Violation
	for _, promise := range Promises {
		r := &report{promise: promise}
		checks[promise](observed, r)
		found = append(found, r.found...)
	}
	return found
}

// eventsByPrompt indexes the generations of a run. Prompts are unique, while
// the request id that an engine sees is the daemon's own for each attempt.
func eventsByPrompt(o *Observations) map[string]Event {
	byPrompt := make(map[string]Event, len(o.Events))
	for _, event := range o.Events {
		if event.Order == "" {
			byPrompt[event.Prompt] = event
		}
	}
	return byPrompt
}

// eachRun calls visit for each run of an engine that belongs to an event.
func eachRun(o *Observations, visit func(endpoint ids.EndpointID, run engine.Run, event Event)) {
	byPrompt := eventsByPrompt(o)
	for endpoint, runs := range o.EngineRuns {
		for _, run := range runs {
			if event, known := byPrompt[run.Prompt]; known {
				visit(endpoint, run, event)
			}
		}
	}
}

func checkVersion(o *Observations, r *report) {
	eachRun(o, func(endpoint ids.EndpointID, run engine.Run, event Event) {
		ref, err := ids.ParseAdapterRef(run.Model)
		if err != nil || ref.Adapter != event.Adapter || event.Version != 0 && ref.Version != event.Version {
			r.add("request %s asked for %s@%d and ran on %s of %s", event.ID, event.Adapter, event.Version, run.Model, endpoint)
		}
	})
	for _, event := range o.Events {
		if event.Order == "" && event.Result == ResultAnswer && event.Version != 0 && event.Answered != event.Version {
			r.add("request %s asked for version %d and was answered by %d", event.ID, event.Version, event.Answered)
		}
	}
}

func checkNoEvict(o *Observations, r *report) {
	for endpoint, violations := range o.Violations {
		for _, violation := range violations {
			if violation.Kind == engine.ViolationEvictedServing {
				r.add("%s: %s: %s", endpoint, violation.Model, violation.Detail)
			}
		}
	}
}

// checkCustomer looks for runs of prompts that no caller sent, or that came
// with a key of no customer.
func checkCustomer(o *Observations, r *report) {
	byPrompt := eventsByPrompt(o)
	for endpoint, runs := range o.EngineRuns {
		for _, run := range runs {
			event, known := byPrompt[run.Prompt]
			if !known || event.Key == wrongKey {
				r.add("%s ran request %q, which no customer sent", endpoint, run.RequestID)
			}
		}
	}
}

func checkKeyHidden(o *Observations, r *report) {
	keys := []string{spareKey, wrongKey}
	for _, customer := range customers {
		keys = append(keys, keyOf(customer))
	}
	seen := func(where, text string) {
		for _, key := range keys {
			if strings.Contains(text, key) {
				r.add("a key stands in %s", where)
				return
			}
		}
	}
	for endpoint, runs := range o.EngineRuns {
		for _, run := range runs {
			seen("the headers at "+string(endpoint), fmt.Sprint(run.Header))
		}
	}
	for endpoint, runs := range o.ServiceRuns {
		for _, run := range runs {
			seen("the headers at "+string(endpoint), fmt.Sprint(run.Header))
		}
	}
	for vm, text := range o.Pages {
		seen("logs, metrics or status of "+string(vm), text)
	}
	for _, event := range o.Events {
		seen("the error of request "+string(event.ID), event.Detail)
	}
}

func checkWithdrawn(o *Observations, r *report) {
	for _, withdrawal := range o.Withdrawals {
		if withdrawal.Key == "" {
			continue
		}
		limit := o.visibleFrom(withdrawal.At).Add(secondsBound)
		eachRun(o, func(endpoint ids.EndpointID, run engine.Run, event Event) {
			if event.Key == withdrawal.Key && run.At.After(limit) && !o.Isolated[event.VM] {
				r.add("request %s of a withdrawn key ran on %s %s after the withdrawal", event.ID, endpoint, run.At.Sub(withdrawal.At))
			}
		})
	}
}

// spend is what one run took from its customer's limit.
type spend struct {
	at     time.Time
	tokens float64
}

// checkRate looks for a window in which the tight customer's runs used more
// than burst + rate*T. Tokens are granted at admission, before the run; the
// longest time between a request's start and its run widens each window.
func checkRate(o *Observations, r *report) {
	var spent []spend
	var lag time.Duration
	eachRun(o, func(_ ids.EndpointID, run engine.Run, event Event) {
		if event.Customer != tightCustomer {
			return
		}
		tokens := float64(engine.PromptTokens(run.Prompt)) + float64(usedTokens(event))
		spent = append(spent, spend{at: run.At, tokens: tokens})
		lag = max(lag, run.At.Sub(event.Start))
	})
	slices.SortFunc(spent, func(a, b spend) int { return a.at.Compare(b.at) })
	if excess, at := largestExcess(spent, tightRate, tightBurst, lag); excess > 0 {
		r.add("customer %s used %.0f tokens more than its burst and rate in a window that ends at %s", tightCustomer, excess, at.Format(time.RFC3339Nano))
	}
}

// usedTokens returns the generated tokens that an event surely used.
func usedTokens(event Event) uint32 {
	if event.Result == ResultAnswer {
		return event.Tokens
	}
	return 0
}

// largestExcess returns by how much the spending exceeds burst + rate*T in the
// worst window. The excess of a window that starts at i and ends at j is
// (sum[j] - rate*t[j]) - (sum[i-1] - rate*t[i]) - burst, so the smallest second
// term so far gives the worst window for each end.
func largestExcess(spent []spend, rate, burst float64, lag time.Duration) (worst float64, at time.Time) {
	if len(spent) == 0 {
		return 0, time.Time{}
	}
	start := spent[0].at
	sum := 0.0
	lowest := 0.0
	allowed := burst + rate*lag.Seconds()
	for i, one := range spent {
		earned := rate * one.at.Sub(start).Seconds()
		if before := sum - earned; i == 0 || before < lowest {
			lowest = before
		}
		sum += one.tokens
		if excess := sum - earned - lowest - allowed; excess > worst {
			worst, at = excess, one.at
		}
	}
	return worst, at
}

func checkWhole(o *Observations, r *report) {
	for _, event := range o.Events {
		switch {
		case event.Result != ResultAnswer:
		case event.Order != "":
			if event.AnsweredOrder != event.Order {
				r.add("call %s of %q was answered for %q", event.ID, event.Order, event.AnsweredOrder)
			}
		default:
			model := ids.AdapterRef{Adapter: event.Adapter, Version: event.Answered}.String()
			if event.Text != engine.GeneratedText(model, event.Prompt, event.MaxTokens) {
				r.add("request %s got a wrong or partial text from %s", event.ID, model)
			}
		}
	}
}

func checkNotRun(o *Observations, r *report) {
	eachRun(o, func(endpoint ids.EndpointID, _ engine.Run, event Event) {
		if event.Result == ResultNotRun {
			r.add("request %s ran on %s and was reported as not run (%s)", event.ID, endpoint, event.Reason)
		}
	})
	mayHaveRun := make(map[string]bool)
	for _, event := range o.Events {
		if event.Result != ResultNotRun {
			mayHaveRun[event.Order] = true
		}
	}
	for endpoint, runs := range o.ServiceRuns {
		for _, run := range runs {
			if !mayHaveRun[run.Body] {
				r.add("%q ran on %s while all its calls were reported as not run", run.Body, endpoint)
			}
		}
	}
}

func checkOnce(o *Observations, r *report) {
	count := make(map[string][]string)
	for endpoint, runs := range o.ServiceRuns {
		for _, run := range runs {
			count[run.Body] = append(count[run.Body], fmt.Sprintf("%s as %s at %s", endpoint, run.RequestID, run.At.Format(time.TimeOnly)))
		}
	}
	for body, runs := range count {
		if len(runs) > 1 {
			r.add("%q ran %d times: %s", body, len(runs), strings.Join(runs, ", "))
		}
	}
}

func checkLeaving(o *Observations, r *report) {
	for _, withdrawal := range o.Withdrawals {
		if withdrawal.Endpoint == "" {
			continue
		}
		limit := o.visibleFrom(withdrawal.At).Add(secondsBound)
		eachRun(o, func(endpoint ids.EndpointID, run engine.Run, event Event) {
			back := !withdrawal.Until.IsZero() && run.At.After(withdrawal.Until)
			if endpoint == withdrawal.Endpoint && run.At.After(limit) && !back && !o.Isolated[event.VM] {
				r.add("request %s ran on %s %s after it was leaving", event.ID, endpoint, run.At.Sub(withdrawal.At))
			}
		})
	}
}

// checkDrain looks for requests that were open on a VM when its graceful
// shutdown began and ended without an answer or a true refusal.
func checkDrain(o *Observations, r *report) {
	for _, drain := range o.Drains {
		for _, event := range o.Events {
			open := event.Start.Before(drain.At) && event.End.After(drain.At)
			if event.VM != drain.VM || !open {
				continue
			}
			if event.Result == ResultBroken || event.Result == ResultUnknown {
				r.add("request %s was open when %s began to shut down and ended as %s: %s", event.ID, drain.VM, event.Result, event.Detail)
			}
		}
	}
}

func checkForce(o *Observations, r *report) {
	samples := slices.Clone(o.Samples)
	slices.SortStableFunc(samples, func(a, b Sample) int { return a.At.Compare(b.At) })
	checkNoRevert(samples, r)
	checkBootstrap(o, samples, r)
	for _, publication := range o.Publications {
		limit := o.visibleFrom(publication.At).Add(forceBound)
		for _, sample := range samples {
			if sample.At.After(limit) && sample.Ready && sample.Revision < publication.Revision && !o.Isolated[sample.VM] {
				r.add("%s holds revision %d, %s after %d was published", sample.VM, sample.Revision, sample.At.Sub(publication.At), publication.Revision)
				break
			}
		}
	}
}

// checkNoRevert looks for a VM whose revision went down.
func checkNoRevert(samples []Sample, r *report) {
	type run struct {
		vm   ids.VMID
		boot ids.BootID
	}
	highest := make(map[run]ids.Revision)
	for _, sample := range samples {
		key := run{vm: sample.VM, boot: sample.Boot}
		if sample.Revision < highest[key] {
			r.add("%s went from revision %d back to %d", sample.VM, highest[key], sample.Revision)
		}
		highest[key] = max(highest[key], sample.Revision)
	}
}

// bootstrapSlack is the age up to which a sample of a peer may be newer than
// what the peer told a VM that started.
const bootstrapSlack = 4 * time.Second

// checkBootstrap looks for a VM that got ready with an older view than its
// peers had.
func checkBootstrap(o *Observations, samples []Sample, r *report) {
	seen := make(map[ids.VMID]bool)
	for _, sample := range samples {
		if seen[sample.VM] || !sample.Ready {
			continue
		}
		seen[sample.VM] = true
		var known ids.Revision
		for _, other := range samples {
			if other.VM != sample.VM && other.At.Before(sample.At.Add(-bootstrapSlack)) && !o.Isolated[other.VM] {
				known = max(known, other.Revision)
			}
		}
		if sample.Revision < known && !o.Isolated[sample.VM] {
			r.add("%s got ready with revision %d while its peers held %d", sample.VM, sample.Revision, known)
		}
	}
}

func checkStoreLimit(o *Observations, r *report) {
	if o.Store.OverRate > 0 {
		r.add("%d of %d loads were above the store's rate", o.Store.OverRate, o.Store.Started)
	}
	if o.Store.OverInFlight > 0 {
		r.add("%d loads started above the store's limit in flight, %d at once", o.Store.OverInFlight, o.Store.MaxInFlight)
	}
	for endpoint, violations := range o.Violations {
		for _, violation := range violations {
			if violation.Kind == engine.ViolationStaleOrder && !o.Fencing[endpoint] {
				r.add("%s carried out an order with an old fencing token: %s", endpoint, violation.Detail)
			}
		}
	}
}

// sortViolations orders violations by promise.
func sortViolations(found []Violation) {
	slices.SortStableFunc(found, func(a, b Violation) int { return cmp.Compare(a.Promise, b.Promise) })
}
