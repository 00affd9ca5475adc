// Package residency decides which adapters and models an engine loads and
// which adapters it evicts. A Table is the owner's record of one engine: the
// adapters it holds, the loads in progress, and an order whose result is not
// known yet. Its inputs are the engine's reports, the results of orders, and
// the demand for adapters; the owner in pkg/node calls it. A Table is
// deterministic: times and results are arguments, and the orders to send are
// return values. The caller synchronizes access.
package residency

import (
	"math"
	"sort"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
)

// Limits bounds what one engine can hold.
type Limits struct {
	// AdapterSlots is the maximum number of adapters that are held or being
	// loaded.
	AdapterSlots int
	// WeightsMB is the memory for the weights of models and adapters.
	WeightsMB float64
	Models    []serving.Model
}

// Config holds the parameters for ordering loads and evictions.
type Config struct {
	// MaxTransit is the maximum number of adapters that one engine loads at
	// the same time.
	MaxTransit int
	// MaxReportLag is the maximum age of the values in an engine's report.
	MaxReportLag time.Duration
	// LoadTime is the initial estimate of how long an adapter load takes.
	LoadTime time.Duration
	// UseHalfLife is the half-life of the use counts that decide which adapter
	// is evicted.
	UseHalfLife time.Duration
	// MinResidence is how long a loaded adapter is kept before it may be
	// evicted, so that the requests that waited for it can start.
	MinResidence time.Duration
}

// DefaultConfig returns the parameters for engines as the platform's pages
// describe them: four concurrent adapter loads, reports that are some hundred
// milliseconds old, and a load time of a quarter of a second.
func DefaultConfig() Config {
	return Config{
		MaxTransit:   4,
		MaxReportLag: 500 * time.Millisecond,
		LoadTime:     250 * time.Millisecond,
		UseHalfLife:  6 * time.Second,
		MinResidence: 700 * time.Millisecond,
	}
}

// OrderKind is the kind of an order to an engine.
type OrderKind int

// Kinds of orders.
const (
	LoadAdapter OrderKind = iota
	UnloadAdapter
	LoadModel
)

// Order is an order to an engine to load or unload something.
type Order struct {
	Kind    OrderKind
	Model   string
	Adapter ids.AdapterID
	Version ids.AdapterVersion
	// Sequence is the number of orders that the engine has accepted so far, as
	// known to the sender. An engine that has accepted others refuses the
	// order.
	Sequence uint64
}

// String returns the kind as it appears in logs.
func (k OrderKind) String() string {
	return [...]string{"load adapter", "unload adapter", "load model"}[k]
}

// Result is the result of an order.
type Result int

// Results of orders.
const (
	// Accepted means that the engine is carrying out the order.
	Accepted Result = iota
	// Done means that the order has taken effect, now or before it was sent.
	Done
	// Conflict means that the engine is busy or has accepted other orders
	// since the one that Sequence refers to.
	Conflict
	// Unknown means that the engine may have accepted the order.
	Unknown
	// Refused means that the order was refused for another reason or was not
	// sent.
	Refused
)

// String returns the result as it appears in logs.
func (r Result) String() string {
	return [...]string{"accepted", "done", "conflict", "unknown", "not taken"}[r]
}

// Held is an adapter that an engine holds or is loading.
type Held struct {
	Version ids.AdapterVersion
	// Ready is when the adapter can first serve requests. It is an estimate
	// while the adapter is loading.
	Ready time.Time
	// Loading is set while the adapter is being loaded.
	Loading bool
	// Leaving is set when an unload was accepted that takes effect once the
	// open requests of the adapter have ended.
	Leaving bool
	// orderedAt is when the load was ordered. It is zero if that time is not
	// known.
	orderedAt time.Time
}

// Report is the state that an engine reports about itself.
type Report struct {
	// Sequence is the number of orders that the engine has accepted since its
	// start.
	Sequence uint64
	// Started identifies the run of the engine; a later run has a higher value.
	// It is 0 if it is not known.
	Started int64
	// Busy is set while the engine loads a model.
	Busy bool
	// Leaving is set if the engine says that it leaves.
	Leaving bool
	Models  []serving.HeldModel
	Coming  []Coming
	Running int
	Waiting int
	// TokensUsed is the number of tokens in the engine's memory that cannot be evicted,
	// and TokensUsedStated is set if the engine states it.
	TokensUsed       int64
	TokensUsedStated bool
	// TokenCapacity is the number of tokens that fit into that memory, and NextTokens that
	// of the first request that waits at the engine; 0 if they are not stated.
	TokenCapacity int64
	NextTokens    int64
}

// Coming is an adapter that an engine is loading.
type Coming struct {
	Key     serving.AdapterKey
	Version ids.AdapterVersion
}

// Demand is the demand for an adapter at an engine. Demands with a lower
// Urgency value are served first.
type Demand struct {
	Key     serving.AdapterKey
	Version ids.AdapterVersion
	Urgency int
	Since   time.Time
}

// useCount is the decayed number of uses of an adapter as of a time.
type useCount struct {
	uses float64
	at   time.Time
}

// Table is the owner's record of one engine.
type Table struct {
	config Config

	known    bool
	sequence uint64
	// sequenceExact is set while sequence is the engine's own number, so that a
	// higher one in a report means that the engine has accepted an order of
	// another owner, which sets foreignOrders. A report requested before
	// exactNotBefore may miss orders that a previous owner sent; zero until the
	// first report.
	sequenceExact, foreignOrders bool
	exactNotBefore               time.Time
	started                      int64
	models                       map[string]bool
	held                         map[serving.AdapterKey]*Held
	useCounts                    map[serving.AdapterKey]*useCount
	demands                      map[serving.AdapterKey]*Demand

	// loadTime estimates the duration of adapter loads.
	loadTime *LoadTimeEstimator

	pendingOrder *Order
	pendingSince time.Time
	// reportNotBefore is the earliest request time of a report that is certain
	// to show whether an order without an answer was accepted.
	reportNotBefore time.Time
	modelLoading    bool
	modelLoadUntil  time.Time
	// backoffUntil is when orders may be sent again after a conflict or a
	// refusal.
	backoffUntil time.Time
	conflicts    int
	// contradicted is set when the engine has denied having an adapter that
	// the table lists, until the next report is applied.
	contradicted bool
	// denial is the load time that was observed when the engine last denied having
	// an adapter.
	denial observation
	// changeCount counts the changes of models and held.
	changeCount uint64
}

// NewTable returns the record of an engine whose state is not known yet.
// Engines that load from the same weight store share one load time estimate.
func NewTable(config Config, loadTime *LoadTimeEstimator) *Table {
	return &Table{
		config:    config,
		loadTime:  loadTime,
		models:    make(map[string]bool),
		held:      make(map[serving.AdapterKey]*Held),
		useCounts: make(map[serving.AdapterKey]*useCount),
		demands:   make(map[serving.AdapterKey]*Demand),
	}
}

// Known reports whether the engine's state is known well enough to send
// orders.
func (t *Table) Known() bool { return t.known }

// NeedsReport reports whether a report must be requested before orders can be
// sent again.
func (t *Table) NeedsReport(now time.Time) bool {
	return !t.known && !now.Before(t.reportNotBefore)
}

// Reset discards the known state of the engine, as after a restart of the
// engine. Demands and use counts stay.
func (t *Table) Reset(now time.Time) {
	t.known = false
	t.sequence = 0
	t.forgetSequence()
	t.pendingOrder = nil
	clear(t.models)
	clear(t.held)
	t.withdrawDenial()
	t.reportNotBefore = now
	t.changeCount++
}

// ApplyReport applies a report that was requested at the given time. It
// ignores reports that may predate the last order or come from an earlier run
// of the engine.
func (t *Table) ApplyReport(requestedAt, now time.Time, report Report) {
	restarted := report.Started != 0 && t.started != 0 && report.Started > t.started
	if report.Started != 0 && report.Started < t.started {
		return
	}
	if t.pendingOrder != nil || requestedAt.Before(t.reportNotBefore) && !restarted {
		return
	}
	// The sequence number never decreases while the engine runs, so a report
	// with a lower one is outdated.
	if !restarted && report.Sequence < t.sequence {
		return
	}
	t.started = max(t.started, report.Started)
	if restarted {
		t.withdrawDenial()
	}
	if t.sequenceExact && !restarted && report.Sequence > t.sequence {
		t.foreignOrders = true
	}
	if t.exactNotBefore.IsZero() {
		t.exactNotBefore = requestedAt.Add(t.config.MaxReportLag)
	}
	t.sequenceExact = t.sequenceExact || !requestedAt.Before(t.exactNotBefore)
	heldBefore := t.held
	t.held = make(map[serving.AdapterKey]*Held)
	clear(t.models)
	for _, model := range report.Models {
		t.models[model.Name] = true
		for _, ref := range model.Adapters {
			key := serving.AdapterKey{Model: model.Name, Adapter: ref.Adapter}
			t.held[key] = &Held{Version: ref.Version, Ready: now}
			if old := heldBefore[key]; old != nil && !restarted {
				t.held[key].Leaving, t.held[key].orderedAt = old.Leaving, old.orderedAt
				if !old.Loading || old.Ready.Before(now) {
					t.held[key].Ready = old.Ready
				}
			}
		}
	}
	for _, coming := range report.Coming {
		entry := &Held{Version: coming.Version, Ready: now.Add(t.loadTime.Estimate(now)), Loading: true, orderedAt: now}
		if old := heldBefore[coming.Key]; old != nil && !restarted && old.Version == coming.Version {
			entry.Ready, entry.orderedAt = old.Ready, old.orderedAt
		}
		t.held[coming.Key] = entry
	}
	t.sequence = report.Sequence
	t.contradicted = false
	t.modelLoading = report.Busy
	t.known = true
	t.changeCount++
}

// forgetSequence records that the engine's number of accepted orders may be
// higher than the table's without an order of another owner.
func (t *Table) forgetSequence() { t.sequenceExact, t.exactNotBefore = false, time.Time{} }

// TakeForeignOrders reports whether the engine has accepted orders of another
// owner since the last call.
func (t *Table) TakeForeignOrders() bool {
	seen := t.foreignOrders
	t.foreignOrders = false
	return seen
}

// Demand adds demand for an adapter or merges it with the existing demand.
func (t *Table) Demand(demand Demand) {
	if existing := t.demands[demand.Key]; existing != nil {
		existing.Version = max(existing.Version, demand.Version)
		existing.Urgency = min(existing.Urgency, demand.Urgency)
		return
	}
	t.demands[demand.Key] = &demand
}

// DropDemand removes the demand for an adapter.
func (t *Table) DropDemand(key serving.AdapterKey) { delete(t.demands, key) }

// PendingDemands returns the number of adapters whose load has not been
// ordered yet.
func (t *Table) PendingDemands() int { return len(t.demands) }

// maxUseCounts is the number of use counts from which decayed ones are
// removed.
const maxUseCounts = 4096

// Used counts uses of an adapter, whether or not the engine holds it.
func (t *Table) Used(now time.Time, key serving.AdapterKey, newUses float64) {
	if len(t.useCounts) >= maxUseCounts {
		t.pruneUseCounts(now)
	}
	entry := t.useCounts[key]
	if entry == nil {
		entry = &useCount{at: now}
		t.useCounts[key] = entry
	}
	entry.uses = entry.uses*t.decayFactor(now.Sub(entry.at)) + newUses
	entry.at = now
}

// pruneUseCounts removes the counts that have decayed of adapters that are not
// held.
func (t *Table) pruneUseCounts(now time.Time) {
	for key := range t.useCounts {
		if t.recentUses(now, key) < minRecentUses && t.held[key] == nil {
			delete(t.useCounts, key)
		}
	}
}

// minRecentUses is the use count below which a count is removed: that of a
// single use three half-lives ago.
const minRecentUses = 0.125

func (t *Table) decayFactor(age time.Duration) float64 {
	return math.Exp2(-age.Seconds() / t.config.UseHalfLife.Seconds())
}

// recentUses returns the use count of an adapter, decayed to now.
func (t *Table) recentUses(now time.Time, key serving.AdapterKey) float64 {
	entry := t.useCounts[key]
	if entry == nil {
		return 0
	}
	return entry.uses * t.decayFactor(now.Sub(entry.at))
}

// Find returns the entry of an adapter that is held or being loaded with at
// least the given version.
func (t *Table) Find(key serving.AdapterKey, version ids.AdapterVersion) (Held, bool) {
	entry := t.held[key]
	if entry == nil || entry.Leaving || entry.Version < version {
		return Held{}, false
	}
	return *entry, true
}

// Slots returns the number of adapters that are held or being loaded, and the
// maximum number.
func (t *Table) Slots(limits Limits) (used, capacity int) {
	return len(t.held), t.capacity(limits)
}

// HasModel reports whether the engine holds a base model.
func (t *Table) HasModel(model string) bool { return t.models[model] }

// Models returns the names of the base models that the engine holds, sorted.
func (t *Table) Models() []string {
	models := make([]string, 0, len(t.models))
	for model := range t.models {
		models = append(models, model)
	}
	sort.Strings(models)
	return models
}

// AvailableSlots returns how many more adapters the engine can load soon. Free
// slots count, less the adapters that wait for their order; if none is left,
// the slots of adapters that may be evicted and have no open requests count
// too.
func (t *Table) AvailableSlots(now time.Time, limits Limits, activeAdapters func() map[serving.AdapterKey]bool) int {
	slots := t.capacity(limits) - len(t.held) - len(t.demands)
	if slots > 0 {
		return slots
	}
	adaptersInUse := activeAdapters()
	for key, entry := range t.held {
		if t.evictable(now, key, entry) && !adaptersInUse[key] {
			slots++
		}
	}
	return slots
}

// RoomForCopy reports whether the engine can take a copy of an adapter that no request
// waits for without losing one that is as much in use: a slot is free, or held by an
// adapter without open requests that was used less than half as often.
func (t *Table) RoomForCopy(now time.Time, limits Limits, key serving.AdapterKey, activeAdapters func() map[serving.AdapterKey]bool) bool {
	slots := t.capacity(limits) - len(t.held) - len(t.demands)
	if slots > 0 {
		return true
	}
	adaptersInUse, uses := activeAdapters(), t.recentUses(now, key)
	for other, entry := range t.held {
		if t.evictable(now, other, entry) && !adaptersInUse[other] && t.recentUses(now, other) < uses/2 {
			slots++
		}
	}
	return slots > 0
}

// evictable reports whether an adapter may be evicted: it is loaded, not in
// demand, and was kept for MinResidence.
func (t *Table) evictable(now time.Time, key serving.AdapterKey, entry *Held) bool {
	return !entry.Loading && !entry.Leaving && t.demands[key] == nil && now.Sub(entry.Ready) >= t.config.MinResidence
}

// capacity returns how many adapters fit, given the slots and the memory that
// the loaded models leave.
func (t *Table) capacity(limits Limits) int {
	capacity := limits.AdapterSlots
	freeMB, adapterMB := limits.WeightsMB, 0.0
	for _, model := range limits.Models {
		if t.models[model.Name] {
			freeMB -= model.WeightsMB
			adapterMB = max(adapterMB, model.AdapterMB)
		}
	}
	if adapterMB > 0 && limits.WeightsMB > 0 {
		capacity = min(capacity, int(freeMB/adapterMB))
	}
	return max(capacity, 0)
}

func (t *Table) loadingCount() int {
	count := 0
	for _, entry := range t.held {
		if entry.Loading {
			count++
		}
	}
	return count
}

// NextOrder returns the next order to send, if one may be sent now. It returns
// no other order until FinishOrder is called. mayLoadModel says whether the
// weight store has capacity for a model load; active returns the adapters that
// have open requests.
func (t *Table) NextOrder(now time.Time, limits Limits, mayLoadModel bool, active func() map[serving.AdapterKey]bool) (Order, bool) {
	t.markElapsedLoads(now)
	if !t.known || t.pendingOrder != nil || now.Before(t.backoffUntil) || now.Before(t.modelLoadUntil) || t.modelLoading {
		return Order{}, false
	}
	if order, ok := t.nextModelLoad(limits, mayLoadModel); ok {
		return t.startOrder(now, order), true
	}
	for _, demand := range t.demandsByUrgency() {
		if !t.models[demand.Key.Model] {
			continue
		}
		if _, found := t.Find(demand.Key, demand.Version); found {
			delete(t.demands, demand.Key)
			continue
		}
		if t.loadingCount() >= t.config.MaxTransit {
			return Order{}, false
		}
		if old := t.held[demand.Key]; old != nil {
			if old.Leaving || old.Loading {
				continue
			}
			// A newer version replaces the held one in the same slot.
			return t.startOrder(now, Order{Kind: LoadAdapter, Model: demand.Key.Model, Adapter: demand.Key.Adapter, Version: demand.Version}), true
		}
		if len(t.held) < t.capacity(limits) {
			return t.startOrder(now, Order{Kind: LoadAdapter, Model: demand.Key.Model, Adapter: demand.Key.Adapter, Version: demand.Version}), true
		}
		if evictionCandidate, found := t.evictionCandidate(now, active()); found {
			return t.startOrder(now, Order{Kind: UnloadAdapter, Model: evictionCandidate.Model, Adapter: evictionCandidate.Adapter}), true
		}
		return Order{}, false
	}
	return Order{}, false
}

// markElapsedLoads marks adapters as loaded whose estimated load time has
// passed. An engine that is not done yet refuses the request, which then waits
// and is sent again.
func (t *Table) markElapsedLoads(now time.Time) {
	for _, entry := range t.held {
		if entry.Loading && !now.Before(entry.Ready) {
			entry.Loading = false
			t.changeCount++
		}
	}
}

// nextModelLoad returns the order to load a base model if the engine has none.
// It chooses the model with the most demands, or the first one if none is in
// demand.
func (t *Table) nextModelLoad(limits Limits, mayLoadModel bool) (Order, bool) {
	if len(t.models) > 0 || len(limits.Models) == 0 || !mayLoadModel {
		return Order{}, false
	}
	wanted := limits.Models[0].Name
	counts := make(map[string]int)
	for key := range t.demands {
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

// demandsByUrgency returns the demands in the order in which they are served.
func (t *Table) demandsByUrgency() []*Demand {
	sorted := make([]*Demand, 0, len(t.demands))
	for _, demand := range t.demands {
		sorted = append(sorted, demand)
	}
	sort.Slice(sorted, func(i, j int) bool {
		if sorted[i].Urgency != sorted[j].Urgency {
			return sorted[i].Urgency < sorted[j].Urgency
		}
		if !sorted[i].Since.Equal(sorted[j].Since) {
			return sorted[i].Since.Before(sorted[j].Since)
		}
		return sorted[i].Key.String() < sorted[j].Key.String()
	})
	return sorted
}

// evictionCandidate returns the adapter with the lowest recent use. It skips
// adapters that are in demand or were loaded so recently that the requests
// that waited for them may not have started. Adapters with open requests come
// last, since their unload waits for these requests and delays other orders.
func (t *Table) evictionCandidate(now time.Time, active map[serving.AdapterKey]bool) (serving.AdapterKey, bool) {
	var candidate serving.AdapterKey
	found, fewestUses := false, 0.0
	for key, entry := range t.held {
		if !t.evictable(now, key, entry) {
			continue
		}
		recentUses := t.recentUses(now, key)
		if active[key] {
			recentUses += activeUseBonus
		}
		if !found || recentUses < fewestUses || recentUses == fewestUses && key.String() < candidate.String() {
			candidate, fewestUses, found = key, recentUses, true
		}
	}
	return candidate, found
}

// activeUseBonus is added to the recent uses of an adapter with open requests.
// It exceeds any use count.
const activeUseBonus = 1e6

// startOrder makes an order the pending one and sets its sequence number.
func (t *Table) startOrder(now time.Time, order Order) Order {
	order.Sequence = t.sequence
	t.pendingOrder, t.pendingSince = &order, now
	return order
}

// FinishOrder records the result of the pending order.
func (t *Table) FinishOrder(now time.Time, order Order, result Result) {
	if t.pendingOrder == nil || *t.pendingOrder != order {
		return
	}
	t.pendingOrder = nil
	if result != Conflict {
		t.conflicts = 0
	}
	key := serving.AdapterKey{Model: order.Model, Adapter: order.Adapter}
	switch result {
	case Accepted:
		t.sequence++
		t.sequenceExact = true
		t.applyOrder(now, order, key, false)
	case Done:
		t.sequence++
		t.applyOrder(now, order, key, true)
	case Conflict:
		// An engine refuses other orders for a while when an unload waits for
		// open requests. Only repeated conflicts make the state of the engine
		// unknown.
		t.backoffUntil = now.Add(conflictBackoff)
		t.conflicts++
		if order.Kind == LoadAdapter {
			// More loads may be in progress than the estimate assumes.
			t.loadTime.observe(now, t.loadTime.Estimate(now)+denialRetryInterval/2)
		}
		if t.conflicts >= conflictsBeforeReport {
			t.conflicts = 0
			t.markUnknown(now)
		}
	case Unknown:
		t.forgetSequence()
		t.markUnknown(now.Add(t.config.MaxReportLag))
	case Refused:
		t.backoffUntil = now.Add(conflictBackoff)
		t.markUnknown(now)
	}
}

// conflictBackoff is the pause after a conflict or a refusal, so that the
// order is not repeated at once.
const conflictBackoff = 60 * time.Millisecond

// conflictsBeforeReport is the number of consecutive conflicts after which the
// engine's state counts as unknown and a report is requested.
const conflictsBeforeReport = 3

// modelLoadMargin is how long after an accepted model load the table waits
// before it requests a report of its completion.
const modelLoadMargin = 100 * time.Millisecond

// markUnknown stops orders until a report is applied that was requested at the
// given time or later.
func (t *Table) markUnknown(reportNotBefore time.Time) {
	t.known = false
	t.reportNotBefore = reportNotBefore
}

// applyOrder records an order that the engine has accepted; done means that it
// has already taken effect.
func (t *Table) applyOrder(now time.Time, order Order, key serving.AdapterKey, done bool) {
	t.changeCount++
	switch order.Kind {
	case LoadAdapter:
		ready := now.Add(t.loadTime.Estimate(now))
		if done {
			ready = now
		}
		t.held[key] = &Held{Version: order.Version, Ready: ready, Loading: !done, orderedAt: now}
		delete(t.demands, key)
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
		t.modelLoadUntil = now.Add(modelLoadMargin)
		t.markUnknown(t.modelLoadUntil)
	}
}

// Contradicted reports whether a report should be requested soon, because the
// engine has denied having an adapter that the table lists.
func (t *Table) Contradicted() bool { return t.contradicted }

// ModelBusy reports whether the engine is loading a model.
func (t *Table) ModelBusy() bool { return t.modelLoading }

// EstimateWait estimates how long one more adapter takes to be ready, with the
// given number of loads ordered before it.
func (t *Table) EstimateWait(now time.Time, loadsAhead int) time.Duration {
	rounds := (loadsAhead+t.loadingCount())/t.config.MaxTransit + 1
	if rounds <= 1 {
		return t.config.LoadTime
	}
	return time.Duration(rounds) * t.loadTime.Estimate(now)
}

// denialRetryInterval is the pause before another request is sent to an engine
// that received one before its load had finished, or denialRetryShare of the
// load's age if that is longer. A load that takes long costs few denials then.
const (
	denialRetryInterval = 70 * time.Millisecond
	denialRetryShare    = 0.25
)

// maxLoadingAge is the age of a load order above which an engine that denies
// having the adapter is taken to have lost it.
const maxLoadingAge = 3 * time.Second

// AdapterMissing records that the engine denied having an adapter that the
// table lists as loaded. Either the engine is still loading it, or it has lost
// it.
func (t *Table) AdapterMissing(now time.Time, key serving.AdapterKey) {
	entry := t.held[key]
	if entry == nil || entry.Leaving || entry.Loading && entry.Ready.After(now) {
		return
	}
	age := now.Sub(entry.orderedAt)
	t.contradicted = true
	if entry.orderedAt.IsZero() || age > maxLoadingAge {
		t.markUnknown(now)
		return
	}
	pause := max(denialRetryInterval, time.Duration(denialRetryShare*float64(age)))
	t.denial = t.loadTime.observe(now, max(t.loadTime.Estimate(now), age)+pause/2)
	entry.Loading, entry.Ready = true, now.Add(pause)
	t.changeCount++
}

// withdrawDenial undoes what a denial added to the load time estimate: an engine
// that has restarted denied an adapter because it had lost it.
func (t *Table) withdrawDenial() {
	t.loadTime.withdraw(t.denial)
	t.denial = observation{}
}

// ChangeCount returns the number of changes to the engine's models and
// adapters.
func (t *Table) ChangeCount() uint64 { return t.changeCount }

// Snapshot returns a copy of the adapters that are held or being loaded.
func (t *Table) Snapshot(now time.Time) map[serving.AdapterKey]Held {
	t.markElapsedLoads(now)
	snapshot := make(map[serving.AdapterKey]Held, len(t.held))
	for key, entry := range t.held {
		snapshot[key] = *entry
	}
	return snapshot
}

// Leaving reports whether an accepted unload waits for open requests to end.
// Only a report shows when its slot is free.
func (t *Table) Leaving() bool {
	for _, entry := range t.held {
		if entry.Leaving {
			return true
		}
	}
	return false
}
