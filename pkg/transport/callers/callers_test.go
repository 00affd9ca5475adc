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
	testKey      = "wsk-secret-of-ember"
	generatePath = "/wagtailspoke.v1.InferenceService/Generate"
)

// fakeBackend accepts every key, records the calls to services and responds to
// each with a fixed start of the body and the given rest.
type fakeBackend struct {
	received []ServiceRequest
	bodyRest BodyStream
}

func (b *fakeBackend) BeginRequest() (func(), *Refusal) { return func() {}, nil }

func (b *fakeBackend) Authenticate(KeyHash) (ids.CustomerID, inferencev1.Reason) {
	return "ember", inferencev1.Reason_REASON_UNSPECIFIED
}

func (b *fakeBackend) Route(path string) (ids.RouteID, *records.Route, bool) {
	route := &records.Route{Kind: records.EndpointService, Service: "orders", TimeoutMillis: 1000}
	return "orders", route, strings.HasPrefix(path, "/orders")
}

func (b *fakeBackend) Generate(context.Context, GenerationRequest, func(Token) error) (GenerationResult, *Refusal) {
	return GenerationResult{}, nil
}

func (b *fakeBackend) CallService(_ context.Context, request ServiceRequest) (ServiceResponse, *Refusal) {
	b.received = append(b.received, request)
	return ServiceResponse{Status: http.StatusOK, Header: http.Header{"Content-Length": {"9"}}, BodyStart: []byte("start"), BodyRest: b.bodyRest}, nil
}

func (b *fakeBackend) ViewAge() time.Duration { return time.Second }

func startServer(t *testing.T, b *fakeBackend) string {
	t.Helper()
	server := httptest.NewServer(NewHandler(b, Limits{MaxBodyBytes: 1 << 10, RequestTimeout: time.Second}))
	t.Cleanup(server.Close)
	return server.URL
}

func post(t *testing.T, url, body string, header http.Header) (*http.Response, string, error) {
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

// Guards against errors without a RequestOutcome, which connect-go generates
// when it rejects a request before the handler runs.
func TestErrorsCarryRequestOutcome(t *testing.T) {
	url := startServer(t, &fakeBackend{}) + generatePath
	for _, test := range []struct {
		name, body, header, value string
		reason                    inferencev1.Reason
	}{
		{"malformed", "{", "", "", inferencev1.Reason_REASON_MALFORMED},
		{"large", `{"prompt":"` + strings.Repeat("x", 2<<10) + `"}`, "", "", inferencev1.Reason_REASON_BODY_TOO_LARGE},
		{"compressed", "{}", "Content-Encoding", "gzip", inferencev1.Reason_REASON_MALFORMED},
		{"timeout", "{}", headerConnectTimeout, "soon", inferencev1.Reason_REASON_MALFORMED},
		{"no key", `{"adapter":"a","maxTokens":1}`, "", "", inferencev1.Reason_REASON_KEY_MISSING},
	} {
		t.Run(test.name, func(t *testing.T) {
			header := http.Header{"Content-Type": {"application/json"}}
			if test.header != "" {
				header.Set(test.header, test.value)
			}
			_, body, err := post(t, url, test.body, header)
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

// Guards against forwarding a caller's key or connection headers to an
// endpoint.
func TestPassThroughRemovesKeyAndHopByHopHeaders(t *testing.T) {
	b := &fakeBackend{}
	url := startServer(t, b) + "/orders/1"
	header := http.Header{
		headerAuthorization: {bearerPrefix + testKey},
		"X-Copy":            {"of " + testKey},
		"Connection":        {"X-Hop"},
		"X-Hop":             {"1"},
		"X-Kept":            {"1"},
	}
	response, _, err := post(t, url, "tea", header)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	forwarded := b.received[0].Header
	assert.Equal(t, forwarded.Get("X-Kept"), "1")
	for _, name := range []string{headerAuthorization, "X-Copy", "Connection", "X-Hop"} {
		assert.Equal(t, forwarded.Get(name), "", name)
	}
	for _, leak := range []struct{ url, body, id string }{
		{url + "?k=" + testKey, "tea", ""}, {url, "my key is " + testKey, ""}, {url, "tea", testKey},
	} {
		header := http.Header{headerAuthorization: {bearerPrefix + testKey}}
		if leak.id != "" {
			header.Set(HeaderRequestID, leak.id)
		}
		response, _, err := post(t, leak.url, leak.body, header)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusBadRequest)
		assert.Equal(t, response.Header.Get(HeaderOutcome), "NOT_RUN")
		assert.Equal(t, strings.Contains(response.Header.Get(HeaderRequestID), testKey), false)
	}
	assert.Equal(t, len(b.received), 1)
}

// failingBody is the rest of a response body whose read fails.
type failingBody struct{}

func (failingBody) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
func (failingBody) Close()                   {}

// Guards against a truncated response of a plain HTTP service that the caller
// takes for a complete one.
func TestTruncatedResponseAbortsConnection(t *testing.T) {
	url := startServer(t, &fakeBackend{bodyRest: failingBody{}}) + "/orders/1"
	_, _, err := post(t, url, "tea", http.Header{headerAuthorization: {bearerPrefix + testKey}})
	assert.Assert(t, err != nil)
}
