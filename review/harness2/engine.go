package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Parameters of engines, as those of the site have them.
const (
	engineModel     = "lm-base"
	engineAdapters  = 3000
	engineSlots     = 20
	engineLoadTime  = 250 * time.Millisecond
	engineEvents    = 20
	engineEventTime = 20 * time.Millisecond
)

// acceptedOrder is an order that an engine has accepted.
type acceptedOrder struct {
	engine, holder string
	fence          uint64
	at             time.Time
}

// engine is a sound worker that runs a model with adapters.
type engine struct {
	id, zone, address string
	born              int64

	mu       sync.Mutex
	sequence uint64
	fence    uint64
	// readyAt is when the load of each adapter completes.
	readyAt map[string]time.Time
	orders  []acceptedOrder
	refused map[int]int
	runs    int
}

// startEngine starts an engine and registers it in the store.
func (d *deployment) startEngine(id, zone string) (*engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, zone: zone, address: listener.Addr().String(), born: time.Now().UnixMilli(), readyAt: make(map[string]time.Time), refused: make(map[int]int)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/report", e.handleReport)
	mux.HandleFunc("POST /api/order", e.handleOrder)
	mux.HandleFunc("/", e.handleRequest)
	server := &http.Server{Handler: e.onlyForThis(mux)}
	go func() { _ = server.Serve(listener) }()
	d.store.Put("servers/"+id, map[string]any{
		"service": "fjell-lm", "address": e.address, "zone": zone, "version": "v1", "slots": 128, "state": "ready", "cold-remaining-ms": 0, "sequence": 1, "born": e.born,
		"models": []any{map[string]any{"name": engineModel, "version": 1, "adapters": []string{}}},
	})
	return e, nil
}

// onlyForThis answers 421 to what is meant for another engine.
func (e *engine) onlyForThis(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Instance", e.id)
		if id := r.Header.Get("Attempt-Identifier"); id != "" {
			w.Header().Set("Attempt-Identifier", id)
		}
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (e *engine) handleReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	loaded, coming := []string{}, []string{}
	for name, ready := range e.readyAt {
		if time.Now().Before(ready) {
			coming = append(coming, engineModel+"/"+name+"@1")
		} else {
			loaded = append(loaded, name+"@1")
		}
	}
	body := map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": engineModel, "version": 1, "adapters": loaded}}, "coming": coming, "busy": false,
		"sequence": e.sequence, "born": e.born, "waiting": 0, "running": 0, "kv-used": 0, "kv-total": 139149, "handles": 0,
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (e *engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Operation    string  `json:"operation"`
		Model        string  `json:"model"`
		Adapter      string  `json:"adapter"`
		Precondition *uint64 `json:"precondition"`
		Holder       string  `json:"holder"`
		Fence        uint64  `json:"fence"`
	}
	status := http.StatusBadRequest
	if err := json.NewDecoder(r.Body).Decode(&order); err == nil {
		e.mu.Lock()
		status = e.carryOut(order.Operation, order.Model, order.Adapter, order.Precondition, order.Holder, order.Fence)
		if status >= http.StatusBadRequest {
			e.refused[status]++
		} else {
			e.orders = append(e.orders, acceptedOrder{e.id, order.Holder, order.Fence, time.Now()})
		}
		e.mu.Unlock()
	}
	w.WriteHeader(status)
}

// carryOut returns the status of the answer to an order. The caller holds mu.
func (e *engine) carryOut(operation, model, adapter string, precondition *uint64, holder string, fence uint64) int {
	number, err := strconv.Atoi(strings.TrimPrefix(adapter, "a"))
	switch {
	case holder == "" || fence == 0 || model != engineModel || err != nil || number < 1 || number > engineAdapters || "a"+strconv.Itoa(number) != adapter:
		return http.StatusBadRequest
	case fence < e.fence:
		return http.StatusPreconditionFailed
	}
	e.fence = fence
	if precondition != nil && *precondition != e.sequence {
		return http.StatusConflict
	}
	_, held := e.readyAt[adapter]
	e.sequence++
	switch {
	case operation == "unloading":
		delete(e.readyAt, adapter)
		return http.StatusOK
	case held:
		return http.StatusOK
	case len(e.readyAt) >= engineSlots:
		// A real engine would crash.
		return http.StatusConflict
	}
	e.readyAt[adapter] = time.Now().Add(engineLoadTime)
	return http.StatusAccepted
}

func (e *engine) handleRequest(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		return
	}
	_, adapter, _ := strings.Cut(r.Header.Get("Model"), "/")
	e.mu.Lock()
	ready, held := e.readyAt[adapter]
	if held && !time.Now().Before(ready) {
		e.runs++
	}
	e.mu.Unlock()
	switch {
	case !held:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case time.Now().Before(ready):
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Server-Stamp", "stamp-"+e.id)
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for i := range engineEvents {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(engineEventTime):
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i+1, i+1)
		_ = controller.Flush()
	}
}

// acceptedOrders returns the accepted orders so far.
func (e *engine) acceptedOrders() []acceptedOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]acceptedOrder(nil), e.orders...)
}

// publishEngineConfig writes a configuration with one route to the engines.
func (d *deployment) publishEngineConfig() {
	streaming := route("guide-brief", "/brief/", "streaming", "fjell-lm", 15000, 1)
	streaming["objective-ms"], streaming["gap-objective-ms"], streaming["session-affinity"] = 1000, 300, true
	d.publishConfig(1, []any{streaming}, []any{map[string]any{"name": "fjell-lm", "health-path": "/health", "connection-limit": 610, "engine": map[string]any{
		"slots": 128, "kv-capacity-tokens": 139149, "weights-mb": 36000, "adapter-slots": engineSlots, "loads-per-s": 3.4, "stride": 2,
		"models": []any{map[string]any{"name": engineModel, "weights-mb": 34300, "load-s": 2.7, "adapters": engineAdapters, "adapter-mb": 40}},
	}}}, []string{caseKey})
}
