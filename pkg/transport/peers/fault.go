package peers

import (
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Message names one message that is about to leave.
type Message struct {
	Peer   ids.VMID
	Method string
	// Reply tells a reply from a request.
	Reply bool
}

// Action is what a fault does to one message.
type Action struct {
	Drop   bool
	Delay  time.Duration
	Repeat int
}

// Fault decides what happens to a message. It is called from many goroutines.
type Fault func(Message) Action

func (n *Node) fault(message Message) Action {
	if n.config.Fault == nil {
		return Action{}
	}
	return n.config.Fault(message)
}
