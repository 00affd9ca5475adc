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

// publishedAdapter is an adapter at an engine as its owner tells it.
type publishedAdapter struct {
	Version ids.AdapterVersion `json:"v"`
	// ReadyMs is how long until the adapter can serve; 0 if it can.
	ReadyMs int64 `json:"r,omitempty"`
	Leaving bool  `json:"l,omitempty"`
}

// publishedTable is what an engine holds as its owner tells it. A table stays
// valid until the owner publishes the next one.
type publishedTable struct {
	Fence ids.Fence                   `json:"f"`
	Held  map[string]publishedAdapter `json:"h"`
	// Free is the number of slots without an adapter.
	Free int `json:"n"`
	// Models are the base models that the engine holds.
	Models []string `json:"m,omitempty"`
}

// engineView is the newest table of one engine.
type engineView struct {
	fence  ids.Fence
	free   int
	models []string
	held   map[serving.AdapterKey]residency.Held
	// changedAt is the count of changes at which the table came.
	changedAt uint64
}

// residents is what the VM knows of the adapters at all engines.
type residents struct {
	mu      sync.RWMutex
	engines map[ids.EndpointID]*engineView
	// changes counts the tables that were put in place.
	changes uint64
	// through is the change count up to which each peer's tables are known.
	through map[ids.VMID]peerTables
	uses    map[ids.VMID]map[string]float64
	// active counts the open requests of this VM for each adapter.
	active map[serving.AdapterKey]int
}

type peerTables struct {
	boot ids.BootID
	at   uint64
}

func newResidents() *residents {
	return &residents{
		engines: make(map[ids.EndpointID]*engineView),
		through: make(map[ids.VMID]peerTables),
		uses:    make(map[ids.VMID]map[string]float64),
		active:  make(map[serving.AdapterKey]int),
	}
}

func splitKey(name string) (serving.AdapterKey, bool) {
	model, adapter, found := strings.Cut(name, "/")
	return serving.AdapterKey{Model: model, Adapter: ids.AdapterID(adapter)}, found
}

// seen returns the change count of a peer's tables that this VM has.
func (r *residents) seen(peer ids.VMID) uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.through[peer].at
}

// hear takes the tables that a peer sent in its reply.
func (r *residents) hear(now time.Time, peer ids.VMID, boot ids.BootID, tables map[ids.EndpointID]publishedTable, at uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.through[peer]
	if known.boot != boot {
		known = peerTables{boot: boot}
	}
	if len(tables) > 0 || at > 0 {
		known.at = max(known.at, at)
	}
	r.through[peer] = known
	for id, table := range tables {
		r.take(now, id, table)
	}
}

// take puts a table that a peer told in place. The caller holds mu.
func (r *residents) take(now time.Time, id ids.EndpointID, table publishedTable) {
	view := &engineView{fence: table.Fence, free: table.Free, models: table.Models, held: make(map[serving.AdapterKey]residency.Held, len(table.Held))}
	for name, adapter := range table.Held {
		if key, valid := splitKey(name); valid {
			view.held[key] = residency.Held{
				Version: adapter.Version,
				Ready:   now.Add(time.Duration(adapter.ReadyMs) * time.Millisecond),
				Leaving: adapter.Leaving,
			}
		}
	}
	r.replace(id, view)
}

// put puts a table of this VM's own in place.
func (r *residents) put(id ids.EndpointID, view *engineView) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replace(id, view)
}

// replace puts a view in place unless a later owner's is known.
func (r *residents) replace(id ids.EndpointID, view *engineView) {
	if old := r.engines[id]; old != nil && old.fence > view.fence {
		return
	}
	r.changes++
	view.changedAt = r.changes
	r.engines[id] = view
}

// tablesSince returns the tables of chosen engines that came after a count of
// changes, and the count now.
func (r *residents) tablesSince(now time.Time, seen uint64, choose func(ids.EndpointID) bool) (map[ids.EndpointID]publishedTable, uint64) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	tables := make(map[ids.EndpointID]publishedTable)
	for id, view := range r.engines {
		if view.changedAt > seen && choose(id) {
			tables[id] = view.publish(now)
		}
	}
	return tables, r.changes
}

func (v *engineView) publish(now time.Time) publishedTable {
	table := publishedTable{Fence: v.fence, Free: v.free, Models: v.models, Held: make(map[string]publishedAdapter, len(v.held))}
	for key, held := range v.held {
		adapter := publishedAdapter{Version: held.Version, Leaving: held.Leaving}
		if held.Ready.After(now) {
			adapter.ReadyMs = held.Ready.Sub(now).Milliseconds() + 1
		}
		table.Held[key.String()] = adapter
	}
	return table
}

// assume notes an adapter that an owner has just confirmed.
func (r *residents) assume(now time.Time, id ids.EndpointID, key serving.AdapterKey, version ids.AdapterVersion) {
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

// deny notes that an engine does not have an adapter yet, so that other
// requests for it wait.
func (r *residents) deny(now time.Time, id ids.EndpointID, key serving.AdapterKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	view := r.engines[id]
	if view == nil {
		return
	}
	if held, known := view.held[key]; known {
		held.Ready = now.Add(denyPause)
		view.held[key] = held
	}
}

// denyPause is the time in which the owner is asked again.
const denyPause = 60 * time.Millisecond

// forget drops all that is known of engines that are gone or restarted.
func (r *residents) forget(id ids.EndpointID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.engines, id)
}

// find returns an adapter at an engine with at least the given version.
func (r *residents) find(id ids.EndpointID, key serving.AdapterKey, version ids.AdapterVersion) (residency.Held, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	view := r.engines[id]
	if view == nil {
		return residency.Held{}, false
	}
	held, known := view.held[key]
	return held, known && !held.Leaving && held.Version >= version
}

// free returns the free slots of an engine, and whether it is known to hold a
// base model.
func (r *residents) free(id ids.EndpointID, model string) (int, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	view := r.engines[id]
	if view == nil {
		return 0, false
	}
	return view.free, slices.Contains(view.models, model)
}

// use counts requests for adapters, to be told to some peers.
func (r *residents) use(uses map[string]float64, peers []ids.VMID) {
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

// takeUses returns the uses that a peer has not been told.
func (r *residents) takeUses(peer ids.VMID) map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	uses := r.uses[peer]
	delete(r.uses, peer)
	return uses
}

// begin counts an open request for an adapter, and end takes it back.
func (r *residents) begin(key serving.AdapterKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active[key]++
}

func (r *residents) end(key serving.AdapterKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active[key]--; r.active[key] <= 0 {
		delete(r.active, key)
	}
}

// activeNames returns the adapters with open requests at this VM.
func (r *residents) activeNames() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	names := make([]string, 0, len(r.active))
	for key := range r.active {
		names = append(names, key.String())
	}
	return names
}
