package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"runtime"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/state/catalog"
)

const (
	// memoryLimit is a node's budget for everything, in bytes.
	memoryLimit = 64 << 20
	// readers is how many goroutines look up at once in the parallel case.
	readers = 4
)

// listingOf returns adapters, and endpoints and keys in the target's
// proportion to them.
func listingOf(adapters int) platformapi.Listing {
	listing := platformapi.Listing{}
	add := func(key, value string) {
		listing.Revision++
		listing.Items = append(listing.Items, platformapi.Item{Key: key, Revision: listing.Revision, Value: json.RawMessage(value)})
	}
	for i := range adapters {
		id := fmt.Sprintf("adapter-%d", i)
		add("adapter/"+id, adapterValue(id, 1))
	}
	for i := range adapters * 10_000 / 12_000 {
		id := fmt.Sprintf("endpoint-%d", i)
		add("endpoint/"+id, fmt.Sprintf(`{"kind":"endpoint","schema":1,"id":%q,"spec":{"dataCentre":"dc-%02d","kind":"model",`+
			`"address":"192.0.2.%d:8000","baseModel":"base-%d","slots":8,"maxBatch":32,"state":"serving"}}`, id, i%31, i%250, i%4))
	}
	for i := range 500 {
		id := fmt.Sprintf("key-%d", i)
		add("key/"+id, fmt.Sprintf(`{"kind":"key","schema":1,"id":%q,"spec":{"customer":"customer-%d","sha256":%q}}`, id, i%50, hex.EncodeToString(hashOf(i))))
	}
	return listing
}

func hashOf(i int) []byte {
	hash := sha256.Sum256([]byte(fmt.Sprintf("secret-%d", i)))
	return hash[:]
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func measureCatalog(report *Report, options Options) {
	scale := options.scale()
	var memory [][2]float64
	for _, adapters := range scale.adapters {
		before := liveHeap()
		c := catalog.New()
		total, applied := applyListing(c, adapters)
		used := float64(liveHeap() - before)
		memory = append(memory, [2]float64{float64(total), used})
		name := fmt.Sprintf("catalog of %d adapters, %d records", adapters, total)
		report.add(name+", memory", used/(1<<20), "MiB", memoryLimit>>20)
		report.add(name+", memory of a record", used/float64(total), "B", 0)
		report.add(name+", applying the listing", applied.Seconds()*1000, "ms", 0)
		report.add(name+", adapter lookup", timeLookups(scale.lookups, func(i int) {
			c.Resolve(ids.AdapterID(adapterNames[i%len(adapterNames)]), 0)
		}), "ns", 0)
		report.add(name+", adapter lookup by 4 readers at once", timeParallel(scale.lookups, func(i int) {
			c.Resolve(ids.AdapterID(adapterNames[i%len(adapterNames)]), 0)
		}), "ns", 0)
		hash := catalog.KeyHash(hashOf(7))
		report.add(name+", key lookup", timeLookups(scale.lookups, func(int) { c.View().CustomerByKey(hash) }), "ns", 0)
		report.add(name+", applying one change", timeChanges(c, c.CompleteThrough()), "µs", 0)
		runtime.KeepAlive(c)
	}
	report.fit("config.catalog_bytes_per_record", "B/record", memory)
}

// applyListing applies a listing and forgets it, so that what stays of it in
// the catalog counts as the catalog's.
func applyListing(c *catalog.Catalog, adapters int) (total int, took time.Duration) {
	listing := listingOf(adapters)
	start := time.Now()
	c.ApplyListing(listing)
	return len(listing.Items), time.Since(start)
}

var adapterNames = func() []string {
	names := make([]string, 1000)
	for i := range names {
		names[i] = fmt.Sprintf("adapter-%d", i)
	}
	return names
}()

// timeLookups returns the nanoseconds of one lookup.
func timeLookups(lookups int, lookup func(int)) float64 {
	start := time.Now()
	for i := range lookups {
		lookup(i)
	}
	return float64(time.Since(start).Nanoseconds()) / float64(lookups)
}

// timeParallel returns the nanoseconds of one lookup as a reader sees it.
func timeParallel(lookups int, lookup func(int)) float64 {
	var group sync.WaitGroup
	start := time.Now()
	for range readers {
		group.Go(func() {
			for i := range lookups {
				lookup(i)
			}
		})
	}
	group.Wait()
	return float64(time.Since(start).Nanoseconds()) / float64(lookups)
}

// timeChanges returns the microseconds of applying one change, half of them
// of endpoints, whose index is rebuilt.
func timeChanges(c *catalog.Catalog, revision ids.Revision) float64 {
	const changes = 100
	start := time.Now()
	for i := range changes {
		next := revision + 1
		event := platformapi.Event{Key: "adapter/adapter-1", Revision: next, Value: json.RawMessage(adapterValue("adapter-1", i+2))}
		if i%2 == 1 {
			event.Key = "endpoint/endpoint-1"
			event.Value = json.RawMessage(`{"kind":"endpoint","schema":1,"id":"endpoint-1","spec":{"dataCentre":"dc-01","kind":"model","address":"192.0.2.1:8000","baseModel":"base-1","slots":8,"maxBatch":32,"state":"leaving"}}`)
		}
		c.ApplyChanges(revision, next, []platformapi.Event{event})
		revision = next
	}
	return float64(time.Since(start).Microseconds()) / changes
}
