// Package residency decides what an engine loads and evicts. A Table is the
// owner's account of one engine: what it holds, what is on its way and which
// orders may have been taken. It is deterministic: time and answers are
// arguments, orders are returned.
package residency

import (
	"math"
	"sort"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
)

// Limits bound what an engine holds.
type Limits struct {
	// AdapterSlots bounds the adapters that are held or on their way.
	AdapterSlots int
	// WeightsMB bounds the weights of models and adapters.
	WeightsMB float64
	Models    []serving.Model
}

// Config holds the figures of an engine's orders.
type Config struct {
	// MaxTransit is the most adapters on their way to one engine.
	MaxTransit int
	// ReportLag bounds how old the values of an engine's report may be.
	ReportLag time.Duration
	// LoadTime is the first estimate of an adapter's load.
	LoadTime time.Duration
	// HalfLife is that of the use counts by which adapters are evicted.
	HalfLife time.Duration
	// MinResidence is how long a loaded adapter stays before it may be
	// evicted, so that the requests that waited for it can start.
	MinResidence time.Duration
}

// DefaultConfig returns the figures of the engines that the platform's pages
// describe: four adapters in transit, reports some hundred milliseconds old,
// a load of a quarter of a second.
func DefaultConfig() Config {
	return Config{
		MaxTransit:   4,
		ReportLag:    500 * time.Millisecond,
		LoadTime:     250 * time.Millisecond,
		HalfLife:     6 * time.Second,
		MinResidence: 700 * time.Millisecond,
	}
}

// OrderKind tells loads from unloads.
type OrderKind int

// The kinds of orders.
const (
	LoadAdapter OrderKind = iota
	UnloadAdapter
	LoadModel
)

// Order is one order to an engine.
type Order struct {
	Kind    OrderKind
	Model   string
	Adapter ids.AdapterID
	Version ids.AdapterVersion
	// Sequence is the number of orders that the engine has accepted so far;
	// an engine that has accepted others refuses the order.
	Sequence uint64
}

// String returns the kind as logs show it.
func (k OrderKind) String() string {
	return [...]string{"load adapter", "unload adapter", "load model"}[k]
}

// Result is what became of an order.
type Result int

// The results of orders.
const (
	// Accepted orders are being carried out.
	Accepted Result = iota
	// Done orders already hold.
	Done
	// Conflict means that the engine is busy or has accepted other orders.
	Conflict
	// Unknown orders may have been accepted.
	Unknown
	// NotTaken orders were refused for another reason.
	NotTaken
)

// String returns the result as logs show it.
func (r Result) String() string {
	return [...]string{"accepted", "done", "conflict", "unknown", "not taken"}[r]
}

// Held is one adapter that an engine holds or loads.
type Held struct {
	Version ids.AdapterVersion
	// Ready is when the adapter can first serve, estimated while it loads.
	Ready time.Time
	// Loading adapters are on their way.
	Loading bool
	// Leaving adapters are unloaded when their requests have ended.
	Leaving bool
	// ordered is when the load was ordered; zero if it is not known.
	ordered time.Time
}

// Report is an engine's own account.
type Report struct {
	Sequence uint64
	Started  int64
	Busy     bool
	Models   []serving.HeldModel
	Coming   []Coming
	Running  int
	Waiting  int
}

// Coming is an adapter on its way to an engine.
type Coming struct {
	Key     serving.AdapterKey
	Version ids.AdapterVersion
}

// Want is the demand for an adapter at an engine.
type Want struct {
	Key     serving.AdapterKey
	Version ids.AdapterVersion
	Urgency int
	Since   time.Time
}

type use struct {
	count float64
	at    time.Time
}

// Table is the account of one engine.
type Table struct {
	config Config

	known    bool
	sequence uint64
	started  int64
	models   map[string]bool
	held     map[serving.AdapterKey]*Held
	uses     map[serving.AdapterKey]*use
	wants    map[serving.AdapterKey]*Want

	// loads is the estimate of the time of a load.
	loads *LoadTime

	pending   *Order
	pendingAt time.Time
	// trustAfter is when a report was asked for at the earliest that shows
	// whether an order without an answer was taken.
	trustAfter time.Time
	modelBusy  bool
	modelUntil time.Time
	// pauseUntil holds orders back after a conflict.
	pauseUntil time.Time
	conflicts  int
	// contradicted is set until the next report after the engine denied what
	// the table says.
	contradicted bool
	// version counts the changes of what is held.
	version uint64
}

// NewTable returns the account of an engine of which nothing is known. Engines
// that load from the same weight store share the estimate of a load's time.
func NewTable(config Config, loads *LoadTime) *Table {
	return &Table{
		config: config,
		loads:  loads,
		models: make(map[string]bool),
		held:   make(map[serving.AdapterKey]*Held),
		uses:   make(map[serving.AdapterKey]*use),
		wants:  make(map[serving.AdapterKey]*Want),
	}
}

// Known reports whether the engine's state is known well enough for orders.
func (t *Table) Known() bool { return t.known }

// NeedsReport reports whether an order waits for a report.
func (t *Table) NeedsReport(now time.Time) bool {
	return !t.known && !now.Before(t.trustAfter)
}

// Forget drops all that is held, as after a restart of the engine.
func (t *Table) Forget(now time.Time) {
	t.known = false
	t.sequence = 0
	t.pending = nil
	clear(t.models)
	clear(t.held)
	t.trustAfter = now
	t.version++
}

// Apply takes a report that was asked for at the given time.
func (t *Table) Apply(asked, now time.Time, report Report) {
	restarted := report.Started != 0 && t.started != 0 && report.Started > t.started
	if report.Started != 0 && report.Started < t.started {
		return
	}
	if t.pending != nil || asked.Before(t.trustAfter) && !restarted {
		return
	}
	// The sequence never falls while the engine runs, so a lower one is old.
	if !restarted && report.Sequence < t.sequence {
		return
	}
	t.started = max(t.started, report.Started)
	before := t.held
	t.held = make(map[serving.AdapterKey]*Held)
	clear(t.models)
	for _, model := range report.Models {
		t.models[model.Name] = true
		for _, ref := range model.Adapters {
			key := serving.AdapterKey{Model: model.Name, Adapter: ref.Adapter}
			t.held[key] = &Held{Version: ref.Version, Ready: now}
			if old := before[key]; old != nil && !restarted {
				t.held[key].Leaving, t.held[key].ordered = old.Leaving, old.ordered
				if !old.Loading || old.Ready.Before(now) {
					t.held[key].Ready = old.Ready
				}
			}
		}
	}
	for _, coming := range report.Coming {
		entry := &Held{Version: coming.Version, Ready: now.Add(t.loads.Estimate(now)), Loading: true, ordered: now}
		if old := before[coming.Key]; old != nil && !restarted && old.Version == coming.Version {
			entry.Ready, entry.ordered = old.Ready, old.ordered
		}
		t.held[coming.Key] = entry
	}
	t.sequence = report.Sequence
	t.contradicted = false
	t.modelBusy = report.Busy
	t.known = true
	t.version++
}

// Want adds demand for an adapter.
func (t *Table) Want(want Want) {
	if old := t.wants[want.Key]; old != nil {
		old.Version = max(old.Version, want.Version)
		old.Urgency = min(old.Urgency, want.Urgency)
		return
	}
	t.wants[want.Key] = &want
}

// Drop removes the demand for an adapter.
func (t *Table) Drop(key serving.AdapterKey) { delete(t.wants, key) }

// Wants returns the number of adapters that wait for their order.
func (t *Table) Wants() int { return len(t.wants) }

// maxUses bounds the adapters whose uses are counted.
const maxUses = 4096

// Used counts uses of an adapter, held or not.
func (t *Table) Used(now time.Time, key serving.AdapterKey, times float64) {
	if len(t.uses) >= maxUses {
		t.prune(now)
	}
	u := t.uses[key]
	if u == nil {
		u = &use{at: now}
		t.uses[key] = u
	}
	u.count = u.count*t.decay(now.Sub(u.at)) + times
	u.at = now
}

// prune forgets the uses that have decayed.
func (t *Table) prune(now time.Time) {
	for key := range t.uses {
		if t.worth(now, key) < prunedWorth && t.held[key] == nil {
			delete(t.uses, key)
		}
	}
}

// prunedWorth is a single use three half-lives ago.
const prunedWorth = 0.125

func (t *Table) decay(age time.Duration) float64 {
	return math.Exp2(-age.Seconds() / t.config.HalfLife.Seconds())
}

func (t *Table) worth(now time.Time, key serving.AdapterKey) float64 {
	u := t.uses[key]
	if u == nil {
		return 0
	}
	return u.count * t.decay(now.Sub(u.at))
}

// Find returns the entry of an adapter with at least the given version that
// is held or on its way.
func (t *Table) Find(key serving.AdapterKey, version ids.AdapterVersion) (Held, bool) {
	entry := t.held[key]
	if entry == nil || entry.Leaving || entry.Version < version {
		return Held{}, false
	}
	return *entry, true
}

// Slots returns the adapters held or on their way and the most that fit.
func (t *Table) Slots(limits Limits) (used, capacity int) {
	return len(t.held), t.capacity(limits)
}

// HasModel reports whether the engine holds a base model.
func (t *Table) HasModel(model string) bool { return t.models[model] }

// Models returns the base models that the engine holds.
func (t *Table) Models() []string {
	models := make([]string, 0, len(t.models))
	for model := range t.models {
		models = append(models, model)
	}
	sort.Strings(models)
	return models
}

// Room returns how many more adapters the engine can take soon: its free slots
// and those of adapters without open requests, less the adapters that wait.
func (t *Table) Room(now time.Time, limits Limits, active func() map[serving.AdapterKey]bool) int {
	room := t.capacity(limits) - len(t.held) - len(t.wants)
	if room > 0 {
		return room
	}
	inUse := active()
	for key, entry := range t.held {
		if t.evictable(now, key, entry) && !inUse[key] {
			room++
		}
	}
	return room
}

func (t *Table) evictable(now time.Time, key serving.AdapterKey, entry *Held) bool {
	return !entry.Loading && !entry.Leaving && t.wants[key] == nil && now.Sub(entry.Ready) >= t.config.MinResidence
}

func (t *Table) capacity(limits Limits) int {
	capacity := limits.AdapterSlots
	room, adapterMB := limits.WeightsMB, 0.0
	for _, model := range limits.Models {
		if t.models[model.Name] {
			room -= model.WeightsMB
			adapterMB = max(adapterMB, model.AdapterMB)
		}
	}
	if adapterMB > 0 && limits.WeightsMB > 0 {
		capacity = min(capacity, int(room/adapterMB))
	}
	return max(capacity, 0)
}

func (t *Table) transit() int {
	count := 0
	for _, entry := range t.held {
		if entry.Loading {
			count++
		}
	}
	return count
}

// Next returns the next order, if one may be given now. Until Finish is
// called no other order is returned. MayLoadModel tells whether the weight
// store has room for a load, and active which adapters have open requests.
func (t *Table) Next(now time.Time, limits Limits, mayLoadModel bool, active func() map[serving.AdapterKey]bool) (Order, bool) {
	t.settle(now)
	if !t.known || t.pending != nil || now.Before(t.pauseUntil) || now.Before(t.modelUntil) || t.modelBusy {
		return Order{}, false
	}
	if order, due := t.nextModel(limits, mayLoadModel); due {
		return t.begin(now, order), true
	}
	for _, want := range t.ordered() {
		if !t.models[want.Key.Model] {
			continue
		}
		if _, found := t.Find(want.Key, want.Version); found {
			delete(t.wants, want.Key)
			continue
		}
		if t.transit() >= t.config.MaxTransit {
			return Order{}, false
		}
		if old := t.held[want.Key]; old != nil {
			if old.Leaving || old.Loading {
				continue
			}
			// A newer version replaces the held one in its slot.
			return t.begin(now, Order{Kind: LoadAdapter, Model: want.Key.Model, Adapter: want.Key.Adapter, Version: want.Version}), true
		}
		if len(t.held) < t.capacity(limits) {
			return t.begin(now, Order{Kind: LoadAdapter, Model: want.Key.Model, Adapter: want.Key.Adapter, Version: want.Version}), true
		}
		if victim, found := t.victim(now, active()); found {
			return t.begin(now, Order{Kind: UnloadAdapter, Model: victim.Model, Adapter: victim.Adapter}), true
		}
		return Order{}, false
	}
	return Order{}, false
}

// settle turns loads whose time has passed into held adapters. An engine that
// is not done yet refuses the request, which then waits and comes again.
func (t *Table) settle(now time.Time) {
	for _, entry := range t.held {
		if entry.Loading && !now.Before(entry.Ready) {
			entry.Loading = false
			t.version++
		}
	}
}

func (t *Table) nextModel(limits Limits, mayLoad bool) (Order, bool) {
	if len(t.models) > 0 || len(limits.Models) == 0 || !mayLoad {
		return Order{}, false
	}
	wanted := limits.Models[0].Name
	counts := make(map[string]int)
	for key := range t.wants {
		counts[key.Model]++
		if counts[key.Model] > counts[wanted] {
			wanted = key.Model
		}
	}
	for _, model := range limits.Models {
		if model.Name == wanted && model.WeightsMB <= limits.WeightsMB {
			return Order{Kind: LoadModel, Model: wanted}, true
		}
	}
	return Order{}, false
}

func (t *Table) ordered() []*Want {
	list := make([]*Want, 0, len(t.wants))
	for _, want := range t.wants {
		list = append(list, want)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Urgency != list[j].Urgency {
			return list[i].Urgency < list[j].Urgency
		}
		if !list[i].Since.Equal(list[j].Since) {
			return list[i].Since.Before(list[j].Since)
		}
		return list[i].Key.String() < list[j].Key.String()
	})
	return list
}

// victim returns the adapter whose recent use is lowest. Adapters that are
// wanted, or that have just been loaded for requests that wait, are kept.
// Those with open requests come last, since their unload waits and holds other
// orders up.
func (t *Table) victim(now time.Time, active map[serving.AdapterKey]bool) (serving.AdapterKey, bool) {
	var best serving.AdapterKey
	found, least := false, 0.0
	for key, entry := range t.held {
		if !t.evictable(now, key, entry) {
			continue
		}
		worth := t.worth(now, key)
		if active[key] {
			worth += activeWorth
		}
		if !found || worth < least || worth == least && key.String() < best.String() {
			best, least, found = key, worth, true
		}
	}
	return best, found
}

// activeWorth is above any count of uses.
const activeWorth = 1e6

func (t *Table) begin(now time.Time, order Order) Order {
	order.Sequence = t.sequence
	t.pending, t.pendingAt = &order, now
	return order
}

// Finish takes the result of the pending order.
func (t *Table) Finish(now time.Time, order Order, result Result) {
	if t.pending == nil || *t.pending != order {
		return
	}
	t.pending = nil
	if result != Conflict {
		t.conflicts = 0
	}
	key := serving.AdapterKey{Model: order.Model, Adapter: order.Adapter}
	switch result {
	case Accepted:
		t.sequence++
		t.accepted(now, order, key, false)
	case Done:
		t.sequence++
		t.accepted(now, order, key, true)
	case Conflict:
		// An unload that waits for its requests refuses other orders for a
		// while; only a conflict that lasts puts the table in doubt.
		t.pauseUntil = now.Add(conflictPause)
		t.conflicts++
		if order.Kind == LoadAdapter {
			// More may be on the way than the estimate says.
			t.loads.learn(now, t.loads.Estimate(now)+deniedStep/2)
		}
		if t.conflicts >= conflictsForDoubt {
			t.conflicts = 0
			t.doubt(now)
		}
	case Unknown:
		t.doubt(now.Add(t.config.ReportLag))
	case NotTaken:
		t.pauseUntil = now.Add(conflictPause)
		t.doubt(now)
	}
}

// conflictPause keeps a refused order from being repeated at once.
const conflictPause = 60 * time.Millisecond

// conflictsForDoubt is the number of conflicts in a row after which the
// engine is asked what it holds.
const conflictsForDoubt = 3

// modelLoadSlack is added to the stated load time of a model before its
// completion is asked for.
const modelLoadSlack = 100 * time.Millisecond

// doubt stops orders until a report that is asked for at the given time or
// later is applied.
func (t *Table) doubt(trustAfter time.Time) {
	t.known = false
	t.trustAfter = trustAfter
}

func (t *Table) accepted(now time.Time, order Order, key serving.AdapterKey, done bool) {
	t.version++
	switch order.Kind {
	case LoadAdapter:
		ready := now.Add(t.loads.Estimate(now))
		if done {
			ready = now
		}
		t.held[key] = &Held{Version: order.Version, Ready: ready, Loading: !done, ordered: now}
		delete(t.wants, key)
	case UnloadAdapter:
		if done {
			delete(t.held, key)
			return
		}
		if entry := t.held[key]; entry != nil {
			entry.Leaving = true
		}
	case LoadModel:
		if done {
			t.models[order.Model] = true
			return
		}
		t.modelUntil = now.Add(modelLoadSlack)
		t.doubt(t.modelUntil)
	}
}

// Contradicted reports whether a report should be asked for soon, since the
// engine denied what the table says.
func (t *Table) Contradicted() bool { return t.contradicted }

// ModelBusy reports whether the engine is loading a model.
func (t *Table) ModelBusy() bool { return t.modelBusy }

// Backlog estimates when one more adapter would be there behind others.
func (t *Table) Backlog(now time.Time, ahead int) time.Duration {
	rounds := (ahead+t.transit())/t.config.MaxTransit + 1
	if rounds <= 1 {
		return t.config.LoadTime
	}
	return time.Duration(rounds) * t.loads.Estimate(now)
}

// deniedStep is the pause before an engine that was asked too early is asked
// again.
const deniedStep = 70 * time.Millisecond

// lateLoad is the age of a load from which an engine that denies having the
// adapter has lost it.
const lateLoad = 3 * time.Second

// Denied takes an engine's word that it does not have an adapter that the
// table holds: it is still loading, or the engine has lost what it held.
func (t *Table) Denied(now time.Time, key serving.AdapterKey) {
	entry := t.held[key]
	if entry == nil || entry.Leaving || entry.Loading && entry.Ready.After(now) {
		return
	}
	age := now.Sub(entry.ordered)
	t.contradicted = true
	if entry.ordered.IsZero() || age > lateLoad {
		t.doubt(now)
		return
	}
	t.loads.learn(now, max(t.loads.Estimate(now), age)+deniedStep/2)
	entry.Loading, entry.Ready = true, now.Add(deniedStep)
	t.version++
}

// Version counts the changes of what is held.
func (t *Table) Version() uint64 { return t.version }

// Snapshot returns what is held and on its way.
func (t *Table) Snapshot(now time.Time) map[serving.AdapterKey]Held {
	t.settle(now)
	snapshot := make(map[serving.AdapterKey]Held, len(t.held))
	for key, entry := range t.held {
		snapshot[key] = *entry
	}
	return snapshot
}

// Leaving reports whether an unload waits for requests to end, so that a
// report is needed to see the slot free.
func (t *Table) Leaving() bool {
	for _, entry := range t.held {
		if entry.Leaving {
			return true
		}
	}
	return false
}
