// Command deadly-part sends requests, some of which hold a part that crashes each engine once
// it has written the first event of the answer.
package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/review/harness3"
)

const (
	// stableWindow is stable-window-ms of the settings.
	stableWindow = 3 * time.Second
	// calm is the time without deadly requests, and trouble that with them.
	calm      = 10 * time.Second
	deadlyFor = 40 * time.Second
	// soundEvery and deadlyEvery are the pauses between requests.
	soundEvery  = 100 * time.Millisecond
	deadlyEvery = 500 * time.Millisecond
	deadlyPart  = "d00d1e5"
	// minRequests is the number of requests from which the rule counts.
	minRequests = 20
)

func main() { harness3.Main(run) }

type request struct {
	answer harness3.Answer
	deadly bool
}

func run(d *harness3.Deployment, r *harness3.Record, trouble bool) (int, error) {
	for i := range 4 {
		engine := harness3.NewEngine(fmt.Sprintf("engine-%d", i), []string{"zone-a", "zone-b"}[i%2])
		engine.Events, engine.Pause = 20, 20*time.Millisecond
		engine.DeadlyPart, engine.DeadlyAfter, engine.Down = deadlyPart, 1, 3*time.Second
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
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	var requests []request
	var calls sync.WaitGroup
	send := func(number int, deadly bool) {
		parts := fmt.Sprintf("5c1e07a2:350,%s%x:1110", map[bool]string{true: deadlyPart + ":100,"}[deadly], number+1000)
		answer := harness3.Send(d.VMs[number%len(d.VMs)], harness3.Call{Method: "POST", Host: harness3.Host, Path: "/draft/x", Key: "key-1", Limit: 8 * time.Second, Header: map[string]string{
			"Model": harness3.Model, "Token-Counts": "1460,40", "Prompt-Prefix": parts,
		}})
		r.Write("request %s deadly %v: status %d complete %v after %v %s", answer.ID, deadly, answer.Status, answer.Complete, answer.Took.Round(time.Millisecond), answer.Error)
		mu.Lock()
		defer mu.Unlock()
		requests = append(requests, request{answer, deadly})
	}
	began := time.Now()
	var fifth time.Time
	nextDeadly := began.Add(calm)
	for number := 0; time.Since(began) < calm+deadlyFor; number++ {
		calls.Go(func() { send(number, false) })
		if trouble && time.Now().After(nextDeadly) {
			nextDeadly = nextDeadly.Add(deadlyEvery)
			calls.Go(func() { send(number, true) })
		}
		crashes := 0
		for _, w := range d.Workers {
			crashes += w.Crashes()
		}
		if fifth.IsZero() && crashes >= 5 {
			fifth = time.Now()
			r.Say("fifth crash after %v", fifth.Sub(began))
		}
		time.Sleep(soundEvery)
	}
	calls.Wait()
	runs := make(map[string][]harness3.Run)
	crashes := 0
	for _, w := range d.Workers {
		crashes += w.Crashes()
		for _, run := range w.Runs() {
			runs[run.ID] = append(runs[run.ID], run)
		}
	}
	reached, calmSent, calmBegun, lateSent, lateBegun := 0, 0, 0, 0, 0
	statuses := make(map[string]int)
	for _, q := range requests {
		switch {
		case q.deadly:
			for _, run := range runs[q.answer.ID] {
				if !fifth.IsZero() && run.At.After(fifth.Add(stableWindow)) {
					reached++
				}
			}
		case q.answer.SentAt.Before(began.Add(calm)):
			calmSent++
			if len(runs[q.answer.ID]) > 0 {
				calmBegun++
			}
		case !fifth.IsZero() && q.answer.SentAt.After(fifth.Add(2*stableWindow)):
			lateSent++
			if len(runs[q.answer.ID]) > 0 {
				lateBegun++
			}
			statuses[fmt.Sprint(q.answer.Status, q.answer.Complete)]++
		}
	}
	r.Say("%d crashes; %d deadly requests reached engines later than %v after the fifth", crashes, reached, stableWindow)
	r.Say("sound requests begun at an engine: %d of %d before, %d of %d later than %v after the fifth crash; status and whether complete: %v", calmBegun, calmSent, lateBegun, lateSent, 2*stableWindow, statuses)
	if lateSent >= minRequests && calmSent >= minRequests && 2*lateBegun*calmSent < calmBegun*lateSent {
		return harness3.Broken, nil
	}
	return harness3.Held, nil
}
