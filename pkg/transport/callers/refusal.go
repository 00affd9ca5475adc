package callers

import (
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/inferencev1"
)

// Refusal is the error of every request that gets no whole answer.
type Refusal struct {
	Request ids.RequestID
	Reason  inferencev1.Reason
	// Outcome tells whether the request ran. NOT_RUN is stated only when it is
	// certain.
	Outcome inferencev1.Outcome
	// RetryAfter is the earliest useful time to retry; zero when none is known.
	RetryAfter time.Duration
	Message    string
}

func (r *Refusal) Error() string { return r.Message }

// NotRun builds the refusal of a request that did not run.
func NotRun(reason inferencev1.Reason, format string, args ...any) *Refusal {
	return &Refusal{
		Reason:  reason,
		Outcome: inferencev1.Outcome_OUTCOME_NOT_RUN,
		Message: fmt.Sprintf(format, args...),
	}
}

// Unknown builds the refusal of a request that may have run.
func Unknown(reason inferencev1.Reason, format string, args ...any) *Refusal {
	return &Refusal{
		Reason:  reason,
		Outcome: inferencev1.Outcome_OUTCOME_UNKNOWN,
		Message: fmt.Sprintf(format, args...),
	}
}

// kind maps a reason to its codes in the two caller protocols.
type kind struct {
	code   connect.Code
	status int
}

var kinds = map[inferencev1.Reason]kind{
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

func (r *Refusal) kind() kind {
	if known, ok := kinds[r.Reason]; ok {
		return known
	}
	return kind{connect.CodeInternal, http.StatusInternalServerError}
}

// connectError encodes the refusal with its RequestOutcome detail.
func (r *Refusal) connectError() *connect.Error {
	err := connect.NewError(r.kind().code, r)
	detail, detailErr := connect.NewErrorDetail(&inferencev1.RequestOutcome{
		RequestId:    string(r.Request),
		Outcome:      r.Outcome,
		Reason:       r.Reason,
		RetryAfterMs: uint64(r.RetryAfter.Milliseconds()),
	})
	if detailErr == nil {
		err.AddDetail(detail)
	}
	return err
}
