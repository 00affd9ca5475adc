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

// PinHolder tracks the pins that this VM holds and the requests in flight
// under them. It is safe for concurrent use.
type PinHolder struct {
	terms Terms
	// requirePin makes Begin refuse requests that no pin covers. Tests switch
	// it off.
	requirePin bool
	sequence   atomic.Uint64
	shards     [shardCount]holderShard
}

type holderShard struct {
	mu   sync.Mutex
	pins map[peer.PinKey]*heldPin
	// released maps each released pin to the sequence number of its release.
	// Grants that were requested before the release are ignored, because the
	// owner may have processed the release after them.
	released map[peer.PinKey]releasedPin
}

// releasedPin is the release of a pin, with its sequence number.
type releasedPin struct {
	sequence uint64
	at       time.Time
}

// heldPin is a pin as recorded by the VM that holds it.
type heldPin struct {
	expiresAt time.Time
	boot      ids.BootID
	// renewalAskedAt is when a renewal was last requested; it limits the rate
	// of renewal requests.
	renewalAskedAt time.Time
	lastUsedAt     time.Time
	inFlight       int
}

// renewalRetryInterval is the minimum time between two renewal requests for
// the same pin. It covers the timeout of one request.
const renewalRetryInterval = time.Second

// NewPinHolder returns a PinHolder without pins.
func NewPinHolder(terms Terms) *PinHolder {
	h := &PinHolder{terms: terms, requirePin: true}
	for i := range h.shards {
		h.shards[i].pins = make(map[peer.PinKey]*heldPin)
		h.shards[i].released = make(map[peer.PinKey]releasedPin)
	}
	return h
}

func (h *PinHolder) shard(key peer.PinKey) *holderShard {
	return &h.shards[xxh3.HashString(string(key.Ref.Adapter))%shardCount]
}

// NextSequence returns the sequence number for a new PinsAcquireRequest. A
// PinsReleaseRequest takes its number from Maintain instead.
func (h *PinHolder) NextSequence() uint64 {
	return h.sequence.Add(1)
}

// ApplyGrants applies the grants in the reply to the request with the given
// sequence number. askedAt is when the request was sent: the lease is counted
// from then, so that it ends for the holder before it ends for the owner.
// Grants are ignored if they arrive after their lease has ended or if they
// were requested before the pin was released.
func (h *PinHolder) ApplyGrants(now, askedAt time.Time, sequence uint64, grants []peer.PinGrant) {
	for _, grant := range grants {
		expiresAt := askedAt.Add(time.Duration(grant.TermMillis) * time.Millisecond)
		if grant.Refusal != "" || !now.Before(expiresAt) {
			continue
		}
		h.grant(now, sequence, grant, expiresAt)
	}
}

func (h *PinHolder) grant(now time.Time, sequence uint64, grant peer.PinGrant, expiresAt time.Time) {
	shard := h.shard(grant.Pin)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if sequence < shard.released[grant.Pin].sequence {
		return
	}
	held, ok := shard.pins[grant.Pin]
	if !ok {
		held = &heldPin{lastUsedAt: now}
		shard.pins[grant.Pin] = held
	}
	if expiresAt.After(held.expiresAt) {
		held.expiresAt = expiresAt
		held.boot = grant.EndpointBoot
	}
}

// Covers reports whether a pin lasts until the deadline. Routing uses it to
// prefer endpoints that need no further message; dispatch must use Begin.
func (h *PinHolder) Covers(now time.Time, key peer.PinKey, deadline time.Time) bool {
	shard := h.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	held, ok := shard.pins[key]
	return ok && now.Before(held.expiresAt) && !deadline.After(held.expiresAt)
}

// Begin registers a request in flight under a pin. It reports false if no pin
// covers the request until its deadline; the request must not be sent then.
// The caller calls it right before it sends the request, and End when the
// request has ended.
func (h *PinHolder) Begin(now time.Time, key peer.PinKey, deadline time.Time) bool {
	shard := h.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	held, ok := shard.pins[key]
	if !h.requirePin && !ok {
		held, ok = &heldPin{expiresAt: deadline}, true
		shard.pins[key] = held
	}
	if !ok {
		return false
	}
	if h.requirePin && (!now.Before(held.expiresAt) || deadline.After(held.expiresAt)) {
		return false
	}
	held.inFlight++
	held.lastUsedAt = now
	return true
}

// End registers the end of a request for which Begin returned true.
func (h *PinHolder) End(key peer.PinKey) {
	shard := h.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if held, ok := shard.pins[key]; ok && held.inFlight > 0 {
		held.inFlight--
	}
}

// ObserveBoot drops the pins on an endpoint that were granted for another run
// of its engine: the adapters that they protected are no longer loaded.
func (h *PinHolder) ObserveBoot(id ids.EndpointID, boot ids.BootID) {
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

// PinMaintenance lists the pin requests that the daemon must send to the owners.
type PinMaintenance struct {
	// Renew lists the pins to renew. They are still held.
	Renew []peer.PinKey
	// Release lists the pins to release with the sequence number
	// ReleaseSequence. They are no longer held.
	Release         []peer.PinKey
	ReleaseSequence uint64
}

// Maintain drops expired pins and returns the pins to renew and to release. The
// daemon calls it about every second and sends the keys to the owners of the
// endpoints.
func (h *PinHolder) Maintain(now time.Time) PinMaintenance {
	maintenance := PinMaintenance{ReleaseSequence: h.NextSequence()}
	for i := range h.shards {
		h.maintainShard(now, &h.shards[i], &maintenance)
	}
	sortPinKeys(maintenance.Renew)
	sortPinKeys(maintenance.Release)
	return maintenance
}

func (h *PinHolder) maintainShard(now time.Time, shard *holderShard, maintenance *PinMaintenance) {
	shard.mu.Lock()
	defer shard.mu.Unlock()
	for key, held := range shard.pins {
		switch h.nextAction(now, held) {
		case pinDrop:
			delete(shard.pins, key)
		case pinRelease:
			delete(shard.pins, key)
			shard.released[key] = releasedPin{sequence: maintenance.ReleaseSequence, at: now}
			maintenance.Release = append(maintenance.Release, key)
		case pinRenew:
			held.renewalAskedAt = now
			maintenance.Renew = append(maintenance.Renew, key)
		}
	}
	for key, release := range shard.released {
		if now.Sub(release.at) > h.terms.PinTerm {
			delete(shard.released, key)
		}
	}
}

// pinAction is what the maintenance of pins does with one pin.
type pinAction int

const (
	pinKeep pinAction = iota
	pinDrop
	pinRelease
	pinRenew
)

// nextAction returns what to do with a pin now: drop it after its lease, release
// it if it is idle, renew it if its lease ends soon, or keep it.
func (h *PinHolder) nextAction(now time.Time, held *heldPin) pinAction {
	inUse := held.inFlight > 0
	if !now.Before(held.expiresAt) && !inUse {
		return pinDrop
	}
	recentlyAsked := now.Sub(held.renewalAskedAt) < renewalRetryInterval
	if !inUse && !recentlyAsked && now.Sub(held.lastUsedAt) >= h.terms.PinIdleTimeout {
		return pinRelease
	}
	if !recentlyAsked && held.expiresAt.Sub(now) <= h.terms.PinRenewThreshold {
		return pinRenew
	}
	return pinKeep
}

func sortPinKeys(keys []peer.PinKey) {
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].Endpoint != keys[j].Endpoint {
			return keys[i].Endpoint < keys[j].Endpoint
		}
		return keys[i].Ref.String() < keys[j].Ref.String()
	})
}
