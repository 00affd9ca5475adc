// Command open-route sends requests with a key to a route that needs none, while the key is
// withdrawn and the store turns one machine away.
package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/review/harness3"
)

const (
	// revoke is revoke-ms of the settings, and cut the length of the disruption.
	revoke = 5 * time.Second
	cut    = 9 * time.Second
)

func main() { harness3.Main(run) }

func run(d *harness3.Deployment, r *harness3.Record, trouble bool) (int, error) {
	for i := range 2 {
		worker := harness3.NewPlain(fmt.Sprintf("plain-%d", i), "zone-a")
		worker.WorkTime = 15 * time.Millisecond
		if err := d.AddWorker(worker); err != nil {
			return 0, err
		}
	}
	publish := func(version int, keys ...string) time.Time {
		return d.Store.Put("op/config", harness3.Configuration(version, []harness3.Route{
			{Name: "open", Prefix: "/open/", Kind: "safe", Service: harness3.Plain, Attempts: 2, TimeoutMs: 1500, ObjectiveMs: 100, Anonymous: true},
			{Name: "closed", Prefix: "/closed/", Kind: "safe", Service: harness3.Plain, Attempts: 2, TimeoutMs: 1500, ObjectiveMs: 100},
		}, []harness3.Tenant{{Name: "tenant-1", Keys: keys, Rate: 100000, Burst: 100000}, {Name: "tenant-2", Keys: []string{"key-of-2"}, Rate: 100000, Burst: 100000}}))
	}
	publish(1, "key-a", "key-b")
	if err := d.StartVMs("zone-a"); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	vm := d.VMs[0]
	if trouble {
		r.Say("the store turns %s away", vm.Name)
		d.Store.Reject(vm.IP, true)
		time.AfterFunc(cut, func() { d.Store.Reject(vm.IP, false); r.Say("the store serves %s again", vm.Name) })
	}
	time.Sleep(100 * time.Millisecond)
	acked := publish(2, "key-b")
	r.Say("key-a withdrawn")
	var calls sync.WaitGroup
	var mu sync.Mutex
	late := make(map[string]time.Duration)
	for time.Since(acked) < cut+3*time.Second {
		for _, path := range []string{"/open/x", "/closed/x"} {
			calls.Go(func() {
				answer := harness3.Send(vm, harness3.Call{Method: "GET", Host: harness3.Host, Path: path, Key: "key-a", Limit: 1500 * time.Millisecond})
				age := answer.SentAt.Sub(acked)
				r.Write("request %s to %s sent %v after the ack: status %d: %s", answer.ID, path, age.Round(time.Millisecond), answer.Status, answer.Body)
				mu.Lock()
				defer mu.Unlock()
				if age > revoke {
					late[answer.ID] = age
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
	}
	calls.Wait()
	broken := 0
	for _, worker := range d.Workers {
		for _, run := range worker.Runs() {
			if age, isLate := late[run.ID]; isLate {
				r.Write("request %s, sent %v after the ack, ran at %s with Tenant %q", run.ID, age.Round(time.Millisecond), worker.ID, run.Tenant)
				if run.Tenant != "" {
					broken++
				}
			}
		}
	}
	r.Say("%d requests with the withdrawn key, sent later than %v after the ack, ran as the tenant's", broken, revoke)
	if broken > 0 {
		return harness3.Broken, nil
	}
	return harness3.Held, nil
}
