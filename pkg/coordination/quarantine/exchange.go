package quarantine

import (
	"slices"
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Message is what a VM tells another one about crashes: those that changed since
// the last change that the receiver has confirmed.
type Message struct {
	// Changes is the sender's change count, and Since the count from which
	// Crashes holds all changes.
	Since   uint64 `json:"since,omitempty"`
	Changes uint64 `json:"changes,omitempty"`
	// Seen is the receiver's change count up to which the sender has received its
	// crashes, and SeenBoot the run of the receiver's process that counted.
	Seen     uint64                   `json:"seen,omitempty"`
	SeenBoot ids.BootID               `json:"seenBoot,omitempty"`
	Crashes  map[CrashID]CrashMessage `json:"crashes,omitempty"`
}

// CrashMessage is one crash.
type CrashMessage struct {
	AgeMs    int64              `json:"age"`
	Suspects []ids.PromptPartID `json:"suspects,omitempty"`
	Cleared  []ids.PromptPartID `json:"cleared,omitempty"`
}

// peer is the progress of the exchange with another VM.
type peer struct {
	// boot is the run of the peer's process, and received its change count up to
	// which this VM has received its crashes.
	boot     ids.BootID
	received uint64
	// confirmed is this VM's change count that the peer has received.
	confirmed uint64
}

// BuildMessage returns the message to a peer.
func (q *Quarantine) BuildMessage(now time.Time, to ids.VMID) Message {
	q.expire(now)
	message := Message{Changes: q.changes}
	if p := q.peers[to]; p != nil {
		message.Since, message.Seen, message.SeenBoot = p.confirmed, p.received, p.boot
	}
	for id, c := range q.crashes {
		if c.change <= message.Since {
			continue
		}
		sent := CrashMessage{AgeMs: now.Sub(c.at).Milliseconds()}
		for part, cleared := range c.cleared {
			if cleared {
				sent.Cleared = append(sent.Cleared, part)
			} else {
				sent.Suspects = append(sent.Suspects, part)
			}
		}
		slices.Sort(sent.Cleared)
		slices.Sort(sent.Suspects)
		if message.Crashes == nil {
			message.Crashes = make(map[CrashID]CrashMessage)
		}
		message.Crashes[id] = sent
	}
	return message
}

// ApplyMessage merges what a peer knows, and reports whether it names a crash that
// this VM didn't know. from is the run of the peer's process and self that of this
// VM's.
func (q *Quarantine) ApplyMessage(now time.Time, id ids.VMID, from, self ids.BootID, message Message) (newCrash bool) {
	p := q.peers[id]
	if p == nil || p.boot != from {
		p = &peer{boot: from}
		q.peers[id] = p
	}
	p.confirmed = 0
	if message.SeenBoot == self {
		p.confirmed = min(message.Seen, q.changes)
	}
	for crashID, sent := range message.Crashes {
		if sent.AgeMs < 0 || sent.AgeMs > q.config.Retention.Milliseconds() {
			continue
		}
		newCrash = newCrash || q.crashes[crashID] == nil
		q.addCrash(now, now.Add(-time.Duration(sent.AgeMs)*time.Millisecond), crashID, sent.Suspects, sent.Cleared)
	}
	if message.Since <= p.received {
		p.received = max(p.received, message.Changes)
	}
	return newCrash
}

// ForgetPeers forgets the progress of the exchange with peers that are not known
// any more.
func (q *Quarantine) ForgetPeers(known func(ids.VMID) bool) {
	for id := range q.peers {
		if !known(id) {
			delete(q.peers, id)
		}
	}
}
