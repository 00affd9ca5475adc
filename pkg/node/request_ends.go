package node

import (
	"context"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/room"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/peers"
)

const (
	// requestEndsInterval is the pause between messages about ended requests to one
	// owner. A slot is counted as taken for that long after its end, a few hundredths
	// of the time that a request runs.
	requestEndsInterval = 100 * time.Millisecond
	requestEndsTimeout  = 500 * time.Millisecond
	// maxRequestEnds bounds the ends that wait for one owner. Beyond it, the oldest are
	// dropped; the owner then counts those requests until their expected end.
	maxRequestEnds = 512
	// maxRequestEndAge is the age from which an end is no longer sent. An owner that
	// was silent for that long may be another one.
	maxRequestEndAge = 2 * time.Second
)

// requestEnd tells the owner that granted a request that the engine no longer runs it.
type requestEnd struct {
	Endpoint ids.EndpointID `json:"endpoint"`
	Request  ids.RequestID  `json:"request"`
	// AgeMs is the time since the end.
	AgeMs int64 `json:"age"`
	// Complete is set if the answer was complete. Events is the number of its events
	// and RanMs the time from the first to the last.
	Complete bool  `json:"complete,omitempty"`
	Events   int   `json:"events,omitempty"`
	RanMs    int64 `json:"ran,omitempty"`

	endedAt time.Time
}

type requestEndsRequest struct {
	Ends []requestEnd `json:"ends"`
}

type requestEndsReply struct{}

// requestEnds holds the ends that were not sent to their owners yet.
type requestEnds struct {
	mu      sync.Mutex
	byOwner map[ids.VMID][]requestEnd
	// sending holds the owners that have not answered the last message yet.
	sending map[ids.VMID]bool
}

func newRequestEnds() *requestEnds {
	return &requestEnds{byOwner: make(map[ids.VMID][]requestEnd), sending: make(map[ids.VMID]bool)}
}

func (r *requestEnds) beginSending(owner ids.VMID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sending[owner] = true
}

func (r *requestEnds) endSending(owner ids.VMID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.sending, owner)
}

func (r *requestEnds) add(owner ids.VMID, ends ...requestEnd) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := append(r.byOwner[owner], ends...)
	r.byOwner[owner] = list[max(len(list)-maxRequestEnds, 0):]
}

// take removes and returns the ends that are young enough to be sent. Those for owners
// that have not answered the last message stay.
func (r *requestEnds) take(now time.Time) map[ids.VMID][]requestEnd {
	r.mu.Lock()
	defer r.mu.Unlock()
	taken := r.byOwner
	r.byOwner = make(map[ids.VMID][]requestEnd)
	for owner, ends := range taken {
		if r.sending[owner] {
			r.byOwner[owner] = ends
			delete(taken, owner)
			continue
		}
		kept := ends[:0]
		for _, end := range ends {
			if age := now.Sub(end.endedAt); age <= maxRequestEndAge {
				end.AgeMs = age.Milliseconds()
				kept = append(kept, end)
			}
		}
		if len(kept) == 0 {
			delete(taken, owner)
			continue
		}
		taken[owner] = kept
	}
	return taken
}

// recordRequestEnd notes that an engine no longer runs a request whose first byte had
// arrived. A request without one ends with its grant.
func (n *Node) recordRequestEnd(t *sendTracker, complete bool) {
	if t.grant.engineOwner == "" || !t.firstByteSeen {
		return
	}
	n.requestEnds.add(t.grant.engineOwner, requestEnd{
		Endpoint: t.grant.endpoint, Request: t.grant.request, endedAt: time.Now(),
		Complete: complete, Events: t.events, RanMs: t.lastBytes.Sub(t.firstByteAt).Milliseconds(),
	})
}

// requestEndsLoop sends the ends of requests to the owners that granted them.
func (n *Node) requestEndsLoop(ctx context.Context) {
	for ctx.Err() == nil {
		n.sendRequestEnds(ctx)
		sleep(ctx, requestEndsInterval)
	}
}

func (n *Node) sendRequestEnds(ctx context.Context) {
	for owner, ends := range n.requestEnds.take(time.Now()) {
		request := requestEndsRequest{Ends: ends}
		if owner == n.settings.Self() {
			n.engineOwner.requestsEnded(request)
			continue
		}
		n.requestEnds.beginSending(owner)
		n.workers.Go(func() {
			defer n.requestEnds.endSending(owner)
			if _, err := peers.Call[requestEndsReply](ctx, n.peers, owner, methodRequestEnds, requestEndsTimeout, request); err != nil {
				n.countPeerFailure(owner, err)
				n.requestEnds.add(owner, ends...)
			}
		})
	}
}

func (n *Node) handleRequestEnds(_ context.Context, _ peers.Sender, request requestEndsRequest) (requestEndsReply, error) {
	n.engineOwner.requestsEnded(request)
	return requestEndsReply{}, nil
}

// requestsEnded takes ended requests out of the ledgers of their engines, and lets the
// next requests start. Unknown requests are ignored.
func (o *engineOwner) requestsEnded(request requestEndsRequest) {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	changed := make(map[*engine]bool)
	for _, end := range request.Ends {
		if e := o.engines[end.Endpoint]; e != nil {
			e.room.End(now, end.Request, room.Run{
				EndedAt:  now.Add(-time.Duration(max(end.AgeMs, 0)) * time.Millisecond),
				Complete: end.Complete, Events: end.Events, Duration: time.Duration(end.RanMs) * time.Millisecond,
			})
			changed[e] = true
		}
	}
	for e := range changed {
		o.notifyWaiters(now, e)
	}
}
