package shard_test

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/state/shard"
)

// Guards against lost updates when several goroutines change the same key.
func TestUpdatesOfOneKeyAreNotLost(t *testing.T) {
	m := shard.New[string, int](5)
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for range 500 {
				m.Update("k", func(value int, _ bool) (int, bool) { return value + 1, true })
			}
		})
	}
	group.Wait()
	value, found := m.Get("k")
	assert.Assert(t, found)
	assert.Equal(t, value, 2000)
}

// Guards against entries that remain after Update, Sweep or Delete removed
// them.
func TestDeletedEntriesAreGone(t *testing.T) {
	m := shard.New[int, int](4)
	for i := range 100 {
		m.Set(i, i)
	}
	m.Update(7, func(int, bool) (int, bool) { return 0, false })
	m.Update(1000, func(int, bool) (int, bool) { return 0, false })
	m.Sweep(func(key, _ int) bool { return key%2 == 1 })
	assert.Equal(t, m.Len(), 49)
	seen := 0
	m.Range(func(key, value int) bool {
		assert.Equal(t, key, value)
		seen++
		return seen < 10
	})
	assert.Equal(t, seen, 10)
	m.Delete(1)
	_, found := m.Get(1)
	assert.Assert(t, !found)
}
