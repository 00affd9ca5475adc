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
	backoffFirst = 100 * time.Millisecond
	backoffLast  = 5 * time.Second
	maxDoublings = 8
)

// Backoff returns the wait before a retry: exponential in the failures so far,
// and random between half of it and all, so that readers spread.
func Backoff(failures int, rng *rand.Rand) time.Duration {
	limit := min(backoffFirst<<min(max(failures, 0), maxDoublings), backoffLast)
	return limit/2 + time.Duration(rng.Int64N(int64(limit/2)+1))
}

// Retry calls until it succeeds, the error needs another call, or the context
// ends. It is for one-shot readers; the relay keeps its own schedule.
func Retry[T any](ctx context.Context, rng *rand.Rand, call func(context.Context) (T, error)) (T, error) {
	for failures := 0; ; failures++ {
		answer, err := call(ctx)
		if err == nil || errors.Is(err, ErrCompacted) {
			return answer, err
		}
		select {
		case <-ctx.Done():
			return answer, err
		case <-time.After(Backoff(failures, rng)):
		}
	}
}

// Sink takes the answers of reads that the relay asked for; *relay.Relay is
// one when its results are handled by the caller.
type Sink interface {
	OnChanges(askedAt time.Time, after ids.Revision, changes platformapi.Changes)
	OnListing(askedAt time.Time, listing platformapi.Listing)
	OnVMs(askedAt time.Time, list platformapi.VMList)
	OnPlatformFailure(kind relay.ReadKind, compacted bool, err error)
}

// Perform carries out a read that the relay asked for and reports its result.
// It returns false for actions that are not platform reads.
func (c *Client) Perform(ctx context.Context, action relay.Action, sink Sink) bool {
	askedAt := time.Now()
	switch read := action.(type) {
	case relay.WatchRecords:
		changes, err := c.Changes(ctx, read.After, read.Wait)
		if err != nil {
			sink.OnPlatformFailure(relay.ReadRecords, errors.Is(err, ErrCompacted), err)
			return true
		}
		sink.OnChanges(askedAt, read.After, changes)
	case relay.ListRecords:
		listing, err := c.Listing(ctx, "")
		if err != nil {
			sink.OnPlatformFailure(relay.ReadListing, false, err)
			return true
		}
		sink.OnListing(askedAt, listing)
	case relay.WatchVMs:
		list, err := c.VMs(ctx, read.After, read.Wait)
		if err != nil {
			sink.OnPlatformFailure(relay.ReadVMs, false, err)
			return true
		}
		sink.OnVMs(askedAt, list)
	default:
		return false
	}
	return true
}
