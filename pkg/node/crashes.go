package node

import (
	"time"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
	"github.com/wagtailspoke/wagtailspoke/pkg/transport/endpoints"
)

// examineBrokenSend checks whether an engine's process has ended under a request
// whose answer had not begun. A connection that is lost, or an answer that is,
// looks the same to the request; but only a process that has ended refuses
// connections.
func (n *Node) examineBrokenSend(p *requestState, e *serving.Endpoint, sent time.Time, reason string) {
	refuses, err := n.refusesConnections(e)
	n.logInfo("engine answered nothing", fields{
		"request": p.request.ID, "endpoint": e.ID, "parts": p.request.SharedParts, "sentMs": time.Since(sent).Milliseconds(),
		"runs": p.possibleRuns, "reason": reason, "refuses": refuses, "error": errorText(err),
	})
}

// refusesConnections is endpoints.Refuses. Concurrent calls for one endpoint
// share a connection.
func (n *Node) refusesConnections(e *serving.Endpoint) (bool, error) {
	result, err, _ := n.crashChecks.Do(string(e.ID), func() (any, error) {
		return endpoints.Refuses(n.ctx, endpoints.DefaultConfig(n.settings.IP), e.Address)
	})
	refuses, _ := result.(bool)
	return refuses, err
}
