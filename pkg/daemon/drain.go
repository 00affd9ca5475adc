package daemon

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/inferencev1"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/admin"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/callers"
)

// requestGate counts the open requests of callers and refuses new ones during
// a graceful shutdown.
type requestGate struct {
	mu         sync.Mutex
	openCount  int64
	draining   bool
	drained    bool
	drainStart time.Time
	// idle is closed when the last request ends during a drain.
	idle chan struct{}
}

// openRequests returns the number of open requests.
func (g *requestGate) openRequests() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.openCount
}

// enter counts a request as open, or refuses it if the VM is draining or
// limit requests are open.
func (g *requestGate) enter(limit int64) *callers.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return callers.NotRun(inferencev1.Reason_REASON_DRAINING, "this VM is shutting down")
	}
	if g.openCount >= limit {
		return callers.NotRun(inferencev1.Reason_REASON_QUEUE_FULL, "this VM has too many open requests")
	}
	g.openCount++
	return nil
}

// leave ends a request that enter has counted.
func (g *requestGate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.openCount--
	if g.draining && g.openCount == 0 {
		g.finish()
	}
}

// drain makes enter refuse new requests. It returns a channel that is closed
// once no request is open.
func (g *requestGate) drain() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.draining {
		g.draining = true
		g.drainStart = time.Now()
		g.idle = make(chan struct{})
		if g.openCount == 0 {
			g.finish()
		}
	}
	return g.idle
}

// finish ends the drain. The caller holds mu.
func (g *requestGate) finish() {
	if !g.drained {
		g.drained = true
		close(g.idle)
	}
}

func (g *requestGate) isDraining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining
}

// Enter implements callers.Backend. The returned function ends the request.
func (d *Daemon) BeginRequest() (func(), *callers.Refusal) {
	if !d.ready.Load() {
		return nil, callers.NotRun(inferencev1.Reason_REASON_NOT_READY, "this VM has no complete view of the records yet")
	}
	if refusal := d.requestGate.enter(d.settings.Limits.MaxOpenRequests); refusal != nil {
		return nil, refusal
	}
	return d.requestGate.leave, nil
}

// Ready implements admin.Source.
func (d *Daemon) Ready() (bool, string) {
	switch {
	case d.requestGate.isDraining():
		return false, "draining"
	case !d.ready.Load():
		return false, "no complete view of the records yet"
	}
	return true, ""
}

// Drain implements admin.Source. It refuses new requests at once; open ones
// continue.
func (d *Daemon) Drain() {
	if d.requestGate.isDraining() {
		return
	}
	d.requestGate.drain()
	d.logAt("drain", "").WithField("waitingFor", d.waitingFor()).Info("draining")
}

// closeWhileDraining closes a caller's kept-alive connection after its next
// response once the VM is draining. Closing idle connections at once, as
// net/http's SetKeepAlivesEnabled does, would cut off requests that are on
// their way.
func (d *Daemon) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.requestGate.isDraining() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// drainLogInterval is how often a drain logs what it is waiting for.
const drainLogInterval = 2 * time.Second

// Run serves until the context ends, then drains and stops. It returns an
// error if requests were still open when the drain timeout passed.
func (d *Daemon) Run(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-d.ctx.Done():
		return nil
	}
	err := d.Shutdown()
	d.Stop()
	return err
}

// Shutdown drains and waits until all requests have ended. It lasts at least
// the grace time, so that callers that do not know of the drain yet still get
// a proper refusal, and VMs that take over endpoints still get replies.
func (d *Daemon) Shutdown() error {
	d.Drain()
	if !d.safetyRules.drainWaitsForRequests {
		return nil
	}
	d.waitDrainGrace()
	idle := d.requestGate.drain()
	timeout := time.NewTimer(d.settings.Timeouts.Drain.Duration())
	defer timeout.Stop()
	logTicker := time.NewTicker(drainLogInterval)
	defer logTicker.Stop()
	for {
		select {
		case <-idle:
			d.logAt("drain", "").Info("drained")
			d.flushResponses()
			d.ownershipDriver.releaseAllPins()
			return nil
		case <-logTicker.C:
			d.logAt("drain", "").WithField("waitingFor", d.waitingFor()).Info("still draining")
		case <-timeout.C:
			waiting := d.waitingFor()
			d.logAt("drain", "").WithField("waitingFor", waiting).Error("drain timed out")
			return fmt.Errorf("drain timed out while waiting for %v", waiting)
		}
	}
}

// waitDrainGrace waits until the grace time since the start of the drain has
// passed.
func (d *Daemon) waitDrainGrace() {
	d.requestGate.mu.Lock()
	end := d.requestGate.drainStart.Add(d.settings.Timeouts.DrainGrace.Duration())
	d.requestGate.mu.Unlock()
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.ctx.Done():
	}
}

// flushTimeout bounds the wait until the last bytes of responses are sent.
const flushTimeout = 5 * time.Second

// flushResponses lets net/http finish writing responses whose handlers have
// returned.
func (d *Daemon) flushResponses() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	for _, server := range d.servers {
		_ = server.Shutdown(ctx)
	}
}

// waitingFor describes the open requests that a drain is waiting for.
func (d *Daemon) waitingFor() []string {
	var list []string
	queued := 0
	for _, queue := range d.allQueues() {
		queued += queue.queue.Len()
	}
	if openRequests := d.requestGate.openRequests(); openRequests > 0 {
		list = append(list, fmt.Sprintf("%d open requests, of which %d are queued and %d sent to endpoints", openRequests, queued, d.attemptsInFlight.Load()))
	}
	return list
}

// drainStatus describes the drain for the status document.
func (d *Daemon) drainStatus() admin.Drain {
	d.requestGate.mu.Lock()
	draining, drained, drainStart := d.requestGate.draining, d.requestGate.drained, d.requestGate.drainStart
	d.requestGate.mu.Unlock()
	switch {
	case !draining:
		return admin.Drain{State: admin.DrainNone}
	case drained:
		return admin.Drain{State: admin.DrainFinished, ElapsedMillis: time.Since(drainStart).Milliseconds()}
	}
	return admin.Drain{State: admin.DrainInProgress, ElapsedMillis: time.Since(drainStart).Milliseconds(), WaitingFor: d.waitingFor()}
}
