package placement

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/wagtailspoke/wagtailspoke/internal/bench/slope"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/placement"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/routing"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
)

// The sizes at which costs are measured.
var (
	workerSizes  = []int{3, 30, 320}
	adapterSizes = []int{3000, 6000, 12000}
)

const (
	// regionCentres is the number of data centres of a region at the target.
	regionCentres = 3
	// perWorker and vmsPerWorker are requests per second and entry VMs for
	// each worker at the target.
	perWorker    = 1.1
	vmsPerWorker = 0.042
	// picks is how many decisions are timed, and plannedNeeds how many loads
	// wait when a plan is timed.
	picks        = 20_000
	plans        = 200
	plannedNeeds = 100
	// settledAt is when the first owners may give every order.
	settledAt = 78 * time.Second
	// bytesWorkers is the size at which the number of adapters varies.
	bytesWorkers = 30
)

// cost is what one VM spends at one size.
type cost struct {
	pick, home, plan float64 // microseconds
	memory           float64 // bytes
	peerBytes        float64 // bytes a second
}

// slopes measures costs against the number of workers and of adapters.
func slopes(seed uint64, command string) []slope.Slope {
	var byWorkers, byAdapters []cost
	for _, workers := range workerSizes {
		byWorkers = append(byWorkers, measure(seed, workers, adapterSizes[0]))
	}
	for _, adapters := range adapterSizes {
		byAdapters = append(byAdapters, measure(seed, bytesWorkers, adapters))
	}
	out := lines("workers", workerSizes, byWorkers, command)
	return append(out, lines("adapters", adapterSizes, byAdapters, command)...)
}

func lines(axis string, sizes []int, costs []cost, command string) []slope.Slope {
	parts := []struct {
		name, unit string
		of         func(cost) float64
	}{
		{"pick_time", "us", func(c cost) float64 { return c.pick }},
		{"home_time", "us", func(c cost) float64 { return c.home }},
		{"plan_time", "us", func(c cost) float64 { return c.plan }},
		{"memory", "B", func(c cost) float64 { return c.memory }},
		{"peer_bytes", "B/s", func(c cost) float64 { return c.peerBytes }},
	}
	var out []slope.Slope
	for _, part := range parts {
		var points [][2]float64
		for i, size := range sizes {
			points = append(points, [2]float64{float64(size), part.of(costs[i])})
		}
		out = append(out, slope.Fit(fmt.Sprintf("placement.%s_per_%s", part.name, axis), part.unit+"/"+axis, command, points))
	}
	return out
}

func sized(dataCentres, workers, adapters int) deployment {
	d := isbreen(records.PolicyLatency)
	d.name, d.dataCentres, d.workers, d.adapters, d.fill = "sized", dataCentres, workers, adapters, true
	d.vms = max(2, int(vmsPerWorker*float64(workers)))
	d.warmUp, d.length = 110*time.Second, 125*time.Second
	d.shiftAt = d.length
	rate := perWorker * float64(workers*dataCentres)
	d.customers = []customerLoad{{id: "a", rate: rate / 2, sent: rate / 2}, {id: "b", rate: rate / 2, sent: rate / 2}}
	return d
}

// measure times the decisions of one VM of a region and counts its messages in
// a run of one data centre.
func measure(seed uint64, workers, adapters int) cost {
	var out cost
	f := newFleet(sized(regionCentres, workers, adapters), seed)
	// One more VM, so that its memory is counted without the model's.
	before := heapBytes()
	f.add("measured", 0, f.vms[0].budget, seed)
	v := f.vms[len(f.vms)-1]
	f.list.VMs = append(f.list.VMs, platformapi.VM{ID: v.id, DataCentre: dataCentreID(0), State: platformapi.VMLive})
	v.learn()
	out.memory = heapBytes() - before
	out.pick = v.timePicks(seed)
	out.home = v.timeHomes()
	out.plan = v.timePlans()
	out.peerBytes = countBytes(sized(1, workers, adapters), seed)
	return out
}

// learn gives a VM the reports of all engines, and a pin on what is resident in
// its own data centre.
func (v *vm) learn() {
	f := v.fleet
	now := f.now()
	v.table.ObserveList(now, f.list, now)
	f.world.now = 2 * time.Minute
	now = f.now()
	v.table.ObserveList(now, f.list, now)
	for _, e := range f.world.engines {
		report := placement.Report{Endpoint: e.id, Boot: "boot", Sequence: 1}
		for ref := range e.resident {
			report.Resident = append(report.Resident, ref)
		}
		v.planner.Observe(now, report)
		for _, ref := range report.Resident {
			key := peer.PinKey{Endpoint: e.id, Ref: ref}
			v.holder.ApplyGrants(now, now, 1, []peer.PinGrant{{Pin: key, TermMillis: 60_000, EndpointBoot: "boot"}})
			v.table.GrantPin(now, v.id, 1, key, v.planner.Resident)
		}
	}
}

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

func micros(start time.Time, n int) float64 {
	return float64(time.Since(start).Nanoseconds()) / 1e3 / float64(n)
}

// timePicks times choosing an endpoint for one request.
func (v *vm) timePicks(seed uint64) float64 {
	random := rand.New(rand.NewPCG(seed, 17))
	zipf := newZipf(v.fleet.world.deployment.adapters)
	popular := rand.New(rand.NewPCG(seed, 11)).Perm(v.fleet.world.deployment.adapters)
	now := v.fleet.now()
	start := time.Now()
	for range picks {
		request := routing.Request{
			Kind: records.EndpointModel, Ref: refOf(popular[zipf.draw(random)], 1), BaseModel: baseModel, Deadline: now.Add(requestTerm),
		}
		_, _ = v.profile.Pick(&request, v.state.Candidates(now, &request), random)
	}
	return micros(start, picks)
}

func coldRef(n int) ids.AdapterRef { return refOf(n, 9) }

// timeHomes times choosing where to load a cold adapter.
func (v *vm) timeHomes() float64 {
	now := v.fleet.now()
	start := time.Now()
	for n := range plans {
		v.planner.LoadTarget(now, coldRef(n), baseModel)
	}
	return micros(start, plans)
}

// timePlans times a plan while many loads wait and no right is left.
func (v *vm) timePlans() float64 {
	now := v.fleet.now()
	owned := 0
	for _, e := range v.fleet.world.engines {
		if v.table.Owns(e.id) && owned < plannedNeeds {
			owned++
			v.planner.UpdateDemand(now, placement.CustomerDemand{Sender: v.id, Endpoint: e.id, Ref: coldRef(owned), Customer: "a", Requests: 1})
		}
	}
	for n := owned; n < plannedNeeds; n++ {
		v.planner.UpdateDemand(now, placement.CustomerDemand{Sender: v.id, Endpoint: v.fleet.world.engines[0].id, Ref: coldRef(n), Customer: "a", Requests: 1})
	}
	start := time.Now()
	for range plans {
		for _, order := range v.planner.Plan(now, v) {
			v.planner.CompleteOrder(now, order.ID, placement.ResultNotSent, v)
		}
	}
	return micros(start, plans)
}

// countBytes runs a data centre and returns the bytes of pin and work messages
// that one VM sends in a second.
func countBytes(d deployment, seed uint64) float64 {
	f := newFleet(d, seed)
	for i, a := range d.arrivals(seed) {
		// Before this the owners wait for rights that predecessors might have.
		if a.at < settledAt {
			continue
		}
		v := f.vms[i*7%len(f.vms)]
		f.world.after(a.at, func() { v.arrive(a) })
	}
	f.world.run()
	total := 0
	for _, n := range f.world.meter.bytes {
		total += n
	}
	return float64(total) / float64(len(f.vms)) / (d.length - d.warmUp).Seconds()
}
