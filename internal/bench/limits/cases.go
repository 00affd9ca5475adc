package limits

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/limits"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Customer is a customer of an experiment.
type Customer struct {
	ID          ids.CustomerID
	Rate, Burst float64
}

// Shape is the size of a fleet.
type Shape struct {
	VMs, Centres int
}

// Case is one load pattern.
type Case struct {
	Name string
	// Busy multiplies the load of the first VM.
	Busy float64
	// OneCentre sends all requests to the first data centre.
	OneCentre bool
	// Greedy multiplies the load of the last customer; it offers Greedy times
	// its rate in place of Load.
	Greedy float64
	// Cut separates the last data centre for the middle half of the run.
	Cut bool
	// Rolling restarts one VM after the other.
	Rolling bool
}

// Cases returns the load patterns of the table.
func Cases() []Case {
	return []Case{
		{Name: "even"},
		{Name: "one VM ten times as busy", Busy: 10},
		{Name: "one data centre", OneCentre: true},
		{Name: "one customer at 5 times its rate", Greedy: 5},
		{Name: "one data centre cut off", Cut: true},
		{Name: "rolling restarts", Rolling: true},
	}
}

// Customers returns five customers, two of them large.
func Customers() []Customer {
	return []Customer{
		{ID: "large-1", Rate: 4000, Burst: 12000},
		{ID: "large-2", Rate: 4000, Burst: 12000},
		{ID: "small-1", Rate: 800, Burst: 4800},
		{ID: "small-2", Rate: 800, Burst: 4800},
		{ID: "small-3", Rate: 800, Burst: 4800},
	}
}

const (
	// load is the part of each customer's rate that is offered.
	load = 0.8
	// minCost and maxCost bound the request sizes in tokens.
	minCost, maxCost = 100, 900
	// warmUp lets the buckets fill before requests come.
	warmUp = 10 * time.Second
	// restartEvery and restartTime pace the rolling restarts.
	restartEvery, restartTime = 20 * time.Second, 5 * time.Second
	// listLag is the lag of the VM list after a start or an end.
	listLag = 500 * time.Millisecond
)

// Result is one line of the table.
type Result struct {
	Case    string `json:"case"`
	Method  Method `json:"method"`
	VMs     int    `json:"vms"`
	Centres int    `json:"dataCentres"`
	// Requests counts those that the ideal bucket admits, of customers within
	// their rate.
	Requests int `json:"requests"`
	// RefusedWithin is the part of them that was refused, in percent.
	RefusedWithin float64 `json:"refusedWithinRatePercent"`
	// RefusedLarge is the same for the large customers alone, whose share of a
	// VM is above the largest request.
	RefusedLarge float64 `json:"refusedWithinRateLargePercent"`
	// GreedyGranted is what the customer above its rate got, in percent of
	// what the ideal bucket gives it.
	GreedyGranted float64 `json:"greedyGrantedPercent,omitempty"`
	Messages      float64 `json:"messagesPerSecondPerVM"`
	Bytes         float64 `json:"bytesPerSecondPerVM"`
	// Excess is the worst window of any customer, in tokens.
	Excess float64 `json:"largestWindowExcess"`
	// WaitP99 is the 99th percentile of the wait of granted requests within
	// their rate.
	WaitP99 float64 `json:"waitP99Millis"`
}

// experiment is one run of a case with a method.
type experiment struct {
	c         Case
	shape     Shape
	method    Method
	length    time.Duration
	fleet     *Fleet
	rng       *rand.Rand
	slots     []*Node
	dcs       map[ids.DataCentreID]limits.DataCentre
	cells     cells
	ideals    map[ids.CustomerID]*ideal
	requests  []*Request
	customers []Customer
	names     int
}

// RunCase simulates one case with one method for a time. Requests wait for
// tokens up to the given bound.
func RunCase(c Case, shape Shape, method Method, wait, length time.Duration, seed uint64) Result {
	cfg := limits.DefaultConfig()
	cfg.MaxWait = wait
	e := &experiment{
		c: c, shape: shape, method: method, length: length,
		fleet:  NewFleet(cfg, DefaultNetwork(), seed, limits.New),
		rng:    rand.New(rand.NewPCG(seed, 2)),
		slots:  make([]*Node, shape.VMs),
		dcs:    map[ids.DataCentreID]limits.DataCentre{},
		cells:  cells{},
		ideals: map[ids.CustomerID]*ideal{}, customers: Customers(),
	}
	for i := range shape.VMs {
		dc := e.centre(i)
		e.dcs[dc] = limits.DataCentre{Seats: e.dcs[dc].Seats + 1, Weight: float64(e.dcs[dc].Seats + 1)}
	}
	for i := range shape.VMs {
		e.start(i)
	}
	for _, p := range e.customers {
		e.ideals[p.ID] = newIdeal(p.Rate, p.Burst)
		e.fleet.At(warmUp, func() { e.arrive(p) })
	}
	e.events()
	e.fleet.Run(warmUp + length + 5*time.Second)
	return e.result()
}

func (e *experiment) centre(slot int) ids.DataCentreID {
	return ids.DataCentreID(fmt.Sprintf("dc%d", slot*e.shape.Centres/e.shape.VMs))
}

// start runs a VM in a slot and tells all about it.
func (e *experiment) start(slot int) {
	e.names++
	n := e.fleet.Start(ids.VMID(fmt.Sprintf("vm%d", e.names)), e.centre(slot))
	e.slots[slot] = n
	for _, p := range e.customers {
		e.fleet.Apply(n, p.ID, policyOf(p, e.dcs))
	}
	e.showLists()
	e.fleet.At(e.fleet.Now()+listLag, e.showLists)
}

// showLists gives the VM list to all; without transfers each VM sees itself
// only, so that it asks nobody.
func (e *experiment) showLists() {
	for _, n := range e.fleet.Nodes() {
		if !n.Alive {
			continue
		}
		if e.method == Transfer {
			e.fleet.ShowList(n)
		} else {
			n.Table.SetVMList(e.fleet.Clock(), limits.VMList{VMs: []limits.VM{n.VM}, ConfirmedAt: e.fleet.Clock()})
		}
	}
}

// events plans heartbeats, cuts and restarts.
func (e *experiment) events() {
	for at := time.Duration(0); at < warmUp+e.length; at += time.Second {
		e.fleet.At(at, e.fleet.Heartbeats)
	}
	if e.c.Cut {
		last := e.centre(e.shape.VMs - 1)
		e.fleet.At(warmUp+e.length/4, func() { e.fleet.Cut(last, true) })
		e.fleet.At(warmUp+3*e.length/4, func() { e.fleet.Cut(last, false) })
	}
	if !e.c.Rolling {
		return
	}
	slot := 0
	for at := warmUp + restartEvery; at < warmUp+e.length; at += restartEvery {
		restarted := slot % e.shape.VMs
		e.fleet.At(at, func() { e.restart(restarted) })
		slot++
	}
}

// restart ends the VM of a slot and starts a new one after a while.
func (e *experiment) restart(slot int) {
	old := e.slots[slot]
	e.fleet.Kill(old)
	e.slots[slot] = nil
	e.fleet.At(e.fleet.Now()+listLag, func() {
		e.fleet.Unlist(old)
		e.showLists()
	})
	e.fleet.At(e.fleet.Now()+restartTime, func() { e.start(slot) })
}

// arrive offers one request and plans the next.
func (e *experiment) arrive(p Customer) {
	if e.fleet.Now() >= warmUp+e.length {
		return
	}
	r := &Request{Customer: p.ID, Cost: minCost + e.rng.Int64N(maxCost-minCost+1)}
	n := e.target()
	r.Wanted = e.ideals[p.ID].admit(e.fleet.Now(), r.Cost)
	e.requests = append(e.requests, r)
	e.offer(n, p, r)
	perSecond := p.Rate * load / ((minCost + maxCost) / 2)
	if e.greedy(p.ID) {
		perSecond *= e.c.Greedy / load
	}
	gap := e.rng.ExpFloat64() / perSecond
	e.fleet.At(e.fleet.Now()+time.Duration(gap*float64(time.Second)), func() { e.arrive(p) })
}

func (e *experiment) greedy(id ids.CustomerID) bool {
	return e.c.Greedy > 0 && id == e.customers[1].ID
}

// target draws the VM that a request reaches; the platform's load balancer
// leaves out VMs that are down.
func (e *experiment) target() *Node {
	for {
		slot := e.rng.IntN(e.shape.VMs)
		if e.c.Busy > 0 && e.rng.Float64() >= float64(e.shape.VMs)/(e.c.Busy+float64(e.shape.VMs)-1) {
			slot = 0
		}
		if e.c.OneCentre && e.centre(slot) != e.centre(0) {
			continue
		}
		if e.slots[slot] != nil {
			return e.slots[slot]
		}
	}
}

func (e *experiment) offer(n *Node, p Customer, r *Request) {
	if e.method != GCRA {
		e.fleet.Offer(n, r)
		return
	}
	r.At = e.fleet.Now()
	start, ok := e.cells.of(n, p, e.shape.VMs).admit(r.At, r.Cost, e.fleet.Config.MaxWait)
	r.Verdict = limits.Refused
	if ok {
		r.Verdict, r.Wait = limits.Granted, start-r.At
		e.fleet.Grants[p.ID] = append(e.fleet.Grants[p.ID], &Grant{At: start, Tokens: r.Cost})
	}
}

func (e *experiment) result() Result {
	res := Result{Case: e.c.Name, Method: e.method, VMs: e.shape.VMs, Centres: e.shape.Centres}
	var waits []time.Duration
	var refused, large, refusedLarge int
	var greedy, greedyIdeal int64
	for _, r := range e.requests {
		granted := r.Verdict == limits.Granted
		if e.greedy(r.Customer) {
			if granted {
				greedy += r.Cost
			}
			if r.Wanted {
				greedyIdeal += r.Cost
			}
			continue
		}
		if granted {
			waits = append(waits, r.Wait)
		}
		if r.Wanted {
			res.Requests++
			refused += count(!granted)
			if r.Customer == Customers()[0].ID || r.Customer == Customers()[1].ID {
				large++
				refusedLarge += count(!granted)
			}
		}
	}
	res.RefusedWithin = percent(refused, res.Requests)
	res.RefusedLarge = percent(refusedLarge, large)
	res.GreedyGranted = percent(greedy, greedyIdeal)
	res.WaitP99 = quantile(waits, 0.99).Seconds() * 1000
	perVM := e.length.Seconds() * float64(e.shape.VMs)
	res.Messages = float64(e.fleet.Messages) / perVM
	res.Bytes = float64(e.fleet.Bytes) / perVM
	for _, p := range e.customers {
		res.Excess = max(res.Excess, e.fleet.Excess(p.ID))
	}
	return res
}

func count(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

func percent[N int | int64](part, whole N) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}

func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(q*float64(len(values))), len(values)-1)]
}
