package ownership

import (
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
)

// ResidencyLookup reports whether an adapter version is resident at an endpoint and
// in which run of its engine. The daemon passes the view that the planner has
// of the endpoints that this VM owns.
type ResidencyLookup func(id ids.EndpointID, ref ids.AdapterRef) (ids.BootID, bool)

// grantedPin is a pin as recorded by the owner that granted it.
type grantedPin struct {
	expiresAt time.Time
	// sequence is the number of the latest message in which the holder
	// requested the pin.
	sequence uint64
}

// GrantPins answers a request for pins as the owner of the endpoints.
func (t *Table) GrantPins(now time.Time, request peer.PinsAcquireRequest, resident ResidencyLookup) peer.PinsAcquireReply {
	t.ObservePeer(now, request.Sender, request.Revision, time.Time{})
	reply := peer.PinsAcquireReply{Sender: t.config.Self, Revision: t.List().Revision}
	for _, pin := range request.Pins {
		reply.Grants = append(reply.Grants, t.GrantPin(now, request.Sender, request.Sequence, pin, resident))
	}
	return reply
}

// GrantPin grants or renews one pin. If it refuses, the Refusal field of the
// result holds the reason.
func (t *Table) GrantPin(now time.Time, holder ids.VMID, sequence uint64, pin peer.PinKey, resident ResidencyLookup) peer.PinGrant {
	grant := peer.PinGrant{Pin: pin}
	boot, ok := resident(pin.Endpoint, pin.Ref)
	if !ok {
		grant.Refusal = peer.PinNotResident
		return grant
	}
	err := t.withOwned(pin.Endpoint, func(state *endpointState, _ ids.Revision) error {
		if err := t.checkGrant(now, state, pin.Ref); err != nil {
			return err
		}
		term := t.config.Terms.PinTerm
		state.addPin(pin.Ref, holder, sequence, now.Add(term+DriftMargin(term)))
		return nil
	})
	if err != nil {
		grant.Refusal = pinRefusalFor(err)
		return grant
	}
	grant.TermMillis = t.config.Terms.PinTerm.Milliseconds()
	grant.EndpointBoot = boot
	return grant
}

// checkGrant returns nil if a pin on the adapter version may be granted now.
// The caller holds the locks.
func (t *Table) checkGrant(now time.Time, state *endpointState, ref ids.AdapterRef) error {
	if t.rules.checkAuthority {
		if err := t.authority.checkGrant(now); err != nil {
			return err
		}
	}
	if now.Before(state.ordersAllowedFrom) {
		return ErrHandoverPending
	}
	if now.Before(state.evictingUntil[ref]) {
		return ErrEvicting
	}
	return nil
}

func pinRefusalFor(err error) peer.PinRefusal {
	switch err {
	case ErrNotOwner:
		return peer.PinNotOwner
	case ErrHandoverPending:
		return peer.PinHandover
	case ErrEvicting:
		return peer.PinEvicting
	}
	return peer.PinNoAuthority
}

// addPin records a pin. It never shortens an existing one: a message that is
// repeated or arrives out of order must not end a lease on which the holder
// still relies.
func (e *endpointState) addPin(ref ids.AdapterRef, holder ids.VMID, sequence uint64, expiresAt time.Time) {
	holders, ok := e.pins[ref]
	if !ok {
		holders = make(map[ids.VMID]grantedPin)
		e.pins[ref] = holders
	}
	pin := holders[holder]
	if expiresAt.After(pin.expiresAt) {
		pin.expiresAt = expiresAt
	}
	pin.sequence = max(pin.sequence, sequence)
	holders[holder] = pin
}

// Release ends pins before their leases expire. The holder guarantees that no
// request is in flight under them. A release is ignored if it is older than
// the latest request for the pin.
func (t *Table) Release(request peer.PinsReleaseRequest) {
	for _, pin := range request.Pins {
		shard := t.shard(pin.Endpoint)
		shard.mu.Lock()
		if state, ok := shard.endpoints[pin.Endpoint]; ok {
			state.releasePin(request.Sender, request.Sequence, pin.Ref)
		}
		shard.mu.Unlock()
	}
}

func (e *endpointState) releasePin(holder ids.VMID, sequence uint64, ref ids.AdapterRef) {
	holders := e.pins[ref]
	if pin, ok := holders[holder]; !ok || pin.sequence > sequence {
		return
	}
	delete(holders, holder)
	if len(holders) == 0 {
		delete(e.pins, ref)
	}
}

// Sweep removes expired pins and eviction entries. The daemon calls it every
// few seconds.
func (t *Table) Sweep(now time.Time) {
	for i := range t.shards {
		shard := &t.shards[i]
		shard.mu.Lock()
		for _, state := range shard.endpoints {
			state.dropExpired(now)
		}
		shard.mu.Unlock()
	}
}

func (e *endpointState) dropExpired(now time.Time) {
	for ref, holders := range e.pins {
		for holder, pin := range holders {
			if !now.Before(pin.expiresAt) {
				delete(holders, holder)
			}
		}
		if len(holders) == 0 {
			delete(e.pins, ref)
		}
	}
	for ref, expiresAt := range e.evictingUntil {
		if !now.Before(expiresAt) {
			delete(e.evictingUntil, ref)
		}
	}
}

// PinCount returns the number of valid pins, for status pages.
func (t *Table) PinCount(now time.Time) int {
	count := 0
	for i := range t.shards {
		shard := &t.shards[i]
		shard.mu.Lock()
		for _, state := range shard.endpoints {
			for _, holders := range state.pins {
				for _, pin := range holders {
					if now.Before(pin.expiresAt) {
						count++
					}
				}
			}
		}
		shard.mu.Unlock()
	}
	return count
}
