// Command adapter-versions declares versions of an adapter, each before the one before is in
// place everywhere, and looks at which of them requests begin.
package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/review/harness3"
)

const (
	// versionBound is version_ms of the settings.
	versionBound = 5 * time.Second
	// declared is the number of versions after the first, and gap the time between two.
	declared = 4
	gap      = 1500 * time.Millisecond
	length   = 20 * time.Second
	every    = 50 * time.Millisecond
	adapter  = "a1"
)

func main() { harness3.Main(run) }

func run(d *harness3.Deployment, r *harness3.Record, trouble bool) (int, error) {
	for i, zone := range []string{"zone-a", "zone-b"} {
		engine := harness3.NewEngine(fmt.Sprintf("engine-%d", i), zone)
		engine.Events, engine.Pause = 10, 20*time.Millisecond
		if err := d.AddWorker(engine); err != nil {
			return 0, err
		}
	}
	d.Store.Put("op/config", harness3.Configuration(1, []harness3.Route{
		{Name: "draft", Prefix: "/draft/", Kind: "streaming", Service: harness3.Engines, Attempts: 2, Resume: true, TimeoutMs: 15000, ObjectiveMs: 800},
	}, []harness3.Tenant{{Name: "tenant-1", Keys: []string{"key-1"}, Rate: 1e6, Burst: 1e6}}))
	if err := d.StartVMs("zone-a", "zone-b"); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)

	// acked holds when each version from 2 on was acknowledged.
	acked := make(map[int]time.Time)
	statuses := make(map[int]int)
	var mu sync.Mutex
	var calls sync.WaitGroup
	began := time.Now()
	next, version, last := began.Add(5*time.Second), 2, 1+declared
	if !trouble {
		last = 2
	}
	for number := 0; time.Since(began) < length; number++ {
		if version <= last && time.Now().After(next) {
			acked[version] = d.Store.Declare(harness3.Model, adapter, version)
			r.Write("version %d acknowledged", version)
			version, next = version+1, next.Add(gap)
		}
		calls.Go(func() {
			vm := d.VMs[number%len(d.VMs)]
			answer := harness3.Send(vm, harness3.Call{Method: "POST", Host: harness3.Host, Path: "/draft/x", Key: "key-1", Limit: 5 * time.Second, Header: map[string]string{
				"Model": harness3.Model + "/" + adapter, "Token-Counts": "1460,20", "Prompt-Prefix": fmt.Sprintf("5c1e07a2:350,%x:1110", number+1),
			}})
			r.Write("request %s at %s: status %d complete %v after %v %s", answer.ID, vm.Name, answer.Status, answer.Complete, answer.Took.Round(time.Millisecond), answer.Error)
			mu.Lock()
			defer mu.Unlock()
			statuses[answer.Status]++
		})
		time.Sleep(every)
	}
	calls.Wait()
	runs, stale, oldest := 0, 0, time.Duration(0)
	byVersion := make(map[int]int)
	for _, engine := range d.Workers {
		for _, run := range engine.Runs() {
			runs++
			byVersion[run.Version]++
			// The first newer version was acknowledged first.
			ack, newer := acked[run.Version+1]
			if late := run.At.Sub(ack) - versionBound; newer && late > 0 {
				stale++
				oldest = max(oldest, late)
				r.Write("request %s began at %s on version %d, %v after version %d was acknowledged", run.ID, engine.ID, run.Version, run.At.Sub(ack).Round(time.Millisecond), run.Version+1)
			}
		}
	}
	r.Say("%d versions declared; statuses %v; runs by version %v", len(acked), statuses, byVersion)
	r.Say("%d of %d runs began on a version later than %v after a newer one was acknowledged, up to %v later", stale, runs, versionBound, oldest.Round(time.Millisecond))
	if stale > 0 {
		return harness3.Broken, nil
	}
	return harness3.Held, nil
}
