package mirror_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/mirror"
)

var (
	eraStart  = time.Unix(1000, 0)
	retention = mirror.RetentionConfig{SettleTime: time.Second, LostHold: 2 * time.Second, RevivedHold: 5 * time.Second}
)

const (
	configKey = "config"
	leaving   = "leaving"
	inUse     = "in use"
)

// rankRecord ranks the records of these tests: "version N" of the configuration,
// and "start N in use" or "start N leaving" of an endpoint.
func rankRecord(key string, value []byte) (mirror.Rank, bool) {
	var order uint64
	if key == configKey {
		_, err := fmt.Sscanf(string(value), "version %d", &order)
		return mirror.Rank{Order: order, Lasting: true}, err == nil
	}
	var state string
	if _, err := fmt.Sscanf(string(value), "start %d %s", &order, &state); err != nil {
		return mirror.Rank{}, false
	}
	rank := mirror.Rank{Order: order}
	if state == leaving {
		rank.Stage = mirror.StageLeaving
	}
	return rank, true
}

func config(version int) []byte { return fmt.Appendf(nil, "version %d", version) }

func endpoint(start int, state string) []byte { return fmt.Appendf(nil, "start %d %s", start, state) }

// replica is a mirror and the records in effect, as its changes tell them.
type replica struct {
	*mirror.Mirror
	records map[string]string
}

func newReplica() *replica {
	return &replica{Mirror: mirror.NewWithRetention(rankRecord, retention), records: make(map[string]string)}
}

func (r *replica) apply(changed []mirror.Item) {
	for _, item := range changed {
		if item.Deleted {
			delete(r.records, item.Key)
		} else {
			r.records[item.Key] = string(item.Value)
		}
	}
}

func (r *replica) merge(now time.Time, delta mirror.Delta) { r.apply(r.Merge(now, delta)) }

// catchUp applies what another replica has and this one lacks.
func (r *replica) catchUp(now time.Time, from *replica) {
	r.merge(now, from.ChangesSince(now, r.Position()))
}

// store is a store that can be restored from a copy.
type store struct {
	era      ids.Era
	revision ids.Revision
	items    map[string]mirror.Item
	// changes are those of the current era.
	changes []mirror.Item
}

func newStore() *store { return &store{era: 1, items: make(map[string]mirror.Item)} }

func (s *store) put(key string, value []byte) {
	s.revision++
	s.items[key] = mirror.Item{Key: key, Value: value, Revision: s.revision}
	s.changes = append(s.changes, s.items[key])
}

func (s *store) remove(key string) {
	s.revision++
	delete(s.items, key)
	s.changes = append(s.changes, mirror.Item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) copy() store { return store{revision: s.revision, items: maps.Clone(s.items)} }

func (s *store) restore(from store) {
	s.era++
	s.revision, s.items, s.changes = from.revision, maps.Clone(from.items), nil
}

func (s *store) listing() mirror.Delta {
	return mirror.Delta{Era: s.era, Through: s.revision, Listing: true, Items: slices.Collect(maps.Values(s.items))}
}

// read brings a replica up to date as a VM does: by changes, or by a listing if the
// store no longer has them.
func (s *store) read(now time.Time, r *replica) {
	position := r.Position()
	if position.Era != s.era {
		r.merge(now, s.listing())
		return
	}
	delta := mirror.Delta{Era: s.era, Through: s.revision}
	for _, change := range s.changes {
		if change.Revision > position.Revision {
			delta.Items = append(delta.Items, change)
		}
	}
	r.merge(now, delta)
}

// Guards against changes that are skipped after the store came back from a copy,
// because their revisions are at or below the one from before, until the new
// numbering passes the old one.
func TestChangesOfANewEraAreApplied(t *testing.T) {
	s, r := newStore(), newReplica()
	s.put(configKey, config(1))
	older := s.copy()
	for version := 2; version <= 9; version++ {
		s.put(configKey, config(version))
	}
	s.read(eraStart, r)
	s.restore(older)
	s.read(eraStart, r)
	assert.Equal(t, r.Position(), mirror.Position{Era: 2, Revision: 1})
	s.put(configKey, config(10))
	s.put("e1", endpoint(1, inUse))
	s.read(eraStart, r)
	assert.DeepEqual(t, r.records, map[string]string{configKey: string(config(10)), "e1": string(endpoint(1, inUse))})
}

// Guards against an older configuration, with keys that were taken away, that a
// VM takes from a store that lost the newer one: on the VM itself, on one that has
// restarted, and on one that heard only of the new era.
func TestLostConfigurationStaysInForceUntilItIsWrittenAgain(t *testing.T) {
	s, knows, restarted, behind := newStore(), newReplica(), newReplica(), newReplica()
	s.put(configKey, config(1))
	s.read(eraStart, behind)
	older := s.copy()
	s.put(configKey, config(5))
	s.read(eraStart, knows)
	s.restore(older)
	s.read(eraStart, knows)
	s.read(eraStart, restarted)
	assert.Equal(t, restarted.records[configKey], string(config(1)), "the premise: the copy holds the older one")
	for _, r := range []*replica{restarted, behind} {
		assert.Assert(t, knows.RetainedHash() != r.RetainedHash(), "nothing shows that the peer keeps a lost record")
		r.catchUp(eraStart, knows)
		assert.Equal(t, r.RetainedHash(), knows.RetainedHash())
	}
	late := eraStart.Add(time.Hour)
	for i, r := range []*replica{knows, restarted, behind} {
		r.apply(r.Expire(late))
		assert.Equal(t, r.records[configKey], string(config(5)), "replica %d", i)
	}
	s.put(configKey, config(3))
	s.put(configKey, config(5))
	for i, r := range []*replica{knows, restarted, behind} {
		s.read(late, r)
		assert.Equal(t, r.records[configKey], string(config(5)), "replica %d", i)
		assert.Equal(t, r.RetainedHash(), uint64(0), "replica %d keeps a record that was written again", i)
	}
}

// Guards against an endpoint that leaves or has left and is used again, because
// the restored store lists the record from before; and against one that is kept
// out for good although it is alive.
func TestEndpointThatLeftIsNotRevived(t *testing.T) {
	s, r, restarted := newStore(), newReplica(), newReplica()
	for _, key := range []string{"leaves", "gone", "lapsed", "restarted"} {
		s.put(key, endpoint(1, inUse))
	}
	s.read(eraStart, r)
	older := s.copy()
	s.put("leaves", endpoint(1, leaving))
	s.remove("gone")
	s.remove("lapsed")
	s.put("restarted", endpoint(2, inUse))
	s.read(eraStart, r)
	s.restore(older)
	s.read(eraStart, r)
	s.read(eraStart, restarted)
	restarted.catchUp(eraStart, r)
	kept := map[string]string{"leaves": string(endpoint(1, leaving)), "restarted": string(endpoint(2, inUse))}
	for _, replica := range []*replica{r, restarted} {
		assert.DeepEqual(t, replica.records, kept)
	}
	// One that lapsed and is alive registers again.
	s.put("lapsed", endpoint(1, inUse))
	for _, replica := range []*replica{r, restarted} {
		s.read(eraStart.Add(time.Second), replica)
		assert.Equal(t, replica.records["lapsed"], string(endpoint(1, inUse)))
		assert.Equal(t, replica.records["gone"], "")
	}
	// The store removes what is silent; what it still lists by then is alive.
	s.remove("leaves")
	end := eraStart.Add(retention.RevivedHold)
	for _, replica := range []*replica{r, restarted} {
		s.read(end, replica)
		replica.apply(replica.Expire(end))
		want := make(map[string]string)
		for key, item := range s.items {
			want[key] = string(item.Value)
		}
		assert.DeepEqual(t, replica.records, want)
	}
}

// Guards against an endpoint that registered shortly before the store was lost and
// gets no requests until it registers again, and against one that is used for good
// although it has gone.
func TestLostEndpointIsUsedForAWhile(t *testing.T) {
	s, r := newStore(), newReplica()
	s.put("other", endpoint(1, inUse))
	older := s.copy()
	s.put("back", endpoint(1, inUse))
	s.put("gone", endpoint(1, inUse))
	s.read(eraStart, r)
	s.restore(older)
	s.read(eraStart, r)
	assert.Equal(t, len(r.records), 3)
	s.put("back", endpoint(1, inUse))
	s.read(eraStart.Add(time.Second), r)
	end := eraStart.Add(retention.LostHold)
	assert.Equal(t, len(r.Expire(end.Add(-time.Millisecond))), 0)
	r.apply(r.Expire(end))
	assert.DeepEqual(t, r.records, map[string]string{"other": string(endpoint(1, inUse)), "back": string(endpoint(1, inUse))})
}

// Guards against a VM that goes back to an earlier era, from a peer or an answer of
// the store that was held up, and against changes of one era that are merged into
// another.
func TestEarlierEraIsIgnored(t *testing.T) {
	s, ahead, behind := newStore(), newReplica(), newReplica()
	s.put(configKey, config(1))
	older := s.copy()
	s.put(configKey, config(2))
	s.read(eraStart, ahead)
	s.read(eraStart, behind)
	heldUp := s.listing()
	s.restore(older)
	s.put(configKey, config(3))
	s.put("e1", endpoint(1, inUse))
	s.read(eraStart, ahead)
	ahead.catchUp(eraStart, behind)
	ahead.merge(eraStart, heldUp)
	assert.Equal(t, ahead.Position(), mirror.Position{Era: 2, Revision: 3})
	assert.Assert(t, !behind.SkipTo(ahead.Position(), 1), "a position of another era was taken over")
	behind.merge(eraStart, mirror.Delta{Era: 2, Through: 3, Items: []mirror.Item{{Key: "e1", Value: endpoint(1, inUse), Revision: 3}}})
	assert.Equal(t, behind.Position(), mirror.Position{Era: 1, Revision: 2}, "changes without a listing began an era")
	behind.catchUp(eraStart, ahead)
	assert.DeepEqual(t, behind.records, ahead.records)
}

// Guards against a read that is taken for a proof while records that nobody has
// seen may be lost, on VMs that see the era begin, learn of it or find it.
func TestReadProvesNothingUntilTheEraHasSettled(t *testing.T) {
	s, sees, learns, finds := newStore(), newReplica(), newReplica(), newReplica()
	s.put(configKey, config(1))
	s.read(eraStart, sees)
	assert.Equal(t, sees.UntilSettled(eraStart), time.Duration(0), "a store that was never restored has lost nothing")
	s.restore(s.copy())
	s.read(eraStart, sees)
	assert.Equal(t, sees.UntilSettled(eraStart), retention.SettleTime)
	half := eraStart.Add(retention.SettleTime / 2)
	learns.catchUp(half, sees)
	assert.Equal(t, learns.UntilSettled(half), retention.SettleTime/2)
	end := eraStart.Add(retention.SettleTime)
	s.read(end, finds)
	assert.Equal(t, finds.UntilSettled(end), retention.SettleTime, "the beginning of the era is unknown")
	finds.catchUp(end, sees)
	assert.Equal(t, finds.UntilSettled(end), time.Duration(0))
}

// Load: 40 to 120 random writes, deletions, restores, reads, exchanges and restarts
// on three VMs. Guards against a configuration that goes back on any of them, an
// endpoint that is in use again after it said that it leaves, and VMs that differ
// from the store after all was written again.
func TestNothingRevertsAcrossEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := newStore(), eraStart
		vms := []*replica{newReplica(), newReplica(), newReplica()}
		copies := []store{s.copy()}
		version, starts := 0, map[string]int{}
		// written is the last record that each writer wrote; nil after its deletion.
		written := make(map[string][]byte)
		// eraSeen is when the last era began.
		eraSeen := now
		put := func(key string, value []byte) { written[key] = value; s.put(key, value) }
		rewrite := func() {
			for _, key := range slices.Sorted(maps.Keys(written)) {
				item, listed := s.items[key]
				switch value := written[key]; {
				case value == nil && listed:
					s.remove(key)
				case value != nil && (!listed || string(item.Value) != string(value)):
					s.put(key, value)
				}
			}
		}
		check := func(vm *replica, before string) {
			if after := vm.records[configKey]; order(after) < order(before) {
				t.Fatalf("the configuration went from %q back to %q", before, after)
			}
			for _, key := range []string{"e1", "e2"} {
				var start int
				var state string
				if _, err := fmt.Sscanf(string(written[key]), "start %d %s", &start, &state); err != nil || state != leaving {
					continue
				}
				if vm.records[key] == string(endpoint(start, inUse)) && vm.records["saw "+key] == string(written[key]) {
					t.Fatalf("%s is in use again", key)
				}
				if vm.records[key] == string(written[key]) {
					vm.records["saw "+key] = string(written[key])
				}
			}
		}
		for range rapid.IntRange(40, 120).Draw(t, "steps") {
			i := rapid.IntRange(0, len(vms)-1).Draw(t, "vm")
			key := rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "endpoint")
			before := make([]string, len(vms))
			for j, vm := range vms {
				before[j] = vm.records[configKey]
			}
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				version += rapid.IntRange(1, 3).Draw(t, "more")
				put(configKey, config(version))
			case 1:
				starts[key]++
				put(key, endpoint(starts[key], inUse))
			case 2:
				if written[key] != nil {
					put(key, endpoint(starts[key], leaving))
				}
			case 3:
				if written[key] != nil {
					written[key] = nil
					s.remove(key)
				}
			case 4:
				copies = append(copies, s.copy())
			case 5:
				// What an earlier return lost was written again before the next one.
				s.restore(rapid.SampledFrom(copies).Draw(t, "copy"))
				eraSeen = now
			case 6:
				rewrite()
			case 7:
				j := rapid.IntRange(0, len(vms)-1).Draw(t, "peer")
				newer := vms[j].Position().Era >= vms[i].Position().Era
				vms[i].catchUp(now, vms[j])
				if newer && vms[j].Position().Revision >= vms[i].Position().Revision && order(vms[i].records[configKey]) < order(vms[j].records[configKey]) {
					t.Fatalf("the peer has %q, this VM took over %q", vms[j].records[configKey], vms[i].records[configKey])
				}
			case 8:
				now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
				if now.Sub(eraSeen) >= retention.LostHold {
					rewrite()
				}
			case 9:
				if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
					vms[i], before[i] = newReplica(), ""
				}
				s.read(now, vms[i])
			}
			for j, vm := range vms {
				vm.apply(vm.Expire(now))
				check(vm, before[j])
			}
		}
		rewrite()
		now = now.Add(retention.RevivedHold)
		want := make(map[string]string)
		for key, value := range written {
			if value != nil {
				want[key] = string(value)
			}
		}
		for _, vm := range vms {
			s.read(now, vm)
			now = now.Add(retention.RevivedHold)
			vm.apply(vm.Expire(now))
			delete(vm.records, "saw e1")
			delete(vm.records, "saw e2")
			assert.DeepEqual(t, vm.records, want)
			assert.Equal(t, vm.RetainedHash(), uint64(0))
		}
	})
}

// order returns the version of a configuration; 0 for none.
func order(value string) uint64 {
	rank, _ := rankRecord(configKey, []byte(value))
	return rank.Order
}
