package callers

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/inferencev1"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
)

const (
	testKey  = "wsk-secret-of-ember"
	generate = "/wagtailspoke.v1.InferenceService/Generate"
)

// backend accepts every key and answers calls with what it got.
type backend struct {
	calls []Call
	rest  BodyRest
}

func (b *backend) Enter() (func(), *Refusal) { return func() {}, nil }

func (b *backend) Authenticate(KeyHash) (ids.CustomerID, inferencev1.Reason) {
	return "ember", inferencev1.Reason_REASON_UNSPECIFIED
}

func (b *backend) Route(path string) (ids.RouteID, *records.Route, bool) {
	route := &records.Route{Kind: records.EndpointService, Service: "orders", TimeoutMillis: 1000}
	return "orders", route, strings.HasPrefix(path, "/orders")
}

func (b *backend) Generate(context.Context, Generation, func(Token) error) (Generated, *Refusal) {
	return Generated{}, nil
}

func (b *backend) Call(_ context.Context, call Call) (CallAnswer, *Refusal) {
	b.calls = append(b.calls, call)
	return CallAnswer{Status: http.StatusOK, Header: http.Header{"Content-Length": {"9"}}, Start: []byte("start"), Rest: b.rest}, nil
}

func (b *backend) ViewAge() time.Duration { return time.Second }

func serve(t *testing.T, b *backend) string {
	t.Helper()
	server := httptest.NewServer(NewHandler(b, Bounds{BodyBytes: 1 << 10, Request: time.Second}))
	t.Cleanup(server.Close)
	return server.URL
}

func send(t *testing.T, url, body string, header http.Header) (*http.Response, string, error) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	assert.NilError(t, err)
	request.Header = header
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return response, string(answer), err
}

// Guards against refusals that connect-go makes itself and that would lack
// the outcome.
func TestEveryErrorHasAnOutcome(t *testing.T) {
	url := serve(t, &backend{}) + generate
	for _, test := range []struct {
		name, body, header, value string
		reason                    inferencev1.Reason
	}{
		{"malformed", "{", "", "", inferencev1.Reason_REASON_MALFORMED},
		{"large", `{"prompt":"` + strings.Repeat("x", 2<<10) + `"}`, "", "", inferencev1.Reason_REASON_BODY_TOO_LARGE},
		{"compressed", "{}", "Content-Encoding", "gzip", inferencev1.Reason_REASON_MALFORMED},
		{"timeout", "{}", headerTimeout, "soon", inferencev1.Reason_REASON_MALFORMED},
		{"no key", `{"adapter":"a","maxTokens":1}`, "", "", inferencev1.Reason_REASON_KEY_MISSING},
	} {
		t.Run(test.name, func(t *testing.T) {
			header := http.Header{"Content-Type": {"application/json"}}
			if test.header != "" {
				header.Set(test.header, test.value)
			}
			_, body, err := send(t, url, test.body, header)
			assert.NilError(t, err)
			var decoded struct {
				Details []struct{ Value string }
			}
			assert.NilError(t, json.Unmarshal([]byte(body), &decoded), body)
			assert.Equal(t, len(decoded.Details), 1, body)
			raw, err := base64.RawStdEncoding.DecodeString(decoded.Details[0].Value)
			assert.NilError(t, err)
			var outcome inferencev1.RequestOutcome
			assert.NilError(t, proto.Unmarshal(raw, &outcome))
			assert.Equal(t, outcome.GetReason(), test.reason)
			assert.Equal(t, outcome.GetOutcome(), inferencev1.Outcome_OUTCOME_NOT_RUN)
		})
	}
}

// Guards against a caller's key or connection headers reaching an endpoint.
func TestPassThroughDropsKeyAndHopHeaders(t *testing.T) {
	b := &backend{}
	url := serve(t, b) + "/orders/1"
	header := http.Header{
		headerAuthorization: {bearerPrefix + testKey},
		"X-Copy":            {"of " + testKey},
		"Connection":        {"X-Hop"},
		"X-Hop":             {"1"},
		"X-Kept":            {"1"},
	}
	response, _, err := send(t, url, "tea", header)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	got := b.calls[0].Header
	assert.Equal(t, got.Get("X-Kept"), "1")
	for _, name := range []string{headerAuthorization, "X-Copy", "Connection", "X-Hop"} {
		assert.Equal(t, got.Get(name), "", name)
	}
	for _, leak := range []struct{ url, body, id string }{
		{url + "?k=" + testKey, "tea", ""}, {url, "my key is " + testKey, ""}, {url, "tea", testKey},
	} {
		header := http.Header{headerAuthorization: {bearerPrefix + testKey}}
		if leak.id != "" {
			header.Set(HeaderRequestID, leak.id)
		}
		response, _, err := send(t, leak.url, leak.body, header)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusBadRequest)
		assert.Equal(t, response.Header.Get(HeaderOutcome), "NOT_RUN")
		assert.Equal(t, strings.Contains(response.Header.Get(HeaderRequestID), testKey), false)
	}
	assert.Equal(t, len(b.calls), 1)
}

// brokenRest fails before the whole answer was read.
type brokenRest struct{}

func (brokenRest) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
func (brokenRest) Close()                   {}

// Guards against a cut answer of a plain service that looks whole.
func TestCutAnswerIsVisible(t *testing.T) {
	url := serve(t, &backend{rest: brokenRest{}}) + "/orders/1"
	_, _, err := send(t, url, "tea", http.Header{headerAuthorization: {bearerPrefix + testKey}})
	assert.Assert(t, err != nil)
}
