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

func startService(t *testing.T, handler http.HandlerFunc) *platform.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return platform.New(server.URL+"/", server.Client())
}

// recordingHandler records the kinds of results that Perform passes to it.
type recordingHandler struct{ results []string }

func (s *recordingHandler) OnChanges(time.Time, ids.Revision, platformapi.Changes) {
	s.results = append(s.results, "changes")
}
func (s *recordingHandler) OnListing(time.Time, platformapi.Listing) {
	s.results = append(s.results, "listing")
}
func (s *recordingHandler) OnVMs(time.Time, platformapi.VMList) { s.results = append(s.results, "vms") }
func (s *recordingHandler) OnPlatformFailure(_ relay.ReadKind, compacted bool, _ error) {
	s.results = append(s.results, map[bool]string{true: "compacted", false: "failure"}[compacted])
}

// Guards against requests that the service does not understand and against
// calls that are not counted.
func TestReadsSendExpectedRequests(t *testing.T) {
	client := startService(t, func(w http.ResponseWriter, r *http.Request) {
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
	listing, err := client.ListRecords(ctx, "")
	assert.NilError(t, err)
	assert.Equal(t, string(listing.Items[0].Value), `{"a":1}`)
	changes, err := client.WatchRecords(ctx, 7, 1500*time.Millisecond)
	assert.NilError(t, err)
	assert.Assert(t, changes.Revision == 8 && changes.Events[0].Deleted)
	list, err := client.WatchVMs(ctx, 1, -time.Second)
	assert.NilError(t, err)
	assert.Equal(t, list.VMs[0].State, platformapi.VMLive)
	_, err = client.WatchRecords(ctx, 9, 0)
	var status *platform.StatusError
	assert.Assert(t, errors.As(err, &status) && status.Status == http.StatusBadRequest)
	assert.DeepEqual(t, client.CallCounts(), platform.CallCounts{Listings: 1, Watches: 2, VMLists: 1, Failures: 1})
}

// Guards against retrying a watch whose revision was compacted, which can never
// succeed.
func TestCompactedWatchIsNotRetried(t *testing.T) {
	client := startService(t, func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(http.StatusGone) })
	_, err := platform.Retry(context.Background(), rand.New(rand.NewPCG(1, 1)), func(ctx context.Context) (platformapi.Changes, error) {
		return client.WatchRecords(ctx, 1, 0)
	})
	assert.Assert(t, errors.Is(err, platform.ErrCompacted))
	var results recordingHandler
	for _, action := range []relay.Action{relay.WatchRecords{After: 1}, relay.ListRecords{}, relay.WatchVMs{}} {
		assert.Assert(t, client.Perform(context.Background(), action, &results))
	}
	assert.DeepEqual(t, results.results, []string{"compacted", "failure", "failure"})
	assert.Assert(t, !client.Perform(context.Background(), relay.BecameReady{}, &results))
}

// Guards against a call that never returns because the service does not
// respond.
func TestUnresponsiveServiceTimesOut(t *testing.T) {
	release := make(chan struct{})
	client := startService(t, func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := platform.Retry(ctx, rand.New(rand.NewPCG(1, 1)), func(ctx context.Context) (platformapi.VMList, error) {
		return client.WatchVMs(ctx, 0, 0)
	})
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded))
	assert.Equal(t, client.CallCounts().InFlight, int64(0))
}

// Guards against clients that retry at the same time or without a pause.
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
