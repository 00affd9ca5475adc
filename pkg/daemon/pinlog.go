package daemon

import (
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/admin"
)

// pinLog lists the pins that this VM holds or granted, for the status and for
// giving them back at the end of a drain. It decides nothing.
type pinLog struct {
	mu   sync.Mutex
	pins map[loggedPin]time.Time
}

type loggedPin struct {
	key    peer.PinKey
	holder ids.VMID
}

// granted notes the granted ones of a reply. at is where their term counts
// from.
func (l *pinLog) granted(holder ids.VMID, at time.Time, grants []peer.PinGrant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pins == nil {
		l.pins = make(map[loggedPin]time.Time)
	}
	for _, grant := range grants {
		if grant.Refusal == "" {
			l.pins[loggedPin{grant.Pin, holder}] = at.Add(time.Duration(grant.TermMillis) * time.Millisecond)
		}
	}
}

func (l *pinLog) released(holder ids.VMID, keys []peer.PinKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, key := range keys {
		delete(l.pins, loggedPin{key, holder})
	}
}

// held lists the pins of a holder that still run.
func (l *pinLog) held(now time.Time, holder ids.VMID) []peer.PinKey {
	l.mu.Lock()
	defer l.mu.Unlock()
	var keys []peer.PinKey
	for pin, until := range l.pins {
		if pin.holder == holder && now.Before(until) {
			keys = append(keys, pin.key)
		}
	}
	return keys
}

// status lists the pins that run, by endpoint, and forgets the others.
func (l *pinLog) status(now time.Time) map[ids.EndpointID][]admin.PinStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make(map[ids.EndpointID][]admin.PinStatus)
	for pin, until := range l.pins {
		if !now.Before(until) {
			delete(l.pins, pin)
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
