package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Parameters of the case. stableWindow and lease are stable-window-ms and lease-ms of the
// site.
const (
	stableWindow  = 3 * time.Second
	lease         = 3 * time.Second
	lostSeeds     = 3
	darkFor       = time.Second
	lostSeedsTime = 15 * time.Second
)

// turns returns how often a holder's order followed that of another one within the
// lease, which had followed one of the first holder, among the orders from a time on.
func turns(orders []acceptedOrder, from time.Time) int {
	count := 0
	byEngine := make(map[string][]acceptedOrder)
	for _, order := range orders {
		if order.at.Before(from) {
			continue
		}
		list := byEngine[order.engine]
		if len(list) > 0 && list[len(list)-1].holder == order.holder {
			list[len(list)-1] = order
			continue
		}
		list = append(list, order)
		byEngine[order.engine] = list
		if n := len(list); n >= 3 && list[n-3].holder == order.holder && order.at.Sub(list[n-3].at) <= lease {
			count++
		}
	}
	return count
}

// runLostSeeds checks ONE: holders that are in touch must not take turns at a worker
// within lease-ms. With trouble, all machines lose power at once, and the three that the
// settings name as seeds do not come back.
func runLostSeeds(d *deployment) (bool, error) {
	d.publishEngineConfig()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var engines []*engine
	for i, zone := range zones {
		e, err := d.startEngine(fmt.Sprintf("engine-%d", i), zone)
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	if err := d.startVMs(zones[0], zones[1], zones[2], zones[3], zones[3]); err != nil {
		return false, err
	}
	for _, v := range d.vms {
		d.record.printf("%s in %s is %s", v.name, v.zone, v.control)
	}
	survivors := d.vms[lostSeeds:]
	traffic := newTraffic(d)
	for _, v := range survivors {
		go traffic.run(ctx, v)
	}
	time.Sleep(6 * time.Second)
	began := time.Now()
	if d.trouble {
		d.record.printf("all machines lose power")
		for _, v := range d.vms {
			v.process.kill()
		}
		time.Sleep(darkFor)
		back := survivors
		if os.Getenv("RETURN") == "all" {
			back = d.vms
		}
		for _, v := range back {
			if err := d.startVM(v, false); err != nil {
				return false, err
			}
		}
		began = time.Now()
		d.record.printf("%d machines are back", len(back))
	}
	if seconds, err := strconv.Atoi(os.Getenv("REFRESH")); err == nil {
		time.Sleep(time.Duration(seconds) * time.Second)
		for _, v := range survivors {
			if err := d.writeSettings(v, false, survivors); err != nil {
				return false, err
			}
		}
		d.record.printf("the settings name the survivors as seeds")
	}
	time.Sleep(time.Until(began.Add(lostSeedsTime)))
	cancel()
	inTouch := began.Add(stableWindow)
	var orders []acceptedOrder
	for _, e := range engines {
		orders = append(orders, e.acceptedOrders()...)
	}
	counts := make(map[string]int)
	for _, order := range orders {
		d.record.printf("at %.3f s %s accepted an order of %s with generation number %d", order.at.Sub(d.record.began).Seconds(), order.engine, order.holder, order.fence)
		if !order.at.Before(inTouch) {
			counts[order.engine+" "+order.holder]++
		}
	}
	again := turns(orders, inTouch)
	d.record.printf("orders of machines in touch, by engine and holder: %v", counts)
	d.record.printf("requests: %v", traffic.summary())
	d.record.printf("%d times a holder had its turn again within the lease", again)
	if len(counts) == 0 {
		return false, fmt.Errorf("no order was accepted")
	}
	return again == 0, nil
}

// traffic sends requests for adapters and counts the answers.
type traffic struct {
	d        *deployment
	mu       sync.Mutex
	statuses map[string]int
	next     int
}

func newTraffic(d *deployment) *traffic { return &traffic{d: d, statuses: make(map[string]int)} }

const (
	requestsPerSecond = 10
	// usedAdapters are more than the engines hold together.
	usedAdapters = 400
)

func (t *traffic) run(ctx context.Context, v *vm) {
	for ctx.Err() == nil {
		t.mu.Lock()
		t.next++
		number := t.next
		t.mu.Unlock()
		go t.send(ctx, v, number)
		time.Sleep(time.Second / requestsPerSecond)
	}
}

func (t *traffic) send(ctx context.Context, v *vm, number int) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	status := "no answer"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.front+"/brief/x", strings.NewReader("tour"))
	if err == nil {
		request.Host, request.Close = caseHost, true
		request.Header.Set("Attempt-Identifier", fmt.Sprintf("brief-%d", number))
		request.Header.Set("Deadline-Milliseconds", "5000")
		request.Header.Set("Authorization", "Token "+caseKey)
		request.Header.Set("Model", fmt.Sprintf("%s/a%d", engineModel, number%usedAdapters+1))
		request.Header.Set("Token-Counts", "500,40")
		request.Header.Set("Prompt-Prefix", fmt.Sprintf("aa01:350,%x:150", number))
		if response, err := (&http.Transport{DisableCompression: true}).RoundTrip(request); err == nil {
			status = fmt.Sprint(response.StatusCode)
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				status += " cut"
			}
			_ = response.Body.Close()
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.statuses[v.name+" "+status]++
}

func (t *traffic) summary() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	copied := make(map[string]int)
	for status, count := range t.statuses {
		copied[status] = count
	}
	return copied
}
