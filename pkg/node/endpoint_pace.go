package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/pace"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/room"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/directory"
)

const (
	// paceNewAfter is the uptime from which endpoints that this VM has not known or
	// owned before have a pace. Before, they are those of the start of a deployment.
	paceNewAfter = 10 * time.Second
	// paceCheckInterval is the pause between checks of an owner whether its engines
	// are ejected.
	paceCheckInterval = 500 * time.Millisecond
	// noInFlightLimit is the limit of requests in flight at plain endpoints without a
	// pace.
	noInFlightLimit = 1 << 30
)

// Reasons why a pace begins, for logs.
const (
	paceRestarted = "started again"
	paceNew       = "new to this VM"
	paceEjected   = "ejected"
	paceSlow      = "answers are late"
	paceReturned  = "evacuation ended"
)

// plainPace holds the pace of plain endpoints for this VM's requests.
type plainPace struct {
	mu    sync.Mutex
	group *pace.Group
	// inFlight counts the requests between the send and the first byte.
	inFlight map[ids.EndpointID]int
}

// isPlain reports whether an endpoint's requests are not granted by an owner.
func isPlain(view *directory.View, e *serving.Endpoint) bool {
	if view.Config == nil {
		return false
	}
	service := view.Config.Services[e.Service]
	return service != nil && service.Engine == nil
}

// beginPace limits an endpoint at this VM, as its owner or for this VM's requests.
func (n *Node) beginPace(now time.Time, e *serving.Endpoint, reason string) {
	if isPlain(n.directory.View(), e) {
		n.plainPace.mu.Lock()
		defer n.plainPace.mu.Unlock()
		n.beginPaceIn(now, n.plainPace.group, e.ID, reason)
		return
	}
	n.engineOwner.mu.Lock()
	defer n.engineOwner.mu.Unlock()
	if n.engineOwner.engines[e.ID] != nil {
		n.beginPaceIn(now, n.engineOwner.pace, e.ID, reason)
	}
}

// beginPaceIn is beginPace for callers that hold the lock of a group.
func (n *Node) beginPaceIn(now time.Time, group *pace.Group, id ids.EndpointID, reason string) {
	if group.Begin(now, id, rand.Float64()) {
		n.logInfo("pace begins", fields{"endpoint": id, "reason": reason, "rate": group.Rate(id)})
	}
}

// logPace logs a change of an endpoint's pace.
func (n *Node) logPace(group *pace.Group, id ids.EndpointID, change pace.Change) {
	switch change {
	case pace.Cut:
		n.logInfo("pace cut", fields{"endpoint": id, "rate": group.Rate(id)})
	case pace.Full:
		n.logInfo("full pace reached", fields{"endpoint": id})
	case pace.Slow:
		n.logInfo("pace begins", fields{"endpoint": id, "reason": paceSlow, "rate": group.Rate(id)})
	}
}

// recordPaceChanges begins the pace of plain endpoints that have restarted, are new or
// come back from an evacuation.
func (n *Node) recordPaceChanges(now time.Time, before, after *directory.View) {
	for id, e := range after.Endpoints {
		if !isPlain(after, e) {
			continue
		}
		switch old := before.Endpoints[id]; {
		case old != nil && old.Started != e.Started:
			n.beginPace(now, e, paceRestarted)
		case old != nil && before.Evacuated[e.DataCentre] && !after.Evacuated[e.DataCentre]:
			n.beginPace(now, e, paceReturned)
		case old == nil && now.Sub(n.startedAt) >= paceNewAfter:
			n.beginPace(now, e, paceNew)
		}
	}
	n.plainPace.mu.Lock()
	defer n.plainPace.mu.Unlock()
	n.plainPace.group.Prune(func(id ids.EndpointID) bool { return after.Endpoints[id] != nil })
}

// maintainPace begins the pace of plain endpoints that are ejected, so that they have
// one when they return.
func (n *Node) maintainPace(now time.Time, size int) {
	view := n.directory.View()
	for _, e := range view.Endpoints {
		if isPlain(view, e) && !n.isAvailable(now, e.ID) {
			n.beginPace(now, e, paceEjected)
		}
	}
	n.plainPace.mu.Lock()
	if size > 0 {
		// Without a new estimate the last one holds: a VM that is cut off keeps its share.
		n.plainPace.group.SetShare(1 / float64(size))
	}
	limited := n.plainPace.group.CountLimited()
	n.plainPace.mu.Unlock()
	n.engineOwner.mu.Lock()
	for id := range n.engineOwner.engines {
		if n.engineOwner.pace.Limited(id) {
			limited++
		}
	}
	n.engineOwner.mu.Unlock()
	n.metrics.pacedEndpoints.Update(float64(limited))
}

func (n *Node) isAvailable(now time.Time, id ids.EndpointID) bool {
	n.balanceMu.Lock()
	defer n.balanceMu.Unlock()
	return n.balancer.Available(now, id)
}

// admitToPace reports whether the pace of a plain endpoint lets a request start now. If
// not, the endpoint is left out until it does.
func (n *Node) admitToPace(p *requestState, e *serving.Endpoint) bool {
	now := time.Now()
	objective := p.request.Route.Objective
	n.plainPace.mu.Lock()
	wait := n.plainPace.group.UntilStart(now, e.ID, 0)
	if wait == 0 && n.plainPace.inFlight[e.ID] >= n.plainPace.group.MaxInFlight(e.ID, noInFlightLimit, objective) {
		wait = minRetryAtLimits
	}
	n.plainPace.mu.Unlock()
	if wait == 0 || !n.hasOtherEndpoint(p, e) {
		return true
	}
	n.metrics.paceWaits.Inc(1)
	n.limitsMu.Lock()
	n.limits.RecordDenial(now, e.ID, wait)
	n.limitsMu.Unlock()
	return false
}

// hasOtherEndpoint reports whether a request may go to another endpoint. If not, the pace
// does not hold it back: the endpoint itself rejects what it has no room for.
func (n *Node) hasOtherEndpoint(p *requestState, e *serving.Endpoint) bool {
	for _, other := range n.eligible(n.directory.View(), p) {
		if other.ID != e.ID {
			return true
		}
	}
	return false
}

// liftPace ends the pace of a plain endpoint whose stated load shows a free slot. A VM
// that hears from an endpoint less than once a second would need long to find its pace.
func (n *Node) liftPace(e *serving.Endpoint, load *ReportedLoad) {
	if load == nil || load.Waiting > 0 || load.Running >= load.Slots {
		return
	}
	n.plainPace.mu.Lock()
	lifted := n.plainPace.group.Lift(e.ID)
	n.plainPace.mu.Unlock()
	if lifted {
		n.logInfo("full pace reached", fields{"endpoint": e.ID, "running": load.Running, "slots": load.Slots})
	}
}

// recordPaceStart counts a request that is sent to a plain endpoint. It reports false
// for engines, whose owners count their requests.
func (n *Node) recordPaceStart(now time.Time, e *serving.Endpoint) bool {
	if !isPlain(n.directory.View(), e) {
		return false
	}
	n.plainPace.mu.Lock()
	defer n.plainPace.mu.Unlock()
	n.plainPace.group.Started(now, e.ID)
	n.plainPace.inFlight[e.ID]++
	return true
}

// recordPaceEnd records the first byte from a plain endpoint, or that a request ended
// without one.
func (n *Node) recordPaceEnd(now time.Time, id ids.EndpointID, took, objective time.Duration, answered bool) {
	n.plainPace.mu.Lock()
	if n.plainPace.inFlight[id]--; n.plainPace.inFlight[id] <= 0 {
		delete(n.plainPace.inFlight, id)
	}
	limited := n.plainPace.group.Limited(id)
	n.logPace(n.plainPace.group, id, n.plainPace.group.Ended(now, id, took, objective, answered))
	wait := n.plainPace.group.UntilStart(now, id, 0)
	n.plainPace.mu.Unlock()
	if !limited {
		return
	}
	// A request that was denied at a lower rate left the endpoint out for longer. If that
	// was for another limit, the next request finds out.
	n.limitsMu.Lock()
	defer n.limitsMu.Unlock()
	if n.limits.DeniedFor(now, id) > wait {
		n.limits.RecordDenial(now, id, wait)
	}
}

// paceEngine begins the pace of an engine that this VM owns from now on, unless the VM
// has just started or has owned it and seen it answer of late. The caller holds mu.
func (o *engineOwner) paceEngine(now time.Time, id ids.EndpointID) {
	if now.Sub(o.node.startedAt) >= paceNewAfter && !o.pace.AnsweredSince(id, now.Add(-paceNewAfter)) {
		o.node.beginPaceIn(now, o.pace, id, paceNew)
	}
}

// updatePace begins the pace of owned engines that are ejected, and forgets engines that
// are gone. The caller holds mu.
func (o *engineOwner) updatePace(now time.Time) {
	if now.Sub(o.paceCheckedAt) < paceCheckInterval {
		return
	}
	o.paceCheckedAt = now
	o.pace.Prune(func(id ids.EndpointID) bool { return o.lastView.Endpoints[id] != nil })
	for id := range o.engines {
		if !o.node.isAvailable(now, id) {
			o.node.beginPaceIn(now, o.pace, id, paceEjected)
		}
	}
}

// awaitPace holds a request until the pace of its engine lets it start. If the request
// has to be answered otherwise, it returns the answer.
func (o *engineOwner) awaitPace(ctx context.Context, request prefillRequest) (prefillReply, bool) {
	objective := time.Duration(request.ObjectiveMs) * time.Millisecond
	o.mu.Lock()
	e := o.engines[request.Endpoint]
	if e == nil || e.room.Prefilling(request.Request) {
		o.mu.Unlock()
		return prefillReply{}, false
	}
	o.limitPrefills(e, objective)
	wait := o.pace.UntilStart(time.Now(), request.Endpoint, e.heldByPace)
	if wait == 0 {
		o.mu.Unlock()
		return prefillReply{}, false
	}
	if request.Now {
		o.mu.Unlock()
		return prefillReplyFor(room.Queued, room.Estimate{Wait: wait}), true
	}
	o.node.metrics.paceWaits.Inc(1)
	if wait > time.Duration(request.MaxWaitMs)*time.Millisecond {
		o.mu.Unlock()
		return prefillReplyFor(room.Refused, room.Estimate{Wait: wait}), true
	}
	e.heldByPace++
	o.mu.Unlock()
	sleep(ctx, min(wait, prefillPollTime))
	o.mu.Lock()
	defer o.mu.Unlock()
	e.heldByPace--
	if wait = o.pace.UntilStart(time.Now(), request.Endpoint, 0); wait > 0 {
		return prefillReplyFor(room.Queued, room.Estimate{Wait: wait}), true
	}
	return prefillReply{}, false
}

// limitPrefills sets how many prompts an engine may have between grant and first byte.
// The caller holds mu.
func (o *engineOwner) limitPrefills(e *engine, objective time.Duration) {
	full := room.DefaultConfig().MaxPrefills
	limited := o.pace.Limited(e.endpoint.ID)
	if limited || e.paced {
		e.room.SetMaxPrefills(o.pace.MaxInFlight(e.endpoint.ID, full, objective))
	}
	e.paced = limited
}

// recordPace records what the end of a prefill says of its engine. The caller holds mu.
func (o *engineOwner) recordPace(now time.Time, e *engine, request prefillDoneRequest) {
	took, objective := time.Duration(request.TookMs)*time.Millisecond, time.Duration(request.ObjectiveMs)*time.Millisecond
	if took < 0 {
		return
	}
	o.node.logPace(o.pace, e.endpoint.ID, o.pace.Ended(now, e.endpoint.ID, took, objective, request.Started))
	o.limitPrefills(e, objective)
}
