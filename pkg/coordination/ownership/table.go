package ownership

import (
	"sort"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
)

// shardCount is the number of locks over which endpoints are spread, so that
// requests for different endpoints rarely share a lock.
const shardCount = 16

// rules selects the safety rules that are enforced. Tests switch them off one
// by one to show which failure each of them prevents.
type rules struct {
	checkAuthority  bool
	waitForHandover bool
	enforcePins     bool
}

func allRules() rules {
	return rules{checkAuthority: true, waitForHandover: true, enforcePins: true}
}

// Config identifies the VM that a Table belongs to and holds the lease
// durations that all VMs share.
type Config struct {
	Self       ids.VMID
	DataCentre ids.DataCentreID
	Terms      Terms
}

// Table holds the ownership state of one VM: its VM list, the endpoints of its
// data centre, and the pins that it has granted. It is safe for concurrent
// use. The lock of authority is taken before the lock of a shard.
type Table struct {
	config    Config
	rules     rules
	authority authorityState
	shards    [shardCount]tableShard
}

type tableShard struct {
	mu        sync.Mutex
	endpoints map[ids.EndpointID]*endpointState
}

// endpointState is what this VM knows about one endpoint as its current or
// former owner. The lock of the shard guards it.
type endpointState struct {
	fencing bool
	owned   bool
	// ownedSince is the list revision from which this VM has been the owner
	// without interruption; ownedThrough is the last such revision.
	ownedSince   ids.Revision
	ownedThrough ids.Revision
	// handoverCandidates lists the VMs to ask for a handover. handoverAnswered
	// is set when the former owner has answered.
	handoverCandidates []ids.VMID
	handoverAnswered   bool
	// A former owner may still send orders before ordersAllowedFrom and grant
	// pins before formerGrantsEnd. The pins it granted may still be in use
	// before evictionsAllowedFrom.
	ordersAllowedFrom    time.Time
	formerGrantsEnd      time.Time
	evictionsAllowedFrom time.Time
	// acceptedFence is the highest fencing token of this VM that the engine
	// has accepted.
	acceptedFence ids.FencingToken
	// loadedAfterHandover holds the adapters whose load was ordered after
	// formerGrantsEnd. No former owner can have granted pins on them, so
	// evictionsAllowedFrom does not delay their eviction.
	loadedAfterHandover map[ids.AdapterRef]bool
	pins                map[ids.AdapterRef]map[ids.VMID]grantedPin
	// evictingUntil holds the adapters that an eviction order may still
	// remove, with the time until which no pin is granted on them.
	evictingUntil map[ids.AdapterRef]time.Time
}

// ChangeKind says how ownership of an endpoint changed.
type ChangeKind int

// Kinds of ownership changes.
const (
	// Gained means that this VM now owns the endpoint and must send a handover
	// request to the VMs in HandoverCandidates.
	Gained ChangeKind = iota + 1
	// Lost means that this VM no longer owns the endpoint.
	Lost
)

// Change is a change of the ownership of one endpoint, on which the daemon
// must act.
type Change struct {
	Kind     ChangeKind
	Endpoint ids.EndpointID
	// Revision is the list revision of the change. The daemon copies it to
	// HandoverRequest.
	Revision ids.Revision
	// HandoverCandidates lists the VMs to send a handover request to: the former owner if it
	// is known, otherwise every other VM of the data centre, since any of them
	// may know the previous list.
	HandoverCandidates []ids.VMID
}

// New returns an empty table. start is the current time.
func New(config Config, start time.Time) *Table {
	t := &Table{config: config, rules: allRules()}
	t.authority = authorityState{
		self: config.Self, dataCentre: config.DataCentre, terms: config.Terms,
		peerReports: make(map[ids.VMID]peerReport), lastTickAt: start, resumedAt: start,
	}
	for i := range t.shards {
		t.shards[i].endpoints = make(map[ids.EndpointID]*endpointState)
	}
	return t
}

func (t *Table) shard(id ids.EndpointID) *tableShard {
	return &t.shards[xxh3.HashString(string(id))%shardCount]
}

// Tick records that the process is running. The daemon calls it at least every
// second, so that a pause of the process is noticed.
func (t *Table) Tick(now time.Time) {
	t.authority.mu.Lock()
	defer t.authority.mu.Unlock()
	t.authority.recordTick(now)
}

// SetEndpoint adds or updates an endpoint of this VM's data centre. An
// endpoint whose record names another data centre is removed.
func (t *Table) SetEndpoint(now time.Time, id ids.EndpointID, record records.Endpoint) []Change {
	if record.DataCentre != t.config.DataCentre {
		return t.RemoveEndpoint(id)
	}
	t.authority.mu.RLock()
	defer t.authority.mu.RUnlock()
	shard := t.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	state, ok := shard.endpoints[id]
	if ok {
		state.fencing = record.Fencing
		return nil
	}
	added := &endpointState{
		fencing:             record.Fencing,
		loadedAfterHandover: make(map[ids.AdapterRef]bool),
		pins:                make(map[ids.AdapterRef]map[ids.VMID]grantedPin),
		evictingUntil:       make(map[ids.AdapterRef]time.Time),
	}
	shard.endpoints[id] = added
	return t.updateOwnership(now, id, added)
}

// RemoveEndpoint drops the state of an endpoint whose record was withdrawn.
func (t *Table) RemoveEndpoint(id ids.EndpointID) []Change {
	shard := t.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	state, ok := shard.endpoints[id]
	delete(shard.endpoints, id)
	if ok && state.owned {
		return []Change{{Kind: Lost, Endpoint: id}}
	}
	return nil
}

// ObserveList applies a VM list. platformReadAt is when the platform read that
// returned the list was started, on this VM's clock; it is zero if the age of
// the list is not known. Lists older than the current one are ignored.
func (t *Table) ObserveList(now time.Time, list platformapi.VMList, platformReadAt time.Time) []Change {
	t.authority.mu.Lock()
	defer t.authority.mu.Unlock()
	t.authority.recordTick(now)
	if list.Revision < t.authority.list.Revision {
		return nil
	}
	if list.Revision == t.authority.list.Revision {
		t.authority.confirmFromPlatform(platformReadAt)
		return nil
	}
	t.authority.previousList = t.authority.list
	t.authority.list = list
	t.authority.platformReadAt = time.Time{}
	t.authority.confirmFromPlatform(platformReadAt)
	if list.Revision > t.authority.highestRevision {
		t.authority.highestRevision = list.Revision
	}
	return t.updateAllOwnership(now)
}

// ObservePeer records the list revision that a peer reported. asOf is a time
// on this VM's clock at which the report was certainly either still true or
// not yet made, such as the time at which the heartbeat that the peer answered
// was sent. It is zero for a message that does not answer a message of this
// VM.
func (t *Table) ObservePeer(now time.Time, from ids.VMID, revision ids.Revision, asOf time.Time) {
	t.authority.mu.Lock()
	defer t.authority.mu.Unlock()
	t.authority.recordTick(now)
	t.authority.observePeer(from, revision, asOf)
}

func (t *Table) updateAllOwnership(now time.Time) []Change {
	var changes []Change
	for i := range t.shards {
		shard := &t.shards[i]
		shard.mu.Lock()
		for id, state := range shard.endpoints {
			changes = append(changes, t.updateOwnership(now, id, state)...)
		}
		shard.mu.Unlock()
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Endpoint < changes[j].Endpoint })
	return changes
}

// updateOwnership applies the current list to one endpoint. A VM that owned
// the endpoint under the directly preceding list remains the owner without a
// handover. If any revision in between was missed, ownership starts anew,
// because another VM may have been the owner under it.
func (t *Table) updateOwnership(now time.Time, id ids.EndpointID, state *endpointState) []Change {
	revision := t.authority.list.Revision
	owner, ok := Owner(id, t.config.DataCentre, t.authority.list)
	if !ok || owner != t.config.Self {
		if !state.owned {
			return nil
		}
		state.owned = false
		return []Change{{Kind: Lost, Endpoint: id, Revision: revision}}
	}
	if state.owned && state.ownedThrough+1 >= revision {
		state.ownedThrough = revision
		return nil
	}
	state.owned = true
	state.ownedSince = revision
	state.ownedThrough = revision
	state.loadedAfterHandover = make(map[ids.AdapterRef]bool)
	if t.rules.waitForHandover {
		state.ordersAllowedFrom = now.Add(t.config.Terms.handoverOrderWait())
		state.formerGrantsEnd = state.ordersAllowedFrom
		state.evictionsAllowedFrom = now.Add(t.config.Terms.handoverEvictionWait())
	}
	state.handoverCandidates = t.findHandoverCandidates(id, t.authority.previousList)
	state.handoverAnswered = false
	return []Change{{Kind: Gained, Endpoint: id, Revision: revision, HandoverCandidates: state.handoverCandidates}}
}

// findHandoverCandidates returns the VMs to ask for a handover: the owner
// under the previous list if that list directly precedes the current one,
// otherwise every other VM of the data centre.
func (t *Table) findHandoverCandidates(id ids.EndpointID, previous platformapi.VMList) []ids.VMID {
	if previous.Revision != 0 && previous.Revision+1 == t.authority.list.Revision {
		former, ok := Owner(id, t.config.DataCentre, previous)
		if ok && former != t.config.Self {
			return []ids.VMID{former}
		}
		return nil
	}
	var others []ids.VMID
	for _, vm := range t.authority.list.VMs {
		if vm.DataCentre == t.config.DataCentre && vm.ID != t.config.Self {
			others = append(others, vm.ID)
		}
	}
	return others
}

// Owns reports whether this VM owns the endpoint according to its current
// list, whether or not its authority lease is valid.
func (t *Table) Owns(id ids.EndpointID) bool {
	shard := t.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	state, ok := shard.endpoints[id]
	return ok && state.owned
}

// List returns the current VM list.
func (t *Table) List() platformapi.VMList {
	t.authority.mu.RLock()
	defer t.authority.mu.RUnlock()
	return t.authority.list
}

// CheckAuthority returns nil if the authority lease is valid, and otherwise
// the reason why it is not.
func (t *Table) CheckAuthority(now time.Time) error {
	t.authority.mu.RLock()
	defer t.authority.mu.RUnlock()
	return t.authority.checkLease(now)
}

// withOwned calls f with the state of an endpoint that this VM owns and the
// current list revision. It holds the read lock of authority and the lock of
// the shard during the call. It returns ErrNotOwner if this VM does not own
// the endpoint.
func (t *Table) withOwned(id ids.EndpointID, f func(*endpointState, ids.Revision) error) error {
	t.authority.mu.RLock()
	defer t.authority.mu.RUnlock()
	shard := t.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	state, ok := shard.endpoints[id]
	if !ok || !state.owned {
		return ErrNotOwner
	}
	return f(state, t.authority.list.Revision)
}

// requireLease returns nil if the authority lease is valid or if a test has
// switched the check off.
func (t *Table) requireLease(now time.Time) error {
	if !t.rules.checkAuthority {
		return nil
	}
	return t.authority.checkLease(now)
}

// MayOrder returns nil if an order of any kind may be sent to the endpoint
// now, together with the fencing token to use. The sender calls it as the last
// step before it sends the order.
func (t *Table) MayOrder(now time.Time, id ids.EndpointID) (ids.FencingToken, error) {
	var fence ids.FencingToken
	err := t.withOwned(id, func(state *endpointState, revision ids.Revision) error {
		fence = ids.FencingToken(revision)
		if err := t.requireLease(now); err != nil {
			return err
		}
		if now.Before(state.ordersAllowedFrom) {
			return ErrHandoverPending
		}
		return nil
	})
	return fence, err
}

// MayLoad returns nil if an adapter may be loaded into a free slot now,
// together with the fencing token to use. It allows more than MayOrder: during
// a handover it allows loads into an engine that enforces fencing tokens, and
// a VM that cannot confirm its list may load as long as no peer has reported a
// higher revision.
func (t *Table) MayLoad(now time.Time, id ids.EndpointID) (ids.FencingToken, error) {
	var fence ids.FencingToken
	err := t.withOwned(id, func(state *endpointState, revision ids.Revision) error {
		fence = ids.FencingToken(revision)
		if err := t.requireLease(now); err != nil && err != ErrListUnconfirmed {
			return err
		}
		if now.Before(state.ordersAllowedFrom) && !state.fencing {
			return ErrHandoverPending
		}
		return nil
	})
	return fence, err
}

// MayEvict returns nil if the adapter version may be evicted now.
func (t *Table) MayEvict(now time.Time, id ids.EndpointID, ref ids.AdapterRef) error {
	return t.withOwned(id, func(state *endpointState, _ ids.Revision) error {
		return t.checkEvict(now, state, ref)
	})
}

// checkEvict returns nil if the adapter version may be evicted from an endpoint
// that this VM owns. The caller holds the locks.
func (t *Table) checkEvict(now time.Time, state *endpointState, ref ids.AdapterRef) error {
	if err := t.requireLease(now); err != nil {
		return err
	}
	if now.Before(state.ordersAllowedFrom) {
		return ErrHandoverPending
	}
	if now.Before(state.evictionsAllowedFrom) && !state.loadedAfterHandover[ref] {
		return ErrHandoverPending
	}
	if now.Before(state.evictingUntil[ref]) {
		return ErrEvicting
	}
	if t.rules.enforcePins && state.hasPin(now, ref) {
		return ErrPinned
	}
	return nil
}

func (e *endpointState) hasPin(now time.Time, ref ids.AdapterRef) bool {
	for _, pin := range e.pins[ref] {
		if now.Before(pin.expiresAt) {
			return true
		}
	}
	return false
}

// BeginEvict allows one eviction and refuses new pins on the adapter until the
// order has certainly taken effect or failed. The sender calls it right before
// it sends the order, and EndEvict when it has an answer. Without an answer,
// new pins are refused until MaxOrderDelay has passed.
func (t *Table) BeginEvict(now time.Time, id ids.EndpointID, ref ids.AdapterRef) (ids.FencingToken, error) {
	var fence ids.FencingToken
	err := t.withOwned(id, func(state *endpointState, revision ids.Revision) error {
		if err := t.checkEvict(now, state, ref); err != nil {
			return err
		}
		fence = ids.FencingToken(revision)
		if t.rules.enforcePins {
			state.evictingUntil[ref] = now.Add(t.config.Terms.MaxOrderDelay)
		}
		return nil
	})
	return fence, err
}

// EndEvict allows new pins on the adapter again. The caller calls it when the
// engine has confirmed the eviction or refused it for good, and does not call
// it while the result is unknown.
func (t *Table) EndEvict(id ids.EndpointID, ref ids.AdapterRef) {
	shard := t.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if state, ok := shard.endpoints[id]; ok {
		delete(state.evictingUntil, ref)
	}
}

// LoadAccepted records that the engine accepted a load with the fencing
// token. An engine that enforces fencing tokens then refuses orders of the
// former owner, so the wait for those orders ends. sentAt is when MayLoad was
// called.
func (t *Table) LoadAccepted(now, sentAt time.Time, id ids.EndpointID, acceptedFence ids.FencingToken, loaded ids.AdapterRef) {
	shard := t.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	state, ok := shard.endpoints[id]
	if !ok || !state.owned || acceptedFence < ids.FencingToken(state.ownedSince) {
		return
	}
	if !sentAt.Before(state.formerGrantsEnd) {
		state.loadedAfterHandover[loaded] = true
	}
	if acceptedFence > state.acceptedFence {
		state.acceptedFence = acceptedFence
	}
	if state.fencing && now.Before(state.ordersAllowedFrom) {
		state.ordersAllowedFrom = now
	}
}

// AnswerHandover answers the handover request of a new owner. If the request
// carries a higher list revision, this VM's authority to send orders and grant
// pins ends before the answer is made.
func (t *Table) AnswerHandover(now time.Time, request peer.HandoverRequest) peer.HandoverReply {
	t.authority.mu.Lock()
	defer t.authority.mu.Unlock()
	t.authority.recordTick(now)
	t.authority.observePeer(request.Sender, request.Revision, time.Time{})
	reply := peer.HandoverReply{Sender: t.config.Self, Revision: t.authority.list.Revision}
	if previous := t.precedingList(request.Revision); previous != nil {
		reply.Previous = previous
	}
	for _, id := range request.Endpoints {
		reply.Endpoints = append(reply.Endpoints, t.endpointHandover(now, id))
	}
	return reply
}

// precedingList returns the VM list that directly precedes a revision, reduced
// to the VMs of this data centre, or nil if it is not known.
func (t *Table) precedingList(revision ids.Revision) *platformapi.VMList {
	for _, list := range []platformapi.VMList{t.authority.list, t.authority.previousList} {
		if list.Revision == 0 || list.Revision+1 != revision {
			continue
		}
		trimmed := platformapi.VMList{Revision: list.Revision}
		for _, vm := range list.VMs {
			if vm.DataCentre == t.config.DataCentre {
				trimmed.VMs = append(trimmed.VMs, vm)
			}
		}
		return &trimmed
	}
	return nil
}

// endpointHandover returns this VM's part of the handover of one endpoint: how
// long its orders, grants and pins may still be in effect.
func (t *Table) endpointHandover(now time.Time, id ids.EndpointID) peer.EndpointHandover {
	shard := t.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	out := peer.EndpointHandover{Endpoint: id}
	state, ok := shard.endpoints[id]
	if !ok {
		return out
	}
	out.OwnedThrough = state.ownedThrough
	out.OrdersHeldMillis = remainingMillis(now, state.ordersAllowedFrom)
	out.GrantsHeldMillis = remainingMillis(now, state.formerGrantsEnd)
	out.EvictionsHeldMillis = remainingMillis(now, state.evictionsAllowedFrom)
	for ref, holders := range state.pins {
		for holder, pin := range holders {
			if left := remainingMillis(now, pin.expiresAt); left > 0 {
				out.Pins = append(out.Pins, peer.HeldPin{Ref: ref, Holder: holder, Sequence: pin.sequence, RemainingMillis: left})
			}
		}
	}
	for ref, expiresAt := range state.evictingUntil {
		if left := remainingMillis(now, expiresAt); left > 0 {
			out.Evictions = append(out.Evictions, peer.PendingEviction{Ref: ref, RemainingMillis: left})
		}
	}
	sort.Slice(out.Pins, func(i, j int) bool {
		return out.Pins[i].Ref.String()+string(out.Pins[i].Holder) < out.Pins[j].Ref.String()+string(out.Pins[j].Holder)
	})
	sort.Slice(out.Evictions, func(i, j int) bool { return out.Evictions[i].Ref.String() < out.Evictions[j].Ref.String() })
	return out
}

// remainingMillis returns the time left in milliseconds. It rounds up, so that
// no wait or lease gets shorter when it is sent to another VM.
func remainingMillis(now, until time.Time) int64 {
	left := until.Sub(now)
	if left <= 0 {
		return 0
	}
	return int64((left + time.Millisecond - 1) / time.Millisecond)
}

// ApplyHandover applies the answer of a VM that was asked for a handover. It
// shortens the waits for those endpoints that the sender owned directly before
// this VM gained them. If the answer shows which other VM was the former
// owner, it returns changes that name that VM to ask.
func (t *Table) ApplyHandover(now time.Time, reply peer.HandoverReply) []Change {
	t.authority.mu.Lock()
	defer t.authority.mu.Unlock()
	t.authority.recordTick(now)
	t.authority.observePeer(reply.Sender, reply.Revision, time.Time{})
	var changes []Change
	for _, handover := range reply.Endpoints {
		if t.applyEndpointHandover(now, handover) || reply.Previous == nil {
			continue
		}
		if former, ok := t.redirectHandover(handover.Endpoint, *reply.Previous); ok && former != reply.Sender {
			changes = append(changes, Change{Kind: Gained, Endpoint: handover.Endpoint, Revision: reply.Previous.Revision + 1, HandoverCandidates: []ids.VMID{former}})
		}
	}
	return changes
}

// PendingHandovers returns the owned endpoints whose former owner has not
// answered and whose handover wait is not over, with the VMs to ask. The
// daemon repeats the requests about every second, since requests and answers
// may be lost.
func (t *Table) PendingHandovers(now time.Time) []Change {
	t.authority.mu.RLock()
	defer t.authority.mu.RUnlock()
	var changes []Change
	for i := range t.shards {
		shard := &t.shards[i]
		shard.mu.Lock()
		for id, state := range shard.endpoints {
			if state.owned && !state.handoverAnswered && now.Before(state.evictionsAllowedFrom) {
				changes = append(changes, Change{Kind: Gained, Endpoint: id, Revision: state.ownedSince, HandoverCandidates: state.handoverCandidates})
			}
		}
		shard.mu.Unlock()
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Endpoint < changes[j].Endpoint })
	return changes
}

// redirectHandover finds the former owner of a gained endpoint with the help
// of another VM's copy of the list that preceded the gain.
func (t *Table) redirectHandover(id ids.EndpointID, previous platformapi.VMList) (ids.VMID, bool) {
	shard := t.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	state, ok := shard.endpoints[id]
	if !ok || !state.owned || previous.Revision+1 != state.ownedSince {
		return "", false
	}
	former, ok := Owner(id, t.config.DataCentre, previous)
	if !ok || former == t.config.Self {
		return "", false
	}
	state.handoverCandidates = []ids.VMID{former}
	return former, true
}

// applyEndpointHandover applies the former owner's answer for one endpoint. It
// reports false if the sender was not the owner under the list that directly
// preceded the gain. Only that owner knows every order, grant and pin that may
// still be valid, because it kept the waits that it took over from its own
// predecessor.
func (t *Table) applyEndpointHandover(now time.Time, handover peer.EndpointHandover) bool {
	shard := t.shard(handover.Endpoint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	state, ok := shard.endpoints[handover.Endpoint]
	if !ok || !state.owned {
		return true
	}
	if handover.OwnedThrough == 0 || handover.OwnedThrough+1 != state.ownedSince {
		return false
	}
	state.handoverAnswered = true
	state.ordersAllowedFrom = earlier(state.ordersAllowedFrom, now.Add(durationWithDrift(handover.OrdersHeldMillis)))
	state.formerGrantsEnd = earlier(state.formerGrantsEnd, now.Add(durationWithDrift(handover.GrantsHeldMillis)))
	state.evictionsAllowedFrom = earlier(state.evictionsAllowedFrom, now.Add(durationWithDrift(handover.EvictionsHeldMillis)))
	for _, pin := range handover.Pins {
		state.addPin(pin.Ref, pin.Holder, pin.Sequence, now.Add(durationWithDrift(pin.RemainingMillis)))
	}
	for _, eviction := range handover.Evictions {
		state.evictingUntil[eviction.Ref] = now.Add(durationWithDrift(eviction.RemainingMillis))
	}
	return true
}

func durationWithDrift(millis int64) time.Duration {
	if millis == 0 {
		return 0
	}
	term := time.Duration(millis) * time.Millisecond
	return term + DriftMargin(term)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
