package relay

import (
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/catalog"
)

// pullRetry is how long a peer is not asked again after a failed pull.
const pullRetry = time.Second

// pull is the state of the pulls of one kind; one is in flight at a time.
type pull struct {
	inFlight bool
	from     ids.VMID
	// behindSince is since when a peer is known to be ahead.
	behindSince time.Time
}

// tickPulls pulls from a peer that is ahead.
func (r *Relay) tickPulls(now time.Time) []Action {
	if !r.rules.pull {
		return nil
	}
	var actions []Action
	if from := r.peerAhead(now, &r.list, listRevision, r.members.List().Revision); from != nil {
		r.list.inFlight, r.list.from = true, from.vm.ID
		request := peer.VMListRequest{From: r.members.Self(), Boot: r.boot, After: r.members.List().Revision}
		actions = append(actions, PullVMList{To: from.vm, Request: request, Timeout: from.timeout})
	}
	if !r.startup.ready && !r.startup.mayPull(now) {
		return actions
	}
	if from := r.peerAhead(now, &r.delta, recordRevision, r.catalog.Through()); from != nil {
		r.delta.inFlight, r.delta.from = true, from.vm.ID
		request := peer.DeltaRequest{From: r.members.Self(), Boot: r.boot, After: r.catalog.Through()}
		actions = append(actions, PullDelta{To: from.vm, Request: request, Timeout: from.timeout})
	}
	return actions
}

func recordRevision(l *link) (ids.Revision, time.Time) { return l.records, l.pullFailedAt }

func listRevision(l *link) (ids.Revision, time.Time) { return l.list, l.listPullFailed }

// peerAhead picks the peer to pull from: of those ahead the one with the
// highest revision, and among equals the nearest.
func (r *Relay) peerAhead(now time.Time, state *pull, revision func(*link) (ids.Revision, time.Time), held ids.Revision) *link {
	if state.inFlight {
		return nil
	}
	var best *link
	var bestRevision ids.Revision
	for _, id := range r.linkOrder() {
		l := r.links[id]
		theirs, failedAt := revision(l)
		recently := !failedAt.IsZero() && now.Sub(failedAt) < pullRetry
		if theirs <= held || recently || !l.ready {
			continue
		}
		if best == nil || theirs > bestRevision || (theirs == bestRevision && l.timeout < best.timeout) {
			best, bestRevision = l, theirs
		}
	}
	if best == nil {
		state.behindSince = time.Time{}
		return nil
	}
	if state.behindSince.IsZero() {
		state.behindSince = now
	}
	if r.startup.ready && r.members.IsWatcher() && now.Sub(state.behindSince) < watcherPatience {
		return nil
	}
	return best
}

// OnDeltaRequest answers peer.delta.
func (r *Relay) OnDeltaRequest(request peer.DeltaRequest) peer.DeltaReply {
	delta := r.catalog.Delta(request.After, MaxDeltaBytes)
	return peer.DeltaReply{
		From:    r.members.Self(),
		Boot:    r.boot,
		After:   delta.After,
		Through: delta.Through,
		Full:    delta.Full,
		Events:  delta.Events,
		More:    delta.More,
	}
}

// OnDelta applies the reply to a pull.
func (r *Relay) OnDelta(now time.Time, from ids.VMID, reply peer.DeltaReply) (catalog.Applied, []Action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delta = pull{}
	before := r.catalog.Through()
	var applied catalog.Applied
	if reply.Full {
		applied = r.catalog.ApplySnapshot(reply.Through, reply.Events)
	} else {
		applied = r.catalog.ApplyChanges(reply.After, reply.Through, reply.Events)
	}
	r.advanced(now, before)
	if l, known := r.links[from]; known && r.catalog.Through() == before {
		// The peer restarted or answered late; it is not ahead any more.
		l.records = min(l.records, reply.Through)
	}
	return applied, r.tickPulls(now)
}

// OnDeltaFailure records that a pull failed.
func (r *Relay) OnDeltaFailure(now time.Time, from ids.VMID) []Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delta.inFlight = false
	if l, known := r.links[from]; known {
		l.pullFailedAt = now
	}
	return r.tickPulls(now)
}

// OnVMListRequest answers peer.vmList.
func (r *Relay) OnVMListRequest(request peer.VMListRequest) peer.VMListReply {
	return peer.VMListReply{
		From:  r.members.Self(),
		Boot:  r.boot,
		Lists: r.members.ListsAbove(request.After),
	}
}

// OnVMList takes the reply to a pull of the VM list.
func (r *Relay) OnVMList(now time.Time, from ids.VMID, reply peer.VMListReply) []Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = pull{}
	before := r.members.List().Revision
	for _, list := range reply.Lists {
		r.members.ObserveList(now, list, time.Time{})
	}
	if l, known := r.links[from]; known && r.members.List().Revision == before {
		l.list = min(l.list, before)
	}
	r.refreshLinks(now)
	return r.tickPulls(now)
}

// OnVMListFailure records that a pull of the VM list failed.
func (r *Relay) OnVMListFailure(now time.Time, from ids.VMID) []Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list.inFlight = false
	if l, known := r.links[from]; known {
		l.listPullFailed = now
	}
	return r.tickPulls(now)
}
