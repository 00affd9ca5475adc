package endpointlimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

var t0 = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

func after(seconds float64) time.Time {
	return t0.Add(time.Duration(seconds * float64(time.Second)))
}

func named(rate float64) *float64 { return &rate }

// countGrants counts the grants of a coordinator that is asked often.
func countGrants(l *Limits, from, to float64) int {
	grants := 0
	for at := from; at < to; at += 0.01 {
		if granted, _ := l.Grant(after(at), "e"); granted {
			grants++
		}
	}
	return grants
}

// Guards against more grants than the rate, also right after a VM has become the
// coordinator, and against a rate that is not used.
func TestGrantsKeepToTheRate(t *testing.T) {
	l := New(DefaultConfig())
	l.RecordAnswer(after(0), "e", named(4))
	granted, wait := l.Grant(after(0), "e")
	assert.Assert(t, !granted)
	assert.Equal(t, wait, 250*time.Millisecond)
	got := countGrants(l, 0, 4)
	assert.Assert(t, got >= 14 && got <= 16, "%d grants", got)
	// An unused rate accumulates for BurstTime only.
	got = countGrants(l, 20, 20.1)
	assert.Equal(t, got, 2)
}

// Guards against a limit that outlasts its naming: it ends with the first answer
// that names none, or after a long time without an answer.
func TestLimitEnds(t *testing.T) {
	l := New(DefaultConfig())
	assert.Assert(t, !l.RecordAnswer(after(0), "e", nil))
	assert.Assert(t, l.RecordAnswer(after(1), "e", named(0.5)))
	assert.Assert(t, !l.RecordAnswer(after(2), "e", named(0.5)))
	l.RecordDenial(after(2), "e", time.Second)
	assert.Assert(t, l.DeniedFor(after(2.5), "e") > 0)
	assert.Assert(t, l.RecordAnswer(after(2.5), "e", nil))
	_, limited := l.Rate(after(2.5), "e")
	assert.Assert(t, !limited)
	assert.Equal(t, l.DeniedFor(after(2.5), "e"), time.Duration(0))
	l.RecordAnswer(after(3), "e", named(2))
	_, limited = l.Rate(after(62), "e")
	assert.Assert(t, limited)
	_, limited = l.Rate(after(64), "e")
	assert.Assert(t, !limited)
}

// Guards against an old report that brings back a limit that has ended, or a
// newer rate that is lost to an older one.
func TestNewestAnswerDecides(t *testing.T) {
	l := New(DefaultConfig())
	l.RecordAnswer(after(10), "e", named(4))
	l.ApplyReports(after(10.5), map[ids.EndpointID]Report{"e": {Rate: 9, AgeMs: 2000}})
	rate, _ := l.Rate(after(11), "e")
	assert.Equal(t, rate, 4.0)
	l.ApplyReports(after(11), map[ids.EndpointID]Report{"e": {Rate: -1, AgeMs: 100}})
	_, limited := l.Rate(after(11), "e")
	assert.Assert(t, !limited)
	l.ApplyReports(after(11.1), map[ids.EndpointID]Report{"e": {Rate: 4, AgeMs: 900}})
	_, limited = l.Rate(after(11.2), "e")
	assert.Assert(t, !limited)
}

// Guards against malformed reports, and against memory that grows with the
// endpoints that peers name.
func TestReportsAreBounded(t *testing.T) {
	config := DefaultConfig()
	config.MaxEndpoints = 10
	l := New(config)
	for i := range 100 {
		l.ApplyReports(after(0), map[ids.EndpointID]Report{ids.EndpointID(fmt.Sprint(i)): {Rate: 1}})
	}
	assert.Equal(t, len(l.limits), 10)
	l.ApplyReports(after(100), map[ids.EndpointID]Report{"new": {Rate: 1}, "old": {Rate: 1, AgeMs: 1 << 40}, "future": {Rate: 1, AgeMs: -5}})
	_, limited := l.Rate(after(100), "new")
	assert.Assert(t, limited)
	assert.Equal(t, len(l.limits), 1)
	l.RecordDenial(after(100), "new", time.Minute)
	l.Prune(func(ids.EndpointID) bool { return false })
	assert.Equal(t, len(l.limits)+len(l.granted)+len(l.ownShare)+len(l.deniedUntil), 0)
}

// Guards against a VM whose coordinator does not answer and that then sends
// without a limit, or saves up its own share for that case.
func TestVMWithoutACoordinatorUsesItsOwnShare(t *testing.T) {
	l := New(DefaultConfig())
	l.RecordAnswer(after(0), "e", named(4))
	granted, _ := l.GrantOwnShare(after(10), "e")
	assert.Assert(t, !granted, "the size of the fleet is not known")
	l.SetFleet(1, 0, 8)
	grants := 0
	for at := 20.0; at < 30; at += 0.05 {
		if granted, _ := l.GrantOwnShare(after(at), "e"); granted {
			grants++
		}
	}
	assert.Equal(t, grants, 4)
	// A later failure of the coordinator starts anew.
	granted, _ = l.GrantOwnShare(after(60), "e")
	assert.Assert(t, !granted)
}

// simulatedVM is a VM with its own view of who is there.
type simulatedVM struct {
	id     ids.VMID
	limits *Limits
	upAt   time.Time
	down   bool
	// cut is set while the VM exchanges nothing with the others.
	cut bool
	// heardAt is when the VM last heard each of the simulation's VMs; zero for those
	// that it has not heard since its start.
	heardAt []time.Time
}

// simulation is a fleet that sends requests to one endpoint with a limit.
type simulation struct {
	rng  *rand.Rand
	vms  []*simulatedVM
	rate float64
	// arrivals holds when requests reached the endpoint, but for those of VMs that
	// are excused: that were restarted or cut within stableWindow.
	arrivals  []time.Time
	excusedAt map[ids.VMID]time.Time
}

const (
	step         = 10 * time.Millisecond
	stableWindow = 3 * time.Second
	suspectAfter = time.Second
	window       = 4 * time.Second
)

func newSimulation(seed uint64, vms int, rate float64) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 2)), rate: rate, excusedAt: make(map[ids.VMID]time.Time)}
	for i := range vms {
		v := &simulatedVM{id: ids.VMID(fmt.Sprintf("vm-%d", i)), upAt: t0.Add(-time.Minute), heardAt: make([]time.Time, vms)}
		v.start()
		s.vms = append(s.vms, v)
	}
	return s
}

func (v *simulatedVM) start() {
	v.limits, v.down = New(DefaultConfig()), false
	clear(v.heardAt)
}

// exchange lets VMs hear each other and tell the limits, every 300 ms.
func (s *simulation) exchange(now time.Time) {
	for i, a := range s.vms {
		if a.down || a.cut {
			continue
		}
		reports := a.limits.Reports(now, now.Add(-time.Second))
		for _, b := range s.vms {
			if a != b && !b.down && !b.cut {
				b.heardAt[i] = now
				b.limits.ApplyReports(now, reports)
			}
		}
	}
	for _, v := range s.vms {
		heard, unheard := 1, 0
		for _, at := range v.heardAt {
			switch {
			case at.IsZero():
			case now.Sub(at) <= suspectAfter:
				heard++
			default:
				unheard++
			}
		}
		size := heard + unheard
		if now.Sub(v.upAt) < stableWindow {
			size = 0
		}
		v.limits.SetFleet(heard, unheard, size)
	}
}

// grant asks the coordinator that a VM sees.
func (s *simulation) grant(now time.Time, v *simulatedVM) bool {
	candidates := []ids.VMID{v.id}
	for i, at := range v.heardAt {
		if now.Sub(at) <= suspectAfter {
			candidates = append(candidates, s.vms[i].id)
		}
	}
	coordinator := Coordinator("e", candidates)
	for _, other := range s.vms {
		if other.id == coordinator && !other.down && (other == v || !other.cut && !v.cut) {
			other.limits.ApplyReports(now, map[ids.EndpointID]Report{"e": v.limits.ReportOf(now, "e")})
			granted, _ := other.limits.Grant(now, "e")
			return granted
		}
	}
	granted, _ := v.limits.GrantOwnShare(now, "e")
	return granted
}

// send sends a request at a VM if the endpoint's limit allows it.
func (s *simulation) send(now time.Time, v *simulatedVM) {
	if v.down {
		return
	}
	if _, limited := v.limits.Rate(now, "e"); limited && !s.grant(now, v) {
		return
	}
	v.limits.RecordAnswer(now, "e", &s.rate)
	if now.Sub(s.excusedAt[v.id]) > stableWindow && !v.cut {
		s.arrivals = append(s.arrivals, now)
	}
}

// run plays demand requests a second, spread over the VMs, and checks each window
// after the first stableWindow.
func (s *simulation) run(t *testing.T, seconds, demand float64, events func(now time.Time)) {
	t.Helper()
	for i := range int(seconds / step.Seconds()) {
		now := t0.Add(time.Duration(i) * step)
		events(now)
		if i%30 == 0 {
			s.exchange(now)
		}
		for sent := s.rng.Float64(); sent < demand*step.Seconds(); sent++ {
			s.send(now, s.vms[s.rng.IntN(len(s.vms))])
		}
	}
	allowed := int(1.5*s.rate*window.Seconds()) + 5
	begin := t0.Add(stableWindow)
	for i, first := range s.arrivals {
		count := 0
		for _, at := range s.arrivals[i:] {
			if at.Sub(first) < window {
				count++
			}
		}
		assert.Assert(t, first.Before(begin) || count <= allowed, "%d requests in 4 s from %v on, %d are allowed", count, first.Sub(t0), allowed)
	}
}

// arrived returns the rate of the arrivals between two times.
func (s *simulation) arrived(from, to float64) float64 {
	count := 0
	for _, at := range s.arrivals {
		if !at.Before(after(from)) && at.Before(after(to)) {
			count++
		}
	}
	return float64(count) / (to - from)
}

// Guards against VMs that together exceed a limit, or use little of it, whatever
// their number and the rate: load of ten times the rate at 3, 6, 70 and 195 VMs.
func TestFleetKeepsToALimit(t *testing.T) {
	for _, vms := range []int{3, 6, 70, 195} {
		for _, rate := range []float64{0.8, 4, 20} {
			t.Run(fmt.Sprintf("%d VMs, %v a second", vms, rate), func(t *testing.T) {
				s := newSimulation(1, vms, rate)
				s.run(t, 20, 10*rate, func(time.Time) {})
				assert.Assert(t, s.arrived(4, 20) >= 0.85*rate, "%.2f of %v a second", s.arrived(4, 20), rate)
				assert.Assert(t, s.arrived(4, 20) <= 1.05*rate, "%.2f of %v a second", s.arrived(4, 20), rate)
			})
		}
	}
}

// Guards against a limit that is exceeded, or given up, while VMs restart one after
// the other, a coordinator dies for good, or some VMs hear nothing from the others.
func TestLimitHoldsWhileVMsComeAndGo(t *testing.T) {
	for name, event := range map[string]func(s *simulation, now time.Time){
		"restarts in turn": func(s *simulation, now time.Time) {
			i := int(now.Sub(t0) / (2 * time.Second))
			v := s.vms[i%len(s.vms)]
			switch phase := now.Sub(t0) % (2 * time.Second); {
			case phase == 500*time.Millisecond:
				v.down = true
				s.excusedAt[v.id] = now
			case phase == 1500*time.Millisecond:
				v.start()
				v.upAt = now
				s.excusedAt[v.id] = now
			}
		},
		"coordinator dies": func(s *simulation, now time.Time) {
			if now.Equal(after(8)) {
				var all []ids.VMID
				for _, v := range s.vms {
					all = append(all, v.id)
				}
				for _, v := range s.vms {
					v.down = v.id == Coordinator("e", all)
				}
			}
		},
		"half are cut off": func(s *simulation, now time.Time) {
			for i, v := range s.vms {
				v.cut = i%2 == 0 && now.After(after(6)) && now.Before(after(14))
				if v.cut {
					s.excusedAt[v.id] = now
				}
			}
		},
		"all restart": func(s *simulation, now time.Time) {
			if now.Equal(after(8)) {
				for _, v := range s.vms {
					v.start()
					v.upAt = now
					s.excusedAt[v.id] = now
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				for _, vms := range []int{6, 24} {
					s := newSimulation(seed, vms, 4)
					s.run(t, 24, 40, func(now time.Time) { event(s, now) })
					assert.Assert(t, s.arrived(18, 24) >= 0.5*4, "seed %d: %.2f a second at the end", seed, s.arrived(18, 24))
				}
			}
		})
	}
}

// Guards against two sides of a cut that each use the whole limit.
func TestSidesOfACutShareALimit(t *testing.T) {
	total := 0
	for _, side := range []struct{ heard, unheard int }{{4, 2}, {2, 4}} {
		l := New(DefaultConfig())
		l.RecordAnswer(after(0), "e", named(6))
		l.SetFleet(side.heard, side.unheard, 6)
		total += countGrants(l, 0, 10)
	}
	assert.Assert(t, total >= 55 && total <= 60, "%d grants", total)
}

// Guards against VMs that see different coordinators although they hear the same
// VMs, and against coordinators that all change when one VM comes or goes.
func TestCoordinatorIsTheSameAtAllVMs(t *testing.T) {
	vms := []ids.VMID{"a", "b", "c", "d"}
	moved := 0
	for i := range 100 {
		id := ids.EndpointID(fmt.Sprint(i))
		coordinator := Coordinator(id, vms)
		assert.Equal(t, Coordinator(id, []ids.VMID{"d", "c", "b", "a"}), coordinator)
		if Coordinator(id, vms[:3]) != coordinator {
			moved++
			assert.Equal(t, coordinator, ids.VMID("d"))
		}
	}
	assert.Assert(t, moved > 5 && moved < 50)
	assert.Equal(t, Coordinator("e", nil), ids.VMID(""))
}
