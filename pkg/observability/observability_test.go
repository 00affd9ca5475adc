package observability

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/observability/burn"
	"github.com/wagtailspoke/wagtailspoke/pkg/settings"
)

const callerKey = "wk-7Hq2.zR_9-example/key+0"

// newTestRedactor returns a redactor that knows the hash of callerKey.
func newTestRedactor() *Redactor {
	sum := sha256.Sum256([]byte(callerKey))
	hash := hex.EncodeToString(sum[:])
	redactor := &Redactor{}
	redactor.SetKeyLookup(func(sha256Hex string) bool { return sha256Hex == hash })
	return redactor
}

// testStringer is a log field value that implements fmt.Stringer.
type testStringer struct{ text string }

func (n testStringer) String() string { return n.text }

// logKeyEverywhere logs callerKey in messages, fields and errors of many forms
// and returns the log lines.
func logKeyEverywhere(redactor *Redactor) string {
	var out bytes.Buffer
	logger := NewLogger(&out, "debug", redactor)
	header := http.Header{"Authorization": {"Bearer " + callerKey}}
	stepError := NewStepError("dispatch", "engine-1", "header %q was refused", "Bearer "+callerKey)
	logger.Info("got key " + callerKey)
	logger.Infof("key=%s.", callerKey)
	logger.Infof("authorization: bearer  %s", callerKey)
	logger.WithField("header", header).Info("headers")
	logger.WithField("authorization", callerKey).Info("by name")
	logger.WithField("apiKey", 5).Info("by name")
	logger.WithField("body", []byte(`{"k":"`+callerKey+`"}`)).Info("bytes")
	logger.WithField("peer", testStringer{callerKey}).Info("stringer")
	logger.WithField("list", []string{"a", callerKey}).Info("list")
	logger.WithError(errors.New("bad key " + callerKey)).Error("error")
	WithError(logger, stepError).Error("step error")
	WithStep(logger, "admit", callerKey).Warn("peer field")
	return out.String()
}

// Guards against a caller's key in a log line (requirement R4): in a message, a
// field, an error or a structure.
func TestLogLinesContainNoKey(t *testing.T) {
	lines := logKeyEverywhere(newTestRedactor())
	assert.Assert(t, !strings.Contains(lines, callerKey), "%s", lines)
	assert.Assert(t, strings.Count(lines, Redacted) >= 12, "%s", lines)
	for line := range strings.Lines(lines) {
		assert.Assert(t, json.Valid([]byte(line)), "%s", line)
	}
}

// Shows that a logger without the redactor writes the key, so that the test
// above can fail. Also guards against an unpublished key that is logged in
// spite of its field name or authorization scheme.
func TestKeyIsLoggedWithoutRedactor(t *testing.T) {
	var out bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&out)
	logger.Info("got key " + callerKey)
	assert.Assert(t, strings.Contains(out.String(), callerKey))
	emptyRedactor := &Redactor{}
	out.Reset()
	NewLogger(&out, "info", emptyRedactor).WithField("authorization", callerKey).Info("by name")
	assert.Assert(t, !strings.Contains(out.String(), callerKey), out.String())
	assert.Equal(t, emptyRedactor.Redact("sent Bearer "+callerKey), "sent Bearer "+Redacted)
}

// Guards against a redactor that removes text which operators need.
func TestOrdinaryTextIsNotRedacted(t *testing.T) {
	const line = "dispatched request 018f-2b to engine-1 at 127.0.0.1:8000 with summaries@2"
	assert.Equal(t, newTestRedactor().Redact(line), line)
	var out bytes.Buffer
	logger := NewLogger(&out, "info", newTestRedactor())
	WithStep(logger, "dispatch", "engine-1").WithField("customer", "acme").Info("sent")
	var got map[string]any
	assert.NilError(t, json.Unmarshal(out.Bytes(), &got))
	assert.Equal(t, got[FieldStep], "dispatch")
	assert.Equal(t, got[FieldPeer], "engine-1")
	assert.Equal(t, got["customer"], "acme")
}

// Guards against errors that lose their cause, step or peer.
func TestStepErrorKeepsCauseStepAndPeer(t *testing.T) {
	cause := errors.New("connection refused")
	err := fmt.Errorf("outer: %w", WrapStepError("dispatch", "engine-1", cause))
	var step *StepError
	assert.Assert(t, errors.As(err, &step))
	assert.Equal(t, step.Step, Step("dispatch"))
	assert.Equal(t, step.Peer, "engine-1")
	assert.ErrorIs(t, err, cause)
	assert.Error(t, err, "outer: dispatch: connection refused (peer engine-1)")
	assert.NilError(t, WrapStepError("dispatch", "engine-1", nil))
	assert.Assert(t, len(StackTrace(err)) > 0)
}

// Guards against counts that differ between the daemon's counters and the burn
// report, which reads them over HTTP.
func TestScrapedWindowsGiveBurnReport(t *testing.T) {
	metrics := NewMetrics(func(err error) { t.Error(err) })
	start := time.Unix(1_700_000_000, 0)
	levels := NewServiceLevels(metrics.Scope, settings.Defaults().Objectives, start)
	for range 97 {
		levels.RecordRequest(ResultAnswered, "")
		levels.RecordFirstToken(1200 * time.Millisecond)
		levels.RecordTokenGap(37 * time.Millisecond)
	}
	for range 3 {
		levels.RecordRequest(ResultServiceError, "REASON_NO_ENDPOINT")
		levels.RecordRequest(ResultCallerError, "REASON_KEY_UNKNOWN")
		levels.RecordFirstToken(1201 * time.Millisecond)
		levels.RecordTokenGap(38 * time.Millisecond)
	}
	levels.Sample(start.Add(time.Minute))
	assert.NilError(t, metrics.Close())
	server := httptest.NewServer(metrics.Handler)
	defer server.Close()
	address, err := url.Parse(server.URL)
	assert.NilError(t, err)
	vm, err := ScrapeWindows(t.Context(), server.Client(), address.Host)
	assert.NilError(t, err)
	report := burn.Compute([]burn.VM{vm})
	for _, objective := range report.Objectives {
		for _, window := range objective.Windows {
			assert.DeepEqual(t, window.Count, burn.Count{Events: 100, Bad: 3})
			assert.Equal(t, window.CoveredSeconds, 60.0)
		}
	}
	rate := report.Objectives[0].Windows[0].BurnRate
	assert.Assert(t, rate > 29.9 && rate < 30.1, "rate %v", rate)
	assert.Equal(t, report.Objectives[0].Alert, burn.AlertPage)
}

// Guards against a report that takes a server which is not a VM for a VM
// without errors.
func TestScrapeOfAnotherServerFails(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	_, err := ScrapeWindows(t.Context(), server.Client(), strings.TrimPrefix(server.URL, "http://"))
	assert.ErrorContains(t, err, "404")
}
