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

// gatekeeper counts the open requests of callers and refuses new ones during
// a graceful shutdown.
type gatekeeper struct {
	mu       sync.Mutex
	count    int64
	draining bool
	drained  bool
	since    time.Time
	// idle is closed when the last request ends during a drain.
	idle chan struct{}
}

func (g *gatekeeper) open() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.count
}

// enter counts a request as open.
func (g *gatekeeper) enter(most int64) *callers.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return callers.NotRun(inferencev1.Reason_REASON_DRAINING, "this VM is shutting down")
	}
	if g.count >= most {
		return callers.NotRun(inferencev1.Reason_REASON_QUEUE_FULL, "this VM has too many open requests")
	}
	g.count++
	return nil
}

func (g *gatekeeper) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count--
	if g.draining && g.count == 0 {
		g.finish()
	}
}

// drain refuses new requests and returns a channel that is closed when none
// is open.
func (g *gatekeeper) drain() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.draining {
		g.draining = true
		g.since = time.Now()
		g.idle = make(chan struct{})
		if g.count == 0 {
			g.finish()
		}
	}
	return g.idle
}

// finish is called with the lock held.
func (g *gatekeeper) finish() {
	if !g.drained {
		g.drained = true
		close(g.idle)
	}
}

func (g *gatekeeper) isDraining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining
}

// BeginRequest implements callers.Backend.
func (d *Daemon) BeginRequest() (func(), *callers.Refusal) {
	if !d.ready.Load() {
		return nil, callers.NotRun(inferencev1.Reason_REASON_NOT_READY, "this VM has no complete view of the records yet")
	}
	if refusal := d.gate.enter(d.settings.Limits.MaxOpenRequests); refusal != nil {
		return nil, refusal
	}
	return d.gate.leave, nil
}

// Ready implements admin.Backend.
func (d *Daemon) Ready() (bool, string) {
	switch {
	case d.gate.isDraining():
		return false, "draining"
	case !d.ready.Load():
		return false, "no complete view of the records yet"
	}
	return true, ""
}

// Drain implements admin.Backend. It refuses new requests at once; open ones
// go on.
func (d *Daemon) Drain() {
	if d.gate.isDraining() {
		return
	}
	d.gate.drain()
	d.at("drain", "").WithField("waitingFor", d.waitingFor()).Info("draining")
}

// closeWhileDraining ends a caller's kept connection with the next answer once
// the VM drains. Closing idle connections at once, as net/http's
// SetKeepAlivesEnabled does, would cut requests that are on their way.
func (d *Daemon) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.gate.isDraining() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// drainLogInterval is how often a drain says what it waits for.
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
// the grace time, so that callers who have not heard of the drain still get a
// true refusal, and VMs that take over endpoints still get an answer.
func (d *Daemon) Shutdown() error {
	d.Drain()
	if !d.rules.drainWaits {
		return nil
	}
	d.waitGrace()
	idle := d.gate.drain()
	timeout := time.NewTimer(d.settings.Timeouts.Drain.Duration())
	defer timeout.Stop()
	say := time.NewTicker(drainLogInterval)
	defer say.Stop()
	for {
		select {
		case <-idle:
			d.at("drain", "").Info("drained")
			d.flushAnswers()
			d.owner.releaseAll()
			return nil
		case <-say.C:
			d.at("drain", "").WithField("waitingFor", d.waitingFor()).Info("still draining")
		case <-timeout.C:
			waiting := d.waitingFor()
			d.at("drain", "").WithField("waitingFor", waiting).Error("drain timed out")
			return fmt.Errorf("drain timed out while waiting for %v", waiting)
		}
	}
}

// waitGrace waits for the rest of the grace time of a drain.
func (d *Daemon) waitGrace() {
	d.gate.mu.Lock()
	end := d.gate.since.Add(d.settings.Timeouts.DrainGrace.Duration())
	d.gate.mu.Unlock()
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.ctx.Done():
	}
}

// flushTimeout bounds the wait for the last bytes of answers to leave.
const flushTimeout = 5 * time.Second

// flushAnswers lets net/http finish the answers whose handlers have returned.
func (d *Daemon) flushAnswers() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	for _, server := range d.servers {
		_ = server.Shutdown(ctx)
	}
}

// waitingFor lists what a drain waits for.
func (d *Daemon) waitingFor() []string {
	var list []string
	queued := 0
	for _, queue := range d.allQueues() {
		queued += queue.queue.Len()
	}
	if open := d.gate.open(); open > 0 {
		list = append(list, fmt.Sprintf("%d open requests, of which %d are queued and %d sent to endpoints", open, queued, d.committed.Load()))
	}
	return list
}

// drainStatus describes the drain for the status document.
func (d *Daemon) drainStatus() admin.Drain {
	d.gate.mu.Lock()
	draining, drained, since := d.gate.draining, d.gate.drained, d.gate.since
	d.gate.mu.Unlock()
	switch {
	case !draining:
		return admin.Drain{State: admin.DrainNone}
	case drained:
		return admin.Drain{State: admin.DrainFinished, ElapsedMillis: time.Since(since).Milliseconds()}
	}
	return admin.Drain{State: admin.DrainInProgress, ElapsedMillis: time.Since(since).Milliseconds(), WaitingFor: d.waitingFor()}
}
