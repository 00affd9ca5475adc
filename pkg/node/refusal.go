package node

import (
	"net/http"
	"time"
)

// refusal is an answer that this VM gives itself. Statuses 429 and 503 promise
// that the request has not run and will not.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// Retry times that are told to callers.
const (
	// retryNoConfig is that of a VM that has no proof of its configuration:
	// two rounds of exchanges.
	retryNoConfig = 500 * time.Millisecond
	// retryNoEndpoint is about the time in which an endpoint is seen again.
	retryNoEndpoint = 500 * time.Millisecond
)

func refuseBusy(after time.Duration, reason string) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: after}
}

func refuseNoEndpoint() *refusal { return refuseBusy(retryNoEndpoint, "no endpoint") }

func refuseNoConfig(reason string) *refusal { return refuseBusy(retryNoConfig, reason) }

// refuseTime answers a request whose time ran out before it was sent.
func refuseTime() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: "time limit reached before a send"}
}

func refuseStatus(status int, reason string) *refusal {
	return &refusal{status: status, reason: reason}
}

// failUnknown answers a request that may have run.
func failUnknown(reason string) *refusal {
	return &refusal{status: http.StatusBadGateway, reason: reason}
}

// failTimeout answers a request that was sent and has had no answer in time.
func failTimeout() *refusal {
	return &refusal{status: http.StatusGatewayTimeout, reason: "no answer within the time limit"}
}
