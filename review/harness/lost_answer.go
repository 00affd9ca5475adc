package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// lostAnswer loses answers of requests that ran, by resets of the connection, and
// counts the runs of each attempt on a route of the kind unsafe. The requests have no
// body: one half are GET requests, the other POST requests with an Idempotency-Key.
func lostAnswer(d *deployment, trouble bool) (broken bool, err error) {
	const (
		attempts = 400
		pace     = 20 * time.Millisecond
		work     = 15 * time.Millisecond
		// lostShare of the answers of one of two workers are lost from lostFrom for
		// lostFor: below the dose of isbreen-tur (share 0.6, x 0.4, 4 s).
		lostShare = 0.2
		lostFrom  = 2 * time.Second
		lostFor   = 4 * time.Second
		clients   = 8
	)
	d.addRoute(route{name: "confirm", prefix: "/confirm/", kind: "unsafe", service: "booking", timeout: 1500 * time.Millisecond, objective: 100 * time.Millisecond, attempts: 1})
	d.addPlainService("booking")
	var began atomic.Pointer[time.Time]
	var workers []*worker
	for i := range 2 {
		w, err := newWorker(d, fmt.Sprintf("booking-%d", i+1), "booking", "zone-a")
		if err != nil {
			return false, err
		}
		losesAnswers := trouble && i == 0
		w.run = func(c *workerConn, r *http.Request) bool {
			time.Sleep(work)
			began := began.Load()
			if losesAnswers && began != nil && time.Since(*began) >= lostFrom && time.Since(*began) < lostFrom+lostFor && rand.Float64() < lostShare {
				d.record.printf("worker %s loses the answer to %s: connection reset", w.id, r.Header.Get("Attempt-Identifier"))
				c.reset()
				return false
			}
			return w.answerPlain(c, r)
		}
		w.serve()
		workers = append(workers, w)
		d.store.Put(w.entry("ready"))
	}
	d.publish(clientKey)
	if err := d.startVMs(2); err != nil {
		return false, err
	}
	start := time.Now()
	began.Store(&start)
	answers := make([]answer, attempts)
	var senders sync.WaitGroup
	places := make(chan struct{}, clients)
	for i := range attempts {
		time.Sleep(pace)
		places <- struct{}{}
		senders.Go(func() {
			r := request{vm: d.vms[i%len(d.vms)], method: http.MethodGet, path: fmt.Sprintf("/confirm/seat?n=%d", i), id: fmt.Sprintf("a%07d", i), key: clientKey, deadline: 1500 * time.Millisecond}
			if i%2 == 1 {
				r.method, r.header = http.MethodPost, map[string]string{"Idempotency-Key": fmt.Sprintf("order-%d", i)}
			}
			answers[i] = d.send(r)
			<-places
		})
	}
	senders.Wait()
	time.Sleep(time.Second)
	counts := runCounts(workers...)
	served, twice, refused := 0, map[string]int{}, 0
	for i, a := range answers {
		id := fmt.Sprintf("a%07d", i)
		if a.status == http.StatusOK {
			served++
		}
		if counts[id] > 1 {
			kind := []string{"GET", "POST with Idempotency-Key"}[i%2]
			twice[kind]++
			d.record.printf("TWICE: %s (%s) ran %d times, its client got %d", id, kind, counts[id], a.status)
		}
		if counts[id] > 0 && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) {
			refused++
			d.record.printf("REFUSED: %s ran %d times, its client got %d", id, counts[id], a.status)
		}
	}
	d.record.report("%d attempts, %d answered with 200, run more than once %v, refused although they ran %d", attempts, served, twice, refused)
	return len(twice) > 0 || refused > 0, nil
}
