package limits

import (
	"cmp"
	"container/heap"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/limits"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
)

// Network is the behaviour of the simulated links.
type Network struct {
	// Near and Far are the one-way times inside and between data centres.
	Near, Far time.Duration
	// Loss, Repeat and Late are probabilities of each message.
	Loss, Repeat, Late float64
	// LateMax bounds the extra time of a late message.
	LateMax time.Duration
}

// DefaultNetwork has a millisecond between data centres and no faults.
func DefaultNetwork() Network {
	return Network{Near: 100 * time.Microsecond, Far: time.Millisecond}
}

// NewTable makes the decision code of a VM; tests pass one with a rule off.
type NewTable func(cfg limits.Config, self limits.VM, start time.Time) *limits.Table

// Fleet simulates the VMs of a fleet with one clock, one network and one source
// of randomness.
type Fleet struct {
	Config  limits.Config
	Network Network
	// Grants are recorded by customer, net of refunds.
	Grants map[ids.CustomerID][]*Grant
	// Limits is the history of the largest limit in force on any VM.
	Limits map[ids.CustomerID][]Limit
	// Messages and Bytes count what all VMs sent for limits.
	Messages, Bytes int64
	// Untracked switches the record of limits off, where no window is checked.
	Untracked bool
	// Spent is the processor time in the decision code for requests and peer
	// messages, taken as wall time of a single goroutine.
	Spent time.Duration

	make   NewTable
	rng    *rand.Rand
	epoch  time.Time
	now    time.Duration
	events eventQueue
	serial int
	nodes  []*Node
	byID   map[ids.VMID]*Node
	cut    map[ids.DataCentreID]bool
}

// Node is one VM of the fleet.
type Node struct {
	VM    limits.VM
	Table *limits.Table
	// Alive is false after Kill.
	Alive    bool
	paused   time.Duration
	applied  map[ids.CustomerID]limits.Policy
	revision ids.Revision
	requests map[limits.Ticket]*Request
	wakes    map[ids.CustomerID]int
	listed   bool
}

// Request is one request of a customer.
type Request struct {
	Customer ids.CustomerID
	Cost     int64
	At       time.Duration
	// Unused is refunded at the end, RunTime after the admission.
	Unused  int64
	RunTime time.Duration
	// Verdict is set when the request is decided, with the wait until then.
	Verdict limits.Verdict
	Wait    time.Duration
	// Wanted is what the ideal bucket says.
	Wanted bool
}

// NewFleet returns a fleet without VMs at time 0.
func NewFleet(cfg limits.Config, network Network, seed uint64, table NewTable) *Fleet {
	epoch := time.Unix(1_700_000_000, 0)
	// As in daemons; the length of the numbers counts in the bytes.
	cfg.FirstBorrowID = uint64(epoch.UnixNano())
	return &Fleet{
		Config: cfg, Network: network, make: table,
		rng:    rand.New(rand.NewPCG(seed, 1)),
		epoch:  epoch,
		Grants: map[ids.CustomerID][]*Grant{},
		Limits: map[ids.CustomerID][]Limit{},
		byID:   map[ids.VMID]*Node{},
		cut:    map[ids.DataCentreID]bool{},
	}
}

// event is one action of the simulation.
type event struct {
	at     time.Duration
	serial int
	act    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].serial < q[j].serial
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return e
}

// At runs an action at a time.
func (f *Fleet) At(at time.Duration, act func()) {
	f.serial++
	heap.Push(&f.events, event{at: max(at, f.now), serial: f.serial, act: act})
}

// Run carries out all actions up to a time.
func (f *Fleet) Run(until time.Duration) {
	for len(f.events) > 0 && f.events[0].at <= until {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.act()
	}
	f.now = until
}

// Now returns the simulated time.
func (f *Fleet) Now() time.Duration { return f.now }

// Clock returns the simulated time as the decision code sees it.
func (f *Fleet) Clock() time.Time { return f.epoch.Add(f.now) }

// Nodes returns the VMs in the order of their start, dead ones included.
func (f *Fleet) Nodes() []*Node { return f.nodes }

// Start adds a VM. It knows no list and no policy yet.
func (f *Fleet) Start(id ids.VMID, dc ids.DataCentreID) *Node {
	vm := limits.VM{ID: id, DataCentre: dc}
	n := &Node{
		VM: vm, Table: f.make(f.Config, vm, f.Clock()), Alive: true, listed: true,
		applied:  map[ids.CustomerID]limits.Policy{},
		requests: map[limits.Ticket]*Request{},
		wakes:    map[ids.CustomerID]int{},
	}
	f.nodes = append(f.nodes, n)
	f.byID[id] = n
	return n
}

// Kill ends a VM; the platform's list shows it until Unlist.
func (f *Fleet) Kill(n *Node) {
	n.Alive = false
	f.refreshLimits()
}

// Unlist takes a VM from the platform's list.
func (f *Fleet) Unlist(n *Node) { n.listed = false }

// Pause stops a VM until a time; messages and timers reach it after that.
func (f *Fleet) Pause(n *Node, until time.Duration) { n.paused = max(n.paused, until) }

// Cut separates a data centre from the others, or joins it again.
func (f *Fleet) Cut(dc ids.DataCentreID, cut bool) { f.cut[dc] = cut }

// List returns the platform's VM list.
func (f *Fleet) List() []limits.VM {
	var vms []limits.VM
	for _, n := range f.nodes {
		if n.listed {
			vms = append(vms, n.VM)
		}
	}
	return vms
}

// ShowList gives the platform's list to a VM as freshly confirmed.
func (f *Fleet) ShowList(n *Node) {
	list, confirmed := f.List(), f.Clock()
	f.on(n, func() { n.Table.SetVMList(f.Clock(), limits.VMList{VMs: list, ConfirmedAt: confirmed}) })
}

// Apply gives a policy to a VM, which then has applied all records up to its
// revision.
func (f *Fleet) Apply(n *Node, customer ids.CustomerID, p limits.Policy) {
	f.on(n, func() {
		if held, found := n.applied[customer]; found && held.Revision > p.Revision {
			return
		}
		n.Table.Apply(f.Clock(), customer, p)
		n.applied[customer] = p
		f.refreshLimits()
		n.revision = max(n.revision, p.Revision)
		n.Table.ObserveApplied(f.Clock(), n.VM.ID, n.revision)
	})
}

// Heartbeats tells every VM what the reachable others have applied.
func (f *Fleet) Heartbeats() {
	for _, from := range f.nodes {
		for _, to := range f.nodes {
			if from == to || !from.Alive || !to.Alive || from.paused > f.now {
				continue
			}
			revision := from.revision
			f.send(from, to, func() { to.Table.ObserveApplied(f.Clock(), from.VM.ID, revision) })
		}
	}
}

// on runs an action on a VM when it is not paused, unless it is dead by then.
func (f *Fleet) on(n *Node, act func()) {
	switch {
	case !n.Alive:
	case n.paused > f.now:
		f.At(n.paused, func() { f.on(n, act) })
	default:
		act()
	}
}

// send delivers a message with the faults of the network.
func (f *Fleet) send(from, to *Node, act func()) {
	copies := 1
	if f.Network.Repeat > 0 && f.rng.Float64() < f.Network.Repeat {
		copies = 2
	}
	for range copies {
		if f.Network.Loss > 0 && f.rng.Float64() < f.Network.Loss {
			continue
		}
		delay := f.Network.Near
		if from.VM.DataCentre != to.VM.DataCentre {
			delay = f.Network.Far
		}
		if f.Network.Late > 0 && f.rng.Float64() < f.Network.Late {
			delay += time.Duration(f.rng.Int64N(int64(f.Network.LateMax)))
		}
		f.At(f.now+delay, func() {
			apart := from.VM.DataCentre != to.VM.DataCentre
			if apart && (f.cut[from.VM.DataCentre] || f.cut[to.VM.DataCentre]) {
				return
			}
			f.on(to, act)
		})
	}
}

// count adds a message to the traffic.
func (f *Fleet) count(message any) {
	body, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	f.Messages++
	f.Bytes += int64(len(body))
}

// Offer brings a request to a VM now.
func (f *Fleet) Offer(n *Node, r *Request) {
	r.At = f.now
	if !n.Alive || n.paused > f.now {
		r.Verdict = 0
		return
	}
	begin := time.Now()
	d := n.Table.Admit(f.Clock(), r.Customer, r.Cost, f.Clock().Add(f.Config.MaxWait))
	f.Spent += time.Since(begin)
	switch d.Verdict {
	case limits.Granted:
		f.granted(n, r, d.Charge)
	case limits.Refused:
		r.Verdict = limits.Refused
	case limits.Waiting:
		n.requests[d.Ticket] = r
	}
	f.carryOut(n, r.Customer, d.Outcome)
}

func (f *Fleet) granted(n *Node, r *Request, c *limits.Charge) {
	r.Verdict, r.Wait = limits.Granted, f.now-r.At
	g := &Grant{At: f.now, Tokens: r.Cost}
	f.Grants[r.Customer] = append(f.Grants[r.Customer], g)
	if r.Unused == 0 {
		return
	}
	f.At(f.now+r.RunTime, func() {
		f.on(n, func() {
			credited, out := n.Table.Refund(f.Clock(), c, r.Unused)
			g.Tokens -= credited
			f.carryOut(n, r.Customer, out)
		})
	})
}

// carryOut does what a driver does with an outcome.
func (f *Fleet) carryOut(n *Node, customer ids.CustomerID, out limits.Outcome) {
	for _, g := range out.Granted {
		r := n.requests[g.Ticket]
		delete(n.requests, g.Ticket)
		f.granted(n, r, g.Charge)
	}
	for _, refusal := range out.Refused {
		r := n.requests[refusal.Ticket]
		delete(n.requests, refusal.Ticket)
		r.Verdict, r.Wait = limits.Refused, f.now-r.At
	}
	for _, ask := range out.BorrowRequests {
		f.borrow(n, ask)
	}
	for _, ret := range out.Returns {
		f.count(call(peer.MethodLimitsReturn, 0, ret.Message))
		if to := f.node(ret.To); to != nil {
			f.send(n, to, func() {
				f.carryOut(to, customer, to.Table.HandleReturn(f.Clock(), ret.Message))
			})
		}
	}
	n.wakes[customer]++
	if out.WakeAt.IsZero() {
		return
	}
	turn := n.wakes[customer]
	f.At(out.WakeAt.Sub(f.epoch), func() {
		f.on(n, func() {
			if n.wakes[customer] == turn {
				begin := time.Now()
				woken := n.Table.Wake(f.Clock(), customer)
				f.Spent += time.Since(begin)
				f.carryOut(n, customer, woken)
			}
		})
	})
}

// borrow sends an ask and its reply.
func (f *Fleet) borrow(n *Node, ask limits.BorrowMessage) {
	id := uint64(f.Messages)
	f.count(call(peer.MethodLimitsBorrow, id, ask.Request))
	to := f.node(ask.To)
	if to == nil {
		return
	}
	f.send(n, to, func() {
		begin := time.Now()
		reply := to.Table.Lend(f.Clock(), ask.Request)
		f.Spent += time.Since(begin)
		f.count(result(id, reply))
		f.send(to, n, func() {
			begin := time.Now()
			received := n.Table.HandleBorrowReply(f.Clock(), reply)
			f.Spent += time.Since(begin)
			f.carryOut(n, reply.Customer, received)
		})
	})
}

// rpcCall and rpcResult are the frames of JSON-RPC 2.0, for the byte counts.
type rpcCall struct {
	Version string `json:"jsonrpc"`
	Method  string `json:"method"`
	Params  any    `json:"params"`
	ID      uint64 `json:"id,omitempty"`
}

type rpcResult struct {
	Version string `json:"jsonrpc"`
	Result  any    `json:"result"`
	ID      uint64 `json:"id"`
}

func call(method string, id uint64, params any) rpcCall {
	return rpcCall{Version: "2.0", Method: method, Params: params, ID: id}
}

func result(id uint64, body any) rpcResult {
	return rpcResult{Version: "2.0", Result: body, ID: id}
}

// node returns a VM that is alive.
func (f *Fleet) node(id ids.VMID) *Node {
	if n := f.byID[id]; n != nil && n.Alive {
		return n
	}
	return nil
}

// refreshLimits records the largest limits in force.
func (f *Fleet) refreshLimits() {
	if f.Untracked {
		return
	}
	largest := map[ids.CustomerID]Limit{}
	for _, n := range f.nodes {
		if !n.Alive {
			continue
		}
		for customer, p := range n.applied {
			l := largest[customer]
			l.Rate, l.Burst = max(l.Rate, int64(p.Rate)), max(l.Burst, int64(p.Burst))
			largest[customer] = l
		}
	}
	for customer, l := range largest {
		l.From = f.now
		history := f.Limits[customer]
		if len(history) == 0 {
			l.From = 0
		} else if last := history[len(history)-1]; last.Rate == l.Rate && last.Burst == l.Burst {
			continue
		}
		f.Limits[customer] = append(history, l)
	}
}

// Excess returns the worst window of a customer.
func (f *Fleet) Excess(customer ids.CustomerID) float64 {
	grants := make([]Grant, 0, len(f.Grants[customer]))
	for _, g := range f.Grants[customer] {
		grants = append(grants, *g)
	}
	return Excess(grants, linger(f.Limits[customer], f.Config.TransferMaxAge))
}

// linger keeps each limit in force for a time longer: tokens lent before a
// limit was lowered may be used until they are too old.
func linger(history []Limit, extra time.Duration) []Limit {
	var lasting []Limit
	for _, l := range history {
		lasting = append(lasting, Limit{From: l.From})
		if l.From > 0 {
			lasting = append(lasting, Limit{From: l.From + extra})
		}
	}
	slices.SortFunc(lasting, func(a, b Limit) int { return cmp.Compare(a.From, b.From) })
	for i := range lasting {
		at := lasting[i].From
		for k, l := range history {
			if l.From <= at && (k+1 == len(history) || at < history[k+1].From+extra) {
				lasting[i].Rate = max(lasting[i].Rate, l.Rate)
				lasting[i].Burst = max(lasting[i].Burst, l.Burst)
			}
		}
	}
	return lasting
}
