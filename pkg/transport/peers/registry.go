package peers

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Sender identifies the sender of a message: its VM and the run of the VM's
// process.
type Sender struct {
	VM   ids.VMID   `json:"vm"`
	Boot ids.BootID `json:"boot"`
}

// envelope is the params member of every request. Each message identifies its
// sender because a peer may restart between two messages.
type envelope struct {
	Sender Sender `json:"from"`
	// Body may be packed only if the receiver has shown that it can unpack it.
	Body json.RawMessage `json:"body"`
	// AcceptPacked says that the reply may be packed.
	AcceptPacked bool `json:"acceptPacked,omitempty"`
}

// Registry maps method names to handlers. All handlers must be registered
// before the node starts to serve; afterwards it is only read, without a lock.
type Registry struct {
	handlers map[string]bodyHandler
}

// bodyHandler handles the JSON body of a request and returns that of the reply.
type bodyHandler func(ctx context.Context, from Sender, body json.RawMessage) (json.RawMessage, error)

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{handlers: make(map[string]bodyHandler)}
}

// Handle registers the handler of one method. Handlers run concurrently and may
// receive the same message twice.
func Handle[Request, Reply any](r *Registry, method string, handle func(context.Context, Sender, Request) (Reply, error)) {
	r.handlers[method] = func(ctx context.Context, sender Sender, body json.RawMessage) (json.RawMessage, error) {
		var request Request
		if err := json.Unmarshal(body, &request); err != nil {
			return nil, eris.Wrapf(err, "decode %s from %s", method, sender.VM)
		}
		reply, err := handle(ctx, sender, request)
		if err != nil {
			return nil, err
		}
		return json.Marshal(reply)
	}
}
