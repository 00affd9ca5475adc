package idempotency

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/membership"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/shard"
)

const (
	// MaxAnswerBytes is the largest answer that is stored with a claim.
	MaxAnswerBytes = 64 << 10
	// maxClaims bounds the claims that one home remembers. Claims inside their
	// window are never evicted; a full home does not count instead. With the
	// answers below this keeps a home at about a third of a VM's 64 MB.
	maxClaims = 30_000
	// maxStoredBytes bounds the answers of all claims together. Answers above
	// it are remembered without their body.
	maxStoredBytes = 8 << 20
	// releaseMemory is how long a released claim id is remembered. A claim
	// message older than this has been given up by every transport timeout.
	releaseMemory = time.Minute
	// claimShards bounds how often two claims meet on one lock.
	claimShards = 32
)

// homeRules can be switched off by tests to show what each of them prevents.
type homeRules struct {
	// coverage lets a home grant only keys that its memory covers.
	coverage bool
	// sameHomes compares the home sets of claimer and home.
	sameHomes bool
	// forgottenMark refuses keys that may be among those that the home has
	// forgotten, as after a route's window was raised.
	forgottenMark bool
	// listNotBehind refuses a claimer whose list is newer than the home's.
	listNotBehind bool
}

// Home is the memory of one VM as a home of keys. Its methods may be called
// from any goroutine.
type Home struct {
	rules   homeRules
	self    ids.VMID
	boot    ids.BootID
	start   time.Time
	members *membership.Members

	claims   *shard.Map[peer.IdempotencyKey, claim]
	released *shard.Map[peer.ClaimID, time.Time]
	// forgotten tells for each route when the newest claim was granted that
	// has been forgotten.
	forgotten *shard.Map[ids.RouteID, time.Time]
	count     atomic.Int64
	stored    atomic.Int64

	mu           sync.RWMutex
	regions      Regions
	regionsSince time.Time
}

type claim struct {
	id      peer.ClaimID
	digest  string
	state   peer.ClaimState
	granted time.Time
	expires time.Time
	answer  *peer.StoredAnswer
}

// NewHome returns the empty memory of a VM that started at start.
func NewHome(boot ids.BootID, start time.Time, members *membership.Members) *Home {
	return &Home{
		rules:     homeRules{coverage: true, sameHomes: true, forgottenMark: true, listNotBehind: true},
		self:      members.Self(),
		boot:      boot,
		start:     start,
		members:   members,
		claims:    shard.New[peer.IdempotencyKey, claim](claimShards),
		released:  shard.New[peer.ClaimID, time.Time](claimShards),
		forgotten: shard.New[ids.RouteID, time.Time](1),
	}
}

// ObserveRegions takes the regions of the data centres whenever their records
// changed. A change moves homes, so memory counts anew from it.
func (h *Home) ObserveRegions(now time.Time, regions Regions) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.regions != nil && maps.Equal(h.regions, regions) {
		return
	}
	h.regions = maps.Clone(regions)
	h.regionsSince = now
}

func (h *Home) topology() (Regions, time.Time) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.regions, h.regionsSince
}

// Claim answers a claim. The same claim may arrive any number of times.
func (h *Home) Claim(now time.Time, request peer.Claim) peer.ClaimReply {
	list := h.members.List()
	regions, since := h.topology()
	reply := peer.ClaimReply{
		Home:         h.self,
		Boot:         h.boot,
		ID:           request.ID,
		ListRevision: list.Revision,
		Homes:        Homes(request.Key, request.Region, list.Live(), regions),
	}
	window := time.Duration(request.WindowMillis) * time.Millisecond
	switch ageOf(now, request.Key.Key, window) {
	case keyExpired:
		reply.Status = peer.ClaimKeyExpired
		return reply
	case keyFromFuture:
		reply.Status = peer.ClaimKeyFromFuture
		return reply
	}
	refusal := h.refusal(now, request, reply, window, since)
	h.claims.Update(request.Key, func(held claim, found bool) (claim, bool) {
		if found && now.Before(held.expires) {
			reply = describe(reply, held, request)
			return held, true
		}
		if found {
			h.forget(request.Key.Route, held)
		}
		reply.Status = refusal
		if refusal == peer.ClaimGranted && h.mayBeForgotten(now, request.Key, window) {
			reply.Status = peer.ClaimNotCovered
		}
		if _, gone := h.released.Get(request.ID); gone {
			reply.Status = peer.ClaimReleased
		}
		if reply.Status != peer.ClaimGranted {
			return claim{}, false
		}
		h.count.Add(1)
		return claim{
			id:      request.ID,
			digest:  request.BodyDigest,
			state:   peer.ClaimStateClaimed,
			granted: now,
			expires: now.Add(retention(window)),
		}, true
	})
	return reply
}

// refusal tells whether a key that is not claimed may be granted.
func (h *Home) refusal(now time.Time, request peer.Claim, own peer.ClaimReply, window time.Duration, regionsSince time.Time) peer.ClaimStatus {
	switch {
	case own.ListRevision < request.ListRevision && h.rules.listNotBehind:
		return peer.ClaimListBehind
	case !slices.Equal(own.Homes, request.Homes) && h.rules.sameHomes:
		return peer.ClaimOtherHomes
	case !slices.Contains(own.Homes, h.self) && h.rules.sameHomes:
		return peer.ClaimOtherHomes
	case h.rules.coverage && !h.covers(now, request, window, regionsSince):
		return peer.ClaimNotCovered
	case h.count.Load() >= maxClaims:
		return peer.ClaimFull
	}
	return peer.ClaimGranted
}

// covers tells whether this home would know of every earlier claim of a key:
// it ran, saw every list and was a home of the key in each of them since
// before the key can have been used. For a key without a creation time that
// is its whole window.
func (h *Home) covers(now time.Time, request peer.Claim, window time.Duration, regionsSince time.Time) bool {
	selfSince, live := h.members.SelfLiveSince()
	if !live {
		return false
	}
	reach := firstUse(now, request.Key.Key, window).Add(-newHomeMargin)
	for _, start := range []time.Time{h.start, h.members.HistoryCompleteSince(), selfSince, regionsSince} {
		if start.IsZero() || start.After(reach) {
			return false
		}
	}
	regions, _ := h.topology()
	union := h.members.LiveSince(reach)
	return slices.Contains(Homes(request.Key, request.Region, union, regions), h.self)
}

// mayBeForgotten tells whether an earlier claim of a key may be among those
// that the home has forgotten. Within one window that cannot be, for claims
// are kept longer; a route's window may have been raised since.
func (h *Home) mayBeForgotten(now time.Time, key peer.IdempotencyKey, window time.Duration) bool {
	mark, any := h.forgotten.Get(key.Route)
	return any && h.rules.forgottenMark && !firstUse(now, key.Key, window).After(mark)
}

// forget drops the claim of a key of a route after its time.
func (h *Home) forget(route ids.RouteID, held claim) {
	h.discount(held)
	h.forgotten.Update(route, func(mark time.Time, _ bool) (time.Time, bool) {
		if held.granted.After(mark) {
			return held.granted, true
		}
		return mark, true
	})
}

// describe answers a claim of a key that is claimed already.
func describe(reply peer.ClaimReply, held claim, request peer.Claim) peer.ClaimReply {
	if held.digest != request.BodyDigest {
		reply.Status = peer.ClaimKeyReused
		return reply
	}
	if held.id == request.ID && held.state == peer.ClaimStateClaimed {
		reply.Status = peer.ClaimGranted
		return reply
	}
	reply.Status = peer.ClaimHeld
	holder := held.id
	reply.Holder = &holder
	reply.State = held.state
	reply.Answer = held.answer
	return reply
}

// Commit records that the call of a claim is about to be sent.
func (h *Home) Commit(message peer.ClaimCommit) peer.ClaimAck {
	return h.change(message.Key, message.ID, func(held *claim) bool {
		if held.state == peer.ClaimStateClaimed {
			held.state = peer.ClaimStateCommitted
		}
		return true
	})
}

// End stores how the call of a claim ended.
func (h *Home) End(message peer.ClaimEnd) peer.ClaimAck {
	return h.change(message.Key, message.ID, func(held *claim) bool {
		if held.state == peer.ClaimStateEnded {
			return true
		}
		held.state = peer.ClaimStateEnded
		held.answer = h.store(message.Answer)
		return true
	})
}

// store keeps an answer, without its body when that is too large.
func (h *Home) store(answer peer.StoredAnswer) *peer.StoredAnswer {
	size := int64(len(answer.Body))
	if size > MaxAnswerBytes || h.stored.Load()+size > maxStoredBytes {
		return &peer.StoredAnswer{Status: answer.Status, Dropped: true, Unknown: answer.Unknown}
	}
	h.stored.Add(size)
	return &answer
}

// Release forgets a claim whose call did not run. The id stays known, so that
// a claim message that arrives after its release is not granted.
func (h *Home) Release(now time.Time, message peer.ClaimRelease) peer.ClaimAck {
	return h.change(message.Key, message.ID, func(held *claim) bool {
		return held.state == peer.ClaimStateEnded
	}, func() { h.released.Set(message.ID, now.Add(releaseMemory)) })
}

// change applies a step of the holder of a claim; step returns whether the
// claim is kept. The functions in first run under the lock of the key.
func (h *Home) change(key peer.IdempotencyKey, id peer.ClaimID, step func(*claim) bool, first ...func()) peer.ClaimAck {
	ack := peer.ClaimAck{Home: h.self}
	h.claims.Update(key, func(held claim, found bool) (claim, bool) {
		for _, run := range first {
			run()
		}
		if !found || held.id != id {
			return held, found
		}
		ack.Known = true
		keep := step(&held)
		if !keep {
			h.discount(held)
		}
		return held, keep
	})
	return ack
}

func (h *Home) discount(held claim) {
	h.count.Add(-1)
	if held.answer != nil {
		h.stored.Add(-int64(len(held.answer.Body)))
	}
}

// Expire forgets claims and released ids whose time is over. It is called
// every few seconds.
func (h *Home) Expire(now time.Time) {
	h.claims.Sweep(func(key peer.IdempotencyKey, held claim) bool {
		keep := now.Before(held.expires)
		if !keep {
			h.forget(key.Route, held)
		}
		return keep
	})
	h.released.Sweep(func(_ peer.ClaimID, until time.Time) bool { return now.Before(until) })
}

// HomeStats describes the memory of a home.
type HomeStats struct {
	Claims      int64 `json:"claims"`
	StoredBytes int64 `json:"storedBytes"`
}

// Stats returns the size of the memory.
func (h *Home) Stats() HomeStats {
	return HomeStats{Claims: h.count.Load(), StoredBytes: h.stored.Load()}
}
