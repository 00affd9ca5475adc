package config

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/wagtailspoke/wagtailspoke/internal/bench/config/fleet"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/membership"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

const (
	// forceLimit is within how many seconds a record is in force everywhere.
	forceLimit = 12
	// trafficLimit is the budget of a node for all control traffic in bytes/s.
	trafficLimit = 6000
	// coreLimit is the budget of a node for all control work in % of a core.
	coreLimit = 4.6
	// platformLimit is how many calls a second the platform allows.
	platformLimit = 2000
	// changesPerSecond is 25,000 changes a day.
	changesPerSecond = 25_000.0 / 86_400
	// settle is the simulated time for a fleet to become ready.
	settle = 8 * time.Second
)

// isbreen is the fleet that runs today: 8 VMs in four data centres.
func isbreen() []fleet.Site {
	var sites []fleet.Site
	for i := range 4 {
		sites = append(sites, fleet.Site{ID: siteID(i), Region: "region-0", VMs: 2})
	}
	return sites
}

// target is the fleet of the target size: vms spread over data centres, which
// are spread over regions.
func target(vms, dataCentres, regions int) []fleet.Site {
	sites := make([]fleet.Site, dataCentres)
	for i := range sites {
		sites[i] = fleet.Site{ID: siteID(i), Region: fmt.Sprintf("region-%d", i%regions)}
	}
	for i := range vms {
		sites[i%dataCentres].VMs++
	}
	return sites
}

func siteID(i int) ids.DataCentreID { return ids.DataCentreID(fmt.Sprintf("dc-%02d", i)) }

func startFleet(options Options, sites []fleet.Site, countBytes bool) *fleet.Fleet {
	f := fleet.New(fleet.Config{Seed: options.Seed, Sites: sites, CountBytes: countBytes})
	f.StartAll(time.Second)
	f.Run(settle)
	return f
}

// publish publishes a record of a usual size under a rotating key.
func publish(f *fleet.Fleet, number int) ids.Revision {
	id := fmt.Sprintf("adapter-%d", number%200)
	return f.Platform.Publish("adapter/"+id, adapterValue(id, number+1))
}

func adapterValue(id string, version int) string {
	return fmt.Sprintf(`{"kind":"adapter","schema":1,"id":%q,"spec":{"baseModel":"base-%d","versions":[`+
		`{"version":%d,"state":"withdrawn","source":"weights/%s/%d"},{"version":%d,"state":"active","source":"weights/%s/%d"}],"defaultVersion":%d}}`,
		id, version%4, version, id, version, version+1, id, version+1, version+1)
}

// timesToForce publishes records and returns for each and each VM the seconds
// until the VM has it.
func timesToForce(f *fleet.Fleet, changes int) []float64 {
	published := make(map[ids.Revision]time.Time)
	last := make(map[*fleet.Node]ids.Revision)
	for _, node := range f.All() {
		last[node] = node.Catalog.CompleteThrough()
	}
	var seconds []float64
	f.Applied = func(node *fleet.Node) {
		through := node.Catalog.CompleteThrough()
		for revision := last[node] + 1; revision <= through; revision++ {
			if at, known := published[revision]; known {
				seconds = append(seconds, f.Now().Sub(at).Seconds())
			}
		}
		last[node] = through
	}
	for number := range changes {
		f.Run(500*time.Millisecond + f.Uniform(time.Second))
		revision := publish(f, number)
		published[revision] = f.Now()
	}
	f.Run(forceLimit * time.Second)
	missing := changes*len(f.All()) - len(seconds)
	for range missing {
		seconds = append(seconds, math.Inf(1))
	}
	slices.Sort(seconds)
	return seconds
}

func quantile(sorted []float64, part float64) float64 {
	return sorted[min(len(sorted)-1, int(part*float64(len(sorted))))]
}

func measureSpread(report *Report, options Options) {
	var points [][2]float64
	runs := []struct {
		name  string
		sites []fleet.Site
		fault func(*fleet.Fleet)
	}{
		{"today", isbreen(), nil},
		{"target", options.scale().target, nil},
		{"today, one data centre cut off the platform", isbreen(), cutOffPlatform},
		{"target, one region cut off the platform", options.scale().target, cutOffRegion},
	}
	for _, run := range runs {
		f := startFleet(options, run.sites, false)
		if run.fault != nil {
			run.fault(f)
		}
		seconds := timesToForce(f, options.scale().changes)
		prefix := fmt.Sprintf("time to force, %s (%d VMs)", run.name, len(f.All()))
		report.add(prefix+", p50", quantile(seconds, 0.5), "s", 0)
		report.add(prefix+", p99", quantile(seconds, 0.99), "s", 0)
		report.add(prefix+", max", seconds[len(seconds)-1], "s", forceLimit)
		if run.fault == nil {
			points = append(points, [2]float64{float64(len(f.All())), seconds[len(seconds)-1]})
		}
	}
	report.fit("config.time_to_force_max", "s/VM", points)
}

func cutOffPlatform(f *fleet.Fleet) {
	f.CutPlatform = func(id ids.DataCentreID) bool { return id == siteID(0) }
}

func cutOffRegion(f *fleet.Fleet) {
	regions := make(map[ids.DataCentreID]string)
	for _, site := range f.Config.Sites {
		regions[site.ID] = site.Region
	}
	f.CutPlatform = func(id ids.DataCentreID) bool { return regions[id] == "region-0" }
}

// traffic is the control traffic of a fleet over a span.
type traffic struct {
	meanBytes, maxBytes float64
	meanCalls           float64
	peakCalls           int
	// core is the part of a core that a node's decisions and the encoding of
	// its messages take; the simulator's own work is part of it.
	core float64
}

// measureFleetTraffic runs a fleet at a rate of changes.
func measureFleetTraffic(f *fleet.Fleet, span time.Duration, changes float64) traffic {
	nodes := f.All()
	before := make(map[*fleet.Node]int)
	for _, node := range nodes {
		before[node] = node.BytesSent + node.BytesReceived
	}
	from := f.Elapsed()
	started := time.Now()
	number := 0
	for end := f.Now().Add(span); f.Now().Before(end); {
		step := end.Sub(f.Now())
		if changes > 0 {
			step = min(step, time.Duration(f.Rand.ExpFloat64()/changes*float64(time.Second)))
		}
		f.Run(step)
		if changes > 0 && f.Now().Before(end) {
			publish(f, number)
			number++
		}
	}
	result := traffic{core: time.Since(started).Seconds() / span.Seconds() / float64(len(nodes))}
	for _, node := range nodes {
		perSecond := float64(node.BytesSent+node.BytesReceived-before[node]) / span.Seconds()
		result.meanBytes += perSecond / float64(len(nodes))
		result.maxBytes = max(result.maxBytes, perSecond)
	}
	result.meanCalls, result.peakCalls = f.Platform.LoadBetween(from, f.Elapsed())
	return result
}

func measureTraffic(report *Report, options Options) {
	span := options.scale().span
	f := startFleet(options, options.scale().target, true)
	idle := measureFleetTraffic(f, span, 0)
	busy := measureFleetTraffic(f, span, changesPerSecond)
	report.add("platform calls, idle, mean", idle.meanCalls, "calls/s", platformLimit)
	report.add("platform calls, idle, busiest second", float64(idle.peakCalls), "calls", platformLimit)
	report.add("platform calls, 25,000 changes a day, mean", busy.meanCalls, "calls/s", platformLimit)
	report.add("platform calls, 25,000 changes a day, busiest second", float64(busy.peakCalls), "calls", platformLimit)
	report.add("relay traffic of a node, idle, mean", idle.meanBytes, "B/s", trafficLimit)
	report.add("relay traffic of a node, idle, busiest node", idle.maxBytes, "B/s", trafficLimit)
	report.add("relay traffic of a node, 25,000 changes a day, mean", busy.meanBytes, "B/s", trafficLimit)
	report.add("relay traffic of a node, 25,000 changes a day, busiest node", busy.maxBytes, "B/s", trafficLimit)
	report.add("relay, part of a core of a node, 25,000 changes a day", busy.core*100, "%", coreLimit)
	report.add("VM list unconfirmed for 5 s, of samples", unconfirmed(f, span)*100, "%", 0)
	from := f.Elapsed()
	f.Platform.Down = true
	f.Run(span)
	_, peak := f.Platform.LoadBetween(from, f.Elapsed())
	report.add("platform calls while the platform is down, busiest second", float64(peak), "calls", platformLimit)
	measureTrafficSlopes(report, options, span/2)
}

// unconfirmed returns the part of samples, one for each VM and second, in
// which a VM's list was not confirmed within ConfirmationTTL.
func unconfirmed(f *fleet.Fleet, span time.Duration) float64 {
	samples, without := 0, 0
	for range int(span / time.Second) {
		f.Run(time.Second)
		for _, node := range f.All() {
			samples++
			if !node.Members.ConfirmedWithin(f.Now(), membership.ConfirmationTTL) {
				without++
			}
		}
	}
	return float64(without) / float64(samples)
}

// measureTrafficSlopes varies the size of a data centre and the changes.
func measureTrafficSlopes(report *Report, options Options, span time.Duration) {
	var bySize, byChanges, calls, cores [][2]float64
	for _, size := range options.scale().centreSizes {
		f := startFleet(options, target(6*size, 6, 2), true)
		idle := measureFleetTraffic(f, span, 0)
		bySize = append(bySize, [2]float64{float64(size), idle.maxBytes})
		cores = append(cores, [2]float64{float64(size), idle.core})
	}
	for _, changes := range options.scale().changeRates {
		f := startFleet(options, target(6*14, 6, 2), true)
		busy := measureFleetTraffic(f, span, changes)
		byChanges = append(byChanges, [2]float64{changes, busy.maxBytes})
	}
	for _, dataCentres := range options.scale().dataCentres {
		f := startFleet(options, target(4*dataCentres, dataCentres, 4), false)
		idle := measureFleetTraffic(f, span, 0)
		calls = append(calls, [2]float64{float64(dataCentres), idle.meanCalls})
	}
	report.fit("config.relay_bytes_per_vm_of_data_centre", "B/s/VM", bySize)
	report.fit("config.relay_core_per_vm_of_data_centre", "core/VM", cores)
	report.fit("config.relay_bytes_per_change_rate", "B/s/(change/s)", byChanges)
	report.fit("config.platform_calls_per_data_centre", "calls/s/data centre", calls)
}

// measureRestart restarts all VMs of a fleet at once.
func measureRestart(report *Report, options Options) {
	f := startFleet(options, options.scale().target, false)
	for _, node := range f.All() {
		node.Kill()
	}
	from := f.Elapsed().Truncate(time.Second)
	f.StartAll(10 * time.Millisecond)
	f.Run(settle)
	_, peak := f.Platform.LoadBetween(from, f.Elapsed())
	report.add("platform calls, all VMs restart at once, busiest second", float64(peak), "calls", platformLimit)
	report.add("restart of all VMs at once, last one ready after", lastReady(f, from), "s", 0)
	node := f.All()[0]
	node.Kill()
	from = f.Elapsed()
	node.Start()
	f.Run(settle)
	report.add("restart of one VM, ready after", lastReady(f, from), "s", 0)
}

// lastReady returns after how many seconds the last VM became ready.
func lastReady(f *fleet.Fleet, from time.Duration) float64 {
	last := time.Duration(0)
	for _, node := range f.All() {
		if !node.Ready() {
			return math.Inf(1)
		}
		last = max(last, node.ReadyAt-from)
	}
	return last.Seconds()
}
