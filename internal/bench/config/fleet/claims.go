package fleet

import (
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/idempotency"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/lifecycle"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/relay"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/inferencev1"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
)

// settleTries is how often the end or release of a claim is sent to a home.
const settleTries = 3

// Service is a simulated plain service whose calls must not be repeated.
type Service struct {
	// Refuse is the part of connections that is refused, LoseAnswer the part
	// of runs whose answer is lost.
	Refuse, LoseAnswer float64
	// Latency is the longest run; runs take between none and all of it.
	Latency time.Duration
	// Runs lists, for each key, the claims under which its call ran.
	Runs map[string][]peer.ClaimID
}

// NewService returns a service without faults.
func NewService() *Service {
	return &Service{Latency: 20 * time.Millisecond, Runs: make(map[string][]peer.ClaimID)}
}

// Result is what a caller is told.
type Result struct {
	Outcome lifecycle.Outcome
	Reason  inferencev1.Reason
	Claim   peer.ClaimID
	// Stored tells that the answer is that of an earlier call.
	Stored bool
}

// keyedCall is a call with a key on one VM.
type keyedCall struct {
	node    *Node
	boot    ids.BootID
	call    idempotency.Call
	service *Service
	claim   *idempotency.Attempt
	request *lifecycle.Request
	timeout time.Duration
	done    func(Result)
}

// RunKeyed runs a call on a VM; done is called in the VM's process unless it
// dies before.
func (n *Node) RunKeyed(call idempotency.Call, service *Service, timeout time.Duration, done func(Result)) {
	now := n.fleet.Now()
	k := &keyedCall{node: n, boot: n.Boot, call: call, service: service, timeout: timeout, done: done}
	k.claim = n.Claimer.Begin(now, call, n.Catalog.View().Regions())
	k.request = lifecycle.New(lifecycle.Config{Deadline: now.Add(timeout), MaxAttempts: 3})
	if k.claim.Verdict() != idempotency.Pending {
		k.refuse(k.claim.Verdict())
		return
	}
	for _, home := range k.claim.Homes() {
		k.ask(home)
	}
}

// ask claims the key at one home.
func (k *keyedCall) ask(home ids.VMID) {
	f, to := k.node.fleet, k.node.fleet.Nodes[home]
	handle := func(claim peer.Claim) peer.ClaimReply { return to.Home.Claim(f.Now(), claim) }
	onReply := func(reply peer.ClaimReply) {
		k.step(func() idempotency.Verdict { return k.claim.OnReply(f.Now(), reply) })
	}
	if home == k.node.VM.ID {
		f.After(0, func() { f.whenAwake(k.node, k.boot, func() { onReply(handle(k.claim.Claim())) }) })
		return
	}
	Call(k.node, to, k.claim.Claim(), relay.LocalTimeout, handle, onReply,
		func() { k.step(func() idempotency.Verdict { return k.claim.OnFailure(f.Now(), home) }) })
}

// step takes a home's answer and acts once the verdict is there.
func (k *keyedCall) step(take func() idempotency.Verdict) {
	if k.claim.Verdict() != idempotency.Pending {
		take()
		return
	}
	switch verdict := take(); verdict {
	case idempotency.Pending:
	case idempotency.Granted:
		k.send()
	default:
		k.refuse(verdict)
	}
}

// refuse ends a call that this VM must not run.
func (k *keyedCall) refuse(verdict idempotency.Verdict) {
	k.release(false)
	if _, err := k.request.EndWithKnownOutcome(verdict.Outcome(), verdict.Reason()); err != nil {
		return
	}
	k.finish(verdict == idempotency.AlreadyAnswered)
}

func (k *keyedCall) finish(stored bool) {
	outcome, reason, _ := k.request.FinalOutcome()
	k.done(Result{Outcome: outcome, Reason: reason, Claim: k.claim.ID(), Stored: stored})
}

// send commits the call and sends it to the service.
func (k *keyedCall) send() {
	f := k.node.fleet
	now := f.Now()
	if _, err := k.claim.Commit(now); err != nil {
		k.giveUp()
		return
	}
	attempt, err := k.request.Commit(now, "service")
	if err != nil {
		k.giveUp()
		return
	}
	settled := false
	end := func(result lifecycle.Result, evidence lifecycle.Evidence) {
		f.whenAwake(k.node, k.boot, func() {
			if !settled {
				settled = true
				k.attemptEnded(attempt, result, evidence)
			}
		})
	}
	f.After(k.timeout, func() { end(lifecycle.Failed, lifecycle.NoEvidence) })
	f.After(delayRegion, func() { k.service.serve(f, k.call.Key.Key, k.claim.ID(), end) })
}

// serve runs a call at the service.
func (s *Service) serve(f *Fleet, key string, claim peer.ClaimID, end func(lifecycle.Result, lifecycle.Evidence)) {
	if f.Rand.Float64() < s.Refuse {
		f.After(delayRegion, func() { end(lifecycle.Failed, lifecycle.ConnectRefused) })
		return
	}
	s.Runs[key] = append(s.Runs[key], claim)
	if f.Rand.Float64() < s.LoseAnswer {
		return
	}
	f.After(f.Uniform(s.Latency)+delayRegion, func() { end(lifecycle.Answered, lifecycle.NoEvidence) })
}

func (k *keyedCall) attemptEnded(attempt lifecycle.Attempt, result lifecycle.Result, evidence lifecycle.Evidence) {
	decision, err := k.request.Finish(k.node.fleet.Now(), attempt, result, evidence)
	if err != nil {
		return
	}
	switch {
	case decision.Retry:
		k.send()
		return
	case decision.Outcome == lifecycle.OutcomeAnswer:
		k.end(peer.StoredAnswer{Status: 200, Body: []byte("done")})
	case decision.Outcome == lifecycle.OutcomeUnknown:
		k.end(peer.StoredAnswer{Unknown: true})
	default:
		k.release(true)
	}
	k.finish(false)
}

// giveUp ends a call that may not be sent any more.
func (k *keyedCall) giveUp() {
	decision, err := k.request.Refuse(inferencev1.Reason_REASON_IDEMPOTENCY_UNAVAILABLE, 0)
	if err != nil {
		return
	}
	k.release(decision.Outcome == lifecycle.OutcomeNotRun)
	k.finish(false)
}

func (k *keyedCall) end(answer peer.StoredAnswer) {
	message := k.claim.End(answer)
	k.tell(settleTries, func(home *Node) func(any) peer.ClaimAck {
		return func(any) peer.ClaimAck { return home.Home.End(message) }
	}, message)
}

func (k *keyedCall) release(provedNotRun bool) {
	message, ok := k.claim.Release(provedNotRun)
	if !ok {
		return
	}
	k.tell(settleTries, func(home *Node) func(any) peer.ClaimAck {
		return func(any) peer.ClaimAck { return home.Home.Release(k.node.fleet.Now(), message) }
	}, message)
}

// tell sends a message to every home, again when there is no answer.
func (k *keyedCall) tell(tries int, handler func(*Node) func(any) peer.ClaimAck, message any) {
	for _, id := range k.claim.Homes() {
		k.tellOne(tries, k.node.fleet.Nodes[id], handler, message)
	}
}

func (k *keyedCall) tellOne(tries int, home *Node, handler func(*Node) func(any) peer.ClaimAck, message any) {
	if home == k.node {
		handler(home)(message)
		return
	}
	Call(k.node, home, message, relay.LocalTimeout,
		func(message any) peer.ClaimAck { return handler(home)(message) },
		func(peer.ClaimAck) {},
		func() {
			if tries > 1 {
				k.tellOne(tries-1, home, handler, message)
			}
		})
}
