package ctl

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/internal/standin/platform"
	"github.com/wagtailspoke/wagtailspoke/pkg/observability"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/inferencev1"
	"github.com/wagtailspoke/wagtailspoke/pkg/settings"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/admin"
)

// run executes a command line and returns its exit code and output.
func run(t *testing.T, arguments ...string) (code int, out, errOut string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code = Execute(t.Context(), arguments, strings.NewReader(""), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func write(t *testing.T, name, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

const (
	goodSettings = `{"vmId":"vm-1","dataCentre":"dc-a","region":"r","platform":{"address":"127.0.0.1:9000"}}`
	goodRecords  = `[{"kind":"customer","schema":2,"id":"acme","spec":{"tokensPerSecond":100,"burstTokens":500}},
{"kind":"customer","schema":1,"id":"old","spec":{"tokensPerMinute":600,"burstTokens":500}}]
{"kind":"dataCentre","schema":1,"id":"dc-a","spec":{"region":"r","seats":2}}`
	badRecord = `{"kind":"customer","schema":2,"id":"acme","spec":{"tokensPerSecond":-1,"burstTokens":500}}`
	// closedAddress refuses connections: port 1 is never taken on loopback here.
	closedAddress = "127.0.0.1:1"
)

// Guards against scripts that take one kind of failure for another.
func TestExitCodes(t *testing.T) {
	p, err := platform.Start(t.Context(), platform.Config{})
	assert.NilError(t, err)
	settingsFile, recordsFile := write(t, "s.json", goodSettings), write(t, "r.json", goodRecords)
	one := write(t, "one.json", `{"kind":"customer","schema":2,"id":"acme","spec":{"tokensPerSecond":100,"burstTokens":500}}`)
	tests := []struct {
		name string
		want int
		line []string
	}{
		{"version", ExitDone, []string{"version"}},
		{"version flag", ExitDone, []string{"--version"}},
		{"help", ExitDone, []string{"burn", "--help"}},
		{"completion", ExitDone, []string{"completion", "bash"}},
		{"unknown command", ExitUsage, []string{"reboot"}},
		{"unknown subcommand", ExitUsage, []string{"records", "reboot"}},
		{"missing subcommand", ExitUsage, []string{"settings"}},
		{"unknown flag", ExitUsage, []string{"status", "--fast", closedAddress}},
		{"missing argument", ExitUsage, []string{"status"}},
		{"missing platform", ExitUsage, []string{"records", "publish", recordsFile}},
		{"malformed key", ExitUsage, []string{"records", "withdraw", "--platform", p.Address(), "acme"}},
		{"if-match for many", ExitUsage, []string{"records", "publish", "--platform", p.Address(), "--if-match", "0", recordsFile}},
		{"settings valid", ExitDone, []string{"settings", "check", settingsFile}},
		{"settings invalid", ExitInvalid, []string{"settings", "check", write(t, "b.json", `{}`)}},
		{"settings missing", ExitInvalid, []string{"settings", "check", filepath.Join(t.TempDir(), "none")}},
		{"records valid", ExitDone, []string{"records", "check", recordsFile}},
		{"records invalid", ExitInvalid, []string{"records", "check", recordsFile, write(t, "b.json", badRecord)}},
		{"records not JSON", ExitInvalid, []string{"records", "check", write(t, "b.json", `{`)}},
		{"publish invalid", ExitInvalid, []string{"records", "publish", "--platform", p.Address(), write(t, "b.json", badRecord)}},
		{"publish", ExitDone, []string{"records", "publish", "--platform", p.Address(), recordsFile}},
		{"publish over a newer one", ExitFailure, []string{"records", "publish", "--platform", p.Address(), "--if-match", "0", one}},
		{"withdraw", ExitDone, []string{"records", "withdraw", "--platform", p.Address(), "customer/acme"}},
		{"withdraw again", ExitFailure, []string{"records", "withdraw", "--platform", p.Address(), "customer/acme"}},
		{"platform unreachable", ExitUnreachable, []string{"records", "withdraw", "--platform", closedAddress, "customer/acme"}},
		{"status unreachable", ExitUnreachable, []string{"status", closedAddress}},
		{"drain unreachable", ExitUnreachable, []string{"drain", closedAddress}},
		{"burn unreachable", ExitUnreachable, []string{"burn", closedAddress}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			code, out, errOut := run(t, test.line...)
			assert.Equal(t, code, test.want, "out: %s err: %s", out, errOut)
			assert.Equal(t, errOut != "", test.want != ExitDone, "err: %s", errOut)
		})
	}
	assert.Equal(t, p.Revision(), ids.Revision(4))
}

// Guards against a publication in part when one record of several is wrong.
func TestNothingIsPublishedWhenOneRecordIsWrong(t *testing.T) {
	p, err := platform.Start(t.Context(), platform.Config{})
	assert.NilError(t, err)
	code, _, errOut := run(t, "records", "publish", "--platform", p.Address(), write(t, "r.json", goodRecords), write(t, "b.json", badRecord))
	assert.Equal(t, code, ExitInvalid)
	assert.Assert(t, strings.Contains(errOut, "spec.tokensPerSecond"), errOut)
	assert.Equal(t, p.Revision(), ids.Revision(0))
}

// Guards against records that refer to nothing.
func TestCompleteChecksReferences(t *testing.T) {
	hash := strings.Repeat("0", 64)
	file := write(t, "r.json", goodRecords+`
{"kind":"key","schema":1,"id":"k","spec":{"customer":"nobody","sha256":"`+hash+`"}}
{"kind":"route","schema":1,"id":"b","spec":{"kind":"service","pathPrefix":"/b/","service":"booking"}}
{"kind":"endpoint","schema":1,"id":"e","spec":{"dataCentre":"dc-z","kind":"model","address":"127.0.0.1:1","baseModel":"m","slots":1,"maxBatch":1,"state":"serving"}}
{"kind":"adapter","schema":1,"id":"a","spec":{"baseModel":"n","versions":[{"version":1,"state":"active","source":"s"}],"defaultVersion":1}}`)
	code, _, _ := run(t, "records", "check", file)
	assert.Equal(t, code, ExitDone)
	code, _, errOut := run(t, "records", "check", "--complete", file)
	assert.Equal(t, code, ExitInvalid)
	for _, want := range []string{"customer/nobody", "service booking", "dataCentre/dc-z", "base model n"} {
		assert.Assert(t, strings.Contains(errOut, want), "%q is missing in %s", want, errOut)
	}
}

// vmSource is an admin source whose drain ends after some looks at its
// status.
type vmSource struct {
	draining atomic.Bool
	looks    atomic.Int32
}

func (s *vmSource) Ready() (bool, string) { return true, "" }
func (s *vmSource) Drain()                { s.draining.Store(true) }
func (s *vmSource) Status() admin.Status {
	status := admin.Status{VM: "vm-1", Drain: admin.Drain{State: admin.DrainNone}}
	switch {
	case s.draining.Load() && s.looks.Add(1) > 2:
		status.Drain.State = admin.DrainFinished
	case s.draining.Load():
		status.Drain = admin.Drain{State: admin.DrainInProgress, WaitingFor: []string{"2 requests"}}
	}
	return status
}

// Guards against a drain that returns before the requests have ended, and a
// status or burn report that hides what the VM says.
func TestStatusDrainAndBurnOfAVM(t *testing.T) {
	metrics := observability.NewMetrics(func(err error) { t.Error(err) })
	start := time.Unix(1_700_000_000, 0)
	levels := observability.NewServiceLevels(metrics.Scope, settings.Defaults().Objectives, start)
	levels.RecordRequest(observability.ResultServiceError, "REASON_NO_ENDPOINT")
	levels.Sample(start.Add(time.Minute))
	assert.NilError(t, metrics.Close())
	server := httptest.NewServer(admin.NewServer(&vmSource{}, metrics.Handler).Handler)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")

	code, out, _ := run(t, "status", address)
	assert.Equal(t, code, ExitDone)
	assert.Assert(t, strings.Contains(out, "VM vm-1"), out)
	code, out, _ = run(t, "status", "--json", address)
	assert.Equal(t, code, ExitDone)
	var status admin.Status
	assert.NilError(t, json.Unmarshal([]byte(out), &status))

	code, out, errOut := run(t, "burn", "--json", address, closedAddress)
	assert.Equal(t, code, ExitDone)
	var report burnReport
	assert.NilError(t, json.Unmarshal([]byte(out), &report))
	assert.DeepEqual(t, report.Unreachable, []string{closedAddress})
	assert.Equal(t, report.Objectives[0].Windows[0].Bad, uint64(1))
	assert.Assert(t, strings.Contains(errOut, closedAddress), errOut)

	code, out, _ = run(t, "drain", address)
	assert.Equal(t, code, ExitDone)
	assert.Equal(t, out, "drain: draining, waiting for 2 requests\ndrain: drained\n")
}

// Guards against a drain that is reported as done when it is not.
func TestDrainTimesOut(t *testing.T) {
	source := &vmSource{}
	source.looks.Store(-1 << 20)
	server := httptest.NewServer(admin.NewServer(source, http.NotFoundHandler()).Handler)
	defer server.Close()
	code, _, errOut := run(t, "drain", "--wait", "1ms", strings.TrimPrefix(server.URL, "http://"))
	assert.Equal(t, code, ExitFailure)
	assert.Assert(t, strings.Contains(errOut, "waiting for: 2 requests"), errOut)
}

// Guards against an example on the configuration page that does not pass the
// check it describes.
func TestExamplesOfThePageAreValid(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "configuration.md"))
	assert.NilError(t, err)
	blocks := strings.Split(string(page), "```json\n")
	assert.Equal(t, len(blocks), 4)
	for i, block := range blocks[1:] {
		example, _, _ := strings.Cut(block, "```")
		line := []string{"records", "check", write(t, "e.json", example)}
		if i == 0 {
			line[0] = "settings"
		}
		if i == 2 {
			line = append(line, "--complete")
		}
		code, _, errOut := run(t, line...)
		assert.Equal(t, code, ExitDone, "example %d: %s", i, errOut)
	}
}

// Guards against a reason that callers meet and no page explains.
func TestEveryReasonIsOnThePage(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	assert.NilError(t, err)
	for number, name := range inferencev1.Reason_name {
		if row := "| " + strings.TrimPrefix(name, "REASON_") + " |"; number != 0 {
			assert.Assert(t, strings.Contains(string(page), row), "the page misses %s", name)
		}
	}
}

// Guards against a metric that operators meet and no page explains.
func TestEveryMetricIsOnThePage(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	assert.NilError(t, err)
	names := []string{
		observability.MetricRequests, observability.MetricFirstToken, observability.MetricTokenGap, observability.MetricTarget,
		observability.MetricWindowEvents, observability.MetricWindowBad, observability.MetricWindowSpan,
	}
	call := regexp.MustCompile(`\.(?:Counter|Gauge|Histogram)\("([a-z_]+)"`)
	err = filepath.WalkDir("..", func(path string, _ os.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		for _, match := range call.FindAllStringSubmatch(string(source), -1) {
			names = append(names, match[1])
		}
		return err
	})
	assert.NilError(t, err)
	for _, name := range names {
		assert.Assert(t, strings.Contains(string(page), "`"+name+"`"), "the page misses the metric %s", name)
	}
}
