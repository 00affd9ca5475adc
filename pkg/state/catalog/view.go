package catalog

import (
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/records"
)

// View is an immutable snapshot of the records in force, without adapters.
// What it returns is shared and must not be changed.
type View struct {
	dataCentres map[ids.DataCentreID]*records.DataCentre
	customers   map[ids.CustomerID]*records.Customer
	keys        map[uint64][]keyEntry
	routes      routeIndex
	endpoints   endpointIndex
	weightStore *records.WeightStore
}

// KeyState tells what is known of a caller's key.
type KeyState uint8

// The states of a caller's key.
const (
	KeyUnknown KeyState = iota
	KeyActive
	KeyWithdrawn
)

// KeyHash is the SHA-256 of a caller's key.
type KeyHash [32]byte

type keyEntry struct {
	hash      KeyHash
	customer  ids.CustomerID
	withdrawn bool
	revision  ids.Revision
}

// Route is a route record with its id.
type Route struct {
	ID ids.RouteID
	*records.Route
}

// Endpoint is an endpoint record with its id.
type Endpoint struct {
	ID ids.EndpointID
	*records.Endpoint
}

// Policy is a customer's limits as they apply in one data centre.
type Policy struct {
	Customer ids.CustomerID
	// TokensPerSecond and BurstTokens are those of the whole customer.
	TokensPerSecond float64
	BurstTokens     float64
	// DataCentreShare is the part of both that belongs to the data centre,
	// from 0 to 1.
	DataCentreShare float64
	// Seats divides the data centre's share among its VMs.
	Seats int
	// QueueWeight is the customer's weight in fair queues.
	QueueWeight float64
}

type routeIndex map[string]Route

type endpointIndex struct {
	all       []Endpoint
	byModel   map[string][]Endpoint
	byService map[string][]Endpoint
}

func newView() *View {
	return &View{}
}

// CustomerByKey returns the customer of a caller's key. The lookup finds
// candidates by the first eight bytes of the hash and compares whole hashes in
// constant time. Timing can at most tell eight bytes of a SHA-256, from which
// no key can be computed.
func (v *View) CustomerByKey(hash KeyHash) (ids.CustomerID, KeyState) {
	state := KeyUnknown
	for _, candidate := range v.keys[binary.BigEndian.Uint64(hash[:])] {
		if subtle.ConstantTimeCompare(candidate.hash[:], hash[:]) != 1 {
			continue
		}
		if !candidate.withdrawn {
			return candidate.customer, KeyActive
		}
		state = KeyWithdrawn
	}
	return "", state
}

// Customer returns a customer record.
func (v *View) Customer(id ids.CustomerID) (*records.Customer, bool) {
	customer, found := v.customers[id]
	return customer, found
}

// Customers lists the ids of all customers in order.
func (v *View) Customers() []ids.CustomerID {
	return sortedKeys(v.customers)
}

// DataCentre returns a data centre record.
func (v *View) DataCentre(id ids.DataCentreID) (*records.DataCentre, bool) {
	dataCentre, found := v.dataCentres[id]
	return dataCentre, found
}

// DataCentres lists the ids of all data centres in order.
func (v *View) DataCentres() []ids.DataCentreID {
	return sortedKeys(v.dataCentres)
}

// Regions returns the region of every data centre. The map is new.
func (v *View) Regions() map[ids.DataCentreID]string {
	regions := make(map[ids.DataCentreID]string, len(v.dataCentres))
	for id, dataCentre := range v.dataCentres {
		regions[id] = dataCentre.Region
	}
	return regions
}

// Policy returns a customer's limits as they apply in one data centre.
func (v *View) Policy(customer ids.CustomerID, dataCentre ids.DataCentreID) (Policy, bool) {
	spec, found := v.customers[customer]
	if !found {
		return Policy{}, false
	}
	policy := Policy{
		Customer:        customer,
		TokensPerSecond: spec.TokensPerSecond,
		BurstTokens:     spec.BurstTokens,
		QueueWeight:     spec.Weight,
		DataCentreShare: v.share(spec, dataCentre),
	}
	if here, known := v.dataCentres[dataCentre]; known {
		policy.Seats = here.Seats
	}
	return policy, true
}

// share returns a data centre's part of a customer's rate. Weights of the
// customer replace those of the data centres; a data centre that they do not
// name has none.
func (v *View) share(spec *records.Customer, dataCentre ids.DataCentreID) float64 {
	if len(spec.DataCentreWeights) > 0 {
		sum := 0.0
		for _, id := range sortedKeys(spec.DataCentreWeights) {
			sum += spec.DataCentreWeights[id]
		}
		return part(spec.DataCentreWeights[dataCentre], sum)
	}
	here, known := v.dataCentres[dataCentre]
	if !known {
		return 0
	}
	sum := 0.0
	for _, id := range sortedKeys(v.dataCentres) {
		sum += v.dataCentres[id].Weight
	}
	return part(here.Weight, sum)
}

func part(weight, sum float64) float64 {
	if sum <= 0 {
		return 0
	}
	return weight / sum
}

// Route returns the route with the longest prefix of a path. A prefix matches
// whole path segments: /book matches /book and /book/1 but not /booking.
func (v *View) Route(path string) (Route, bool) {
	for {
		if route, found := v.routes[path]; found {
			return route, true
		}
		if path == "" {
			return Route{}, false
		}
		if strings.HasSuffix(path, "/") {
			path = path[:len(path)-1]
			continue
		}
		path = path[:strings.LastIndexByte(path, '/')+1]
	}
}

// Endpoint returns an endpoint record.
func (v *View) Endpoint(id ids.EndpointID) (Endpoint, bool) {
	at, found := findEndpoint(v.endpoints.all, id)
	if !found {
		return Endpoint{}, false
	}
	return v.endpoints.all[at], true
}

// Endpoints lists all endpoints in order of id.
func (v *View) Endpoints() []Endpoint {
	return v.endpoints.all
}

// ModelEndpoints lists the engines of a base model in order of id, leaving
// ones included.
func (v *View) ModelEndpoints(baseModel string) []Endpoint {
	return v.endpoints.byModel[baseModel]
}

// ServiceEndpoints lists the instances of a plain service in order of id,
// leaving ones included.
func (v *View) ServiceEndpoints(service string) []Endpoint {
	return v.endpoints.byService[service]
}

// WeightStore returns the limits of the weight store, or nil.
func (v *View) WeightStore() *records.WeightStore {
	return v.weightStore
}

// ResolveState tells whether an adapter version may run.
type ResolveState uint8

// The results of resolving an adapter version.
const (
	ResolveOK ResolveState = iota
	ResolveAdapterUnknown
	ResolveVersionUnknown
	ResolveVersionWithdrawn
)

// Adapter returns an adapter record. The record must not be changed.
func (c *Catalog) Adapter(id ids.AdapterID) (*records.Adapter, bool) {
	return c.adapters.Get(id)
}

// Adapters visits all adapters until visit returns false.
func (c *Catalog) Adapters(visit func(ids.AdapterID, *records.Adapter) bool) {
	c.adapters.Range(visit)
}

// Resolve returns the adapter and the version that a request stands for;
// version zero selects the default version.
func (c *Catalog) Resolve(id ids.AdapterID, version ids.AdapterVersion) (*records.Adapter, records.Version, ResolveState) {
	adapter, found := c.adapters.Get(id)
	if !found {
		return nil, records.Version{}, ResolveAdapterUnknown
	}
	if version == 0 {
		version = adapter.DefaultVersion
	}
	for _, candidate := range adapter.Versions {
		if candidate.Version != version {
			continue
		}
		if candidate.State == records.VersionWithdrawn {
			return adapter, candidate, ResolveVersionWithdrawn
		}
		return adapter, candidate, ResolveOK
	}
	return adapter, records.Version{}, ResolveVersionUnknown
}

// rebuildView replaces the parts of the view that the changed keys belong to.
func (c *Catalog) rebuildView(changed []string) {
	kinds := make(map[records.Kind]bool)
	var endpoints []ids.EndpointID
	for _, key := range changed {
		kind := kindOf(key)
		kinds[kind] = true
		if kind == records.KindEndpoint {
			endpoints = append(endpoints, ids.EndpointID(key[len(kind)+1:]))
		}
	}
	delete(kinds, records.KindAdapter)
	if len(kinds) == 0 {
		return
	}
	next := *c.view.Load()
	if kinds[records.KindDataCentre] {
		next.dataCentres = collect(c, records.KindDataCentre, func(id ids.DataCentreID, r *records.Record) *records.DataCentre { return r.DataCentre })
	}
	if kinds[records.KindCustomer] {
		next.customers = collect(c, records.KindCustomer, func(id ids.CustomerID, r *records.Record) *records.Customer { return r.Customer })
	}
	if kinds[records.KindKey] {
		next.keys = c.keyIndex()
	}
	if kinds[records.KindRoute] {
		next.routes = c.routeIndex()
	}
	if kinds[records.KindEndpoint] {
		next.endpoints = c.nextEndpoints(next.endpoints, endpoints)
	}
	if kinds[records.KindWeightStore] {
		next.weightStore = c.firstWeightStore()
	}
	c.view.Store(&next)
}

// collect gathers the records of one kind.
func collect[ID ~string, V any](c *Catalog, kind records.Kind, spec func(ID, *records.Record) V) map[ID]V {
	found := make(map[ID]V)
	for _, e := range c.entries[kind] {
		if e.record != nil {
			id := ID(e.record.ID)
			found[id] = spec(id, e.record)
		}
	}
	return found
}

// keyIndex finds customers by key hash. When two records publish one hash, the
// earlier publication wins on every VM.
func (c *Catalog) keyIndex() map[uint64][]keyEntry {
	index := make(map[uint64][]keyEntry)
	for _, e := range c.entries[records.KindKey] {
		spec, withdrawn := e.withdrawnKey, true
		if e.record != nil {
			spec, withdrawn = e.record.Key, false
		}
		if spec == nil {
			continue
		}
		candidate := keyEntry{customer: spec.Customer, withdrawn: withdrawn, revision: e.revision}
		if _, err := hex.Decode(candidate.hash[:], []byte(spec.SHA256)); err != nil {
			continue
		}
		bucket := binary.BigEndian.Uint64(candidate.hash[:])
		index[bucket] = append(index[bucket], candidate)
	}
	for _, candidates := range index {
		slices.SortFunc(candidates, func(a, b keyEntry) int { return int(int64(a.revision) - int64(b.revision)) })
	}
	return index
}

// routeIndex finds routes by prefix. When two records publish one prefix, the
// one with the lower id wins on every VM.
func (c *Catalog) routeIndex() routeIndex {
	index := make(routeIndex)
	for id, spec := range collect(c, records.KindRoute, func(id ids.RouteID, r *records.Record) *records.Route { return r.Route }) {
		held, taken := index[spec.PathPrefix]
		if !taken || id < held.ID {
			index[spec.PathPrefix] = Route{ID: id, Route: spec}
		}
	}
	return index
}

// firstWeightStore returns the weight store with the lowest id.
func (c *Catalog) firstWeightStore() *records.WeightStore {
	stores := collect(c, records.KindWeightStore, func(id string, r *records.Record) *records.WeightStore { return r.WeightStore })
	for _, id := range sortedKeys(stores) {
		return stores[id]
	}
	return nil
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
