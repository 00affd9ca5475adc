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
	// MaxAnswerBytes is the size of the largest answer that is stored with a
	// claim.
	MaxAnswerBytes = 64 << 10
	// maxClaims bounds the claims that one home keeps. Claims within their
	// window are never evicted; a home that is full refuses new claims
	// instead. Together with maxStoredBytes this limits a home to about a
	// third of a VM's 64 MB.
	maxClaims = 30_000
	// maxStoredBytes bounds the total size of the stored answers of all
	// claims. Answers beyond it are stored without their body.
	maxStoredBytes = 8 << 20
	// releasedIDRetention is how long a released claim id is remembered. By
	// then every transport timeout for a claim message sent before the release
	// has passed.
	releasedIDRetention = time.Minute
	// claimShards is the number of locks over which claims are spread.
	claimShards = 32
)

// homeRules selects the safety rules that a Home enforces. Tests switch them
// off one by one to show which failure each of them prevents.
type homeRules struct {
	// coverage makes a home grant only keys whose earlier claims its memory
	// would hold.
	coverage bool
	// sameHomes makes a home refuse a claimer that computes other homes for
	// the key than the home does.
	sameHomes bool
	// forgottenCheck refuses keys that may be among those that the home has
	// forgotten, which is possible after the repeat window of a route was
	// raised.
	forgottenCheck bool
	// listNotBehind makes a home refuse a claimer whose VM list is newer than
	// its own.
	listNotBehind bool
}

// Home stores the claims on the keys of which one VM is a home. Its methods
// may be called from any goroutine.
type Home struct {
	rules     homeRules
	self      ids.VMID
	boot      ids.BootID
	startedAt time.Time
	members   *membership.Members

	claims   *shard.Map[peer.IdempotencyKey, claim]
	released *shard.Map[peer.ClaimID, time.Time]
	// newestForgotten holds for each route the latest grant time of a claim
	// that was forgotten.
	newestForgotten *shard.Map[ids.RouteID, time.Time]
	claimCount      atomic.Int64
	storedBytes     atomic.Int64

	mu           sync.RWMutex
	regions      Regions
	regionsSince time.Time
}

// claim is a granted claim as recorded by a home.
type claim struct {
	id        peer.ClaimID
	digest    string
	state     peer.ClaimState
	grantedAt time.Time
	expiresAt time.Time
	answer    *peer.StoredAnswer
}

// NewHome returns an empty Home of a VM that started at startedAt.
func NewHome(boot ids.BootID, startedAt time.Time, members *membership.Members) *Home {
	return &Home{
		rules:           homeRules{coverage: true, sameHomes: true, forgottenCheck: true, listNotBehind: true},
		self:            members.Self(),
		boot:            boot,
		startedAt:       startedAt,
		members:         members,
		claims:          shard.New[peer.IdempotencyKey, claim](claimShards),
		released:        shard.New[peer.ClaimID, time.Time](claimShards),
		newestForgotten: shard.New[ids.RouteID, time.Time](1),
	}
}

// SetRegions sets the regions of the data centres; it is called whenever
// their records changed. A change of regions moves homes, so the memory only
// counts as complete from then on.
func (h *Home) SetRegions(now time.Time, regions Regions) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.regions != nil && maps.Equal(h.regions, regions) {
		return
	}
	h.regions = maps.Clone(regions)
	h.regionsSince = now
}

func (h *Home) currentRegions() (Regions, time.Time) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.regions, h.regionsSince
}

// Claim answers a claim. The same claim may arrive any number of times.
func (h *Home) Claim(now time.Time, request peer.Claim) peer.ClaimReply {
	list := h.members.List()
	regions, since := h.currentRegions()
	reply := peer.ClaimReply{
		Home:         h.self,
		Boot:         h.boot,
		ID:           request.ID,
		ListRevision: list.Revision,
		Homes:        Homes(request.Key, request.Region, list.Live(), regions),
	}
	window := time.Duration(request.WindowMillis) * time.Millisecond
	switch classifyKeyAge(now, request.Key.Key, window) {
	case keyExpired:
		reply.Status = peer.ClaimKeyExpired
		return reply
	case keyFromFuture:
		reply.Status = peer.ClaimKeyFromFuture
		return reply
	}
	grantStatus := h.grantStatus(now, request, reply, window, since)
	h.claims.Update(request.Key, func(held claim, found bool) (claim, bool) {
		if found && now.Before(held.expiresAt) {
			reply = replyForHeld(reply, held, request)
			return held, true
		}
		if found {
			h.forgetExpired(request.Key.Route, held)
		}
		reply.Status = grantStatus
		if grantStatus == peer.ClaimGranted && h.mayBeForgotten(now, request.Key, window) {
			reply.Status = peer.ClaimNotCovered
		}
		if _, wasReleased := h.released.Get(request.ID); wasReleased {
			reply.Status = peer.ClaimReleased
		}
		if reply.Status != peer.ClaimGranted {
			return claim{}, false
		}
		h.claimCount.Add(1)
		return claim{
			id:        request.ID,
			digest:    request.BodyDigest,
			state:     peer.ClaimStateClaimed,
			grantedAt: now,
			expiresAt: now.Add(claimRetention(window)),
		}, true
	})
	return reply
}

// grantStatus returns ClaimGranted if an unclaimed key may be granted, and
// otherwise the reason for the refusal.
func (h *Home) grantStatus(now time.Time, request peer.Claim, reply peer.ClaimReply, window time.Duration, regionsSince time.Time) peer.ClaimStatus {
	switch {
	case reply.ListRevision < request.ListRevision && h.rules.listNotBehind:
		return peer.ClaimListBehind
	case !slices.Equal(reply.Homes, request.Homes) && h.rules.sameHomes:
		return peer.ClaimOtherHomes
	case !slices.Contains(reply.Homes, h.self) && h.rules.sameHomes:
		return peer.ClaimOtherHomes
	case h.rules.coverage && !h.coversKey(now, request, window, regionsSince):
		return peer.ClaimNotCovered
	case h.claimCount.Load() >= maxClaims:
		return peer.ClaimFull
	}
	return peer.ClaimGranted
}

// coversKey reports whether this home would know every earlier claim on a key.
// That is so if the home has been running, has seen every VM list and was a
// home of the key under each of them since before the key can have been used.
// For a key without a creation time this means its whole window.
func (h *Home) coversKey(now time.Time, request peer.Claim, window time.Duration, regionsSince time.Time) bool {
	selfSince, live := h.members.SelfLiveSince()
	if !live {
		return false
	}
	coveredFrom := earliestRelevantClaim(now, request.Key.Key, window).Add(-listChangeMargin)
	for _, startedAt := range []time.Time{h.startedAt, h.members.HistoryCompleteSince(), selfSince, regionsSince} {
		if startedAt.IsZero() || startedAt.After(coveredFrom) {
			return false
		}
	}
	regions, _ := h.currentRegions()
	everLive := h.members.LiveSince(coveredFrom)
	return slices.Contains(Homes(request.Key, request.Region, everLive, regions), h.self)
}

// mayBeForgotten reports whether an earlier claim on the key may be among
// those that this home has forgotten. Claims are kept longer than their
// window, so this is possible only if the window of the route was raised.
func (h *Home) mayBeForgotten(now time.Time, key peer.IdempotencyKey, window time.Duration) bool {
	newest, any := h.newestForgotten.Get(key.Route)
	return any && h.rules.forgottenCheck && !earliestRelevantClaim(now, key.Key, window).After(newest)
}

// forgetExpired records that an expired claim on a key of the route is
// forgotten. The caller removes the claim.
func (h *Home) forgetExpired(route ids.RouteID, held claim) {
	h.subtractFromTotals(held)
	h.newestForgotten.Update(route, func(latest time.Time, _ bool) (time.Time, bool) {
		if held.grantedAt.After(latest) {
			return held.grantedAt, true
		}
		return latest, true
	})
}

// replyForHeld completes the reply to a claim on a key that is already
// claimed.
func replyForHeld(reply peer.ClaimReply, held claim, request peer.Claim) peer.ClaimReply {
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
	return h.updateClaim(message.Key, message.ID, func(held *claim) bool {
		if held.state == peer.ClaimStateClaimed {
			held.state = peer.ClaimStateCommitted
		}
		return true
	})
}

// End records how the call of a claim ended.
func (h *Home) End(message peer.ClaimEnd) peer.ClaimAck {
	return h.updateClaim(message.Key, message.ID, func(held *claim) bool {
		if held.state == peer.ClaimStateEnded {
			return true
		}
		held.state = peer.ClaimStateEnded
		held.answer = h.storeAnswer(message.Answer)
		return true
	})
}

// storeAnswer returns the answer to store with a claim, without its body if
// the body is too large.
func (h *Home) storeAnswer(answer peer.StoredAnswer) *peer.StoredAnswer {
	size := int64(len(answer.Body))
	if size > MaxAnswerBytes || h.storedBytes.Load()+size > maxStoredBytes {
		return &peer.StoredAnswer{Status: answer.Status, Dropped: true, Unknown: answer.Unknown}
	}
	h.storedBytes.Add(size)
	return &answer
}

// Release removes a claim whose call did not run. Its id is remembered, so
// that a claim message that arrives after its release is not granted.
func (h *Home) Release(now time.Time, message peer.ClaimRelease) peer.ClaimAck {
	return h.updateClaim(message.Key, message.ID, func(held *claim) bool {
		return held.state == peer.ClaimStateEnded
	}, func() { h.released.Set(message.ID, now.Add(releasedIDRetention)) })
}

// updateClaim applies an update by the holder of a claim; update returns
// whether the claim is kept. The onLocked functions run under the lock of the
// key before the claim is looked at.
func (h *Home) updateClaim(key peer.IdempotencyKey, id peer.ClaimID, update func(*claim) bool, onLocked ...func()) peer.ClaimAck {
	ack := peer.ClaimAck{Home: h.self}
	h.claims.Update(key, func(held claim, found bool) (claim, bool) {
		for _, run := range onLocked {
			run()
		}
		if !found || held.id != id {
			return held, found
		}
		ack.Known = true
		keep := update(&held)
		if !keep {
			h.subtractFromTotals(held)
		}
		return held, keep
	})
	return ack
}

// subtractFromTotals removes a claim from the totals of claims and stored bytes.
func (h *Home) subtractFromTotals(held claim) {
	h.claimCount.Add(-1)
	if held.answer != nil {
		h.storedBytes.Add(-int64(len(held.answer.Body)))
	}
}

// Expire removes expired claims and released ids. The daemon calls it every
// few seconds.
func (h *Home) Expire(now time.Time) {
	h.claims.Sweep(func(key peer.IdempotencyKey, held claim) bool {
		keep := now.Before(held.expiresAt)
		if !keep {
			h.forgetExpired(key.Route, held)
		}
		return keep
	})
	h.released.Sweep(func(_ peer.ClaimID, until time.Time) bool { return now.Before(until) })
}

// HomeStats holds the size of a Home.
type HomeStats struct {
	Claims      int64 `json:"claims"`
	StoredBytes int64 `json:"storedBytes"`
}

// Stats returns the number of claims and the size of their stored answers.
func (h *Home) Stats() HomeStats {
	return HomeStats{Claims: h.claimCount.Load(), StoredBytes: h.storedBytes.Load()}
}
