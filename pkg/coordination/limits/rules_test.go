package limits_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	sim "github.com/wagtailspoke/wagtailspoke/internal/bench/limits"
	"github.com/wagtailspoke/wagtailspoke/internal/rapidtest"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/limits"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
)

// TestMain fixes the seed and the size of the property tests, so that CI gives
// the same result every time.
func TestMain(m *testing.M) { rapidtest.Main(m, 11, 120) }

// pair is two VMs in two data centres; the test carries the messages between
// them. Each VM has half of 1,000 tokens/s and of a burst of 4,000 tokens.
type pair struct {
	t      *testing.T
	rules  limits.Rules
	now    time.Time
	a, b   *limits.Table
	grants []sim.Grant
}

var (
	vmA = limits.VM{ID: "a1", DataCentre: "dc0"}
	vmB = limits.VM{ID: "b1", DataCentre: "dc1"}
)

func pairPolicy(revision ids.Revision, weightA, weightB float64) limits.Policy {
	return limits.Policy{Revision: revision, Rate: 1000, Burst: 4000, DataCentres: map[ids.DataCentreID]limits.DataCentre{
		"dc0": {Seats: 1, Weight: weightA}, "dc1": {Seats: 1, Weight: weightB},
	}}
}

// newPair returns two VMs that have run long enough for their buckets to be
// full.
func newPair(t *testing.T, rules limits.Rules) *pair {
	p := &pair{t: t, rules: rules, now: time.Unix(1_700_000_000, 0)}
	p.a, p.b = p.table(vmA), p.table(vmB)
	for _, table := range []*limits.Table{p.a, p.b} {
		p.join(table, pairPolicy(1, 1, 1))
	}
	p.advance(time.Minute)
	return p
}

func (p *pair) table(vm limits.VM) *limits.Table {
	return limits.NewWithRules(p.rules)(limits.DefaultConfig(), vm, p.now)
}

// join gives a VM the VM list and a policy that all VMs have acknowledged.
func (p *pair) join(table *limits.Table, policy limits.Policy) {
	table.SetVMList(p.now, limits.VMList{VMs: []limits.VM{vmA, vmB}, ConfirmedAt: p.now})
	table.Apply(p.now, customer, policy)
	for _, vm := range []limits.VM{vmA, vmB} {
		table.ObserveApplied(p.now, vm.ID, policy.Revision)
	}
	table.Snapshot(p.now)
}

func (p *pair) advance(d time.Duration) { p.now = p.now.Add(d) }

func (p *pair) recordGrant(cost int64) {
	p.grants = append(p.grants, sim.Grant{At: p.now.Sub(time.Unix(1_700_000_000, 0)), Tokens: cost})
}

// admit offers a request and records it if it is granted.
func (p *pair) admit(table *limits.Table, cost int64) limits.Decision {
	d := table.Admit(p.now, customer, cost, p.now.Add(time.Second))
	if d.Verdict == limits.Granted {
		p.recordGrant(cost)
	}
	return d
}

// spendLevel admits one request for all tokens that a VM has.
func (p *pair) spendLevel(table *limits.Table) limits.Decision {
	level := int64(table.Snapshot(p.now).Customers[0].Level)
	d := p.admit(table, level)
	assert.Equal(p.t, d.Verdict, limits.Granted)
	return d
}

// deliver passes a reply to a VM and records what it grants.
func (p *pair) deliver(table *limits.Table, reply peer.LimitsBorrowReply) {
	for _, g := range table.HandleBorrowReply(p.now, reply).Granted {
		p.recordGrant(g.Charge.Cost)
	}
}

func (p *pair) excess() float64 {
	return sim.Excess(p.grants, []sim.Limit{{Rate: 1000, Burst: 4000}})
}

// lendToB makes B admit more than it has, and returns A's reply to the borrow
// request.
func (p *pair) lendToB(cost int64) peer.LimitsBorrowReply {
	d := p.admit(p.b, cost)
	assert.Equal(p.t, len(d.Outcome.BorrowRequests), 1)
	return p.a.Lend(p.now, d.Outcome.BorrowRequests[0].Request)
}

// TestEachRulePreventsAViolation shows for each rule that the window checker
// finds a violation if the rule is switched off, and none if it is on.
func TestEachRulePreventsAViolation(t *testing.T) {
	for _, c := range []struct {
		name string
		off  limits.Rules
		run  func(p *pair)
	}{
		{"the lender deducts before it answers", limits.WithoutLenderDeduction, func(p *pair) {
			p.deliver(p.b, p.lendToB(3000))
			p.spendLevel(p.a)
		}},
		{"answers older than TransferMaxAge are dropped", limits.WithLateReplies, func(p *pair) {
			late := p.lendToB(3000)
			p.advance(20 * time.Second)
			p.b.Wake(p.now, customer)
			p.admit(p.b, 3000)
			p.deliver(p.b, late)
			p.spendLevel(p.a)
		}},
		{"repeated answers are dropped", limits.WithRepeatedReplies, func(p *pair) {
			reply := p.lendToB(3000)
			p.deliver(p.b, reply)
			p.admit(p.b, 1000)
			p.deliver(p.b, reply)
			p.spendLevel(p.a)
		}},
		{"the cap is lowered by rate * TransferMaxAge", limits.WithFullCap, func(p *pair) {
			reply := p.lendToB(3700)
			p.advance(240 * time.Millisecond)
			p.deliver(p.b, reply)
			p.spendLevel(p.a)
			p.spendLevel(p.b)
		}},
		{"a VM starts empty", limits.WithFullStart, func(p *pair) {
			p.spendLevel(p.a)
			p.spendLevel(p.b)
			p.a = p.table(vmA)
			p.join(p.a, pairPolicy(1, 1, 1))
			p.spendLevel(p.a)
		}},
		{"a refund is clipped by the peak since the charge", limits.WithUnlimitedRefunds, func(p *pair) {
			first := p.spendLevel(p.a)
			p.advance(time.Minute)
			p.spendLevel(p.a)
			refunded, _ := p.a.Refund(p.now, first.Charge, first.Charge.Cost)
			p.grants[0].Tokens -= refunded
			p.spendLevel(p.a)
			p.spendLevel(p.b)
		}},
		{"a raised share waits for acknowledgements", limits.WithImmediateRaise, func(p *pair) {
			p.b.Apply(p.now, customer, pairPolicy(2, 1, 9))
			p.b.ObserveApplied(p.now, vmB.ID, 2)
			p.advance(time.Minute)
			p.spendLevel(p.a)
			p.spendLevel(p.b)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			on, off := newPair(t, limits.AllRules()), newPair(t, c.off)
			c.run(on)
			c.run(off)
			assert.Equal(t, on.excess(), 0.0)
			assert.Assert(t, off.excess() > 0, "the checker finds nothing with the rule off")
		})
	}
}

// If two charges are refunded one after the other, the second refund must count
// what the first has raised. Otherwise both would be measured against the same
// past peak.
func TestRefundsCountEarlierRefunds(t *testing.T) {
	p := newPair(t, limits.AllRules())
	one, two := p.admit(p.a, 900), p.admit(p.a, 900)
	p.advance(3 * time.Second)
	p.spendLevel(p.a)
	for i, d := range []limits.Decision{one, two} {
		refunded, _ := p.a.Refund(p.now, d.Charge, 900)
		p.grants[i].Tokens -= refunded
	}
	p.spendLevel(p.a)
	p.spendLevel(p.b)
	assert.Equal(t, p.excess(), 0.0)
}

// A charge must not be refunded twice, or to a bucket that it was not taken
// from.
func TestChargeIsRefundedOnce(t *testing.T) {
	p := newPair(t, limits.AllRules())
	d := p.admit(p.a, 900)
	first, _ := p.a.Refund(p.now, d.Charge, 900)
	second, _ := p.a.Refund(p.now, d.Charge, 900)
	assert.Equal(t, first, int64(900))
	assert.Equal(t, second, int64(0))
	d = p.admit(p.a, 900)
	p.a.Remove(p.now, customer)
	p.join(p.a, pairPolicy(1, 1, 1))
	late, _ := p.a.Refund(p.now, d.Charge, 900)
	assert.Equal(t, late, int64(0))
}

// A peer's acknowledgement must not raise a share if the peer is ahead of this
// VM: the peer may have skipped the revision that lowers its own share. Only a
// revision that both have applied counts.
func TestAcknowledgementOfPeerAheadDoesNotCount(t *testing.T) {
	p := newPair(t, limits.AllRules())
	p.b.Apply(p.now, customer, pairPolicy(2, 1, 9))
	p.b.ObserveApplied(p.now, vmB.ID, 2)
	p.b.ObserveApplied(p.now, vmA.ID, 3)
	state := p.b.Snapshot(p.now).Customers[0]
	assert.Assert(t, state.Rate < 501)
	assert.DeepEqual(t, state.PendingOn, []ids.VMID{vmA.ID})
	p.b.ObserveApplied(p.now, vmB.ID, 3)
	assert.Assert(t, p.b.Snapshot(p.now).Customers[0].Rate > 899)
}

// A request that cannot be served must be refused at its deadline, and one that
// costs more than the usable burst at once.
func TestRefusals(t *testing.T) {
	p := newPair(t, limits.AllRules())
	assert.Equal(t, p.admit(p.a, 4001).Reason, limits.ReasonTooLarge)
	assert.Equal(t, p.a.Admit(p.now, "nobody", 1, p.now).Reason, limits.ReasonUnknown)
	d := p.admit(p.a, 3700)
	assert.Equal(t, d.Verdict, limits.Waiting)
	p.advance(time.Second)
	out := p.a.Wake(p.now, customer)
	assert.Equal(t, len(out.Refused), 1)
	assert.Equal(t, out.Refused[0].Ticket, d.Ticket)
	assert.Assert(t, out.Refused[0].RetryAfter > 0)
}

// A peer that has said when it will have tokens must not be asked before.
func TestEmptyPeerIsNotAskedBeforeItsRetryTime(t *testing.T) {
	p := newPair(t, limits.AllRules())
	p.spendLevel(p.a)
	p.admit(p.b, 100)
	ahead := p.spendLevel(p.b).Outcome.BorrowRequests
	assert.Equal(t, len(ahead), 1)
	p.deliver(p.b, p.a.Lend(p.now, ahead[0].Request))
	reply := p.lendToB(1800)
	assert.Equal(t, reply.Granted, int64(0))
	assert.Assert(t, reply.RetryMillis >= 50)
	assert.Equal(t, len(p.b.HandleBorrowReply(p.now, reply).BorrowRequests), 0)
	p.advance(time.Duration(reply.RetryMillis)*time.Millisecond - time.Millisecond)
	assert.Equal(t, len(p.b.Wake(p.now, customer).BorrowRequests), 0)
	p.advance(time.Millisecond)
	assert.Equal(t, len(p.b.Wake(p.now, customer).BorrowRequests), 1)
}

// For a request above the cap of this VM, peers must not be asked while they
// have too little together: the tokens would only be sent and returned.
func TestLargeRequestBorrowsOnlyWhenPeersHaveEnough(t *testing.T) {
	p := newPair(t, limits.AllRules())
	p.spendLevel(p.a)
	reply := p.lendToB(2200)
	assert.Equal(t, reply.Granted, int64(0))
	asked := time.Duration(0)
	for at := time.Duration(0); at < time.Second && asked == 0; at += 10 * time.Millisecond {
		p.advance(10 * time.Millisecond)
		if at == 0 {
			p.b.HandleBorrowReply(p.now, reply)
		}
		if len(p.b.Wake(p.now, customer).BorrowRequests) > 0 {
			asked = at
		}
	}
	// A earns the missing 325 tokens in 650 ms.
	assert.Assert(t, asked > 600*time.Millisecond && asked < 700*time.Millisecond, "asked after %v", asked)
}

// The share of unused seats must be used only after SettleTime and while the VM
// list is confirmed. A new VM must earn nothing before that.
func TestUnusedSeats(t *testing.T) {
	cfg := limits.DefaultConfig()
	cfg.UseUnusedSeats = true
	now := time.Unix(1_700_000_000, 0)
	table := limits.New(cfg, vmA, now)
	policy := limits.Policy{Revision: 1, Rate: 1000, Burst: 4000, DataCentres: map[ids.DataCentreID]limits.DataCentre{"dc0": {Seats: 4, Weight: 1}}}
	table.Apply(now, customer, policy)
	table.ObserveApplied(now, vmA.ID, 1)
	rates := map[time.Duration]float64{}
	for at := time.Duration(0); at <= 60*time.Second; at += time.Second {
		if at < 40*time.Second {
			table.SetVMList(now.Add(at), limits.VMList{VMs: []limits.VM{vmA}, ConfirmedAt: now.Add(at)})
		}
		rates[at] = table.Snapshot(now.Add(at)).Customers[0].Rate
	}
	assert.Equal(t, rates[cfg.SettleTime()-time.Second], 0.0)
	assert.Assert(t, rates[cfg.SettleTime()+time.Second] > 999)
	assert.Assert(t, rates[48*time.Second] > 999)
	assert.Assert(t, rates[50*time.Second] < 251)
}
