package fairqueue

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wagtailspoke/wagtailspoke/internal/rapidtest"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
)

// TestMain fixes the seed of rapid, so that each run draws the same cases.
func TestMain(m *testing.M) { rapidtest.Main(m, 20261204, 100) }

var baseTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func alwaysRun(ids.AdapterRef) bool { return true }

func adapterRef(n int) ids.AdapterRef {
	return ids.AdapterRef{Adapter: ids.AdapterID(fmt.Sprint("m", n)), Version: 1}
}

func item(id string, customer ids.CustomerID, adapter int, cost int64) Item {
	return Item{ID: ids.RequestID(id), Customer: customer, Ref: adapterRef(adapter), Cost: cost, Deadline: baseTime.Add(time.Hour)}
}

// servedBeforeSmall fills the queue with requests of one customer and returns
// how many of them are served before the only request of another customer.
func servedBeforeSmall(t *testing.T, fairness bool) int {
	t.Helper()
	q := New(DefaultConfig(records.PolicyLatency))
	q.fairness = fairness
	for i := range 500 {
		assert.Assert(t, q.Push(baseTime, item(fmt.Sprint("l", i), "large", i%7, 100)) == nil)
	}
	assert.Assert(t, q.Push(baseTime, item("s", "small", 1, 100)) == nil)
	for n := 0; ; n++ {
		got, ok := q.Pop(baseTime, alwaysRun)
		assert.Assert(t, ok)
		if got.Customer == "small" {
			return n
		}
	}
}

// A customer at many times its rate must not delay another customer.
func TestFloodDoesNotDelayAnotherCustomer(t *testing.T) {
	assert.Assert(t, servedBeforeSmall(t, true) <= 1)
	assert.Equal(t, servedBeforeSmall(t, false), 500)
}

// While all customers have waiting requests, they must be served in proportion
// to their weights. None may be ahead of another by more than the cost of one
// request of each, divided by its weight.
func TestServiceFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(DefaultConfig(records.PolicyLatency))
		weights := map[ids.CustomerID]float64{}
		const maxCost = 400
		for c := range rapid.IntRange(2, 5).Draw(t, "customers") {
			id := ids.CustomerID(fmt.Sprint("c", c))
			weights[id] = float64(rapid.IntRange(1, 4).Draw(t, "weight"))
			q.SetWeight(id, weights[id])
			for i := range 150 {
				cost := int64(rapid.IntRange(10, maxCost).Draw(t, "cost"))
				q.Push(baseTime, item(fmt.Sprint(id, i), id, i%5, cost))
			}
		}
		served := map[ids.CustomerID]float64{}
		for range 150 {
			got, ok := q.Pop(baseTime, alwaysRun)
			if !ok {
				break
			}
			served[got.Customer] += float64(got.Cost) / weights[got.Customer]
			for a := range weights {
				for b := range weights {
					if served[a]-served[b] > maxCost/weights[a]+maxCost/weights[b] {
						t.Fatalf("customer %s is ahead of %s by %.0f tokens per weight", a, b, served[a]-served[b])
					}
				}
			}
		}
	})
}

// No request may be lost or duplicated: each queued request leaves the queue
// exactly once, by being dispatched, expired or cancelled, and a refused
// request never does.
func TestEachRequestLeavesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig(records.PolicyThroughput)
		cfg.MaxItems, cfg.MaxPerCustomer = 20, 12
		q := New(cfg)
		now := baseTime
		waiting := map[ids.RequestID]bool{}
		markLeft := func(id ids.RequestID) {
			if !waiting[id] {
				t.Fatalf("request %s left the queue but was not waiting", id)
			}
			delete(waiting, id)
		}
		for i := range 150 {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "millis")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0, 1, 2:
				it := item(fmt.Sprint(i), ids.CustomerID(fmt.Sprint(i%3)), rapid.IntRange(0, 4).Draw(t, "adapter"), 50)
				it.Deadline = now.Add(time.Duration(rapid.IntRange(-1, 5).Draw(t, "left")) * time.Second)
				if q.Push(now, it) == nil {
					waiting[it.ID] = true
				}
			case 3:
				blocked := adapterRef(rapid.IntRange(0, 4).Draw(t, "blocked"))
				if got, ok := q.Pop(now, func(ref ids.AdapterRef) bool { return ref != blocked }); ok {
					markLeft(got.ID)
					if !now.Before(got.Deadline) || got.Ref == blocked {
						t.Fatalf("dispatched after its deadline or for a blocked adapter: %v", got)
					}
					if rapid.IntRange(0, 3).Draw(t, "return") == 0 {
						q.Requeue(got)
						waiting[got.ID] = true
					}
				}
			case 4:
				for _, gone := range q.Expire(now) {
					markLeft(gone.ID)
				}
			case 5:
				id := ids.RequestID(fmt.Sprint(rapid.IntRange(0, i).Draw(t, "cancel")))
				if q.Cancel(id) {
					markLeft(id)
				}
			}
			if q.Len() != len(waiting) || q.Len() > cfg.MaxItems+1 {
				t.Fatalf("queue length %d, want %d", q.Len(), len(waiting))
			}
		}
	})
}

// A request that would only wait until its deadline must be refused at once,
// and one that the queue is known to serve in time must not be refused.
func TestEarlyRefusalByMeasuredRate(t *testing.T) {
	q := New(DefaultConfig(records.PolicyLatency))
	now := baseTime
	for i := range 200 {
		q.Push(now, item(fmt.Sprint("a", i), "c", 0, 100))
	}
	// One request of 100 tokens each 100 ms is 1,000 tokens a second.
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		_, ok := q.Pop(now, alwaysRun)
		assert.Assert(t, ok)
	}
	late := item("late", "c", 0, 100)
	late.Deadline = now.Add(5 * time.Second)
	refusal := q.Push(now, late)
	assert.Assert(t, refusal != nil)
	assert.Equal(t, refusal.Reason, RefusedDeadline)
	assert.Assert(t, refusal.RetryAfter > 5*time.Second && refusal.RetryAfter < 20*time.Second, "retry after %v", refusal.RetryAfter)
	other := late
	other.ID, other.Customer = "other", "d"
	assert.Assert(t, q.Push(now, other) == nil, "a customer with a short queue was refused because of another customer's")
	other.ID, other.LoadWait = "cold", 10*time.Second
	assert.Equal(t, q.Push(now, other).Reason, RefusedDeadline)
}

// The queue must be bounded, and one customer must not be able to fill all of
// it.
func TestQueueBounds(t *testing.T) {
	cfg := DefaultConfig(records.PolicyLatency)
	cfg.MaxItems, cfg.MaxPerCustomer = 4, 3
	q := New(cfg)
	for i := range 3 {
		assert.Assert(t, q.Push(baseTime, item(fmt.Sprint(i), "a", 0, 1)) == nil)
	}
	assert.Equal(t, q.Push(baseTime, item("0", "b", 0, 1)).Reason, RefusedDuplicate)
	assert.Equal(t, q.Push(baseTime, item("x", "a", 0, 1)).Reason, RefusedCustomerFull)
	assert.Assert(t, q.Push(baseTime, item("y", "b", 0, 1)) == nil)
	assert.Equal(t, q.Push(baseTime, item("z", "b", 0, 1)).Reason, RefusedFull)
}

// An adapter must not be skipped any longer once it is loaded.
func TestUnparkEndsParking(t *testing.T) {
	q := New(DefaultConfig(records.PolicyLatency))
	q.Push(baseTime, item("a", "c", 0, 1))
	_, ok := q.Pop(baseTime, func(ids.AdapterRef) bool { return false })
	assert.Assert(t, !ok)
	_, ok = q.Pop(baseTime, alwaysRun)
	assert.Assert(t, !ok)
	q.Unpark(adapterRef(0))
	_, ok = q.Pop(baseTime, alwaysRun)
	assert.Assert(t, ok)
}
