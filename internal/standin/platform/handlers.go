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

// PathCalls returns the counters of the readers' calls.
const PathCalls = "/standin/calls"

// maxValueBytes bounds the value of a record, and the body of a published VM
// list.
const maxValueBytes = 1 << 20

// maxWait bounds how long a watch waits for a change.
const maxWait = time.Minute

// PutResult is the response to the PUT and DELETE requests of operators.
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
	if p.admitCall(w, r, func(c *Calls) { c.Listings++ }) {
		standin.WriteJSON(w, http.StatusOK, p.listing(r.URL.Query().Get("prefix")))
	}
}

func (p *Platform) handleWatch(w http.ResponseWriter, r *http.Request) {
	after, wait, err := parseWatchParameters(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !p.admitCall(w, r, func(c *Calls) { c.Watches++ }) {
		return
	}
	defer p.trackWaitingWatch()()
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
	after, wait, err := parseWatchParameters(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !p.admitCall(w, r, func(c *Calls) { c.VMLists++ }) {
		return
	}
	defer p.trackWaitingWatch()()
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
		// A nil channel never fires: without a delayed list there is no time
		// to wait for.
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

// parseWatchParameters returns the revision and the wait from the query
// parameters after and waitMillis. The wait is at most maxWait.
func parseWatchParameters(r *http.Request) (ids.Revision, time.Duration, error) {
	query := r.URL.Query()
	after, err := parseOptionalNumber(query.Get("after"))
	if err != nil {
		return 0, 0, fmt.Errorf("after: %w", err)
	}
	millis, err := parseOptionalNumber(query.Get("waitMillis"))
	if err != nil {
		return 0, 0, fmt.Errorf("waitMillis: %w", err)
	}
	return ids.Revision(after), min(time.Duration(millis)*time.Millisecond, maxWait), nil
}

// parseOptionalNumber parses a number; an empty text stands for 0.
func parseOptionalNumber(text string) (uint64, error) {
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
	p.applyChange(w, r, platformapi.Event{Key: r.PathValue("key"), Value: value})
}

func (p *Platform) handleDelete(w http.ResponseWriter, r *http.Request) {
	p.applyChange(w, r, platformapi.Event{Key: r.PathValue("key"), Deleted: true})
}

// applyChange publishes or withdraws a record. If the request has an If-Match
// header, it must hold the newest revision of the key. Revision 0 matches a key
// that was never used.
func (p *Platform) applyChange(w http.ResponseWriter, r *http.Request, event platformapi.Event) {
	if event.Key == "" {
		http.Error(w, "the key is missing", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	revision, exists := p.lastRevision(event.Key)
	if match := strings.Trim(r.Header.Get("If-Match"), `"`); match != "" {
		want, err := strconv.ParseUint(match, 10, 63)
		if err != nil {
			http.Error(w, "If-Match is not a revision", http.StatusBadRequest)
			return
		}
		if ids.Revision(want) != revision {
			http.Error(w, fmt.Sprintf("the newest revision of %s is %d", event.Key, revision), http.StatusPreconditionFailed)
			return
		}
	}
	if event.Deleted && !exists {
		http.Error(w, "no such record", http.StatusNotFound)
		return
	}
	standin.WriteJSON(w, http.StatusOK, PutResult{Revision: p.appendEvent(event)})
}

// lastRevision returns the revision of the last change of a key, or 0 if there
// is none, and whether the record exists now. The caller holds p.mu.
func (p *Platform) lastRevision(key string) (revision ids.Revision, exists bool) {
	for i := len(p.changeLog) - 1; i >= 0; i-- {
		if p.changeLog[i].Key == key {
			return p.changeLog[i].Revision, !p.changeLog[i].Deleted
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
