// Command config-storm publishes large configurations in quick succession, the last of which
// moves two routes to another service, and then asks which of them is in force.
package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/review/harness3"
)

const (
	// configuration is configuration-ms of the settings.
	configuration = 2 * time.Second
	// storm and gap are for_s and gap_s of config_storm on the sheets.
	storm = 1500 * time.Millisecond
	gap   = 60 * time.Millisecond
	// furtherRoutes makes a configuration almost as long as value-bytes allows.
	furtherRoutes = 3750
	// asked is how long requests go on after the last configuration.
	asked = 30 * time.Second

	oldService = "booking-old"
	newService = "booking-new"
	key        = "key-of-tenant-1"
)

func main() { harness3.Main(run) }

// version returns a configuration whose routes "confirm" and "status" lead to a service.
func version(number int, service string) map[string]any {
	routes := []harness3.Route{
		{Name: "confirm", Prefix: "/confirm/", Kind: "unsafe", Service: service, Attempts: 1, TimeoutMs: 1500, ObjectiveMs: 100},
		{Name: "status", Prefix: "/status/", Kind: "safe", Service: service, Attempts: 2, TimeoutMs: 1500, ObjectiveMs: 100, Anonymous: true},
	}
	for i := range furtherRoutes {
		routes = append(routes, harness3.Route{Name: fmt.Sprintf("further-%d", i), Prefix: fmt.Sprintf("/further-%d/", i), Kind: "safe", Service: newService, Attempts: 2, TimeoutMs: 1500, ObjectiveMs: 100})
	}
	config := harness3.Configuration(number, routes, []harness3.Tenant{{Name: "tenant-1", Keys: []string{key}, Rate: 100000, Burst: 100000}})
	for _, name := range []string{oldService, newService} {
		config["services"] = append(config["services"].([]any), map[string]any{"name": name, "connection-limit": 96, "health-path": "/health"})
	}
	return config
}

func run(d *harness3.Deployment, r *harness3.Record, trouble bool) (int, error) {
	byService := make(map[string][]*harness3.Worker)
	for i, zone := range []string{"zone-a", "zone-b"} {
		for _, service := range []string{oldService, newService} {
			worker := harness3.NewPlain(fmt.Sprintf("%s-%d", service, i), zone)
			worker.Service, worker.WorkTime = service, 15*time.Millisecond
			byService[service] = append(byService[service], worker)
			if err := d.AddWorker(worker); err != nil {
				return 0, err
			}
		}
	}
	d.Store.Put("op/config", version(1, oldService))
	if err := d.StartVMs("zone-a", "zone-b", "zone-a"); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)

	length, err := json.Marshal(version(100, newService))
	if err != nil {
		return 0, err
	}
	r.Say("a configuration has %d of %d bytes", len(length), harness3.ValueBytes)
	// The configurations of the storm are built before it.
	var versions []map[string]any
	if trouble {
		for i := range int(storm/gap) - 1 {
			versions = append(versions, version(2+i, oldService))
		}
	}
	versions = append(versions, version(100, newService))
	var acked time.Time
	for i, config := range versions {
		if i > 0 {
			time.Sleep(time.Until(acked.Add(gap)))
		}
		acked = d.Store.Put("op/config", config)
		r.Write("version %v acknowledged", config["version"])
	}
	r.Say("%d versions were published, the last one moves the routes to %s", len(versions), newService)

	var calls sync.WaitGroup
	var mu sync.Mutex
	late := make(map[string]time.Duration)
	statuses := make(map[int]int)
	for number := 0; time.Since(acked) < asked; number++ {
		calls.Go(func() {
			vm := d.VMs[number%len(d.VMs)]
			call := harness3.Call{Method: "POST", Host: harness3.Host, Path: "/confirm/x", Key: key, Limit: 1500 * time.Millisecond}
			if number/len(d.VMs)%2 == 1 {
				call.Method, call.Path, call.Key = "GET", "/status/x", ""
			}
			answer := harness3.Send(vm, call)
			age := answer.SentAt.Sub(acked)
			r.Write("request %s for %s at %s, sent %v after the ack: status %d after %v: %s %s", answer.ID, call.Path, vm.Name, age.Round(time.Millisecond), answer.Status, answer.Took.Round(time.Millisecond), answer.Body, answer.Error)
			if age <= configuration {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			late[answer.ID] = age
			statuses[answer.Status]++
		})
		time.Sleep(50 * time.Millisecond)
	}
	calls.Wait()
	ranOld, last := 0, time.Duration(0)
	for _, worker := range byService[oldService] {
		for _, run := range worker.Runs() {
			if age, isLate := late[run.ID]; isLate {
				r.Write("request %s, sent %v after the ack, ran at %s for %s", run.ID, age.Round(time.Millisecond), worker.ID, run.Path)
				ranOld++
				last = max(last, age)
			}
		}
	}
	r.Say("of %d requests sent later than %v after the ack, %d ran at %s, the last one sent %v after the ack; statuses %v", len(late), configuration, ranOld, oldService, last.Round(time.Millisecond), statuses)
	if ranOld > 0 {
		return harness3.Broken, nil
	}
	return harness3.Held, nil
}
