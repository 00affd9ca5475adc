package node

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/residency"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
)

// publishedAdapter describes an adapter at an engine, as published by the
// engine's owner.
type publishedAdapter struct {
	Version ids.AdapterVersion `json:"v"`
	// ReadyMs is the time until the adapter can serve; 0 if it already can.
	ReadyMs int64 `json:"r,omitempty"`
	Leaving bool  `json:"l,omitempty"`
}

// publishedTable describes what an engine holds, as published by its owner. It
// is valid until the owner publishes the next one.
type publishedTable struct {
	Fence ids.FencingToken            `json:"f"`
	Held  map[string]publishedAdapter `json:"h"`
	// FreeSlots is the number of slots without an adapter.
	FreeSlots int `json:"n"`
	// Models are the base models that the engine holds.
	Models []string `json:"m,omitempty"`
}

// engineView is the latest known table of one engine.
type engineView struct {
	fence     ids.FencingToken
	freeSlots int
	models    []string
	held      map[serving.AdapterKey]residency.Held
	// changedAt is the value of adapterIndex.changes when the table was set.
	changedAt uint64
}

// adapterIndex holds what this VM knows about the adapters at all engines.
type adapterIndex struct {
	mu      sync.RWMutex
	engines map[ids.EndpointID]*engineView
	// changes counts how often a table was set or replaced.
	changes uint64
	// peerCursors holds how far this VM has received each peer's tables.
	peerCursors map[ids.VMID]tableCursor
	// seenByPeer holds how far each peer has received this VM's tables.
	seenByPeer map[ids.VMID]uint64
	uses       map[ids.VMID]map[string]float64
	// openRequests counts this VM's open requests for each adapter.
	openRequests map[serving.AdapterKey]int
}

type tableCursor struct {
	boot    ids.BootID
	changes uint64
}

func newAdapterIndex() *adapterIndex {
	return &adapterIndex{
		engines:      make(map[ids.EndpointID]*engineView),
		peerCursors:  make(map[ids.VMID]tableCursor),
		seenByPeer:   make(map[ids.VMID]uint64),
		uses:         make(map[ids.VMID]map[string]float64),
		openRequests: make(map[serving.AdapterKey]int),
	}
}

func parseAdapterKey(name string) (serving.AdapterKey, bool) {
	model, adapter, found := strings.Cut(name, "/")
	return serving.AdapterKey{Model: model, Adapter: ids.AdapterID(adapter)}, found
}

// seenChanges returns the peer's change count up to which this VM has received
// its tables.
func (r *adapterIndex) seenChanges(peer ids.VMID) uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.peerCursors[peer].changes
}

// changesSeenBy returns the change count up to which a peer has received this
// VM's tables.
func (r *adapterIndex) changesSeenBy(peer ids.VMID) uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.seenByPeer[peer]
}

func (r *adapterIndex) recordSeenBy(peer ids.VMID, changes uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seenByPeer[peer] = changes
}

// applyFromPeer applies the tables that a peer sent: all that changed there
// between its change counts since and changes.
func (r *adapterIndex) applyFromPeer(now time.Time, peer ids.VMID, boot ids.BootID, tables map[ids.EndpointID]publishedTable, since, changes uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.peerCursors[peer]
	if known.boot != boot {
		known = tableCursor{boot: boot}
	}
	// A message that leaves out changes which this VM has not received, since it
	// was built for a count of the peer's previous run, does not advance.
	if since <= known.changes {
		known.changes = max(known.changes, changes)
	}
	r.peerCursors[peer] = known
	for id, table := range tables {
		r.applyTable(now, id, table)
	}
}

// applyTable replaces an engine's table by one that a peer sent. The caller
// holds mu.
func (r *adapterIndex) applyTable(now time.Time, id ids.EndpointID, table publishedTable) {
	view := &engineView{fence: table.Fence, freeSlots: table.FreeSlots, models: table.Models, held: make(map[serving.AdapterKey]residency.Held, len(table.Held))}
	for name, adapter := range table.Held {
		if key, valid := parseAdapterKey(name); valid {
			view.held[key] = residency.Held{
				Version: adapter.Version,
				Ready:   now.Add(time.Duration(adapter.ReadyMs) * time.Millisecond),
				Leaving: adapter.Leaving,
			}
		}
	}
	r.replaceIfNewer(id, view)
}

// setRegistered sets what an engine registered about itself as its table, unless
// one is known. A VM uses it until the engine's owner publishes the first table:
// after a restart of all VMs, requests for adapters that engines still hold need
// not wait for that. An engine that no longer holds an adapter denies it.
func (r *adapterIndex) setRegistered(now time.Time, id ids.EndpointID, models []serving.HeldModel) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.engines[id] != nil || len(models) == 0 {
		return
	}
	view := &engineView{held: make(map[serving.AdapterKey]residency.Held)}
	for _, model := range models {
		view.models = append(view.models, model.Name)
		for _, ref := range model.Adapters {
			view.held[serving.AdapterKey{Model: model.Name, Adapter: ref.Adapter}] = residency.Held{Version: ref.Version, Ready: now}
		}
	}
	r.engines[id] = view
}

// setOwnTable sets the table of an engine that this VM owns.
func (r *adapterIndex) setOwnTable(id ids.EndpointID, view *engineView) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replaceIfNewer(id, view)
}

// setObservedTable sets the table of an engine that a VM out of reach orders, as the
// engine reports it. The next table of a later owner replaces it.
func (r *adapterIndex) setObservedTable(id ids.EndpointID, view *engineView) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.engines[id]; old != nil {
		view.fence = old.fence
	}
	r.replaceIfNewer(id, view)
}

// replaceIfNewer replaces an engine's view, unless the known one has a higher
// fencing token and so comes from a later owner. The caller holds mu.
func (r *adapterIndex) replaceIfNewer(id ids.EndpointID, view *engineView) {
	if old := r.engines[id]; old != nil && old.fence > view.fence {
		return
	}
	r.changes++
	view.changedAt = r.changes
	r.engines[id] = view
}

// tablesSince returns the tables that changed after the given change count, of
// the engines that include selects, and the current change count.
func (r *adapterIndex) tablesSince(now time.Time, seen uint64, include func(ids.EndpointID) bool) (map[ids.EndpointID]publishedTable, uint64) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	tables := make(map[ids.EndpointID]publishedTable)
	for id, view := range r.engines {
		if view.changedAt > seen && include(id) {
			tables[id] = view.publish(now)
		}
	}
	return tables, r.changes
}

func (v *engineView) publish(now time.Time) publishedTable {
	table := publishedTable{Fence: v.fence, FreeSlots: v.freeSlots, Models: v.models, Held: make(map[string]publishedAdapter, len(v.held))}
	for key, held := range v.held {
		adapter := publishedAdapter{Version: held.Version, Leaving: held.Leaving}
		if held.Ready.After(now) {
			adapter.ReadyMs = held.Ready.Sub(now).Milliseconds() + 1
		}
		table.Held[key.String()] = adapter
	}
	return table
}

// recordConfirmed records an adapter that an owner has just confirmed.
func (r *adapterIndex) recordConfirmed(now time.Time, id ids.EndpointID, key serving.AdapterKey, version ids.AdapterVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	view := r.engines[id]
	if view == nil {
		view = &engineView{held: make(map[serving.AdapterKey]residency.Held)}
		r.engines[id] = view
	}
	if held, known := view.held[key]; !known || held.Version < version || held.Leaving || held.Ready.After(now) {
		view.held[key] = residency.Held{Version: version, Ready: now}
	}
}

// recordDenied records that an engine does not have an adapter yet, so that
// other requests for it wait.
func (r *adapterIndex) recordDenied(now time.Time, id ids.EndpointID, key serving.AdapterKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	view := r.engines[id]
	if view == nil {
		return
	}
	if held, known := view.held[key]; known {
		held.Ready = now.Add(deniedAdapterDelay)
		view.held[key] = held
	}
}

// deniedAdapterDelay is how long a denied adapter is not used, while the owner
// is asked for it again.
const deniedAdapterDelay = 60 * time.Millisecond

// removeEngine removes everything known about an engine that is gone or has
// restarted.
func (r *adapterIndex) removeEngine(id ids.EndpointID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.engines, id)
}

// find returns an adapter at an engine if it is held in at least the given
// version and not being unloaded.
func (r *adapterIndex) find(id ids.EndpointID, key serving.AdapterKey, version ids.AdapterVersion) (residency.Held, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	view := r.engines[id]
	if view == nil {
		return residency.Held{}, false
	}
	held, known := view.held[key]
	return held, known && !held.Leaving && held.Version >= version
}

// heldBy returns the adapters at an engine that are not being unloaded.
func (r *adapterIndex) heldBy(id ids.EndpointID) []serving.AdapterKey {
	r.mu.RLock()
	defer r.mu.RUnlock()
	view := r.engines[id]
	if view == nil {
		return nil
	}
	keys := make([]serving.AdapterKey, 0, len(view.held))
	for key, held := range view.held {
		if !held.Leaving {
			keys = append(keys, key)
		}
	}
	return keys
}

// freeSlots returns the number of free slots of an engine, and whether it is
// known to hold the base model.
func (r *adapterIndex) freeSlots(id ids.EndpointID, model string) (int, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	view := r.engines[id]
	if view == nil {
		return 0, false
	}
	return view.freeSlots, slices.Contains(view.models, model)
}

// addUses counts uses of adapters, to be reported to the given peers.
func (r *adapterIndex) addUses(uses map[string]float64, peers []ids.VMID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, peer := range peers {
		if r.uses[peer] == nil {
			r.uses[peer] = make(map[string]float64)
		}
		for name, times := range uses {
			r.uses[peer][name] += times
		}
	}
}

// takeUses returns and resets the uses that were not reported to a peer yet.
func (r *adapterIndex) takeUses(peer ids.VMID) map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	uses := r.uses[peer]
	delete(r.uses, peer)
	return uses
}

// beginRequest counts an open request for an adapter until endRequest is
// called.
func (r *adapterIndex) beginRequest(key serving.AdapterKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.openRequests[key]++
}

func (r *adapterIndex) endRequest(key serving.AdapterKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.openRequests[key]--; r.openRequests[key] <= 0 {
		delete(r.openRequests, key)
	}
}

// activeNames returns the adapters with open requests at this VM.
func (r *adapterIndex) activeNames() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	names := make([]string, 0, len(r.openRequests))
	for key := range r.openRequests {
		names = append(names, key.String())
	}
	return names
}
