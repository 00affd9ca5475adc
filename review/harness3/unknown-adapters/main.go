// Command unknown-adapters sends ordinary requests for adapters beside those of a client that
// asks for adapters which do not exist.
package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/review/harness3"
)

const (
	length = 40 * time.Second
	// settle is the time before the ordinary requests.
	settle = 3 * time.Second
	// minAsked and minSpan are how often, and over which time, an adapter has to be asked
	// for to count.
	minAsked = 4
	minSpan  = 8 * time.Second
	// adapterCount is the number of adapters that ordinary requests ask for, and
	// ordinaryEvery and unknownEvery the pauses between requests.
	adapterCount  = 40
	ordinaryEvery = 100 * time.Millisecond
	unknownEvery  = 10 * time.Millisecond
)

func main() { harness3.Main(run) }

type asked struct {
	first, last  time.Time
	sent, served int
}

func run(d *harness3.Deployment, r *harness3.Record, trouble bool) (int, error) {
	for i := range 3 {
		engine := harness3.NewEngine(fmt.Sprintf("engine-%d", i), []string{"zone-a", "zone-b"}[i%2])
		engine.Events, engine.Pause = 10, 20*time.Millisecond
		if err := d.AddWorker(engine); err != nil {
			return 0, err
		}
	}
	d.Store.Put("op/config", harness3.Configuration(1, []harness3.Route{
		{Name: "draft", Prefix: "/draft/", Kind: "streaming", Service: harness3.Engines, Attempts: 2, Resume: true, TimeoutMs: 15000, ObjectiveMs: 800},
	}, []harness3.Tenant{{Name: "tenant-1", Keys: []string{"key-1"}, Rate: 60000, Burst: 60000}, {Name: "tenant-2", Keys: []string{"key-2"}, Rate: 60000, Burst: 60000}}))
	if err := d.StartVMs("zone-a", "zone-b"); err != nil {
		return 0, err
	}
	var mu sync.Mutex
	var calls sync.WaitGroup
	adapters := make(map[string]*asked)
	statuses := map[string]map[int]int{"key-1": {}, "key-2": {}}
	send := func(number int, key, adapter string) {
		vm := d.VMs[number%len(d.VMs)]
		answer := harness3.Send(vm, harness3.Call{Method: "POST", Host: harness3.Host, Path: "/draft/x", Key: key, Limit: 5 * time.Second, Header: map[string]string{
			"Model": harness3.Model + "/" + adapter, "Token-Counts": "200,20", "Prompt-Prefix": fmt.Sprintf("5c1e07a2:50,%x:150", number+1),
		}})
		r.Write("request %s of %s for %s at %s: status %d complete %v after %v %s", answer.ID, key, adapter, vm.Name, answer.Status, answer.Complete, answer.Took.Round(time.Millisecond), answer.Error)
		mu.Lock()
		defer mu.Unlock()
		statuses[key][answer.Status]++
		if key != "key-1" {
			return
		}
		a := adapters[adapter]
		if a == nil {
			a = &asked{first: answer.SentAt, last: answer.SentAt}
			adapters[adapter] = a
		}
		a.sent++
		if answer.SentAt.After(a.last) {
			a.last = answer.SentAt
		}
		if answer.Served() {
			a.served++
		}
	}
	began := time.Now()
	calls.Go(func() {
		for number := 0; trouble && time.Since(began) < length; number++ {
			calls.Go(func() { send(number, "key-2", fmt.Sprintf("none%d", number)) })
			time.Sleep(unknownEvery)
		}
	})
	time.Sleep(settle)
	for number := 0; time.Since(began) < length; number++ {
		calls.Go(func() { send(number, "key-1", fmt.Sprintf("a%d", 1+number%adapterCount)) })
		time.Sleep(ordinaryEvery)
	}
	calls.Wait()
	counted, never, sent, served := 0, 0, 0, 0
	for _, a := range adapters {
		sent, served = sent+a.sent, served+a.served
		if a.sent < minAsked || a.last.Sub(a.first) < minSpan {
			continue
		}
		counted++
		if a.served == 0 {
			never++
		}
	}
	r.Say("ordinary requests: %d of %d served, statuses %v; others %v", served, sent, statuses["key-1"], statuses["key-2"])
	r.Say("%d of %d adapters that were asked for were never served; the rule allows 1 + 10 in 100", never, counted)
	if float64(never) > 1+float64(counted)/10 {
		return harness3.Broken, nil
	}
	return harness3.Held, nil
}
