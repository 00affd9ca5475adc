package engines

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/engineapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// LoadAdapter orders an engine to load an adapter version from the location
// source. It returns when the adapter is resident. In preSendCheck the
// endpoint's owner checks that it may still issue orders.
func (c *Client) LoadAdapter(ctx context.Context, endpoint Endpoint, fence ids.FencingToken, model ids.AdapterRef, source string, preSendCheck PreSendCheck) *Failure {
	body := engineapi.LoadAdapterRequest{LoraName: model.String(), LoraPath: source}
	return c.sendOrder(ctx, endpoint, "load adapter", engineapi.PathLoadAdapter, fence, body, preSendCheck)
}

// UnloadAdapter orders an engine to remove an adapter version from its memory.
func (c *Client) UnloadAdapter(ctx context.Context, endpoint Endpoint, fence ids.FencingToken, model ids.AdapterRef, preSendCheck PreSendCheck) *Failure {
	body := engineapi.UnloadAdapterRequest{LoraName: model.String()}
	return c.sendOrder(ctx, endpoint, "unload adapter", engineapi.PathUnloadAdapter, fence, body, preSendCheck)
}

// sendOrder sends a load or unload order. The call is not repeatable and thus
// uses a new connection: after one check of the owner's authority, an order
// must not be written twice.
func (c *Client) sendOrder(ctx context.Context, endpoint Endpoint, step, path string, fence ids.FencingToken, payload any, preSendCheck PreSendCheck) *Failure {
	call := c.newCall(ctx, endpoint, step, c.config.OrderTimeout)
	body, err := json.Marshal(payload)
	if err != nil {
		call.release()
		return call.newFailure(CausePreSendCheck, err)
	}
	header := jsonHeader()
	header.Set(engineapi.HeaderFencingToken, strconv.FormatUint(uint64(fence), 10))
	response, failure := call.send(requestSpec{
		method:       http.MethodPost,
		target:       path,
		header:       header,
		body:         body,
		preSendCheck: preSendCheck,
	})
	if failure != nil {
		call.release()
		return failure
	}
	if response.StatusCode != http.StatusOK {
		return call.statusFailure(response)
	}
	call.drainAndRelease(response.Body)
	return nil
}

// FetchLoadReport reads the load report of an engine or a plain HTTP service.
func (c *Client) FetchLoadReport(ctx context.Context, endpoint Endpoint) (engineapi.LoadReport, *Failure) {
	var report engineapi.LoadReport
	call := c.newCall(ctx, endpoint, "read load report", c.config.FirstByteTimeout)
	response, failure := call.send(requestSpec{
		method:     http.MethodGet,
		target:     engineapi.PathLoad,
		repeatable: true,
	})
	if failure != nil {
		call.release()
		return report, failure
	}
	if response.StatusCode != http.StatusOK {
		return report, call.statusFailure(response)
	}
	err := json.NewDecoder(response.Body).Decode(&report)
	if err != nil {
		failure := call.transportFailure(err)
		_ = response.Body.Close()
		call.release()
		return report, failure
	}
	call.drainAndRelease(response.Body)
	return report, nil
}
