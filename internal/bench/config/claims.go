package config

import (
	"fmt"
	"runtime"
	"time"

	"github.com/google/uuid"

	"github.com/wagtailspoke/wagtailspoke/internal/bench/config/fleet"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/idempotency"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/lifecycle"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/membership"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
)

const (
	// repeatWindow is the default window of a route.
	repeatWindow = 10 * time.Minute
	// keyedCalls is how many calls are made to count their messages.
	keyedCalls = 450
	// listDelay is the time from a VM's death to the list that replaces it.
	listDelay = 5 * time.Second
	// callEvery is the interval of the keyed calls of a simulated fleet.
	callEvery = 20 * time.Millisecond
)

// keyAt returns a UUIDv7 key created at a moment.
func keyAt(at time.Time, number int) string {
	millis := at.UnixMilli()
	id := uuid.UUID{0: byte(millis >> 40), 1: byte(millis >> 32), 2: byte(millis >> 24), 3: byte(millis >> 16), 4: byte(millis >> 8), 5: byte(millis),
		6: 0x70, 8: 0x80, 12: byte(number >> 24), 13: byte(number >> 16), 14: byte(number >> 8), 15: byte(number)}
	return id.String()
}

func keyedCall(f *fleet.Fleet, number int) idempotency.Call {
	return idempotency.Call{
		Key:        peer.IdempotencyKey{Customer: "customer", Route: "book", Key: keyAt(f.Now(), number)},
		BodyDigest: "digest",
		Region:     "region-0",
		Window:     repeatWindow,
	}
}

// measureClaims measures the memory of claims at a home and the messages of a
// keyed call.
func measureClaims(report *Report, options Options) {
	var memory [][2]float64
	for _, claims := range options.scale().claims {
		memory = append(memory, [2]float64{float64(claims), claimMemory(claims)})
	}
	report.add("memory of a claim with an answer of 200 bytes", memory[len(memory)-1][1]/memory[len(memory)-1][0], "B", 0)
	report.fit("config.claim_bytes", "B/claim", memory)

	f := startFleet(options, isbreen(), true)
	f.Run(30 * time.Second)
	service := fleet.NewService()
	idleMessages, idleBytes := totals(f, 10*time.Second)
	before, beforeBytes := sums(f)
	calls := 0
	f.Every(callEvery, func() bool {
		calls++
		nodes := f.All()
		nodes[calls%len(nodes)].RunKeyed(keyedCall(f, calls), service, 2*time.Second, func(fleet.Result) {})
		return calls < keyedCalls
	})
	f.Run(10 * time.Second)
	after, afterBytes := sums(f)
	report.add("messages of a keyed call", (float64(after-before)-idleMessages)/float64(calls), "messages", 0)
	report.add("bytes of a keyed call", (float64(afterBytes-beforeBytes)-idleBytes)/float64(calls), "B", 0)
	report.add(fmt.Sprintf("keyed calls that ran, of %d", keyedCalls), float64(len(service.Runs)), "calls", 0)
}

// claimMemory returns the live bytes of a home with a number of claims.
func claimMemory(claims int) float64 {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	members := membership.New("vm", "dc")
	members.ObserveList(now, platformapi.VMList{Revision: 1, VMs: []platformapi.VM{{ID: "vm", DataCentre: "dc", State: platformapi.VMLive}}}, now)
	before := liveHeap()
	home := idempotency.NewHome("boot", now, members)
	home.SetRegions(now, idempotency.Regions{"dc": "region"})
	now = now.Add(time.Hour)
	for i := range claims {
		key := peer.IdempotencyKey{Customer: "customer", Route: "book", Key: keyAt(now, i)}
		id := peer.ClaimID{VM: "vm", Boot: "boot", Sequence: uint64(i)}
		home.Claim(now, peer.Claim{
			ID: id, Key: key, BodyDigest: fmt.Sprintf("%064d", i), ListRevision: 1,
			Homes: []ids.VMID{"vm"}, Region: "region", WindowMillis: repeatWindow.Milliseconds(),
		})
		home.End(peer.ClaimEnd{ID: id, Key: key, Answer: peer.StoredAnswer{Status: 200, Body: make([]byte, 200)}})
	}
	used := float64(liveHeap() - before)
	runtime.KeepAlive(home)
	return used
}

func sums(f *fleet.Fleet) (messages, bytes int) {
	for _, node := range f.All() {
		messages += node.Messages
		bytes += node.BytesSent
	}
	return messages, bytes
}

// totals returns the messages and bytes of a fleet without calls over a span.
func totals(f *fleet.Fleet, span time.Duration) (messages, bytes float64) {
	before, beforeBytes := sums(f)
	f.Run(span)
	after, afterBytes := sums(f)
	return float64(after - before), float64(afterBytes - beforeBytes)
}

// outcomes counts what callers heard.
type outcomes struct {
	calls, answered, notRun, unknown, doubled int
}

// measureOutcomes kills VMs at stated rates under keyed calls.
func measureOutcomes(report *Report, options Options) {
	calls := options.scale().calls
	var points [][2]float64
	for _, killsPerMinute := range options.scale().kills {
		found := countOutcomes(options, calls, killsPerMinute)
		unknown := float64(found.unknown) / float64(found.calls) * 10_000
		refused := float64(found.notRun) / float64(found.calls) * 10_000
		name := fmt.Sprintf("8 VMs, %g kills a minute", killsPerMinute)
		report.add(name+", outcome unknown of 10,000 calls", unknown, "calls", 0)
		report.add(name+", not run of 10,000 calls", refused, "calls", 0)
		report.add(name+", answered of 10,000 calls", float64(found.answered)/float64(found.calls)*10_000, "calls", 0)
		report.add(name+", calls that ran twice", float64(found.doubled), "calls", 0)
		points = append(points, [2]float64{killsPerMinute, unknown})
	}
	report.fit("config.outcome_unknown_per_10000", "calls/(kill/min)", points)
}

// countOutcomes sends keyed calls, each once, to VMs that are up, and kills
// VMs at regular intervals. A call whose VM died counts as unknown.
func countOutcomes(options Options, calls int, killsPerMinute float64) outcomes {
	f := startFleet(options, isbreen(), false)
	f.Run(30 * time.Second)
	service := fleet.NewService()
	service.Latency = 200 * time.Millisecond
	found := outcomes{}
	f.Every(callEvery, func() bool {
		ready := readyNodes(f)
		if len(ready) > 0 {
			found.calls++
			found.unknown++
			ready[f.Rand.IntN(len(ready))].RunKeyed(keyedCall(f, found.calls), service, 2*time.Second, found.count)
		}
		return found.calls < calls
	})
	if killsPerMinute > 0 {
		f.Every(time.Duration(float64(time.Minute)/killsPerMinute), func() bool {
			killOne(f)
			return found.calls < calls
		})
	}
	f.Run(time.Duration(calls)*callEvery + 10*time.Second)
	for _, claims := range service.Runs {
		if len(claims) > 1 {
			found.doubled++
		}
	}
	return found
}

// killOne kills a VM; the list shows it and its replacement later.
func killOne(f *fleet.Fleet) {
	up := f.All()
	node := up[f.Rand.IntN(len(up))]
	node.Kill()
	f.After(listDelay, func() { f.Replace(node) })
}

// count takes what a caller heard; until then its call counted as unknown.
func (o *outcomes) count(result fleet.Result) {
	switch result.Outcome {
	case lifecycle.OutcomeAnswer:
		o.unknown--
		o.answered++
	case lifecycle.OutcomeNotRun:
		o.unknown--
		o.notRun++
	}
}

func readyNodes(f *fleet.Fleet) []*fleet.Node {
	var ready []*fleet.Node
	for _, node := range f.All() {
		if node.Ready() {
			ready = append(ready, node)
		}
	}
	return ready
}
