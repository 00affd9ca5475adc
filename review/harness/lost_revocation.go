package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// lostRevocation takes a key away and lets the store go away right after it has
// acknowledged that. The store comes back from a copy that is some seconds old, and the
// operator writes again two seconds later. The case looks for requests with the key that
// are sent later than the bound on revocation after the acknowledgement and run.
func lostRevocation(d *deployment, trouble bool) (broken bool, err error) {
	const (
		vmCount  = 3
		withdraw = "key-withdrawn"
		work     = 15 * time.Millisecond
		pace     = 20 * time.Millisecond
		copyAge  = 7 * time.Second
		away     = 4 * time.Second
		// againAfter is when the operator has written again what the store lost, counted
		// from its return, as for the entries of workers.
		againAfter = 2 * time.Second
		watchAfter = 10 * time.Second
		// The entry of each worker changes with every liveness report.
		workerCount   = 10
		entryInterval = 1200 * time.Millisecond / workerCount
	)
	d.addRoute(route{name: "check", prefix: "/check/", kind: "safe", service: "booking", timeout: 1500 * time.Millisecond, objective: 100 * time.Millisecond, attempts: 2})
	d.addPlainService("booking")
	var workers []*worker
	for i := range workerCount {
		w, err := newWorker(d, fmt.Sprintf("booking-%d", i+1), "booking", "zone-a")
		if err != nil {
			return false, err
		}
		w.run = func(c *workerConn, r *http.Request) bool {
			time.Sleep(work)
			return w.answerPlain(c, r)
		}
		w.serve()
		workers = append(workers, w)
		d.store.Put(w.entry("ready"))
	}
	d.publish(clientKey, withdraw)
	if err := d.startVMs(vmCount); err != nil {
		return false, err
	}
	var storeMu sync.Mutex
	storeAway := false
	stop := make(chan struct{})
	var background sync.WaitGroup
	background.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(entryInterval):
			}
			w := workers[i%len(workers)]
			key, entry := w.entry("ready")
			entry["cold-remaining-ms"] = max(60000-100*i, 0)
			storeMu.Lock()
			if !storeAway {
				d.store.Put(key, entry)
			}
			storeMu.Unlock()
		}
	})
	var mu sync.Mutex
	sentAt := make(map[string]time.Time)
	statuses := make(map[int]int)
	background.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(pace):
			}
			id := fmt.Sprintf("k%07d", i)
			mu.Lock()
			sentAt[id] = time.Now()
			mu.Unlock()
			background.Go(func() {
				a := d.send(request{vm: d.vms[i%len(d.vms)], method: http.MethodGet, path: "/check/" + id, id: id, key: withdraw, deadline: 1500 * time.Millisecond})
				mu.Lock()
				statuses[a.status]++
				mu.Unlock()
			})
		}
	})
	time.Sleep(2 * time.Second)
	older := d.store.Copy()
	time.Sleep(copyAge - away)
	storeMu.Lock()
	acknowledged := d.publish(clientKey)
	if trouble {
		storeAway = true
		d.store.SetUnavailable(true)
		d.record.printf("the store is away")
	}
	storeMu.Unlock()
	if trouble {
		time.Sleep(away)
		storeMu.Lock()
		d.store.Restore(older)
		d.store.SetUnavailable(false)
		storeAway = false
		storeMu.Unlock()
		d.record.printf("the store is back from a copy of %v before", copyAge)
		time.Sleep(againAfter)
		d.configVersion -= 3
		d.publish(clientKey)
	}
	time.Sleep(watchAfter)
	close(stop)
	background.Wait()
	late := 0
	for _, w := range workers {
		w.mu.Lock()
		for _, r := range w.runs {
			if sentAt[r.id].After(acknowledged.Add(revocationPeriod)) {
				late++
				d.record.printf("CONFIG: %s, sent %v after the key was taken away (bound %v), runs for %s", r.id, sentAt[r.id].Sub(acknowledged).Round(time.Millisecond), revocationPeriod, r.tenant)
			}
		}
		w.mu.Unlock()
	}
	d.record.report("%d requests with the withdrawn key, statuses %v; %d ran although they were sent later than %v after its withdrawal", len(sentAt), statuses, late, revocationPeriod)
	return late > 0, nil
}
