package relay

import (
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/peer"
)

// tickHeartbeats returns the heartbeats that are due.
func (r *Relay) tickHeartbeats(now time.Time) []Action {
	var actions []Action
	for _, id := range r.sortedLinkIDs() {
		l := r.links[id]
		if l.inFlight || now.Sub(l.lastSentAt) < l.interval || !r.shouldInitiate(now, l) {
			continue
		}
		l.inFlight = true
		l.lastSentAt = now
		actions = append(actions, SendHeartbeat{To: l.vm, Message: r.heartbeat(now, l), Timeout: l.timeout})
	}
	return actions
}

// shouldInitiate reports whether this VM sends the next heartbeat on a link.
// A VM that does not initiate the link sends one only while it is starting,
// or when the peer has been silent for two intervals, since the peer's list
// may not contain this VM yet.
func (r *Relay) shouldInitiate(now time.Time, l *link) bool {
	if l.initiates || !r.startup.ready {
		return true
	}
	return now.Sub(l.lastHeardAt) > 2*l.interval
}

// heartbeat returns the next heartbeat to a peer and remembers when it was
// sent.
func (r *Relay) heartbeat(now time.Time, l *link) peer.Heartbeat {
	l.sequence++
	l.sentHeartbeats[l.sequence%maxSentHeartbeats] = sentHeartbeat{sequence: l.sequence, sentAt: now}
	return peer.Heartbeat{
		From:     r.members.Self(),
		Boot:     r.boot,
		Sequence: l.sequence,
		Echo:     l.peerSequence,
		Ready:    r.startup.ready,
		Digest:   r.digest(now),
		Load:     r.load,
	}
}

// OnHeartbeat records the heartbeat of a peer and returns the reply.
func (r *Relay) OnHeartbeat(now time.Time, heartbeat peer.Heartbeat) (peer.Heartbeat, []Action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members.ObserveHeartbeat(now, heartbeat)
	l := r.linkFor(heartbeat.From)
	r.applyHeartbeat(now, l, heartbeat, l.echoSentAt(heartbeat.Echo))
	return r.heartbeat(now, l), r.tickPulls(now)
}

// linkFor returns the link to a peer. A peer without a link, for example one
// that is starting, gets a temporary link for this exchange.
func (r *Relay) linkFor(id ids.VMID) *link {
	if l, known := r.links[id]; known {
		return l
	}
	return &link{}
}

// OnHeartbeatReply records the reply to a heartbeat.
func (r *Relay) OnHeartbeatReply(now time.Time, from ids.VMID, reply peer.Heartbeat) []Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, known := r.links[from]
	if !known || reply.From != from {
		return nil
	}
	l.inFlight = false
	l.failures = 0
	r.members.ObserveHeartbeat(now, reply)
	// The reply was written after the heartbeat that it echoes was sent.
	r.applyHeartbeat(now, l, reply, l.echoSentAt(reply.Echo))
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

// echoSentAt returns when the heartbeat with the echoed sequence number was
// sent, or the zero time if it is not remembered.
func (l *link) echoSentAt(sequence uint64) time.Time {
	if beat := l.sentHeartbeats[sequence%maxSentHeartbeats]; sequence > 0 && beat.sequence == sequence {
		return beat.sentAt
	}
	return time.Time{}
}

// applyHeartbeat records what a peer reports about itself. writtenAfter is a
// time after which the message was certainly written, or zero. The ages in
// the message are used only if it is known, because the message may have been
// in transit for any length of time.
func (r *Relay) applyHeartbeat(now time.Time, l *link, heartbeat peer.Heartbeat, writtenAfter time.Time) {
	if heartbeat.Boot != l.peerBoot {
		l.peerBoot = heartbeat.Boot
		l.peerSequence = 0
		l.records, l.list = 0, 0
	}
	l.peerSequence = max(l.peerSequence, heartbeat.Sequence)
	l.lastHeardAt = now
	l.answered = true
	l.ready = heartbeat.Ready
	l.records = max(l.records, heartbeat.Digest.RecordsRevision)
	l.list = max(l.list, heartbeat.Digest.ListRevision)
	if writtenAfter.IsZero() {
		return
	}
	r.confirmRecords(now, heartbeat.Digest.RecordsRevision, confirmationTime(writtenAfter, heartbeat.Digest.RecordsAgeMillis))
	r.confirmList(now, heartbeat.Digest.ListRevision, confirmationTime(writtenAfter, heartbeat.Digest.ListAgeMillis))
}

// confirmationTime converts a reported age to the earliest possible time of
// the confirmation; zero if the peer has none.
func confirmationTime(writtenAfter time.Time, ageMillis int64) time.Time {
	if ageMillis < 0 {
		return time.Time{}
	}
	return writtenAfter.Add(-time.Duration(ageMillis) * time.Millisecond)
}
