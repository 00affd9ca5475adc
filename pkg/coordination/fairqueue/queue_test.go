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

var base = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func always(ids.AdapterRef) bool { return true }

func refOf(n int) ids.AdapterRef {
	return ids.AdapterRef{Adapter: ids.AdapterID(fmt.Sprint("m", n)), Version: 1}
}

func item(id string, customer ids.CustomerID, adapter int, cost int64) Item {
	return Item{ID: ids.RequestID(id), Customer: customer, Ref: refOf(adapter), Cost: cost, Deadline: base.Add(time.Hour)}
}

// waitOfSmall floods the queue with one customer and returns how many requests
// are served before the one of another.
func waitOfSmall(t *testing.T, fairness bool) int {
	t.Helper()
	q := New(DefaultConfig(records.PolicyLatency))
	q.fairness = fairness
	for i := range 500 {
		assert.Assert(t, q.Push(base, item(fmt.Sprint("l", i), "large", i%7, 100)) == nil)
	}
	assert.Assert(t, q.Push(base, item("s", "small", 1, 100)) == nil)
	for n := 0; ; n++ {
		got, ok := q.Pop(base, always)
		assert.Assert(t, ok)
		if got.Customer == "small" {
			return n
		}
	}
}

// Guards against a customer at many times its rate that delays another.
func TestFloodDoesNotDelayAnotherCustomer(t *testing.T) {
	assert.Assert(t, waitOfSmall(t, true) <= 1)
	assert.Equal(t, waitOfSmall(t, false), 500)
}

// Guards against shares that do not follow the weights while all customers
// have work: none may lag by more than the cost of one request per customer.
func TestServiceFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(DefaultConfig(records.PolicyLatency))
		weights := map[ids.CustomerID]float64{}
		const most = 400
		for c := range rapid.IntRange(2, 5).Draw(t, "customers") {
			id := ids.CustomerID(fmt.Sprint("c", c))
			weights[id] = float64(rapid.IntRange(1, 4).Draw(t, "weight"))
			q.SetWeight(id, weights[id])
			for i := range 150 {
				cost := int64(rapid.IntRange(10, most).Draw(t, "cost"))
				q.Push(base, item(fmt.Sprint(id, i), id, i%5, cost))
			}
		}
		served := map[ids.CustomerID]float64{}
		for range 150 {
			got, ok := q.Pop(base, always)
			if !ok {
				break
			}
			served[got.Customer] += float64(got.Cost) / weights[got.Customer]
			for a := range weights {
				for b := range weights {
					if served[a]-served[b] > most/weights[a]+most/weights[b] {
						t.Fatalf("%s is ahead of %s by %.0f tokens", a, b, served[a]-served[b])
					}
				}
			}
		}
	})
}

// Guards against lost and doubled requests: each pushed request leaves the
// queue exactly once, as handed out, expired or cancelled, and a refused one
// never does.
func TestEachRequestLeavesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig(records.PolicyThroughput)
		cfg.MaxItems, cfg.MaxPerCustomer = 20, 12
		q := New(cfg)
		now := base
		inside := map[ids.RequestID]bool{}
		leave := func(id ids.RequestID) {
			if !inside[id] {
				t.Fatalf("%s left although it was not inside", id)
			}
			delete(inside, id)
		}
		for i := range 150 {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "millis")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0, 1, 2:
				it := item(fmt.Sprint(i), ids.CustomerID(fmt.Sprint(i%3)), rapid.IntRange(0, 4).Draw(t, "adapter"), 50)
				it.Deadline = now.Add(time.Duration(rapid.IntRange(-1, 5).Draw(t, "left")) * time.Second)
				if q.Push(now, it) == nil {
					inside[it.ID] = true
				}
			case 3:
				blocked := refOf(rapid.IntRange(0, 4).Draw(t, "blocked"))
				if got, ok := q.Pop(now, func(ref ids.AdapterRef) bool { return ref != blocked }); ok {
					leave(got.ID)
					if !now.Before(got.Deadline) || got.Ref == blocked {
						t.Fatalf("handed out late or blocked: %v", got)
					}
					if rapid.IntRange(0, 3).Draw(t, "return") == 0 {
						q.Return(got)
						inside[got.ID] = true
					}
				}
			case 4:
				for _, gone := range q.Expire(now) {
					leave(gone.ID)
				}
			case 5:
				id := ids.RequestID(fmt.Sprint(rapid.IntRange(0, i).Draw(t, "cancel")))
				if q.Cancel(id) {
					leave(id)
				}
			}
			if q.Len() != len(inside) || q.Len() > cfg.MaxItems+1 {
				t.Fatalf("length %d, want %d", q.Len(), len(inside))
			}
		}
	})
}

// Guards against requests that wait only to be shed at their deadline, and
// against refusals while the queue is known to be fast enough.
func TestEarlyRefusalByMeasuredRate(t *testing.T) {
	q := New(DefaultConfig(records.PolicyLatency))
	now := base
	for i := range 200 {
		q.Push(now, item(fmt.Sprint("a", i), "c", 0, 100))
	}
	// One request of 100 tokens each 100 ms: 1,000 tokens a second.
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		_, ok := q.Pop(now, always)
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
	assert.Assert(t, q.Push(now, other) == nil, "another customer's short queue is held against it")
	other.ID, other.LoadWait = "cold", 10*time.Second
	assert.Equal(t, q.Push(now, other).Reason, RefusedDeadline)
}

// Guards against a queue without bounds and one customer filling all of it.
func TestBounds(t *testing.T) {
	cfg := DefaultConfig(records.PolicyLatency)
	cfg.MaxItems, cfg.MaxPerCustomer = 4, 3
	q := New(cfg)
	for i := range 3 {
		assert.Assert(t, q.Push(base, item(fmt.Sprint(i), "a", 0, 1)) == nil)
	}
	assert.Equal(t, q.Push(base, item("0", "b", 0, 1)).Reason, RefusedRepeated)
	assert.Equal(t, q.Push(base, item("x", "a", 0, 1)).Reason, RefusedCustomerFull)
	assert.Assert(t, q.Push(base, item("y", "b", 0, 1)) == nil)
	assert.Equal(t, q.Push(base, item("z", "b", 0, 1)).Reason, RefusedFull)
}

// Guards against an adapter that stays passed over after it was loaded.
func TestWakeEndsParking(t *testing.T) {
	q := New(DefaultConfig(records.PolicyLatency))
	q.Push(base, item("a", "c", 0, 1))
	_, ok := q.Pop(base, func(ids.AdapterRef) bool { return false })
	assert.Assert(t, !ok)
	_, ok = q.Pop(base, always)
	assert.Assert(t, !ok)
	q.Wake(refOf(0))
	_, ok = q.Pop(base, always)
	assert.Assert(t, ok)
}
