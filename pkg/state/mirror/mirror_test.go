package mirror_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wagtailspoke/wagtailspoke/internal/rapidtest"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/mirror"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 41, 300) }

// Guards against an older value that replaces a newer one, or a deleted key
// that reappears, in whatever order deltas and listings arrive.
func TestNothingReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := drawHistory(t)
		m := mirror.New()
		seen := make(map[string]ids.Revision)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			upTo := rapid.IntRange(0, len(history)).Draw(t, "upTo")
			if rapid.Bool().Draw(t, "listing") {
				m.Replace(listingAt(history, upTo), ids.Revision(upTo))
			} else {
				from := rapid.IntRange(0, min(upTo, int(m.CompleteThrough()))).Draw(t, "from")
				m.Apply(mirror.Delta{Items: history[from:upTo], Through: ids.Revision(upTo)})
			}
			for _, item := range m.Since(0).Items {
				if item.Revision < seen[item.Key] {
					t.Fatalf("key %s went from revision %d back to %d", item.Key, seen[item.Key], item.Revision)
				}
				seen[item.Key] = item.Revision
			}
		}
		through := int(m.CompleteThrough())
		want := make(map[string]string)
		for _, item := range listingAt(history, through) {
			want[item.Key] = string(item.Value)
		}
		got := make(map[string]string)
		for _, item := range m.WithPrefix("") {
			got[item.Key] = string(item.Value)
		}
		assert.DeepEqual(t, got, want)
	})
}

// Guards against a VM that started from a peer's delta and keeps a key whose
// deletion the peer learned only from a later listing.
func TestDeltaCarriesRemovals(t *testing.T) {
	a, b := mirror.New(), mirror.New()
	a.Replace([]mirror.Item{{Key: "x", Value: []byte("1"), Revision: 1}, {Key: "y", Value: []byte("1"), Revision: 2}}, 2)
	b.Apply(a.Since(0))
	a.Replace([]mirror.Item{{Key: "y", Value: []byte("1"), Revision: 2}}, 5)
	b.Apply(a.Since(b.CompleteThrough()))
	assert.Equal(t, len(b.WithPrefix("x")), 0)
	assert.Equal(t, b.CompleteThrough(), ids.Revision(5))
}

// drawHistory returns random changes of four keys. The change at index i has
// revision i+1.
func drawHistory(t *rapid.T) []mirror.Item {
	var history []mirror.Item
	for i := range rapid.IntRange(1, 30).Draw(t, "changes") {
		item := mirror.Item{Key: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key"), Revision: ids.Revision(i + 1)}
		if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
			item.Deleted = true
		} else {
			item.Value = []byte{byte('0' + i%10)}
		}
		history = append(history, item)
	}
	return history
}

// listingAt returns the items of the store after the first upTo changes.
func listingAt(history []mirror.Item, upTo int) []mirror.Item {
	last := make(map[string]mirror.Item)
	for _, item := range history[:upTo] {
		last[item.Key] = item
	}
	var items []mirror.Item
	for _, item := range last {
		if !item.Deleted {
			items = append(items, item)
		}
	}
	return items
}

// Guards against a copy that misses a change because later changes of the same
// key without effect hide it, and against a delta that repeats changes without
// effect, such as those of a worker's list of adapters.
func TestDeltaLeavesOutChangesWithoutEffect(t *testing.T) {
	a, b := mirror.New(), mirror.New()
	put := func(revision ids.Revision, value string, effect bool) {
		a.Apply(mirror.Delta{Items: []mirror.Item{{Key: "x", Value: []byte(value), Revision: revision}}, Through: revision})
		if !effect {
			a.MarkWithoutEffect("x", revision)
		}
	}
	put(1, "one", true)
	b.Apply(a.Since(0))
	put(2, "one, again", false)
	put(3, "one, a third time", false)
	assert.Equal(t, len(a.Since(1).Items), 0)
	assert.Equal(t, a.LastEffect(), ids.Revision(1))
	assert.Assert(t, b.SkipTo(a.Position(), a.LastEffect()))
	assert.Equal(t, b.CompleteThrough(), ids.Revision(3))

	put(4, "two", true)
	put(5, "two, again", false)
	assert.Assert(t, !b.SkipTo(a.Position(), a.LastEffect()), "the change at revision 4 is skipped")
	assert.Equal(t, b.CompleteThrough(), ids.Revision(3))
	delta := a.Since(b.CompleteThrough())
	assert.Equal(t, len(delta.Items), 1)
	b.Apply(delta)
	assert.Equal(t, string(b.WithPrefix("x")[0].Value), "two, again")
	a.Replace(nil, 9)
	assert.Assert(t, !b.SkipTo(a.Position(), a.LastEffect()), "the removal at revision 9 is skipped")
	b.Apply(a.Since(b.CompleteThrough()))
	assert.Equal(t, len(b.WithPrefix("x")), 0)
}

// Guards against a server that left but stays in use: a VM that has just
// restarted lists the store and never knew the key that was deleted shortly
// before, and its peers take the listing's revision from it without the deletion.
func TestListingOfARestartedVMCarriesDeletionsItNeverKnew(t *testing.T) {
	peer, leaf, restarted := mirror.New(), mirror.New(), mirror.New()
	before := []mirror.Item{{Key: "gone", Value: []byte("1"), Revision: 3}, {Key: "stays", Value: []byte("1"), Revision: 4}}
	peer.Replace(before, 5)
	leaf.Apply(peer.Since(0))
	// "gone" is deleted at revision 6, and "stays" changes at 7.
	restarted.Replace([]mirror.Item{{Key: "stays", Value: []byte("2"), Revision: 7}}, 8)
	for _, m := range []*mirror.Mirror{peer, leaf} {
		from := restarted
		if m == leaf {
			from = peer
		}
		assert.Assert(t, !m.SkipTo(from.Position(), from.LastEffect()))
		m.Apply(from.Since(m.CompleteThrough()))
		assert.Equal(t, m.CompleteThrough(), ids.Revision(8))
		assert.Equal(t, len(m.WithPrefix("gone")), 0, "the deletion is lost")
		assert.Equal(t, string(m.WithPrefix("stays")[0].Value), "2")
	}
	assert.Assert(t, !peer.Since(5).Listing, "a VM that knew the key passes the deletion on as a change")
	empty := mirror.New()
	assert.Assert(t, !restarted.Since(empty.CompleteThrough()).Listing)
	assert.Assert(t, !restarted.Since(8).Listing)
}
