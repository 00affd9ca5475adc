package limits

import (
	"hash/maphash"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// shardCount spreads customers over locks; it is well above the cores of a VM.
const shardCount = 64

// driftPart is the part of TransferMaxAge that a borrower gives up, so that
// clocks of different speed do not matter.
const driftPart = 50

// Table holds the buckets of all customers on one VM.
type Table struct {
	cfg   Config
	rules rules
	self  ids.VMID
	dc    ids.DataCentreID
	start time.Time

	seats *seatLog
	acks  *ackLog
	peers atomic.Pointer[peerList]

	seed    maphash.Seed
	shards  [shardCount]tableShard
	nextAsk atomic.Uint64
	tickets atomic.Uint64
}

type tableShard struct {
	mu       sync.Mutex
	buckets  map[ids.CustomerID]*bucket
	counters Counters
}

// Counters are totals since the start of the Table.
type Counters struct {
	Granted, Refused, Waited   uint64
	AsksSent, AsksAnswered     uint64
	LateDropped, RepeatDropped uint64
	TokensLent, TokensBorrowed int64
	TokensReturned, TokensLost int64
	TokensCharged, Refunded    int64
}

// peerList is the VM list without this VM, the own data centre first.
type peerList struct {
	vms []VM
	// near is the number of peers in the own data centre.
	near int
}

// New returns a Table for a VM that starts now with empty buckets.
func New(cfg Config, self VM, start time.Time) *Table {
	return newTable(cfg, self, start, allRules())
}

func newTable(cfg Config, self VM, start time.Time, r rules) *Table {
	t := &Table{
		cfg: cfg, rules: r, self: self.ID, dc: self.DataCentre, start: start,
		seats: newSeatLog(cfg), acks: newAckLog(self.ID), seed: maphash.MakeSeed(),
	}
	t.nextAsk.Store(cfg.FirstAsk)
	t.peers.Store(&peerList{})
	for i := range t.shards {
		t.shards[i].buckets = map[ids.CustomerID]*bucket{}
	}
	return t
}

func (t *Table) nanos(now time.Time) int64 { return int64(now.Sub(t.start)) }

// clock returns a time in nanoseconds that never goes back for a bucket:
// callers read the time before they wait for the lock of a shard, and a caller
// that was paused in between must not use tokens by its old time.
func (t *Table) clock(b *bucket, now time.Time) int64 { return max(t.nanos(now), b.last) }

func (t *Table) shard(customer ids.CustomerID) *tableShard {
	return &t.shards[maphash.String(t.seed, string(customer))%shardCount]
}

// SetView takes a VM list. The driver calls it for every new list and whenever
// the list is confirmed anew.
func (t *Table) SetView(now time.Time, v View) {
	list := &peerList{}
	var far []VM
	live := 0
	for _, vm := range v.VMs {
		switch {
		case vm.DataCentre != t.dc:
			far = append(far, vm)
			continue
		case vm.ID != t.self:
			list.vms = append(list.vms, vm)
		}
		live++
	}
	list.near = len(list.vms)
	list.vms = append(list.vms, far...)
	t.peers.Store(list)
	t.acks.list(t.nanos(now), v.VMs)
	t.seats.observe(t.nanos(now), t.nanos(v.ConfirmedAt), live)
}

// ObserveApplied takes the revision up to which a VM, or this one, has applied
// all records. For this VM the driver calls it after the calls of Apply.
func (t *Table) ObserveApplied(now time.Time, vm ids.VMID, revision ids.Revision) {
	t.acks.observe(t.nanos(now), vm, revision)
}

// Apply puts a customer's policy into force. A lowered rate, burst or share
// counts at once. A raised share, the first one included, counts after every
// listed VM has applied the policy's revision. A policy with a revision below
// the one held is ignored.
func (t *Table) Apply(now time.Time, customer ids.CustomerID, p Policy) {
	sh := t.shard(customer)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	at := t.nanos(now)
	b := sh.buckets[customer]
	if b == nil {
		b = &bucket{customer: customer, last: at}
		sh.buckets[customer] = b
		// Tokens lent by the VM that held this seat before may be in flight:
		// no deposit before they are used or dropped.
		b.lent = lentWindow{current: maxMicro, epoch: at}
		if !t.rules.emptyStart {
			b.lent = lentWindow{epoch: at}
			b.level = maxMicro
			b.policy, b.inForce = p, p.fraction(t.dc)
		}
	} else if p.Revision < b.policy.Revision {
		return
	} else {
		t.touch(b, at)
	}
	b.policy, b.weights = p, p.weights()
	b.target = p.fraction(t.dc)
	b.inForce = min(b.inForce, b.target)
	t.touch(b, at)
}

// Remove forgets a customer. Its waiting requests are refused.
func (t *Table) Remove(now time.Time, customer ids.CustomerID) Outcome {
	sh := t.shard(customer)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var out Outcome
	if b := sh.buckets[customer]; b != nil {
		for _, w := range b.waiting {
			out.Refused = append(out.Refused, Refusal{Ticket: w.ticket, Reason: ReasonUnknown})
		}
		delete(sh.buckets, customer)
	}
	return out
}

// Sweep forgets what idle customers no longer need. The driver calls it every
// few seconds.
func (t *Table) Sweep(now time.Time) {
	at := t.nanos(now)
	for i := range t.shards {
		sh := &t.shards[i]
		sh.mu.Lock()
		for _, b := range sh.buckets {
			t.sweep(b, at)
		}
		sh.mu.Unlock()
	}
}

func (t *Table) sweep(b *bucket, now int64) {
	for vm, h := range b.hints {
		if now-h.at > int64(maxRetry) {
			delete(b.hints, vm)
		}
	}
	if len(b.hints) == 0 {
		b.hints = nil
	}
	t.forgetLoans(b, now)
}

// CustomerState is a customer's state on this VM.
type CustomerState struct {
	Customer ids.CustomerID
	// Level and Cap are in tokens, Rate in tokens a second; all are this VM's.
	Level, Cap, Rate float64
	Waiting          int
	// PendingRevision is set while a raised share waits for
	// acknowledgements, of the VMs in PendingOn.
	PendingRevision ids.Revision
	PendingOn       []ids.VMID
}

// Snapshot is the state of a Table for the status page.
type Snapshot struct {
	Customers []CustomerState
	Counters  Counters
}

// Snapshot returns the state of all customers, ordered by id.
func (t *Table) Snapshot(now time.Time) Snapshot {
	var snap Snapshot
	at := t.nanos(now)
	for i := range t.shards {
		sh := &t.shards[i]
		sh.mu.Lock()
		for _, b := range sh.buckets {
			snap.Customers = append(snap.Customers, t.state(b, at))
		}
		snap.Counters.add(sh.counters)
		sh.mu.Unlock()
	}
	slices.SortFunc(snap.Customers, func(a, b CustomerState) int {
		if a.Customer < b.Customer {
			return -1
		}
		return 1
	})
	return snap
}

// Fill returns how full this VM's bucket of a customer is, from 0 to 1. It is 0
// for a customer without a policy or a share.
func (t *Table) Fill(now time.Time, customer ids.CustomerID) float64 {
	sh := t.shard(customer)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	b := sh.buckets[customer]
	if b == nil {
		return 0
	}
	state := t.state(b, t.clock(b, now))
	if state.Cap <= 0 {
		return 0
	}
	return state.Level / state.Cap
}

func (t *Table) state(b *bucket, now int64) CustomerState {
	s := t.touch(b, now)
	state := CustomerState{
		Customer: b.customer,
		Level:    float64(b.level) / float64(micro),
		Cap:      float64(s.capNow(b, now, t.maxAge())) / float64(micro),
		Rate:     float64(s.rate) / float64(micro),
		Waiting:  len(b.waiting),
	}
	if b.target > b.inForce {
		state.PendingRevision = b.policy.Revision
		state.PendingOn = t.acks.pendingOn(b.policy.Revision)
	}
	return state
}

func (c *Counters) add(o Counters) {
	c.Granted += o.Granted
	c.Refused += o.Refused
	c.Waited += o.Waited
	c.AsksSent += o.AsksSent
	c.AsksAnswered += o.AsksAnswered
	c.LateDropped += o.LateDropped
	c.RepeatDropped += o.RepeatDropped
	c.TokensLent += o.TokensLent
	c.TokensBorrowed += o.TokensBorrowed
	c.TokensReturned += o.TokensReturned
	c.TokensLost += o.TokensLost
	c.TokensCharged += o.TokensCharged
	c.Refunded += o.Refunded
}
