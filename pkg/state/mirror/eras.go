package mirror

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// firstEra is the highest era that a store has from the start. A mirror that has
// not seen such an era begin takes it for one that has lost nothing.
const firstEra ids.Era = 1

// Position names a state of the store. Revisions of different eras cannot be
// compared: a store that comes back from a copy gives revisions out again.
type Position struct {
	Era      ids.Era      `json:"era,omitempty"`
	Revision ids.Revision `json:"revision"`
}

// Rank orders the records of one key by their content, which holds across eras.
type Rank struct {
	// Order is the version that the record states, or the start of the
	// endpoint's process.
	Order uint64 `json:"order"`
	// Stage orders the records with the same Order.
	Stage Stage `json:"stage,omitempty"`
	// Lasting is set for records that are in force until a newer one is written.
	// Those of endpoints also end without one.
	Lasting bool `json:"lasting,omitempty"`
	// Written is set for records that are ordered by when they were written, since
	// their content names no order. They are in force until they are deleted. The
	// mirror sets Era to the one in which it last had the record and Order to the
	// revision of the last change.
	Written bool    `json:"written,omitempty"`
	Era     ids.Era `json:"era,omitempty"`
}

// Stage is a stage of an endpoint's life, which only advances.
type Stage int

// Stages of a record.
const (
	StageInUse Stage = iota
	StageLeaving
	StageRemoved
)

func (r Rank) compare(other Rank) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Order, other.Order), cmp.Compare(r.Stage, other.Stage))
}

// RankFunc returns the rank of a record, and reports whether the record can be
// decoded and has one.
type RankFunc func(key string, value []byte) (Rank, bool)

// Retained is the last record of a key from an earlier era that the store of the
// current era has lost. It stays in effect instead of the store's record until it
// is written again.
type Retained struct {
	Item
	Rank Rank `json:"rank"`
}

// RetentionConfig holds the times that count from the beginning of an era.
type RetentionConfig struct {
	// SettleTime is the time by which lost records of operators have been written
	// again. Until then, a read does not prove that the mirror is current.
	SettleTime time.Duration
	// LostHold is how long an endpoint that the store has lost stays in effect.
	LostHold time.Duration
	// OutdatedHold is how long the store's record of an endpoint is disregarded if
	// the endpoint has since left, said that it leaves or started again. By then the
	// store has removed the records of endpoints that are gone.
	OutdatedHold time.Duration
	// MaxCopyAge is the age of the oldest copy from which a store may come back.
	// Removals are remembered for so long.
	MaxCopyAge time.Duration
}

// NewWithRetention returns an empty mirror that keeps records across eras.
func NewWithRetention(rank RankFunc, content ContentFunc, config RetentionConfig) *Mirror {
	m := New()
	m.rankRecord, m.content, m.retention = rank, content, config
	return m
}

// Position returns the era, and the revision through which the mirror is
// complete.
func (m *Mirror) Position() Position {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return Position{Era: m.era, Revision: m.completeThrough}
}

// Status is what a VM tells its peers about its mirror.
type Status struct {
	Position
	// Digest identifies the records of this era by their content.
	Digest uint64
	// RetainedHash identifies the retained records; 0 if there are none.
	RetainedHash uint64
}

// Status returns the mirror's status at one moment.
func (m *Mirror) Status() Status {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return Status{Position: Position{Era: m.era, Revision: m.completeThrough}, Digest: m.digest, RetainedHash: m.retainedHash}
}

// EraAge returns the time since the beginning of the current era, as far as this
// VM knows, and reports whether that is known: a VM that starts finds an era
// whose beginning it has not seen.
func (m *Mirror) EraAge(now time.Time) (time.Duration, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return now.Sub(m.eraBegan), m.eraBeginKnown
}

// maxEraAge bounds the age of an era that peers tell. All that counts from the
// beginning of an era has ended by then.
const maxEraAge = time.Hour

// eraAge returns the age of an era that a peer told in milliseconds.
func eraAge(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxEraAge.Milliseconds())) * time.Millisecond
}

// LearnEraAge records that an era began at least ageMs milliseconds ago, as a peer
// told.
func (m *Mirror) LearnEraAge(now time.Time, era ids.Era, ageMs int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if era == m.era {
		m.learnEraAge(now, eraAge(ageMs))
	}
}

// learnEraAge is LearnEraAge for callers that hold m.mu.
func (m *Mirror) learnEraAge(now time.Time, age time.Duration) {
	m.eraBeginKnown = true
	if began := now.Add(-age); began.Before(m.eraBegan) {
		m.eraBegan = began
	}
}

// UntilSettled returns the time until a read proves that the mirror is current.
func (m *Mirror) UntilSettled(now time.Time) time.Duration {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.era <= firstEra && !m.eraBeginKnown {
		return 0
	}
	return max(m.eraBegan.Add(m.retention.SettleTime).Sub(now), 0)
}

// RetainedHash identifies the retained records; 0 if there are none.
func (m *Mirror) RetainedHash() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.retainedHash
}

// RetainedKeys returns the keys of the retained records in order.
func (m *Mirror) RetainedKeys() []string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return slices.Sorted(maps.Keys(m.retained))
}

// Merge merges a delta or a listing of the store and returns the records that
// changed. A delta of a later era must be a listing; it begins that era. One of an
// earlier era is ignored.
func (m *Mirror) Merge(now time.Time, delta Delta) []Item {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = now
	switch {
	case delta.Era < m.era || delta.Era > m.era && !delta.Listing:
		return nil
	case delta.Era > m.era:
		return m.beginEra(now, delta)
	}
	return m.dropSuperseded(m.apply(delta))
}

// MergeFromPeer is Merge for a delta or a listing of a peer. It reports whether the
// mirror then has what the peer has; if not, it needs the peer's listing.
func (m *Mirror) MergeFromPeer(now time.Time, delta Delta) (changed []Item, complete bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = now
	switch {
	case delta.Era < m.era:
		return nil, true
	case delta.Era > m.era && !delta.Listing:
		return nil, false
	case delta.Era > m.era:
		return m.beginEra(now, delta), true
	}
	changed, complete = m.applyFromPeer(delta)
	if !complete {
		return nil, false
	}
	changed = m.dropSuperseded(changed)
	for _, r := range delta.Retained {
		// A peer that is behind may keep an endpoint's record that was written again.
		if (m.lasts(r) || delta.Through >= m.completeThrough) && m.retain(now, r) {
			changed = append(changed, m.retained[r.Key].asItem())
		}
	}
	if delta.EraAgeMs != nil {
		m.learnEraAge(now, eraAge(*delta.EraAgeMs))
	}
	m.updateRetainedHash()
	return changed, true
}

// beginEra replaces the mirror's copy by the first listing of a later era. The
// caller holds m.mu.
func (m *Mirror) beginEra(now time.Time, delta Delta) []Item {
	before := m.inEffect()
	candidates := make([]Retained, 0, len(before))
	for _, key := range slices.Sorted(maps.Keys(before)) {
		if before[key].Deleted && now.Sub(before[key].changedAt) > m.retention.MaxCopyAge {
			continue
		}
		if rank, ranked := m.rankOf(before[key]); ranked {
			candidates = append(candidates, Retained{Item: before[key], Rank: rank})
		}
	}
	m.eraBeginKnown = m.completeThrough > 0 || delta.EraAgeMs != nil
	m.eraBegan = now
	if delta.EraAgeMs != nil {
		m.eraBegan = now.Add(-eraAge(*delta.EraAgeMs))
	}
	m.era, m.completeThrough, m.digest = delta.Era, delta.Through, 0
	m.items, m.retained = make(map[string]Item, len(delta.Items)), make(map[string]Retained)
	for _, item := range delta.Items {
		m.set(item)
	}
	for _, candidate := range append(candidates, delta.Retained...) {
		m.retain(now, candidate)
	}
	m.updateRetainedHash()
	return changedItems(before, m.inEffect(), delta.Through)
}

// inEffect returns the record in effect of each key, deletions included. The
// caller holds m.mu.
func (m *Mirror) inEffect() map[string]Item {
	records := maps.Clone(m.items)
	for key, r := range m.retained {
		records[key] = r.asItem()
	}
	return records
}

// changedItems returns the records that differ from those before. A key that is
// no longer known was deleted.
func changedItems(before, after map[string]Item, through ids.Revision) []Item {
	var changed []Item
	for key, item := range after {
		old, known := before[key]
		if known && old.Deleted == item.Deleted && slices.Equal(old.Value, item.Value) || !known && item.Deleted {
			continue
		}
		changed = append(changed, item)
	}
	for key, old := range before {
		if _, known := after[key]; !known && !old.Deleted {
			changed = append(changed, Item{Key: key, Revision: through, Deleted: true})
		}
	}
	slices.SortFunc(changed, func(a, b Item) int { return cmp.Compare(a.Key, b.Key) })
	return changed
}

func (r Retained) asItem() Item {
	item := r.Item
	item.Retained, item.rank = true, r.Rank
	return item
}

// rankOf returns the rank of a record. That of a deletion is the rank of the
// record that it deleted, in the last stage. The caller holds m.mu.
func (m *Mirror) rankOf(item Item) (Rank, bool) {
	switch {
	case item.Retained:
		return item.rank, true
	case m.rankRecord == nil:
		return Rank{}, false
	case !item.Deleted:
		rank, ranked := m.rankRecord(item.Key, item.Value)
		return m.orderWritten(rank, item), ranked
	}
	rank, ranked := m.rankRecord(item.Key, item.Before)
	rank.Stage = StageRemoved
	return m.orderWritten(rank, item), ranked && (rank.Written || len(item.Before) > 0)
}

// orderWritten fills in the order of a record that is ordered by when it was written.
// The caller holds m.mu.
func (m *Mirror) orderWritten(rank Rank, item Item) Rank {
	if rank.Written {
		rank.Era, rank.Order = m.era, uint64(item.Revision)
	}
	return rank
}

// lasts reports whether a retained record stays in effect until the store has a
// change of its key. A deletion of the current era does: no later read of the store
// shows the record that it ended. The caller holds m.mu.
func (m *Mirror) lasts(r Retained) bool {
	return r.Rank.Lasting || r.Rank.Written && (!r.Deleted || r.Rank.Era == m.era)
}

// retain keeps a record of an earlier era if it ranks above the one in effect,
// and reports whether it did. The caller holds m.mu and updates the hash.
func (m *Mirror) retain(now time.Time, r Retained) bool {
	r.Item.Retained = false
	if r.changedAt.IsZero() {
		// A peer's record: the change was at the latest now.
		r.changedAt = now
	}
	if r.Deleted && r.Rank.Lasting {
		return false
	}
	stored, known := m.items[r.Key]
	listed := known && !stored.Deleted
	if !m.lasts(r) && !now.Before(m.holdEnd(r, listed)) {
		return false
	}
	if r.Rank.Written {
		return m.retainWritten(r, listed)
	}
	if current, retained := m.retained[r.Key]; retained {
		if current.Rank.compare(r.Rank) >= 0 {
			return false
		}
	} else if listed {
		if rank, ranked := m.rankOf(stored); ranked && rank.compare(r.Rank) >= 0 {
			return false
		}
	} else if known && !r.Rank.Lasting && !r.Deleted {
		// The endpoint was removed in this era.
		m.recordRemoved(r)
		return false
	}
	m.retained[r.Key] = r
	return true
}

// retainWritten is retain for a record that is ordered by when it was written.
func (m *Mirror) retainWritten(r Retained, listed bool) bool {
	stored, known := m.items[r.Key]
	switch {
	case listed && !r.Deleted:
		// The store has it.
		return false
	case listed && uint64(stored.Revision) > r.Rank.Order:
		// It was written again after the deletion.
		return false
	case known && !listed && !r.Deleted:
		// It was deleted in this era, which the peer or this mirror missed.
		rank, _ := m.rankOf(stored)
		r = Retained{Item: stored, Rank: rank}
	}
	if current, retained := m.retained[r.Key]; retained && current.Rank.compare(r.Rank) >= 0 {
		return false
	}
	m.retained[r.Key] = r
	return true
}

// recordRemoved records that the deletion of a key also ended the use of a record of
// an earlier era, if that ranks above the record that the store deleted. The caller
// holds m.mu.
func (m *Mirror) recordRemoved(r Retained) {
	value := r.Value
	if r.Deleted {
		value = r.Before
	}
	deletion := m.items[r.Key]
	if rank, ranked := m.rankOf(deletion); ranked && rank.Order >= r.Rank.Order {
		return
	}
	deletion.Before = value
	m.items[r.Key] = deletion
}

// holdEnd returns until when a record that does not last is retained: that of an
// endpoint, or the deletion of one that is ordered by when it was written. The caller
// holds m.mu.
func (m *Mirror) holdEnd(r Retained, listed bool) time.Time {
	if r.Rank.Written && !listed {
		return m.eraBegan.Add(m.retention.MaxCopyAge)
	}
	if listed || r.Deleted {
		return m.eraBegan.Add(m.retention.OutdatedHold)
	}
	return m.eraBegan.Add(m.retention.LostHold)
}

// dropSuperseded drops the retained records that changes of the store supersede,
// and returns those of the changes that are in effect. The caller holds m.mu.
func (m *Mirror) dropSuperseded(changed []Item) []Item {
	if len(m.retained) == 0 {
		return changed
	}
	defer m.updateRetainedHash()
	var effective []Item
	for _, item := range changed {
		if r, retained := m.retained[item.Key]; retained {
			if !m.supersedes(item, r) {
				continue
			}
			delete(m.retained, item.Key)
			if item.Deleted {
				m.recordRemoved(r)
			}
			// Others may still keep the record, whatever the change says to this mirror.
			stored := m.items[item.Key]
			stored.effectiveAt = stored.Revision
			m.items[item.Key] = stored
		}
		effective = append(effective, item)
	}
	return effective
}

// supersedes reports whether a change of the store in this era ends the use of a
// retained record.
func (m *Mirror) supersedes(item Item, r Retained) bool {
	if r.Rank.Written {
		return r.Rank.Era < m.era || uint64(item.Revision) >= r.Rank.Order
	}
	if !r.Rank.Lasting && (item.Deleted || r.Deleted) {
		// The endpoint is gone, or it has registered again.
		return true
	}
	if item.Deleted {
		return false
	}
	rank, ranked := m.rankOf(item)
	return ranked && rank.compare(r.Rank) >= 0
}

// Expire ends the use of retained records of endpoints whose time is over, and
// returns the records that take effect instead. The mirror must include what a read
// of the store returned that was sent at readAt.
func (m *Mirror) Expire(readAt time.Time) []Item {
	m.mu.Lock()
	defer m.mu.Unlock()
	var changed []Item
	for _, key := range slices.Sorted(maps.Keys(m.retained)) {
		r := m.retained[key]
		stored, known := m.items[key]
		listed := known && !stored.Deleted
		if m.lasts(r) || readAt.Before(m.holdEnd(r, listed)) {
			continue
		}
		delete(m.retained, key)
		if !listed {
			stored = Item{Key: key, Revision: m.completeThrough, Deleted: true}
		}
		changed = append(changed, stored)
	}
	if len(changed) > 0 {
		m.updateRetainedHash()
	}
	return changed
}

// updateRetainedHash must be called after each change of the retained records.
// The caller holds m.mu.
func (m *Mirror) updateRetainedHash() {
	if len(m.retained) == 0 {
		m.retainedHash = 0
		return
	}
	hash := fnv.New64a()
	for _, key := range slices.Sorted(maps.Keys(m.retained)) {
		rank := m.retained[key].Rank
		_, _ = hash.Write([]byte(key))
		_, _ = hash.Write(binary.BigEndian.AppendUint64([]byte{0, byte(rank.Stage)}, rank.Order))
		if rank.Era > 0 {
			_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, uint64(rank.Era)))
		}
	}
	m.retainedHash = max(hash.Sum64(), 1)
}

// retainedRecords returns the retained records in order of key. The caller holds
// m.mu.
func (m *Mirror) retainedRecords() []Retained {
	var records []Retained
	for _, key := range slices.Sorted(maps.Keys(m.retained)) {
		records = append(records, m.retained[key])
	}
	return records
}

// recentRemovals returns the deletions that a later era may undo. The caller holds
// m.mu.
func (m *Mirror) recentRemovals(now time.Time) []Item {
	var removals []Item
	for _, key := range slices.Sorted(maps.Keys(m.items)) {
		item := m.items[key]
		if !item.Deleted || now.Sub(item.changedAt) > m.retention.MaxCopyAge {
			continue
		}
		if _, ranked := m.rankOf(item); ranked {
			removals = append(removals, item)
		}
	}
	return removals
}

// ChangesSince returns what a mirror at another position lacks: the changes since
// then, or all items if it is in an earlier era or asks for a listing, and the
// retained records.
func (m *Mirror) ChangesSince(now time.Time, after Position, listing bool) Delta {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var delta Delta
	if after.Era == m.era && !listing {
		delta = m.since(after.Revision)
	} else {
		delta = m.listing()
	}
	if delta.Listing {
		delta.Items = append(delta.Items, m.recentRemovals(now)...)
	}
	delta.Era, delta.Retained = m.era, m.retainedRecords()
	if m.eraBeginKnown {
		age := now.Sub(m.eraBegan).Milliseconds()
		delta.EraAgeMs = &age
	}
	return delta
}
