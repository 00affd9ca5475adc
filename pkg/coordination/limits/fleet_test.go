package limits_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	sim "github.com/wagtailspoke/wagtailspoke/internal/bench/limits"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/limits"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

const customer ids.CustomerID = "a"

// centres returns data centres of equal weight with the given seats.
func centres(count, seats int) map[ids.DataCentreID]limits.DataCentre {
	dcs := map[ids.DataCentreID]limits.DataCentre{}
	for i := range count {
		dcs[dcName(i)] = limits.DataCentre{Seats: seats, Weight: 1}
	}
	return dcs
}

func dcName(i int) ids.DataCentreID { return ids.DataCentreID(fmt.Sprintf("dc%d", i)) }

// world is a fleet that a property test acts on.
type world struct {
	t       *rapid.T
	fleet   *sim.Fleet
	seats   int
	dcs     map[ids.DataCentreID]limits.DataCentre
	policy  limits.Policy
	names   int
	running map[ids.DataCentreID]int
	cutDC   ids.DataCentreID
}

func newWorld(t *rapid.T, rules limits.Rules, unused bool) *world {
	cfg := limits.DefaultConfig()
	cfg.UseUnusedSeats = unused
	cfg.ListLagBound = 2 * time.Second
	network := sim.DefaultNetwork()
	network.Loss = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "loss")
	network.Repeat = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "repeat")
	network.Late = rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(t, "late")
	network.LateMax = rapid.SampledFrom([]time.Duration{230 * time.Millisecond, 2 * time.Second}).Draw(t, "lateMax")
	w := &world{
		t: t, seats: 2, dcs: centres(3, 2), running: map[ids.DataCentreID]int{},
		fleet: sim.NewFleet(cfg, network, rapid.Uint64().Draw(t, "seed"), limits.NewWithRules(rules)),
	}
	w.policy = limits.Policy{Revision: 1, Rate: 1000, Burst: 3000, DataCentres: w.dcs}
	for i := range 6 {
		w.start(dcName(i % 3))
	}
	w.every(500*time.Millisecond, w.fleet.Heartbeats)
	w.every(time.Second, func() { w.lists(500 * time.Millisecond) })
	return w
}

// every repeats an action for the time of a test.
func (w *world) every(period time.Duration, act func()) {
	for at := time.Duration(0); at < 2*time.Minute; at += period {
		w.fleet.At(at, act)
	}
}

func (w *world) start(dc ids.DataCentreID) {
	w.names++
	n := w.fleet.Start(ids.VMID(fmt.Sprintf("vm%d", w.names)), dc)
	w.running[dc]++
	w.fleet.Apply(n, customer, w.policy)
	w.fleet.ShowList(n)
}

// lists gives each VM the platform's list after a lag of its own.
func (w *world) lists(lag time.Duration) {
	for i, n := range w.alive() {
		w.fleet.At(w.fleet.Now()+time.Duration(i)*lag/8, func() { w.fleet.ShowList(n) })
	}
}

func (w *world) alive() []*sim.Node {
	var nodes []*sim.Node
	for _, n := range w.fleet.Nodes() {
		if n.Alive {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

func (w *world) node() *sim.Node {
	return rapid.SampledFrom(w.alive()).Draw(w.t, "node")
}

// offer sends a burst of requests to one VM.
func (w *world) offer() {
	n := w.node()
	for range rapid.IntRange(1, 6).Draw(w.t, "requests") {
		cost := rapid.Int64Range(1, 900).Draw(w.t, "cost")
		w.fleet.Offer(n, &sim.Request{
			Customer: customer, Cost: cost,
			Unused:  rapid.Int64Range(0, cost).Draw(w.t, "unused"),
			RunTime: time.Duration(rapid.IntRange(1, 4000).Draw(w.t, "run")) * time.Millisecond,
		})
	}
}

// storm lets the buckets fill, then sends more to all VMs than they have.
// Violations show only when the whole burst is spent at one time.
func (w *world) storm() {
	w.fleet.Run(w.fleet.Now() + time.Duration(rapid.IntRange(1, 8).Draw(w.t, "idle"))*time.Second)
	unused := rapid.SampledFrom([]int64{0, 100}).Draw(w.t, "unused")
	for range 3 {
		for _, n := range w.alive() {
			for range 3 {
				w.fleet.Offer(n, &sim.Request{
					Customer: customer, Cost: rapid.Int64Range(100, 600).Draw(w.t, "cost"),
					Unused: unused, RunTime: 4 * time.Second,
				})
			}
		}
		w.fleet.Run(w.fleet.Now() + time.Duration(rapid.IntRange(1, 240).Draw(w.t, "between"))*time.Millisecond)
	}
}

// kill ends a VM; the list shows it for a while and a new one may start.
func (w *world) kill() {
	if len(w.alive()) < 2 {
		return
	}
	n := w.node()
	w.fleet.Kill(n)
	w.running[n.VM.DataCentre]--
	w.fleet.At(w.fleet.Now()+500*time.Millisecond, func() { w.fleet.Unlist(n) })
}

func (w *world) replace() {
	for dc := range 3 {
		if w.running[dcName(dc)] < w.seats {
			w.start(dcName(dc))
			return
		}
	}
}

// change publishes a new policy, which VMs see at different times.
func (w *world) change() {
	next := limits.Policy{
		Revision:    w.policy.Revision + 1,
		Rate:        rapid.SampledFrom([]float64{300, 1000, 2000}).Draw(w.t, "rate"),
		Burst:       rapid.SampledFrom([]float64{900, 3000, 5000}).Draw(w.t, "burst"),
		DataCentres: centres(3, w.seats),
	}
	heavy := dcName(rapid.IntRange(0, 2).Draw(w.t, "heavy"))
	next.DataCentres[heavy] = limits.DataCentre{
		Seats: w.seats, Weight: rapid.SampledFrom([]float64{0, 1, 4}).Draw(w.t, "weight"),
	}
	w.policy = next
	for _, n := range w.alive() {
		lag := time.Duration(rapid.IntRange(0, 8000).Draw(w.t, "lag")) * time.Millisecond
		w.fleet.At(w.fleet.Now()+lag, func() { w.fleet.Apply(n, customer, next) })
	}
}

func (w *world) pause() {
	w.fleet.Pause(w.node(), w.fleet.Now()+time.Duration(rapid.IntRange(1, 3000).Draw(w.t, "pause"))*time.Millisecond)
}

func (w *world) partition() {
	if w.cutDC != "" {
		w.fleet.Cut(w.cutDC, false)
		w.cutDC = ""
		return
	}
	w.cutDC = dcName(rapid.IntRange(0, 2).Draw(w.t, "cut"))
	w.fleet.Cut(w.cutDC, true)
}

func (w *world) step() {
	actions := []func(){w.offer, w.storm, w.storm, w.storm, w.kill, w.replace, w.replace, w.replace, w.change, w.pause, w.partition}
	actions[rapid.IntRange(0, len(actions)-1).Draw(w.t, "action")]()
	w.fleet.Run(w.fleet.Now() + time.Duration(rapid.IntRange(0, 700).Draw(w.t, "gap"))*time.Millisecond)
}

func (w *world) excess() float64 {
	w.fleet.Run(w.fleet.Now() + 5*time.Second)
	return w.fleet.Excess(customer)
}

func conserves(unused bool) func(t *rapid.T) {
	return func(t *rapid.T) {
		w := newWorld(t, limits.AllRules(), unused)
		for range rapid.IntRange(5, 25).Draw(t, "steps") {
			w.step()
		}
		if excess := w.excess(); excess > 0 {
			t.Fatalf("a window exceeds burst + rate*T by %v tokens", excess)
		}
	}
}

// Guards R6: under loss, repeats, lateness, partitions, pauses, kills,
// replacements, lagging lists and changes of rate, burst and weights, no window
// grants more than burst + rate*T.
func TestFleetNeverExceedsLimit(t *testing.T) {
	rapid.Check(t, conserves(false))
}

// Guards the same where VMs use the seats of VMs that are not running.
func TestFleetNeverExceedsLimitWithUnusedSeats(t *testing.T) {
	rapid.Check(t, conserves(true))
}
