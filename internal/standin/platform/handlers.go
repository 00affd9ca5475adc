package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/wagtailspoke/wagtailspoke/internal/standin"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/platformapi"
)

// PathCalls shows the counters of readers' calls.
const PathCalls = "/standin/calls"

// maxValueBytes is the largest record value.
const maxValueBytes = 1 << 20

// maxWait bounds a watch.
const maxWait = time.Minute

// PutResult is the answer to an operator's PUT and DELETE.
type PutResult struct {
	Revision ids.Revision `json:"revision"`
}

func (p *Platform) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platformapi.PathRecords, p.handleListing)
	mux.HandleFunc("GET "+platformapi.PathWatch, p.handleWatch)
	mux.HandleFunc("GET "+platformapi.PathVMs, p.handleVMs)
	mux.HandleFunc("PUT "+platformapi.PathRecords+"/{key...}", p.handlePut)
	mux.HandleFunc("DELETE "+platformapi.PathRecords+"/{key...}", p.handleDelete)
	mux.HandleFunc("PUT "+platformapi.PathVMs, p.handlePutVMs)
	mux.HandleFunc("GET "+PathCalls, func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, p.Calls())
	})
	mux.HandleFunc(standin.PathFault, standin.FaultHandler(p.Faults, p.SetFaults))
	return mux
}

func (p *Platform) handleListing(w http.ResponseWriter, r *http.Request) {
	if p.admit(w, r, func(c *Calls) { c.Listings++ }) {
		standin.WriteJSON(w, http.StatusOK, p.listing(r.URL.Query().Get("prefix")))
	}
}

func (p *Platform) handleWatch(w http.ResponseWriter, r *http.Request) {
	after, wait, err := watchParameters(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !p.admit(w, r, func(c *Calls) { c.Watches++ }) {
		return
	}
	defer p.waiting()()
	timeout := time.After(wait)
	for {
		changes, changed, status := p.changesAfter(after)
		if status != http.StatusOK {
			http.Error(w, http.StatusText(status), status)
			return
		}
		if len(changes.Events) > 0 || wait == 0 {
			standin.WriteJSON(w, http.StatusOK, changes)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) handleVMs(w http.ResponseWriter, r *http.Request) {
	after, wait, err := watchParameters(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !p.admit(w, r, func(c *Calls) { c.VMLists++ }) {
		return
	}
	defer p.waiting()()
	timeout := time.After(wait)
	for {
		list, changed, due, status := p.vmList(time.Now())
		if status != http.StatusOK {
			http.Error(w, http.StatusText(status), status)
			return
		}
		if list.Revision > after || wait == 0 {
			standin.WriteJSON(w, http.StatusOK, list)
			return
		}
		// A nil channel never fires: without a lagging list nothing is due.
		var becomesVisible <-chan time.Time
		if !due.IsZero() {
			becomesVisible = time.After(time.Until(due))
		}
		select {
		case <-changed:
		case <-becomesVisible:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// watchParameters reads after and waitMillis.
func watchParameters(r *http.Request) (ids.Revision, time.Duration, error) {
	query := r.URL.Query()
	after, err := optionalNumber(query.Get("after"))
	if err != nil {
		return 0, 0, fmt.Errorf("after: %w", err)
	}
	millis, err := optionalNumber(query.Get("waitMillis"))
	if err != nil {
		return 0, 0, fmt.Errorf("waitMillis: %w", err)
	}
	return ids.Revision(after), min(time.Duration(millis)*time.Millisecond, maxWait), nil
}

func optionalNumber(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 63)
}

func (p *Platform) handlePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if !json.Valid(value) {
		http.Error(w, "the value is not JSON", http.StatusBadRequest)
		return
	}
	p.change(w, r, platformapi.Event{Key: r.PathValue("key"), Value: value})
}

func (p *Platform) handleDelete(w http.ResponseWriter, r *http.Request) {
	p.change(w, r, platformapi.Event{Key: r.PathValue("key"), Deleted: true})
}

// change publishes an event if the revision in If-Match, when there is one,
// is the newest of the key. Revision 0 matches a key that was never used.
func (p *Platform) change(w http.ResponseWriter, r *http.Request, event platformapi.Event) {
	if event.Key == "" {
		http.Error(w, "the key is missing", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	newest, exists := p.newest(event.Key)
	if match := strings.Trim(r.Header.Get("If-Match"), `"`); match != "" {
		want, err := strconv.ParseUint(match, 10, 63)
		if err != nil {
			http.Error(w, "If-Match is not a revision", http.StatusBadRequest)
			return
		}
		if ids.Revision(want) != newest {
			http.Error(w, fmt.Sprintf("the newest revision of %s is %d", event.Key, newest), http.StatusPreconditionFailed)
			return
		}
	}
	if event.Deleted && !exists {
		http.Error(w, "no such record", http.StatusNotFound)
		return
	}
	standin.WriteJSON(w, http.StatusOK, PutResult{Revision: p.append(event)})
}

// newest returns the revision of the last change of a key, and whether the
// record exists. The caller holds the lock.
func (p *Platform) newest(key string) (revision ids.Revision, exists bool) {
	for i := len(p.log) - 1; i >= 0; i-- {
		if p.log[i].Key == key {
			return p.log[i].Revision, !p.log[i].Deleted
		}
	}
	return 0, false
}

func (p *Platform) handlePutVMs(w http.ResponseWriter, r *http.Request) {
	var list platformapi.VMList
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxValueBytes)).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	standin.WriteJSON(w, http.StatusOK, PutResult{Revision: p.PutVMs(list.VMs)})
}
