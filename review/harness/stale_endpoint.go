package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// staleEndpoint cuts two workers off from the store, so that their entries lapse and come
// back, while two machines freeze one after the other. Later both workers leave: their
// entries are removed, and they serve for some seconds more before they exit. The case
// looks for requests that reach a worker later than the drain period after its entry was
// removed, and for those that are lost with it.
func staleEndpoint(d *deployment, trouble bool) (broken bool, err error) {
	const (
		vmCount     = 10
		workerCount = 12
		// rounds is how often two workers lapse and leave.
		rounds    = 3
		perRound  = 2
		work      = 60 * time.Millisecond
		perSecond = 180
		freeze    = 3500 * time.Millisecond
		settle    = 6 * time.Second
		// serveOn is how long a worker serves after its entry was removed: the drain
		// period and a little longer.
		serveOn   = drainPeriod + 2500*time.Millisecond
		usualTime = 5 * time.Second
		// storeDelay is the time that the store takes for an answer.
		storeDelay = 4 * time.Millisecond
	)
	d.zones = []string{"zone-a", "zone-b", "zone-c"}
	d.addRoute(route{name: "confirm", prefix: "/confirm/", kind: "unsafe", service: "booking", timeout: 1500 * time.Millisecond, objective: 150 * time.Millisecond, attempts: 1})
	d.addPlainService("booking")
	var workers []*worker
	for i := range workerCount {
		w, err := newWorker(d, fmt.Sprintf("booking-%d", i+1), "booking", d.zones[i%len(d.zones)])
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
	d.publish(clientKey)
	if d.storeAddress, err = delayAnswers(d.store.Address(), storeDelay); err != nil {
		return false, err
	}
	if err := d.startVMs(vmCount); err != nil {
		return false, err
	}
	var mu sync.Mutex
	sentAt, answers := make(map[string]time.Time), make(map[string]answer)
	stop := make(chan struct{})
	var senders sync.WaitGroup
	senders.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Second / perSecond):
			}
			id := fmt.Sprintf("s%07d", i)
			mu.Lock()
			sentAt[id] = time.Now()
			mu.Unlock()
			senders.Go(func() {
				a := d.send(request{vm: d.vms[i%len(d.vms)], method: http.MethodPost, path: "/confirm/" + id, id: id, key: clientKey, deadline: 1500 * time.Millisecond, body: strings.NewReader("seat")})
				mu.Lock()
				answers[id] = a
				mu.Unlock()
			})
		}
	})
	time.Sleep(usualTime)
	removedAt := make(map[string]time.Time)
	reader, behind := d.vms[0], d.vms[1]
	for round := range rounds {
		chosen := workers[round*perRound : (round+1)*perRound]
		if trouble {
			d.freeze(behind, freeze)
			time.Sleep(500 * time.Millisecond)
			for _, w := range chosen {
				key, _ := w.entry("ready")
				d.store.Delete(key)
				d.record.printf("the entry of %s lapses", w.id)
			}
			time.Sleep(700 * time.Millisecond)
			d.freeze(reader, freeze)
			time.Sleep(700 * time.Millisecond)
			for _, w := range chosen {
				d.store.Put(w.entry("ready"))
				d.record.printf("the entry of %s is back", w.id)
			}
			time.Sleep(freeze)
		}
		time.Sleep(settle)
		var exits sync.WaitGroup
		for _, w := range chosen {
			key, _ := w.entry("ready")
			d.store.Delete(key)
			removedAt[w.id] = time.Now()
			d.record.printf("worker %s leaves: its entry is removed", w.id)
			exits.Go(func() {
				time.Sleep(serveOn)
				w.exit()
				d.record.printf("worker %s exits", w.id)
			})
		}
		exits.Wait()
		time.Sleep(time.Second)
	}
	close(stop)
	senders.Wait()
	late, lost := 0, 0
	for _, w := range workers[:rounds*perRound] {
		w.mu.Lock()
		for _, r := range w.runs {
			bound := removedAt[w.id].Add(drainPeriod)
			if !r.at.After(bound) || !sentAt[r.id].After(bound) {
				continue
			}
			late++
			a := answers[r.id]
			d.record.printf("DRAIN: %s reached %s %v after its entry was removed (bound %v); its client got %d", r.id, w.id, r.at.Sub(removedAt[w.id]).Round(time.Millisecond), drainPeriod, a.status)
			if a.status != http.StatusOK {
				lost++
			}
		}
		w.mu.Unlock()
	}
	statuses := make(map[int]int)
	for _, a := range answers {
		statuses[a.status]++
	}
	d.record.report("%d requests, statuses %v; %d reached a worker too late, %d of these ran and were lost with it", len(answers), statuses, late, lost)
	return late > 0, nil
}

// freeze stops a machine's process and lets it go on later.
func (d *deployment) freeze(v *vm, length time.Duration) {
	d.record.printf("%s freezes", v.name)
	v.signal(syscall.SIGSTOP)
	time.AfterFunc(length, func() {
		v.signal(syscall.SIGCONT)
		d.record.printf("%s wakes", v.name)
	})
}

// delayAnswers forwards connections to a server whose answers take a while, and returns
// the address at which it listens.
func delayAnswers(server string, delay time.Duration) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go forward(client, server, delay)
		}
	}()
	return listener.Addr().String(), nil
}

func forward(client net.Conn, server string, delay time.Duration) {
	defer func() { _ = client.Close() }()
	upstream, err := net.Dial("tcp", server)
	if err != nil {
		return
	}
	defer func() { _ = upstream.Close() }()
	go func() {
		_, _ = io.Copy(upstream, client)
		_ = upstream.Close()
	}()
	buffer := make([]byte, 64<<10)
	for {
		count, err := upstream.Read(buffer)
		if count > 0 {
			time.Sleep(delay)
			if _, err := client.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
