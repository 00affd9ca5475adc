package limits

import (
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
)

// UnitsPerSlot is the number of units in a slot. A VM's fixed share may be less
// than a slot, so slots are lent in parts, and a load collects a whole one.
const UnitsPerSlot int64 = 1_000_000

// unitsPerUse is what one use takes. It is a thousandth less than a slot, so
// that the units lost by rounding down each VM's share do not cost a whole
// slot. With at most maxSlots slots this never admits an additional use.
const (
	unitsPerUse = UnitsPerSlot - UnitsPerSlot/1000
	maxSlots    = 900
)

// SlotConfig holds the durations of slot leases.
type SlotConfig struct {
	// Term is the length of a lease. The borrower counts it from its request
	// and the lender from its reply.
	Term time.Duration
	// MaxUse bounds the time of one use. A use starts only if the leases that
	// it takes run at least that long.
	MaxUse time.Duration
	// DriftMargin is added to the term by the lender, for clocks of different
	// speed.
	DriftMargin time.Duration
}

// DefaultSlotConfig returns durations that fit loads of a quarter of a second,
// even if an overloaded store slows them down.
func DefaultSlotConfig() SlotConfig {
	return SlotConfig{Term: 5 * time.Second, MaxUse: 3 * time.Second, DriftMargin: 100 * time.Millisecond}
}

// Slots divides the slots for loads from the weight store among the VMs. The
// fleet never uses more slots at once than there are, provided that every use
// ends within MaxUse. It is safe for concurrent use.
type Slots struct {
	cfg        SlotConfig
	table      *Table
	usableFrom time.Time

	mu                sync.Mutex
	totalSlots        int
	dataCentres       map[ids.DataCentreID]DataCentre
	revision          ids.Revision
	effectiveFraction float64
	policyFraction    float64
	// lent and borrowed are the leases to and from peers, and asks the borrow
	// requests without a reply. retryAt is the earliest time at which a peer is
	// asked again.
	lent     []slotLease
	borrowed []slotLease
	asks     []pendingBorrow
	retryAt  map[ids.VMID]time.Time
	uses     map[uint64]slotUse
	nextUse  uint64
}

// slotLease is a part of a slot that is lent to a peer or borrowed from it.
type slotLease struct {
	peer      ids.VMID
	ask       uint64
	units     int64
	expiresAt time.Time
	// inUse is set for borrowed units that a use has taken.
	inUse bool
}

// slotUse records the units that one use took: own ones, and the ids of the
// borrow requests of the others.
type slotUse struct {
	ownUnits int64
	borrowed []uint64
}

// SlotBorrowMessage is a store.borrow request that the driver sends to a
// lender.
type SlotBorrowMessage struct {
	To      ids.VMID
	Request peer.StoreBorrowRequest
}

// SlotReturnMessage is a store.return message that the driver sends to a
// lender.
type SlotReturnMessage struct {
	To      ids.VMID
	Message peer.StoreReturn
}

// SlotDecision is the result of Acquire. If Use is zero, the driver sends the
// borrow requests, and calls Acquire again after a reply or at RetryAt.
type SlotDecision struct {
	// Use identifies the slot that was taken; Release ends its use.
	Use            uint64
	BorrowRequests []SlotBorrowMessage
	Returns        []SlotReturnMessage
	RetryAt        time.Time
}

// NewSlots returns the slots of a VM that starts now. It shares the VM list and
// the acknowledgements of the Table.
func NewSlots(cfg SlotConfig, table *Table) *Slots {
	return &Slots{
		cfg: cfg, table: table, retryAt: map[ids.VMID]time.Time{}, uses: map[uint64]slotUse{},
		// The VM that held this seat before may still have slots in use.
		usableFrom: table.start.Add(cfg.Term + cfg.DriftMargin),
	}
}

// Apply sets the number of slots and their division. A raised share waits for
// acknowledgements, as it does in Table.
func (s *Slots) Apply(revision ids.Revision, totalSlots int, dataCentres map[ids.DataCentreID]DataCentre) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision < s.revision {
		return
	}
	s.revision, s.totalSlots, s.dataCentres = revision, min(max(totalSlots, 0), maxSlots), dataCentres
	s.policyFraction = Policy{DataCentres: dataCentres}.seatFraction(s.table.dataCentre)
	s.effectiveFraction = min(s.effectiveFraction, s.policyFraction)
}

// Acquire takes a slot for one use, or returns what is needed to get one.
func (s *Slots) Acquire(now time.Time) SlotDecision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	own := max(s.freeUnits(now), 0)
	usableBorrowed := s.usableBorrowed(now)
	if own+usableBorrowed >= unitsPerUse {
		return SlotDecision{Use: s.startUse(now, min(own, unitsPerUse))}
	}
	d := SlotDecision{RetryAt: now.Add(s.table.cfg.TransferMaxAge)}
	d.BorrowRequests = s.borrow(now, unitsPerUse-own-usableBorrowed)
	if len(d.BorrowRequests) == 0 && len(s.asks) == 0 {
		d.Returns = s.returnUnused()
		d.RetryAt = now.Add(s.retryDelay())
	}
	return d
}

// freeUnits returns the VM's own units that are neither lent nor in use.
func (s *Slots) freeUnits(now time.Time) int64 {
	if _, allAppliedSince := s.table.acks.allAppliedSince(s.revision); allAppliedSince {
		s.effectiveFraction = s.policyFraction
	}
	if now.Before(s.usableFrom) {
		return 0
	}
	units := shareMicro(float64(s.totalSlots)*float64(UnitsPerSlot), s.effectiveFraction) / microPerToken
	for _, l := range s.lent {
		units -= l.units
	}
	for _, u := range s.uses {
		units -= u.ownUnits
	}
	return units
}

// usableBorrowed returns the unused borrowed units whose leases run long enough
// for a use.
func (s *Slots) usableBorrowed(now time.Time) int64 {
	units := int64(0)
	for _, l := range s.borrowed {
		if !l.inUse && !l.expiresAt.Before(now.Add(s.cfg.MaxUse)) {
			units += l.units
		}
	}
	return units
}

// startUse starts a use with the given own units and borrowed ones for the
// rest.
func (s *Slots) startUse(now time.Time, ownUnits int64) uint64 {
	use := slotUse{ownUnits: ownUnits}
	missing := unitsPerUse - ownUnits
	for i := range s.borrowed {
		l := &s.borrowed[i]
		if missing <= 0 {
			break
		}
		if !l.inUse && !l.expiresAt.Before(now.Add(s.cfg.MaxUse)) {
			l.inUse = true
			missing -= l.units
			use.borrowed = append(use.borrowed, l.ask)
		}
	}
	s.nextUse++
	s.uses[s.nextUse] = use
	return s.nextUse
}

// borrow asks peers for missing units, those of the same data centre first.
func (s *Slots) borrow(now time.Time, missing int64) []SlotBorrowMessage {
	for _, a := range s.asks {
		missing -= a.need
	}
	var asks []SlotBorrowMessage
	for _, vm := range s.table.peers.Load().vms {
		if missing <= 0 {
			break
		}
		expected := int64(float64(s.totalSlots) * float64(UnitsPerSlot) * Policy{DataCentres: s.dataCentres}.seatFraction(vm.DataCentre))
		if expected <= 0 || now.Before(s.retryAt[vm.ID]) || s.hasPending(vm.ID) {
			continue
		}
		units := min(expected, missing)
		id := s.table.lastBorrowID.Add(1)
		s.asks = append(s.asks, pendingBorrow{id: id, lender: vm.ID, sentAt: s.table.nanos(now), need: units})
		asks = append(asks, SlotBorrowMessage{To: vm.ID, Request: peer.StoreBorrowRequest{
			LeaseID: id, From: s.table.self, Units: missing, TermMillis: s.cfg.Term.Milliseconds(),
		}})
		missing -= units
	}
	return asks
}

func (s *Slots) hasPending(vm ids.VMID) bool {
	for _, a := range s.asks {
		if a.lender == vm {
			return true
		}
	}
	return false
}

// retryDelay returns the wait after a failed attempt to collect a slot. It
// differs between VMs, so that two of them do not collide again.
func (s *Slots) retryDelay() time.Duration {
	sum := uint32(2166136261)
	for _, c := range []byte(s.table.self) {
		sum = (sum ^ uint32(c)) * 16777619
	}
	return s.table.cfg.TransferMaxAge + time.Duration(sum%uint32(s.table.cfg.TransferMaxAge.Milliseconds()+1))*time.Millisecond
}

// Lend answers a peer's request to borrow slot units.
func (s *Slots) Lend(now time.Time, req peer.StoreBorrowRequest) peer.StoreBorrowReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	reply := peer.StoreBorrowReply{LeaseID: req.LeaseID, From: s.table.self}
	term := time.Duration(req.TermMillis) * time.Millisecond
	if term <= 0 || term > s.cfg.Term {
		return reply
	}
	reply.Units = max(min(s.freeUnits(now), req.Units, unitsPerUse), 0)
	if reply.Units == 0 {
		reply.RetryMillis = s.table.cfg.TransferMaxAge.Milliseconds()
		return reply
	}
	s.lent = append(s.lent, slotLease{peer: req.From, ask: req.LeaseID, units: reply.Units, expiresAt: now.Add(term + s.cfg.DriftMargin)})
	return reply
}

// HandleBorrowReply takes the reply to a borrow request for slot units. The
// driver calls Acquire after it.
func (s *Slots) HandleBorrowReply(now time.Time, reply peer.StoreBorrowReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	for i, a := range s.asks {
		if a.id != reply.LeaseID || a.lender != reply.From {
			continue
		}
		s.asks = append(s.asks[:i], s.asks[i+1:]...)
		s.retryAt[reply.From] = now.Add(time.Duration(reply.RetryMillis) * time.Millisecond)
		if reply.Units > 0 {
			expiresAt := s.table.start.Add(time.Duration(a.sentAt)).Add(s.cfg.Term)
			s.borrowed = append(s.borrowed, slotLease{peer: reply.From, ask: reply.LeaseID, units: reply.Units, expiresAt: expiresAt})
		}
		return
	}
}

// Release ends a use and returns the messages that give its borrowed units
// back.
func (s *Slots) Release(now time.Time, use uint64) []SlotReturnMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	u, found := s.uses[use]
	if !found {
		return nil
	}
	delete(s.uses, use)
	var returns []SlotReturnMessage
	for _, ask := range u.borrowed {
		for i, l := range s.borrowed {
			if l.ask == ask {
				returns = append(returns, s.returnMessage(l))
				s.borrowed = append(s.borrowed[:i], s.borrowed[i+1:]...)
				break
			}
		}
	}
	return returns
}

// returnUnused gives back all borrowed units that no use has taken.
func (s *Slots) returnUnused() []SlotReturnMessage {
	var returns []SlotReturnMessage
	kept := s.borrowed[:0]
	for _, l := range s.borrowed {
		if l.inUse {
			kept = append(kept, l)
			continue
		}
		returns = append(returns, s.returnMessage(l))
	}
	s.borrowed = kept
	return returns
}

func (s *Slots) returnMessage(l slotLease) SlotReturnMessage {
	return SlotReturnMessage{To: l.peer, Message: peer.StoreReturn{LeaseID: l.ask, From: s.table.self}}
}

// HandleReturn ends a lease early at the lender.
func (s *Slots) HandleReturn(now time.Time, m peer.StoreReturn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	for i, l := range s.lent {
		if l.peer == m.From && l.ask == m.LeaseID {
			s.lent = append(s.lent[:i], s.lent[i+1:]...)
			return
		}
	}
}

// expire drops leases and borrow requests whose time has passed. Borrowed units
// in use are kept until Release.
func (s *Slots) expire(now time.Time) {
	lent := s.lent[:0]
	for _, l := range s.lent {
		if now.Before(l.expiresAt) {
			lent = append(lent, l)
		}
	}
	s.lent = lent
	borrowed := s.borrowed[:0]
	for _, l := range s.borrowed {
		if l.inUse || now.Before(l.expiresAt) {
			borrowed = append(borrowed, l)
		}
	}
	s.borrowed = borrowed
	asks := s.asks[:0]
	for _, a := range s.asks {
		if s.table.nanos(now)-a.sentAt <= s.table.maxAge() {
			asks = append(asks, a)
		} else {
			s.retryAt[a.lender] = now.Add(noReplyRetry)
		}
	}
	s.asks = asks
}
