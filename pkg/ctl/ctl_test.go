package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
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

// runCommand executes a wagtailctl command line and returns its exit code and output.
func runCommand(t *testing.T, arguments ...string) (code int, out, errOut string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code = Execute(t.Context(), arguments, strings.NewReader(""), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func writeTempFile(t *testing.T, name, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

const (
	validSettings = `{"vmId":"vm-1","dataCentre":"dc-a","region":"r","platform":{"address":"127.0.0.1:9000"}}`
	validRecords  = `[{"kind":"customer","schema":2,"id":"acme","spec":{"tokensPerSecond":100,"burstTokens":500}},
{"kind":"customer","schema":1,"id":"old","spec":{"tokensPerMinute":600,"burstTokens":500}}]
{"kind":"dataCentre","schema":1,"id":"dc-a","spec":{"region":"r","seats":2}}`
	invalidRecord = `{"kind":"customer","schema":2,"id":"acme","spec":{"tokensPerSecond":-1,"burstTokens":500}}`
	// closedAddress refuses connections: no process listens on loopback port 1.
	closedAddress = "127.0.0.1:1"
)

// Guards against exit codes from which scripts cannot tell the kinds of failure
// apart.
func TestExitCodes(t *testing.T) {
	standInPlatform, err := platform.Start(t.Context(), platform.Config{})
	assert.NilError(t, err)
	settingsFile, recordsFile := writeTempFile(t, "s.json", validSettings), writeTempFile(t, "r.json", validRecords)
	singleRecordFile := writeTempFile(t, "one.json", `{"kind":"customer","schema":2,"id":"acme","spec":{"tokensPerSecond":100,"burstTokens":500}}`)
	tests := []struct {
		name string
		want int
		line []string
	}{
		{"version", ExitSuccess, []string{"version"}},
		{"version flag", ExitSuccess, []string{"--version"}},
		{"help", ExitSuccess, []string{"burn", "--help"}},
		{"completion", ExitSuccess, []string{"completion", "bash"}},
		{"unknown command", ExitUsage, []string{"reboot"}},
		{"unknown subcommand", ExitUsage, []string{"records", "reboot"}},
		{"missing subcommand", ExitUsage, []string{"settings"}},
		{"unknown flag", ExitUsage, []string{"status", "--fast", closedAddress}},
		{"missing argument", ExitUsage, []string{"status"}},
		{"missing platform", ExitUsage, []string{"records", "publish", recordsFile}},
		{"malformed key", ExitUsage, []string{"records", "withdraw", "--platform", standInPlatform.Address(), "acme"}},
		{"if-match for many", ExitUsage, []string{"records", "publish", "--platform", standInPlatform.Address(), "--if-match", "0", recordsFile}},
		{"settings valid", ExitSuccess, []string{"settings", "check", settingsFile}},
		{"settings invalid", ExitInvalidInput, []string{"settings", "check", writeTempFile(t, "b.json", `{}`)}},
		{"settings missing", ExitInvalidInput, []string{"settings", "check", filepath.Join(t.TempDir(), "none")}},
		{"records valid", ExitSuccess, []string{"records", "check", recordsFile}},
		{"records invalid", ExitInvalidInput, []string{"records", "check", recordsFile, writeTempFile(t, "b.json", invalidRecord)}},
		{"records not JSON", ExitInvalidInput, []string{"records", "check", writeTempFile(t, "b.json", `{`)}},
		{"publish invalid", ExitInvalidInput, []string{"records", "publish", "--platform", standInPlatform.Address(), writeTempFile(t, "b.json", invalidRecord)}},
		{"publish", ExitSuccess, []string{"records", "publish", "--platform", standInPlatform.Address(), recordsFile}},
		{"publish over a newer one", ExitFailure, []string{"records", "publish", "--platform", standInPlatform.Address(), "--if-match", "0", singleRecordFile}},
		{"withdraw", ExitSuccess, []string{"records", "withdraw", "--platform", standInPlatform.Address(), "customer/acme"}},
		{"withdraw again", ExitFailure, []string{"records", "withdraw", "--platform", standInPlatform.Address(), "customer/acme"}},
		{"platform unreachable", ExitUnreachable, []string{"records", "withdraw", "--platform", closedAddress, "customer/acme"}},
		{"status unreachable", ExitUnreachable, []string{"status", closedAddress}},
		{"drain unreachable", ExitUnreachable, []string{"drain", closedAddress}},
		{"burn unreachable", ExitUnreachable, []string{"burn", closedAddress}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			code, out, errOut := runCommand(t, test.line...)
			assert.Equal(t, code, test.want, "out: %s err: %s", out, errOut)
			assert.Equal(t, errOut != "", test.want != ExitSuccess, "err: %s", errOut)
		})
	}
	assert.Equal(t, standInPlatform.Revision(), ids.Revision(4))
}

// Guards against publishing some of the records when another one is invalid.
func TestPublishesNoRecordIfOneIsInvalid(t *testing.T) {
	p, err := platform.Start(t.Context(), platform.Config{})
	assert.NilError(t, err)
	code, _, errOut := runCommand(t, "records", "publish", "--platform", p.Address(), writeTempFile(t, "r.json", validRecords), writeTempFile(t, "b.json", invalidRecord))
	assert.Equal(t, code, ExitInvalidInput)
	assert.Assert(t, strings.Contains(errOut, "spec.tokensPerSecond"), errOut)
	assert.Equal(t, p.Revision(), ids.Revision(0))
}

// Guards against a complete set of records that refers to records, services or
// base models that do not exist.
func TestCheckCompleteRejectsDanglingReferences(t *testing.T) {
	hash := strings.Repeat("0", 64)
	file := writeTempFile(t, "r.json", validRecords+`
{"kind":"key","schema":1,"id":"k","spec":{"customer":"nobody","sha256":"`+hash+`"}}
{"kind":"route","schema":1,"id":"b","spec":{"kind":"service","pathPrefix":"/b/","service":"booking"}}
{"kind":"endpoint","schema":1,"id":"e","spec":{"dataCentre":"dc-z","kind":"model","address":"127.0.0.1:1","baseModel":"m","slots":1,"maxBatch":1,"state":"serving"}}
{"kind":"adapter","schema":1,"id":"a","spec":{"baseModel":"n","versions":[{"version":1,"state":"active","source":"s"}],"defaultVersion":1}}`)
	code, _, _ := runCommand(t, "records", "check", file)
	assert.Equal(t, code, ExitSuccess)
	code, _, errOut := runCommand(t, "records", "check", "--complete", file)
	assert.Equal(t, code, ExitInvalidInput)
	for _, want := range []string{"customer/nobody", "service booking", "dataCentre/dc-z", "base model n"} {
		assert.Assert(t, strings.Contains(errOut, want), "%q is missing in %s", want, errOut)
	}
}

// vmSource is an admin source whose drain finishes at the third read of its
// status after the drain has started.
type vmSource struct {
	draining    atomic.Bool
	statusReads atomic.Int32
}

func (s *vmSource) Ready() (bool, string) { return true, "" }
func (s *vmSource) Drain()                { s.draining.Store(true) }
func (s *vmSource) Status() admin.Status {
	status := admin.Status{VM: "vm-1", Drain: admin.Drain{State: admin.DrainNone}}
	switch {
	case s.draining.Load() && s.statusReads.Add(1) > 2:
		status.Drain.State = admin.DrainFinished
	case s.draining.Load():
		status.Drain = admin.Drain{State: admin.DrainInProgress, WaitingFor: []string{"2 requests"}}
	}
	return status
}

// Guards against a drain command that returns while requests are still open,
// and against a status or burn report that omits what the VM reported.
func TestStatusBurnAndDrainCommands(t *testing.T) {
	metrics := observability.NewMetrics(func(err error) { t.Error(err) })
	start := time.Unix(1_700_000_000, 0)
	levels := observability.NewServiceLevels(metrics.Scope, settings.Defaults().Objectives, start)
	levels.RecordRequest(observability.ResultServiceError, "REASON_NO_ENDPOINT")
	levels.Sample(start.Add(time.Minute))
	assert.NilError(t, metrics.Close())
	server := httptest.NewServer(admin.NewServer(&vmSource{}, metrics.Handler).Handler)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")

	code, out, _ := runCommand(t, "status", address)
	assert.Equal(t, code, ExitSuccess)
	assert.Assert(t, strings.Contains(out, "VM vm-1"), out)
	code, out, _ = runCommand(t, "status", "--json", address)
	assert.Equal(t, code, ExitSuccess)
	var status admin.Status
	assert.NilError(t, json.Unmarshal([]byte(out), &status))

	code, out, errOut := runCommand(t, "burn", "--json", address, closedAddress)
	assert.Equal(t, code, ExitSuccess)
	var report burnReport
	assert.NilError(t, json.Unmarshal([]byte(out), &report))
	assert.DeepEqual(t, report.Unreachable, []string{closedAddress})
	assert.Equal(t, report.Objectives[0].Windows[0].Bad, uint64(1))
	assert.Assert(t, strings.Contains(errOut, closedAddress), errOut)

	code, out, _ = runCommand(t, "drain", address)
	assert.Equal(t, code, ExitSuccess)
	assert.Equal(t, out, "drain: draining, waiting for 2 requests\ndrain: drained\n")
}

// Guards against an answer whose status HTTP does not allow for a final response, and that
// is taken for a VM's, or for the start of a drain whose end is awaited.
func TestInvalidStatusIsNoAnswerOfAVM(t *testing.T) {
	for _, status := range []string{"000 None", "099 Low", "101 Switching Protocols", "600 High"} {
		for _, command := range []string{"status", "drain", "burn"} {
			t.Run(command+" "+status, func(t *testing.T) {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					connection, _, err := http.NewResponseController(w).Hijack()
					assert.Check(t, err)
					_, err = fmt.Fprintf(connection, "HTTP/1.1 %s\r\nContent-Length: 2\r\n\r\n{}", status)
					assert.Check(t, err)
					assert.Check(t, connection.Close())
				}))
				t.Cleanup(server.Close)
				began := time.Now()
				code, out, _ := runCommand(t, command, strings.TrimPrefix(server.URL, "http://"))
				assert.Assert(t, code != ExitSuccess, out)
				assert.Assert(t, time.Since(began) < 10*time.Second, "%v", time.Since(began))
			})
		}
	}
}

// Guards against a drain that is reported as finished while it is still in
// progress.
func TestDrainTimesOut(t *testing.T) {
	source := &vmSource{}
	source.statusReads.Store(-1 << 20)
	server := httptest.NewServer(admin.NewServer(source, http.NotFoundHandler()).Handler)
	defer server.Close()
	code, _, errOut := runCommand(t, "drain", "--wait", "1ms", strings.TrimPrefix(server.URL, "http://"))
	assert.Equal(t, code, ExitFailure)
	assert.Assert(t, strings.Contains(errOut, "waiting for: 2 requests"), errOut)
}

// Guards against an example on the configuration page that the described check
// command rejects.
func TestExamplesOfTheConfigurationPageAreValid(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "configuration.md"))
	assert.NilError(t, err)
	blocks := strings.Split(string(page), "```json\n")
	assert.Equal(t, len(blocks), 4)
	for i, block := range blocks[1:] {
		example, _, _ := strings.Cut(block, "```")
		arguments := []string{"records", "check", writeTempFile(t, "e.json", example)}
		if i == 0 {
			arguments[0] = "settings"
		}
		if i == 2 {
			arguments = append(arguments, "--complete")
		}
		code, _, errOut := runCommand(t, arguments...)
		assert.Equal(t, code, ExitSuccess, "example %d: %s", i, errOut)
	}
}

// Guards against a failure reason that callers can receive and that the
// operations page does not document.
func TestOperationsPageListsEveryReason(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	assert.NilError(t, err)
	for number, name := range inferencev1.Reason_name {
		if row := "| " + strings.TrimPrefix(name, "REASON_") + " |"; number != 0 {
			assert.Assert(t, strings.Contains(string(page), row), "the page does not document %s", name)
		}
	}
}

// Guards against an exported metric that the operations page does not document.
func TestOperationsPageListsEveryMetric(t *testing.T) {
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
		assert.Assert(t, strings.Contains(string(page), "`"+name+"`"), "the page does not document the metric %s", name)
	}
}
