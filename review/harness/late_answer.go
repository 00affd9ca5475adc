package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// lateAnswer sends streams that may not be resumed for adapters that have to be loaded
// first. An engine that is still loading turns requests away. With the disruption, some
// of these answers come a second time, late, where the next answer on the connection is
// due. The case counts the runs of each attempt.
func lateAnswer(d *deployment, trouble bool) (broken bool, err error) {
	const (
		bursts        = 215
		burstSize     = 14
		burstInterval = 450 * time.Millisecond
		// hotAdapters are held by the sound engines from the start, and requests for
		// them come at hotInterval.
		hotAdapters = 8
		hotInterval = 6 * time.Millisecond
		engines     = 5
		// lateEngines and lateShare say how many engines send some of their answers
		// again, and which share of them, for lateFor of each latePeriod: the dose of
		// isbreen-tur (share 0.6, x 0.03, 5 s), more than once.
		lateEngines  = 3
		lateShare    = 0.03
		lateFor      = 5 * time.Second
		latePeriod   = 6 * time.Second
		adapterSlots = 20
		events       = 6
		eventPause   = 15 * time.Millisecond
	)
	d.addRoute(route{name: "brief", prefix: "/brief/", kind: "streaming", service: "lm", timeout: 15 * time.Second, objective: time.Second, attempts: 1})
	d.addEngineService("lm", adapterSlots)
	weights, began := &weightStore{}, time.Now()
	var workers []*worker
	for i := range engines {
		w, err := newWorker(d, fmt.Sprintf("lm-%d", i+1), "lm", "zone-a")
		if err != nil {
			return false, err
		}
		w.engine = true
		w.loadTime = func(string) time.Duration { return weights.load() }
		w.run = func(c *workerConn, r *http.Request) bool { return w.answerStream(c, r, events, eventPause) }
		if trouble && i < lateEngines {
			w.afterRejection = func(c *workerConn, answer []byte) {
				if time.Since(began)%latePeriod < lateFor && rand.Float64() < lateShare {
					c.late = answer
				}
			}
		}
		if i >= lateEngines {
			for a := range hotAdapters {
				w.adapters[fmt.Sprintf("hot%d", a)] = time.Now()
			}
		}
		w.serve()
		workers = append(workers, w)
		d.store.Put(w.entry("ready"))
	}
	d.publish(clientKey)
	if err := d.startVMs(2); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	answers := make([]answer, bursts*burstSize)
	var senders sync.WaitGroup
	burstsOver := make(chan struct{})
	senders.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-burstsOver:
				return
			case <-time.After(hotInterval):
			}
			senders.Go(func() {
				d.send(request{
					vm: d.vms[i%len(d.vms)], method: http.MethodPost, path: fmt.Sprintf("/brief/h%d", i), id: fmt.Sprintf("h%07d", i), key: clientKey,
					model: fmt.Sprintf("%s/hot%d", baseModel, i%hotAdapters), tokens: "100,12", deadline: 15 * time.Second,
				})
			})
		}
	})
	for i := range answers {
		if i%burstSize == 0 {
			time.Sleep(burstInterval)
		}
		senders.Go(func() {
			answers[i] = d.send(request{
				vm: d.vms[i%len(d.vms)], method: http.MethodPost, path: fmt.Sprintf("/brief/%d", i), id: fmt.Sprintf("b%07d", i), key: clientKey,
				model: fmt.Sprintf("%s/a%d", baseModel, 1+i), tokens: "100,12", deadline: 15 * time.Second,
			})
		})
	}
	close(burstsOver)
	senders.Wait()
	time.Sleep(time.Second)
	counts := runCounts(workers...)
	statuses, twice, refused := map[int]int{}, 0, 0
	for i, a := range answers {
		id := fmt.Sprintf("b%07d", i)
		statuses[a.status]++
		if counts[id] > 1 {
			twice++
			d.record.printf("TWICE: %s ran %d times, its client got %d", id, counts[id], a.status)
		}
		if counts[id] > 0 && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) {
			refused++
			d.record.printf("REFUSED: %s ran %d times, its client got %d", id, counts[id], a.status)
		}
	}
	d.record.report("%d attempts, statuses %v, run more than once %d, refused although they ran %d", len(answers), statuses, twice, refused)
	return twice > 0 || refused > 0, nil
}

// weightStore tells how long the loads of adapters take: 250 ms while no more than 8 are
// on their way to all engines, and longer in proportion beyond.
type weightStore struct {
	mu      sync.Mutex
	readyAt []time.Time
}

func (s *weightStore) load() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.readyAt = slices.DeleteFunc(s.readyAt, func(at time.Time) bool { return !now.Before(at) })
	took := 250 * time.Millisecond * time.Duration(max(len(s.readyAt)+1, 8)) / 8
	s.readyAt = append(s.readyAt, now.Add(took))
	return took
}
