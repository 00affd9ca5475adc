// Package engineapi defines the HTTP paths, headers and bodies of model
// engines: OpenAI completions, vLLM's calls to load and unload adapters, and
// the load report that both engines and plain services serve.
package engineapi

import "github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"

// Paths of an engine. Plain services serve only PathHealth and PathLoad of
// these.
const (
	PathCompletions   = "/v1/completions"
	PathLoadAdapter   = "/v1/load_lora_adapter"
	PathUnloadAdapter = "/v1/unload_lora_adapter"
	PathModels        = "/v1/models"
	PathHealth        = "/health"
	PathLoad          = "/load"
)

// Headers of requests and responses.
const (
	// HeaderRequestID carries the request id. The id of the completion is
	// CompletionIDPrefix followed by the request id.
	HeaderRequestID = "X-Request-Id"
	// HeaderFencingToken carries the fencing token of an order to load or
	// unload an adapter.
	HeaderFencingToken = "Fencing-Token"
	// HeaderNotRun is "true" on a 503 response if the endpoint guarantees that
	// it did not run the request, so that it is safe to send it elsewhere.
	HeaderNotRun = "Not-Run"
)

// CompletionIDPrefix precedes the request id in the id of a completion.
const CompletionIDPrefix = "cmpl-"

// StreamDone is the data of the last server-sent event of a complete stream.
const StreamDone = "[DONE]"

// CompletionRequest is the body of POST /v1/completions.
type CompletionRequest struct {
	// Model is the adapter version in the form of ids.AdapterRef.String.
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens uint32 `json:"max_tokens,omitempty"`
	Stream    bool   `json:"stream,omitempty"`
	// Priority orders waiting requests; those with lower values run first.
	Priority      int32          `json:"priority,omitempty"`
	StreamOptions *StreamOptions `json:"stream_options,omitempty"`
}

// StreamOptions requests the token usage in the last event of a stream.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Completion is the response to a request that does not stream, and the data of
// each event of a stream.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	// Usage is set in the response to a request that does not stream, and in
	// the last event of a stream if StreamOptions asked for it.
	Usage *Usage `json:"usage,omitempty"`
}

// ObjectCompletion is the value of Completion.Object.
const ObjectCompletion = "text_completion"

// Choice holds the generated text; in a stream, the text since the previous
// event.
type Choice struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
	// FinishReason is null in all events of a stream before the last choice.
	FinishReason *string `json:"finish_reason"`
}

// The values of Choice.FinishReason.
const (
	// FinishLength says that MaxTokens was reached.
	FinishLength = "length"
	// FinishStop says that the model ended the text.
	FinishStop = "stop"
)

// Usage counts the tokens of one request.
type Usage struct {
	PromptTokens     uint32 `json:"prompt_tokens"`
	CompletionTokens uint32 `json:"completion_tokens"`
	TotalTokens      uint32 `json:"total_tokens"`
}

// LoadAdapterRequest is the body of POST /v1/load_lora_adapter. The engine
// responds once the adapter is resident.
type LoadAdapterRequest struct {
	LoraName string `json:"lora_name"`
	LoraPath string `json:"lora_path"`
}

// UnloadAdapterRequest is the body of POST /v1/unload_lora_adapter.
type UnloadAdapterRequest struct {
	LoraName string `json:"lora_name"`
}

// Models is the response to GET /v1/models.
type Models struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// Model is a base model or adapter version that the engine can run now.
type Model struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	// Parent is the base model of an adapter; empty for a base model.
	Parent string `json:"parent,omitempty"`
}

// ErrorBody is the body of a response whose status is not 2xx.
type ErrorBody struct {
	Error Error `json:"error"`
}

// Error describes why the engine did not do what was asked.
type Error struct {
	Message string    `json:"message"`
	Type    ErrorType `json:"type"`
	Code    int       `json:"code"`
}

// ErrorType classifies an Error.
type ErrorType string

// The error types.
const (
	ErrorInvalid       ErrorType = "BadRequestError"
	ErrorNotFound      ErrorType = "NotFoundError"
	ErrorAlreadyLoaded ErrorType = "AlreadyLoadedError"
	ErrorSlotsFull     ErrorType = "SlotsFullError"
	ErrorLoadFailed    ErrorType = "LoadFailedError"
	ErrorFenced        ErrorType = "FencedError"
	ErrorOverloaded    ErrorType = "OverloadedError"
	ErrorRestarting    ErrorType = "RestartingError"
)

// LoadReport is the response to GET /load. It may be out of date when it
// arrives. Sequence orders the reports of one boot id.
type LoadReport struct {
	BootID   ids.BootID `json:"bootId"`
	Sequence uint64     `json:"sequence"`
	Running  int        `json:"running"`
	Waiting  int        `json:"waiting"`
	// Resident lists the adapter versions that the engine can run now. Plain
	// services omit it.
	Resident []ResidentAdapter `json:"resident,omitempty"`
}

// ResidentAdapter is an adapter version that occupies one of an engine's slots.
type ResidentAdapter struct {
	// Model is the adapter version in the form of ids.AdapterRef.String.
	Model string `json:"model"`
	// Running counts the requests for the adapter version that run or wait in
	// the engine.
	Running int `json:"running"`
}
