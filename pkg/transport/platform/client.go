// Package platform reads the configuration service over HTTP: records, changes
// and the VM list. It only reads, counts its calls and bounds every wait.
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
	// answerTimeout bounds a call beyond the time it may wait at the service,
	// which answers in milliseconds.
	answerTimeout = 2 * time.Second
	// listingTimeout bounds the listing of all records, which is megabytes.
	listingTimeout = 10 * time.Second
	// maxWait bounds how long a watch may wait at the service.
	maxWait = 30 * time.Second
	// maxAnswerBytes bounds an answer: 30,000 records of a kilobyte and some.
	maxAnswerBytes = 64 << 20
	// errorBodyBytes is how much of an error's body goes into the error.
	errorBodyBytes = 200
)

// ErrCompacted tells that the service no longer has the changes after the
// revision that was asked for; a listing is needed.
var ErrCompacted = errors.New("configuration service: the revision is compacted")

// StatusError tells that the service answered with an unexpected status.
type StatusError struct {
	Step   string
	Status int
	Body   string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("configuration service: %s: status %d: %s", e.Step, e.Status, e.Body)
}

// Calls counts calls by kind. Each counts when it is sent.
type Calls struct {
	Listings uint64 `json:"listings"`
	Watches  uint64 `json:"watches"`
	VMLists  uint64 `json:"vmLists"`
	Failures uint64 `json:"failures"`
	// Waiting is the number of calls that the service holds now.
	Waiting int64 `json:"waiting"`
}

// Client reads one configuration service. Its methods may be called from any
// goroutine.
type Client struct {
	base string
	http *http.Client

	listings, watches, vmLists, failures atomic.Uint64
	waiting                              atomic.Int64
}

// New returns a client of the service at a base URL such as
// http://192.0.2.1:8080. The HTTP client must have no timeout of its own.
func New(base string, client *http.Client) *Client {
	if client == nil {
		client = &http.Client{}
	}
	return &Client{base: strings.TrimSuffix(base, "/"), http: client}
}

// Calls returns the counts so far.
func (c *Client) Calls() Calls {
	return Calls{
		Listings: c.listings.Load(),
		Watches:  c.watches.Load(),
		VMLists:  c.vmLists.Load(),
		Failures: c.failures.Load(),
		Waiting:  c.waiting.Load(),
	}
}

// Listing returns all records whose key starts with a prefix; an empty prefix
// stands for all.
func (c *Client) Listing(ctx context.Context, prefix string) (platformapi.Listing, error) {
	c.listings.Add(1)
	var listing platformapi.Listing
	query := url.Values{"prefix": {prefix}}
	err := c.get(ctx, "list records", platformapi.PathRecords, query, listingTimeout, &listing)
	return listing, err
}

// Changes returns the changes after a revision. Without any it waits up to
// wait for one. The error is ErrCompacted when a listing is needed.
func (c *Client) Changes(ctx context.Context, after ids.Revision, wait time.Duration) (platformapi.Changes, error) {
	c.watches.Add(1)
	var changes platformapi.Changes
	err := c.get(ctx, "watch records", platformapi.PathWatch, waitQuery(after, wait), boundWait(wait)+answerTimeout, &changes)
	return changes, err
}

// VMs returns the VM list. While its revision is not above after it waits up
// to wait for a newer one.
func (c *Client) VMs(ctx context.Context, after ids.Revision, wait time.Duration) (platformapi.VMList, error) {
	c.vmLists.Add(1)
	var list platformapi.VMList
	err := c.get(ctx, "watch VM list", platformapi.PathVMs, waitQuery(after, wait), boundWait(wait)+answerTimeout, &list)
	return list, err
}

func boundWait(wait time.Duration) time.Duration {
	return max(0, min(wait, maxWait))
}

func waitQuery(after ids.Revision, wait time.Duration) url.Values {
	return url.Values{
		"after":      {strconv.FormatUint(uint64(after), 10)},
		"waitMillis": {strconv.FormatInt(boundWait(wait).Milliseconds(), 10)},
	}
}

func (c *Client) get(ctx context.Context, step, path string, query url.Values, timeout time.Duration, into any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.waiting.Add(1)
	defer c.waiting.Add(-1)
	err := c.exchange(ctx, step, path, query, into)
	if err != nil {
		c.failures.Add(1)
	}
	return err
}

func (c *Client) exchange(ctx context.Context, step, path string, query url.Values, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path+"?"+query.Encode(), nil)
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
		body, _ := io.ReadAll(io.LimitReader(response.Body, errorBodyBytes))
		return &StatusError{Step: step, Status: response.StatusCode, Body: string(body)}
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(into); err != nil {
		return eris.Wrapf(err, "configuration service: %s: answer", step)
	}
	return nil
}
