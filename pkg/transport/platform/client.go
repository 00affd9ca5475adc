// Package platform is the HTTP client of the platform's configuration service.
// It reads the records, their changes and the VM list, and never writes. It
// counts its calls and limits the duration of each. The daemon calls it for the
// reads that the relay requests.
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
)

const (
	// responseTimeout bounds the duration of a call, in addition to the time
	// for which the service may hold it. The service responds in milliseconds.
	responseTimeout = 2 * time.Second
	// listTimeout bounds the listing of all records, which has some megabytes.
	listTimeout = 10 * time.Second
	// maxWait bounds how long the service may hold a watch call.
	maxWait = 30 * time.Second
	// maxResponseBytes bounds a response body. It allows for 30,000 records of
	// a little more than a kilobyte.
	maxResponseBytes = 64 << 20
	// maxErrorBodyBytes bounds how much of the body of an error response is
	// included in the error.
	maxErrorBodyBytes = 200
)

// ErrCompacted means that the service no longer has the changes after the
// requested revision. The client must list all records.
var ErrCompacted = errors.New("configuration service: the revision is compacted")

// StatusError is the error of a response with an unexpected HTTP status.
type StatusError struct {
	// Step is the operation that failed, such as "list records".
	Step   string
	Status int
	// Body is the start of the response body.
	Body string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("configuration service: %s: status %d: %s", e.Step, e.Status, e.Body)
}

// CallCounts counts the calls of a client by kind. A call is counted when it
// starts.
type CallCounts struct {
	Listings uint64 `json:"listings"`
	Watches  uint64 `json:"watches"`
	VMLists  uint64 `json:"vmLists"`
	Failures uint64 `json:"failures"`
	// InFlight is the number of calls in flight.
	InFlight int64 `json:"waiting"`
}

// Client reads from one configuration service. Its methods may be called
// concurrently.
type Client struct {
	baseURL string
	http    *http.Client

	listings, watches, vmLists, failures atomic.Uint64
	inFlight                             atomic.Int64
}

// New returns a client of the service at a base URL such as
// http://192.0.2.1:8080. The HTTP client must not have a timeout, because calls
// set their own; if it is nil, a default client is used.
func New(baseURL string, httpClient *http.Client) *Client {
	if httpClient == nil {
		httpClient = &http.Client{}
	}
	return &Client{baseURL: strings.TrimSuffix(baseURL, "/"), http: httpClient}
}

// CallCounts returns the counts since the client was created.
func (c *Client) CallCounts() CallCounts {
	return CallCounts{
		Listings: c.listings.Load(),
		Watches:  c.watches.Load(),
		VMLists:  c.vmLists.Load(),
		Failures: c.failures.Load(),
		InFlight: c.inFlight.Load(),
	}
}

// ListRecords returns all records whose key starts with prefix; with an empty
// prefix it returns all records.
func (c *Client) ListRecords(ctx context.Context, prefix string) (platformapi.Listing, error) {
	c.listings.Add(1)
	var listing platformapi.Listing
	query := url.Values{"prefix": {prefix}}
	err := c.getWithTimeout(ctx, "list records", platformapi.PathRecords, query, listTimeout, &listing)
	return listing, err
}

// WatchRecords returns the changes after a revision. If there are none, the
// service holds the call for up to wait until there is one. The error is
// ErrCompacted if the service no longer has the changes.
func (c *Client) WatchRecords(ctx context.Context, after ids.Revision, wait time.Duration) (platformapi.Changes, error) {
	c.watches.Add(1)
	var changes platformapi.Changes
	err := c.getWithTimeout(ctx, "watch records", platformapi.PathWatch, waitQuery(after, wait), clampWait(wait)+responseTimeout, &changes)
	return changes, err
}

// WatchVMs returns the VM list. If its revision is not above after, the service
// holds the call for up to wait until there is a newer list.
func (c *Client) WatchVMs(ctx context.Context, after ids.Revision, wait time.Duration) (platformapi.VMList, error) {
	c.vmLists.Add(1)
	var list platformapi.VMList
	err := c.getWithTimeout(ctx, "watch VM list", platformapi.PathVMs, waitQuery(after, wait), clampWait(wait)+responseTimeout, &list)
	return list, err
}

func clampWait(wait time.Duration) time.Duration {
	return max(0, min(wait, maxWait))
}

// waitQuery returns the query parameters of a watch call.
func waitQuery(after ids.Revision, wait time.Duration) url.Values {
	return url.Values{
		"after":      {strconv.FormatUint(uint64(after), 10)},
		"waitMillis": {strconv.FormatInt(clampWait(wait).Milliseconds(), 10)},
	}
}

// getWithTimeout sends a GET request, decodes the response into result and
// counts the call and its failure.
func (c *Client) getWithTimeout(ctx context.Context, step, path string, query url.Values, timeout time.Duration, result any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.inFlight.Add(1)
	defer c.inFlight.Add(-1)
	err := c.get(ctx, step, path, query, result)
	if err != nil {
		c.failures.Add(1)
	}
	return err
}

func (c *Client) get(ctx context.Context, step, path string, query url.Values, result any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+path+"?"+query.Encode(), nil)
	if err != nil {
		return eris.Wrapf(err, "configuration service: %s", step)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return eris.Wrapf(err, "configuration service: %s", step)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusGone {
		return eris.Wrapf(ErrCompacted, "%s", step)
	}
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBodyBytes))
		return &StatusError{Step: step, Status: response.StatusCode, Body: string(body)}
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(result); err != nil {
		return eris.Wrapf(err, "configuration service: %s: decode response", step)
	}
	return nil
}
