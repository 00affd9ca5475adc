package callers

import (
	"context"
	"net/http"
	"strings"

	"connectrpc.com/connect"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/inferencev1"
)

// inferenceHandler implements InferenceService on top of the backend.
type inferenceHandler struct {
	backend Backend
}

// Generate implements the unary method of InferenceService.
func (s *inferenceHandler) Generate(ctx context.Context, request *connect.Request[inferencev1.GenerateRequest]) (*connect.Response[inferencev1.GenerateResponse], error) {
	done, refusal := s.backend.BeginRequest()
	if refusal != nil {
		return nil, refusal.connectError()
	}
	defer done()
	generationRequest, refusal := s.parseRequest(request.Msg, request.Header(), request.Spec().Procedure)
	if refusal != nil {
		return nil, refusal.connectError()
	}
	result, refusal := s.backend.Generate(ctx, generationRequest, nil)
	if refusal != nil {
		refusal.RequestID = generationRequest.RequestID
		return nil, refusal.connectError()
	}
	return connect.NewResponse(&inferencev1.GenerateResponse{
		RequestId:    string(generationRequest.RequestID),
		Adapter:      string(result.Model.Adapter),
		Version:      uint64(result.Model.Version),
		Text:         result.Text,
		FinishReason: result.FinishReason,
		Usage:        newUsage(result),
	}), nil
}

// GenerateStream implements the streaming method of InferenceService. Its last
// message holds the finish reason and the usage.
func (s *inferenceHandler) GenerateStream(ctx context.Context, request *connect.Request[inferencev1.GenerateRequest], stream *connect.ServerStream[inferencev1.GenerateStreamResponse]) error {
	done, refusal := s.backend.BeginRequest()
	if refusal != nil {
		return refusal.connectError()
	}
	defer done()
	generationRequest, refusal := s.parseRequest(request.Msg, request.Header(), request.Spec().Procedure)
	if refusal != nil {
		return refusal.connectError()
	}
	result, refusal := s.backend.Generate(ctx, generationRequest, func(token Token) error {
		message := newStreamMessage(generationRequest.RequestID, token.Model)
		message.Text = token.Text
		message.Offset = token.Offset
		return stream.Send(message)
	})
	if refusal != nil {
		refusal.RequestID = generationRequest.RequestID
		return refusal.connectError()
	}
	message := newStreamMessage(generationRequest.RequestID, result.Model)
	message.Offset = result.Usage.CompletionTokens
	message.Final = &inferencev1.StreamEnd{FinishReason: result.FinishReason, Usage: newUsage(result)}
	return stream.Send(message)
}

func newStreamMessage(id ids.RequestID, model ids.AdapterRef) *inferencev1.GenerateStreamResponse {
	return &inferencev1.GenerateStreamResponse{
		RequestId: string(id),
		Adapter:   string(model.Adapter),
		Version:   uint64(model.Version),
	}
}

func newUsage(result GenerationResult) *inferencev1.Usage {
	return &inferencev1.Usage{
		PromptTokens:     result.Usage.PromptTokens,
		CompletionTokens: result.Usage.CompletionTokens,
	}
}

// parseRequest checks the form and the key of a request and converts it. A
// refusal carries the request id, unless the id contains the key.
func (s *inferenceHandler) parseRequest(message *inferencev1.GenerateRequest, header http.Header, procedure string) (GenerationRequest, *Refusal) {
	if isMalformed(message) {
		return GenerationRequest{}, NotRun(inferencev1.Reason_REASON_MALFORMED, "body is not a valid GenerateRequest")
	}
	id, refusal := requestID(message.GetRequestId())
	if refusal != nil {
		return GenerationRequest{}, refusal
	}
	_, route, known := s.backend.Route(procedure)
	identity, key, refusal := authenticate(s.backend, header, known && route.Open)
	if refusal == nil {
		refusal = checkRequest(message, key)
	}
	if refusal != nil {
		if key == "" || !strings.Contains(string(id), key) {
			refusal.RequestID = id
		}
		return GenerationRequest{}, refusal
	}
	return GenerationRequest{
		RequestID: id,
		Identity:  identity,
		Adapter:   ids.AdapterID(message.GetAdapter()),
		Version:   ids.AdapterVersion(message.GetVersion()),
		Prompt:    message.GetPrompt(),
		MaxTokens: message.GetMaxTokens(),
		Priority:  message.GetPriority(),
	}, nil
}

func checkRequest(message *inferencev1.GenerateRequest, key string) *Refusal {
	if message.GetAdapter() == "" {
		return NotRun(inferencev1.Reason_REASON_MALFORMED, "adapter is missing")
	}
	if message.GetMaxTokens() == 0 {
		return NotRun(inferencev1.Reason_REASON_MALFORMED, "max_tokens is missing; it bounds the charge")
	}
	if key != "" && (strings.Contains(message.GetPrompt(), key) || strings.Contains(message.GetRequestId(), key)) {
		return NotRun(inferencev1.Reason_REASON_MALFORMED, "the prompt or request id contains the caller's key, which endpoints must not see")
	}
	return nil
}
