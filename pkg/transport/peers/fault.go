package peers

import (
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Message describes a message that is about to be sent.
type Message struct {
	Peer   ids.VMID
	Method string
	// IsReply is set for a reply and not set for a request.
	IsReply bool
}

// FaultAction is the fault to inject into one message. The zero value injects
// none.
type FaultAction struct {
	Drop  bool
	Delay time.Duration
	// ExtraCopies is the number of additional copies to send.
	ExtraCopies int
}

// FaultInjector chooses the fault to inject into a message. It is called
// concurrently.
type FaultInjector func(Message) FaultAction

func (n *Node) faultAction(message Message) FaultAction {
	if n.config.FaultInjector == nil {
		return FaultAction{}
	}
	return n.config.FaultInjector(message)
}
