package catalog

import (
	"cmp"
	"maps"
	"slices"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
)

// rebuildAbove is from how many changed endpoints on the index is built anew.
// Changing it costs a copy of its slices for each endpoint.
const rebuildAbove = 16

// nextEndpoints returns the index after a change of some endpoints. The index
// before is shared with readers and stays as it is.
func (c *Catalog) nextEndpoints(old endpointIndex, changed []ids.EndpointID) endpointIndex {
	if len(changed) > rebuildAbove || old.byModel == nil {
		return c.endpointIndex()
	}
	next := endpointIndex{
		all:       slices.Clone(old.all),
		byModel:   maps.Clone(old.byModel),
		byService: maps.Clone(old.byService),
	}
	for _, id := range changed {
		next.remove(id)
		e, found := c.entry(string(records.KindEndpoint) + "/" + string(id))
		if found && e.record != nil {
			next.insert(Endpoint{ID: id, Endpoint: e.record.Endpoint})
		}
	}
	return next
}

// endpointIndex builds the index of all endpoints.
func (c *Catalog) endpointIndex() endpointIndex {
	index := endpointIndex{byModel: make(map[string][]Endpoint), byService: make(map[string][]Endpoint)}
	specs := collect(c, records.KindEndpoint, func(id ids.EndpointID, r *records.Record) *records.Endpoint { return r.Endpoint })
	index.all = make([]Endpoint, 0, len(specs))
	for _, id := range sortedKeys(specs) {
		endpoint := Endpoint{ID: id, Endpoint: specs[id]}
		index.all = append(index.all, endpoint)
		group, name := index.group(endpoint)
		group[name] = append(group[name], endpoint)
	}
	return index
}

// group returns the index and the name under which an endpoint is listed.
func (x *endpointIndex) group(endpoint Endpoint) (map[string][]Endpoint, string) {
	if endpoint.Kind == records.EndpointModel {
		return x.byModel, endpoint.BaseModel
	}
	return x.byService, endpoint.Service
}

// remove drops an endpoint from an index whose slice of all is not shared.
func (x *endpointIndex) remove(id ids.EndpointID) {
	at, found := findEndpoint(x.all, id)
	if !found {
		return
	}
	group, name := x.group(x.all[at])
	x.all = slices.Delete(x.all, at, at+1)
	others := slices.Clone(group[name])
	if at, found := findEndpoint(others, id); found {
		others = slices.Delete(others, at, at+1)
	}
	group[name] = others
}

// insert adds an endpoint to an index whose slice of all is not shared.
func (x *endpointIndex) insert(endpoint Endpoint) {
	at, _ := findEndpoint(x.all, endpoint.ID)
	x.all = slices.Insert(x.all, at, endpoint)
	group, name := x.group(endpoint)
	others := slices.Clone(group[name])
	at, _ = findEndpoint(others, endpoint.ID)
	group[name] = slices.Insert(others, at, endpoint)
}

func findEndpoint(sorted []Endpoint, id ids.EndpointID) (int, bool) {
	return slices.BinarySearchFunc(sorted, id, func(e Endpoint, id ids.EndpointID) int { return cmp.Compare(e.ID, id) })
}
