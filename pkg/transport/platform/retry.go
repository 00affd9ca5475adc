package platform

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/relay"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
)

const (
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 5 * time.Second
	// maxDoublings keeps the exponential wait from overflowing.
	maxDoublings = 8
)

// Backoff returns the wait before a retry. It grows exponentially with the
// number of failures so far and is random between half and all of that time, so
// that VMs do not retry at the same moment.
func Backoff(failures int, rng *rand.Rand) time.Duration {
	limit := min(initialBackoff<<min(max(failures, 0), maxDoublings), maxBackoff)
	return limit/2 + time.Duration(rng.Int64N(int64(limit/2)+1))
}

// Retry repeats call until it succeeds, the context ends or it returns
// ErrCompacted, which a repetition cannot resolve. It is for clients that read
// once; the relay schedules its own retries.
func Retry[T any](ctx context.Context, rng *rand.Rand, call func(context.Context) (T, error)) (T, error) {
	for failures := 0; ; failures++ {
		result, err := call(ctx)
		if err == nil || errors.Is(err, ErrCompacted) {
			return result, err
		}
		select {
		case <-ctx.Done():
			return result, err
		case <-time.After(Backoff(failures, rng)):
		}
	}
}

// ResultHandler receives the results of the reads that the relay requested.
// askedAt is the time at which the read started. The methods correspond to
// those of *relay.Relay, which also return follow-up actions that the
// implementation handles.
type ResultHandler interface {
	OnChanges(askedAt time.Time, after ids.Revision, changes platformapi.Changes)
	OnListing(askedAt time.Time, listing platformapi.Listing)
	OnVMs(askedAt time.Time, list platformapi.VMList)
	OnPlatformFailure(kind relay.ReadKind, compacted bool, err error)
}

// Perform executes a read that the relay requested and passes the result to
// handler. It reports whether the action is a platform read; if not, it does
// nothing.
func (c *Client) Perform(ctx context.Context, action relay.Action, handler ResultHandler) bool {
	askedAt := time.Now()
	switch read := action.(type) {
	case relay.WatchRecords:
		changes, err := c.WatchRecords(ctx, read.After, read.Wait)
		if err != nil {
			handler.OnPlatformFailure(relay.ReadRecords, errors.Is(err, ErrCompacted), err)
			return true
		}
		handler.OnChanges(askedAt, read.After, changes)
	case relay.ListRecords:
		listing, err := c.ListRecords(ctx, "")
		if err != nil {
			handler.OnPlatformFailure(relay.ReadListing, false, err)
			return true
		}
		handler.OnListing(askedAt, listing)
	case relay.WatchVMs:
		list, err := c.WatchVMs(ctx, read.After, read.Wait)
		if err != nil {
			handler.OnPlatformFailure(relay.ReadVMs, false, err)
			return true
		}
		handler.OnVMs(askedAt, list)
	default:
		return false
	}
	return true
}
