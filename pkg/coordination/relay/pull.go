package relay

import (
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/catalog"
)

// pullRetryDelay is how long a peer is not asked again after a failed pull.
const pullRetryDelay = time.Second

// pullState is the state of the pulls of one kind. At most one pull of a kind
// is in flight.
type pullState struct {
	inFlight bool
	from     ids.VMID
	// behindSince is since when a peer has been known to be ahead of this VM.
	behindSince time.Time
}

// tickPulls returns the pulls from peers that are ahead of this VM.
func (r *Relay) tickPulls(now time.Time) []Action {
	if !r.rules.pull {
		return nil
	}
	var actions []Action
	if from := r.choosePullPeer(now, &r.list, listPullInfo, r.members.List().Revision); from != nil {
		r.list.inFlight, r.list.from = true, from.vm.ID
		request := peer.VMListRequest{From: r.members.Self(), Boot: r.boot, After: r.members.List().Revision}
		actions = append(actions, PullVMList{To: from.vm, Request: request, Timeout: from.timeout})
	}
	if !r.startup.ready && !r.startup.mayPull(now) {
		return actions
	}
	if from := r.choosePullPeer(now, &r.delta, recordPullInfo, r.catalog.CompleteThrough()); from != nil {
		r.delta.inFlight, r.delta.from = true, from.vm.ID
		request := peer.DeltaRequest{From: r.members.Self(), Boot: r.boot, After: r.catalog.CompleteThrough()}
		actions = append(actions, PullDelta{To: from.vm, Request: request, Timeout: from.timeout})
	}
	return actions
}

// recordPullInfo returns a peer's revision of the records and when a pull of
// them last failed.
func recordPullInfo(l *link) (ids.Revision, time.Time) { return l.records, l.deltaPullFailedAt }

// listPullInfo returns a peer's revision of the VM list and when a pull of it
// last failed.
func listPullInfo(l *link) (ids.Revision, time.Time) { return l.list, l.listPullFailedAt }

// choosePullPeer returns the peer to pull from: the one with the highest
// revision above ownRevision, and among equals the nearest one. It returns
// nil if no peer is ahead, or if a watcher should still wait for its own
// read.
func (r *Relay) choosePullPeer(now time.Time, state *pullState, revision func(*link) (ids.Revision, time.Time), ownRevision ids.Revision) *link {
	if state.inFlight {
		return nil
	}
	var best *link
	var bestRevision ids.Revision
	for _, id := range r.sortedLinkIDs() {
		l := r.links[id]
		peerRevision, failedAt := revision(l)
		failedRecently := !failedAt.IsZero() && now.Sub(failedAt) < pullRetryDelay
		if peerRevision <= ownRevision || failedRecently || !l.ready {
			continue
		}
		if best == nil || peerRevision > bestRevision || (peerRevision == bestRevision && l.timeout < best.timeout) {
			best, bestRevision = l, peerRevision
		}
	}
	if best == nil {
		state.behindSince = time.Time{}
		return nil
	}
	if state.behindSince.IsZero() {
		state.behindSince = now
	}
	if r.startup.ready && r.members.IsWatcher() && now.Sub(state.behindSince) < watcherPullDelay {
		return nil
	}
	return best
}

// OnDeltaRequest answers a peer.delta request.
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

// OnDelta applies the reply to a pull of records.
func (r *Relay) OnDelta(now time.Time, from ids.VMID, reply peer.DeltaReply) (catalog.ApplyResult, []Action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delta = pullState{}
	before := r.catalog.CompleteThrough()
	var applied catalog.ApplyResult
	if reply.Full {
		applied = r.catalog.ApplySnapshot(reply.Through, reply.Events)
	} else {
		applied = r.catalog.ApplyChanges(reply.After, reply.Through, reply.Events)
	}
	r.onCatalogAdvanced(now, before)
	if l, known := r.links[from]; known && r.catalog.CompleteThrough() == before {
		// The reply brought nothing new: the peer restarted or answered late
		// and is no longer ahead.
		l.records = min(l.records, reply.Through)
	}
	return applied, r.tickPulls(now)
}

// OnDeltaFailure records that a pull of records failed.
func (r *Relay) OnDeltaFailure(now time.Time, from ids.VMID) []Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delta.inFlight = false
	if l, known := r.links[from]; known {
		l.deltaPullFailedAt = now
	}
	return r.tickPulls(now)
}

// OnVMListRequest answers a peer.vmList request.
func (r *Relay) OnVMListRequest(request peer.VMListRequest) peer.VMListReply {
	return peer.VMListReply{
		From:  r.members.Self(),
		Boot:  r.boot,
		Lists: r.members.ListsAfter(request.After),
	}
}

// OnVMList applies the reply to a pull of the VM list.
func (r *Relay) OnVMList(now time.Time, from ids.VMID, reply peer.VMListReply) []Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = pullState{}
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
		l.listPullFailedAt = now
	}
	return r.tickPulls(now)
}
