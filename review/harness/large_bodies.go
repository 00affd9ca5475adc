package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// largeBodies sends requests whose bodies are as long as the configuration allows, and
// more of this class for a while, beside a steady class of small requests. It watches the memory of each process and kills one that
// exceeds the machine's, as the platform does.
func largeBodies(d *deployment, trouble bool) (broken bool, err error) {
	const (
		bodyBytes = 4 << 20
		work      = 4 * time.Second
		timeout   = 12 * time.Second
		// perSecond is the usual number of requests a second at each VM. The burst
		// multiplies it: the largest dose of isbreen-tur for a class is x = 2.4 for 4.5 s.
		perSecond   = 8
		burstFactor = 2.4
		burstFor    = 4500 * time.Millisecond
		burstFrom   = 12 * time.Second
		length      = 25 * time.Second
		checkPace   = 20 * time.Millisecond
		checkWork   = 15 * time.Millisecond
	)
	d.addRoute(route{name: "upload", prefix: "/upload/", kind: "unsafe", service: "booking", timeout: timeout, objective: 6 * time.Second, attempts: 1})
	d.addRoute(route{name: "check", prefix: "/check/", kind: "safe", service: "booking", timeout: 1500 * time.Millisecond, objective: 100 * time.Millisecond, attempts: 2})
	d.addPlainService("booking")
	for i := range 4 {
		w, err := newWorker(d, fmt.Sprintf("booking-%d", i+1), "booking", "zone-a")
		if err != nil {
			return false, err
		}
		w.run = func(c *workerConn, r *http.Request) bool {
			if strings.HasPrefix(r.URL.Path, "/check/") {
				time.Sleep(checkWork)
			} else {
				time.Sleep(work)
			}
			return w.answerPlain(c, r)
		}
		w.serve()
		d.store.Put(w.entry("ready"))
	}
	d.publish(clientKey)
	if err := d.startVMs(2); err != nil {
		return false, err
	}
	ended := make(chan struct{})
	var watchers, senders sync.WaitGroup
	peaks, kills := make([]atomic.Int64, len(d.vms)), make([]atomic.Int64, len(d.vms))
	for i, v := range d.vms {
		watchers.Go(func() { watchMemory(d, v, ended, &peaks[i], &kills[i]) })
	}
	watchers.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-ended:
				return
			case <-time.After(checkPace):
			}
			v, id := d.vms[i%len(d.vms)], fmt.Sprintf("c%07d", i)
			watchers.Go(func() {
				d.send(request{vm: v, method: http.MethodGet, path: "/check/" + id, id: id, key: clientKey, deadline: 1500 * time.Millisecond})
			})
		}
	})
	body := bytes.Repeat([]byte("0123456789abcdef"), bodyBytes/16)
	var statuses sync.Map
	began, sent := time.Now(), 0
	for time.Since(began) < length {
		rate := float64(perSecond * len(d.vms))
		if at := time.Since(began); trouble && at >= burstFrom && at < burstFrom+burstFor {
			rate *= burstFactor
		}
		v, id := d.vms[sent%len(d.vms)], fmt.Sprintf("u%07d", sent)
		sent++
		senders.Go(func() {
			a := d.send(request{vm: v, method: http.MethodPost, path: "/upload/" + id, id: id, key: clientKey, deadline: timeout, body: bytes.NewReader(body)})
			count, _ := statuses.LoadOrStore(a.status, new(atomic.Int64))
			count.(*atomic.Int64).Add(1)
		})
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	senders.Wait()
	close(ended)
	watchers.Wait()
	counts := make(map[int]int64)
	statuses.Range(func(status, count any) bool {
		counts[status.(int)] = count.(*atomic.Int64).Load()
		return true
	})
	killed := int64(0)
	for i, v := range d.vms {
		killed += kills[i].Load()
		d.record.report("%s: peak memory %d MB of %d MB, killed %d times", v.name, peaks[i].Load(), memoryMB, kills[i].Load())
	}
	d.record.report("%d requests, statuses %v (0: the connection ended without an answer)", sent, counts)
	return killed > 0, nil
}

// watchMemory records the highest memory of a machine's process and kills it when it
// exceeds the machine's.
func watchMemory(d *deployment, v *vm, ended chan struct{}, peak, kills *atomic.Int64) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(20 * time.Millisecond):
		}
		v.processMu.Lock()
		used := residentMB(v.process.Process.Pid)
		v.processMu.Unlock()
		peak.Store(max(peak.Load(), used))
		if used <= memoryMB {
			continue
		}
		kills.Add(1)
		d.record.printf("%s uses %d MB of %d MB: killed", v.name, used, memoryMB)
		v.signal(syscall.SIGKILL)
		<-v.exited
		time.Sleep(time.Second)
		if err := v.start(); err != nil {
			d.record.printf("%s could not be started again: %v", v.name, err)
			return
		}
	}
}

// residentMB returns the resident memory of a process; 0 if it has ended.
func residentMB(pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
			return kb >> 10
		}
	}
	return 0
}
