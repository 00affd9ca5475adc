package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wagtailspoke/wagtailspoke/internal/rapidtest"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
)

// TestMain fixes the seed of rapid so that every run gives the same result.
func TestMain(m *testing.M) { rapidtest.Main(m, 20260103, 2000) }

// encodeRecord returns the key and the published JSON of a record.
func encodeRecord(kind records.Kind, id, schema, spec string) (string, json.RawMessage) {
	return string(kind) + "/" + id, json.RawMessage(fmt.Sprintf(`{"kind":%q,"schema":%s,"id":%q,"spec":%s}`, kind, schema, id, spec))
}

// customerEvent publishes a customer; burstTokens is set to the revision.
func customerEvent(id string, revision ids.Revision) platformapi.Event {
	key, value := encodeRecord(records.KindCustomer, id, "2", fmt.Sprintf(`{"tokensPerSecond":1,"burstTokens":%d}`, revision))
	return platformapi.Event{Key: key, Revision: revision, Value: value}
}

// withdrawalEvent withdraws a customer.
func withdrawalEvent(id string, revision ids.Revision) platformapi.Event {
	return platformapi.Event{Key: "customer/" + id, Revision: revision, Deleted: true}
}

// history is the sequence of changes on a platform. The change at index i has
// revision i+1.
type history []platformapi.Event

// stateAt returns the published records at a revision.
func (h history) stateAt(revision ids.Revision) map[string]platformapi.Event {
	state := make(map[string]platformapi.Event)
	for _, event := range h[:revision] {
		state[event.Key] = event
		if event.Deleted {
			delete(state, event.Key)
		}
	}
	return state
}

// listingAt returns the listing that the platform serves at a revision.
func (h history) listingAt(revision ids.Revision) platformapi.Listing {
	listing := platformapi.Listing{Revision: revision}
	for _, event := range h.stateAt(revision) {
		listing.Items = append(listing.Items, platformapi.Item{Key: event.Key, Revision: event.Revision, Value: event.Value})
	}
	return listing
}

// newHistory publishes and withdraws three customers at random.
func newHistory(t *rapid.T) history {
	var h history
	for range rapid.IntRange(1, 30).Draw(t, "changes") {
		id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
		event := customerEvent(id, ids.Revision(len(h)+1))
		if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
			event = withdrawalEvent(id, event.Revision)
		}
		h = append(h, event)
	}
	return h
}

// applyRandomAnswer applies one message to a catalog: changes or a listing of
// the platform, which may be outdated, or a delta of a peer.
func applyRandomAnswer(t *rapid.T, c *Catalog, h history, peer *Catalog) {
	to := ids.Revision(rapid.IntRange(0, len(h)).Draw(t, "to"))
	switch rapid.SampledFrom([]string{"changes", "listing", "delta"}).Draw(t, "answer") {
	case "changes":
		from := ids.Revision(rapid.IntRange(0, int(to)).Draw(t, "from"))
		c.ApplyChanges(from, to, h[from:to])
	case "listing":
		c.ApplyListing(h.listingAt(to))
	case "delta":
		delta := peer.Delta(c.CompleteThrough(), rapid.IntRange(0, 400).Draw(t, "bytes"))
		if delta.Full {
			c.ApplySnapshot(delta.Through, delta.Events)
			return
		}
		c.ApplyChanges(delta.After, delta.Through, delta.Events)
	}
}

// Guards against a record that reverts to an older revision, and against a
// catalog that claims to be complete through a revision but differs from the
// platform there, in whatever order old and new messages arrive.
func TestOutOfOrderAnswersNeverRevertRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		c, peer := New(), New()
		held := make(map[string]ids.Revision)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "to the peer") {
				applyRandomAnswer(t, peer, h, c)
			}
			applyRandomAnswer(t, c, h, peer)
			for _, key := range []string{"customer/a", "customer/b", "customer/c"} {
				revision, published := c.KeyRevision(key)
				if revision < held[key] {
					t.Fatalf("%s went from revision %d to %d", key, held[key], revision)
				}
				held[key] = revision
				if published && h[revision-1].Key != key {
					t.Fatalf("%s holds revision %d of another key", key, revision)
				}
			}
		}
		c.ApplyChanges(c.CompleteThrough(), ids.Revision(len(h)), h[c.CompleteThrough():])
		want := h.stateAt(ids.Revision(len(h)))
		for _, key := range []string{"customer/a", "customer/b", "customer/c"} {
			revision, published := c.KeyRevision(key)
			event, exists := want[key]
			if published != exists || (exists && revision != event.Revision) {
				t.Fatalf("%s: holds revision %d, published %v; the platform has %v", key, revision, published, event)
			}
		}
	})
}

// Shows for each consistency rule that records revert without it.
func TestEachRulePreventsARevert(t *testing.T) {
	h := history{customerEvent("a", 1), withdrawalEvent("a", 2), customerEvent("b", 3)}
	tests := []struct {
		name    string
		disable func(*consistencyRules)
		// applyLate applies a message that is older than the catalog.
		applyLate func(*Catalog)
		// aReverts says that without the rule the withdrawn record a is in
		// force again; if false, the published record b disappears instead.
		aReverts bool
	}{
		{"reject stale", func(r *consistencyRules) { r.rejectStale = false }, func(c *Catalog) { c.ApplyChanges(0, 1, h[:1]) }, true},
		{"reject outdated listing", func(r *consistencyRules) { r.rejectOutdatedListing = false }, func(c *Catalog) { c.ApplyListing(h.listingAt(2)) }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for _, off := range []bool{false, true} {
				c := New()
				if off {
					test.disable(&c.rules)
				}
				c.ApplyChanges(0, 3, h)
				test.applyLate(c)
				_, aPublished := c.KeyRevision("customer/a")
				_, bPublished := c.KeyRevision("customer/b")
				assert.Equal(t, aPublished, off && test.aReverts)
				assert.Equal(t, bPublished, !off || test.aReverts)
			}
		})
	}
}

// Guards against an invalid record that takes the valid one out of force, and
// against deltas that leave the invalid record out.
func TestInvalidRecordLeavesPreviousInForce(t *testing.T) {
	c := New()
	c.ApplyChanges(0, 1, []platformapi.Event{customerEvent("a", 1)})
	key, value := encodeRecord(records.KindCustomer, "a", "2", `{"tokensPerSecond":-1,"burstTokens":1}`)
	applied := c.ApplyChanges(1, 2, []platformapi.Event{{Key: key, Revision: 2, Value: value}})
	assert.Equal(t, len(applied.Refused), 1)
	assert.Equal(t, applied.Through, ids.Revision(2))
	revision, published := c.KeyRevision(key)
	assert.Assert(t, published && revision == 1)
	assert.Equal(t, c.RefusedRecords()[0].Key, key)
	assert.Equal(t, len(c.Delta(1, 1000).Events), 1)
	assert.Equal(t, len(c.Delta(0, 1000).Events), 2)

	c.ApplyChanges(2, 3, []platformapi.Event{customerEvent("a", 3)})
	assert.Equal(t, len(c.RefusedRecords()), 0)
}

// Guards against a catalog that counts as complete although changes before the
// applied ones are missing.
func TestGapDoesNotAdvanceCompleteThrough(t *testing.T) {
	c := New()
	applied := c.ApplyChanges(4, 5, []platformapi.Event{customerEvent("a", 5)})
	assert.Assert(t, applied.Gap)
	assert.Equal(t, c.CompleteThrough(), ids.Revision(0))
	c.ApplyChanges(0, 4, []platformapi.Event{customerEvent("a", 2)})
	revision, _ := c.KeyRevision("customer/a")
	assert.Equal(t, revision, ids.Revision(5))
}

// Guards against a late message that restores a record which a listing had
// shown to be withdrawn, when the stored tombstone is of an earlier withdrawal.
func TestLateChangesAfterListingAreStale(t *testing.T) {
	c := New()
	c.ApplyChanges(0, 1, []platformapi.Event{withdrawalEvent("a", 1)})
	c.ApplyListing(platformapi.Listing{Revision: 3})
	applied := c.ApplyChanges(0, 2, []platformapi.Event{withdrawalEvent("a", 1), customerEvent("a", 2)})
	assert.Equal(t, applied.Stale, 2)
	_, published := c.KeyRevision("customer/a")
	assert.Assert(t, !published)
}

// Guards against a withdrawn API key that stays valid on a VM whose peer has
// restarted from a listing: the peer's delta lacked the withdrawal, and the VM
// considered itself complete. Seen in the fault matrix, scenario "kill while
// platform down", seed 21.
func TestDeltaAfterListingIncludesWithdrawals(t *testing.T) {
	behind, restarted := New(), New()
	behind.ApplyChanges(0, 1, []platformapi.Event{customerEvent("a", 1)})
	// The record was withdrawn at revision 2, so the listing does not show it.
	restarted.ApplyListing(platformapi.Listing{Revision: 3, Items: []platformapi.Item{
		{Key: "customer/b", Revision: 3, Value: customerEvent("b", 3).Value},
	}})
	delta := restarted.Delta(behind.CompleteThrough(), 1000)
	assert.Assert(t, delta.Full, "a VM that never saw the withdrawal must send all records")
	behind.ApplySnapshot(delta.Through, delta.Events)
	_, published := behind.KeyRevision("customer/a")
	assert.Assert(t, !published)
	assert.Assert(t, !restarted.Delta(3, 1000).Full)

	withoutRule := New()
	withoutRule.rules.raiseFloorAtListing = false
	withoutRule.ApplyListing(platformapi.Listing{Revision: 3})
	stale := New()
	stale.ApplyChanges(0, 1, []platformapi.Event{customerEvent("a", 1)})
	delta = withoutRule.Delta(1, 1000)
	stale.ApplyChanges(delta.After, delta.Through, delta.Events)
	_, published = stale.KeyRevision("customer/a")
	assert.Assert(t, published && stale.CompleteThrough() == 3, "the fault that the rule prevents")
}

// Guards against a withdrawn record that returns once its tombstone has been
// dropped, and against incremental deltas that lack dropped withdrawals.
func TestDroppedTombstones(t *testing.T) {
	c := New()
	var events []platformapi.Event
	for i := range maxTombstones + 2 {
		id := fmt.Sprint("c", i)
		events = append(events, customerEvent(id, ids.Revision(2*i+1)), withdrawalEvent(id, ids.Revision(2*i+2)))
	}
	last := events[len(events)-1].Revision
	c.ApplyChanges(0, last, events)
	assert.Assert(t, c.Delta(2, 1000).Full)
	assert.Assert(t, !c.Delta(last-2, 1000).Full)
	applied := c.ApplyChanges(0, 1, events[:1])
	assert.Equal(t, applied.Stale, 1)
	behind := New()
	behind.ApplyChanges(0, 1, events[:1])
	full := c.Delta(1, 1000)
	behind.ApplySnapshot(full.Through, full.Events)
	_, published := behind.KeyRevision("customer/c0")
	assert.Assert(t, !published)
}

// newCatalogWith returns a catalog with records given as kind, id and spec.
func newCatalogWith(t *testing.T, specs ...[3]string) *Catalog {
	t.Helper()
	c := New()
	var events []platformapi.Event
	for i, spec := range specs {
		key, value := encodeRecord(records.Kind(spec[0]), spec[1], "1", spec[2])
		if spec[0] == "customer" {
			key, value = encodeRecord(records.KindCustomer, spec[1], "2", spec[2])
		}
		events = append(events, platformapi.Event{Key: key, Revision: ids.Revision(i + 1), Value: value})
	}
	applied := c.ApplyChanges(0, ids.Revision(len(events)), events)
	assert.Equal(t, len(applied.Refused), 0, "%v", applied.Refused)
	return c
}

// Guards against an API key that is accepted after its withdrawal, or for
// another customer.
func TestCustomerByKey(t *testing.T) {
	hash := KeyHash(sha256.Sum256([]byte("secret")))
	c := newCatalogWith(t, [3]string{"key", "k", fmt.Sprintf(`{"customer":"a","sha256":%q}`, hex.EncodeToString(hash[:]))})
	customer, keyState := c.View().CustomerByKey(hash)
	assert.Assert(t, customer == "a" && keyState == KeyActive)
	similarHash := hash
	similarHash[31]++
	_, keyState = c.View().CustomerByKey(similarHash)
	assert.Equal(t, keyState, KeyUnknown)
	c.ApplyChanges(1, 2, []platformapi.Event{{Key: "key/k", Revision: 2, Deleted: true}})
	customer, keyState = c.View().CustomerByKey(hash)
	assert.Assert(t, customer == "" && keyState == KeyWithdrawn)
}

// Guards against requests that match the route of another prefix.
func TestLongestPrefixRoute(t *testing.T) {
	route := func(prefix string) string {
		return fmt.Sprintf(`{"kind":"service","service":"s","pathPrefix":%q}`, prefix)
	}
	c := newCatalogWith(t, [3]string{"route", "root", route("/")}, [3]string{"route", "book", route("/book")},
		[3]string{"route", "deep", route("/book/paid/")})
	for path, want := range map[string]ids.RouteID{
		"/": "root", "/other": "root", "/booking": "root", "/book": "book", "/book/1": "book",
		"/book/paid": "book", "/book/paid/": "deep", "/book/paid/2/3": "deep",
	} {
		found, ok := c.View().Route(path)
		assert.Assert(t, ok && found.ID == want, "%s took route %q", path, found.ID)
	}
	_, ok := New().View().Route("/x")
	assert.Assert(t, !ok)
}

// Guards against an unknown or withdrawn adapter version that resolves.
func TestResolve(t *testing.T) {
	c := newCatalogWith(t, [3]string{"adapter", "x", `{"baseModel":"m","defaultVersion":2,"versions":[` +
		`{"version":1,"state":"withdrawn","source":"s"},{"version":2,"state":"active","source":"s"}]}`})
	for version, want := range map[ids.AdapterVersion]ResolveState{0: ResolveOK, 1: ResolveVersionWithdrawn, 2: ResolveOK, 3: ResolveVersionUnknown} {
		_, _, state := c.Resolve("x", version)
		assert.Equal(t, state, want, "version %d", version)
	}
	_, _, state := c.Resolve("y", 0)
	assert.Equal(t, state, ResolveAdapterUnknown)
}

// Guards against data centre shares that add up to more than the customer's
// limits.
func TestCustomerLimitsPerDataCentre(t *testing.T) {
	c := newCatalogWith(t,
		[3]string{"dataCentre", "a", `{"region":"r","seats":3}`}, [3]string{"dataCentre", "b", `{"region":"r","seats":2,"weight":3}`},
		[3]string{"customer", "even", `{"tokensPerSecond":8,"burstTokens":4}`},
		[3]string{"customer", "own", `{"tokensPerSecond":8,"burstTokens":4,"dataCentreWeights":{"a":1,"gone":1}}`})
	share := func(customer ids.CustomerID, dataCentre ids.DataCentreID) float64 {
		limits, found := c.View().CustomerLimits(customer, dataCentre)
		assert.Assert(t, found)
		return limits.DataCentreShare
	}
	assert.Equal(t, share("even", "a"), 0.25)
	assert.Equal(t, share("even", "b"), 0.75)
	assert.Equal(t, share("own", "a"), 0.5)
	assert.Equal(t, share("own", "b"), 0.0)
	assert.Equal(t, share("even", "unknown"), 0.0)
	limits, _ := c.View().CustomerLimits("even", "a")
	assert.Equal(t, limits.Seats, 3)
}

// Guards against incremental updates of the endpoint index that give another
// result than a rebuild.
func TestIncrementalEndpointIndexEqualsRebuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New()
		for revision := range ids.Revision(rapid.IntRange(1, 40).Draw(t, "changes")) {
			id := fmt.Sprint("e", rapid.IntRange(0, 9).Draw(t, "id"))
			spec := `{"dataCentre":"a","kind":"service","service":"s","address":"192.0.2.1:80","state":"serving"}`
			if model := rapid.IntRange(0, 2).Draw(t, "model"); model > 0 {
				spec = fmt.Sprintf(`{"dataCentre":"a","kind":"model","baseModel":"m%d","slots":1,"maxBatch":1,"address":"192.0.2.1:80","state":"serving"}`, model)
			}
			key, value := encodeRecord(records.KindEndpoint, id, "1", spec)
			event := platformapi.Event{Key: key, Revision: revision + 1, Value: value}
			if rapid.IntRange(0, 3).Draw(t, "withdraw") == 0 {
				event.Value, event.Deleted = nil, true
			}
			c.ApplyChanges(revision, revision+1, []platformapi.Event{event})
		}
		rebuilt := c.buildEndpointIndex()
		view := c.View()
		assertEqualEndpoints := func(got, want []Endpoint) {
			if fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("the index has %v, want %v", got, want)
			}
		}
		assertEqualEndpoints(view.Endpoints(), rebuilt.all)
		assertEqualEndpoints(view.ModelEndpoints("m1"), rebuilt.byModel["m1"])
		assertEqualEndpoints(view.ModelEndpoints("m2"), rebuilt.byModel["m2"])
		assertEqualEndpoints(view.ServiceEndpoints("s"), rebuilt.byService["s"])
		for _, endpoint := range rebuilt.all {
			if found, ok := view.Endpoint(endpoint.ID); !ok || found != endpoint {
				t.Fatalf("endpoint %s is not found", endpoint.ID)
			}
		}
	})
}
