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

// shardCount keeps requests for different endpoints from sharing a lock.
const shardCount = 16

// rules can be switched off one by one in tests, to show what each prevents.
type rules struct {
	authorityCheck bool
	handoverWait   bool
	pins           bool
}

func allRules() rules {
	return rules{authorityCheck: true, handoverWait: true, pins: true}
}

// Config describes the VM that a Table belongs to.
type Config struct {
	Self       ids.VMID
	DataCentre ids.DataCentreID
	Terms      Terms
}

// Table holds the ownership state of one VM. It is safe for concurrent use.
type Table struct {
	cfg    Config
	rules  rules
	view   authority
	shards [shardCount]tableShard
}

type tableShard struct {
	mu        sync.Mutex
	endpoints map[ids.EndpointID]*endpoint
}

// endpoint is what this VM knows as the present or former owner.
type endpoint struct {
	fencing bool
	owned   bool
	// gainedAt is the list revision from which this VM has been the owner
	// without a gap; ownedThrough is the last such revision.
	gainedAt     ids.Revision
	ownedThrough ids.Revision
	// ask lists whom to ask for a handover, and answered tells that the former
	// owner has answered.
	ask      []ids.VMID
	answered bool
	// ordersFrom ends the wait for orders of a former owner, grantsEnd the time
	// in which it may grant pins, and evictionsFrom the wait for those pins.
	ordersFrom    time.Time
	grantsEnd     time.Time
	evictionsFrom time.Time
	// fence is the highest fencing token that the engine has accepted from us.
	fence ids.Fence
	// loadedHere lists adapters whose load was ordered after grantsEnd. No
	// former owner can have granted pins on them, so evictionsFrom does not
	// hold them.
	loadedHere map[ids.AdapterRef]bool
	pins       map[ids.AdapterRef]map[ids.VMID]grantedPin
	// evicting lists adapters that an eviction order may still remove.
	evicting map[ids.AdapterRef]time.Time
}

// ChangeKind tells what a new list changed for an endpoint.
type ChangeKind int

// The kinds of changes.
const (
	// Gained means that this VM is now the owner and must send a handover
	// request to the VMs in Ask.
	Gained ChangeKind = iota + 1
	// Lost means that this VM no longer owns the endpoint.
	Lost
)

// Change is one consequence of a new list, for the daemon to act on.
type Change struct {
	Kind     ChangeKind
	Endpoint ids.EndpointID
	// Revision is the list revision of the change, for HandoverRequest.
	Revision ids.Revision
	// Ask lists the VMs to send a handover request to. It is the former owner
	// if that is known, and otherwise every VM of the data centre, as each
	// may know the list before.
	Ask []ids.VMID
}

// New returns an empty table. start is the present time.
func New(cfg Config, start time.Time) *Table {
	t := &Table{cfg: cfg, rules: allRules()}
	t.view = authority{
		self: cfg.Self, dataCentre: cfg.DataCentre, terms: cfg.Terms,
		peerLists: make(map[ids.VMID]peerList), touchedAt: start, wokeAt: start,
	}
	for i := range t.shards {
		t.shards[i].endpoints = make(map[ids.EndpointID]*endpoint)
	}
	return t
}

func (t *Table) shard(id ids.EndpointID) *tableShard {
	return &t.shards[xxh3.HashString(string(id))%shardCount]
}

// Tick notes that the process runs. The daemon calls it at least every second,
// so that a pause of the process is noticed.
func (t *Table) Tick(now time.Time) {
	t.view.mu.Lock()
	defer t.view.mu.Unlock()
	t.view.touch(now)
}

// SetEndpoint adds an endpoint record of this VM's data centre, or changes it.
// Records of other data centres are ignored.
func (t *Table) SetEndpoint(now time.Time, id ids.EndpointID, record records.Endpoint) []Change {
	if record.DataCentre != t.cfg.DataCentre {
		return t.RemoveEndpoint(id)
	}
	t.view.mu.RLock()
	defer t.view.mu.RUnlock()
	shard := t.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	known, ok := shard.endpoints[id]
	if ok {
		known.fencing = record.Fencing
		return nil
	}
	added := &endpoint{
		fencing:    record.Fencing,
		loadedHere: make(map[ids.AdapterRef]bool),
		pins:       make(map[ids.AdapterRef]map[ids.VMID]grantedPin),
		evicting:   make(map[ids.AdapterRef]time.Time),
	}
	shard.endpoints[id] = added
	return t.settle(now, id, added)
}

// RemoveEndpoint forgets an endpoint whose record was withdrawn.
func (t *Table) RemoveEndpoint(id ids.EndpointID) []Change {
	shard := t.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	known, ok := shard.endpoints[id]
	delete(shard.endpoints, id)
	if ok && known.owned {
		return []Change{{Kind: Lost, Endpoint: id}}
	}
	return nil
}

// ObserveList takes a VM list. confirmedAt is the start of the platform read
// that showed it, on this VM's clock; it is zero if the list has no confirmed
// age. Lists older than the one in force are ignored.
func (t *Table) ObserveList(now time.Time, list platformapi.VMList, confirmedAt time.Time) []Change {
	t.view.mu.Lock()
	defer t.view.mu.Unlock()
	t.view.touch(now)
	if list.Revision < t.view.list.Revision {
		return nil
	}
	if list.Revision == t.view.list.Revision {
		t.view.confirm(confirmedAt)
		return nil
	}
	t.view.previous = t.view.list
	t.view.list = list
	t.view.confirmedAt = time.Time{}
	t.view.confirm(confirmedAt)
	if list.Revision > t.view.highest {
		t.view.highest = list.Revision
	}
	return t.settleAll(now)
}

// ObservePeer takes the list revision that a peer reports. asOf is a time on
// this VM's clock at which the report was certainly still true or not yet made,
// such as the time at which the answered heartbeat was sent. It is zero for a
// message that answers none of this VM's.
func (t *Table) ObservePeer(now time.Time, from ids.VMID, revision ids.Revision, asOf time.Time) {
	t.view.mu.Lock()
	defer t.view.mu.Unlock()
	t.view.touch(now)
	t.view.hear(from, revision, asOf)
}

func (t *Table) settleAll(now time.Time) []Change {
	var changes []Change
	for i := range t.shards {
		shard := &t.shards[i]
		shard.mu.Lock()
		for id, known := range shard.endpoints {
			changes = append(changes, t.settle(now, id, known)...)
		}
		shard.mu.Unlock()
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Endpoint < changes[j].Endpoint })
	return changes
}

// settle brings one endpoint in line with the list in force. A VM that owned
// the endpoint under the list just before goes on; any gap in between counts
// as a new beginning, because another VM may have been the owner.
func (t *Table) settle(now time.Time, id ids.EndpointID, known *endpoint) []Change {
	revision := t.view.list.Revision
	owner, ok := Owner(id, t.cfg.DataCentre, t.view.list)
	if !ok || owner != t.cfg.Self {
		if !known.owned {
			return nil
		}
		known.owned = false
		return []Change{{Kind: Lost, Endpoint: id, Revision: revision}}
	}
	if known.owned && known.ownedThrough+1 >= revision {
		known.ownedThrough = revision
		return nil
	}
	known.owned = true
	known.gainedAt = revision
	known.ownedThrough = revision
	known.loadedHere = make(map[ids.AdapterRef]bool)
	if t.rules.handoverWait {
		known.ordersFrom = now.Add(t.cfg.Terms.ordersWait())
		known.grantsEnd = known.ordersFrom
		known.evictionsFrom = now.Add(t.cfg.Terms.evictionsWait())
	}
	known.ask = t.formerOwners(id, t.view.previous)
	known.answered = false
	return []Change{{Kind: Gained, Endpoint: id, Revision: revision, Ask: known.ask}}
}

// formerOwners lists whom to ask for a handover, given the list before.
func (t *Table) formerOwners(id ids.EndpointID, previous platformapi.VMList) []ids.VMID {
	if previous.Revision != 0 && previous.Revision+1 == t.view.list.Revision {
		former, ok := Owner(id, t.cfg.DataCentre, previous)
		if ok && former != t.cfg.Self {
			return []ids.VMID{former}
		}
		return nil
	}
	var all []ids.VMID
	for _, vm := range t.view.list.VMs {
		if vm.DataCentre == t.cfg.DataCentre && vm.ID != t.cfg.Self {
			all = append(all, vm.ID)
		}
	}
	return all
}

// Owns tells whether this VM owns the endpoint by its list, with or without
// authority.
func (t *Table) Owns(id ids.EndpointID) bool {
	shard := t.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	known, ok := shard.endpoints[id]
	return ok && known.owned
}

// List returns the list in force.
func (t *Table) List() platformapi.VMList {
	t.view.mu.RLock()
	defer t.view.mu.RUnlock()
	return t.view.list
}

// Authority tells whether the authority lease runs, and if not, why.
func (t *Table) Authority(now time.Time) error {
	t.view.mu.RLock()
	defer t.view.mu.RUnlock()
	return t.view.check(now)
}

// with runs f on an endpoint that this VM owns, under the locks.
func (t *Table) with(id ids.EndpointID, f func(*endpoint, ids.Revision) error) error {
	t.view.mu.RLock()
	defer t.view.mu.RUnlock()
	shard := t.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	known, ok := shard.endpoints[id]
	if !ok || !known.owned {
		return ErrNotOwner
	}
	return f(known, t.view.list.Revision)
}

func (t *Table) authorised(now time.Time) error {
	if !t.rules.authorityCheck {
		return nil
	}
	return t.view.check(now)
}

// MayOrder tells whether any kind of order may be sent to the endpoint now,
// and with which fencing token. The sender calls it right before the order
// leaves, as the last thing.
func (t *Table) MayOrder(now time.Time, id ids.EndpointID) (ids.Fence, error) {
	var fence ids.Fence
	err := t.with(id, func(known *endpoint, revision ids.Revision) error {
		fence = ids.Fence(revision)
		if err := t.authorised(now); err != nil {
			return err
		}
		if now.Before(known.ordersFrom) {
			return ErrHandover
		}
		return nil
	})
	return fence, err
}

// MayLoad tells whether an adapter may be loaded into a free slot now, and
// with which fencing token. It allows more than MayOrder: during a handover
// an engine that honours fencing tokens may be loaded, and a VM that cannot
// confirm its list may load as long as nobody spoke of a higher revision.
func (t *Table) MayLoad(now time.Time, id ids.EndpointID) (ids.Fence, error) {
	var fence ids.Fence
	err := t.with(id, func(known *endpoint, revision ids.Revision) error {
		fence = ids.Fence(revision)
		if err := t.authorised(now); err != nil && err != ErrUnconfirmed {
			return err
		}
		if now.Before(known.ordersFrom) && !known.fencing {
			return ErrHandover
		}
		return nil
	})
	return fence, err
}

// MayEvict tells whether the adapter version may be evicted now.
func (t *Table) MayEvict(now time.Time, id ids.EndpointID, ref ids.AdapterRef) error {
	return t.with(id, func(known *endpoint, _ ids.Revision) error {
		return t.mayEvict(now, known, ref)
	})
}

func (t *Table) mayEvict(now time.Time, known *endpoint, ref ids.AdapterRef) error {
	if err := t.authorised(now); err != nil {
		return err
	}
	if now.Before(known.ordersFrom) {
		return ErrHandover
	}
	if now.Before(known.evictionsFrom) && !known.loadedHere[ref] {
		return ErrHandover
	}
	if now.Before(known.evicting[ref]) {
		return ErrEvicting
	}
	if t.rules.pins && known.pinned(now, ref) {
		return ErrPinned
	}
	return nil
}

func (e *endpoint) pinned(now time.Time, ref ids.AdapterRef) bool {
	for _, pin := range e.pins[ref] {
		if now.Before(pin.until) {
			return true
		}
	}
	return false
}

// BeginEvict allows one eviction and bars new pins on the adapter until the
// order has certainly taken effect or failed. The sender calls it right before
// the order leaves, and EndEvict when it has an answer. Without an answer the
// bar ends after OrderSettle.
func (t *Table) BeginEvict(now time.Time, id ids.EndpointID, ref ids.AdapterRef) (ids.Fence, error) {
	var fence ids.Fence
	err := t.with(id, func(known *endpoint, revision ids.Revision) error {
		if err := t.mayEvict(now, known, ref); err != nil {
			return err
		}
		fence = ids.Fence(revision)
		if t.rules.pins {
			known.evicting[ref] = now.Add(t.cfg.Terms.OrderSettle)
		}
		return nil
	})
	return fence, err
}

// EndEvict notes the engine's answer to an eviction. removed tells that the
// engine confirmed it or refused it for good; without a known answer the
// caller does not call EndEvict.
func (t *Table) EndEvict(id ids.EndpointID, ref ids.AdapterRef) {
	shard := t.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if known, ok := shard.endpoints[id]; ok {
		delete(known.evicting, ref)
	}
}

// OrderAccepted notes that the engine accepted a load with the fencing token.
// An engine with fencing then refuses the former owner, so that the wait for
// its orders ends. sentAt is when MayLoad was asked.
func (t *Table) OrderAccepted(now, sentAt time.Time, id ids.EndpointID, fence ids.Fence, loaded ids.AdapterRef) {
	shard := t.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	known, ok := shard.endpoints[id]
	if !ok || !known.owned || fence < ids.Fence(known.gainedAt) {
		return
	}
	if !sentAt.Before(known.grantsEnd) {
		known.loadedHere[loaded] = true
	}
	if fence > known.fence {
		known.fence = fence
	}
	if known.fencing && now.Before(known.ordersFrom) {
		known.ordersFrom = now
	}
}

// Handover answers a new owner. A higher revision ends this VM's
// authority and its granting of pins before the answer is made.
func (t *Table) Handover(now time.Time, request peer.HandoverRequest) peer.HandoverReply {
	t.view.mu.Lock()
	defer t.view.mu.Unlock()
	t.view.touch(now)
	t.view.hear(request.Sender, request.Revision, time.Time{})
	reply := peer.HandoverReply{Sender: t.cfg.Self, Revision: t.view.list.Revision}
	if earlier := t.listBefore(request.Revision); earlier != nil {
		reply.Previous = earlier
	}
	for _, id := range request.Endpoints {
		reply.Endpoints = append(reply.Endpoints, t.handover(now, id))
	}
	return reply
}

// listBefore returns the list with the revision just before another, cut down
// to the data centre.
func (t *Table) listBefore(revision ids.Revision) *platformapi.VMList {
	for _, list := range []platformapi.VMList{t.view.list, t.view.previous} {
		if list.Revision == 0 || list.Revision+1 != revision {
			continue
		}
		cut := platformapi.VMList{Revision: list.Revision}
		for _, vm := range list.VMs {
			if vm.DataCentre == t.cfg.DataCentre {
				cut.VMs = append(cut.VMs, vm)
			}
		}
		return &cut
	}
	return nil
}

func (t *Table) handover(now time.Time, id ids.EndpointID) peer.EndpointHandover {
	shard := t.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	out := peer.EndpointHandover{Endpoint: id}
	known, ok := shard.endpoints[id]
	if !ok {
		return out
	}
	out.OwnedThrough = known.ownedThrough
	out.OrdersHeldMillis = remainingMillis(now, known.ordersFrom)
	out.GrantsHeldMillis = remainingMillis(now, known.grantsEnd)
	out.EvictionsHeldMillis = remainingMillis(now, known.evictionsFrom)
	for ref, holders := range known.pins {
		for holder, pin := range holders {
			if left := remainingMillis(now, pin.until); left > 0 {
				out.Pins = append(out.Pins, peer.HeldPin{Ref: ref, Holder: holder, Sequence: pin.sequence, RemainingMillis: left})
			}
		}
	}
	for ref, until := range known.evicting {
		if left := remainingMillis(now, until); left > 0 {
			out.Evictions = append(out.Evictions, peer.PendingEviction{Ref: ref, RemainingMillis: left})
		}
	}
	sort.Slice(out.Pins, func(i, j int) bool {
		return out.Pins[i].Ref.String()+string(out.Pins[i].Holder) < out.Pins[j].Ref.String()+string(out.Pins[j].Holder)
	})
	sort.Slice(out.Evictions, func(i, j int) bool { return out.Evictions[i].Ref.String() < out.Evictions[j].Ref.String() })
	return out
}

// remainingMillis rounds up, so that no hold gets shorter on its way.
func remainingMillis(now, until time.Time) int64 {
	left := until.Sub(now)
	if left <= 0 {
		return 0
	}
	return int64((left + time.Millisecond - 1) / time.Millisecond)
}

// ReceiveHandover takes the answer of a VM that was asked for a handover. It
// ends the waits of those endpoints whose owner up to this VM's gain was the
// sender. It returns further VMs to ask, if the answer shows who they are.
func (t *Table) ReceiveHandover(now time.Time, reply peer.HandoverReply) []Change {
	t.view.mu.Lock()
	defer t.view.mu.Unlock()
	t.view.touch(now)
	t.view.hear(reply.Sender, reply.Revision, time.Time{})
	var changes []Change
	for _, part := range reply.Endpoints {
		if t.takeOver(now, part) || reply.Previous == nil {
			continue
		}
		if former, ok := t.askInstead(part.Endpoint, *reply.Previous); ok && former != reply.Sender {
			changes = append(changes, Change{Kind: Gained, Endpoint: part.Endpoint, Revision: reply.Previous.Revision + 1, Ask: []ids.VMID{former}})
		}
	}
	return changes
}

// PendingHandovers lists the endpoints whose wait for a former owner runs, with
// the VMs to ask. The daemon asks again about every second, since questions
// and answers may be lost.
func (t *Table) PendingHandovers(now time.Time) []Change {
	t.view.mu.RLock()
	defer t.view.mu.RUnlock()
	var out []Change
	for i := range t.shards {
		shard := &t.shards[i]
		shard.mu.Lock()
		for id, known := range shard.endpoints {
			if known.owned && !known.answered && now.Before(known.evictionsFrom) {
				out = append(out, Change{Kind: Gained, Endpoint: id, Revision: known.gainedAt, Ask: known.ask})
			}
		}
		shard.mu.Unlock()
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Endpoint < out[j].Endpoint })
	return out
}

// askInstead finds the former owner of a gained endpoint from another VM's
// copy of the list before the gain.
func (t *Table) askInstead(id ids.EndpointID, previous platformapi.VMList) (ids.VMID, bool) {
	shard := t.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	known, ok := shard.endpoints[id]
	if !ok || !known.owned || previous.Revision+1 != known.gainedAt {
		return "", false
	}
	former, ok := Owner(id, t.cfg.DataCentre, previous)
	if !ok || former == t.cfg.Self {
		return "", false
	}
	known.ask = []ids.VMID{former}
	return former, true
}

// takeOver ends the wait of one endpoint by its former owner's answer. Only
// the owner under the very list before the gain knows of all rights that may
// still run, because it kept the waits after its own predecessor.
func (t *Table) takeOver(now time.Time, part peer.EndpointHandover) bool {
	shard := t.shard(part.Endpoint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	known, ok := shard.endpoints[part.Endpoint]
	if !ok || !known.owned {
		return true
	}
	if part.OwnedThrough == 0 || part.OwnedThrough+1 != known.gainedAt {
		return false
	}
	known.answered = true
	known.ordersFrom = earlier(known.ordersFrom, now.Add(withDrift(part.OrdersHeldMillis)))
	known.grantsEnd = earlier(known.grantsEnd, now.Add(withDrift(part.GrantsHeldMillis)))
	known.evictionsFrom = earlier(known.evictionsFrom, now.Add(withDrift(part.EvictionsHeldMillis)))
	for _, pin := range part.Pins {
		known.addPin(pin.Ref, pin.Holder, pin.Sequence, now.Add(withDrift(pin.RemainingMillis)))
	}
	for _, eviction := range part.Evictions {
		known.evicting[eviction.Ref] = now.Add(withDrift(eviction.RemainingMillis))
	}
	return true
}

func withDrift(millis int64) time.Duration {
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
