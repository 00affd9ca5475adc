package callers

import (
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/inferencev1"
)

// Refusal is the error of every request that gets no complete response,
// including requests that may have run.
type Refusal struct {
	// RequestID is empty if the id is not known or must not be repeated.
	RequestID ids.RequestID
	Reason    inferencev1.Reason
	// Outcome states whether the request ran. It is NOT_RUN only if that is
	// certain.
	Outcome inferencev1.Outcome
	// RetryAfter is how long the caller should wait before a retry; zero if
	// unknown.
	RetryAfter time.Duration
	Message    string
}

func (r *Refusal) Error() string { return r.Message }

// NotRun returns the refusal of a request that did not run.
func NotRun(reason inferencev1.Reason, format string, args ...any) *Refusal {
	return &Refusal{
		Reason:  reason,
		Outcome: inferencev1.Outcome_OUTCOME_NOT_RUN,
		Message: fmt.Sprintf(format, args...),
	}
}

// Unknown returns the refusal of a request that may have run.
func Unknown(reason inferencev1.Reason, format string, args ...any) *Refusal {
	return &Refusal{
		Reason:  reason,
		Outcome: inferencev1.Outcome_OUTCOME_UNKNOWN,
		Message: fmt.Sprintf(format, args...),
	}
}

// protocolCodes holds the codes of a refusal in the two protocols for callers:
// connect for InferenceService, and plain HTTP.
type protocolCodes struct {
	connectCode connect.Code
	httpStatus  int
}

var codesByReason = map[inferencev1.Reason]protocolCodes{
	inferencev1.Reason_REASON_MALFORMED:               {connect.CodeInvalidArgument, http.StatusBadRequest},
	inferencev1.Reason_REASON_BODY_TOO_LARGE:          {connect.CodeInvalidArgument, http.StatusRequestEntityTooLarge},
	inferencev1.Reason_REASON_KEY_MISSING:             {connect.CodeUnauthenticated, http.StatusUnauthorized},
	inferencev1.Reason_REASON_KEY_UNKNOWN:             {connect.CodeUnauthenticated, http.StatusUnauthorized},
	inferencev1.Reason_REASON_KEY_WITHDRAWN:           {connect.CodeUnauthenticated, http.StatusUnauthorized},
	inferencev1.Reason_REASON_ADAPTER_UNKNOWN:         {connect.CodeNotFound, http.StatusNotFound},
	inferencev1.Reason_REASON_VERSION_UNKNOWN:         {connect.CodeNotFound, http.StatusNotFound},
	inferencev1.Reason_REASON_VERSION_WITHDRAWN:       {connect.CodeFailedPrecondition, http.StatusConflict},
	inferencev1.Reason_REASON_ROUTE_UNKNOWN:           {connect.CodeNotFound, http.StatusNotFound},
	inferencev1.Reason_REASON_COST_ABOVE_LIMIT:        {connect.CodeInvalidArgument, http.StatusBadRequest},
	inferencev1.Reason_REASON_RATE_EXCEEDED:           {connect.CodeResourceExhausted, http.StatusTooManyRequests},
	inferencev1.Reason_REASON_NO_ENDPOINT:             {connect.CodeUnavailable, http.StatusServiceUnavailable},
	inferencev1.Reason_REASON_DEADLINE:                {connect.CodeDeadlineExceeded, http.StatusGatewayTimeout},
	inferencev1.Reason_REASON_DRAINING:                {connect.CodeUnavailable, http.StatusServiceUnavailable},
	inferencev1.Reason_REASON_NOT_READY:               {connect.CodeUnavailable, http.StatusServiceUnavailable},
	inferencev1.Reason_REASON_QUEUE_FULL:              {connect.CodeUnavailable, http.StatusServiceUnavailable},
	inferencev1.Reason_REASON_ENDPOINT_FAILED:         {connect.CodeUnavailable, http.StatusBadGateway},
	inferencev1.Reason_REASON_CONNECTION_LOST:         {connect.CodeUnavailable, http.StatusBadGateway},
	inferencev1.Reason_REASON_ANSWER_MISMATCH:         {connect.CodeInternal, http.StatusBadGateway},
	inferencev1.Reason_REASON_IDEMPOTENCY_IN_PROGRESS: {connect.CodeAborted, http.StatusConflict},
	inferencev1.Reason_REASON_IDEMPOTENCY_UNAVAILABLE: {connect.CodeUnavailable, http.StatusServiceUnavailable},
	inferencev1.Reason_REASON_IDEMPOTENCY_KEY_REUSED:  {connect.CodeInvalidArgument, http.StatusUnprocessableEntity},
	inferencev1.Reason_REASON_IDEMPOTENCY_KEY_EXPIRED: {connect.CodeFailedPrecondition, http.StatusUnprocessableEntity},
}

// statusCodes returns the codes of the refusal's reason. A reason that is not
// listed counts as an internal error.
func (r *Refusal) statusCodes() protocolCodes {
	if known, ok := codesByReason[r.Reason]; ok {
		return known
	}
	return protocolCodes{connect.CodeInternal, http.StatusInternalServerError}
}

// connectError converts the refusal to a connect error with a RequestOutcome
// detail.
func (r *Refusal) connectError() *connect.Error {
	err := connect.NewError(r.statusCodes().connectCode, r)
	detail, detailErr := connect.NewErrorDetail(&inferencev1.RequestOutcome{
		RequestId:    string(r.RequestID),
		Outcome:      r.Outcome,
		Reason:       r.Reason,
		RetryAfterMs: uint64(r.RetryAfter.Milliseconds()),
	})
	if detailErr == nil {
		err.AddDetail(detail)
	}
	return err
}
