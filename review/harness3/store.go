// Package harness3 holds the stand-ins and the helpers of the review's scripts: the
// platform's store, workers, clients, and the processes of a small deployment.
package harness3

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store with its value, or a change that deleted the key.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Tombstone bool   `json:"tombstone,omitempty"`

	at time.Time
}

// Limits of the store, as the sheet of the site isbreen-tur and PROTOCOL.md state them.
const (
	// History is how long changes can be watched afterwards.
	History = 20 * time.Second
	// ValueBytes is the longest value.
	ValueBytes = 1 << 20
	// pageItems is the number of items on a page of a listing, and pageBytes their size.
	pageItems = 500
	pageBytes = 1 << 20
	// answerTime is how long the store takes for an answer.
	answerTime = 4 * time.Millisecond
)

// Store is a stand-in of the platform's metadata store.
type Store struct {
	mu       sync.Mutex
	changed  chan struct{}
	revision uint64
	items    map[string]item
	history  []item
	// forgotten is the highest revision whose change is no longer kept.
	forgotten uint64
	// rejected holds the addresses of machines whose calls get 503.
	rejected map[string]bool

	listener net.Listener
	server   *http.Server
}

// NewStore starts a store on a loopback address.
func NewStore() (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{changed: make(chan struct{}), revision: 1, items: make(map[string]item), rejected: make(map[string]bool), listener: listener}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-range", s.list)
	mux.HandleFunc("GET /api/kv-watch", s.watch)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Address returns the store's address.
func (s *Store) Address() string { return s.listener.Addr().String() }

// Put writes a value as JSON and returns the time of the acknowledgement.
func (s *Store) Put(key string, value any) time.Time {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	if len(body) > ValueBytes {
		panic("value longer than value-bytes: " + strconv.Itoa(len(body)))
	}
	return s.write(item{Key: key, Value: body})
}

// NewestVersion returns the newest version of an adapter that was declared, or 1.
func (s *Store) NewestVersion(model, adapter string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var declared struct{ Version int }
	if err := json.Unmarshal(s.items["op/version/"+model+"."+adapter].Value, &declared); err != nil {
		return 1
	}
	return max(declared.Version, 1)
}

// Declare declares a version of an adapter.
func (s *Store) Declare(model, adapter string, version int) time.Time {
	return s.Put("op/version/"+model+"."+adapter, map[string]any{"model": model, "adapter": adapter, "version": version})
}

// Delete removes a key.
func (s *Store) Delete(key string) time.Time { return s.write(item{Key: key, Tombstone: true}) }

func (s *Store) write(change item) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	change.Revision, change.at = s.revision, time.Now()
	if change.Tombstone {
		delete(s.items, change.Key)
	} else {
		s.items[change.Key] = change
	}
	s.history = append(s.history, change)
	close(s.changed)
	s.changed = make(chan struct{})
	return change.at
}

// Reject makes the store answer 503 to the machine at an IP address, or serve it again.
func (s *Store) Reject(ip string, rejected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejected[ip] = rejected
	close(s.changed)
	s.changed = make(chan struct{})
}

// isRejected reports whether the caller's machine is rejected. It has then answered.
func (s *Store) isRejected(w http.ResponseWriter, r *http.Request) bool {
	ip, _, _ := net.SplitHostPort(r.RemoteAddr)
	s.mu.Lock()
	rejected := s.rejected[ip]
	s.mu.Unlock()
	if rejected {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return rejected
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	if s.isRejected(w, r) {
		return
	}
	prefix, after := r.URL.Query().Get("path-prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var page []item
	for key, stored := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page = append(page, stored)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(page, func(i, j int) bool { return page[i].Key < page[j].Key })
	count, size := 0, 0
	for count < len(page) && count < pageItems && (count == 0 || size+len(page[count].Value) <= pageBytes) {
		size += len(page[count].Value)
		count++
	}
	writeJSON(w, map[string]any{"items": page[:count], "has-more": count < len(page), "at": at})
}

// forget drops the changes that are older than History. The caller holds mu.
func (s *Store) forget() {
	limit := time.Now().Add(-History)
	for len(s.history) > 0 && s.history[0].at.Before(limit) {
		s.forgotten = s.history[0].Revision
		s.history = s.history[1:]
	}
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		if s.isRejected(w, r) {
			return
		}
		s.mu.Lock()
		s.forget()
		gone, at, changed := after < s.forgotten || after > s.revision, s.revision, s.changed
		events := slices.Clone(s.history)
		s.mu.Unlock()
		events = slices.DeleteFunc(events, func(e item) bool {
			return e.Revision <= after || !strings.HasPrefix(e.Key, query.Get("path-prefix"))
		})
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			writeJSON(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			writeJSON(w, map[string]any{"events": []item{}, "at": at})
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
