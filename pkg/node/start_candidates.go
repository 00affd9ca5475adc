package node

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/endpointload"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// candidateRetryInterval is how long a request that waits for one engine stays
// there before its other candidates are tried again. Shorter ones cost an owner
// with a hundred waiting requests a noticeable part of its core.
const candidateRetryInterval = 80 * time.Millisecond

// compareInterval is how often a waiting request is compared at all its candidates, to move
// it to the queue with the shortest wait. A comparison of full engines costs an owner
// several times as much as a look for one with room.
const compareInterval = 600 * time.Millisecond

// statedLoads is what endpoints said of their load.
type statedLoads struct {
	mu    sync.Mutex
	loads *endpointload.Loads
}

func newStatedLoads() *statedLoads {
	return &statedLoads{loads: endpointload.New(endpointload.DefaultConfig())}
}

func (s *statedLoads) record(now time.Time, id ids.EndpointID, load *ReportedLoad) {
	if load == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads.Record(now, id, endpointload.Figure{Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, Slowdown: load.Slowdown})
}

// freshCount returns the number of endpoints whose stated load is used.
func (s *statedLoads) freshCount(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads.FreshCount(now)
}

func (s *statedLoads) sent(now time.Time, id ids.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads.Sent(now, id)
}

func (s *statedLoads) forget(id ids.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads.Forget(id)
}

func (s *statedLoads) prune(exists func(ids.EndpointID) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads.Prune(exists)
}

// admitAmong decides at which of its candidates a request may start. A request that
// is queued waits here for up to prefillPollTime, and goes to another candidate if
// that becomes free first.
func (o *engineOwner) admitAmong(ctx context.Context, request prefillRequest) prefillReply {
	if len(request.Candidates) == 0 {
		request.Candidates = []ids.EndpointID{request.Endpoint}
	}
	request.Candidates = request.Candidates[:min(len(request.Candidates), endpointload.MaxCandidates)]
	if !request.Now {
		var release func()
		ctx, release = o.held.hold(ctx, request.Request, request.Attempt, request.Candidates)
		defer release()
	}
	asked := time.Now()
	switch loading, wait := o.awaitedLoad(asked, request); {
	case wait > 0 && request.MaxWaitMs == 0:
		// A search beside a send would give that up for an engine that denies the adapter.
		return prefillReply{Status: prefillRefused, Endpoint: loading, Loading: true, WaitMs: wait.Milliseconds() + 1}
	case wait > 0:
		if !request.Now {
			sleep(ctx, min(wait, prefillPollTime))
		}
		if left := wait - time.Since(asked); request.Now || left > 0 {
			return prefillReply{Status: prefillQueued, Endpoint: loading, Loading: true, WaitMs: left.Milliseconds() + 1}
		}
	}
	// A request that asks again is queued at Endpoint.
	request.Candidates = o.rankCandidates(time.Now(), request)
	waitingAt := request.Endpoint
	var last prefillReply
	compare := !o.isQueued(request) || request.AgeMs%compareInterval.Milliseconds() < prefillPollTime.Milliseconds()
	for tries := 0; ; tries++ {
		now := time.Now()
		current := request.after(now.Sub(asked))
		var reply prefillReply
		if compare {
			reply = o.tryCandidates(ctx, current)
			compare = false
		} else {
			reply = o.tryFreeCandidates(ctx, now, current, waitingAt, last)
		}
		if reply.Endpoint != waitingAt {
			o.prefillDone(prefillDoneRequest{Endpoint: waitingAt, Request: request.Request, Attempt: request.Attempt})
			if reply.Status == prefillGranted && tries > 0 {
				o.node.metrics.movedStarts.Inc(1)
			}
			waitingAt = reply.Endpoint
		}
		left := prefillPollTime - now.Sub(asked)
		if reply.Status != prefillQueued || request.Now || left <= 0 || ctx.Err() != nil {
			return o.recordGranted(reply)
		}
		slice := left
		if len(request.Candidates) > 1 {
			slice = min(left, candidateRetryInterval)
		}
		current.Endpoint = waitingAt
		sliceCtx, cancel := context.WithTimeout(ctx, slice)
		reply = o.admitPrefill(sliceCtx, current)
		cancel()
		reply.Endpoint = waitingAt
		if reply.Status != prefillQueued || reply.takenBack {
			return o.recordGranted(reply)
		}
		last = reply
	}
}

// isQueued reports whether a request waits at its Endpoint already.
func (o *engineOwner) isQueued(request prefillRequest) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.engines[request.Endpoint]
	return e != nil && e.room.Queued(request.Request)
}

// tryFreeCandidates starts a request that waits at an engine at the first candidate that has
// room for it. Otherwise it returns the last reply, or a new one about the engine at which
// the request waits. Waits are not estimated: in a burst, hundreds of requests wait, and
// most engines have no room.
func (o *engineOwner) tryFreeCandidates(ctx context.Context, now time.Time, request prefillRequest, waitingAt ids.EndpointID, last prefillReply) prefillReply {
	var free []ids.EndpointID
	asked := request.toRoom(now)
	o.mu.Lock()
	for _, id := range request.Candidates {
		if e := o.engines[id]; e != nil && e.room.Fits(now, asked) {
			free = append(free, id)
		}
	}
	o.mu.Unlock()
	single := request
	single.Now = true
	for _, id := range free {
		single.Endpoint = id
		if reply := o.admitPrefill(ctx, single); reply.Status == prefillGranted {
			reply.Endpoint = id
			return reply
		}
	}
	if last.Status != prefillQueued {
		single.Endpoint = waitingAt
		last = o.admitPrefill(ctx, single)
		last.Endpoint = waitingAt
	}
	return last
}

// awaitedLoad returns the candidate that will have the adapter first, and when, if
// none has it yet but one will in the time of the request, or at any time if the
// request cannot wait. The VM of the request
// takes the load to have ended, but an engine has denied that since.
func (o *engineOwner) awaitedLoad(now time.Time, request prefillRequest) (ids.EndpointID, time.Duration) {
	var first ids.EndpointID
	shortest := time.Duration(request.MaxWaitMs)*time.Millisecond + 1
	if request.MaxWaitMs == 0 {
		shortest = math.MaxInt64
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, id := range request.Candidates {
		if e := o.engines[id]; e != nil {
			held, found := e.table.Find(request.Adapter, 0)
			if found && !held.Ready.After(now) {
				return "", 0
			}
			if found && held.Ready.Sub(now) < shortest {
				first, shortest = id, held.Ready.Sub(now)
			}
		}
	}
	if first == "" {
		return "", 0
	}
	return first, shortest
}

// after returns the request as it is some time later.
func (r prefillRequest) after(elapsed time.Duration) prefillRequest {
	ms := elapsed.Milliseconds()
	r.AgeMs, r.OnTimeMs, r.MaxWaitMs = r.AgeMs+ms, r.OnTimeMs-ms, r.MaxWaitMs-ms
	return r
}

// recordGranted counts a grant among the requests sent to its engine.
func (o *engineOwner) recordGranted(reply prefillReply) prefillReply {
	if reply.Status == prefillGranted {
		o.stated.sent(time.Now(), reply.Endpoint)
	}
	return reply
}

// tryCandidates starts a request at the first candidate, in the order in which they
// are listed, that has room for it. If none has, the reply is about the one with the
// shortest expected time to the first event, and the request is queued nowhere.
func (o *engineOwner) tryCandidates(ctx context.Context, request prefillRequest) prefillReply {
	best := prefillReply{Status: prefillNotOwner, Endpoint: request.Endpoint}
	rank := map[prefillStatus]int{prefillNotOwner: 0, prefillRefused: 1, prefillQueued: 2}
	for _, id := range request.Candidates {
		single := request
		single.Endpoint, single.Now = id, true
		reply := o.admitPrefill(ctx, single)
		reply.Endpoint = id
		if reply.Status == prefillGranted {
			return reply
		}
		better := rank[reply.Status] > rank[best.Status]
		if better || reply.Status == best.Status && reply.Status != prefillNotOwner && reply.WaitMs+reply.FirstEventMs < best.WaitMs+best.FirstEventMs {
			best = reply
		}
	}
	return best
}

// rankCandidates orders the candidates that hold the adapter by their load, or all
// of them if this VM knows of none that does.
func (o *engineOwner) rankCandidates(now time.Time, request prefillRequest) []ids.EndpointID {
	if len(request.Candidates) == 1 {
		return request.Candidates
	}
	var holding []ids.EndpointID
	o.mu.Lock()
	for _, id := range request.Candidates {
		if e := o.engines[id]; e != nil {
			if held, found := e.table.Find(request.Adapter, 0); found && !held.Ready.After(now) {
				holding = append(holding, id)
			}
		}
	}
	o.mu.Unlock()
	if len(holding) == 0 {
		holding = request.Candidates
	}
	counted, penalties := make(map[ids.EndpointID]float64, len(holding)), make(map[ids.EndpointID]float64, len(holding))
	o.node.balanceMu.Lock()
	for _, id := range holding {
		load := o.node.balancer.TotalLoad(now, id)
		counted[id], penalties[id] = float64(load.Starting+load.Running), o.node.balancer.PausePenalty(now, id)
	}
	o.node.balanceMu.Unlock()
	o.stated.mu.Lock()
	defer o.stated.mu.Unlock()
	return o.stated.loads.Rank(now, holding,
		func(id ids.EndpointID) float64 { return counted[id] }, func(id ids.EndpointID) float64 { return penalties[id] })
}

// prefillDoneAt records the end of a prefill, or of a wait at any of several
// engines, and what the engine said of its load.
func (o *engineOwner) prefillDoneAt(request prefillDoneRequest) {
	engines := request.Candidates[:min(len(request.Candidates), endpointload.MaxCandidates)]
	if len(engines) == 0 {
		engines = []ids.EndpointID{request.Endpoint}
	}
	if !request.Started {
		o.held.withdraw(request.Request, request.Attempt, engines)
	}
	if len(request.Candidates) == 0 {
		o.mu.Lock()
		owned := o.engines[request.Endpoint] != nil
		o.mu.Unlock()
		if owned {
			o.stated.record(time.Now(), request.Endpoint, request.Load)
		}
		o.prefillDone(request)
		return
	}
	for _, id := range engines {
		o.prefillDone(prefillDoneRequest{Endpoint: id, Request: request.Request, Attempt: request.Attempt})
	}
}
