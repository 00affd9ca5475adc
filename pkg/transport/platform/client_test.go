package platform_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/relay"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/platform"
)

func serve(t *testing.T, handler http.HandlerFunc) *platform.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return platform.New(server.URL+"/", server.Client())
}

// sink records what Perform reports.
type sink struct{ got []string }

func (s *sink) OnChanges(time.Time, ids.Revision, platformapi.Changes) {
	s.got = append(s.got, "changes")
}
func (s *sink) OnListing(time.Time, platformapi.Listing) { s.got = append(s.got, "listing") }
func (s *sink) OnVMs(time.Time, platformapi.VMList)      { s.got = append(s.got, "vms") }
func (s *sink) OnPlatformFailure(_ relay.ReadKind, compacted bool, _ error) {
	s.got = append(s.got, map[bool]string{true: "compacted", false: "failure"}[compacted])
}

// Guards against calls that the service does not understand, and against
// counts that miss calls.
func TestReads(t *testing.T) {
	client := serve(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path + "?" + r.URL.RawQuery {
		case "/v1/records?prefix=":
			w.Write([]byte(`{"revision":3,"items":[{"key":"key/k","revision":2,"value":{"a":1}}]}`))
		case "/v1/watch?after=7&waitMillis=1500":
			w.Write([]byte(`{"revision":8,"events":[{"key":"key/k","revision":8,"deleted":true}]}`))
		case "/v1/vms?after=1&waitMillis=0":
			w.Write([]byte(`{"revision":2,"vms":[{"id":"a","dataCentre":"d","peerAddress":"192.0.2.1:1","state":"live"}]}`))
		default:
			http.Error(w, "unexpected "+r.URL.String(), http.StatusBadRequest)
		}
	})
	ctx := context.Background()
	listing, err := client.Listing(ctx, "")
	assert.NilError(t, err)
	assert.Equal(t, string(listing.Items[0].Value), `{"a":1}`)
	changes, err := client.Changes(ctx, 7, 1500*time.Millisecond)
	assert.NilError(t, err)
	assert.Assert(t, changes.Revision == 8 && changes.Events[0].Deleted)
	list, err := client.VMs(ctx, 1, -time.Second)
	assert.NilError(t, err)
	assert.Equal(t, list.VMs[0].State, platformapi.VMLive)
	_, err = client.Changes(ctx, 9, 0)
	var status *platform.StatusError
	assert.Assert(t, errors.As(err, &status) && status.Status == http.StatusBadRequest)
	assert.DeepEqual(t, client.Calls(), platform.Calls{Listings: 1, Watches: 2, VMLists: 1, Failures: 1})
}

// Guards against a compacted watch that is taken for a failure to be retried.
func TestCompactedWatchAsksForAListing(t *testing.T) {
	client := serve(t, func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(http.StatusGone) })
	_, err := platform.Retry(context.Background(), rand.New(rand.NewPCG(1, 1)), func(ctx context.Context) (platformapi.Changes, error) {
		return client.Changes(ctx, 1, 0)
	})
	assert.Assert(t, errors.Is(err, platform.ErrCompacted))
	var results sink
	for _, action := range []relay.Action{relay.WatchRecords{After: 1}, relay.ListRecords{}, relay.WatchVMs{}} {
		assert.Assert(t, client.Perform(context.Background(), action, &results))
	}
	assert.DeepEqual(t, results.got, []string{"compacted", "failure", "failure"})
	assert.Assert(t, !client.Perform(context.Background(), relay.BecameReady{}, &results))
}

// Guards against a call that never returns because the service is silent.
func TestSilentServiceIsLeft(t *testing.T) {
	release := make(chan struct{})
	client := serve(t, func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := platform.Retry(ctx, rand.New(rand.NewPCG(1, 1)), func(ctx context.Context) (platformapi.VMList, error) {
		return client.VMs(ctx, 0, 0)
	})
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded))
	assert.Equal(t, client.Calls().Waiting, int64(0))
}

// Guards against readers that retry together or without pause.
func TestBackoffGrowsAndSpreads(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	different := make(map[time.Duration]bool)
	for range 20 {
		first := platform.Backoff(0, rng)
		assert.Assert(t, first >= 50*time.Millisecond && first <= 100*time.Millisecond)
		different[first] = true
		assert.Assert(t, platform.Backoff(50, rng) >= 2500*time.Millisecond)
	}
	assert.Assert(t, len(different) > 10)
}
