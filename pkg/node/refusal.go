package node

import (
	"net/http"
	"time"
)

// refusal is a response that this VM generates itself. Statuses 429 and 503
// guarantee that the request has not run and will not run.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// Retry times sent to callers.
const (
	// retryNoConfig is sent while a VM has no recent proof that its
	// configuration is current: two rounds of exchanges.
	retryNoConfig = 500 * time.Millisecond
	// retryNoEndpoint is about the time until an endpoint becomes visible
	// again.
	retryNoEndpoint = 500 * time.Millisecond
	// retryOtherVM is sent by a VM that shuts down: the caller's next connection
	// reaches another VM.
	retryOtherVM = 50 * time.Millisecond
)

func refuseBusy(after time.Duration, reason string) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: after}
}

func refuseNoEndpoint() *refusal { return refuseBusy(retryNoEndpoint, "no endpoint") }

func refuseNoConfig(reason string) *refusal { return refuseBusy(retryNoConfig, reason) }

// refuseDeadline refuses a request whose deadline passed before it was sent.
func refuseDeadline() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: "time limit reached before a send"}
}

func refuseStatus(status int, reason string) *refusal {
	return &refusal{status: status, reason: reason}
}

// failMayHaveRun answers a request that may have run.
func failMayHaveRun(reason string) *refusal {
	return &refusal{status: http.StatusBadGateway, reason: reason}
}

// failTimeout answers a request that was sent but got no answer before its
// deadline.
func failTimeout() *refusal {
	return &refusal{status: http.StatusGatewayTimeout, reason: "no answer within the time limit"}
}
