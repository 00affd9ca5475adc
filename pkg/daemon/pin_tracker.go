package daemon

import (
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/admin"
)

// pinTracker tracks the pins that this VM holds or has granted, for the
// status and for releasing them at the end of a drain. It makes no decisions.
type pinTracker struct {
	mu sync.Mutex
	// expiry is when each pin ends.
	expiry map[trackedPin]time.Time
}

// trackedPin identifies a pin of one holder.
type trackedPin struct {
	key    peer.PinKey
	holder ids.VMID
}

// addGranted adds the pins that a reply grants. at is the time from which
// their terms count.
func (l *pinTracker) addGranted(holder ids.VMID, at time.Time, grants []peer.PinGrant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.expiry == nil {
		l.expiry = make(map[trackedPin]time.Time)
	}
	for _, grant := range grants {
		if grant.Refusal == "" {
			l.expiry[trackedPin{grant.Pin, holder}] = at.Add(time.Duration(grant.TermMillis) * time.Millisecond)
		}
	}
}

func (l *pinTracker) remove(holder ids.VMID, keys []peer.PinKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, key := range keys {
		delete(l.expiry, trackedPin{key, holder})
	}
}

// heldBy returns the pins of a holder that have not expired.
func (l *pinTracker) heldBy(now time.Time, holder ids.VMID) []peer.PinKey {
	l.mu.Lock()
	defer l.mu.Unlock()
	var keys []peer.PinKey
	for pin, until := range l.expiry {
		if pin.holder == holder && now.Before(until) {
			keys = append(keys, pin.key)
		}
	}
	return keys
}

// status returns the pins that have not expired by endpoint, and removes
// expired ones.
func (l *pinTracker) status(now time.Time) map[ids.EndpointID][]admin.PinStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make(map[ids.EndpointID][]admin.PinStatus)
	for pin, until := range l.expiry {
		if !now.Before(until) {
			delete(l.expiry, pin)
			continue
		}
		list[pin.key.Endpoint] = append(list[pin.key.Endpoint], admin.PinStatus{
			Model:           pin.key.Ref.String(),
			Holder:          pin.holder,
			RemainingMillis: until.Sub(now).Milliseconds(),
		})
	}
	return list
}
