package netfault_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/internal/netfault"
)

const (
	answerWait = 5 * time.Second
	silentWait = 200 * time.Millisecond
)

// echoServer answers each line with the same line.
func echoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				lines := bufio.NewScanner(conn)
				for lines.Scan() {
					_, _ = fmt.Fprintln(conn, lines.Text())
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func dialFrom(t *testing.T, source, address string) net.Conn {
	t.Helper()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
	conn, err := dialer.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func echoes(t *testing.T, conn net.Conn, wait time.Duration) bool {
	t.Helper()
	_, err := fmt.Fprintln(conn, "hello")
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(wait)))
	_, err = bufio.NewReader(conn).ReadString('\n')
	return err == nil
}

// Guards against fault experiments that pass because no fault happened.
func TestLinksAreCutHealedAndSilenced(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	network := netfault.New()
	network.AddHost("a", netip.MustParseAddr("127.0.1.1"))
	network.AddHost("b", netip.MustParseAddr("127.0.1.2"))
	address, err := network.Forward(ctx, "server", echoServer(t))
	assert.NilError(t, err)

	open := dialFrom(t, "127.0.1.1", address)
	other := dialFrom(t, "127.0.1.2", address)
	assert.Assert(t, echoes(t, open, answerWait))
	network.Cut("a", "server")
	assert.Assert(t, !echoes(t, open, silentWait), "a cut link must lose bytes")
	assert.Assert(t, !echoes(t, dialFrom(t, "127.0.1.1", address), silentWait), "a cut link must not open")
	assert.Assert(t, echoes(t, other, answerWait), "other links must not be affected")
	network.Heal("a", "server")
	assert.Assert(t, !echoes(t, open, silentWait), "a connection that lost bytes must stay silent")
	fresh := dialFrom(t, "127.0.1.1", address)
	assert.Assert(t, echoes(t, fresh, answerWait))
	network.Silence("a", "server")
	assert.Assert(t, !echoes(t, fresh, silentWait))
	assert.Assert(t, echoes(t, dialFrom(t, "127.0.1.1", address), answerWait))
}
