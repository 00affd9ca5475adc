package relay

import (
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
)

// tickHeartbeats sends the heartbeats that are due.
func (r *Relay) tickHeartbeats(now time.Time) []Action {
	var actions []Action
	for _, id := range r.linkOrder() {
		l := r.links[id]
		if l.inFlight || now.Sub(l.sentAt) < l.interval || !r.shouldCall(now, l) {
			continue
		}
		l.inFlight = true
		l.sentAt = now
		actions = append(actions, SendHeartbeat{To: l.vm, Message: r.beat(now, l), Timeout: l.timeout})
	}
	return actions
}

// shouldCall tells whether this VM sends the next heartbeat of a pair. The VM
// with the higher id calls only while it is starting, or when the other one
// has been silent for long, for the other's list may not show it yet.
func (r *Relay) shouldCall(now time.Time, l *link) bool {
	if l.calls || !r.startup.ready {
		return true
	}
	return now.Sub(l.heardAt) > 2*l.interval
}

// beat writes the next heartbeat to a peer.
func (r *Relay) beat(now time.Time, l *link) peer.Heartbeat {
	l.sequence++
	l.sent[l.sequence%sentMemory] = sentBeat{sequence: l.sequence, at: now}
	return peer.Heartbeat{
		From:     r.members.Self(),
		Boot:     r.boot,
		Sequence: l.sequence,
		Echo:     l.received,
		Ready:    r.startup.ready,
		Digest:   r.digest(now),
		Load:     r.load,
	}
}

// OnHeartbeat answers the heartbeat of a peer.
func (r *Relay) OnHeartbeat(now time.Time, beat peer.Heartbeat) (peer.Heartbeat, []Action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members.Hear(now, beat)
	l := r.linkTo(beat.From)
	r.hear(now, l, beat, l.echoTime(beat.Echo))
	return r.beat(now, l), r.tickPulls(now)
}

// linkTo returns the link to a peer. A peer that is no link, such as one that
// is starting, gets a state of its own for this exchange.
func (r *Relay) linkTo(id ids.VMID) *link {
	if l, known := r.links[id]; known {
		return l
	}
	return &link{}
}

// OnHeartbeatReply takes the reply to a heartbeat.
func (r *Relay) OnHeartbeatReply(now time.Time, from ids.VMID, reply peer.Heartbeat) []Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, known := r.links[from]
	if !known || reply.From != from {
		return nil
	}
	l.inFlight = false
	l.failures = 0
	r.members.Hear(now, reply)
	// The reply was written after the heartbeat that it echoes was sent.
	r.hear(now, l, reply, l.echoTime(reply.Echo))
	return r.tickPulls(now)
}

// OnHeartbeatFailure records that a heartbeat got no reply.
func (r *Relay) OnHeartbeatFailure(now time.Time, to ids.VMID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l, known := r.links[to]; known {
		l.inFlight = false
		l.failures++
	}
}

// echoTime returns when the heartbeat with a sequence was sent, or zero.
func (l *link) echoTime(sequence uint64) time.Time {
	if beat := l.sent[sequence%sentMemory]; sequence > 0 && beat.sequence == sequence {
		return beat.at
	}
	return time.Time{}
}

// hear takes what a peer says of itself. anchor is a moment after which the
// message was written, or zero; only with it do the ages in it count, because
// a message may have been on its way for any time.
func (r *Relay) hear(now time.Time, l *link, beat peer.Heartbeat, anchor time.Time) {
	if beat.Boot != l.boot {
		l.boot = beat.Boot
		l.received = 0
		l.records, l.list = 0, 0
	}
	l.received = max(l.received, beat.Sequence)
	l.heardAt = now
	l.answered = true
	l.ready = beat.Ready
	l.records = max(l.records, beat.Digest.Records)
	l.list = max(l.list, beat.Digest.List)
	if anchor.IsZero() {
		return
	}
	r.confirmRecords(now, beat.Digest.Records, confirmedAt(anchor, beat.Digest.RecordsAgeMillis))
	r.confirmList(now, beat.Digest.List, confirmedAt(anchor, beat.Digest.ListAgeMillis))
}

func confirmedAt(anchor time.Time, ageMillis int64) time.Time {
	if ageMillis < 0 {
		return time.Time{}
	}
	return anchor.Add(-time.Duration(ageMillis) * time.Millisecond)
}
