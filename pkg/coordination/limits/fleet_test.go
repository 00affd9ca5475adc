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

// dataCentres returns data centres of equal weight with the given seats.
func dataCentres(count, seats int) map[ids.DataCentreID]limits.DataCentre {
	dcs := map[ids.DataCentreID]limits.DataCentre{}
	for i := range count {
		dcs[dataCentreID(i)] = limits.DataCentre{Seats: seats, Weight: 1}
	}
	return dcs
}

func dataCentreID(i int) ids.DataCentreID { return ids.DataCentreID(fmt.Sprintf("dc%d", i)) }

// fleetModel is a simulated fleet with the random actions of a property test.
type fleetModel struct {
	t           *rapid.T
	fleet       *sim.Fleet
	seats       int
	dcs         map[ids.DataCentreID]limits.DataCentre
	policy      limits.Policy
	started     int
	runningVMs  map[ids.DataCentreID]int
	partitioned ids.DataCentreID
}

func newFleetModel(t *rapid.T, rules limits.Rules, useUnusedSeats bool) *fleetModel {
	cfg := limits.DefaultConfig()
	cfg.UseUnusedSeats = useUnusedSeats
	cfg.ListLagBound = 2 * time.Second
	network := sim.DefaultNetwork()
	network.Loss = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "loss")
	network.Repeat = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "repeat")
	network.Late = rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(t, "late")
	network.LateMax = rapid.SampledFrom([]time.Duration{230 * time.Millisecond, 2 * time.Second}).Draw(t, "lateMax")
	w := &fleetModel{
		t: t, seats: 2, dcs: dataCentres(3, 2), runningVMs: map[ids.DataCentreID]int{},
		fleet: sim.NewFleet(cfg, network, rapid.Uint64().Draw(t, "seed"), limits.NewWithRules(rules)),
	}
	w.policy = limits.Policy{Revision: 1, Rate: 1000, Burst: 3000, DataCentres: w.dcs}
	for i := range 6 {
		w.start(dataCentreID(i % 3))
	}
	w.every(500*time.Millisecond, w.fleet.Heartbeats)
	w.every(time.Second, func() { w.deliverLists(500 * time.Millisecond) })
	return w
}

// every schedules a repeated action for the duration of a test.
func (w *fleetModel) every(period time.Duration, act func()) {
	for at := time.Duration(0); at < 2*time.Minute; at += period {
		w.fleet.At(at, act)
	}
}

func (w *fleetModel) start(dc ids.DataCentreID) {
	w.started++
	n := w.fleet.Start(ids.VMID(fmt.Sprintf("vm%d", w.started)), dc)
	w.runningVMs[dc]++
	w.fleet.Apply(n, customer, w.policy)
	w.fleet.ShowList(n)
}

// deliverLists gives each VM the platform's list, each after a different lag.
func (w *fleetModel) deliverLists(lag time.Duration) {
	for i, n := range w.alive() {
		w.fleet.At(w.fleet.Now()+time.Duration(i)*lag/8, func() { w.fleet.ShowList(n) })
	}
}

func (w *fleetModel) alive() []*sim.Node {
	var nodes []*sim.Node
	for _, n := range w.fleet.Nodes() {
		if n.Alive {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

func (w *fleetModel) node() *sim.Node {
	return rapid.SampledFrom(w.alive()).Draw(w.t, "node")
}

// offer sends up to six requests to one VM.
func (w *fleetModel) offer() {
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

// overload lets the buckets fill, then sends more requests to all VMs than they
// have tokens for. A violation shows only if the whole burst is spent at one
// time.
func (w *fleetModel) overload() {
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

// kill stops a VM. The VM list still shows it for a while, and a new one may
// start.
func (w *fleetModel) kill() {
	if len(w.alive()) < 2 {
		return
	}
	n := w.node()
	w.fleet.Kill(n)
	w.runningVMs[n.VM.DataCentre]--
	w.fleet.At(w.fleet.Now()+500*time.Millisecond, func() { w.fleet.Unlist(n) })
}

func (w *fleetModel) replace() {
	for dc := range 3 {
		if w.runningVMs[dataCentreID(dc)] < w.seats {
			w.start(dataCentreID(dc))
			return
		}
	}
}

// changePolicy publishes a new policy, which the VMs receive at different
// times.
func (w *fleetModel) changePolicy() {
	next := limits.Policy{
		Revision:    w.policy.Revision + 1,
		Rate:        rapid.SampledFrom([]float64{300, 1000, 2000}).Draw(w.t, "rate"),
		Burst:       rapid.SampledFrom([]float64{900, 3000, 5000}).Draw(w.t, "burst"),
		DataCentres: dataCentres(3, w.seats),
	}
	reweighted := dataCentreID(rapid.IntRange(0, 2).Draw(w.t, "heavy"))
	next.DataCentres[reweighted] = limits.DataCentre{
		Seats: w.seats, Weight: rapid.SampledFrom([]float64{0, 1, 4}).Draw(w.t, "weight"),
	}
	w.policy = next
	for _, n := range w.alive() {
		lag := time.Duration(rapid.IntRange(0, 8000).Draw(w.t, "lag")) * time.Millisecond
		w.fleet.At(w.fleet.Now()+lag, func() { w.fleet.Apply(n, customer, next) })
	}
}

func (w *fleetModel) pause() {
	w.fleet.Pause(w.node(), w.fleet.Now()+time.Duration(rapid.IntRange(1, 3000).Draw(w.t, "pause"))*time.Millisecond)
}

func (w *fleetModel) partition() {
	if w.partitioned != "" {
		w.fleet.Cut(w.partitioned, false)
		w.partitioned = ""
		return
	}
	w.partitioned = dataCentreID(rapid.IntRange(0, 2).Draw(w.t, "cut"))
	w.fleet.Cut(w.partitioned, true)
}

func (w *fleetModel) step() {
	actions := []func(){w.offer, w.overload, w.overload, w.overload, w.kill, w.replace, w.replace, w.replace, w.changePolicy, w.pause, w.partition}
	actions[rapid.IntRange(0, len(actions)-1).Draw(w.t, "action")]()
	w.fleet.Run(w.fleet.Now() + time.Duration(rapid.IntRange(0, 700).Draw(w.t, "gap"))*time.Millisecond)
}

func (w *fleetModel) excess() float64 {
	w.fleet.Run(w.fleet.Now() + 5*time.Second)
	return w.fleet.Excess(customer)
}

func checkLimitHolds(useUnusedSeats bool) func(t *rapid.T) {
	return func(t *rapid.T) {
		w := newFleetModel(t, limits.AllRules(), useUnusedSeats)
		for range rapid.IntRange(5, 25).Draw(t, "steps") {
			w.step()
		}
		if excess := w.excess(); excess > 0 {
			t.Fatalf("a window exceeds burst + rate*T by %v tokens", excess)
		}
	}
}

// No window may grant more than burst + rate*T, which is requirement R6. The
// test covers loss, repeated and late messages, partitions, pauses, killed and
// replaced VMs, lagging lists, and changes of rate, burst and weights.
func TestFleetNeverExceedsLimit(t *testing.T) {
	rapid.Check(t, checkLimitHolds(false))
}

// The same must hold if VMs use the shares of VMs that are not running.
func TestFleetNeverExceedsLimitWithUnusedSeats(t *testing.T) {
	rapid.Check(t, checkLimitHolds(true))
}
