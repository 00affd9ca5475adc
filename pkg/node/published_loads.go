package node

import (
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/endpointload"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
)

// publishedLoad is the load of an engine as its owner publishes it: the free slots, the
// time until the next start and the age of both, in ms.
type publishedLoad [3]int64

// ownLoadInterval is how long the summaries of owned engines are sent again before they
// are computed anew. A relay sends messages to many VMs in that time.
const ownLoadInterval = 50 * time.Millisecond

// ownLoadsClock says when the summaries of owned engines are due.
type ownLoadsClock struct {
	mu         sync.Mutex
	computedAt time.Time
	loggedAt   time.Time
}

// logDue reports whether the published loads are to be logged.
func (c *ownLoadsClock) logDue(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.loggedAt) < roomLogInterval {
		return false
	}
	c.loggedAt = now
	return true
}

func (c *ownLoadsClock) due(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.computedAt) < ownLoadInterval {
		return false
	}
	c.computedAt = now
	return true
}

// ownLoads returns the summaries of the owned engines that stated their load lately.
func (o *engineOwner) ownLoads(now time.Time) map[ids.EndpointID]endpointload.Summary {
	summaries := make(map[ids.EndpointID]endpointload.Summary)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stated.mu.Lock()
	defer o.stated.mu.Unlock()
	for id, e := range o.engines {
		if e.fence != 0 && o.stated.loads.Fresh(now, id) {
			free, wait := e.room.NextStart(now)
			summaries[id] = endpointload.Summary{Free: free, Wait: wait}
		}
	}
	return summaries
}

// publishedLoads returns the known summaries of the engines that include selects.
func (n *Node) publishedLoads(now time.Time, include func(ids.EndpointID) bool) map[ids.EndpointID]publishedLoad {
	if n.ownLoadsClock.due(now) {
		own := n.engineOwner.ownLoads(now)
		n.engineStarts.mu.Lock()
		for id, summary := range own {
			n.engineStarts.starts.Published.Record(now, id, summary)
		}
		n.engineStarts.mu.Unlock()
		if len(own) > 0 && n.ownLoadsClock.logDue(now) {
			free, waiting := 0, 0
			for _, summary := range own {
				free += summary.Free
				if summary.Wait > 0 {
					waiting++
				}
			}
			n.logInfo("loads of engines published", fields{"step": "publish loads", "engines": len(own), "freeSlots": free, "withWait": waiting})
		}
	}
	n.engineStarts.mu.Lock()
	selected := n.engineStarts.starts.Published.Select(now, include)
	n.engineStarts.mu.Unlock()
	n.metrics.publishedLoads.Update(float64(len(selected)))
	loads := make(map[ids.EndpointID]publishedLoad, len(selected))
	for id, summary := range selected {
		loads[id] = publishedLoad{int64(summary.Free), summary.Wait.Milliseconds(), summary.Age.Milliseconds()}
	}
	return loads
}

// applyPublishedLoads records the summaries that a peer sent, of engines that this VM
// lists.
func (n *Node) applyPublishedLoads(now time.Time, loads map[ids.EndpointID]publishedLoad) {
	if len(loads) == 0 {
		return
	}
	listed := n.directory.View().Endpoints
	n.engineStarts.mu.Lock()
	defer n.engineStarts.mu.Unlock()
	for id, load := range loads {
		// Larger figures overflow a duration; they are out of bounds anyway.
		if listed[id] == nil || load[2] < 0 || load[2] > endpointload.MaxPublishedAge.Milliseconds() {
			continue
		}
		n.engineStarts.starts.Published.Record(now, id, endpointload.Summary{
			Free: int(min(max(load[0], 0), maxPublishedFigure)),
			Wait: time.Duration(min(max(load[1], 0), maxPublishedFigure)) * time.Millisecond,
			Age:  time.Duration(load[2]) * time.Millisecond,
		})
	}
}

// maxPublishedFigure bounds the free slots and the wait in ms that a peer may state.
const maxPublishedFigure = 1 << 20

// startLoad returns the load of an engine for the choice of a start: the requests that its
// owner published, or else those that VMs counted. The caller holds balanceMu and
// engineStarts.mu.
func (n *Node) startLoad(now time.Time, p *requestState, e *serving.Endpoint) float64 {
	summary, fresh := n.engineStarts.starts.Published.Get(now, e.ID)
	service := p.request.Service
	if !fresh || service == nil || service.Engine == nil || service.Engine.Batch <= 0 {
		return n.balancer.Jittered(now, e.ID, p.pickSalt)
	}
	return n.balancer.JitteredWith(now, e.ID, p.pickSalt, max(service.Engine.Batch-summary.Free, 0))
}

// forgetPublishedLoad removes the summary of an engine that has restarted.
func (n *Node) forgetPublishedLoad(id ids.EndpointID) {
	n.engineStarts.mu.Lock()
	defer n.engineStarts.mu.Unlock()
	n.engineStarts.starts.Published.Forget(id)
}
