package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/wagtailspoke/wagtailspoke/internal/standin"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/engineapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/weightsapi"
)

// agedReport is a load report and when it was true.
type agedReport struct {
	report engineapi.LoadReport
	at     time.Time
}

func (e *Engine) handleLoadAdapter(w http.ResponseWriter, r *http.Request) {
	var order engineapi.LoadAdapterRequest
	if !decode(w, r, &order) || standin.HangIfSilent(r) {
		return
	}
	ref, err := ids.ParseAdapterRef(order.LoraName)
	if err != nil {
		refuse(w, http.StatusBadRequest, engineapi.ErrorInvalid, "%v", err)
		return
	}
	if !e.checkFence(w, r, order.LoraName) {
		return
	}
	done, life, ok := e.reserve(w, order.LoraName)
	if !ok {
		return
	}
	// The load goes on when the order's connection ends, as on a real engine.
	digest, err := e.fetch(life, ref, order.LoraPath)
	if !e.finishLoad(order.LoraName, done, life, digest, err) {
		refuse(w, http.StatusInternalServerError, engineapi.ErrorLoadFailed, "loading %s failed: %v", order.LoraName, err)
		return
	}
	fmt.Fprintf(w, "Success: LoRA adapter '%s' added successfully.", order.LoraName)
}

func (e *Engine) handleUnloadAdapter(w http.ResponseWriter, r *http.Request) {
	var order engineapi.UnloadAdapterRequest
	if !decode(w, r, &order) || standin.HangIfSilent(r) {
		return
	}
	if !e.checkFence(w, r, order.LoraName) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	loaded := e.resident[order.LoraName]
	if loaded == nil {
		refuse(w, http.StatusNotFound, engineapi.ErrorNotFound, "The lora adapter '%s' cannot be found.", order.LoraName)
		return
	}
	if loaded.requests > 0 {
		e.violate(ViolationEvictedServing, order.LoraName, fmt.Sprintf("%d requests", loaded.requests))
	}
	loaded.cancel()
	delete(e.resident, order.LoraName)
	e.counters.Unloads++
	fmt.Fprintf(w, "Success: LoRA adapter '%s' removed successfully.", order.LoraName)
}

// checkFence applies the fencing token of an order. It answers the order
// itself when it returns false.
func (e *Engine) checkFence(w http.ResponseWriter, r *http.Request, model string) bool {
	token, err := fencingToken(r)
	if err != nil {
		refuse(w, http.StatusBadRequest, engineapi.ErrorInvalid, "%s: %v", engineapi.HeaderFencingToken, err)
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if token >= e.fence {
		e.fence = token
		return true
	}
	if !e.cfg.Fencing {
		e.violate(ViolationStaleOrder, model, fmt.Sprintf("token %d after %d", token, e.fence))
		return true
	}
	e.counters.Fenced++
	refuse(w, http.StatusConflict, engineapi.ErrorFenced, "fencing token %d is older than %d", token, e.fence)
	return false
}

// reserve takes a slot for a load. It answers the order itself when it
// returns false.
func (e *Engine) reserve(w http.ResponseWriter, model string) (chan struct{}, context.Context, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.resident[model] != nil || e.loading[model] != nil {
		refuse(w, http.StatusBadRequest, engineapi.ErrorAlreadyLoaded, "The lora adapter '%s' has already been loaded.", model)
		return nil, nil, false
	}
	if len(e.resident)+len(e.loading) >= e.cfg.Slots {
		e.violate(ViolationSlotsFull, model, fmt.Sprintf("%d slots", e.cfg.Slots))
		refuse(w, http.StatusServiceUnavailable, engineapi.ErrorSlotsFull, "all %d adapter slots are taken", e.cfg.Slots)
		return nil, nil, false
	}
	done := make(chan struct{})
	e.loading[model] = done
	return done, e.life, true
}

// fetch reads the weights of an adapter version from the weight store.
func (e *Engine) fetch(ctx context.Context, ref ids.AdapterRef, path string) (string, error) {
	if e.takeLoadFault() {
		return "", errors.New("not enough memory")
	}
	if e.cfg.WeightStore == "" {
		return "", nil
	}
	if path == "" {
		path = weightsapi.AdapterPath(ref)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.cfg.WeightStore+path, nil)
	if err != nil {
		return "", err
	}
	response, err := e.client.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return "", fmt.Errorf("weight store answered %s", response.Status)
	}
	var weights weightsapi.Weights
	if err := json.NewDecoder(response.Body).Decode(&weights); err != nil {
		return "", err
	}
	if weights.Adapter != ref.Adapter || weights.Version != ref.Version {
		return "", fmt.Errorf("path %s holds %s@%d, not %s", path, weights.Adapter, weights.Version, ref)
	}
	return weights.Digest, nil
}

func (e *Engine) takeLoadFault() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.FailLoads == 0 {
		return false
	}
	e.faults.FailLoads--
	return true
}

// finishLoad makes a loaded adapter resident and tells whether it is.
func (e *Engine) finishLoad(model string, done chan struct{}, life context.Context, digest string, err error) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(done)
	if life != e.life {
		return false
	}
	delete(e.loading, model)
	if err != nil {
		e.counters.FailedLoads++
		return false
	}
	e.counters.Loads++
	adapterLife, cancel := context.WithCancel(life)
	e.resident[model] = &adapter{digest: digest, life: adapterLife, cancel: cancel}
	return true
}

// models lists the resident models. The caller holds the lock.
func (e *Engine) models() []string {
	names := make([]string, 0, len(e.resident))
	for name := range e.resident {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (e *Engine) handleModels(w http.ResponseWriter, r *http.Request) {
	if standin.HangIfSilent(r) {
		return
	}
	answer := engineapi.Models{Object: "list", Data: []engineapi.Model{{ID: e.cfg.BaseModel, Object: "model"}}}
	for _, name := range e.Resident() {
		answer.Data = append(answer.Data, engineapi.Model{ID: name, Object: "model", Parent: e.cfg.BaseModel})
	}
	standin.WriteJSON(w, http.StatusOK, answer)
}

// report takes a snapshot for the load report at each interval.
func (e *Engine) report(ctx context.Context) {
	ticker := time.NewTicker(e.cfg.ReportEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.mu.Lock()
			e.snapshot(now)
			e.mu.Unlock()
		}
	}
}

// snapshot adds a load report and forgets those that no lag needs. The caller
// holds the lock.
func (e *Engine) snapshot(now time.Time) {
	e.sequence++
	report := engineapi.LoadReport{
		BootID:   e.boot,
		Sequence: e.sequence,
		Running:  e.batch.running,
		Waiting:  len(e.batch.waiting),
		Resident: []engineapi.ResidentAdapter{},
	}
	for _, name := range e.models() {
		report.Resident = append(report.Resident, engineapi.ResidentAdapter{Model: name, Running: e.resident[name].requests})
	}
	e.reports = append(e.reports, agedReport{report: report, at: now})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.cfg.ReportLag {
		e.reports = e.reports[1:]
	}
}

func (e *Engine) handleLoad(w http.ResponseWriter, r *http.Request) {
	if standin.HangIfSilent(r) {
		return
	}
	e.mu.Lock()
	report := e.reports[0].report
	e.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, report)
}
