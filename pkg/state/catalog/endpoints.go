package catalog

import (
	"cmp"
	"maps"
	"slices"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
)

// maxIncrementalEndpoints is the largest number of changed endpoints for which
// the index is updated in place of a rebuild. Each update copies the slices
// that list the endpoint, so a rebuild is cheaper for more changes.
const maxIncrementalEndpoints = 16

// updateEndpointIndex returns the index after changes of some endpoints. The
// old index is shared with readers and is not modified.
func (c *Catalog) updateEndpointIndex(old endpointIndex, changed []ids.EndpointID) endpointIndex {
	if len(changed) > maxIncrementalEndpoints || old.byModel == nil {
		return c.buildEndpointIndex()
	}
	next := endpointIndex{
		all:       slices.Clone(old.all),
		byModel:   maps.Clone(old.byModel),
		byService: maps.Clone(old.byService),
	}
	for _, id := range changed {
		next.remove(id)
		e, found := c.lookupEntry(string(records.KindEndpoint) + "/" + string(id))
		if found && e.record != nil {
			next.insert(Endpoint{ID: id, Endpoint: e.record.Endpoint})
		}
	}
	return next
}

// buildEndpointIndex builds the index of all endpoints.
func (c *Catalog) buildEndpointIndex() endpointIndex {
	index := endpointIndex{byModel: make(map[string][]Endpoint), byService: make(map[string][]Endpoint)}
	specs := recordsOfKind(c, records.KindEndpoint, func(id ids.EndpointID, r *records.Record) *records.Endpoint { return r.Endpoint })
	index.all = make([]Endpoint, 0, len(specs))
	for _, id := range sortedKeys(specs) {
		endpoint := Endpoint{ID: id, Endpoint: specs[id]}
		index.all = append(index.all, endpoint)
		group, name := index.groupOf(endpoint)
		group[name] = append(group[name], endpoint)
	}
	return index
}

// groupOf returns the map that lists an endpoint, and its key in that map: the
// base model of an engine or the name of a plain service.
func (x *endpointIndex) groupOf(endpoint Endpoint) (map[string][]Endpoint, string) {
	if endpoint.Kind == records.EndpointModel {
		return x.byModel, endpoint.BaseModel
	}
	return x.byService, endpoint.Service
}

// remove removes an endpoint. It modifies x.all and the maps in place, so these
// must not be shared with readers; the slices in the maps may be shared.
func (x *endpointIndex) remove(id ids.EndpointID) {
	pos, found := findEndpoint(x.all, id)
	if !found {
		return
	}
	group, name := x.groupOf(x.all[pos])
	x.all = slices.Delete(x.all, pos, pos+1)
	members := slices.Clone(group[name])
	if memberPos, found := findEndpoint(members, id); found {
		members = slices.Delete(members, memberPos, memberPos+1)
	}
	group[name] = members
}

// insert adds an endpoint. It modifies x.all and the maps in place, so these
// must not be shared with readers; the slices in the maps may be shared.
func (x *endpointIndex) insert(endpoint Endpoint) {
	pos, _ := findEndpoint(x.all, endpoint.ID)
	x.all = slices.Insert(x.all, pos, endpoint)
	group, name := x.groupOf(endpoint)
	members := slices.Clone(group[name])
	pos, _ = findEndpoint(members, endpoint.ID)
	group[name] = slices.Insert(members, pos, endpoint)
}

// findEndpoint returns the position of an endpoint in a slice sorted by id, or
// where to insert it, and reports whether it is there.
func findEndpoint(sorted []Endpoint, id ids.EndpointID) (int, bool) {
	return slices.BinarySearchFunc(sorted, id, func(e Endpoint, id ids.EndpointID) int { return cmp.Compare(e.ID, id) })
}
