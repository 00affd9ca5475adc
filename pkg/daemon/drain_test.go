package daemon

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/transport/callers"
)

// Guards against a drain that closes callers' kept-alive connections while a
// request is on its way: the caller could not know whether it ran.
func TestDrainAnswersOnKeptAliveConnections(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{vms: []vmSpec{{id: "a1", dataCentre: "dc-a"}}})
	vm := f.vms["a1"]
	conn, err := net.Dial("tcp", vm.CallersAddress())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	answers := bufio.NewReader(conn)
	exchange := func() *http.Response {
		_, err := fmt.Fprintf(conn, "GET /orders/1 HTTP/1.1\r\nHost: vm\r\nAuthorization: Bearer %s\r\n\r\n", testKey)
		assert.NilError(t, err)
		answer, err := http.ReadResponse(answers, nil)
		assert.NilError(t, err)
		assert.NilError(t, answer.Body.Close())
		return answer
	}
	assert.Assert(t, !exchange().Close, "the connection must be kept before the drain")
	vm.Drain()
	duringDrain := exchange()
	assert.Equal(t, duringDrain.Header.Get(callers.HeaderOutcome), "NOT_RUN")
	assert.Equal(t, duringDrain.Header.Get(callers.HeaderReason), "DRAINING")
	assert.Assert(t, duringDrain.Close, "the caller must be told to use another connection")
}
