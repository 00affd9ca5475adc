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

// TestMain fixes the seed of rapid, so that every run gives the same verdict.
func TestMain(m *testing.M) { rapidtest.Main(m, 20260103, 2000) }

func record(kind records.Kind, id, schema, spec string) (string, json.RawMessage) {
	return string(kind) + "/" + id, json.RawMessage(fmt.Sprintf(`{"kind":%q,"schema":%s,"id":%q,"spec":%s}`, kind, schema, id, spec))
}

func customerEvent(id string, revision ids.Revision) platformapi.Event {
	key, value := record(records.KindCustomer, id, "2", fmt.Sprintf(`{"tokensPerSecond":1,"burstTokens":%d}`, revision))
	return platformapi.Event{Key: key, Revision: revision, Value: value}
}

func withdrawal(id string, revision ids.Revision) platformapi.Event {
	return platformapi.Event{Key: "customer/" + id, Revision: revision, Deleted: true}
}

// history is a platform's past: one change a revision.
type history []platformapi.Event

func (h history) at(revision ids.Revision) map[string]platformapi.Event {
	state := make(map[string]platformapi.Event)
	for _, event := range h[:revision] {
		state[event.Key] = event
		if event.Deleted {
			delete(state, event.Key)
		}
	}
	return state
}

func (h history) listing(revision ids.Revision) platformapi.Listing {
	listing := platformapi.Listing{Revision: revision}
	for _, event := range h.at(revision) {
		listing.Items = append(listing.Items, platformapi.Item{Key: event.Key, Revision: event.Revision, Value: event.Value})
	}
	return listing
}

// newHistory publishes and withdraws a few customers; some values are refused.
func newHistory(t *rapid.T) history {
	var h history
	for range rapid.IntRange(1, 30).Draw(t, "changes") {
		id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
		event := customerEvent(id, ids.Revision(len(h)+1))
		if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
			event = withdrawal(id, event.Revision)
		}
		h = append(h, event)
	}
	return h
}

// feed gives a catalog one answer: changes, a listing, a stale one or a delta.
func feed(t *rapid.T, c *Catalog, h history, peer *Catalog) {
	to := ids.Revision(rapid.IntRange(0, len(h)).Draw(t, "to"))
	switch rapid.SampledFrom([]string{"changes", "listing", "delta"}).Draw(t, "answer") {
	case "changes":
		from := ids.Revision(rapid.IntRange(0, int(to)).Draw(t, "from"))
		c.ApplyChanges(from, to, h[from:to])
	case "listing":
		c.ApplyListing(h.listing(to))
	case "delta":
		delta := peer.Delta(c.Through(), rapid.IntRange(0, 400).Draw(t, "bytes"))
		if delta.Full {
			c.ApplySnapshot(delta.Through, delta.Events)
			return
		}
		c.ApplyChanges(delta.After, delta.Through, delta.Events)
	}
}

// Guards against a record that reverts, and against a catalog that is complete
// through a revision but differs from the platform there, whatever the order
// of old and new answers.
func TestAnswersInAnyOrderNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		c, peer := New(), New()
		held := make(map[string]ids.Revision)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "to the peer") {
				feed(t, peer, h, c)
			}
			feed(t, c, h, peer)
			for _, key := range []string{"customer/a", "customer/b", "customer/c"} {
				revision, published := c.Held(key)
				if revision < held[key] {
					t.Fatalf("%s went from revision %d to %d", key, held[key], revision)
				}
				held[key] = revision
				if published && h[revision-1].Key != key {
					t.Fatalf("%s holds revision %d of another key", key, revision)
				}
			}
		}
		c.ApplyChanges(c.Through(), ids.Revision(len(h)), h[c.Through():])
		want := h.at(ids.Revision(len(h)))
		for _, key := range []string{"customer/a", "customer/b", "customer/c"} {
			revision, published := c.Held(key)
			event, there := want[key]
			if published != there || (there && revision != event.Revision) {
				t.Fatalf("%s: holds revision %d, published %v; the platform has %v", key, revision, published, event)
			}
		}
	})
}

// Shows for each rule the revert that it prevents.
func TestEachRulePreventsARevert(t *testing.T) {
	h := history{customerEvent("a", 1), withdrawal("a", 2), customerEvent("b", 3)}
	tests := []struct {
		name string
		off  func(*rules)
		late func(*Catalog)
		want bool
	}{
		{"upward only", func(r *rules) { r.upwardOnly = false }, func(c *Catalog) { c.ApplyChanges(0, 1, h[:1]) }, true},
		{"complete listing", func(r *rules) { r.completeListing = false }, func(c *Catalog) { c.ApplyListing(h.listing(2)) }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for _, off := range []bool{false, true} {
				c := New()
				if off {
					test.off(&c.rules)
				}
				c.ApplyChanges(0, 3, h)
				test.late(c)
				_, aBack := c.Held("customer/a")
				_, bThere := c.Held("customer/b")
				assert.Equal(t, aBack, off && test.want)
				assert.Equal(t, bThere, !off || test.want)
			}
		})
	}
}

// Guards against an invalid record that takes the valid one out of force, and
// against peers that never hear of it.
func TestInvalidRecordIsRefusedWhole(t *testing.T) {
	c := New()
	c.ApplyChanges(0, 1, []platformapi.Event{customerEvent("a", 1)})
	key, value := record(records.KindCustomer, "a", "2", `{"tokensPerSecond":-1,"burstTokens":1}`)
	applied := c.ApplyChanges(1, 2, []platformapi.Event{{Key: key, Revision: 2, Value: value}})
	assert.Equal(t, len(applied.Refused), 1)
	assert.Equal(t, applied.Through, ids.Revision(2))
	revision, published := c.Held(key)
	assert.Assert(t, published && revision == 1)
	assert.Equal(t, c.Refused()[0].Key, key)
	assert.Equal(t, len(c.Delta(1, 1000).Events), 1)
	assert.Equal(t, len(c.Delta(0, 1000).Events), 2)

	c.ApplyChanges(2, 3, []platformapi.Event{customerEvent("a", 3)})
	assert.Equal(t, len(c.Refused()), 0)
}

// Guards against a gap that counts as complete.
func TestGapDoesNotComplete(t *testing.T) {
	c := New()
	applied := c.ApplyChanges(4, 5, []platformapi.Event{customerEvent("a", 5)})
	assert.Assert(t, applied.Gap)
	assert.Equal(t, c.Through(), ids.Revision(0))
	c.ApplyChanges(0, 4, []platformapi.Event{customerEvent("a", 2)})
	revision, _ := c.Held("customer/a")
	assert.Equal(t, revision, ids.Revision(5))
}

// Guards against a late answer that brings back a record which a listing had
// shown to be withdrawn, when the tombstone held is from an earlier withdrawal.
func TestLateChangesAfterListingAreStale(t *testing.T) {
	c := New()
	c.ApplyChanges(0, 1, []platformapi.Event{withdrawal("a", 1)})
	c.ApplyListing(platformapi.Listing{Revision: 3})
	applied := c.ApplyChanges(0, 2, []platformapi.Event{withdrawal("a", 1), customerEvent("a", 2)})
	assert.Equal(t, applied.Stale, 2)
	_, published := c.Held("customer/a")
	assert.Assert(t, !published)
}

// Guards against a withdrawn key that goes on working at a VM whose peer has
// started from a listing: the peer's delta lacked the withdrawal, and the VM
// took itself to be complete (fault matrix, kill while platform down, seed 21).
func TestDeltaAfterListingHasTheWithdrawals(t *testing.T) {
	behind, restarted := New(), New()
	behind.ApplyChanges(0, 1, []platformapi.Event{customerEvent("a", 1)})
	// The key was withdrawn at revision 2, so the listing does not show it.
	restarted.ApplyListing(platformapi.Listing{Revision: 3, Items: []platformapi.Item{
		{Key: "customer/b", Revision: 3, Value: customerEvent("b", 3).Value},
	}})
	delta := restarted.Delta(behind.Through(), 1000)
	assert.Assert(t, delta.Full, "a VM that never saw the withdrawal must send all records")
	behind.ApplySnapshot(delta.Through, delta.Events)
	_, published := behind.Held("customer/a")
	assert.Assert(t, !published)
	assert.Assert(t, !restarted.Delta(3, 1000).Full)

	careless := New()
	careless.rules.floorAtListing = false
	careless.ApplyListing(platformapi.Listing{Revision: 3})
	missed := New()
	missed.ApplyChanges(0, 1, []platformapi.Event{customerEvent("a", 1)})
	delta = careless.Delta(1, 1000)
	missed.ApplyChanges(delta.After, delta.Through, delta.Events)
	_, published = missed.Held("customer/a")
	assert.Assert(t, published && missed.Through() == 3, "the fault that the rule prevents")
}

// Guards against a withdrawn record that returns once its tombstone has been
// forgotten, and against deltas that leave out forgotten withdrawals.
func TestForgottenTombstones(t *testing.T) {
	c := New()
	var events []platformapi.Event
	for i := range maxTombstones + 2 {
		id := fmt.Sprint("c", i)
		events = append(events, customerEvent(id, ids.Revision(2*i+1)), withdrawal(id, ids.Revision(2*i+2)))
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
	_, published := behind.Held("customer/c0")
	assert.Assert(t, !published)
}

func catalogOf(t *testing.T, specs ...[3]string) *Catalog {
	t.Helper()
	c := New()
	var events []platformapi.Event
	for i, spec := range specs {
		key, value := record(records.Kind(spec[0]), spec[1], "1", spec[2])
		if spec[0] == "customer" {
			key, value = record(records.KindCustomer, spec[1], "2", spec[2])
		}
		events = append(events, platformapi.Event{Key: key, Revision: ids.Revision(i + 1), Value: value})
	}
	applied := c.ApplyChanges(0, ids.Revision(len(events)), events)
	assert.Equal(t, len(applied.Refused), 0, "%v", applied.Refused)
	return c
}

// Guards against a key that works after its withdrawal, or for another
// customer.
func TestCustomerByKey(t *testing.T) {
	hash := KeyHash(sha256.Sum256([]byte("secret")))
	c := catalogOf(t, [3]string{"key", "k", fmt.Sprintf(`{"customer":"a","sha256":%q}`, hex.EncodeToString(hash[:]))})
	customer, state := c.View().CustomerByKey(hash)
	assert.Assert(t, customer == "a" && state == KeyActive)
	near := hash
	near[31]++
	_, state = c.View().CustomerByKey(near)
	assert.Equal(t, state, KeyUnknown)
	c.ApplyChanges(1, 2, []platformapi.Event{{Key: "key/k", Revision: 2, Deleted: true}})
	customer, state = c.View().CustomerByKey(hash)
	assert.Assert(t, customer == "" && state == KeyWithdrawn)
}

// Guards against requests that take the route of another prefix.
func TestLongestPrefixRoute(t *testing.T) {
	route := func(prefix string) string {
		return fmt.Sprintf(`{"kind":"service","service":"s","pathPrefix":%q}`, prefix)
	}
	c := catalogOf(t, [3]string{"route", "root", route("/")}, [3]string{"route", "book", route("/book")},
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

// Guards against a version that runs though unknown or withdrawn.
func TestResolve(t *testing.T) {
	c := catalogOf(t, [3]string{"adapter", "x", `{"baseModel":"m","defaultVersion":2,"versions":[` +
		`{"version":1,"state":"withdrawn","source":"s"},{"version":2,"state":"active","source":"s"}]}`})
	for version, want := range map[ids.AdapterVersion]ResolveState{0: ResolveOK, 1: ResolveVersionWithdrawn, 2: ResolveOK, 3: ResolveVersionUnknown} {
		_, _, state := c.Resolve("x", version)
		assert.Equal(t, state, want, "version %d", version)
	}
	_, _, state := c.Resolve("y", 0)
	assert.Equal(t, state, ResolveAdapterUnknown)
}

// Guards against shares that sum to more than the customer's rate.
func TestPolicyPerDataCentre(t *testing.T) {
	c := catalogOf(t,
		[3]string{"dataCentre", "a", `{"region":"r","seats":3}`}, [3]string{"dataCentre", "b", `{"region":"r","seats":2,"weight":3}`},
		[3]string{"customer", "even", `{"tokensPerSecond":8,"burstTokens":4}`},
		[3]string{"customer", "own", `{"tokensPerSecond":8,"burstTokens":4,"dataCentreWeights":{"a":1,"gone":1}}`})
	share := func(customer ids.CustomerID, dataCentre ids.DataCentreID) float64 {
		policy, found := c.View().Policy(customer, dataCentre)
		assert.Assert(t, found)
		return policy.DataCentreShare
	}
	assert.Equal(t, share("even", "a"), 0.25)
	assert.Equal(t, share("even", "b"), 0.75)
	assert.Equal(t, share("own", "a"), 0.5)
	assert.Equal(t, share("own", "b"), 0.0)
	assert.Equal(t, share("even", "unknown"), 0.0)
	policy, _ := c.View().Policy("even", "a")
	assert.Equal(t, policy.Seats, 3)
}

// Guards against an index of endpoints that differs after single changes from
// one built anew.
func TestEndpointIndexFollowsChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New()
		for revision := range ids.Revision(rapid.IntRange(1, 40).Draw(t, "changes")) {
			id := fmt.Sprint("e", rapid.IntRange(0, 9).Draw(t, "id"))
			spec := `{"dataCentre":"a","kind":"service","service":"s","address":"192.0.2.1:80","state":"serving"}`
			if model := rapid.IntRange(0, 2).Draw(t, "model"); model > 0 {
				spec = fmt.Sprintf(`{"dataCentre":"a","kind":"model","baseModel":"m%d","slots":1,"maxBatch":1,"address":"192.0.2.1:80","state":"serving"}`, model)
			}
			key, value := record(records.KindEndpoint, id, "1", spec)
			event := platformapi.Event{Key: key, Revision: revision + 1, Value: value}
			if rapid.IntRange(0, 3).Draw(t, "withdraw") == 0 {
				event.Value, event.Deleted = nil, true
			}
			c.ApplyChanges(revision, revision+1, []platformapi.Event{event})
		}
		fresh := c.endpointIndex()
		view := c.View()
		same := func(got, want []Endpoint) {
			if fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("the index has %v, want %v", got, want)
			}
		}
		same(view.Endpoints(), fresh.all)
		same(view.ModelEndpoints("m1"), fresh.byModel["m1"])
		same(view.ModelEndpoints("m2"), fresh.byModel["m2"])
		same(view.ServiceEndpoints("s"), fresh.byService["s"])
		for _, endpoint := range fresh.all {
			if found, ok := view.Endpoint(endpoint.ID); !ok || found != endpoint {
				t.Fatalf("endpoint %s is not found", endpoint.ID)
			}
		}
	})
}
