// Package path measures what one entry daemon adds to a request: it starts a
// stand-in engine and a daemon as processes of this repository's binaries and
// compares requests through the daemon with direct ones in the same run.
package path

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	"github.com/wagtailspoke/wagtailspoke/internal/bench/proc"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/inferencev1"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/inferencev1/inferencev1connect"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/admin"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/engines"
)

const (
	benchKey  = "path-bench-key"
	prompt    = "a prompt of a few words for the path"
	startWait = 60 * time.Second
	pollPause = 50 * time.Millisecond
)

var model = ids.AdapterRef{Adapter: "poet", Version: 1}

// config holds the flags.
type config struct {
	binDir      string
	requests    int
	concurrency int
	tokens      uint32
	asJSON      bool
	slopesOut   string
	verbose     bool
}

// Process is one process of the measured set.
type Process struct {
	Name          string `json:"name"`
	ResidentBytes int64  `json:"residentBytes"`
}

// Latency describes the times of one kind of request.
type Latency struct {
	P50Micros int64 `json:"p50Micros"`
	P99Micros int64 `json:"p99Micros"`
}

// Report is the result of a run.
type Report struct {
	Requests    int       `json:"requests"`
	Concurrency int       `json:"concurrency"`
	Tokens      uint32    `json:"tokensPerRequest"`
	Processes   []Process `json:"processes"`
	Direct      Latency   `json:"direct"`
	Through     Latency   `json:"throughDaemon"`
	Added       Latency   `json:"added"`
	// RequestsPerSecond and CPUMicros are those of the daemon when all
	// requests go through it.
	RequestsPerSecond float64 `json:"requestsPerSecond"`
	CPUMicros         float64 `json:"daemonCpuMicrosPerRequest"`
	// IdleCPUPercent is the daemon's use of one core without requests.
	IdleCPUPercent float64 `json:"idleCpuPercentOfOneCore"`
	Errors         int64   `json:"errors"`
}

// Command returns the subcommand.
func Command() *cobra.Command {
	var c config
	command := &cobra.Command{
		Use:   "path",
		Short: "Measure what one entry daemon adds to a request",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			log := io.Discard
			if c.verbose {
				log = command.ErrOrStderr()
			}
			if c.slopesOut != "" {
				return writeSlopes(command.Context(), c, log)
			}
			report, err := run(command.Context(), c, log)
			if err != nil {
				return err
			}
			return report.write(command.OutOrStdout(), c.asJSON)
		},
	}
	flags := command.Flags()
	flags.StringVar(&c.binDir, "bin-dir", "bin", "directory with the binaries of this repository")
	flags.IntVar(&c.requests, "requests", 4000, "requests of each phase")
	flags.IntVar(&c.concurrency, "concurrency", 16, "requests that are open at once")
	flags.Uint32Var(&c.tokens, "tokens", 8, "tokens of each answer")
	flags.BoolVar(&c.asJSON, "json", false, "print JSON")
	flags.StringVar(&c.slopesOut, "slopes", "", "measure over several answer lengths and write the slopes to this file")
	flags.BoolVar(&c.verbose, "verbose", false, "show the logs of the processes")
	return command
}

// bench is a running set of processes.
type bench struct {
	config   config
	platform *child
	engine   *child
	daemon   *child

	platformAddress, engineAddress, callers, admin string
}

func run(ctx context.Context, c config, log io.Writer) (Report, error) {
	if ctx == nil {
		ctx = context.Background()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	b := &bench{config: c}
	defer b.stop()
	if err := b.start(ctx, log); err != nil {
		return Report{}, err
	}
	report := Report{Requests: c.requests, Concurrency: c.concurrency, Tokens: c.tokens}
	report.IdleCPUPercent = b.idle()
	if err := b.compare(ctx, &report); err != nil {
		return Report{}, err
	}
	if err := b.saturate(ctx, &report); err != nil {
		return Report{}, err
	}
	for _, process := range []*child{b.platform, b.engine, b.daemon} {
		report.Processes = append(report.Processes, Process{Name: process.name, ResidentBytes: process.residentBytes()})
	}
	return report, nil
}

// start starts the processes, publishes the records and waits for the first
// answer.
func (b *bench) start(ctx context.Context, log io.Writer) error {
	var err error
	if b.platform, err = startChild(ctx, b.config.binDir, "standin-platform", log); err != nil {
		return err
	}
	if b.platformAddress, err = b.platform.address(); err != nil {
		return err
	}
	if b.engine, err = startChild(ctx, b.config.binDir, "standin-engine", log, "--fencing", "--max-batch=1024",
		"--first-token-time=0s", "--token-time=0s", "--report-lag=0s"); err != nil {
		return err
	}
	if b.engineAddress, err = b.engine.address(); err != nil {
		return err
	}
	peers, err := b.startDaemon(ctx, log)
	if err != nil {
		return err
	}
	if err := b.publish(ctx, peers); err != nil {
		return err
	}
	return b.warm(ctx)
}

func (b *bench) startDaemon(ctx context.Context, log io.Writer) (string, error) {
	addresses, err := proc.FreeAddresses(proc.Host(0, 1), 3)
	if err != nil {
		return "", err
	}
	b.callers, b.admin = addresses[0], addresses[1]
	b.daemon, err = startChild(ctx, b.config.binDir, "wagtailspoked", log,
		"--vm-id=vm-1", "--data-centre=dc-1", "--region=bench", "--log-level=warning",
		"--listen-callers="+addresses[0], "--listen-admin="+addresses[1], "--listen-peers="+addresses[2],
		"--platform-address="+b.platformAddress)
	return addresses[2], err
}

func (b *bench) publish(ctx context.Context, peers string) error {
	hash := sha256.Sum256([]byte(benchKey))
	specs := []struct {
		kind, id string
		schema   int
		spec     string
	}{
		{"dataCentre", "dc-1", 1, `{"region":"bench","seats":1}`},
		{"customer", "ember", 2, `{"tokensPerSecond":100000000,"burstTokens":100000000}`},
		{"key", "ember-1", 1, fmt.Sprintf(`{"customer":"ember","sha256":%q}`, hex.EncodeToString(hash[:]))},
		{"weightStore", "store", 1, `{"loadsPerSecond":100,"maxInFlight":8}`},
		{"adapter", string(model.Adapter), 1, `{"baseModel":"base","versions":[{"version":1,"state":"active","source":"/v1/adapters/poet/1"}],"defaultVersion":1}`},
		{"endpoint", "engine-1", 1, fmt.Sprintf(`{"dataCentre":"dc-1","kind":"model","address":%q,"baseModel":"base","slots":8,"maxBatch":1024,"fencing":true,"state":"serving"}`, b.engineAddress)},
	}
	for _, s := range specs {
		key := s.kind + "/" + s.id
		body := fmt.Sprintf(`{"kind":%q,"schema":%d,"id":%q,"spec":%s}`, s.kind, s.schema, s.id, s.spec)
		if err := b.put(ctx, platformapi.PathRecords+"/"+key, []byte(body)); err != nil {
			return err
		}
	}
	list, err := json.Marshal(platformapi.VMList{VMs: []platformapi.VM{
		{ID: "vm-1", DataCentre: "dc-1", PeerAddress: peers, State: platformapi.VMLive},
	}})
	if err != nil {
		return err
	}
	return b.put(ctx, platformapi.PathVMs, list)
}

func (b *bench) put(ctx context.Context, path string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+b.platformAddress+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		text, _ := io.ReadAll(response.Body)
		return fmt.Errorf("publish %s: status %d: %s", path, response.StatusCode, text)
	}
	return nil
}

// warm waits until the daemon is ready and answers.
func (b *bench) warm(ctx context.Context) error {
	send := b.through()
	deadline := time.Now().Add(startWait)
	var err error
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if b.isReady() {
			if err = send(ctx); err == nil {
				return nil
			}
		}
		time.Sleep(pollPause)
	}
	return fmt.Errorf("no answer through the daemon within %s: %w", startWait, err)
}

func (b *bench) isReady() bool {
	response, err := http.Get("http://" + b.admin + admin.PathReadyz)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// idleSpan is how long the daemon is watched without requests.
const idleSpan = 3 * time.Second

func (b *bench) idle() float64 {
	before := b.daemon.cpu()
	time.Sleep(idleSpan)
	return 100 * (b.daemon.cpu() - before).Seconds() / idleSpan.Seconds()
}

// sender sends one request and waits for its answer.
type sender func(context.Context) error

func newHTTPClient(concurrency int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: concurrency, DisableCompression: true}}
}

func (b *bench) through() sender {
	client := inferencev1connect.NewInferenceServiceClient(newHTTPClient(b.config.concurrency), "http://"+b.callers)
	return func(ctx context.Context) error {
		request := connect.NewRequest(&inferencev1.GenerateRequest{Adapter: string(model.Adapter), Prompt: prompt, MaxTokens: b.config.tokens})
		request.Header().Set("Authorization", "Bearer "+benchKey)
		response, err := client.Generate(ctx, request)
		if err == nil && response.Msg.GetUsage().GetCompletionTokens() != b.config.tokens {
			return fmt.Errorf("answer has %d tokens", response.Msg.GetUsage().GetCompletionTokens())
		}
		return err
	}
}

func (b *bench) direct() sender {
	client := engines.New(engines.DefaultConfig)
	endpoint := engines.Endpoint{ID: "engine-1", Address: b.engineAddress}
	var attempts atomic.Int64
	return func(ctx context.Context) error {
		_, failure := client.Complete(ctx, endpoint, engines.CompletionRequest{
			AttemptID: ids.RequestID(fmt.Sprintf("direct-%d", attempts.Add(1))),
			Model:     model,
			Prompt:    prompt,
			MaxTokens: b.config.tokens,
		}, func(string, uint32) error { return nil })
		if failure != nil {
			return failure
		}
		return nil
	}
}

// compare alternates direct requests and requests through the daemon, so that
// both meet the same load on the machine.
func (b *bench) compare(ctx context.Context, report *Report) error {
	direct, through := b.direct(), b.through()
	var mu sync.Mutex
	var directTimes, throughTimes []time.Duration
	err := b.each(ctx, report, func(ctx context.Context) error {
		d, err := timed(ctx, direct)
		if err != nil {
			return err
		}
		t, err := timed(ctx, through)
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		directTimes = append(directTimes, d)
		throughTimes = append(throughTimes, t)
		return nil
	})
	if err != nil {
		return err
	}
	report.Direct, report.Through = latencyOf(directTimes), latencyOf(throughTimes)
	report.Added = Latency{
		P50Micros: report.Through.P50Micros - report.Direct.P50Micros,
		P99Micros: report.Through.P99Micros - report.Direct.P99Micros,
	}
	return nil
}

// saturate sends all requests through the daemon.
func (b *bench) saturate(ctx context.Context, report *Report) error {
	through := b.through()
	cpu, started := b.daemon.cpu(), time.Now()
	if err := b.each(ctx, report, through); err != nil {
		return err
	}
	report.RequestsPerSecond = float64(b.config.requests) / time.Since(started).Seconds()
	report.CPUMicros = float64((b.daemon.cpu() - cpu).Microseconds()) / float64(b.config.requests)
	return nil
}

// each runs the configured number of requests at the configured concurrency.
func (b *bench) each(ctx context.Context, report *Report, send sender) error {
	var next, failed atomic.Int64
	var workers sync.WaitGroup
	for range b.config.concurrency {
		workers.Go(func() {
			for next.Add(1) <= int64(b.config.requests) && ctx.Err() == nil {
				if send(ctx) != nil {
					failed.Add(1)
				}
			}
		})
	}
	workers.Wait()
	report.Errors += failed.Load()
	if failed.Load() == int64(b.config.requests) {
		return fmt.Errorf("all %d requests failed", b.config.requests)
	}
	return ctx.Err()
}

func timed(ctx context.Context, send sender) (time.Duration, error) {
	started := time.Now()
	err := send(ctx)
	return time.Since(started), err
}

func latencyOf(times []time.Duration) Latency {
	if len(times) == 0 {
		return Latency{}
	}
	slices.Sort(times)
	at := func(part float64) int64 { return times[int(part*float64(len(times)-1))].Microseconds() }
	return Latency{P50Micros: at(0.50), P99Micros: at(0.99)}
}

func (b *bench) stop() {
	for _, process := range []*child{b.daemon, b.engine, b.platform} {
		if process != nil {
			process.stop()
		}
	}
}

func (r Report) write(out io.Writer, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	fmt.Fprintf(out, "requests            %d a phase, %d at once, %d tokens each, %d errors\n", r.Requests, r.Concurrency, r.Tokens, r.Errors)
	fmt.Fprintf(out, "processes           %d\n", len(r.Processes))
	for _, process := range r.Processes {
		fmt.Fprintf(out, "  %-17s %.1f MiB resident\n", process.Name, float64(process.ResidentBytes)/(1<<20))
	}
	fmt.Fprintf(out, "direct              p50 %d us, p99 %d us\n", r.Direct.P50Micros, r.Direct.P99Micros)
	fmt.Fprintf(out, "through the daemon  p50 %d us, p99 %d us\n", r.Through.P50Micros, r.Through.P99Micros)
	fmt.Fprintf(out, "added               p50 %d us, p99 %d us\n", r.Added.P50Micros, r.Added.P99Micros)
	fmt.Fprintf(out, "daemon              %.0f requests/s, %.0f us CPU a request, idle %.2f%% of a core\n", r.RequestsPerSecond, r.CPUMicros, r.IdleCPUPercent)
	return nil
}
