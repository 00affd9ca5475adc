package limits

import (
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
)

// SlotUnits is one slot in millionths. A VM's static part may be below one
// slot, so slots are lent in parts and a use gathers a whole one.
const SlotUnits int64 = 1_000_000

// useUnits is what a use takes. It is a thousandth below a slot, so that the
// parts lost in rounding down each VM's share do not cost a whole slot. With up
// to maxSlots slots no further use fits in.
const (
	useUnits = SlotUnits - SlotUnits/1000
	maxSlots = 900
)

// SlotConfig holds the terms of slot leases.
type SlotConfig struct {
	// Term is the length of a lease, counted by the borrower from its ask and
	// by the lender from its answer.
	Term time.Duration
	// MaxUse bounds the time of one use; a use starts only if the leases that
	// it takes run at least that long.
	MaxUse time.Duration
	// DriftMargin is added to the term by the lender.
	DriftMargin time.Duration
}

// DefaultSlotConfig returns terms that fit loads of a quarter of a second,
// slowed by an overloaded store.
func DefaultSlotConfig() SlotConfig {
	return SlotConfig{Term: 5 * time.Second, MaxUse: 3 * time.Second, DriftMargin: 100 * time.Millisecond}
}

// Slots divides the weight store's in-flight loads over VMs. The fleet never
// uses more slots at once than there are, if every use ends within MaxUse.
type Slots struct {
	cfg   SlotConfig
	table *Table
	begin time.Time

	mu       sync.Mutex
	total    int
	dcs      map[ids.DataCentreID]DataCentre
	revision ids.Revision
	inForce  float64
	target   float64
	out      []slotLease
	borrowed []slotLease
	asks     []openAsk
	hints    map[ids.VMID]time.Time
	uses     map[uint64]slotUse
	nextUse  uint64
}

// slotLease is a part of a slot at the other VM of a lease.
type slotLease struct {
	peer  ids.VMID
	ask   uint64
	units int64
	until time.Time
	// inUse marks borrowed units that a use took.
	inUse bool
}

// slotUse is what one use took.
type slotUse struct {
	own      int64
	borrowed []uint64
}

// SlotAsk is a message of method store.borrow.
type SlotAsk struct {
	To      ids.VMID
	Request peer.StoreBorrowRequest
}

// SlotReturn is a message of method store.return.
type SlotReturn struct {
	To      ids.VMID
	Message peer.StoreReturn
}

// SlotDecision is the answer to Acquire. If Use is zero, the driver sends the
// asks and calls Acquire again after a reply or at RetryAt.
type SlotDecision struct {
	// Use names the slot taken; Release ends it.
	Use     uint64
	Asks    []SlotAsk
	Returns []SlotReturn
	RetryAt time.Time
}

// NewSlots returns the slots of a VM that starts now. It shares the VM list and
// the acknowledgements of the Table.
func NewSlots(cfg SlotConfig, table *Table) *Slots {
	return &Slots{
		cfg: cfg, table: table, hints: map[ids.VMID]time.Time{}, uses: map[uint64]slotUse{},
		// The VM that held this seat before may have slots in use.
		begin: table.start.Add(cfg.Term + cfg.DriftMargin),
	}
}

// Apply sets the number of slots and their division. Raised shares wait for
// acknowledgements as those of Table do.
func (s *Slots) Apply(revision ids.Revision, total int, dcs map[ids.DataCentreID]DataCentre) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision < s.revision {
		return
	}
	s.revision, s.total, s.dcs = revision, min(max(total, 0), maxSlots), dcs
	s.target = Policy{DataCentres: dcs}.fraction(s.table.dc)
	s.inForce = min(s.inForce, s.target)
}

// Acquire takes a slot for one use.
func (s *Slots) Acquire(now time.Time) SlotDecision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	own := max(s.free(now), 0)
	usable := s.usable(now)
	if own+usable >= useUnits {
		return SlotDecision{Use: s.take(now, min(own, useUnits))}
	}
	d := SlotDecision{RetryAt: now.Add(s.table.cfg.TransferMaxAge)}
	d.Asks = s.ask(now, useUnits-own-usable)
	if len(d.Asks) == 0 && len(s.asks) == 0 {
		d.Returns = s.giveBack()
		d.RetryAt = now.Add(s.backoff())
	}
	return d
}

// free returns the own units that are neither lent nor in use.
func (s *Slots) free(now time.Time) int64 {
	if _, settled := s.table.acks.settled(s.revision); settled {
		s.inForce = s.target
	}
	if now.Before(s.begin) {
		return 0
	}
	units := shareMicro(float64(s.total)*float64(SlotUnits), s.inForce) / micro
	for _, l := range s.out {
		units -= l.units
	}
	for _, u := range s.uses {
		units -= u.own
	}
	return units
}

// usable returns the borrowed units that run long enough for a use.
func (s *Slots) usable(now time.Time) int64 {
	units := int64(0)
	for _, l := range s.borrowed {
		if !l.inUse && !l.until.Before(now.Add(s.cfg.MaxUse)) {
			units += l.units
		}
	}
	return units
}

// take starts a use with own units and borrowed ones for the rest.
func (s *Slots) take(now time.Time, own int64) uint64 {
	use := slotUse{own: own}
	lack := useUnits - own
	for i := range s.borrowed {
		l := &s.borrowed[i]
		if lack <= 0 {
			break
		}
		if !l.inUse && !l.until.Before(now.Add(s.cfg.MaxUse)) {
			l.inUse = true
			lack -= l.units
			use.borrowed = append(use.borrowed, l.ask)
		}
	}
	s.nextUse++
	s.uses[s.nextUse] = use
	return s.nextUse
}

// ask asks peers for missing units, those of the own data centre first.
func (s *Slots) ask(now time.Time, lack int64) []SlotAsk {
	for _, a := range s.asks {
		lack -= a.need
	}
	var asks []SlotAsk
	for _, vm := range s.table.peers.Load().vms {
		if lack <= 0 {
			break
		}
		expected := int64(float64(s.total) * float64(SlotUnits) * Policy{DataCentres: s.dcs}.fraction(vm.DataCentre))
		if expected <= 0 || now.Before(s.hints[vm.ID]) || s.asked(vm.ID) {
			continue
		}
		units := min(expected, lack)
		id := s.table.nextAsk.Add(1)
		s.asks = append(s.asks, openAsk{id: id, to: vm.ID, sent: s.table.nanos(now), need: units})
		asks = append(asks, SlotAsk{To: vm.ID, Request: peer.StoreBorrowRequest{
			Ask: id, From: s.table.self, Units: lack, TermMillis: s.cfg.Term.Milliseconds(),
		}})
		lack -= units
	}
	return asks
}

func (s *Slots) asked(vm ids.VMID) bool {
	for _, a := range s.asks {
		if a.to == vm {
			return true
		}
	}
	return false
}

// backoff is the wait after a gathering that failed, different on each VM so
// that two VMs do not collide again.
func (s *Slots) backoff() time.Duration {
	sum := uint32(2166136261)
	for _, c := range []byte(s.table.self) {
		sum = (sum ^ uint32(c)) * 16777619
	}
	return s.table.cfg.TransferMaxAge + time.Duration(sum%uint32(s.table.cfg.TransferMaxAge.Milliseconds()+1))*time.Millisecond
}

// Lend answers a peer's ask for slot units.
func (s *Slots) Lend(now time.Time, req peer.StoreBorrowRequest) peer.StoreBorrowReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	reply := peer.StoreBorrowReply{Ask: req.Ask, From: s.table.self}
	term := time.Duration(req.TermMillis) * time.Millisecond
	if term <= 0 || term > s.cfg.Term {
		return reply
	}
	reply.Units = max(min(s.free(now), req.Units, useUnits), 0)
	if reply.Units == 0 {
		reply.RetryMillis = s.table.cfg.TransferMaxAge.Milliseconds()
		return reply
	}
	s.out = append(s.out, slotLease{peer: req.From, ask: req.Ask, units: reply.Units, until: now.Add(term + s.cfg.DriftMargin)})
	return reply
}

// Receive takes the reply to an ask for slot units; the driver calls Acquire
// after it.
func (s *Slots) Receive(now time.Time, reply peer.StoreBorrowReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	for i, a := range s.asks {
		if a.id != reply.Ask || a.to != reply.From {
			continue
		}
		s.asks = append(s.asks[:i], s.asks[i+1:]...)
		s.hints[reply.From] = now.Add(time.Duration(reply.RetryMillis) * time.Millisecond)
		if reply.Units > 0 {
			until := s.table.start.Add(time.Duration(a.sent)).Add(s.cfg.Term)
			s.borrowed = append(s.borrowed, slotLease{peer: reply.From, ask: reply.Ask, units: reply.Units, until: until})
		}
		return
	}
}

// Release ends a use and returns its borrowed units.
func (s *Slots) Release(now time.Time, use uint64) []SlotReturn {
	s.mu.Lock()
	defer s.mu.Unlock()
	u, found := s.uses[use]
	if !found {
		return nil
	}
	delete(s.uses, use)
	var returns []SlotReturn
	for _, ask := range u.borrowed {
		for i, l := range s.borrowed {
			if l.ask == ask {
				returns = append(returns, s.returnOf(l))
				s.borrowed = append(s.borrowed[:i], s.borrowed[i+1:]...)
				break
			}
		}
	}
	return returns
}

// giveBack returns all borrowed units that no use took.
func (s *Slots) giveBack() []SlotReturn {
	var returns []SlotReturn
	kept := s.borrowed[:0]
	for _, l := range s.borrowed {
		if l.inUse {
			kept = append(kept, l)
			continue
		}
		returns = append(returns, s.returnOf(l))
	}
	s.borrowed = kept
	return returns
}

func (s *Slots) returnOf(l slotLease) SlotReturn {
	return SlotReturn{To: l.peer, Message: peer.StoreReturn{Ask: l.ask, From: s.table.self}}
}

// Return ends a lease early at the lender.
func (s *Slots) Return(now time.Time, m peer.StoreReturn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	for i, l := range s.out {
		if l.peer == m.From && l.ask == m.Ask {
			s.out = append(s.out[:i], s.out[i+1:]...)
			return
		}
	}
}

// expire ends leases and asks whose time has passed.
func (s *Slots) expire(now time.Time) {
	out := s.out[:0]
	for _, l := range s.out {
		if now.Before(l.until) {
			out = append(out, l)
		}
	}
	s.out = out
	borrowed := s.borrowed[:0]
	for _, l := range s.borrowed {
		if l.inUse || now.Before(l.until) {
			borrowed = append(borrowed, l)
		}
	}
	s.borrowed = borrowed
	asks := s.asks[:0]
	for _, a := range s.asks {
		if s.table.nanos(now)-a.sent <= s.table.maxAge() {
			asks = append(asks, a)
		} else {
			s.hints[a.to] = now.Add(silentRetry)
		}
	}
	s.asks = asks
}
