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

// Completion is one generation request.
type Completion struct {
	// Attempt names this attempt of the request; no other attempt on any VM
	// has the same name. The engine's answer carries it.
	Attempt   ids.RequestID
	Model     ids.AdapterRef
	Prompt    string
	MaxTokens uint32
	Priority  int32
	Gate      Gate
}

// Answer is a whole completion.
type Answer struct {
	Text         string
	FinishReason string
	Usage        engineapi.Usage
}

// Complete runs one completion. It always asks the engine for a stream, so
// that the wait for the first byte is a wait for the first token and not for
// the whole answer. token is called for each piece of text, with the number
// of pieces before it; an error from it ends the request.
func (c *Client) Complete(ctx context.Context, endpoint Endpoint, completion Completion, token func(text string, offset uint32) error) (Answer, *Failure) {
	call := c.start(ctx, endpoint, "complete", c.config.FirstByte)
	body, err := json.Marshal(engineapi.CompletionRequest{
		Model:         completion.Model.String(),
		Prompt:        completion.Prompt,
		MaxTokens:     completion.MaxTokens,
		Stream:        true,
		Priority:      completion.Priority,
		StreamOptions: &engineapi.StreamOptions{IncludeUsage: true},
	})
	if err != nil {
		call.end()
		return Answer{}, call.fail(CauseGate, err)
	}
	header := jsonHeader()
	header.Set("Accept", "text/event-stream")
	header.Set(engineapi.HeaderRequestID, string(completion.Attempt))
	response, failure := call.send(transmission{
		method:     http.MethodPost,
		target:     engineapi.PathCompletions,
		header:     header,
		body:       body,
		gate:       completion.Gate,
		repeatable: true,
	})
	if failure != nil {
		call.end()
		return Answer{}, failure
	}
	if response.StatusCode != http.StatusOK {
		return Answer{}, call.refused(response)
	}
	stream := completionStream{call: call, completion: completion, token: token}
	answer, failure := stream.read(response.Body)
	if failure != nil {
		_ = response.Body.Close()
		call.end()
		return answer, failure
	}
	call.finish(response.Body)
	return answer, nil
}

// completionStream collects the events of one answer.
type completionStream struct {
	call       *call
	completion Completion
	token      func(string, uint32) error

	text    strings.Builder
	offset  uint32
	answer  Answer
	whole   bool
	noUsage bool
}

var (
	errCut      = errors.New("stream ended before its last event")
	errMismatch = errors.New("answer belongs to another request")
)

func (s *completionStream) read(body io.Reader) (Answer, *Failure) {
	s.noUsage = true
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			return Answer{}, s.call.transportFailure(err)
		}
		if event.Data == engineapi.StreamDone {
			s.whole = true
			break
		}
		if failure := s.event(event.Data); failure != nil {
			return Answer{}, failure
		}
	}
	if err := s.check(); err != nil {
		return Answer{}, s.call.fail(CauseLost, err)
	}
	s.answer.Text = s.text.String()
	return s.answer, nil
}

// check tells whether the whole answer arrived.
func (s *completionStream) check() error {
	if !s.call.client.rules.wholeStreams {
		return nil
	}
	if !s.whole || s.answer.FinishReason == "" || s.noUsage {
		return errCut
	}
	return nil
}

func (s *completionStream) event(data string) *Failure {
	var part engineapi.Completion
	if err := json.Unmarshal([]byte(data), &part); err != nil {
		return s.call.fail(CauseLost, fmt.Errorf("decode event: %w", err))
	}
	if err := s.match(part); err != nil {
		return s.call.fail(CauseMismatch, err)
	}
	if part.Usage != nil {
		s.answer.Usage = *part.Usage
		s.noUsage = false
	}
	for _, choice := range part.Choices {
		if choice.FinishReason != nil {
			s.answer.FinishReason = *choice.FinishReason
		}
		if choice.Text == "" {
			continue
		}
		if err := s.token(choice.Text, s.offset); err != nil {
			return s.call.fail(CauseEnded, err)
		}
		s.text.WriteString(choice.Text)
		s.offset++
	}
	return nil
}

// match compares the answer with the request. The id is made per attempt, so
// an answer to an earlier attempt does not match either.
func (s *completionStream) match(part engineapi.Completion) error {
	if !s.call.client.rules.matchAnswers {
		return nil
	}
	if part.Model != s.completion.Model.String() {
		return fmt.Errorf("%w: model %q, want %q", errMismatch, part.Model, s.completion.Model)
	}
	if want := engineapi.CompletionIDPrefix + string(s.completion.Attempt); part.ID != want {
		return fmt.Errorf("%w: id %q, want %q", errMismatch, part.ID, want)
	}
	return nil
}

func jsonHeader() http.Header {
	return http.Header{"Content-Type": {"application/json"}}
}

// refused reads an answer that is not 2xx and ends the call.
func (c *call) refused(response *http.Response) *Failure {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
	message, kind := errorMessage(text)
	failure := c.fail(CauseStatus, errors.New(message))
	failure.Status = response.StatusCode
	failure.Type = kind
	failure.NotRun = provesNotRun(response)
	c.finish(response.Body)
	return failure
}

func provesNotRun(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(engineapi.HeaderNotRun) == "true"
}

func errorMessage(body []byte) (string, engineapi.ErrorType) {
	var decoded engineapi.ErrorBody
	if json.Unmarshal(body, &decoded) == nil && decoded.Error.Message != "" {
		return fmt.Sprintf("%s: %s", decoded.Error.Type, decoded.Error.Message), decoded.Error.Type
	}
	return fmt.Sprintf("answer of %d bytes without an error message", len(body)), ""
}
