package node

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"runtime"
	runtimemetrics "runtime/metrics"
	"slices"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/callermemory"
	"github.com/wagtailspoke/wagtailspoke/pkg/coordination/readturns"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/connections"
)

const (
	// callerSweepInterval is the time between two looks for callers without progress.
	callerSweepInterval = 250 * time.Millisecond
	// measureInterval is the time between two readings of the process's memory. Callers on
	// the loopback send several MB in that time.
	measureInterval = 10 * time.Millisecond
	// callerLogInterval is the time between two log lines on callers that were closed.
	callerLogInterval = time.Second
)

// callerAccount counts what callers hold and closes the connections that the account
// names.
type callerAccount struct {
	config callermemory.Config
	// set holds the connections; it is nil where there are none.
	set *connections.Set

	mu      sync.Mutex
	account *callermemory.Account
	// turns decides which connections may have long requests parsed, and granted holds the
	// channels of those that wait.
	turns   *readturns.Queue
	granted map[connections.ID]chan struct{}
	// sample holds the metrics of the process's memory, and measuredAt is when they were
	// last read. sample is empty if the process holds more than this VM.
	sample     []runtimemetrics.Sample
	measuredAt time.Time
	// closed and notAdmitted count what was not logged yet, and last is the latest of
	// them.
	closed      map[callermemory.Reason]int
	notAdmitted int
	last        callermemory.Closed
}

func newCallerAccount(vmMemory int64, descriptors int) *callerAccount {
	config := callermemory.DefaultConfig(vmMemory, descriptors)
	return &callerAccount{
		config: config, account: callermemory.New(config), closed: make(map[callermemory.Reason]int),
		turns: readturns.New(runtime.GOMAXPROCS(0)), granted: make(map[connections.ID]chan struct{}),
	}
}

// Opened implements connections.Observer.
func (c *callerAccount) Opened(id connections.ID, remote net.Addr) bool {
	sender := "address "
	if tcp, isTCP := remote.(*net.TCPAddr); isTCP {
		sender += tcp.IP.String()
	}
	c.mu.Lock()
	c.measure()
	admitted, closed := c.account.Open(time.Now(), callermemory.ID(id), sender)
	c.count(closed)
	if !admitted {
		c.notAdmitted++
	}
	c.mu.Unlock()
	c.close(closed)
	return admitted
}

// headEnd ends a head. What arrives with it is a part of a body, or of another request.
var headEnd = []byte("\r\n\r\n")

// Received implements connections.Observer.
func (c *callerAccount) Received(id connections.ID, data []byte) bool {
	head := data
	if end := bytes.Index(data, headEnd); end >= 0 {
		head = data[:end]
	}
	lines := bytes.Count(head, headEnd[1:2])
	c.mu.Lock()
	c.measure()
	kept, closed := c.account.Received(time.Now(), callermemory.ID(id), len(data), lines)
	c.count(closed)
	c.mu.Unlock()
	// The server closes this connection itself. The others must not be closed by a call
	// that this connection waits for.
	if others := slices.DeleteFunc(closed, func(other callermemory.Closed) bool { return connections.ID(other.ID) == id }); len(others) > 0 {
		go c.close(others)
	}
	return kept
}

// Sent implements connections.Observer.
func (c *callerAccount) Sent(id connections.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.account.Taken(time.Now(), callermemory.ID(id))
}

// noWait is the channel of turns that are granted at once.
var noWait = func() <-chan struct{} {
	closed := make(chan struct{})
	close(closed)
	return closed
}()

// BeginTurn implements connections.Observer.
func (c *callerAccount) BeginTurn(id connections.ID) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	turn, needed := c.account.NextTurn(callermemory.ID(id))
	switch {
	case !needed:
		return nil
	case c.turns.Request(readturns.ID(id), turn.Sender, turn.GoesOn):
		return noWait
	}
	c.account.SetWaiting(time.Now(), callermemory.ID(id), true)
	c.granted[id] = make(chan struct{})
	return c.granted[id]
}

// EndTurn implements connections.Observer.
func (c *callerAccount) EndTurn(id connections.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endTurn(id)
}

// endTurn ends a connection's turn or its wait for one. The caller holds c.mu.
func (c *callerAccount) endTurn(id connections.ID) {
	if c.granted[id] != nil {
		delete(c.granted, id)
		c.account.SetWaiting(time.Now(), callermemory.ID(id), false)
	}
	next, granted := c.turns.End(readturns.ID(id))
	if !granted {
		return
	}
	waiting := connections.ID(next)
	c.account.SetWaiting(time.Now(), callermemory.ID(waiting), false)
	close(c.granted[waiting])
	delete(c.granted, waiting)
}

// setPhase records what a connection is occupied with, which ends its turn. The caller
// holds c.mu.
func (c *callerAccount) setPhase(id connections.ID, phase callermemory.Phase) bool {
	c.endTurn(id)
	return c.account.SetPhase(time.Now(), callermemory.ID(id), phase)
}

// Changed implements connections.Observer.
func (c *callerAccount) Changed(id connections.ID, state connections.State) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endTurn(id)
	now, connection := time.Now(), callermemory.ID(id)
	switch state {
	case connections.Idle:
		return c.account.SetPhase(now, connection, callermemory.Idle)
	case connections.Handled:
		return c.account.SetPhase(now, connection, callermemory.Serving)
	case connections.Writing:
		c.account.BeginWrite(now, connection)
	case connections.Written:
		c.account.EndWrite(now, connection)
	}
	return true
}

// Closed implements connections.Observer.
func (c *callerAccount) Closed(id connections.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endTurn(id)
	c.account.End(callermemory.ID(id))
}

// beginBody records that a body arrives on a connection, from a customer if one is known.
func (c *callerAccount) beginBody(id connections.ID, customer ids.CustomerID, idleTimeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if idleTimeout > 0 {
		c.account.SetIdleTimeout(idleTimeout)
	}
	if customer != "" {
		c.account.SetSender(callermemory.ID(id), "customer "+string(customer))
	}
	c.setPhase(id, callermemory.Body)
}

// endBody records that a body is whole. It returns why the request must not be run, or "".
func (c *callerAccount) endBody(id connections.ID) callermemory.Reason {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setPhase(id, callermemory.Serving)
	return c.account.ReasonOf(callermemory.ID(id))
}

// beginDiscard records that the rest of a refused body is read and dropped. It returns
// which share of the usual part may be read.
func (c *callerAccount) beginDiscard(id connections.ID) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.setPhase(id, callermemory.Discarding) {
		return 0
	}
	return c.account.DiscardShare()
}

// endDiscard records that the rest of a body has ended, and reports whether the
// connection can be used again.
func (c *callerAccount) endDiscard(id connections.ID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.setPhase(id, callermemory.Serving)
}

// reasonOf returns why a connection is closed, or "" if it is not.
func (c *callerAccount) reasonOf(id connections.ID) callermemory.Reason {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.account.ReasonOf(callermemory.ID(id))
}

// reserve takes memory for a part of a body that has total bytes with it, and reports
// whether there was enough.
func (c *callerAccount) reserve(id connections.ID, part, total int64) bool {
	c.mu.Lock()
	c.measure()
	reserved, closed := c.account.Reserve(time.Now(), callermemory.ID(id), part, total)
	c.count(closed)
	c.mu.Unlock()
	c.close(closed)
	return reserved
}

// measureProcess lets the account know the memory of the process. It must be called before
// the first connection.
func (c *callerAccount) measureProcess() {
	c.sample = []runtimemetrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
}

// measure tells the account the memory of the process, at most once in measureInterval.
// The caller holds c.mu.
func (c *callerAccount) measure() {
	now := time.Now()
	if len(c.sample) == 0 || now.Sub(c.measuredAt) < measureInterval {
		return
	}
	c.measuredAt = now
	runtimemetrics.Read(c.sample)
	c.account.SetProcessMemory(int64(c.sample[0].Value.Uint64()) - int64(c.sample[1].Value.Uint64()))
}

func (c *callerAccount) release(id connections.ID, bytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.account.Release(callermemory.ID(id), bytes)
}

func (c *callerAccount) usage() callermemory.Usage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.account.Usage()
}

// readsWaiting returns the number of connections that wait for their turn.
func (c *callerAccount) readsWaiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.granted)
}

func (c *callerAccount) setHeadTimeout(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.account.SetHeadTimeout(timeout)
}

// sweep closes the connections without progress.
func (c *callerAccount) sweep() {
	c.mu.Lock()
	answering := c.account.Answering(time.Now(), callerSweepInterval)
	c.mu.Unlock()
	for _, id := range answering {
		if c.set.Taking(connections.ID(id)) {
			c.mu.Lock()
			c.account.Taken(time.Now(), id)
			c.mu.Unlock()
		}
	}
	c.mu.Lock()
	closed := c.account.Expired(time.Now())
	c.count(closed)
	c.mu.Unlock()
	c.close(closed)
}

// count records closed connections for the log. The caller holds c.mu.
func (c *callerAccount) count(closed []callermemory.Closed) {
	for _, connection := range closed {
		c.closed[connection.Reason]++
		c.last = connection
	}
}

// close closes the connections that the account has named. A body that arrives only ends,
// so that its request is refused, or its refusal is not lost.
func (c *callerAccount) close(closed []callermemory.Closed) {
	for _, connection := range closed {
		id := connections.ID(connection.ID)
		switch connection.Phase {
		case callermemory.Idle:
			c.set.AbortIfIdle(id)
		case callermemory.Body, callermemory.Discarding:
			c.set.StopReading(id)
		default:
			c.set.Abort(id)
		}
	}
}

// takeCounts returns what was closed or not admitted since the last call.
func (c *callerAccount) takeCounts() (closed map[callermemory.Reason]int, notAdmitted int, last callermemory.Closed) {
	c.mu.Lock()
	defer c.mu.Unlock()
	closed, notAdmitted = c.closed, c.notAdmitted
	c.closed, c.notAdmitted = make(map[callermemory.Reason]int), 0
	return closed, notAdmitted, c.last
}

// callerLoop closes callers without progress and reports them.
func (n *Node) callerLoop(ctx context.Context) {
	ticker := time.NewTicker(callerSweepInterval)
	defer ticker.Stop()
	loggedAt := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if config := n.directory.View().Config; config != nil && config.Limits.HeaderTimeout > 0 {
				n.callerAccount.setHeadTimeout(config.Limits.HeaderTimeout)
			}
			n.callerAccount.sweep()
			n.metrics.updateCallers(n.callerAccount.usage())
			n.metrics.callerReadsWaiting.Update(float64(n.callerAccount.readsWaiting()))
			if now.Sub(loggedAt) >= callerLogInterval {
				n.reportClosedCallers()
				loggedAt = now
			}
		}
	}
}

func (n *Node) reportClosedCallers() {
	closed, notAdmitted, last := n.callerAccount.takeCounts()
	n.metrics.callersNotAdmitted.Inc(int64(notAdmitted))
	total := 0
	for reason, count := range closed {
		n.metrics.root.Scope.Tagged(map[string]string{"reason": string(reason)}).Counter("callers_closed").Inc(int64(count))
		total += count
	}
	if total+notAdmitted == 0 {
		return
	}
	usage := n.callerAccount.usage()
	n.logInfo("callers closed", fields{
		"closed": total, "notAdmitted": notAdmitted, "lastSender": last.Sender, "lastReason": last.Reason, "lastBytes": last.Bytes,
		"connections": usage.Connections, "connectionBytes": usage.ConnectionBytes, "bodyBytes": usage.BodyBytes,
	})
}

// refuseBody returns the refusal of a request whose body did not arrive, or was given up.
// The request has not been sent to an endpoint.
func (n *Node) refuseBody(id connections.ID, err error) *refusal {
	var tooLarge *http.MaxBytesError
	reason := n.callerAccount.reasonOf(id)
	switch {
	case errors.As(err, &tooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large", closes: true}
	case reason == callermemory.NoRoom:
		return &refusal{status: http.StatusServiceUnavailable, reason: "the body was evicted: no memory left for request bodies", retryAfter: retryNoMemory, closes: true}
	case reason != "" || errors.Is(err, os.ErrDeadlineExceeded):
		return &refusal{status: http.StatusRequestTimeout, reason: "the body did not arrive", closes: true}
	case errors.Is(err, errNoMemoryForBody):
		return refuseBusy(retryNoMemory, err.Error())
	}
	return refuseStatus(http.StatusBadRequest, "body cannot be read")
}
