// Command token-counts sends requests of two tenants, and now and then one of the first
// tenant whose client does not limit its output.
package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/review/harness3"
)

const (
	length = 45 * time.Second
	// settle is the time before the disruption.
	settle = 5 * time.Second
	// unlimitedEvery is the pause between two requests without a limit of their output.
	unlimitedEvery = 8 * time.Second
	perSecond      = 10
)

func main() { harness3.Main(run) }

func run(d *harness3.Deployment, r *harness3.Record, trouble bool) (int, error) {
	for i, zone := range []string{"zone-a", "zone-b", "zone-a"} {
		engine := harness3.NewEngine(fmt.Sprintf("engine-%d", i), zone)
		engine.Events, engine.Pause = 10, 20*time.Millisecond
		if err := d.AddWorker(engine); err != nil {
			return 0, err
		}
	}
	tenants := []harness3.Tenant{
		{Name: "tenant-1", Keys: []string{"key-1"}, Rate: 60000, Burst: 60000},
		{Name: "tenant-2", Keys: []string{"key-2"}, Rate: 60000, Burst: 60000},
	}
	d.Store.Put("op/config", harness3.Configuration(1, []harness3.Route{
		{Name: "draft", Prefix: "/draft/", Kind: "streaming", Service: harness3.Engines, Attempts: 2, Resume: true, TimeoutMs: 15000, ObjectiveMs: 800},
	}, tenants))
	if err := d.StartVMs("zone-a", "zone-b"); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)

	call := func(key, counts string) harness3.Call {
		return harness3.Call{Method: "POST", Host: harness3.Host, Path: "/draft/x", Key: key, Limit: 5 * time.Second, Header: map[string]string{
			"Model": harness3.Model, "Token-Counts": counts, "Prompt-Prefix": "5c1e07a2:350,e4402b7d:1110",
		}}
	}
	var mu sync.Mutex
	sent, served, statuses := make(map[string]int), make(map[string]int), make(map[string]map[int]int)
	var calls sync.WaitGroup
	began := time.Now()
	send := func(number int, key, counts string, counted bool) {
		vm := d.VMs[number%len(d.VMs)]
		answer := harness3.Send(vm, call(key, counts))
		r.Write("request %s key %s tokens %s to %s: status %d complete %v after %v %s", answer.ID, key, counts, vm.Name, answer.Status, answer.Complete, answer.Took.Round(time.Millisecond), answer.Error)
		mu.Lock()
		defer mu.Unlock()
		if !counted || answer.SentAt.Sub(began) < settle {
			return
		}
		sent[key]++
		if answer.Served() {
			served[key]++
		}
		if statuses[key] == nil {
			statuses[key] = make(map[int]int)
		}
		statuses[key][answer.Status]++
	}
	next := began.Add(settle)
	for number := 0; time.Since(began) < length; number++ {
		calls.Go(func() { send(number, "key-1", "1460,172", true) })
		calls.Go(func() { send(number, "key-2", "1460,172", true) })
		if trouble && time.Now().After(next) {
			calls.Go(func() { send(number, "key-1", "1460,2147483647", false) })
			next = next.Add(unlimitedEvery)
		}
		time.Sleep(time.Second / perSecond)
	}
	calls.Wait()
	total, totalServed := 0, 0
	for _, key := range []string{"key-1", "key-2"} {
		total, totalServed = total+sent[key], totalServed+served[key]
		r.Say("%s: %d of %d requests served, statuses %v", key, served[key], sent[key], statuses[key])
	}
	share := float64(served["key-1"]) / float64(sent["key-1"])
	all := float64(totalServed) / float64(total)
	r.Say("tenant-1 is served in %.3f of its requests, all tenants in %.3f; the rule asks for a quarter of that", share, all)
	if share < all/4 {
		return harness3.Broken, nil
	}
	return harness3.Held, nil
}
