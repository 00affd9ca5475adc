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
// Without fences a holder may send orders until its contact has ended.
func (a *Authority) silentHolderWait() time.Duration {
	if a.config.EnginesCheckFences {
		return a.config.Lease
	}
	return time.Duration((1 + contactWindowShare + maxTickAgeShare) * float64(a.config.Lease))
}

// ContactState is what VMs tell each other where engines check no fencing
// tokens, for VMs that have just started.
type ContactState struct {
	VMs []KnownVM `json:"vms,omitempty"`
	// ForeignOrders holds the data centres in which an order of another VM was
	// noticed, and how many milliseconds ago.
	ForeignOrders map[ids.DataCentreID]int64 `json:"foreign,omitempty"`
}

// ContactState returns what this VM tells its peers; nil if engines check fencing
// tokens.
func (a *Authority) ContactState(now time.Time) *ContactState {
	if a.config.EnginesCheckFences {
		return nil
	}
	state := &ContactState{VMs: a.knownVMs(now), ForeignOrders: make(map[ids.DataCentreID]int64)}
	for dc, noticedAt := range a.foreignOrders {
		if a.hasForeignOrders(now, dc) {
			state.ForeignOrders[dc] = now.Sub(noticedAt).Milliseconds()
		}
	}
	return state
}

// ApplyContactState records what a peer tells.
func (a *Authority) ApplyContactState(now time.Time, state *ContactState) {
	if a.config.EnginesCheckFences || state == nil {
		return
	}
	a.applyKnownVMs(now, state.VMs)
	for dc, ageMs := range state.ForeignOrders {
		noticedAt := before(now, ageMs)
		if _, holds := a.ownFences[dc]; !holds && noticedAt.After(a.foreignOrders[dc]) {
			a.foreignOrders[dc] = noticedAt
		}
	}
}

// KnownVM is a VM that holds or held claims, or that is silent and may be
// running.
type KnownVM struct {
	VM ids.VMID `json:"vm"`
	// SilentMs is how long ago the VM was last known to be running.
	SilentMs int64 `json:"silent"`
	// Boot is the run of the VM that holds or held Claims.
	Boot   ids.BootID   `json:"boot,omitempty"`
	Claims []KnownClaim `json:"claims,omitempty"`
}

// KnownClaim is a claim of another VM, or one that the sender gave up.
type KnownClaim struct {
	Claim
	// AgeMs is how long ago the holder was last heard to hold the claim, or to
	// have given it up if Released is set.
	AgeMs    int64 `json:"age"`
	Released bool  `json:"released,omitempty"`
}

// releasedClaim is a claim that this VM gave up.
type releasedClaim struct {
	fence ids.FencingToken
	at    time.Time
}

// dropClaim gives up a claim. Its data centre may be claimed again after the
// lease, also by a VM that starts meanwhile.
func (a *Authority) dropClaim(now time.Time, dc ids.DataCentreID) {
	if !a.config.EnginesCheckFences {
		a.releasedClaims[dc] = releasedClaim{fence: a.ownFences[dc], at: now}
	}
	delete(a.ownFences, dc)
}

// knownVMs returns the VMs with claims and those that this VM has heard before
// and does not reach, sorted by ID. From them a VM that has just started learns
// of claims, and of how many VMs it has to reach a majority.
func (a *Authority) knownVMs(now time.Time) []KnownVM {
	byID := make(map[ids.VMID]*KnownVM)
	add := func(id ids.VMID, seenAt time.Time) *KnownVM {
		if byID[id] == nil {
			byID[id] = &KnownVM{VM: id, SilentMs: now.Sub(seenAt).Milliseconds()}
		}
		return byID[id]
	}
	for id, p := range a.contact.peers {
		if !p.unheard && !p.seenAt.IsZero() && !p.alive {
			add(id, p.seenAt)
		}
	}
	for dc, byHolder := range a.peerClaims {
		for id, claim := range byHolder {
			p := a.contact.peers[id]
			if p == nil || p.seenAt.IsZero() {
				continue
			}
			vm := add(id, p.seenAt)
			vm.Boot = claim.boot
			vm.Claims = append(vm.Claims, KnownClaim{
				Claim: Claim{DataCentre: dc, Fence: claim.fence, Alone: claim.alone},
				AgeMs: now.Sub(claim.lastHeardAt).Milliseconds(), Released: claim.released,
			})
		}
	}
	for dc, released := range a.releasedClaims {
		if now.Sub(released.at) >= a.config.Lease {
			delete(a.releasedClaims, dc)
			continue
		}
		vm := add(a.config.Self, now)
		vm.Boot = a.config.Boot
		vm.Claims = append(vm.Claims, KnownClaim{Claim: Claim{DataCentre: dc, Fence: released.fence}, AgeMs: now.Sub(released.at).Milliseconds(), Released: true})
	}
	known := make([]KnownVM, 0, len(byID))
	for _, vm := range byID {
		sort.Slice(vm.Claims, func(i, j int) bool { return vm.Claims[i].DataCentre < vm.Claims[j].DataCentre })
		known = append(known, *vm)
	}
	sort.Slice(known, func(i, j int) bool { return known[i].VM < known[j].VM })
	return known
}

// applyKnownVMs records the VMs that a peer knows.
func (a *Authority) applyKnownVMs(now time.Time, known []KnownVM) {
	for _, k := range known {
		seenAt := before(now, k.SilentMs)
		if k.VM == a.config.Self || k.VM == "" || now.Sub(seenAt) > peerMemory {
			continue
		}
		if p := a.contact.peer(k.VM); seenAt.After(p.seenAt) || p.unheard {
			p.seenAt, p.unheard = seenAt, false
		}
		a.applyKnownClaims(now, k)
	}
}

// before returns the time that a peer says was ageMs ago.
func before(now time.Time, ageMs int64) time.Time {
	return now.Add(-time.Duration(max(ageMs, 0)) * time.Millisecond)
}

// applyKnownClaims records claims that a peer knows, unless something newer is
// known of them.
func (a *Authority) applyKnownClaims(now time.Time, k KnownVM) {
	for _, claim := range k.Claims {
		a.highestFence = max(a.highestFence, claim.Fence)
		byHolder := a.peerClaims[claim.DataCentre]
		if byHolder == nil {
			byHolder = make(map[ids.VMID]*peerClaim)
			a.peerClaims[claim.DataCentre] = byHolder
		}
		heardAt := before(now, claim.AgeMs)
		if previous := byHolder[k.VM]; previous == nil || previous.lastHeardAt.Before(heardAt) {
			byHolder[k.VM] = &peerClaim{boot: k.Boot, fence: claim.Fence, lastHeardAt: heardAt, alone: claim.Alone, released: claim.Released}
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
				a.dropClaim(now, dc)
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
func (a *Authority) watchCompleted(now, wallClock time.Time, dc ids.DataCentreID, hearsOthers bool) bool {
	if a.config.EnginesCheckFences {
		return a.fencedWatchCompleted(now, dc, hearsOthers)
	}
	if a.contact.held && !a.hasForeignOrders(now, dc) {
		return true
	}
	since, watched := a.watchedSince[dc]
	if !watched {
		a.watchedSince[dc] = now
		return false
	}
	return now.Sub(since) >= watchLeases*a.config.Lease && (a.contact.held || a.inStartSlot(wallClock))
}

// fencedWatchCompleted is watchCompleted where engines check fencing tokens. The
// token of a new claim would displace a holder that this VM does not hear. A VM
// that hears no other VM, or whose token was refused, therefore reads the
// engines' reports, and claims once a lease has passed without orders of others.
func (a *Authority) fencedWatchCompleted(now time.Time, dc ids.DataCentreID, hearsOthers bool) bool {
	foreign := a.hasForeignOrders(now, dc)
	if !foreign && (hearsOthers || now.Sub(a.started) < a.config.FirstClaimDelay) {
		delete(a.watchedSince, dc)
	} else if _, watched := a.watchedSince[dc]; !watched {
		a.watchedSince[dc] = now
	}
	return !foreign
}

// hasForeignOrders reports whether an order of another VM was noticed recently
// and no VM that claims the data centre was heard since.
func (a *Authority) hasForeignOrders(now time.Time, dc ids.DataCentreID) bool {
	noticedAt, noticed := a.foreignOrders[dc]
	return noticed && noticedAt.After(a.claimHeardAt[dc]) && now.Sub(noticedAt) < a.foreignOrderMemory()
}

// foreignOrderMemory returns how long an order of another VM is remembered. With
// fences, a VM may claim afterwards. Without them, it has to watch, and notices
// the next one earlier.
func (a *Authority) foreignOrderMemory() time.Duration {
	if a.config.EnginesCheckFences {
		return a.config.Lease
	}
	return 2 * watchLeases * a.config.Lease
}

// OrderedByUnheardVM reports whether a VM that this one does not hear orders the
// engines of a data centre, as far as their reports and refusals show.
func (a *Authority) OrderedByUnheardVM(now time.Time, dc ids.DataCentreID) bool {
	_, holds := a.ownFences[dc]
	return !holds && a.hasForeignOrders(now, dc)
}

// Watched returns the data centres whose engines' reports this VM has to read
// although it may not send them orders now.
func (a *Authority) Watched(now time.Time) []ids.DataCentreID {
	var watched []ids.DataCentreID
	for dc := range a.watchedSince {
		watched = append(watched, dc)
	}
	if a.config.EnginesCheckFences {
		return watched
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
// claim needs a time without such orders. Engines that check fencing tokens
// decide themselves whether a claim still holds.
func (a *Authority) ForeignOrderSeen(now time.Time, dc ids.DataCentreID) bool {
	_, held := a.ownFences[dc]
	if a.config.EnginesCheckFences {
		if !held {
			a.foreignOrders[dc] = now
			delete(a.refusals, dc)
		}
		return false
	}
	delete(a.ownFences, dc)
	delete(a.watchedSince, dc)
	a.foreignOrders[dc] = now
	return held
}
