package platform_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/internal/standin/platform"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
)

func start(t *testing.T, cfg platform.Config) *platform.Platform {
	t.Helper()
	p, err := platform.Start(t.Context(), cfg)
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	return p
}

func call(t *testing.T, method, url, body, ifMatch string, into any) int {
	t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(body))
	assert.NilError(t, err)
	if ifMatch != "" {
		request.Header.Set("If-Match", ifMatch)
	}
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	if into != nil && response.StatusCode == http.StatusOK {
		assert.NilError(t, json.NewDecoder(response.Body).Decode(into))
	}
	return response.StatusCode
}

// Guards against two operators that change the same record concurrently and
// both succeed.
func TestIfMatchAcceptsOnlyOneOfRacingChanges(t *testing.T) {
	p := start(t, platform.Config{})
	url := p.URL() + platformapi.PathRecords + "/customer/a"
	assert.Equal(t, call(t, http.MethodPut, url, `{}`, "0", nil), http.StatusOK)
	assert.Equal(t, call(t, http.MethodPut, url, `{}`, "0", nil), http.StatusPreconditionFailed)
	assert.Equal(t, call(t, http.MethodPut, url, `{}`, `"1"`, nil), http.StatusOK)
	assert.Equal(t, call(t, http.MethodDelete, url, ``, "1", nil), http.StatusPreconditionFailed)
	assert.Equal(t, call(t, http.MethodDelete, url, ``, "2", nil), http.StatusOK)
	assert.Equal(t, call(t, http.MethodDelete, url, ``, "", nil), http.StatusNotFound)
}

// Guards against a listing that contains withdrawn records, old versions, or
// records with another prefix.
func TestListingShowsNewestOfPrefix(t *testing.T) {
	p := start(t, platform.Config{})
	p.Put("key/a", json.RawMessage(`1`))
	p.Put("customer/a", json.RawMessage(`2`))
	p.Put("key/a", json.RawMessage(`3`))
	p.Put("key/b", json.RawMessage(`4`))
	p.Delete("key/b")
	var listing platformapi.Listing
	assert.Equal(t, call(t, http.MethodGet, p.URL()+platformapi.PathRecords+"?prefix=key/", "", "", &listing), http.StatusOK)
	assert.DeepEqual(t, listing, platformapi.Listing{
		Revision: 5,
		Items:    []platformapi.Item{{Key: "key/a", Revision: 3, Value: json.RawMessage(`3`)}},
	})
}

// Guards against a watch that misses a change made while it waits, or that
// omits a withdrawal.
func TestWatchReportsChangesWhileWaiting(t *testing.T) {
	p := start(t, platform.Config{})
	p.Put("key/a", json.RawMessage(`1`))
	changes := make(chan platformapi.Changes, 1)
	go func() {
		var got platformapi.Changes
		call(t, http.MethodGet, p.URL()+platformapi.PathWatch+"?after=1&waitMillis=30000", "", "", &got)
		changes <- got
	}()
	for p.Calls().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	p.Delete("key/a")
	got := <-changes
	assert.DeepEqual(t, got, platformapi.Changes{Revision: 2, Events: []platformapi.Event{{Key: "key/a", Revision: 2, Deleted: true}}})
	p.Compact(2)
	assert.Equal(t, call(t, http.MethodGet, p.URL()+platformapi.PathWatch+"?after=1", "", "", nil), http.StatusGone)
}

// Guards against faults that have no effect: a stale platform must return an
// older revision, and a platform that is down must return an error.
func TestFaults(t *testing.T) {
	p := start(t, platform.Config{})
	p.Put("key/a", json.RawMessage(`1`))
	p.Put("key/a", json.RawMessage(`2`))
	p.SetFaults(platform.Faults{StaleRevision: 1})
	var listing platformapi.Listing
	url := p.URL() + platformapi.PathRecords
	call(t, http.MethodGet, url, "", "", &listing)
	assert.Equal(t, listing.Revision, ids.Revision(1))
	assert.Equal(t, string(listing.Items[0].Value), `1`)
	assert.Equal(t, call(t, http.MethodPost, p.URL()+"/fault", `{"down":true}`, "", nil), http.StatusOK)
	assert.Equal(t, call(t, http.MethodGet, url, "", "", nil), http.StatusServiceUnavailable)
	assert.Equal(t, call(t, http.MethodPost, p.URL()+"/fault", `{"dwon":true}`, "", nil), http.StatusBadRequest)
}

// Guards against a delayed VM list that becomes visible too early or never.
func TestVMListIsDelayed(t *testing.T) {
	p := start(t, platform.Config{})
	const lag = 200 * time.Millisecond
	p.SetFaults(platform.Faults{VMListLagMillis: int(lag.Milliseconds())})
	published := time.Now()
	p.PutVMs([]platformapi.VM{{ID: "vm-1", State: platformapi.VMLive}})
	var list platformapi.VMList
	call(t, http.MethodGet, p.URL()+platformapi.PathVMs, "", "", &list)
	if time.Since(published) < lag {
		assert.Equal(t, list.Revision, ids.Revision(0))
	}
	call(t, http.MethodGet, p.URL()+platformapi.PathVMs+"?after=0&waitMillis=30000", "", "", &list)
	assert.Equal(t, list.Revision, ids.Revision(1))
	assert.Assert(t, time.Since(published) >= lag)
}

// Guards against readers that exceed the rate of the service without being
// refused and counted.
func TestCallsAboveTheRateAreRefused(t *testing.T) {
	p := start(t, platform.Config{CallsPerSecond: 3})
	refused := 0
	for range 20 {
		if call(t, http.MethodGet, fmt.Sprintf("%s%s", p.URL(), platformapi.PathRecords), "", "", nil) == http.StatusTooManyRequests {
			refused++
		}
	}
	assert.Assert(t, refused > 0)
	assert.Equal(t, p.Calls().Refused, refused)
	assert.Equal(t, p.Calls().Total, 20)
}
