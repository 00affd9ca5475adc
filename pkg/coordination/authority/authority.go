// Package authority decides which VM orders the engines of a data centre. At
// most one VM in touch with the others holds a claim on a data centre; each
// claim has a fencing token of its own, which engines check. It is
// deterministic: time and messages are arguments.
package authority

import (
	"hash/fnv"
	"sort"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// uniqueBits is the width of a token's low part, which holds the last three
// bytes of the holder's IPv4 address, so that two VMs never share a token.
const uniqueBits = 24

// Config describes one VM.
type Config struct {
	Self       ids.VMID
	DataCentre ids.DataCentreID
	// Size is this VM's processor share in cores.
	Size float64
	// Unique is the low part of this VM's tokens, below 1<<24.
	Unique uint64
	// Lease is the time after the last order of a holder that went silent
	// during which no other VM may order.
	Lease time.Duration
	// Settle is how long a started VM listens for claims before its own.
	Settle time.Duration
	// Confirm is how long a VM whose process stood still listens before it
	// orders again.
	Confirm time.Duration
}

// Claim is what a holder tells the other VMs.
type Claim struct {
	DataCentre ids.DataCentreID `json:"dc"`
	Fence      ids.Fence        `json:"fence"`
}

// Holding is all claims of one VM, as a relay passes them on.
type Holding struct {
	Holder ids.VMID   `json:"vm"`
	Boot   ids.BootID `json:"boot"`
	Claims []Claim    `json:"claims"`
}

// Candidate is a VM that may hold claims.
type Candidate struct {
	ID         ids.VMID
	DataCentre ids.DataCentreID
	Boot       ids.BootID
	Started    time.Time
	Leaving    bool
	// Size is the VM's processor share in cores. Larger VMs go first.
	Size float64
}

// heard is the last claim of one VM on a data centre.
type heard struct {
	boot     ids.BootID
	fence    ids.Fence
	at       time.Time
	released bool
}

// Authority holds one VM's claims and what it knows of those of others.
type Authority struct {
	config  Config
	started time.Time
	held    map[ids.DataCentreID]ids.Fence
	// others holds the claims of the other VMs on each data centre. There may
	// be several for a while, after VMs were cut off or stood still.
	others  map[ids.DataCentreID]map[ids.VMID]*heard
	highest ids.Fence
	// quietUntil is the end of the wait after the process stood still.
	quietUntil time.Time
	contacted  bool
}

// New returns the authority of a VM that has just started.
func New(config Config, now time.Time) *Authority {
	return &Authority{
		config:  config,
		started: now,
		held:    make(map[ids.DataCentreID]ids.Fence),
		others:  make(map[ids.DataCentreID]map[ids.VMID]*heard),
	}
}

// Hear takes all claims of another VM. A data centre that the VM claimed
// before and no longer does is released.
func (a *Authority) Hear(now time.Time, holder ids.VMID, boot ids.BootID, claims []Claim) {
	a.contacted = true
	named := make(map[ids.DataCentreID]bool, len(claims))
	for _, claim := range claims {
		named[claim.DataCentre] = true
		a.highest = max(a.highest, claim.Fence)
		if a.others[claim.DataCentre] == nil {
			a.others[claim.DataCentre] = make(map[ids.VMID]*heard)
		}
		a.others[claim.DataCentre][holder] = &heard{boot: boot, fence: claim.Fence, at: now}
		if own, holds := a.held[claim.DataCentre]; holds && claim.Fence > own {
			delete(a.held, claim.DataCentre)
		}
	}
	for dc, byHolder := range a.others {
		known := byHolder[holder]
		switch {
		case known == nil || named[dc]:
		case known.boot != boot:
			// The holder restarted, so its orders have ended.
			delete(byHolder, holder)
		case !known.released:
			known.released, known.at = true, now
		}
	}
}

// Holdings returns the claims of all other VMs that are not known to have ended.
func (a *Authority) Holdings() []Holding {
	byHolder := make(map[ids.VMID]*Holding)
	for dc, claims := range a.others {
		for holder, known := range claims {
			if known.released {
				continue
			}
			if byHolder[holder] == nil {
				byHolder[holder] = &Holding{Holder: holder, Boot: known.boot}
			}
			byHolder[holder].Claims = append(byHolder[holder].Claims, Claim{DataCentre: dc, Fence: known.fence})
		}
	}
	holdings := make([]Holding, 0, len(byHolder))
	for _, holding := range byHolder {
		sort.Slice(holding.Claims, func(i, j int) bool { return holding.Claims[i].DataCentre < holding.Claims[j].DataCentre })
		holdings = append(holdings, *holding)
	}
	sort.Slice(holdings, func(i, j int) bool { return holdings[i].Holder < holdings[j].Holder })
	return holdings
}

// HearRelayed takes a relay's word for the claims of all other VMs but the
// relay. Claims that the relay no longer names are released. The word is late
// by the relay's own exchanges, which only lengthens the wait for a lease.
func (a *Authority) HearRelayed(now time.Time, relay ids.VMID, holdings []Holding) {
	named := map[ids.VMID]bool{relay: true, a.config.Self: true}
	for _, holding := range holdings {
		if named[holding.Holder] {
			continue
		}
		named[holding.Holder] = true
		a.Hear(now, holding.Holder, holding.Boot, holding.Claims)
	}
	for _, known := range a.Holdings() {
		if !named[known.Holder] {
			a.Hear(now, known.Holder, known.Boot, nil)
		}
	}
}

// Suspend stops all orders for a while, since the process stood still and
// another VM may have taken over meanwhile.
func (a *Authority) Suspend(now time.Time) { a.quietUntil = now.Add(a.config.Confirm) }

// Fence returns the token for orders to engines of a data centre, if this VM
// may give any now.
func (a *Authority) Fence(now time.Time, dc ids.DataCentreID) (ids.Fence, bool) {
	fence, holds := a.held[dc]
	return fence, holds && !now.Before(a.quietUntil)
}

// Claims returns the claims of this VM.
func (a *Authority) Claims() []Claim {
	claims := make([]Claim, 0, len(a.held))
	for dc, fence := range a.held {
		claims = append(claims, Claim{DataCentre: dc, Fence: fence})
	}
	sort.Slice(claims, func(i, j int) bool { return claims[i].DataCentre < claims[j].DataCentre })
	return claims
}

// Holder returns the VM that orders the engines of a data centre as far as
// this VM knows.
func (a *Authority) Holder(dc ids.DataCentreID) (ids.VMID, bool) {
	if _, holds := a.held[dc]; holds {
		return a.config.Self, true
	}
	var holder ids.VMID
	var highest ids.Fence
	for id, known := range a.others[dc] {
		if !known.released && known.fence > highest {
			holder, highest = id, known.fence
		}
	}
	return holder, holder != ""
}

// Holders returns the VMs that hold claims as far as this VM knows, without
// this VM itself.
func (a *Authority) Holders() []ids.VMID {
	seen := make(map[ids.VMID]bool)
	var holders []ids.VMID
	for dc := range a.others {
		if holder, known := a.Holder(dc); known && holder != a.config.Self && !seen[holder] {
			seen[holder] = true
			holders = append(holders, holder)
		}
	}
	return holders
}

// Refused drops a claim whose token an engine refused: another VM has used a
// higher one. The next claim takes a token well above.
func (a *Authority) Refused(dc ids.DataCentreID) {
	fence, holds := a.held[dc]
	if !holds {
		return
	}
	delete(a.held, dc)
	a.highest = max(a.highest, fence+refusedStep<<uniqueBits)
}

// refusedStep lifts the next token after a refusal. An hour of seconds passes
// the tokens of a VM whose time of day was that far ahead.
const refusedStep = 3600

// Release gives up all claims before the VM stops.
func (a *Authority) Release() { clear(a.held) }

// Tick claims the data centres that this VM has to order and gives up those
// that it should not. Clock is the time of day, from which tokens start.
// Candidates are the other VMs that are alive.
func (a *Authority) Tick(now time.Time, clock time.Time, leaving bool, centres []ids.DataCentreID, alive []Candidate) {
	if leaving {
		a.Release()
		return
	}
	if now.Before(a.quietUntil) {
		return
	}
	for _, dc := range centres {
		if _, holds := a.held[dc]; holds {
			if dc != a.config.DataCentre && a.native(dc, alive, now) || dc == a.config.DataCentre && a.dwarfed(alive, now) {
				delete(a.held, dc)
			}
			continue
		}
		if a.first(dc, alive, now) != a.config.Self || !a.free(dc, alive, now) {
			continue
		}
		a.held[dc] = a.nextFence(clock)
		delete(a.others, dc)
	}
}

// A holder gives its claim up to a VM of its data centre that is larger by
// largerBy and has been up for largerAfter. Nobody orders for the lease then, so
// it is done only where the holder would be a bottleneck.
const (
	largerBy    = 2.0
	largerAfter = 3 * time.Second
)

// dwarfed reports whether a much larger VM of this data centre could order its
// engines.
func (a *Authority) dwarfed(alive []Candidate, now time.Time) bool {
	for _, c := range alive {
		if c.DataCentre == a.config.DataCentre && !c.Leaving && c.Size >= largerBy*a.config.Size && a.config.Size > 0 && now.Sub(c.Started) >= largerAfter {
			return true
		}
	}
	return false
}

// native reports whether a settled VM of the data centre is alive.
func (a *Authority) native(dc ids.DataCentreID, alive []Candidate, now time.Time) bool {
	for _, c := range alive {
		if c.DataCentre == dc && !c.Leaving && now.Sub(c.Started) >= a.config.Settle {
			return true
		}
	}
	return false
}

// first returns the VM that should claim a data centre that nobody holds: the
// largest of its own VMs, by id where they are equal, otherwise the first by a
// hash of all.
func (a *Authority) first(dc ids.DataCentreID, alive []Candidate, now time.Time) ids.VMID {
	var own *Candidate
	var other ids.VMID
	var best uint64
	consider := func(c Candidate) {
		if c.DataCentre == dc && (own == nil || c.Size > own.Size || c.Size == own.Size && c.ID < own.ID) {
			own = &c
		}
		if weight := rank(dc, c.ID); other == "" || weight > best {
			other, best = c.ID, weight
		}
	}
	consider(Candidate{ID: a.config.Self, DataCentre: a.config.DataCentre, Size: a.config.Size})
	for _, c := range alive {
		if !c.Leaving {
			consider(c)
		}
	}
	if own != nil {
		return own.ID
	}
	return other
}

// free reports whether no other VM can still order the data centre.
func (a *Authority) free(dc ids.DataCentreID, alive []Candidate, now time.Time) bool {
	age := now.Sub(a.started)
	if age < a.config.Settle || !a.contacted && age < a.config.Settle+a.config.Lease {
		return false
	}
	for holder, known := range a.others[dc] {
		if !a.ended(now, holder, known, alive) {
			return false
		}
		delete(a.others[dc], holder)
	}
	return true
}

// ended reports whether the orders under a claim have certainly ended: its
// holder restarted or is shutting down, or the lease has passed since it was
// last heard to hold the claim.
func (a *Authority) ended(now time.Time, holder ids.VMID, known *heard, alive []Candidate) bool {
	for _, c := range alive {
		if c.ID != holder {
			continue
		}
		switch {
		case c.Boot != known.boot, c.Leaving && known.released:
			return true
		case !known.released:
			return false
		}
	}
	return now.Sub(known.at) >= a.config.Lease
}

// HolderHeard refreshes the time at which the holder of a claim was alive.
func (a *Authority) HolderHeard(now time.Time, holder ids.VMID) {
	for _, byHolder := range a.others {
		if known := byHolder[holder]; known != nil && !known.released {
			known.at = now
		}
	}
}

func (a *Authority) nextFence(clock time.Time) ids.Fence {
	high := max(uint64(a.highest)>>uniqueBits+1, uint64(max(clock.Unix()-fenceEpoch, 1)))
	fence := ids.Fence(high<<uniqueBits | a.config.Unique)
	a.highest = fence
	return fence
}

// fenceEpoch is the Unix second from which the high part of tokens counts. A
// later epoch keeps tokens below 2^53, which any JSON reader can hold.
const fenceEpoch = 1_577_836_800

func rank(dc ids.DataCentreID, id ids.VMID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(dc))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}
