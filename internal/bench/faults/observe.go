package faults

import (
	"context"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/internal/standin/engine"
	"github.com/wagtailspoke/wagtailspoke/internal/standin/service"
	"github.com/wagtailspoke/wagtailspoke/internal/standin/weights"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/admin"
)

// Sample is the state of one VM at one time.
type Sample struct {
	At       time.Time
	VM       ids.VMID
	Boot     ids.BootID
	Ready    bool
	Revision ids.Revision
}

// Publication is one change of the configuration.
type Publication struct {
	At       time.Time
	Revision ids.Revision
}

// Withdrawal is the end of a key or the leaving of an endpoint.
type Withdrawal struct {
	At       time.Time
	Key      string
	Endpoint ids.EndpointID
	// Until is when the endpoint came back; zero for never.
	Until time.Time
}

// Drain is a graceful shutdown of one VM.
type Drain struct {
	VM ids.VMID
	At time.Time
}

// Observations are what one run left behind.
type Observations struct {
	Events       []Event
	EngineRuns   map[ids.EndpointID][]engine.Run
	ServiceRuns  map[ids.EndpointID][]service.Run
	Violations   map[ids.EndpointID][]engine.Violation
	Store        weights.Counters
	Samples      []Sample
	Publications []Publication
	Withdrawals  []Withdrawal
	Drains       []Drain
	// Pages holds logs, metrics and statuses of each VM.
	Pages map[ids.VMID]string
	// Isolated lists VMs that were cut off from the platform and from fresher
	// peers at some time.
	Isolated map[ids.VMID]bool
	// Fencing tells which engines refuse old fencing tokens.
	Fencing map[ids.EndpointID]bool
	// Outages lists when the platform gave no new records to any VM.
	Outages []Outage
}

// Outage is a time in which the platform gave no new records.
type Outage struct {
	From, Until time.Time
}

// visibleFrom returns when a change could first be read by any VM.
func (o *Observations) visibleFrom(at time.Time) time.Time {
	for _, outage := range o.Outages {
		if !at.Before(outage.From) && at.Before(outage.Until) {
			return outage.Until
		}
	}
	return at
}

// observer samples the VMs and notes what the run does.
type observer struct {
	cluster *cluster
	mu      sync.Mutex
	result  Observations
}

// samplePeriod is short against the 12 s in which records come into force.
const samplePeriod = 250 * time.Millisecond

// sample reads the statuses until the context ends.
func (o *observer) sample(ctx context.Context) {
	for sleep(ctx, samplePeriod) {
		var readers sync.WaitGroup
		for _, p := range o.cluster.vms() {
			readers.Go(func() {
				if status, ok := p.status(ctx, o.cluster.client); ok {
					o.add(status)
				}
			})
		}
		readers.Wait()
	}
}

func (o *observer) add(status admin.Status) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.result.Samples = append(o.result.Samples, Sample{
		At: time.Now(), VM: status.VM, Boot: status.Boot, Ready: status.Ready, Revision: status.Catalog.Revision,
	})
}

func (o *observer) published(revision ids.Revision) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.result.Publications = append(o.result.Publications, Publication{At: time.Now(), Revision: revision})
}

func (o *observer) withdrew(withdrawal Withdrawal) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.result.Withdrawals = append(o.result.Withdrawals, withdrawal)
}

func (o *observer) drained(vm ids.VMID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.result.Drains = append(o.result.Drains, Drain{VM: vm, At: time.Now()})
}

func (o *observer) outage(from, until time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.result.Outages = append(o.result.Outages, Outage{From: from, Until: until})
}

// finish gathers what the stand-ins recorded and what the VMs show.
func (o *observer) finish(ctx context.Context, events []Event) Observations {
	c := o.cluster
	o.mu.Lock()
	defer o.mu.Unlock()
	r := &o.result
	r.Events = events
	r.EngineRuns = make(map[ids.EndpointID][]engine.Run)
	r.Violations = make(map[ids.EndpointID][]engine.Violation)
	r.ServiceRuns = make(map[ids.EndpointID][]service.Run)
	r.Fencing = make(map[ids.EndpointID]bool)
	for id, started := range c.engines {
		r.EngineRuns[id] = started.Runs()
		r.Violations[id] = started.Violations()
		r.Fencing[id] = id[len(id)-1] == '0'
	}
	for id, started := range c.services {
		r.ServiceRuns[id] = started.Runs()
	}
	r.Store = c.weights.Counters()
	r.Pages = make(map[ids.VMID]string)
	for _, p := range c.vms() {
		status, _ := p.get(ctx, c.client, admin.PathStatus)
		metrics, _ := p.get(ctx, c.client, admin.PathMetrics)
		r.Pages[p.vm] = p.logs.text() + string(status) + string(metrics)
	}
	for _, p := range c.gone {
		r.Pages[p.vm] = p.logs.text()
	}
	r.Isolated = make(map[ids.VMID]bool)
	for vm := range c.isolated {
		r.Isolated[vm] = true
	}
	return *r
}
