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

// timedReport is a load report and the time at which it was created.
type timedReport struct {
	report    engineapi.LoadReport
	createdAt time.Time
}

func (e *Engine) handleLoadAdapter(w http.ResponseWriter, r *http.Request) {
	var order engineapi.LoadAdapterRequest
	if !decode(w, r, &order) || standin.HangIfSilent(r) {
		return
	}
	ref, err := ids.ParseAdapterRef(order.LoraName)
	if err != nil {
		sendError(w, http.StatusBadRequest, engineapi.ErrorInvalid, "%v", err)
		return
	}
	if !e.checkFencingToken(w, r, order.LoraName) {
		return
	}
	finished, bootCtx, ok := e.reserveSlot(w, order.LoraName)
	if !ok {
		return
	}
	// The load continues if the connection of the order ends, as on a real
	// engine. Only a restart cancels it.
	digest, err := e.fetchWeights(bootCtx, ref, order.LoraPath)
	if !e.finishLoad(order.LoraName, finished, bootCtx, digest, err) {
		sendError(w, http.StatusInternalServerError, engineapi.ErrorLoadFailed, "loading %s failed: %v", order.LoraName, err)
		return
	}
	fmt.Fprintf(w, "Success: LoRA adapter '%s' added successfully.", order.LoraName)
}

func (e *Engine) handleUnloadAdapter(w http.ResponseWriter, r *http.Request) {
	var order engineapi.UnloadAdapterRequest
	if !decode(w, r, &order) || standin.HangIfSilent(r) {
		return
	}
	if !e.checkFencingToken(w, r, order.LoraName) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	loaded := e.resident[order.LoraName]
	if loaded == nil {
		sendError(w, http.StatusNotFound, engineapi.ErrorNotFound, "The lora adapter '%s' cannot be found.", order.LoraName)
		return
	}
	if loaded.requests > 0 {
		e.recordViolation(ViolationEvictedServing, order.LoraName, fmt.Sprintf("%d requests", loaded.requests))
	}
	loaded.cancel()
	delete(e.resident, order.LoraName)
	e.counters.Unloads++
	fmt.Fprintf(w, "Success: LoRA adapter '%s' removed successfully.", order.LoraName)
}

// checkFencingToken compares the fencing token of an order with the highest one
// seen, and reports whether the order may be carried out. An engine without
// fencing only records a lower token as a violation. If it returns false, it
// has already sent the error response.
func (e *Engine) checkFencingToken(w http.ResponseWriter, r *http.Request, model string) bool {
	token, err := fencingToken(r)
	if err != nil {
		sendError(w, http.StatusBadRequest, engineapi.ErrorInvalid, "%s: %v", engineapi.HeaderFencingToken, err)
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if token >= e.highestToken {
		e.highestToken = token
		return true
	}
	if !e.cfg.Fencing {
		e.recordViolation(ViolationStaleOrder, model, fmt.Sprintf("token %d after %d", token, e.highestToken))
		return true
	}
	e.counters.Fenced++
	sendError(w, http.StatusConflict, engineapi.ErrorFenced, "fencing token %d is older than %d", token, e.highestToken)
	return false
}

// reserveSlot reserves a slot for a load. It returns a channel that finishLoad
// closes, the context of the current boot, and whether a slot was free. If it
// returns false, it has already sent the error response.
func (e *Engine) reserveSlot(w http.ResponseWriter, model string) (chan struct{}, context.Context, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.resident[model] != nil || e.loading[model] != nil {
		sendError(w, http.StatusBadRequest, engineapi.ErrorAlreadyLoaded, "The lora adapter '%s' has already been loaded.", model)
		return nil, nil, false
	}
	if len(e.resident)+len(e.loading) >= e.cfg.Slots {
		e.recordViolation(ViolationSlotsFull, model, fmt.Sprintf("%d slots", e.cfg.Slots))
		sendError(w, http.StatusServiceUnavailable, engineapi.ErrorSlotsFull, "all %d adapter slots are taken", e.cfg.Slots)
		return nil, nil, false
	}
	finished := make(chan struct{})
	e.loading[model] = finished
	return finished, e.bootCtx, true
}

// fetchWeights loads an adapter version from the weight store and returns its
// digest. An empty path stands for the default path of the version.
func (e *Engine) fetchWeights(ctx context.Context, ref ids.AdapterRef, path string) (string, error) {
	if e.consumeLoadFault() {
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

// consumeLoadFault reports whether the fault FailLoads applies to this load,
// and counts the fault down.
func (e *Engine) consumeLoadFault() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.FailLoads == 0 {
		return false
	}
	e.faults.FailLoads--
	return true
}

// finishLoad ends a load, makes the adapter resident if the load succeeded, and
// reports whether it is resident. It ignores a load that a restart interrupted.
func (e *Engine) finishLoad(model string, finished chan struct{}, bootCtx context.Context, digest string, err error) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(finished)
	if bootCtx != e.bootCtx {
		return false
	}
	delete(e.loading, model)
	if err != nil {
		e.counters.FailedLoads++
		return false
	}
	e.counters.Loads++
	adapterCtx, cancel := context.WithCancel(bootCtx)
	e.resident[model] = &adapter{digest: digest, ctx: adapterCtx, cancel: cancel}
	return true
}

// residentModels returns the sorted names of the resident adapter versions. The
// caller holds e.mu.
func (e *Engine) residentModels() []string {
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

// recordReports records a load report at each interval until ctx ends.
func (e *Engine) recordReports(ctx context.Context) {
	ticker := time.NewTicker(e.cfg.ReportEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.mu.Lock()
			e.recordReport(now)
			e.mu.Unlock()
		}
	}
}

// recordReport appends a load report and drops the reports that are too old to
// be returned again. The first report that remains is the one to return. The
// caller holds e.mu.
func (e *Engine) recordReport(now time.Time) {
	e.sequence++
	report := engineapi.LoadReport{
		BootID:   e.bootID,
		Sequence: e.sequence,
		Running:  e.batch.running,
		Waiting:  len(e.batch.waiting),
		Resident: []engineapi.ResidentAdapter{},
	}
	for _, name := range e.residentModels() {
		report.Resident = append(report.Resident, engineapi.ResidentAdapter{Model: name, Running: e.resident[name].requests})
	}
	e.reports = append(e.reports, timedReport{report: report, createdAt: now})
	for len(e.reports) > 1 && now.Sub(e.reports[1].createdAt) >= e.cfg.ReportLag {
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
