package path

import (
	"context"
	"fmt"
	"io"

	"github.com/wagtailspoke/wagtailspoke/internal/bench/slope"
)

// slopeTokens are the answer lengths that a slope is measured over.
var slopeTokens = []uint32{1, 16, 64, 256}

// writeSlopes measures the daemon's processor time and added latency for
// several answer lengths.
func writeSlopes(ctx context.Context, c config, log io.Writer) error {
	var cpu, added [][2]float64
	for _, tokens := range slopeTokens {
		c.tokens = tokens
		report, err := run(ctx, c, log)
		if err != nil {
			return fmt.Errorf("%d tokens: %w", tokens, err)
		}
		cpu = append(cpu, [2]float64{float64(tokens), report.CPUMicros})
		added = append(added, [2]float64{float64(tokens), float64(report.Added.P50Micros)})
	}
	command := fmt.Sprintf("wagtailbench path --requests %d --concurrency %d --slopes FILE", c.requests, c.concurrency)
	return slope.WriteFile(c.slopesOut, []slope.Slope{
		slope.Fit("path.cpu_per_request", "us of a core/token of the answer", command, cpu),
		slope.Fit("path.added_latency_p50", "us/token of the answer", command, added),
	})
}
