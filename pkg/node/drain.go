package node

import (
	"context"
	"runtime"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/transport/connections"
)

// Timings of a graceful shutdown.
const (
	// drainListenTime is how long a draining VM still accepts connections, so
	// that the load balancer can see two failed probes one second apart.
	drainListenTime = 2200 * time.Millisecond
	// drainReserve is the part of the grace time that is kept for ending the
	// process.
	drainReserve = 300 * time.Millisecond
	// drainAnswerShare is the share of the grace time, before drainReserve, that is
	// kept for answering the requests that are still open.
	drainAnswerShare = 0.025
	// maxDrainDelayShare and maxEarlyAnswerShare bound the shares of the grace time by which
	// a drain may be taken to begin late, and by which it answers earlier for that.
	maxDrainDelayShare  = 0.5
	maxEarlyAnswerShare = 0.12
	// minAnswerShare is the share of the grace time for which answers that have begun go on
	// at least. Operators take those that last longer for unfinished work.
	minAnswerShare = 0.85
	// handlerEndTime is how long a drain waits for handlers whose connections it has
	// closed, with looks at handlerEndInterval.
	handlerEndTime     = 100 * time.Millisecond
	handlerEndInterval = 5 * time.Millisecond
	// turnInterval is the pause between two checks of whether this process gets
	// processor time.
	turnInterval = 100 * time.Millisecond
)

// Run serves until ctx ends, then drains.
func (n *Node) Run(ctx context.Context) { n.drain(awaitEnd(ctx)) }

// awaitEnd waits until ctx ends, and returns the earliest time at which that can have been
// asked for. A process that is short of processor time learns late of a signal.
func awaitEnd(ctx context.Context) time.Time {
	ticker := time.NewTicker(turnInterval)
	defer ticker.Stop()
	for seen := time.Now(); ; {
		asked := time.Now()
		// Goroutines that are ready run before this one goes on, that which receives
		// signals included: signals that arrived before have mostly been seen then. One that
		// came while the whole process was paused may still be on its way to that goroutine.
		runtime.Gosched()
		select {
		case <-ctx.Done():
			return seen
		default:
			seen = asked
		}
		select {
		case <-ctx.Done():
			return seen
		case <-ticker.C:
		}
	}
}

// drainSchedule holds the times of a drain.
type drainSchedule struct {
	// stopListening is when no more connections are accepted, answerBy when the requests
	// that are open have to be answered, cutAt when answers that have begun are cut, and end
	// when the process ends.
	stopListening, answerBy, cutAt, end time.Time
	// refuseFrom is when requests are refused that may last longer than answerBy.
	refuseFrom time.Time
}

// refuses reports whether a request is refused that arrives now and may last until the given
// time.
func (s *drainSchedule) refuses(now, until time.Time) bool {
	return s != nil && !now.Before(s.refuseFrom) && until.After(s.answerBy)
}

// scheduleDrain returns the times of a drain that was asked for at the given time and began
// at a later one. A process that begins late is expected to answer late too, and so answers
// earlier. It does not cut answers earlier for that: an answer that is open at the end of
// the grace time has been given all of it.
func scheduleDrain(asked, began time.Time, grace time.Duration) drainSchedule {
	share := func(share float64) time.Duration { return time.Duration(share * float64(grace)) }
	delay := min(max(began.Sub(asked)-turnInterval, 0), share(maxDrainDelayShare))
	last := began.Add(grace - drainReserve - delay)
	answerBy := last.Add(-drainAnswerTime(grace) - min(delay, share(maxEarlyAnswerShare)))
	cutAt := latest(answerBy.Add(drainAnswerTime(grace)), began.Add(share(minAnswerShare)))
	listenTime := min(drainListenTime, grace/2)
	return drainSchedule{
		stopListening: began.Add(listenTime), refuseFrom: began.Add(listenTime - min(delay, listenTime)),
		answerBy: answerBy, cutAt: cutAt, end: latest(cutAt, last.Add(drainReserve/2)),
	}
}

func drainAnswerTime(grace time.Duration) time.Duration {
	return time.Duration(drainAnswerShare * float64(grace))
}

// Drain shuts the VM down without aborting requests that finish within the
// grace time. It closes idle connections only once the load balancer has
// stopped opening new ones, so that no request arrives that could not finish in
// time. Requests that are open at the end are answered as timed out; only
// answers that have begun are cut.
func (n *Node) Drain() { n.drain(time.Now()) }

// drain is Drain for a grace time that began when the end was asked for.
func (n *Node) drain(asked time.Time) {
	began := time.Now()
	grace := n.settings.Bounds.ShutdownGracePeriod
	schedule := scheduleDrain(asked, began, grace)
	n.drainSchedule.Store(&schedule)
	n.draining.Store(true)
	n.updateClaims(began)
	n.wakeExchange.wake()
	n.logInfo("drain", fields{"open": n.openRequests.Load(), "delayMs": began.Sub(asked).Milliseconds()})
	time.Sleep(time.Until(schedule.stopListening))
	if n.callersListener != nil {
		if err := connections.CloseListener(n.callersListener); err != nil {
			n.logWarning("callers' listener not closed", err, nil)
		}
	}
	if open := n.closeCallers(schedule); open > 0 {
		n.logInfo("drain incomplete", fields{"connections": open, "open": n.openRequests.Load()})
	}
	for _, server := range n.servers {
		// Requests that are still open have used up the grace time.
		_ = server.Close()
	}
	// The handlers of answers that were cut still have to log that.
	for until := time.Now().Add(handlerEndTime); n.openRequests.Load() > 0 && time.Now().Before(until); {
		time.Sleep(handlerEndInterval)
	}
	n.logInfo("stop", fields{"open": n.openRequests.Load(), "drainMs": time.Since(began).Milliseconds()})
	n.stop()
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// closeCallers closes the callers' connections once their requests are answered, and returns
// the number of those that are open at the end. Requests that are open at schedule.answerBy
// are ended then, and answers that have begun at schedule.cutAt.
func (n *Node) closeCallers(schedule drainSchedule) int {
	closeUntil := func(deadline time.Time) int {
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		defer cancel()
		return n.callers.Drain(ctx)
	}
	answerTime := drainAnswerTime(n.settings.Bounds.ShutdownGracePeriod)
	if open := closeUntil(schedule.answerBy); open == 0 {
		return 0
	}
	n.cancelRequests()
	// A process that gets here late answers late too.
	if open := closeUntil(latest(schedule.cutAt, time.Now().Add(answerTime))); open == 0 {
		return 0
	}
	n.cancelAnswers()
	return closeUntil(latest(schedule.end, time.Now().Add(answerTime)))
}
