package harness3

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Run is a request that a worker has begun to work on.
type Run struct {
	ID, Tenant, Path, LastEvent string
	// Version is that of the adapter.
	Version int
	At      time.Time
}

// heldAdapter is an adapter of an engine. While next is set, it is being loaded or
// replaced: until ready, and until the runs of the version before have ended.
type heldAdapter struct {
	version, next int
	ready         time.Time
	running       int
}

// settle ends a load whose time has come, and reports whether the adapter can be used.
func (a *heldAdapter) settle() bool {
	if a.next != 0 && !time.Now().Before(a.ready) && a.running == 0 {
		a.version, a.next = a.next, 0
	}
	return a.next == 0
}

// Worker is a stand-in of a worker: of an engine if Model is set, or else of a plain one.
// The exported fields are set before Start.
type Worker struct {
	ID, Service, Zone, Model string
	Slots                    int
	// KVTokens is the memory of an engine: larger requests are rejected as if it were full.
	KVTokens int64
	// Events is the number of events of a stream, and Pause the time before each.
	Events int
	Pause  time.Duration
	// Prefill is the time before the first event.
	Prefill time.Duration
	// WorkTime is how long a plain request runs.
	WorkTime time.Duration
	// LineEnd ends the lines of streams; "\n" if empty.
	LineEnd string
	// DeadlyPart is a part of prompts that crashes the engine as soon as it has written
	// DeadlyAfter events of an answer. It is back after Down.
	DeadlyPart  string
	DeadlyAfter int
	Down        time.Duration
	Store       *Store

	mu          sync.Mutex
	address     string
	server      *http.Server
	started     int64
	incarnation int
	ended       bool
	sequence    uint64
	fence       uint64
	adapters    map[string]*heldAdapter
	running     int
	runs        []Run
	rejected    int
	crashes     int
}

// Start starts the worker on a loopback address and registers it.
func (w *Worker) Start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.address = listener.Addr().String()
	w.begin(listener)
	go w.beat()
	return nil
}

// begin starts a process of the worker.
func (w *Worker) begin(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/report", w.report)
	mux.HandleFunc("POST /api/order", w.order)
	mux.HandleFunc("/", w.serve)
	w.mu.Lock()
	w.server = &http.Server{Handler: mux}
	w.started = max(time.Now().UnixMilli(), w.started+1)
	w.sequence, w.fence, w.running, w.ended = 0, 0, 0, false
	w.adapters = make(map[string]*heldAdapter)
	server := w.server
	w.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	w.register()
}

func (w *Worker) name() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nameLocked()
}

// nameLocked returns the identifier of the current process. The caller holds mu.
func (w *Worker) nameLocked() string {
	if w.incarnation == 0 {
		return w.ID
	}
	return fmt.Sprintf("%s-%d", w.ID, w.incarnation)
}

// register writes the worker's entry.
func (w *Worker) register() {
	w.mu.Lock()
	entry := map[string]any{
		"service": w.Service, "address": w.address, "zone": w.Zone, "version": "v1", "slots": w.Slots, "state": "ready",
		"cold-remaining-ms": 0, "stage": "both", "models": w.modelsLocked(), "sequence": w.sequence, "born": w.started,
	}
	key, ended := "servers/"+w.nameLocked(), w.ended
	w.mu.Unlock()
	if !ended {
		w.Store.Put(key, entry)
	}
}

// beat registers the worker again every heartbeat.
func (w *Worker) beat() {
	for {
		time.Sleep(Heartbeat)
		w.register()
	}
}

// modelsLocked returns what the engine holds. The caller holds mu.
func (w *Worker) modelsLocked() []any {
	if w.Model == "" {
		return []any{}
	}
	loaded := []string{}
	for name, adapter := range w.adapters {
		if adapter.settle(); adapter.version != 0 {
			loaded = append(loaded, fmt.Sprintf("%s@%d", name, adapter.version))
		}
	}
	return []any{map[string]any{"name": w.Model, "version": 1, "adapters": loaded}}
}

// Runs returns the requests that the worker has begun to work on.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run(nil), w.runs...)
}

// writeRuns writes all runs of the worker to the record.
func (w *Worker) writeRuns(record *Record) {
	for _, run := range w.Runs() {
		record.Write("run of %s at %s after %.3f s: path %s, tenant %q, version %d, last event %q", run.ID, w.ID, run.At.Sub(record.began).Seconds(), run.Path, run.Tenant, run.Version, run.LastEvent)
	}
	record.Write("%s rejected %d requests and crashed %d times", w.ID, w.rejections(), w.Crashes())
}

func (w *Worker) rejections() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rejected
}

// Crashes returns how often the worker has crashed.
func (w *Worker) Crashes() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crashes
}

func (w *Worker) misdirected(rw http.ResponseWriter, r *http.Request) bool {
	expected := r.Header.Get("Expect-Instance")
	if name := w.name(); expected != "" && expected != name {
		rw.Header().Set("Instance", name)
		rw.Header().Set("Attempt-Identifier", r.Header.Get("Attempt-Identifier"))
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return true
	}
	return false
}

func (w *Worker) report(rw http.ResponseWriter, r *http.Request) {
	if w.misdirected(rw, r) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	coming := []string{}
	for name, adapter := range w.adapters {
		if !adapter.settle() {
			coming = append(coming, fmt.Sprintf("%s/%s@%d", w.Model, name, adapter.next))
		}
	}
	writeJSON(rw, map[string]any{
		"stage": "both", "models": w.modelsLocked(), "coming": coming, "busy": false, "sequence": w.sequence, "born": w.started,
		"waiting": 0, "running": w.running, "kv-used": 0, "kv-total": w.KVTokens, "handles": 0,
	})
}

func (w *Worker) order(rw http.ResponseWriter, r *http.Request) {
	if w.misdirected(rw, r) {
		return
	}
	var order struct {
		Operation, Model, Adapter, Holder string
		Precondition                      *uint64
		Fence                             uint64
		Version                           int
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.Holder == "" || order.Fence == 0 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case order.Fence < w.fence:
		rw.WriteHeader(http.StatusPreconditionFailed)
		return
	case order.Precondition != nil && *order.Precondition != w.sequence:
		rw.WriteHeader(http.StatusConflict)
		return
	}
	w.fence = order.Fence
	if order.Adapter != "" && !exists(order.Adapter) {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	held := w.adapters[order.Adapter]
	if order.Operation == "unloading" {
		if held != nil {
			w.sequence++
			delete(w.adapters, order.Adapter)
		}
		rw.WriteHeader(http.StatusOK)
		return
	}
	version := order.Version
	if version == 0 {
		version = w.Store.NewestVersion(w.Model, order.Adapter)
	}
	if held != nil && max(held.version, held.next) >= version {
		rw.WriteHeader(http.StatusOK)
		return
	}
	w.sequence++
	if held == nil {
		held = &heldAdapter{}
		w.adapters[order.Adapter] = held
	}
	held.next, held.ready = version, time.Now().Add(250*time.Millisecond)
	rw.WriteHeader(http.StatusAccepted)
}

// exists reports whether the model has an adapter: they are named a1, a2 and so on.
func exists(adapter string) bool {
	number, err := strconv.Atoi(strings.TrimPrefix(adapter, "a"))
	return err == nil && strings.HasPrefix(adapter, "a") && number >= 1 && number <= Adapters
}

// rejection returns the status with which the worker rejects a request, or 0.
func (w *Worker) rejection(r *http.Request) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.Model == "" {
		if w.running >= 4*w.Slots {
			return http.StatusServiceUnavailable
		}
		return 0
	}
	model, adapter, _ := strings.Cut(r.Header.Get("Model"), "/")
	if model != w.Model {
		return http.StatusMisdirectedRequest
	}
	if held := w.adapters[adapter]; adapter != "" && held == nil {
		return http.StatusMisdirectedRequest
	} else if adapter != "" && !held.settle() {
		return http.StatusServiceUnavailable
	}
	if tokens(r) > w.KVTokens || w.running >= w.Slots {
		return http.StatusServiceUnavailable
	}
	return 0
}

// tokens returns the sum of the request's token counts. One that overflows is as large as
// can be.
func tokens(r *http.Request) int64 {
	sum := 0.0
	for _, part := range strings.Split(r.Header.Get("Token-Counts"), ",") {
		count, _ := strconv.ParseFloat(strings.TrimSpace(part), 64)
		sum += count
	}
	return int64(min(sum, 1<<62))
}

// timeLimit returns the time limit of a request.
func timeLimit(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get("Deadline-Milliseconds"))
	if err != nil {
		return time.Minute
	}
	return time.Duration(ms) * time.Millisecond
}

// holdsPart reports whether a prompt holds a part, other than as its last one.
func holdsPart(prefix, part string) bool {
	entries := strings.Split(prefix, ",")
	for _, entry := range entries[:len(entries)-1] {
		if id, _, _ := strings.Cut(entry, ":"); part != "" && id == part {
			return true
		}
	}
	return false
}

func (w *Worker) serve(rw http.ResponseWriter, r *http.Request) {
	if w.misdirected(rw, r) {
		return
	}
	id := r.Header.Get("Attempt-Identifier")
	rw.Header().Set("Attempt-Identifier", id)
	if status := w.rejection(r); status != 0 {
		w.mu.Lock()
		w.rejected++
		w.mu.Unlock()
		rw.Header().Set("Not-Run", "1")
		rw.WriteHeader(status)
		return
	}
	_, adapterName, _ := strings.Cut(r.Header.Get("Model"), "/")
	w.mu.Lock()
	w.running++
	adapter := w.adapters[adapterName]
	if adapter == nil {
		adapter = &heldAdapter{}
	}
	adapter.running++
	w.runs = append(w.runs, Run{Version: adapter.version, ID: id, Tenant: r.Header.Get("Tenant"), Path: r.URL.Path, LastEvent: r.Header.Get("Last-Event-Id"), At: time.Now()})
	load := fmt.Sprintf("%d,0,%d", w.running, w.Slots)
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.running = max(w.running-1, 0)
		adapter.running--
		w.mu.Unlock()
	}()
	_, _ = io.Copy(io.Discard, r.Body)
	rw.Header().Set("Server-Stamp", "stamp."+w.name()+"."+id)
	rw.Header().Set("Server-Load", load)
	if w.Model == "" {
		time.Sleep(w.WorkTime)
		_, _ = fmt.Fprintf(rw, "%s answered %s", w.name(), id)
		return
	}
	w.stream(rw, r, id)
}

// stream writes the events of a stream, those after the last one that the client has.
func (w *Worker) stream(rw http.ResponseWriter, r *http.Request, id string) {
	rw.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	deadly := holdsPart(r.Header.Get("Prompt-Prefix"), w.DeadlyPart)
	controller := http.NewResponseController(rw)
	end := w.LineEnd
	if end == "" {
		end = "\n"
	}
	limit := time.NewTimer(timeLimit(r))
	defer limit.Stop()
	pause := w.Prefill + w.Pause
	for i := last + 1; i <= w.Events; i++ {
		select {
		case <-r.Context().Done():
			return
		case <-limit.C:
			// A worker stops work at the time limit.
			if i > last+1 {
				panic(http.ErrAbortHandler)
			}
			rw.WriteHeader(http.StatusGatewayTimeout)
			return
		case <-time.After(pause):
		}
		pause = w.Pause
		if deadly && i-last > w.DeadlyAfter {
			w.crash()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(rw, "id: %d%sdata: piece %d of %s%s%s", i, end, i, id, end, end)
		_ = controller.Flush()
	}
}

// Crash ends the worker's process.
func (w *Worker) Crash() { w.crash() }

// crash ends the worker's process, which resets its connections. It is back after Down
// under another identifier.
func (w *Worker) crash() {
	w.mu.Lock()
	if w.ended {
		w.mu.Unlock()
		return
	}
	w.ended = true
	w.crashes++
	key, server := "servers/"+w.nameLocked(), w.server
	w.incarnation++
	w.mu.Unlock()
	_ = server.Close()
	// The entry is removed after three heartbeats of silence.
	time.AfterFunc(3*Heartbeat, func() { w.Store.Delete(key) })
	time.AfterFunc(w.Down, func() {
		listener, err := net.Listen("tcp", w.address)
		for ; err != nil; listener, err = net.Listen("tcp", w.address) {
			time.Sleep(50 * time.Millisecond)
		}
		w.begin(listener)
	})
}
