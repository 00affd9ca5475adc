package ownership

import (
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
)

// Residency tells in which run of its engine an adapter version is resident.
// The daemon passes the Planner's view of its own endpoints.
type Residency func(id ids.EndpointID, ref ids.AdapterRef) (ids.BootID, bool)

// grantedPin is a pin as its granter knows it.
type grantedPin struct {
	until time.Time
	// sequence is that of the latest message by which the holder asked for it.
	sequence uint64
}

// Grant answers a request for pins as the owner.
func (t *Table) Grant(now time.Time, request peer.PinsAcquireRequest, resident Residency) peer.PinsAcquireReply {
	t.ObservePeer(now, request.Sender, request.Revision, time.Time{})
	reply := peer.PinsAcquireReply{Sender: t.cfg.Self, Revision: t.List().Revision}
	for _, pin := range request.Pins {
		reply.Grants = append(reply.Grants, t.GrantPin(now, request.Sender, request.Sequence, pin, resident))
	}
	return reply
}

// GrantPin grants or renews one pin, or tells why not.
func (t *Table) GrantPin(now time.Time, holder ids.VMID, sequence uint64, pin peer.PinKey, resident Residency) peer.PinGrant {
	grant := peer.PinGrant{Pin: pin}
	boot, ok := resident(pin.Endpoint, pin.Ref)
	if !ok {
		grant.Refusal = peer.PinNotResident
		return grant
	}
	err := t.with(pin.Endpoint, func(known *endpoint, _ ids.Revision) error {
		if err := t.mayGrant(now, known, pin.Ref); err != nil {
			return err
		}
		term := t.cfg.Terms.PinTerm
		known.addPin(pin.Ref, holder, sequence, now.Add(term+DriftMargin(term)))
		return nil
	})
	if err != nil {
		grant.Refusal = refusalOf(err)
		return grant
	}
	grant.TermMillis = t.cfg.Terms.PinTerm.Milliseconds()
	grant.EndpointBoot = boot
	return grant
}

func (t *Table) mayGrant(now time.Time, known *endpoint, ref ids.AdapterRef) error {
	if t.rules.authorityCheck {
		if err := t.view.mayGrant(now); err != nil {
			return err
		}
	}
	if now.Before(known.ordersFrom) {
		return ErrHandover
	}
	if now.Before(known.evicting[ref]) {
		return ErrEvicting
	}
	return nil
}

func refusalOf(err error) peer.PinRefusal {
	switch err {
	case ErrNotOwner:
		return peer.PinNotOwner
	case ErrHandover:
		return peer.PinHandover
	case ErrEvicting:
		return peer.PinEvicting
	}
	return peer.PinNoAuthority
}

// addPin never shortens a pin: a repeated or crossed message must not end a
// term that the holder still counts on.
func (e *endpoint) addPin(ref ids.AdapterRef, holder ids.VMID, sequence uint64, until time.Time) {
	holders, ok := e.pins[ref]
	if !ok {
		holders = make(map[ids.VMID]grantedPin)
		e.pins[ref] = holders
	}
	pin := holders[holder]
	if until.After(pin.until) {
		pin.until = until
	}
	pin.sequence = max(pin.sequence, sequence)
	holders[holder] = pin
}

// Release takes pins back before their term ends. The holder promises that no
// request runs under them. A release that is older than the latest request for
// the pin has no effect.
func (t *Table) Release(request peer.PinsReleaseRequest) {
	for _, pin := range request.Pins {
		shard := t.shard(pin.Endpoint)
		shard.mu.Lock()
		if known, ok := shard.endpoints[pin.Endpoint]; ok {
			known.release(request.Sender, request.Sequence, pin.Ref)
		}
		shard.mu.Unlock()
	}
}

func (e *endpoint) release(holder ids.VMID, sequence uint64, ref ids.AdapterRef) {
	holders := e.pins[ref]
	if pin, ok := holders[holder]; !ok || pin.sequence > sequence {
		return
	}
	delete(holders, holder)
	if len(holders) == 0 {
		delete(e.pins, ref)
	}
}

// Sweep forgets pins and evictions whose time has passed. The daemon calls it
// every few seconds.
func (t *Table) Sweep(now time.Time) {
	for i := range t.shards {
		shard := &t.shards[i]
		shard.mu.Lock()
		for _, known := range shard.endpoints {
			known.sweep(now)
		}
		shard.mu.Unlock()
	}
}

func (e *endpoint) sweep(now time.Time) {
	for ref, holders := range e.pins {
		for holder, pin := range holders {
			if !now.Before(pin.until) {
				delete(holders, holder)
			}
		}
		if len(holders) == 0 {
			delete(e.pins, ref)
		}
	}
	for ref, until := range e.evicting {
		if !now.Before(until) {
			delete(e.evicting, ref)
		}
	}
}

// PinCount returns the number of pins that run, for status pages.
func (t *Table) PinCount(now time.Time) int {
	count := 0
	for i := range t.shards {
		shard := &t.shards[i]
		shard.mu.Lock()
		for _, known := range shard.endpoints {
			for _, holders := range known.pins {
				for _, pin := range holders {
					if now.Before(pin.until) {
						count++
					}
				}
			}
		}
		shard.mu.Unlock()
	}
	return count
}
