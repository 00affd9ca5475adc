package burn

import (
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

func sample(at time.Duration, events, bad uint64) Sample {
	return Sample{At: start.Add(at), Counts: map[Objective]Count{Availability: {Events: events, Bad: bad}}}
}

// Guards against windows that count events before their start or miss events
// within.
func TestWindowCountsOnlyItsEvents(t *testing.T) {
	var history History
	for minute := range 121 {
		// One request a second; all requests of the last 10 minutes are bad.
		bad := max(0, minute-110) * 60
		history.Add(sample(time.Duration(minute)*time.Minute, uint64(minute*60), uint64(bad)))
	}
	for _, test := range []struct {
		window, span time.Duration
		events, bad  uint64
	}{
		{5 * time.Minute, 5 * time.Minute, 300, 300},
		{30 * time.Minute, 30 * time.Minute, 1800, 600},
		{time.Hour, time.Hour, 3600, 600},
		{6 * time.Hour, 2 * time.Hour, 7200, 600},
	} {
		counts, span := history.Over(test.window)
		assert.DeepEqual(t, counts[Availability], Count{Events: test.events, Bad: test.bad})
		assert.Equal(t, span, test.span)
	}
}

// Guards against negative or lost counts when a VM restarts between two
// samples.
func TestRestartCountsFromZero(t *testing.T) {
	var history History
	history.Add(sample(0, 100, 50))
	history.Add(sample(time.Minute, 130, 60))
	history.Add(sample(2*time.Minute, 20, 1))
	counts, _ := history.Over(time.Hour)
	assert.DeepEqual(t, counts[Availability], Count{Events: 50, Bad: 11})
}

// vmWithWindow returns a VM with events of the availability objective in one
// window.
func vmWithWindow(window time.Duration, events, bad uint64, target float64) VM {
	return VM{
		Targets: map[Objective]float64{Availability: target},
		Windows: map[time.Duration]Window{window: {Counts: map[Objective]Count{Availability: {Events: events, Bad: bad}}, Span: window}},
	}
}

// Guards against a report that averages the burn rates of VMs instead of adding
// their events: a VM with little traffic must not weigh as much as a busy one.
func TestComputeAddsEventsOfVMs(t *testing.T) {
	report := Compute([]VM{
		vmWithWindow(time.Hour, 9900, 0, 0.99),
		vmWithWindow(time.Hour, 100, 100, 0.99),
	})
	got := report.Objectives[0].Windows[2]
	assert.Equal(t, got.Events, uint64(10_000))
	assert.Assert(t, math.Abs(got.BurnRate-1) < 1e-9, "burn rate %v", got.BurnRate)
	assert.Equal(t, report.Objectives[1].Windows[2].BurnRate, 0.0)
}

// Guards against alerts based on one window alone: a burn in only the short
// window is noise, and one in only the long window has already ended.
func TestAlertsNeedBothWindows(t *testing.T) {
	alertFor := func(long, short time.Duration, bad uint64) Alert {
		a, b := vmWithWindow(long, 1000, bad, 0.999), vmWithWindow(short, 1000, bad, 0.999)
		return Compute([]VM{a, b}).Objectives[0].Alert
	}
	assert.Equal(t, alertFor(time.Hour, 5*time.Minute, 15), AlertPage)
	assert.Equal(t, alertFor(6*time.Hour, 30*time.Minute, 7), AlertTicket)
	assert.Equal(t, alertFor(time.Hour, 6*time.Hour, 15), AlertNone)
	assert.Equal(t, Compute([]VM{vmWithWindow(5*time.Minute, 1000, 500, 0.999)}).Objectives[0].Alert, AlertNone)
}

// Guards against a text report that lacks objectives, windows or burn rates.
func TestTextContainsObjectivesAndWindows(t *testing.T) {
	var out strings.Builder
	assert.NilError(t, Compute([]VM{vmWithWindow(time.Hour, 1000, 5, 0.999)}).WriteText(&out))
	for _, want := range []string{"availability", "first_token", "token_gap", "5m", "30m", "6h", "5.00"} {
		assert.Assert(t, strings.Contains(out.String(), want), "%q is missing in\n%s", want, out.String())
	}
}

// Guards against windows that differ from a direct recount for arbitrary growth
// and sample times, such as those of a VM that was paused.
func TestWindowsEqualRecount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type interval struct {
			end    time.Duration
			growth uint64
		}
		var history History
		var intervals []interval
		at, total := time.Duration(0), uint64(0)
		history.Add(sample(0, 0, 0))
		for range rapid.IntRange(1, 60).Draw(t, "samples") {
			at += time.Duration(rapid.IntRange(1, 3600).Draw(t, "seconds")) * time.Second
			growth := rapid.Uint64Range(0, 50).Draw(t, "events")
			total += growth
			intervals = append(intervals, interval{at, growth})
			history.Add(sample(at, total, total/2))
		}
		for _, window := range Windows {
			want := uint64(0)
			for _, i := range intervals {
				if i.end > at-window {
					want += i.growth
				}
			}
			counts, span := history.Over(window)
			if counts[Availability].Events != want || span > window {
				t.Fatalf("window %v: %d events over %v, want %d", window, counts[Availability].Events, span, want)
			}
		}
	})
}
