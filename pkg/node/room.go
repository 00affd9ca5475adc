package node

import (
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/residency"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/room"
)

// roomLogInterval is the pause between log lines about the room at owned engines.
const roomLogInterval = 5 * time.Second

// maxPriorityLabel bounds the labels of metrics by priority.
const maxPriorityLabel = 9

func priorityLabel(urgency int) string { return strconv.Itoa(min(max(urgency, 0), maxPriorityLabel)) }

// roomDecision names the counter of one kind of answer to a request that asks to begin.
type roomDecision struct {
	status   prefillStatus
	reason   room.Shortage
	priority string
}

// roomDecisions holds the counters that were used, since a lookup by labels takes
// longer than the decision itself.
type roomDecisions struct {
	mu       sync.Mutex
	counters map[roomDecision]tally.Counter
}

// countRoomDecision counts the answer to a request that asked to begin at an engine. A
// request that asks several engines or again counts each time.
func (m *metrics) countRoomDecision(status prefillStatus, reason room.Shortage, urgency int) {
	key := roomDecision{status, reason, priorityLabel(urgency)}
	m.roomDecisions.mu.Lock()
	defer m.roomDecisions.mu.Unlock()
	counter := m.roomDecisions.counters[key]
	if counter == nil {
		counter = m.root.Scope.Tagged(map[string]string{"decision": string(status), "reason": string(reason), "priority": key.priority}).Counter("room_decisions")
		m.roomDecisions.counters[key] = counter
	}
	counter.Inc(1)
}

// roomReply returns the reply to a request that asked to begin at an engine, and counts
// it. A refused request gets a time to come back.
func (o *engineOwner) roomReply(request prefillRequest, decision room.Decision, estimate room.Estimate) prefillReply {
	reply := prefillReplyFor(decision, estimate)
	if reply.Status == prefillGranted {
		estimate.WaitsFor = ""
	}
	o.node.metrics.countRoomDecision(reply.Status, estimate.WaitsFor, request.Urgency)
	if reply.Status == prefillRefused {
		reply.WaitMs = room.RetryAfter(estimate.Wait, rand.Float64()).Milliseconds()
	}
	return reply
}

// eventSteps returns in how many steps the engines of a service make an event. The caller
// holds mu.
func (o *engineOwner) eventSteps(name string) int {
	if service := o.lastView.Config.Services[name]; service != nil && service.Engine != nil {
		return max(service.Engine.EventTokens, 1)
	}
	return 1
}

// recordTokens records what an engine reported of its tokens. The caller holds mu.
func (o *engineOwner) recordTokens(asked, now time.Time, e *engine, report residency.Report) {
	was := e.room.Status(now).Blocked
	e.room.SetTokens(asked, now, room.TokenReport{
		Used: report.TokensUsed, UsedStated: report.TokensUsedStated, Total: report.TokenCapacity, Next: report.NextTokens, Running: report.Running,
	})
	if status := e.room.Status(now); status.Blocked && !was {
		o.node.logInfo("engine's own queue is blocked", fields{
			"step": "read report", "endpoint": e.endpoint.ID, "used": report.TokensUsed, "capacity": status.TokenCapacity, "next": report.NextTokens, "waiting": report.Waiting,
		})
	}
}

// reportRoom updates the metrics of the room at the owned engines and logs it now and
// then. The caller holds mu.
func (o *engineOwner) reportRoom(now time.Time) {
	if now.Sub(o.roomReportedAt) < roomLogInterval || len(o.engines) == 0 {
		return
	}
	o.roomReportedAt = now
	all := make(map[string]room.Status)
	engines, blocked := make(map[string]int), make(map[string]int)
	allBlocked := 0
	var total room.Status
	for _, e := range o.engines {
		status := e.room.Status(now)
		all[e.endpoint.Service] = addStatus(all[e.endpoint.Service], status)
		total = addStatus(total, status)
		engines[e.endpoint.Service]++
		if status.Blocked {
			blocked[e.endpoint.Service]++
			allBlocked++
		}
	}
	o.node.metrics.roomSlots.Update(float64(total.Slots))
	o.node.metrics.roomInUse.Update(float64(total.InUse))
	o.node.metrics.roomTokens.Update(math.Round(total.Tokens))
	o.node.metrics.roomTokenCapacity.Update(float64(total.TokenCapacity))
	o.node.metrics.roomTokenCorrection.Update(math.Round(total.TokenCorrection))
	o.node.metrics.roomBlocked.Update(float64(allBlocked))
	o.node.metrics.roomQueued.Update(float64(total.Queued))
	for service, status := range all {
		for _, kind := range o.requestKinds(service).Status(now) {
			scope := o.node.metrics.root.Scope.Tagged(map[string]string{"service": service, "priority": priorityLabel(kind.Urgency)})
			scope.Gauge("room_timely_share").Update(kind.Timely)
			scope.Gauge("room_fleet_timely_share").Update(kind.FleetTimely)
			scope.Gauge("room_reserve_share").Update(kind.Reserve)
		}
		speed := o.readingSpeed(service).Speed(o.eventSteps(service))
		o.node.logInfo("room at engines", fields{
			"service": service, "engines": engines[service], "slots": status.Slots, "inUse": status.InUse, "reading": status.Reading, "queued": status.Queued,
			"tokens": math.Round(status.Tokens), "tokenCapacity": status.TokenCapacity, "tokenCorrection": math.Round(status.TokenCorrection), "blocked": blocked[service],
			"readings": math.Round(speed.Readings), "perThousandTokensMs": speed.PerThousandTokens.Milliseconds(),
			"baseMs": speed.Base.Milliseconds(), "stepMs": speed.Step.Milliseconds(), "otherOwners": o.node.fleetKinds.sum(now, service).Owners,
		})
	}
}

func addStatus(a, b room.Status) room.Status {
	return room.Status{
		Slots: a.Slots + b.Slots, InUse: a.InUse + b.InUse, Reading: a.Reading + b.Reading, Queued: a.Queued + b.Queued,
		Tokens: a.Tokens + b.Tokens, TokenCorrection: a.TokenCorrection + b.TokenCorrection, TokenCapacity: a.TokenCapacity + b.TokenCapacity,
	}
}
