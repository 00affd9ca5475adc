package engines

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	sse "github.com/tmaxmax/go-sse"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/engineapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// CompletionRequest is a request to generate text with one adapter version.
type CompletionRequest struct {
	// AttemptID identifies this attempt of the request uniquely among all VMs.
	// The engine's response repeats it.
	AttemptID ids.RequestID
	Model     ids.AdapterRef
	Prompt    string
	MaxTokens uint32
	Priority  int32
	// PreSendCheck may be nil.
	PreSendCheck PreSendCheck
}

// CompletionResult is a completely received completion.
type CompletionResult struct {
	Text         string
	FinishReason string
	Usage        engineapi.Usage
}

// Complete runs one completion. It always requests a stream, so that the
// timeout for the first byte covers the wait for the first token and not for
// the whole response. onToken is called for each piece of text with the number
// of pieces before it; if it returns an error, the request ends.
func (c *Client) Complete(ctx context.Context, endpoint Endpoint, request CompletionRequest, onToken func(text string, offset uint32) error) (CompletionResult, *Failure) {
	call := c.newCall(ctx, endpoint, "complete", c.config.FirstByteTimeout)
	body, err := json.Marshal(engineapi.CompletionRequest{
		Model:         request.Model.String(),
		Prompt:        request.Prompt,
		MaxTokens:     request.MaxTokens,
		Stream:        true,
		Priority:      request.Priority,
		StreamOptions: &engineapi.StreamOptions{IncludeUsage: true},
	})
	if err != nil {
		call.release()
		return CompletionResult{}, call.newFailure(CausePreSendCheck, err)
	}
	header := jsonHeader()
	header.Set("Accept", "text/event-stream")
	header.Set(engineapi.HeaderRequestID, string(request.AttemptID))
	response, failure := call.send(requestSpec{
		method:       http.MethodPost,
		target:       engineapi.PathCompletions,
		header:       header,
		body:         body,
		preSendCheck: request.PreSendCheck,
		repeatable:   true,
	})
	if failure != nil {
		call.release()
		return CompletionResult{}, failure
	}
	if response.StatusCode != http.StatusOK {
		return CompletionResult{}, call.statusFailure(response)
	}
	stream := completionStream{call: call, request: request, onToken: onToken}
	result, failure := stream.read(response.Body)
	if failure != nil {
		_ = response.Body.Close()
		call.release()
		return result, failure
	}
	call.drainAndRelease(response.Body)
	return result, nil
}

// completionStream collects the server-sent events of one completion.
type completionStream struct {
	call    *call
	request CompletionRequest
	onToken func(string, uint32) error

	text         strings.Builder
	offset       uint32
	result       CompletionResult
	receivedDone bool
	usageMissing bool
}

var (
	errIncompleteStream = errors.New("stream ended before its last event")
	errMismatch         = errors.New("answer belongs to another request")
)

func (s *completionStream) read(body io.Reader) (CompletionResult, *Failure) {
	s.usageMissing = true
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			return CompletionResult{}, s.call.transportFailure(err)
		}
		if event.Data == engineapi.StreamDone {
			s.receivedDone = true
			break
		}
		if failure := s.handleEvent(event.Data); failure != nil {
			return CompletionResult{}, failure
		}
	}
	if err := s.checkComplete(); err != nil {
		return CompletionResult{}, s.call.newFailure(CauseConnectionLost, err)
	}
	s.result.Text = s.text.String()
	return s.result, nil
}

// checkComplete returns an error if the stream lacks its last event, the finish
// reason or the usage.
func (s *completionStream) checkComplete() error {
	if !s.call.client.rules.requireCompleteStreams {
		return nil
	}
	if !s.receivedDone || s.result.FinishReason == "" || s.usageMissing {
		return errIncompleteStream
	}
	return nil
}

// handleEvent adds the data of one event to the result and passes its text on.
func (s *completionStream) handleEvent(data string) *Failure {
	var chunk engineapi.Completion
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return s.call.newFailure(CauseConnectionLost, fmt.Errorf("decode event: %w", err))
	}
	if err := s.checkMatch(chunk); err != nil {
		return s.call.newFailure(CauseResponseMismatch, err)
	}
	if chunk.Usage != nil {
		s.result.Usage = *chunk.Usage
		s.usageMissing = false
	}
	for _, choice := range chunk.Choices {
		if choice.FinishReason != nil {
			s.result.FinishReason = *choice.FinishReason
		}
		if choice.Text == "" {
			continue
		}
		if err := s.onToken(choice.Text, s.offset); err != nil {
			return s.call.newFailure(CauseCallerEnded, err)
		}
		s.text.WriteString(choice.Text)
		s.offset++
	}
	return nil
}

// checkMatch returns an error if the model or id of an event differs from the
// request's. Each attempt has its own id, so a response to an earlier attempt
// is detected too.
func (s *completionStream) checkMatch(chunk engineapi.Completion) error {
	if !s.call.client.rules.matchResponses {
		return nil
	}
	if chunk.Model != s.request.Model.String() {
		return fmt.Errorf("%w: model %q, want %q", errMismatch, chunk.Model, s.request.Model)
	}
	if want := engineapi.CompletionIDPrefix + string(s.request.AttemptID); chunk.ID != want {
		return fmt.Errorf("%w: id %q, want %q", errMismatch, chunk.ID, want)
	}
	return nil
}

func jsonHeader() http.Header {
	return http.Header{"Content-Type": {"application/json"}}
}

// statusFailure reads an error response, releases the call and returns its
// failure.
func (c *call) statusFailure(response *http.Response) *Failure {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBodyBytes))
	message, errorType := parseErrorBody(text)
	failure := c.newFailure(CauseErrorStatus, errors.New(message))
	if validStatus(response.StatusCode) {
		failure.Status, failure.ErrorType = response.StatusCode, errorType
	} else {
		failure = c.newFailure(CauseConnectionLost, fmt.Errorf("%w: %d", errInvalidStatus, response.StatusCode))
	}
	failure.NotRun = provesNotRun(response)
	c.drainAndRelease(response.Body)
	return failure
}

var errInvalidStatus = errors.New("invalid status")

// maxStatus is the highest status that HTTP allows.
const maxStatus = 599

// validStatus reports whether HTTP allows a status for a final response. Any other comes
// from an endpoint in trouble and says nothing about the request.
func validStatus(status int) bool {
	return status >= http.StatusOK && status <= maxStatus
}

// provesNotRun reports whether the endpoint states in its response that it did
// not run the request.
func provesNotRun(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(engineapi.HeaderNotRun) == "true"
}

// parseErrorBody returns the message and the type of an engine's error, or a
// substitute message and no type if the body holds none.
func parseErrorBody(body []byte) (string, engineapi.ErrorType) {
	var decoded engineapi.ErrorBody
	if json.Unmarshal(body, &decoded) == nil && decoded.Error.Message != "" {
		return fmt.Sprintf("%s: %s", decoded.Error.Type, decoded.Error.Message), decoded.Error.Type
	}
	return fmt.Sprintf("answer of %d bytes without an error message", len(body)), ""
}
