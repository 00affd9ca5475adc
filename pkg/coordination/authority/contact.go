package authority

import (
	"math"
	"sort"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Where engines check no fencing tokens, a holder that is disconnected from
// its peers must stop before another VM takes its claim over, and an order of
// one of them must not follow an order of the other within the lease. Of VMs
// that are split into groups, at most one group has contact with a majority
// of the VMs known before. Only its VMs send orders and make claims at once.
// A VM without contact may be the only one left. It reads the reports of the
// engines, and claims once these have shown for long enough that no other VM
// sends orders.

const (
	// contactWindowShare is the share of the lease for which a confirmation
	// counts.
	contactWindowShare = 0.4
	// maxTickAgeShare is the share of the lease after which the contact as of
	// the last tick no longer counts, so that a process that resumes after a
	// stall sends no order before it has looked at the messages of its peers.
	maxTickAgeShare = 0.2
	// peerMemory is how long a silent VM counts as possibly running.
	peerMemory = time.Minute
	// directPeerMemory is how long a VM counts as a direct peer after its last
	// message. A direct peer counts as reached only with a confirmation; the
	// others are known through relays.
	directPeerMemory = time.Second
	// watchLeases is how many leases a VM without contact reads reports before
	// it claims. In the first one another group with contact takes over, and
	// in the second one its orders become visible.
	watchLeases = 2
	// startSlots is the number of time slots, of one lease each, in which groups
	// without contact may claim. Of groups that would claim at the same time, all
	// but one see the orders of another before their slot. A claim is made in the
	// first part of a slot, of the share startSlotShare.
	startSlots     = 3
	startSlotShare = 0.2
)

// contactPeer is what this VM knows of its contact with one other VM.
type contactPeer struct {
	// seenAt is when the VM was last known to be running, and alive whether it
	// is now.
	seenAt time.Time
	alive  bool
	// unheard is set for a seed that was not heard yet.
	unheard bool
	// messageAt is when the VM itself last sent a message.
	messageAt time.Time
	// confirmedAt is when this VM sent the newest message that the VM has
	// confirmed.
	confirmedAt time.Time
}

// direct reports whether the peer itself sends messages to this VM.
func (p *contactPeer) direct(now time.Time) bool { return now.Sub(p.messageAt) <= directPeerMemory }

// contact tracks whether this VM has contact with a majority of the known VMs.
type contact struct {
	self   ids.VMID
	window time.Duration
	peers  map[ids.VMID]*contactPeer
	// held is the result of the last update, and heldAt the time of the last
	// one with contact; zero if there was none.
	held      bool
	heldAt    time.Time
	updatedAt time.Time
}

func newContact(config Config, now time.Time) contact {
	c := contact{self: config.Self, window: time.Duration(contactWindowShare * float64(config.Lease)), peers: make(map[ids.VMID]*contactPeer)}
	for _, seed := range config.Seeds {
		if seed != config.Self {
			c.peers[seed] = &contactPeer{seenAt: now, unheard: true}
		}
	}
	return c
}

func (c *contact) peer(id ids.VMID) *contactPeer {
	p := c.peers[id]
	if p == nil {
		p = &contactPeer{}
		c.peers[id] = p
	}
	return p
}

// update counts the VMs that this VM reaches. candidates are the other VMs that
// are alive.
func (c *contact) update(now time.Time, candidates []Candidate) {
	for _, p := range c.peers {
		p.alive = false
	}
	for _, candidate := range candidates {
		if candidate.Leaving {
			delete(c.peers, candidate.ID)
			continue
		}
		p := c.peer(candidate.ID)
		p.alive, p.unheard, p.seenAt = true, false, now
	}
	reached, confirmed := 1, false
	highest, highestReached := c.self, true
	for id, p := range c.peers {
		if now.Sub(p.seenAt) > peerMemory && now.Sub(p.messageAt) > peerMemory {
			delete(c.peers, id)
			continue
		}
		recent := now.Sub(p.confirmedAt) <= c.window
		confirmed = confirmed || recent && p.alive
		reaches := p.alive && (recent || !p.direct(now))
		if reaches {
			reached++
		}
		if id > highest {
			highest, highestReached = id, reaches
		}
	}
	known := len(c.peers) + 1
	keptContact := c.held && now.Sub(c.updatedAt) <= c.window
	c.held = known == 1 || confirmed && (2*reached > known || 2*reached == known && highestReached)
	// Of two halves, the one with the highest ID counts as the majority. Of two
	// VMs, it goes on alone, unless it may have been the one that was stopped.
	if known == 2 && c.self == highest && keptContact {
		c.held = true
	}
	c.updatedAt = now
	if c.held {
		c.heldAt = now
	}
}

// allConfirmed reports whether all direct peers have confirmed a message that
// was sent after the given time.
func (c *contact) allConfirmed(now, after time.Time) bool {
	for _, p := range c.peers {
		if p.alive && p.direct(now) && !p.confirmedAt.After(after) {
			return false
		}
	}
	return true
}

// rank returns how many of the VMs that this VM does not reach have a higher
// ID than those that it reaches. No two groups without contact have the same.
func (c *contact) rank() int {
	highest := c.self
	for id, p := range c.peers {
		if p.alive && id > highest {
			highest = id
		}
	}
	rank := 0
	for id, p := range c.peers {
		if !p.alive && id > highest {
			rank++
		}
	}
	return rank
}

// inStartSlot reports whether a VM without contact may claim at this time of
// day.
func (a *Authority) inStartSlot(wallClock time.Time) bool {
	position := float64(wallClock.UnixNano()) / float64(a.config.Lease)
	slot := math.Floor(position)
	return int64(slot)%startSlots == int64(a.contact.rank()%startSlots) && position-slot <= startSlotShare
}

// Confirm records that a peer has received a message that this VM sent at
// sentAt.
func (a *Authority) Confirm(peer ids.VMID, sentAt time.Time) {
	if a.config.EnginesCheckFences {
		return
	}
	if p := a.contact.peer(peer); sentAt.After(p.confirmedAt) {
		p.confirmedAt = sentAt
	}
}

// silentHolderWait returns how long after the last message of a silent holder
// another VM may claim: the lease, which counts from the holder's last order.
// Without fences a holder may send orders until its contact has ended, and a VM
// without contact waits for one with contact to take over.
func (a *Authority) silentHolderWait() time.Duration {
	if a.config.EnginesCheckFences {
		return a.config.Lease
	}
	wait := time.Duration((1 + contactWindowShare + maxTickAgeShare) * float64(a.config.Lease))
	if !a.contact.held {
		wait += a.config.Lease
	}
	return wait
}

// KnownVM is a VM that holds claims, or that is silent and may be running.
type KnownVM struct {
	VM ids.VMID `json:"vm"`
	// SilentMs is how long ago the VM was last known to be running.
	SilentMs int64 `json:"silent"`
	// Claims are the claims that the VM held when it was last heard, ClaimsMs ago,
	// and Boot is its run at that time.
	Boot     ids.BootID `json:"boot,omitempty"`
	Claims   []Claim    `json:"claims,omitempty"`
	ClaimsMs int64      `json:"claimsAge,omitempty"`
}

// KnownVMs returns the other VMs that hold claims and those that this VM has
// heard before and does not reach, sorted by ID. From them a VM that has just
// started learns of claims, and of how many VMs it has to reach a majority.
func (a *Authority) KnownVMs(now time.Time) []KnownVM {
	if a.config.EnginesCheckFences {
		return nil
	}
	holdings := make(map[ids.VMID]HolderClaims)
	for _, holding := range a.ClaimsByHolder() {
		holdings[holding.Holder] = holding
	}
	var known []KnownVM
	for id, p := range a.contact.peers {
		holding, holds := holdings[id]
		if p.unheard || p.seenAt.IsZero() || p.alive && !holds {
			continue
		}
		vm := KnownVM{VM: id, SilentMs: now.Sub(p.seenAt).Milliseconds(), Boot: holding.Boot, Claims: holding.Claims}
		for _, claim := range holding.Claims {
			vm.ClaimsMs = now.Sub(a.peerClaims[claim.DataCentre][id].lastHeardAt).Milliseconds()
		}
		known = append(known, vm)
	}
	sort.Slice(known, func(i, j int) bool { return known[i].VM < known[j].VM })
	return known
}

// ApplyKnownVMs records the VMs that a peer knows.
func (a *Authority) ApplyKnownVMs(now time.Time, known []KnownVM) {
	if a.config.EnginesCheckFences {
		return
	}
	for _, k := range known {
		seenAt := now.Add(-time.Duration(k.SilentMs) * time.Millisecond)
		if k.VM == a.config.Self || k.VM == "" || now.Sub(seenAt) > peerMemory {
			continue
		}
		if p := a.contact.peer(k.VM); seenAt.After(p.seenAt) || p.unheard {
			p.seenAt, p.unheard = seenAt, false
		}
		a.applyKnownClaims(now.Add(-time.Duration(k.ClaimsMs)*time.Millisecond), k)
	}
}

// applyKnownClaims records claims that their holder had at the given time,
// unless the holder itself was heard since.
func (a *Authority) applyKnownClaims(heardAt time.Time, k KnownVM) {
	for _, claim := range k.Claims {
		a.highestFence = max(a.highestFence, claim.Fence)
		byHolder := a.peerClaims[claim.DataCentre]
		if byHolder == nil {
			byHolder = make(map[ids.VMID]*peerClaim)
			a.peerClaims[claim.DataCentre] = byHolder
		}
		if previous := byHolder[k.VM]; previous == nil || previous.lastHeardAt.Before(heardAt) {
			byHolder[k.VM] = &peerClaim{boot: k.Boot, fence: claim.Fence, lastHeardAt: heardAt, alone: claim.Alone}
		}
	}
}

// updateContact gives up the claims of a VM that has lost contact for so long
// that another VM may take them over. After such a time it listens to its
// peers before it sends orders again. Claims that were made without contact
// stay, since the engines had no other holder.
func (a *Authority) updateContact(now time.Time, candidates []Candidate) {
	if a.config.EnginesCheckFences {
		return
	}
	lastHeldAt := a.contact.heldAt
	if lastHeldAt.IsZero() {
		lastHeldAt = a.started.Add(a.contact.window)
	}
	a.contact.update(now, candidates)
	if now.Sub(lastHeldAt) >= a.contact.window {
		for dc := range a.ownFences {
			if !a.claimedAlone[dc] {
				delete(a.ownFences, dc)
			}
		}
		if a.contact.held && len(a.contact.peers) > 0 {
			a.suspendUntil(now.Add(contactPauses * a.config.SuspendTime))
		}
	}
	if a.contact.held {
		clear(a.claimedAlone)
	}
	for dc, claimedAt := range a.unconfirmedClaims {
		if a.contact.allConfirmed(now, claimedAt) {
			delete(a.unconfirmedClaims, dc)
		}
	}
}

// contactPauses is how many times Config.SuspendTime a VM listens after its
// contact was lost. Peers that counted as lost are called less often.
const contactPauses = 2

// mayOrder reports whether this VM's contact allows orders under its claim on
// a data centre.
func (a *Authority) mayOrder(now time.Time, dc ids.DataCentreID) bool {
	if a.config.EnginesCheckFences {
		return true
	}
	maxTickAge := time.Duration(maxTickAgeShare * float64(a.config.Lease))
	_, unconfirmed := a.unconfirmedClaims[dc]
	return (a.contact.held || a.claimedAlone[dc]) && !unconfirmed && now.Sub(a.contact.updatedAt) <= maxTickAge
}

// watchCompleted reports whether this VM may make a claim that nothing else
// forbids: it has contact, or it has read the engines' reports for long enough
// without a sign of another holder.
func (a *Authority) watchCompleted(now, wallClock time.Time, dc ids.DataCentreID) bool {
	if a.config.EnginesCheckFences || a.contact.held && !a.foreignOrders[dc] {
		return true
	}
	since, watched := a.watchedSince[dc]
	if !watched {
		a.watchedSince[dc] = now
		return false
	}
	return now.Sub(since) >= watchLeases*a.config.Lease && (a.contact.held || a.inStartSlot(wallClock))
}

// Watched returns the data centres whose engines' reports this VM has to read
// although it may not send them orders now.
func (a *Authority) Watched(now time.Time) []ids.DataCentreID {
	if a.config.EnginesCheckFences {
		return nil
	}
	var watched []ids.DataCentreID
	for dc := range a.watchedSince {
		watched = append(watched, dc)
	}
	for dc := range a.ownFences {
		if _, allowed := a.Fence(now, dc); !allowed {
			watched = append(watched, dc)
		}
	}
	return watched
}

// ForeignOrderSeen records that an engine of a data centre has accepted an
// order of another VM. It reports whether this VM gave up a claim. The next
// claim needs a time without such orders.
func (a *Authority) ForeignOrderSeen(dc ids.DataCentreID) bool {
	if a.config.EnginesCheckFences {
		return false
	}
	_, held := a.ownFences[dc]
	delete(a.ownFences, dc)
	delete(a.watchedSince, dc)
	a.foreignOrders[dc] = true
	return held
}
