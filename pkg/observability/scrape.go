package observability

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/wagtailspoke/wagtailspoke/pkg/observability/burn"
)

// maxScrapeBytes bounds the size of the metrics that are read from one VM.
const maxScrapeBytes = 16 << 20

// ScrapeWindows reads the service-level windows of a VM from the metrics at its
// admin address.
func ScrapeWindows(ctx context.Context, client *http.Client, address string) (burn.VM, error) {
	const step = Step("scrape metrics")
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return burn.VM{}, WrapStepError(step, address, err)
	}
	response, err := client.Do(request)
	if err != nil {
		return burn.VM{}, WrapStepError(step, address, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return burn.VM{}, NewStepError(step, address, "status %s", response.Status)
	}
	vm, err := parseWindows(io.LimitReader(response.Body, maxScrapeBytes))
	vm.Address = address
	return vm, WrapStepError(step, address, err)
}

// parseWindows reads the gauges that ServiceLevels exports from metrics in the
// Prometheus text format.
func parseWindows(in io.Reader) (burn.VM, error) {
	vm := burn.VM{Targets: make(map[burn.Objective]float64), Windows: make(map[time.Duration]burn.Window)}
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(in)
	if err != nil {
		return vm, err
	}
	for _, length := range burn.Windows {
		vm.Windows[length] = burn.Window{Counts: make(map[burn.Objective]burn.Count)}
	}
	// forEachSample calls visit for each sample of a gauge, with its window and
	// objective tags.
	forEachSample := func(name string, visit func(window time.Duration, objective burn.Objective, value float64)) {
		for _, metric := range families[MetricPrefix+"_"+name].GetMetric() {
			tags := make(map[string]string)
			for _, label := range metric.GetLabel() {
				tags[label.GetName()] = label.GetValue()
			}
			var seconds int64
			_, _ = fmt.Sscan(tags[TagWindow], &seconds)
			visit(time.Duration(seconds)*time.Second, burn.Objective(tags[TagObjective]), metric.GetGauge().GetValue())
		}
	}
	forEachSample(MetricTarget, func(_ time.Duration, objective burn.Objective, value float64) {
		vm.Targets[objective] = value
	})
	forEachSample(MetricWindowSpan, func(window time.Duration, _ burn.Objective, value float64) {
		entry := vm.Windows[window]
		entry.Span = time.Duration(value * float64(time.Second))
		vm.Windows[window] = entry
	})
	updateCounts := func(name string, apply func(*burn.Count, uint64)) {
		forEachSample(name, func(window time.Duration, objective burn.Objective, value float64) {
			if counts := vm.Windows[window].Counts; counts != nil {
				count := counts[objective]
				apply(&count, uint64(value))
				counts[objective] = count
			}
		})
	}
	updateCounts(MetricWindowEvents, func(c *burn.Count, value uint64) { c.Events = value })
	updateCounts(MetricWindowBad, func(c *burn.Count, value uint64) { c.Bad = value })
	if len(vm.Targets) == 0 {
		return vm, fmt.Errorf("no metric %s_%s", MetricPrefix, MetricTarget)
	}
	return vm, nil
}
