package node

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/transport/connections"
)

// refusal is a response that this VM generates itself. Statuses 429 and 503
// guarantee that the request has not run and will not run.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
	// closes is set if the refusal is sent at once and the connection is closed after a
	// bounded part of the rest of the request's body.
	closes bool
}

// Retry times sent to callers.
const (
	// retryNoConfig is sent while a VM has no recent proof that its
	// configuration is current: two rounds of exchanges.
	retryNoConfig = 500 * time.Millisecond
	// retryNoEndpoint is about the time until an endpoint becomes visible
	// again.
	retryNoEndpoint = 500 * time.Millisecond
	// retryOtherVM is sent by a VM that shuts down, or that cannot have an adapter
	// loaded: the caller's next connection reaches another VM.
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

// Bounds of what is read of the body of a request that is refused.
const (
	maxDiscardedBytes = defaultMaxBodyBytes
	maxDiscardTime    = 2 * time.Second
)

// discardBody reads the rest of a refused body, so that the refusal arrives: a connection
// that is closed with unread bytes is reset, and its caller may not get what was sent
// before. It reads less the fewer connections are free, and reports whether the body has
// ended and the connection can be used again. A caller that waits for leave to send its
// body gets none.
func (n *Node) discardBody(w http.ResponseWriter, r *http.Request) bool {
	if r.Body == nil || r.Body == http.NoBody {
		return true
	}
	if r.ContentLength > maxDiscardedBytes || r.Header.Get("Expect") != "" {
		return false
	}
	controller := http.NewResponseController(w)
	connection := connections.IDOf(r.Context())
	// The deadline is set before the account may evict the connection, which sets an
	// earlier one. Without a deadline, net/http bounds only the time for the head. If it
	// can't be set, the connection ends as it would without this.
	began := time.Now()
	if controller.SetReadDeadline(began.Add(maxDiscardTime)) != nil {
		return false
	}
	share := n.callerAccount.beginDiscard(connection)
	if share < 1 && controller.SetReadDeadline(began.Add(time.Duration(share*float64(maxDiscardTime)))) != nil {
		return false
	}
	_, err := io.CopyN(io.Discard, r.Body, int64(share*maxDiscardedBytes))
	ended := errors.Is(err, io.EOF) && n.callerAccount.endDiscard(connection)
	if ended {
		_ = controller.SetReadDeadline(time.Time{})
	}
	return ended
}

// refuseUnread refuses a request whose body may not have been read to its end.
func (n *Node) refuseUnread(w http.ResponseWriter, r *http.Request, p *requestState, refused *refusal) {
	controller := http.NewResponseController(w)
	stopReading := func() {
		// net/http reads on when the handler has ended; without a deadline it would wait
		// for a caller that has stopped.
		w.Header().Set("Connection", "close")
		_ = controller.SetReadDeadline(time.Now())
	}
	if !refused.closes {
		if !n.discardBody(w, r) && r.Header.Get("Expect") == "" && r.ContentLength <= maxDiscardedBytes {
			stopReading()
		}
		n.refuse(w, p, refused)
		return
	}
	w.Header().Set("Connection", "close")
	n.refuse(w, p, refused)
	// If the caller has left, reading on ends at once.
	_ = controller.Flush()
	n.discardBody(w, r)
	stopReading()
}
