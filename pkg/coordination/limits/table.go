package limits

import (
	"hash/maphash"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// shardCount is the number of locks over which customers are spread; it is well
// above the number of cores of a VM.
const shardCount = 64

// clockDriftDivisor sets by how much earlier a borrower stops using borrowed
// tokens: TransferMaxAge divided by this number. Clocks of different speed then
// do no harm.
const clockDriftDivisor = 50

// maxRetry bounds every retry time that the package returns.
const maxRetry = 10 * time.Second

// Table holds the buckets of all customers on one VM. It is safe for concurrent
// use.
type Table struct {
	cfg         Config
	safetyRules safetyRules
	self        ids.VMID
	dataCentre  ids.DataCentreID
	start       time.Time

	divisors *divisorLog
	acks     *ackLog
	peers    atomic.Pointer[peerList]

	seed         maphash.Seed
	shards       [shardCount]tableShard
	lastBorrowID atomic.Uint64
	lastTicket   atomic.Uint64
}

type tableShard struct {
	mu       sync.Mutex
	buckets  map[ids.CustomerID]*bucket
	counters Counters
}

// Counters are totals since the start of the Table. Token amounts are in whole
// tokens.
type Counters struct {
	Granted, Refused, Waited   uint64
	AsksSent, AsksAnswered     uint64
	LateDropped, RepeatDropped uint64
	TokensLent, TokensBorrowed int64
	TokensReturned, TokensLost int64
	TokensCharged, Refunded    int64
}

// peerList is the VM list without this VM, with the peers of the same data
// centre first.
type peerList struct {
	vms []VM
	// localCount is the number of peers in the same data centre.
	localCount int
}

// New returns a Table for a VM that starts now with empty buckets.
func New(cfg Config, self VM, start time.Time) *Table {
	return newTable(cfg, self, start, allRules())
}

func newTable(cfg Config, self VM, start time.Time, r safetyRules) *Table {
	t := &Table{
		cfg: cfg, safetyRules: r, self: self.ID, dataCentre: self.DataCentre, start: start,
		divisors: newDivisorLog(cfg), acks: newAckLog(self.ID), seed: maphash.MakeSeed(),
	}
	t.lastBorrowID.Store(cfg.FirstBorrowID)
	t.peers.Store(&peerList{})
	for i := range t.shards {
		t.shards[i].buckets = map[ids.CustomerID]*bucket{}
	}
	return t
}

func (t *Table) nanos(now time.Time) int64 { return int64(now.Sub(t.start)) }

// clock returns a time in nanoseconds that never goes back for a bucket.
// Callers read the time before they wait for the lock of a shard, and a caller
// that was paused in between must not use tokens by that earlier time.
func (t *Table) clock(b *bucket, now time.Time) int64 { return max(t.nanos(now), b.accruedUntil) }

func (t *Table) shard(customer ids.CustomerID) *tableShard {
	return &t.shards[maphash.String(t.seed, string(customer))%shardCount]
}

// SetVMList takes a new VM list. The driver calls it for every new list and
// whenever the list is confirmed again.
func (t *Table) SetVMList(now time.Time, v VMList) {
	list := &peerList{}
	var remote []VM
	listed := 0
	for _, vm := range v.VMs {
		switch {
		case vm.DataCentre != t.dataCentre:
			remote = append(remote, vm)
			continue
		case vm.ID != t.self:
			list.vms = append(list.vms, vm)
		}
		listed++
	}
	list.localCount = len(list.vms)
	list.vms = append(list.vms, remote...)
	t.peers.Store(list)
	t.acks.list(t.nanos(now), v.VMs)
	t.divisors.observe(t.nanos(now), t.nanos(v.ConfirmedAt), listed)
}

// ObserveApplied takes the revision up to which a VM has applied all records.
// The VM may be this one; the driver then calls it after the calls of Apply.
func (t *Table) ObserveApplied(now time.Time, vm ids.VMID, revision ids.Revision) {
	t.acks.observe(t.nanos(now), vm, revision)
}

// Apply sets a customer's policy. A lowered rate, burst or share takes effect
// at once. A raised share, including the first one, takes effect after every
// listed VM has applied the policy's revision. A policy with a lower revision
// than the current one is ignored.
func (t *Table) Apply(now time.Time, customer ids.CustomerID, p Policy) {
	sh := t.shard(customer)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	at := t.nanos(now)
	b := sh.buckets[customer]
	if b == nil {
		b = &bucket{customer: customer, accruedUntil: at}
		sh.buckets[customer] = b
		// Tokens that were lent by the VM that held this seat before may still
		// be in flight, so nothing may be deposited before they are used or
		// dropped.
		b.recentlyLent = lentWindow{current: maxLevelMicro, currentStart: at}
		if !t.safetyRules.startEmpty {
			b.recentlyLent = lentWindow{currentStart: at}
			b.level = maxLevelMicro
			b.policy, b.effectiveFraction = p, p.seatFraction(t.dataCentre)
		}
	} else if p.Revision < b.policy.Revision {
		return
	} else {
		t.update(b, at)
	}
	b.policy, b.totalWeight = p, p.totalWeight()
	b.policyFraction = p.seatFraction(t.dataCentre)
	b.effectiveFraction = min(b.effectiveFraction, b.policyFraction)
	t.update(b, at)
}

// Remove forgets a customer and refuses its waiting requests.
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

// Sweep frees memory that idle customers no longer need. The driver calls it
// every few seconds.
func (t *Table) Sweep(now time.Time) {
	at := t.nanos(now)
	for i := range t.shards {
		sh := &t.shards[i]
		sh.mu.Lock()
		for _, b := range sh.buckets {
			t.sweepBucket(b, at)
		}
		sh.mu.Unlock()
	}
}

func (t *Table) sweepBucket(b *bucket, now int64) {
	for vm, h := range b.peerEstimates {
		if now-h.heardAt > int64(maxRetry) {
			delete(b.peerEstimates, vm)
		}
	}
	if len(b.peerEstimates) == 0 {
		b.peerEstimates = nil
	}
	t.dropOldLoans(b, now)
}

// CustomerState describes a customer's bucket on this VM.
type CustomerState struct {
	Customer ids.CustomerID
	// Level and Cap are in tokens and Rate is in tokens a second, all of this
	// VM only.
	Level, Cap, Rate float64
	Waiting          int
	// PendingRevision is set while a raised share waits for the
	// acknowledgements of the VMs in PendingOn.
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

// FillRatio returns how full this VM's bucket of a customer is, from 0 to 1. It
// is 0 for a customer without a policy or a share.
func (t *Table) FillRatio(now time.Time, customer ids.CustomerID) float64 {
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
	s := t.update(b, now)
	state := CustomerState{
		Customer: b.customer,
		Level:    float64(b.level) / float64(microPerToken),
		Cap:      float64(s.effectiveCap(b, now, t.maxAge())) / float64(microPerToken),
		Rate:     float64(s.rate) / float64(microPerToken),
		Waiting:  len(b.waiting),
	}
	if b.policyFraction > b.effectiveFraction {
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
