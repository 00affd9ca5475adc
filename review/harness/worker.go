package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// worker is a worker of the platform that speaks HTTP/1.1 on its own sockets, so that a
// case can choose each byte of an answer.
type worker struct {
	id, service, zone string
	// engine is set for a worker that runs a model with adapters.
	engine   bool
	record   *record
	listener net.Listener
	// run answers a request that the worker has begun to run, and reports whether the
	// connection stays open.
	run func(c *workerConn, r *http.Request) bool
	// loadTime returns how long the load of an adapter takes.
	loadTime func(adapter string) time.Duration
	// afterRejection is called with each answer that turns a request away.
	afterRejection func(c *workerConn, answer []byte)

	mu       sync.Mutex
	born     int64
	sequence uint64
	fence    uint64
	adapters map[string]time.Time
	runs     []workerRun
	orders   []workerOrder
	open     map[net.Conn]bool
}

// workerRun is a request that the worker began to run.
type workerRun struct {
	id, tenant, path string
	at               time.Time
}

// workerOrder is an order that the worker carried out.
type workerOrder struct {
	operation, adapter, holder string
	fence                      uint64
	at                         time.Time
}

// workerConn is a connection from a VM.
type workerConn struct {
	net.Conn
	reader *bufio.Reader
	// late is written before the next answer.
	late []byte
}

func newWorker(d *deployment, id, service, zone string) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: id, service: service, zone: zone, record: d.record, listener: listener, born: time.Now().UnixMilli(),
		adapters: make(map[string]time.Time), open: make(map[net.Conn]bool),
	}
	return w, nil
}

func (w *worker) serve() {
	go func() {
		for {
			conn, err := w.listener.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.open[conn] = true
			w.mu.Unlock()
			go w.serveConn(&workerConn{Conn: conn, reader: bufio.NewReader(conn)})
		}
	}()
}

func (w *worker) serveConn(c *workerConn) {
	defer func() {
		w.mu.Lock()
		delete(w.open, c.Conn)
		w.mu.Unlock()
		_ = c.Close()
	}()
	for {
		r, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !w.handle(c, r, body) {
			return
		}
	}
}

// handle answers one request and reports whether the connection stays open.
func (w *worker) handle(c *workerConn, r *http.Request, body []byte) bool {
	if len(c.late) > 0 {
		_, _ = c.Write(c.late)
		w.record.printf("worker %s sent a late second answer of %d bytes before the answer to %s", w.id, len(c.late), r.Header.Get("Attempt-Identifier"))
		c.late = nil
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		return c.write(http.StatusMisdirectedRequest, map[string]string{"Instance": w.id, "Attempt-Identifier": r.Header.Get("Attempt-Identifier"), "Not-Run": "1"}, "")
	}
	switch r.URL.Path {
	case "/api/report":
		return c.write(http.StatusOK, map[string]string{"Content-Type": "application/json"}, w.reportBody())
	case "/api/order":
		return c.write(w.applyOrder(body), nil, "")
	}
	if status := w.rejection(r); status != 0 {
		header := map[string]string{"Instance": w.id, "Attempt-Identifier": r.Header.Get("Attempt-Identifier"), "Not-Run": "1"}
		w.record.printf("worker %s turned %s away: %d", w.id, r.Header.Get("Attempt-Identifier"), status)
		if w.afterRejection != nil {
			w.afterRejection(c, rawAnswer(status, header, ""))
		}
		return c.write(status, header, "")
	}
	w.mu.Lock()
	w.runs = append(w.runs, workerRun{id: r.Header.Get("Attempt-Identifier"), tenant: r.Header.Get("Tenant"), path: r.URL.RequestURI(), at: time.Now()})
	w.mu.Unlock()
	w.record.printf("worker %s runs %s %s %s", w.id, r.Header.Get("Attempt-Identifier"), r.Method, r.URL.RequestURI())
	return w.run(c, r)
}

// rejection returns the status with which an engine turns a request away, or 0.
func (w *worker) rejection(r *http.Request) int {
	_, adapter, found := strings.Cut(r.Header.Get("Model"), "/")
	if !w.engine || !found {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	readyAt, present := w.adapters[adapter]
	switch {
	case !present:
		return http.StatusMisdirectedRequest
	case time.Now().Before(readyAt):
		return http.StatusServiceUnavailable
	}
	return 0
}

func rawAnswer(status int, header map[string]string, body string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	names := make([]string, 0, len(header))
	for name := range header {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&b, "%s: %s\r\n", name, header[name])
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return []byte(b.String())
}

// write writes a complete answer and reports whether that worked.
func (c *workerConn) write(status int, header map[string]string, body string) bool {
	_, err := c.Write(rawAnswer(status, header, body))
	return err == nil
}

// reset closes the connection with a reset.
func (c *workerConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// answerHeader returns the headers of an answer to a request that ran.
func (w *worker) answerHeader(r *http.Request) map[string]string {
	return map[string]string{
		"Attempt-Identifier": r.Header.Get("Attempt-Identifier"), "Server-Stamp": "stamp." + w.id, "Instance": w.id,
	}
}

// answerPlain answers a request of a plain service.
func (w *worker) answerPlain(c *workerConn, r *http.Request) bool {
	return c.write(http.StatusOK, w.answerHeader(r), "done "+r.Header.Get("Attempt-Identifier"))
}

// answerStream answers with a stream of events in chunks.
func (w *worker) answerStream(c *workerConn, r *http.Request, events int, pause time.Duration) bool {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nAttempt-Identifier: %s\r\nServer-Stamp: stamp.%s\r\nInstance: %s\r\n\r\n",
		r.Header.Get("Attempt-Identifier"), w.id, w.id)
	if _, err := io.WriteString(c, head); err != nil {
		return false
	}
	first := 0
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscan(last, &first)
	}
	for i := first + 1; i <= events; i++ {
		time.Sleep(pause)
		event := fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", i, w.id, i)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// exit ends the worker: its address refuses connections, and open ones are reset.
func (w *worker) exit() {
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for conn := range w.open {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// entry returns the worker's entry in the store.
func (w *worker) entry(state string) (string, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	entry := map[string]any{
		"service": w.service, "address": w.listener.Addr().String(), "zone": w.zone, "version": "v1", "slots": 6, "state": state,
		"cold-remaining-ms": 0, "sequence": w.sequence, "born": w.born,
	}
	if w.engine {
		entry["slots"], entry["stage"], entry["models"] = 128, "both", w.models()
	}
	return "servers/" + w.id, entry
}

// models lists what the engine holds. The caller holds mu.
func (w *worker) models() []any {
	held := []string{}
	for name, readyAt := range w.adapters {
		if !time.Now().Before(readyAt) {
			held = append(held, name+"@1")
		}
	}
	slices.Sort(held)
	return []any{map[string]any{"name": baseModel, "version": 1, "adapters": held}}
}

func (w *worker) reportBody() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	coming := []string{}
	for name, readyAt := range w.adapters {
		if time.Now().Before(readyAt) {
			coming = append(coming, baseModel+"/"+name+"@1")
		}
	}
	body, _ := json.Marshal(map[string]any{
		"stage": "both", "models": w.models(), "coming": coming, "busy": false, "sequence": w.sequence, "born": w.born,
		"waiting": 0, "running": 0, "kv-used": 0, "kv-total": 139149, "handles": 0,
	})
	return string(body)
}

// applyOrder carries an order out and returns the status of the answer.
func (w *worker) applyOrder(body []byte) int {
	var o struct {
		Operation, Model, Adapter, Holder string
		Precondition                      *uint64
		Fence                             uint64
	}
	if err := json.Unmarshal(body, &o); err != nil || o.Holder == "" || o.Fence == 0 {
		return http.StatusBadRequest
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Fence < w.fence {
		return http.StatusPreconditionFailed
	}
	w.fence = o.Fence
	if o.Precondition != nil && *o.Precondition != w.sequence {
		return http.StatusConflict
	}
	readyAt, present := w.adapters[o.Adapter]
	coming := 0
	for _, at := range w.adapters {
		if time.Now().Before(at) {
			coming++
		}
	}
	if o.Operation == "loading" && !present && coming >= 4 {
		return http.StatusConflict
	}
	w.sequence++
	w.orders = append(w.orders, workerOrder{operation: o.Operation, adapter: o.Adapter, holder: o.Holder, fence: o.Fence, at: time.Now()})
	w.record.printf("worker %s takes order %s %s of %s", w.id, o.Operation, o.Adapter, o.Holder)
	if o.Operation == "unloading" {
		delete(w.adapters, o.Adapter)
		return http.StatusOK
	}
	if present && !time.Now().Before(readyAt) {
		return http.StatusOK
	}
	if !present {
		w.adapters[o.Adapter] = time.Now().Add(w.loadTime(o.Adapter))
	}
	return http.StatusAccepted
}

// runCounts returns how often each request ran at the workers.
func runCounts(workers ...*worker) map[string]int {
	counts := make(map[string]int)
	for _, w := range workers {
		w.mu.Lock()
		for _, r := range w.runs {
			counts[r.id]++
		}
		w.mu.Unlock()
	}
	return counts
}
