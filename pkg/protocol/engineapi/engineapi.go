// Package engineapi defines the HTTP bodies of model engines: OpenAI
// completions with adapter orders as vLLM serves them, and the load report
// that engines and plain services give.
package engineapi

import "github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"

// Paths of an engine. Plain services serve PathHealth and PathLoad too.
const (
	PathCompletions   = "/v1/completions"
	PathLoadAdapter   = "/v1/load_lora_adapter"
	PathUnloadAdapter = "/v1/unload_lora_adapter"
	PathModels        = "/v1/models"
	PathHealth        = "/health"
	PathLoad          = "/load"
)

// Headers of requests and answers.
const (
	// HeaderRequestID carries the request id. The answer's id is
	// CompletionIDPrefix followed by it.
	HeaderRequestID = "X-Request-Id"
	// HeaderFencingToken carries the fencing token of an adapter order.
	HeaderFencingToken = "Fencing-Token"
	// HeaderNotRun is "true" on a 503 answer that proves that the request did
	// not run.
	HeaderNotRun = "Not-Run"
)

// CompletionIDPrefix stands before the request id in the id of a completion.
const CompletionIDPrefix = "cmpl-"

// StreamDone is the data of the server-sent event that ends a whole stream.
const StreamDone = "[DONE]"

// CompletionRequest is the body of POST /v1/completions.
type CompletionRequest struct {
	// Model is the adapter version as written by ids.AdapterRef.String.
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens uint32 `json:"max_tokens,omitempty"`
	Stream    bool   `json:"stream,omitempty"`
	// Priority orders waiting requests; lower values run earlier.
	Priority      int32          `json:"priority,omitempty"`
	StreamOptions *StreamOptions `json:"stream_options,omitempty"`
}

// StreamOptions asks for the usage in the last event of a stream.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Completion is the answer to a unary request, and the data of each event of
// a stream.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	// Usage is set in a unary answer and in the last event of a stream whose
	// request asked for it.
	Usage *Usage `json:"usage,omitempty"`
}

// ObjectCompletion is the object field of a Completion.
const ObjectCompletion = "text_completion"

// Choice is the generated text, or the text since the event before.
type Choice struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
	// FinishReason is null until the last choice.
	FinishReason *string `json:"finish_reason"`
}

// The finish reasons.
const (
	FinishLength = "length"
	FinishStop   = "stop"
)

// Usage counts the tokens of one request.
type Usage struct {
	PromptTokens     uint32 `json:"prompt_tokens"`
	CompletionTokens uint32 `json:"completion_tokens"`
	TotalTokens      uint32 `json:"total_tokens"`
}

// LoadAdapterRequest is the body of POST /v1/load_lora_adapter. The answer
// comes when the adapter is resident.
type LoadAdapterRequest struct {
	LoraName string `json:"lora_name"`
	LoraPath string `json:"lora_path"`
}

// UnloadAdapterRequest is the body of POST /v1/unload_lora_adapter.
type UnloadAdapterRequest struct {
	LoraName string `json:"lora_name"`
}

// Models is the answer to GET /v1/models.
type Models struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// Model is one model that the engine can run now.
type Model struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	// Parent is the base model of an adapter.
	Parent string `json:"parent,omitempty"`
}

// ErrorBody is the body of an answer that is not 2xx.
type ErrorBody struct {
	Error Error `json:"error"`
}

// Error tells what was wrong.
type Error struct {
	Message string    `json:"message"`
	Type    ErrorType `json:"type"`
	Code    int       `json:"code"`
}

// ErrorType names a cause.
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

// LoadReport is the answer to GET /load. It describes the endpoint some time
// ago. Reports of one boot id are ordered by their sequence.
type LoadReport struct {
	BootID   ids.BootID `json:"bootId"`
	Sequence uint64     `json:"sequence"`
	Running  int        `json:"running"`
	Waiting  int        `json:"waiting"`
	// Resident lists the adapters that the engine can run. Plain services
	// leave it out.
	Resident []ResidentAdapter `json:"resident,omitempty"`
}

// ResidentAdapter is one adapter version in an engine's slots.
type ResidentAdapter struct {
	// Model is the adapter version as written by ids.AdapterRef.String.
	Model string `json:"model"`
	// Running counts the requests that run or wait on the adapter version.
	Running int `json:"running"`
}
