package service_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/internal/standin/service"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/engineapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

func call(t *testing.T, s *service.Service, id string) (*http.Response, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL()+"/orders", strings.NewReader("one table"))
	assert.NilError(t, err)
	request.Header.Set(engineapi.HeaderRequestID, id)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return client.Do(request)
}

// Guards against a call that ran without being recorded, and against recording
// a call that did not run.
func TestRecordsEachRun(t *testing.T) {
	s, err := service.Start(t.Context(), service.Config{Name: "booking"})
	assert.NilError(t, err)
	response, err := call(t, s, "r1")
	assert.NilError(t, err)
	var answer service.Answer
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&answer))
	response.Body.Close()
	assert.Equal(t, answer.RequestID, ids.RequestID("r1"))
	assert.Equal(t, answer.Body, "one table")

	s.SetFaults(service.Faults{Refuse: true})
	response, err = call(t, s, "r2")
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, response.Header.Get(engineapi.HeaderNotRun), "true")
	assert.Equal(t, len(s.Runs()), 1)

	s.SetFaults(service.Faults{DieAfterRun: true})
	_, err = call(t, s, "r3")
	assert.Assert(t, err != nil)
	assert.Equal(t, len(s.Runs()), 2)
	assert.Equal(t, s.Runs()[1].RequestID, ids.RequestID("r3"))
}
