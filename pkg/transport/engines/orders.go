package engines

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/engineapi"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
)

// Load orders an engine to load an adapter version from source. It returns
// when the adapter is resident. gate is where the owner checks its authority.
func (c *Client) Load(ctx context.Context, endpoint Endpoint, fence ids.FencingToken, model ids.AdapterRef, source string, gate Gate) *Failure {
	body := engineapi.LoadAdapterRequest{LoraName: model.String(), LoraPath: source}
	return c.order(ctx, endpoint, "load adapter", engineapi.PathLoadAdapter, fence, body, gate)
}

// Unload orders an engine to drop an adapter version.
func (c *Client) Unload(ctx context.Context, endpoint Endpoint, fence ids.FencingToken, model ids.AdapterRef, gate Gate) *Failure {
	body := engineapi.UnloadAdapterRequest{LoraName: model.String()}
	return c.order(ctx, endpoint, "unload adapter", engineapi.PathUnloadAdapter, fence, body, gate)
}

// order sends one order. It counts as not repeatable, so it never meets a
// kept connection: an order must not be written twice under one check of the
// authority.
func (c *Client) order(ctx context.Context, endpoint Endpoint, step, path string, fence ids.FencingToken, order any, gate Gate) *Failure {
	call := c.start(ctx, endpoint, step, c.config.Order)
	body, err := json.Marshal(order)
	if err != nil {
		call.end()
		return call.fail(CauseGate, err)
	}
	header := jsonHeader()
	header.Set(engineapi.HeaderFencingToken, strconv.FormatUint(uint64(fence), 10))
	response, failure := call.send(transmission{
		method: http.MethodPost,
		target: path,
		header: header,
		body:   body,
		gate:   gate,
	})
	if failure != nil {
		call.end()
		return failure
	}
	if response.StatusCode != http.StatusOK {
		return call.refused(response)
	}
	call.finish(response.Body)
	return nil
}

// Report reads the load report of an engine or a plain service.
func (c *Client) Report(ctx context.Context, endpoint Endpoint) (engineapi.LoadReport, *Failure) {
	var report engineapi.LoadReport
	call := c.start(ctx, endpoint, "read load report", c.config.FirstByte)
	response, failure := call.send(transmission{
		method:     http.MethodGet,
		target:     engineapi.PathLoad,
		repeatable: true,
	})
	if failure != nil {
		call.end()
		return report, failure
	}
	if response.StatusCode != http.StatusOK {
		return report, call.refused(response)
	}
	err := json.NewDecoder(response.Body).Decode(&report)
	if err != nil {
		failure := call.transportFailure(err)
		_ = response.Body.Close()
		call.end()
		return report, failure
	}
	call.finish(response.Body)
	return report, nil
}
