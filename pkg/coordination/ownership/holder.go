package ownership

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
)

// Holder keeps the pins that this VM holds. It is safe for concurrent use.
type Holder struct {
	terms Terms
	// pinBeforeDispatch can be switched off in tests.
	pinBeforeDispatch bool
	sequence          atomic.Uint64
	shards            [shardCount]holderShard
}

type holderShard struct {
	mu   sync.Mutex
	pins map[peer.PinKey]*heldPin
	// released holds the sequence up to which grants of given back pins are
	// void, because the owner may have seen the release after them.
	released map[peer.PinKey]releasedPin
}

type releasedPin struct {
	sequence uint64
	at       time.Time
}

type heldPin struct {
	until time.Time
	boot  ids.BootID
	// askedAt is when a renewal was last asked for, to bound the asks.
	askedAt  time.Time
	usedAt   time.Time
	inFlight int
}

// renewalPause is the least time between two asks for the same renewal; it
// covers the timeout of one ask.
const renewalPause = time.Second

// NewHolder returns a holder without pins.
func NewHolder(terms Terms) *Holder {
	h := &Holder{terms: terms, pinBeforeDispatch: true}
	for i := range h.shards {
		h.shards[i].pins = make(map[peer.PinKey]*heldPin)
		h.shards[i].released = make(map[peer.PinKey]releasedPin)
	}
	return h
}

func (h *Holder) shard(key peer.PinKey) *holderShard {
	return &h.shards[xxh3.HashString(string(key.Ref.Adapter))%shardCount]
}

// NextSequence numbers a PinsAcquireRequest. A PinsReleaseRequest takes its
// number from Upkeep.
func (h *Holder) NextSequence() uint64 {
	return h.sequence.Add(1)
}

// Granted takes the grants of a reply to the request with the sequence number.
// askedAt is when the request was sent: the term counts from there, so that
// the holder's term ends before the owner's. Grants that arrive after their
// term, or that were asked for before the pin was given back, have no effect.
func (h *Holder) Granted(now, askedAt time.Time, sequence uint64, grants []peer.PinGrant) {
	for _, grant := range grants {
		until := askedAt.Add(time.Duration(grant.TermMillis) * time.Millisecond)
		if grant.Refusal != "" || !now.Before(until) {
			continue
		}
		h.grant(now, sequence, grant, until)
	}
}

func (h *Holder) grant(now time.Time, sequence uint64, grant peer.PinGrant, until time.Time) {
	shard := h.shard(grant.Pin)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if sequence < shard.released[grant.Pin].sequence {
		return
	}
	held, ok := shard.pins[grant.Pin]
	if !ok {
		held = &heldPin{usedAt: now}
		shard.pins[grant.Pin] = held
	}
	if until.After(held.until) {
		held.until = until
		held.boot = grant.EndpointBoot
	}
}

// Covers tells whether a pin lasts until the deadline. Dispatch uses Begin;
// routing uses Covers to prefer endpoints that need no further message.
func (h *Holder) Covers(now time.Time, key peer.PinKey, deadline time.Time) bool {
	shard := h.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	held, ok := shard.pins[key]
	return ok && now.Before(held.until) && !deadline.After(held.until)
}

// Begin starts a request under a pin. It reports false if no pin covers the
// request up to its deadline; the request must not be sent then. The caller
// calls it right before the request leaves, and End when it has ended.
func (h *Holder) Begin(now time.Time, key peer.PinKey, deadline time.Time) bool {
	shard := h.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	held, ok := shard.pins[key]
	if !h.pinBeforeDispatch && !ok {
		held, ok = &heldPin{until: deadline}, true
		shard.pins[key] = held
	}
	if !ok {
		return false
	}
	if h.pinBeforeDispatch && (!now.Before(held.until) || deadline.After(held.until)) {
		return false
	}
	held.inFlight++
	held.usedAt = now
	return true
}

// End ends a request that Begin started.
func (h *Holder) End(key peer.PinKey) {
	shard := h.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if held, ok := shard.pins[key]; ok && held.inFlight > 0 {
		held.inFlight--
	}
}

// ObserveBoot drops the pins of earlier runs of an engine: what they protected
// is gone.
func (h *Holder) ObserveBoot(id ids.EndpointID, boot ids.BootID) {
	for i := range h.shards {
		shard := &h.shards[i]
		shard.mu.Lock()
		for key, held := range shard.pins {
			if key.Endpoint == id && held.boot != boot {
				delete(shard.pins, key)
			}
		}
		shard.mu.Unlock()
	}
}

// Upkeep is what a Holder wants to be sent.
type Upkeep struct {
	// Renew lists pins to ask for again. They are still held.
	Renew []peer.PinKey
	// Release lists pins to give back, under ReleaseSequence. They are no
	// longer held.
	Release         []peer.PinKey
	ReleaseSequence uint64
}

// Upkeep lists the pins to renew and to give back. The daemon calls it about
// every second and sends the keys to the owners of the endpoints.
func (h *Holder) Upkeep(now time.Time) Upkeep {
	out := Upkeep{ReleaseSequence: h.NextSequence()}
	for i := range h.shards {
		h.upkeepShard(now, &h.shards[i], &out)
	}
	sortKeys(out.Renew)
	sortKeys(out.Release)
	return out
}

func (h *Holder) upkeepShard(now time.Time, shard *holderShard, out *Upkeep) {
	shard.mu.Lock()
	defer shard.mu.Unlock()
	for key, held := range shard.pins {
		switch h.next(now, held) {
		case pinExpired:
			delete(shard.pins, key)
		case pinIdle:
			delete(shard.pins, key)
			shard.released[key] = releasedPin{sequence: out.ReleaseSequence, at: now}
			out.Release = append(out.Release, key)
		case pinDue:
			held.askedAt = now
			out.Renew = append(out.Renew, key)
		}
	}
	for key, given := range shard.released {
		if now.Sub(given.at) > h.terms.PinTerm {
			delete(shard.released, key)
		}
	}
}

type pinStep int

const (
	pinKept pinStep = iota
	pinExpired
	pinIdle
	pinDue
)

func (h *Holder) next(now time.Time, held *heldPin) pinStep {
	busy := held.inFlight > 0
	if !now.Before(held.until) && !busy {
		return pinExpired
	}
	asked := now.Sub(held.askedAt) < renewalPause
	if !busy && !asked && now.Sub(held.usedAt) >= h.terms.IdleRelease {
		return pinIdle
	}
	if !asked && held.until.Sub(now) <= h.terms.RenewBelow {
		return pinDue
	}
	return pinKept
}

func sortKeys(keys []peer.PinKey) {
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].Endpoint != keys[j].Endpoint {
			return keys[i].Endpoint < keys[j].Endpoint
		}
		return keys[i].Ref.String() < keys[j].Ref.String()
	})
}
