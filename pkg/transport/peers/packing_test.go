package peers

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

type text struct {
	Text string `json:"text"`
}

// startTextNode starts a node whose method "text" replies with the text that it
// received.
func startTextNode(t *testing.T, vm ids.VMID) (*Node, string) {
	t.Helper()
	registry := NewRegistry()
	Handle(registry, "text", func(_ context.Context, _ Sender, request text) (text, error) { return request, nil })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	node := New(Config{Self: Sender{VM: vm, Boot: "boot"}, Registry: registry})
	go func() { _ = node.Serve(listener) }()
	t.Cleanup(node.Close)
	return node, listener.Addr().String()
}

// Guards against large bodies that arrive changed, and against compression that
// doesn't make the messages between VMs shorter.
func TestLargeBodiesArePacked(t *testing.T) {
	a, _ := startTextNode(t, "a")
	_, address := startTextNode(t, "b")
	a.SetPeers(map[ids.VMID]string{"b": address})
	sent := text{strings.Repeat(`{"endpoint":"i-1","load":2}`+"\n", 500)}
	for range 3 {
		reply, err := Call[text](context.Background(), a, "b", "text", testTimeout, sent)
		assert.NilError(t, err)
		assert.Equal(t, reply, sent)
	}
	traffic := a.Traffic().ByPeer["b"]
	body := int64(len(sent.Text))
	assert.Assert(t, traffic.BytesIn < body, "%d bytes for three replies of %d", traffic.BytesIn, body)
	assert.Assert(t, traffic.BytesOut < 2*body, "%d bytes for three requests of %d", traffic.BytesOut, body)
}

// Guards against a VM of an older version that gets bodies which it cannot
// read: it neither asks for packed replies nor sends any.
func TestOlderPeersGetPlainBodies(t *testing.T) {
	_, address := startTextNode(t, "new")
	connection, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	older := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewPlainObjectStream(connection), jsonrpc2.AsyncHandler(echoHandler{}))
	defer func() { _ = older.Close() }()
	body, err := json.Marshal(text{strings.Repeat("x", 4*minPackedBytes)})
	assert.NilError(t, err)
	var reply text
	assert.NilError(t, older.Call(context.Background(), "text", map[string]any{"from": Sender{VM: "old"}, "body": json.RawMessage(body)}, &reply))
	assert.Equal(t, len(reply.Text), 4*minPackedBytes)

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		incoming, err := listener.Accept()
		if err == nil {
			jsonrpc2.NewConn(context.Background(), jsonrpc2.NewPlainObjectStream(incoming), jsonrpc2.AsyncHandler(echoHandler{}))
		}
	}()
	newer, _ := startTextNode(t, "newer")
	newer.SetPeers(map[ids.VMID]string{"old": listener.Addr().String()})
	for range 2 {
		got, err := Call[text](context.Background(), newer, "old", "text", testTimeout, text{strings.Repeat("y", 4*minPackedBytes)})
		assert.NilError(t, err)
		assert.Equal(t, len(got.Text), 4*minPackedBytes)
	}
}

// echoHandler replies with the body of a request, as a VM without packing does.
type echoHandler struct{}

func (echoHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	var params struct {
		Body text `json:"body"`
	}
	if err := json.Unmarshal(*request.Params, &params); err != nil {
		_ = conn.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{Message: err.Error()})
		return
	}
	_ = conn.Reply(ctx, request.ID, params.Body)
}

// Guards against a peer that uses up a VM's memory: by bytes without the end of
// a message, or by a short body that decompresses to a huge one.
func TestMessagesOfPeersAreBounded(t *testing.T) {
	endless, writer := io.Pipe()
	go func() {
		chunk := bytes.Repeat([]byte("x"), 1<<20)
		for {
			if _, err := writer.Write(chunk); err != nil {
				return
			}
		}
	}()
	stream := newMessageStream(struct {
		io.ReadCloser
		io.Writer
	}{endless, io.Discard})
	var message json.RawMessage
	err := stream.ReadObject(&message)
	assert.ErrorContains(t, err, "message exceeds")
	assert.NilError(t, endless.Close())

	var compressed bytes.Buffer
	deflate, err := flate.NewWriter(&compressed, flate.BestSpeed)
	assert.NilError(t, err)
	zeros := make([]byte, 1<<20)
	for range maxBodyBytes/len(zeros) + 1 {
		_, err = deflate.Write(zeros)
		assert.NilError(t, err)
	}
	assert.NilError(t, deflate.Close())
	raw, err := json.Marshal(packedBody{compressed.Bytes()})
	assert.NilError(t, err)
	_, err = (&packer{}).unpack(raw)
	assert.ErrorContains(t, err, "body exceeds")
}

// Guards against malformed messages that end the process or a connection of
// another peer: each closes at most its own connection.
func TestMalformedMessageClosesOnlyItsConnection(t *testing.T) {
	var handled atomic.Int64
	a, _ := startNode(t, "a", nil, &handled)
	_, address := startNode(t, "b", nil, &handled)
	a.SetPeers(map[ids.VMID]string{"b": address})
	for _, line := range []string{
		"not json\n", "[]\n", "null\n", "{}\n", `{"jsonrpc":"2.0","id":1}` + "\n", `{"jsonrpc":"2.0","id":1,"result":null}` + "\n",
		`{"jsonrpc":"2.0","id":1,"method":"ping"}` + "\n", `{"jsonrpc":"2.0","id":1,"method":"ping","params":7}` + "\n",
		`{"jsonrpc":"2.0","id":1,"method":"ping","params":{"from":3}}` + "\n",
		`{"jsonrpc":"2.0","id":1,"method":"ping","params":{"body":{"packed":"AAAA"}}}` + "\n",
		`{"jsonrpc":"2.0","id":1,"method":"ping","params":{"body":{"packed":7}}}` + "\n",
	} {
		connection, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		_, err = connection.Write([]byte(line))
		assert.NilError(t, err)
		assert.NilError(t, connection.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
		_, err = io.Copy(io.Discard, connection)
		var timeout net.Error
		assert.Assert(t, err == nil || errors.As(err, &timeout) && timeout.Timeout(), "%q: %v", line, err)
		_ = connection.Close()
		_, err = sendPing(a, "b", 1, testTimeout)
		assert.NilError(t, err, "after %q", line)
	}
}

// Guards against an unexpected error in one handler that ends the process.
func TestPanicOfAHandlerFailsOnlyItsCall(t *testing.T) {
	registry := NewRegistry()
	Handle(registry, "fail", func(context.Context, Sender, ping) (ping, error) { panic("unexpected") })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	b := New(Config{Self: Sender{VM: "b"}, Registry: registry})
	go func() { _ = b.Serve(listener) }()
	t.Cleanup(b.Close)
	a, _ := startTextNode(t, "a")
	a.SetPeers(map[ids.VMID]string{"b": listener.Addr().String()})
	for range 2 {
		_, err = Call[ping](context.Background(), a, "b", "fail", testTimeout, ping{})
		assert.ErrorContains(t, err, "handler panicked")
	}
}

// Guards against bytes of a peer that end the process or a loop that reads them.
func FuzzMessages(f *testing.F) {
	packed, err := (&packer{}).pack(json.RawMessage(`"` + strings.Repeat("body", minPackedBytes) + `"`))
	assert.NilError(f, err)
	for _, seed := range []string{`{"jsonrpc":"2.0","id":1,"method":"m","params":{}}`, `{"id":1,"result":null}`, "[]", "null", string(packed), `{"packed":"AAAA"}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		stream := newMessageStream(struct {
			io.ReadCloser
			io.Writer
		}{io.NopCloser(bytes.NewReader(data)), io.Discard})
		for {
			var message json.RawMessage
			if stream.ReadObject(&message) != nil {
				break
			}
		}
		p := &packer{}
		if body, err := p.unpack(data); err == nil && isPacked(data) {
			again, err := p.pack(body)
			assert.NilError(t, err)
			got, err := p.unpack(again)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(got, body))
		}
	})
}
