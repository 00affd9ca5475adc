package faults

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/wagtailspoke/wagtailspoke/internal/netfault"
	"github.com/wagtailspoke/wagtailspoke/internal/standin/engine"
	"github.com/wagtailspoke/wagtailspoke/internal/standin/platform"
	"github.com/wagtailspoke/wagtailspoke/internal/standin/service"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
)

// run is one scenario in progress.
type run struct {
	ctx      context.Context
	cluster  *cluster
	observer *observer
	work     *workload
	rng      *rand.Rand
}

// Scenario is one fault, or two together.
type Scenario struct {
	Name string
	// Quick scenarios run in CI.
	Quick bool
	act   func(*run)
}

// Lengths of faults. Pauses and cuts are longer than the authority lease of
// 5 s, so that rights end while their holder is away.
const (
	settleTime  = 1 * time.Second
	pauseTime   = 7 * time.Second
	cutTime     = 7 * time.Second
	outageTime  = 6 * time.Second
	listLagTime = 4 * time.Second
	// recoveryTime lets VMs catch up, so that the run shows whether they do.
	recoveryTime = 9 * time.Second
	raceChanges  = 40
)

// Scenarios lists the faults of the matrix.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "none", Quick: true, act: func(r *run) { r.wait(cutTime) }},
		{Name: "VM killed and replaced", Quick: true, act: func(r *run) { r.killAndReplace() }},
		{Name: "VM paused, wakes late", act: func(r *run) { r.pauseVM() }},
		{Name: "connections silent", act: func(r *run) { r.silenceConnections() }},
		{Name: "data centre cut from others", act: func(r *run) { r.cut(false) }},
		{Name: "data centre cut from all", Quick: true, act: func(r *run) { r.cut(true) }},
		{Name: "platform down", act: func(r *run) { r.platformDown() }},
		{Name: "platform stale", act: func(r *run) { r.platformStale() }},
		{Name: "VM list lags", act: func(r *run) { r.listLag(); r.killAndReplace() }},
		{Name: "engine restarts cold", act: func(r *run) { r.restartEngine() }},
		{Name: "loads fail", act: func(r *run) { r.failLoads() }},
		{Name: "service dies after running", act: func(r *run) { r.serviceDies() }},
		{Name: "operators race", act: func(r *run) { r.operatorsRace() }},
		{Name: "VM drained and replaced", act: func(r *run) { r.drainAndReplace() }},
		{Name: "paused VM and cut", act: func(r *run) { r.together(r.pauseVM, func() { r.cut(false) }) }},
		{Name: "kill while platform stale", act: func(r *run) { r.together(r.platformStale, r.killAndReplace) }},
		{Name: "kill while platform down", act: func(r *run) { r.together(r.platformDown, r.killAndReplace) }},
		{Name: "engine restart and silence", act: func(r *run) { r.together(r.restartEngine, r.silenceConnections) }},
	}
}

func (r *run) wait(duration time.Duration) { sleep(r.ctx, duration) }

// anyVM draws a VM.
func (r *run) anyVM() *process {
	vms := r.cluster.vms()
	return vms[r.rng.IntN(len(vms))]
}

func (r *run) anyEngine() *engine.Engine {
	id := ids.EndpointID("engine-" + string(dataCentreID(r.rng.IntN(dataCentres))[len("dc"):]) + "-" + string('0'+rune(r.rng.IntN(enginesPerDataCentre))))
	return r.cluster.engines[id]
}

func (r *run) killAndReplace() {
	victim := r.anyVM()
	victim.kill()
	r.wait(settleTime)
	_ = r.cluster.replace(victim)
	r.wait(cutTime)
}

func (r *run) pauseVM() {
	victim := r.anyVM()
	r.cluster.isolate(victim)
	victim.pause(r.ctx, pauseTime)
	r.wait(settleTime)
}

// silenceConnections makes all open connections between VMs, and from VMs to
// endpoints and the platform, silent for good.
func (r *run) silenceConnections() {
	vms := r.cluster.vms()
	for i, p := range vms {
		host := netfault.Host(p.vm)
		r.cluster.network.Silence(host, platformHost)
		for _, other := range vms[:i] {
			r.cluster.network.Silence(host, netfault.Host(other.vm))
		}
		for id := range r.cluster.endpointCentres() {
			r.cluster.network.Silence(host, endpointHost(id))
		}
	}
	r.wait(cutTime)
}

func (r *run) cut(platformToo bool) {
	heal := r.cluster.cutDataCentre(dataCentreID(r.rng.IntN(dataCentres)), platformToo)
	r.wait(cutTime)
	heal()
	r.wait(settleTime)
}

func (r *run) platformDown() {
	r.outage(platform.Faults{Down: true})
}

// platformStale lets the platform answer with the records of its start, older
// than what the VMs hold.
func (r *run) platformStale() {
	r.outage(platform.Faults{StaleRevision: r.cluster.platform.Revision() / 2})
}

func (r *run) outage(faults platform.Faults) {
	from := time.Now()
	r.cluster.platform.SetFaults(faults)
	r.wait(outageTime)
	r.cluster.platform.SetFaults(platform.Faults{})
	r.observer.outage(from, time.Now())
}

func (r *run) listLag() {
	r.cluster.platform.SetFaults(platform.Faults{VMListLagMillis: int(listLagTime.Milliseconds())})
}

func (r *run) restartEngine() {
	for range dataCentres {
		r.anyEngine().Restart()
		r.wait(settleTime)
	}
	r.wait(settleTime)
}

func (r *run) failLoads() {
	for _, started := range r.cluster.engines {
		started.SetFaults(engine.Faults{FailLoads: engineSlots})
	}
	r.wait(cutTime)
}

// serviceDies lets all services run calls without answering them for a while.
func (r *run) serviceDies() {
	for _, faults := range []service.Faults{{DieAfterRun: true}, {SilentAfterRun: true}, {}} {
		for _, started := range r.cluster.services {
			started.SetFaults(faults)
		}
		r.wait(settleTime * 2)
	}
}

// operatorsRace lets two operators publish and withdraw the same records.
func (r *run) operatorsRace() {
	for i := range raceChanges {
		index := i % adapters
		r.observer.published(r.cluster.putAdapter(index, r.work.newestVersion()))
		r.observer.published(r.cluster.platform.Delete("adapter/" + string(adapterID(index))))
		r.observer.published(r.cluster.putAdapter(index, r.work.newestVersion()))
		r.wait(cutTime / raceChanges)
	}
}

func (r *run) drainAndReplace() {
	victim := r.anyVM()
	r.cluster.markLeaving(victim)
	r.observer.drained(victim.vm)
	victim.signal(syscall.SIGTERM)
	select {
	case <-victim.exited:
	case <-time.After(requestTimeout * 2):
	}
	_ = r.cluster.replace(victim)
	r.wait(settleTime)
}

// markLeaving shows a VM as leaving in the list.
func (c *cluster) markLeaving(p *process) {
	c.mu.Lock()
	for i := range c.listed {
		if c.listed[i].ID == p.vm {
			c.listed[i].State = platformapi.VMLeaving
		}
	}
	c.mu.Unlock()
	c.publishList()
}

// together runs two faults at once.
func (r *run) together(first, second func()) {
	done := make(chan struct{})
	other := *r
	// The second fault draws from its own generator, so that the draws of
	// both are the same in every run of a seed.
	other.rng = rand.New(rand.NewPCG(r.rng.Uint64(), 0))
	go func() {
		defer close(done)
		first()
	}()
	sleep(r.ctx, settleTime/2)
	second()
	<-done
}

// changeRecords publishes and withdraws records while a fault runs.
func (r *run) changeRecords() {
	r.observer.published(r.cluster.platform.Delete("key/" + spareKeyID))
	r.observer.withdrew(Withdrawal{At: time.Now(), Key: spareKey})
	for i := range adapters {
		r.observer.published(r.cluster.putAdapter(i, 2))
	}
	r.work.setNewest(2)
	leaving := ids.EndpointID("engine-0-1")
	r.setEndpointState(leaving, records.EndpointLeaving)
	r.observer.withdrew(Withdrawal{At: time.Now(), Endpoint: leaving})
}

func (r *run) setEndpointState(id ids.EndpointID, state records.EndpointState) {
	spec := r.cluster.endpointSpecs[id]
	spec.State = state
	r.observer.published(r.cluster.put(records.KindEndpoint, string(id), 1, spec))
}
