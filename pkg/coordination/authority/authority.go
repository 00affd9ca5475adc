// Package authority decides which VM may send orders (adapter loads and
// unloads) to the engines of a data centre. At most one of the VMs that are
// connected to each other holds the claim on a data centre. Each claim has
// its own fencing token, which the engines check.
//
// Package node calls it with the claims that other VMs report and the VMs
// that are alive. It is deterministic: time and messages are arguments.
package authority

import (
	"hash/fnv"
	"sort"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// fenceSuffixBits is the width of the low part of a fencing token. It holds
// the last three bytes of the holder's IPv4 address, so that two VMs never
// use the same token.
const fenceSuffixBits = 24

// Config describes this VM and the time limits for claims.
type Config struct {
	Self       ids.VMID
	DataCentre ids.DataCentreID
	// Cores is this VM's processor share in cores.
	Cores float64
	// FenceSuffix is the low part of this VM's fencing tokens, below 1<<24.
	FenceSuffix uint64
	// Lease is how long, after a silent holder was last heard, no other VM may
	// send orders.
	Lease time.Duration
	// FirstClaimDelay is how long a newly started VM listens for other VMs' claims
	// before it makes its own.
	FirstClaimDelay time.Duration
	// SuspendTime is how long a VM whose process stalled listens to its peers
	// before it sends orders again.
	SuspendTime time.Duration
	// EnginesCheckFences is set if engines refuse an order whose token is lower
	// than one that they have seen. Otherwise contact with a majority of the VMs
	// decides which VM may send orders; the exchanges must then take place
	// several times within half of the lease.
	EnginesCheckFences bool
	// Boot is the run of this VM's process.
	Boot ids.BootID
	// Seeds are VMs that may be running although they were not heard yet.
	Seeds []ids.VMID
}

// Claim is a VM's right to order the engines of a data centre, as the holder
// reports it to the other VMs.
type Claim struct {
	DataCentre ids.DataCentreID `json:"dc"`
	Fence      ids.FencingToken `json:"fence"`
	// Alone is set if the holder orders the engines without contact with a
	// majority of the VMs, and goes on when it is disconnected.
	Alone bool `json:"alone,omitempty"`
}

// HolderClaims is all claims of one VM, as a relay passes them on.
type HolderClaims struct {
	Holder ids.VMID   `json:"vm"`
	Boot   ids.BootID `json:"boot"`
	Claims []Claim    `json:"claims"`
}

// Candidate is another VM that may hold claims.
type Candidate struct {
	ID         ids.VMID
	DataCentre ids.DataCentreID
	Boot       ids.BootID
	Started    time.Time
	Leaving    bool
	// Cores is the VM's processor share in cores. Larger VMs are preferred as
	// holders.
	Cores float64
}

// peerClaim is the last claim that another VM reported on a data centre.
type peerClaim struct {
	boot        ids.BootID
	fence       ids.FencingToken
	lastHeardAt time.Time
	released    bool
	alone       bool
}

// Authority holds the claims of this VM and what it knows of the claims of
// other VMs. It is not safe for concurrent use.
type Authority struct {
	config  Config
	started time.Time
	// ownFences holds the fencing token of each claim of this VM.
	ownFences map[ids.DataCentreID]ids.FencingToken
	// peerClaims holds the claims of the other VMs on each data centre. For a
	// while there may be several on one, after VMs were disconnected or
	// stalled.
	peerClaims map[ids.DataCentreID]map[ids.VMID]*peerClaim
	// highestFence is the highest fencing token seen so far.
	highestFence ids.FencingToken
	// suspendedUntil is the end of the pause after a stall of this process.
	suspendedUntil time.Time
	// heardFromPeer reports that some other VM has reported its claims.
	heardFromPeer bool

	// watchedSince holds the data centres that this VM would claim, and since
	// when it has read the reports of their engines.
	watchedSince map[ids.DataCentreID]time.Time
	// foreignOrders holds the data centres in which this VM or a peer noticed an
	// order of another VM, and when.
	foreignOrders map[ids.DataCentreID]time.Time
	// claimHeardAt is when a claim of another VM on a data centre was last heard.
	// It explains the orders that were noticed before.
	claimHeardAt map[ids.DataCentreID]time.Time
	// refusals counts the refused claims on a data centre in a row, with no sign of
	// another holder in between.
	refusals map[ids.DataCentreID]refusalCount

	// The remaining fields are used only if the engines check no fencing
	// tokens.

	contact contact
	// releasedClaims holds the claims that this VM gave up in the last lease.
	releasedClaims map[ids.DataCentreID]releasedClaim
	// unconfirmedClaims holds the claims of which some peer may not know yet, and
	// when they were made.
	unconfirmedClaims map[ids.DataCentreID]time.Time
	// claimedAlone holds the data centres that were claimed without contact.
	claimedAlone map[ids.DataCentreID]bool
}

// New returns the authority of a VM that has just started.
func New(config Config, now time.Time) *Authority {
	return &Authority{
		config:        config,
		started:       now,
		ownFences:     make(map[ids.DataCentreID]ids.FencingToken),
		peerClaims:    make(map[ids.DataCentreID]map[ids.VMID]*peerClaim),
		watchedSince:  make(map[ids.DataCentreID]time.Time),
		foreignOrders: make(map[ids.DataCentreID]time.Time),
		claimHeardAt:  make(map[ids.DataCentreID]time.Time),
		refusals:      make(map[ids.DataCentreID]refusalCount),

		contact:           newContact(config, now),
		releasedClaims:    make(map[ids.DataCentreID]releasedClaim),
		unconfirmedClaims: make(map[ids.DataCentreID]time.Time),
		claimedAlone:      make(map[ids.DataCentreID]bool),
	}
}

// ApplyClaims records all current claims of another VM. A data centre that
// the VM claimed before and no longer lists counts as released.
func (a *Authority) ApplyClaims(now time.Time, holder ids.VMID, boot ids.BootID, claims []Claim) {
	a.heardFromPeer = true
	stillClaimed := make(map[ids.DataCentreID]bool, len(claims))
	for _, claim := range claims {
		stillClaimed[claim.DataCentre] = true
		a.highestFence = max(a.highestFence, claim.Fence)
		if a.peerClaims[claim.DataCentre] == nil {
			a.peerClaims[claim.DataCentre] = make(map[ids.VMID]*peerClaim)
		}
		a.peerClaims[claim.DataCentre][holder] = &peerClaim{boot: boot, fence: claim.Fence, lastHeardAt: now, alone: claim.Alone}
		a.claimHeardAt[claim.DataCentre] = now
		delete(a.refusals, claim.DataCentre)
		if ownFence, holds := a.ownFences[claim.DataCentre]; holds && claim.Fence > ownFence {
			a.dropClaim(now, claim.DataCentre)
		}
	}
	for dc, byHolder := range a.peerClaims {
		previous := byHolder[holder]
		switch {
		case previous == nil || stillClaimed[dc]:
		case previous.boot != boot:
			// The holder restarted, so it sends no more orders under this
			// claim.
			delete(byHolder, holder)
		case !previous.released:
			previous.released, previous.lastHeardAt = true, now
		}
	}
}

// HighestFence returns the highest fencing token that this VM knows of, its own
// included.
func (a *Authority) HighestFence() ids.FencingToken { return a.highestFence }

// ObserveFence records the highest fencing token that another VM knows of. Its
// holder may have released the claim, or be gone, before this VM started.
func (a *Authority) ObserveFence(fence ids.FencingToken) {
	a.highestFence = max(a.highestFence, fence)
}

// ClaimsByHolder returns the claims of all other VMs that are not known to be
// released, sorted by holder.
func (a *Authority) ClaimsByHolder() []HolderClaims {
	byHolder := make(map[ids.VMID]*HolderClaims)
	for dc, claims := range a.peerClaims {
		for holder, claim := range claims {
			if claim.released {
				continue
			}
			if byHolder[holder] == nil {
				byHolder[holder] = &HolderClaims{Holder: holder, Boot: claim.boot}
			}
			byHolder[holder].Claims = append(byHolder[holder].Claims, Claim{DataCentre: dc, Fence: claim.fence, Alone: claim.alone})
		}
	}
	others := make([]HolderClaims, 0, len(byHolder))
	for _, holding := range byHolder {
		sort.Slice(holding.Claims, func(i, j int) bool { return holding.Claims[i].DataCentre < holding.Claims[j].DataCentre })
		others = append(others, *holding)
	}
	sort.Slice(others, func(i, j int) bool { return others[i].Holder < others[j].Holder })
	return others
}

// ApplyRelayedClaims records the claims of all other VMs, except the relay, as the
// relay reports them. Claims that the relay no longer lists count as released.
// The report is delayed by the relay's own exchanges, which only lengthens the
// wait for a lease.
func (a *Authority) ApplyRelayedClaims(now time.Time, relay ids.VMID, holdings []HolderClaims) {
	handled := map[ids.VMID]bool{relay: true, a.config.Self: true}
	for _, holding := range holdings {
		if handled[holding.Holder] {
			continue
		}
		handled[holding.Holder] = true
		a.ApplyClaims(now, holding.Holder, holding.Boot, holding.Claims)
	}
	for _, other := range a.ClaimsByHolder() {
		if !handled[other.Holder] {
			a.ApplyClaims(now, other.Holder, other.Boot, nil)
		}
	}
}

// Suspend stops all orders of this VM for Config.SuspendTime. It is called after
// the process stalled, since another VM may have taken over in the meantime.
func (a *Authority) Suspend(now time.Time) { a.suspendUntil(now.Add(a.config.SuspendTime)) }

func (a *Authority) suspendUntil(end time.Time) {
	if end.After(a.suspendedUntil) {
		a.suspendedUntil = end
	}
}

// Fence returns the fencing token for orders to the engines of a data centre
// and whether this VM may send orders now.
func (a *Authority) Fence(now time.Time, dc ids.DataCentreID) (ids.FencingToken, bool) {
	fence, holds := a.ownFences[dc]
	return fence, holds && !now.Before(a.suspendedUntil) && a.mayOrder(now, dc)
}

// Claims returns the claims of this VM, sorted by data centre.
func (a *Authority) Claims() []Claim {
	claims := make([]Claim, 0, len(a.ownFences))
	for dc, fence := range a.ownFences {
		claims = append(claims, Claim{DataCentre: dc, Fence: fence, Alone: a.claimedAlone[dc]})
	}
	sort.Slice(claims, func(i, j int) bool { return claims[i].DataCentre < claims[j].DataCentre })
	return claims
}

// Holder returns the VM that holds the claim on a data centre, as far as this
// VM knows.
func (a *Authority) Holder(dc ids.DataCentreID) (ids.VMID, bool) {
	if _, holds := a.ownFences[dc]; holds {
		return a.config.Self, true
	}
	var holder ids.VMID
	var highest ids.FencingToken
	for id, claim := range a.peerClaims[dc] {
		if !claim.released && claim.fence > highest {
			holder, highest = id, claim.fence
		}
	}
	return holder, holder != ""
}

// Holders returns the other VMs that hold claims, as far as this VM knows.
func (a *Authority) Holders() []ids.VMID {
	seen := make(map[ids.VMID]bool)
	var holders []ids.VMID
	for dc := range a.peerClaims {
		if holder, known := a.Holder(dc); known && holder != a.config.Self && !seen[holder] {
			seen[holder] = true
			holders = append(holders, holder)
		}
	}
	return holders
}

// DropRefusedClaim gives up a claim whose fencing token an engine refused
// because another VM has used a higher one. That VM may be at work without
// being heard, so the next claim waits as after an order of another VM. It takes
// a token well above the refused one.
func (a *Authority) DropRefusedClaim(now time.Time, dc ids.DataCentreID) {
	fence, holds := a.ownFences[dc]
	if !holds {
		return
	}
	delete(a.ownFences, dc)
	a.foreignOrders[dc] = now
	refusals := a.refusals[dc]
	if now.Sub(refusals.at) > refusalsInARowLeases*a.config.Lease {
		refusals.count = 0
	}
	increment := ids.FencingToken(refusedFenceIncrement)
	for range min(refusals.count, maxFenceGrowth) {
		increment *= refusedFenceGrowth
	}
	a.refusals[dc] = refusalCount{count: refusals.count + 1, at: now}
	a.highestFence = max(a.highestFence, fence+increment<<fenceSuffixBits)
}

// refusalCount is the number of refused claims in a row, and the time of the last.
type refusalCount struct {
	count int
	at    time.Time
}

// refusedFenceIncrement raises the next token's prefix after a refusal. Since
// the prefix counts seconds, one hour exceeds the tokens of a VM whose clock
// is up to an hour ahead. A holder that is gone may have used tokens that are
// further ahead, so each further refusal in a row multiplies the increment by
// refusedFenceGrowth, up to maxFenceGrowth times.
const (
	refusedFenceIncrement = 3600
	refusedFenceGrowth    = 8
	maxFenceGrowth        = 2
	refusalsInARowLeases  = 3
)

// Release gives up all claims before the VM stops.
func (a *Authority) Release() {
	clear(a.ownFences)
	clear(a.watchedSince)
}

// Tick claims the data centres whose engines this VM should order and gives
// up the claims that it should not hold. wallClock is the time of day, from
// which fencing tokens start. candidates are the other VMs that are alive.
func (a *Authority) Tick(now time.Time, wallClock time.Time, leaving bool, dataCentres []ids.DataCentreID, candidates []Candidate) {
	if leaving {
		a.Release()
		return
	}
	a.updateContact(now, candidates)
	if now.Before(a.suspendedUntil) {
		return
	}
	for _, dc := range dataCentres {
		if _, holds := a.ownFences[dc]; holds {
			if dc != a.config.DataCentre && a.hasSettledLocalCandidate(dc, candidates, now) || dc == a.config.DataCentre && a.hasMuchLargerCandidate(candidates, now) {
				a.dropClaim(now, dc)
			}
			continue
		}
		if a.preferredHolder(dc, candidates, now) != a.config.Self || a.claimedByCandidate(dc, candidates) {
			delete(a.watchedSince, dc)
			continue
		}
		ended := a.allOtherClaimsEnded(dc, candidates, now)
		if watched := a.watchCompleted(now, wallClock, dc, len(candidates) > 0); !ended || !watched {
			continue
		}
		a.ownFences[dc] = a.nextFence(wallClock)
		if !a.config.EnginesCheckFences {
			a.claimedAlone[dc] = !a.contact.held
			if !a.contact.allConfirmed(now, now) {
				a.unconfirmedClaims[dc] = now
			}
		}
		delete(a.peerClaims, dc)
		delete(a.watchedSince, dc)
		delete(a.foreignOrders, dc)
	}
}

// A holder gives up the claim on its own data centre to a VM there that is
// larger by handoverSizeRatio and has been up for handoverMinUptime. No VM
// sends orders until the lease has passed, so this is done only where the
// holder would be a bottleneck.
const (
	handoverSizeRatio = 2.0
	handoverMinUptime = 3 * time.Second
)

// hasMuchLargerCandidate reports whether a much larger VM of this data centre
// could hold its claim.
func (a *Authority) hasMuchLargerCandidate(candidates []Candidate, now time.Time) bool {
	for _, c := range candidates {
		if c.DataCentre == a.config.DataCentre && !c.Leaving && c.Cores >= handoverSizeRatio*a.config.Cores && a.config.Cores > 0 && now.Sub(c.Started) >= handoverMinUptime {
			return true
		}
	}
	return false
}

// hasSettledLocalCandidate reports whether a VM of the data centre is alive
// and has been up for Config.FirstClaimDelay.
func (a *Authority) hasSettledLocalCandidate(dc ids.DataCentreID, candidates []Candidate, now time.Time) bool {
	for _, c := range candidates {
		if c.DataCentre == dc && !c.Leaving && now.Sub(c.Started) >= a.config.FirstClaimDelay {
			return true
		}
	}
	return false
}

// preferredHolder returns the VM that should claim a data centre without a
// holder: the largest VM of that data centre, ties broken by ID, or the VM
// with the highest hash weight if the data centre has none.
func (a *Authority) preferredHolder(dc ids.DataCentreID, candidates []Candidate, now time.Time) ids.VMID {
	var largestLocal *Candidate
	var highestWeighted ids.VMID
	var highestWeight uint64
	consider := func(c Candidate) {
		if c.DataCentre == dc && (largestLocal == nil || c.Cores > largestLocal.Cores || c.Cores == largestLocal.Cores && c.ID < largestLocal.ID) {
			largestLocal = &c
		}
		if weight := hashWeight(dc, c.ID); highestWeighted == "" || weight > highestWeight {
			highestWeighted, highestWeight = c.ID, weight
		}
	}
	consider(Candidate{ID: a.config.Self, DataCentre: a.config.DataCentre, Cores: a.config.Cores})
	for _, c := range candidates {
		if !c.Leaving {
			consider(c)
		}
	}
	if largestLocal != nil {
		return largestLocal.ID
	}
	return highestWeighted
}

// claimedByCandidate reports whether a VM that is alive holds the claim on a
// data centre.
func (a *Authority) claimedByCandidate(dc ids.DataCentreID, candidates []Candidate) bool {
	for _, c := range candidates {
		if claim := a.peerClaims[dc][c.ID]; claim != nil && !claim.released && claim.boot == c.Boot {
			return true
		}
	}
	return false
}

// allOtherClaimsEnded reports whether no other VM can still send orders to
// the engines of the data centre.
func (a *Authority) allOtherClaimsEnded(dc ids.DataCentreID, candidates []Candidate, now time.Time) bool {
	uptime := now.Sub(a.started)
	if uptime < a.config.FirstClaimDelay || !a.heardFromPeer && uptime < a.config.FirstClaimDelay+a.config.Lease {
		return false
	}
	for holder, claim := range a.peerClaims[dc] {
		if !a.claimEnded(now, holder, claim, candidates) {
			return false
		}
		if claim.alone && !claim.released {
			a.foreignOrders[dc] = now
		}
		delete(a.peerClaims[dc], holder)
	}
	return true
}

// claimEnded reports whether the holder of a claim can send no more orders
// under it: the holder restarted or is shutting down, or the lease has passed
// since it was last heard to hold the claim.
func (a *Authority) claimEnded(now time.Time, holder ids.VMID, claim *peerClaim, candidates []Candidate) bool {
	for _, c := range candidates {
		if c.ID != holder {
			continue
		}
		switch {
		case c.Boot != claim.boot, c.Leaving && claim.released:
			return true
		case !claim.released:
			return false
		}
	}
	if claim.released {
		return now.Sub(claim.lastHeardAt) >= a.config.Lease
	}
	return now.Sub(claim.lastHeardAt) >= a.silentHolderWait()
}

// RefreshHolder records that a VM, which may hold claims, itself sent a message
// that arrived at now.
func (a *Authority) RefreshHolder(now time.Time, holder ids.VMID) {
	if !a.config.EnginesCheckFences {
		a.contact.peer(holder).messageAt = now
	}
	for _, byHolder := range a.peerClaims {
		if claim := byHolder[holder]; claim != nil && !claim.released {
			claim.lastHeardAt = now
		}
	}
}

// nextFence returns a token above all tokens seen so far: seconds since
// fenceEpoch in the high part, this VM's suffix in the low part.
func (a *Authority) nextFence(wallClock time.Time) ids.FencingToken {
	prefix := max(uint64(a.highestFence)>>fenceSuffixBits+1, uint64(max(wallClock.Unix()-fenceEpoch, 1)))
	fence := ids.FencingToken(prefix<<fenceSuffixBits | a.config.FenceSuffix)
	a.highestFence = fence
	return fence
}

// fenceEpoch is the Unix second from which the high part of tokens counts.
// This late start keeps tokens below 2^53, which any JSON reader can
// represent exactly.
const fenceEpoch = 1_577_836_800

// hashWeight returns the rendezvous hashing weight of a VM for a data centre.
func hashWeight(dc ids.DataCentreID, id ids.VMID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(dc))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}
