package limits

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/wagtailspoke/wagtailspoke/internal/bench/slope"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/limits"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// The load of the target: 11,000 requests/s of 12,000 customers on 420 VMs in
// 31 data centres.
const (
	requestsPerVM  = 11000.0 / 420
	customersPerVM = 12000.0 / 420
	vmsPerCentre   = 14
	// burstSeconds is the burst of a customer in seconds of its rate, where
	// that is not what varies.
	burstSeconds = 12
	// fleetCustomers bounds the simulated customers of one fleet; with more,
	// a sample is simulated and its traffic multiplied.
	fleetCustomers = 600
)

// Slopes measures cost over the number of customers and of VMs.
func Slopes(o options) []slope.Slope {
	m := measurement{length: 20 * time.Second, seed: o.seed, command: fmt.Sprintf("wagtailbench limits --seed %d", o.seed)}
	customers, vms := []int{10, 100, 1000, 12000}, []int{8, 32, 128, 420}
	// The largest size takes minutes with customers on all VMs, for the shares
	// there are below a fifth of the smallest request.
	spread := vms[:3]
	if o.quick {
		customers, vms, spread = customers[:3], vms[:2], vms[:2]
		m.length = 2 * time.Second
		m.command += " --quick"
	}
	slopes := m.overCustomers(customers)
	slopes = append(slopes, m.overVMs(vms, true)...)
	slopes = append(slopes, m.overVMs(spread, false)...)
	return append(slopes, m.overBurst())
}

// measurement holds what all slopes of a run share.
type measurement struct {
	length  time.Duration
	seed    uint64
	command string
}

// overCustomers measures one VM.
func (m measurement) overCustomers(customers []int) []slope.Slope {
	var admit, memory [][2]float64
	for _, n := range customers {
		nanos, bytes := tableCost(n, m.seed)
		admit = append(admit, [2]float64{float64(n), nanos})
		memory = append(memory, [2]float64{float64(n), bytes})
	}
	return []slope.Slope{
		slope.Fit("limits.admission_time_per_customer", "ns/customer", m.command, admit),
		slope.Fit("limits.memory_per_customer", "B/customer", m.command, memory),
	}
}

// overVMs measures traffic and processor time, with each customer in one data
// centre or on all VMs.
func (m measurement) overVMs(vms []int, home bool) []slope.Slope {
	suffix := "_spread"
	if home {
		suffix = "_home"
	}
	var traffic, spent, refused [][2]float64
	for _, n := range vms {
		cost := fleetCost(fleet{vms: n, home: home, burst: burstSeconds}, m.length, m.seed)
		traffic = append(traffic, [2]float64{float64(n), cost.bytes})
		spent = append(spent, [2]float64{float64(n), cost.nanos})
		refused = append(refused, [2]float64{float64(n), cost.refused})
	}
	return []slope.Slope{
		slope.Fit("limits.peer_bytes_per_vm"+suffix, "B/s/VM", m.command, traffic),
		slope.Fit("limits.request_time_per_vm"+suffix, "ns/VM", m.command, spent),
		slope.Fit("limits.refused_per_vm"+suffix, "%/VM", m.command, refused),
	}
}

// overBurst measures the traffic of one data centre over the burst: the larger
// a VM's share of it, the fewer requests need tokens of others.
func (m measurement) overBurst() slope.Slope {
	var traffic [][2]float64
	for _, seconds := range []int{12, 30, 60, 120} {
		cost := fleetCost(fleet{vms: vmsPerCentre, home: true, burst: seconds}, m.length, m.seed)
		traffic = append(traffic, [2]float64{float64(seconds), cost.bytes})
	}
	return slope.Fit("limits.peer_bytes_per_burst_second", "B/s/s", m.command, traffic)
}

// tableCost returns the time of one admission in nanoseconds and the bytes of
// all buckets of a VM with a number of customers.
func tableCost(customers int, seed uint64) (nanos, bytes float64) {
	names := make([]ids.CustomerID, customers)
	for i := range names {
		names[i] = ids.CustomerID(fmt.Sprintf("customer-%d", i))
	}
	dcs := map[ids.DataCentreID]limits.DataCentre{"dc0": {Seats: 1, Weight: 1}}
	self := limits.VM{ID: "vm1", DataCentre: "dc0"}
	now := time.Unix(1_700_000_000, 0)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := limits.New(limits.DefaultConfig(), self, now)
	table.SetVMList(now, limits.VMList{VMs: []limits.VM{self}, ConfirmedAt: now})
	for _, name := range names {
		table.Apply(now, name, limits.Policy{Revision: 1, Rate: 1e6, Burst: 1e7, DataCentres: dcs})
	}
	table.ObserveApplied(now, self.ID, 1)
	runtime.GC()
	runtime.ReadMemStats(&after)
	rng := rand.New(rand.NewPCG(seed, 3))
	const decisions = 200_000
	now = now.Add(time.Minute)
	begin := time.Now()
	for range decisions {
		now = now.Add(time.Millisecond)
		d := table.Admit(now, names[rng.IntN(customers)], 100, now.Add(time.Second))
		table.Refund(now, d.Charge, 50)
	}
	spent := time.Since(begin)
	return float64(spent.Nanoseconds()) / decisions, float64(int64(after.HeapAlloc) - int64(before.HeapAlloc))
}

// fleetMeasure is the cost of a fleet under the load of the target.
type fleetMeasure struct {
	bytes, nanos, refused float64
}

// fleet is what fleetCost simulates.
type fleet struct {
	vms int
	// home puts each customer in one data centre.
	home bool
	// burst is in seconds of the rate.
	burst int
}

// fleetCost simulates a fleet with the load per VM of the target, after the
// buckets have filled.
func fleetCost(size fleet, length time.Duration, seed uint64) fleetMeasure {
	vms, home := size.vms, size.home
	begin := time.Duration(size.burst) * time.Second
	f := NewFleet(limits.DefaultConfig(), DefaultNetwork(), seed, limits.New)
	f.Untracked = true
	centres := (vms + vmsPerCentre - 1) / vmsPerCentre
	all := map[ids.DataCentreID]limits.DataCentre{}
	members := make([][]*Node, centres)
	for i := range vms {
		dc := ids.DataCentreID(fmt.Sprintf("dc%d", i%centres))
		members[i%centres] = append(members[i%centres], f.Start(ids.VMID(fmt.Sprintf("vm%d", i)), dc))
		all[dc] = limits.DataCentre{Seats: all[dc].Seats + 1, Weight: float64(all[dc].Seats + 1)}
	}
	total := customersPerVM * float64(vms)
	simulated := min(int(total), fleetCustomers)
	scale := total / float64(simulated)
	rng := rand.New(rand.NewPCG(seed, 4))
	perCustomer := requestsPerVM / customersPerVM
	rate := perCustomer * (minCost + maxCost) / 2 / load
	var requests []*Request
	for i := range simulated {
		id, nodes, dcs := ids.CustomerID(fmt.Sprintf("c%d", i)), f.Nodes(), all
		if home {
			nodes = members[i%centres]
			dc := nodes[0].VM.DataCentre
			dcs = map[ids.DataCentreID]limits.DataCentre{dc: all[dc]}
		}
		for _, n := range nodes {
			f.Apply(n, id, limits.Policy{Revision: 1, Rate: rate, Burst: rate * float64(size.burst), DataCentres: dcs})
		}
		pause := func() time.Duration {
			return time.Duration(rng.ExpFloat64() / perCustomer * float64(time.Second))
		}
		for at := begin + pause(); at < begin+length; at += pause() {
			r := &Request{Customer: id, Cost: minCost + rng.Int64N(maxCost-minCost+1)}
			requests = append(requests, r)
			n := nodes[rng.IntN(len(nodes))]
			f.At(at, func() { f.Offer(n, r) })
		}
	}
	for _, n := range f.Nodes() {
		f.ShowList(n)
	}
	f.Heartbeats()
	f.Run(begin + length + 2*time.Second)
	refused := 0
	for _, r := range requests {
		refused += count(r.Verdict != limits.Granted)
	}
	return fleetMeasure{
		bytes:   float64(f.Bytes) * scale / length.Seconds() / float64(vms),
		nanos:   float64(f.Spent.Nanoseconds()) / float64(len(requests)),
		refused: percent(refused, len(requests)),
	}
}
