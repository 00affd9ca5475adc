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
// Callers must not modify the records, slices and maps that it returns, unless
// a method says that they are new.
type View struct {
	dataCentres map[ids.DataCentreID]*records.DataCentre
	customers   map[ids.CustomerID]*records.Customer
	// keys holds the API keys by the first eight bytes of their hash.
	keys        map[uint64][]keyEntry
	routes      routeIndex
	endpoints   endpointIndex
	weightStore *records.WeightStore
}

// KeyState is the state of a caller's API key.
type KeyState uint8

// The states of an API key.
const (
	KeyUnknown KeyState = iota
	KeyActive
	KeyWithdrawn
)

// KeyHash is the SHA-256 of a caller's API key.
type KeyHash [32]byte

// keyEntry is a published or withdrawn API key.
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

// CustomerLimits are a customer's limits as they apply in one data centre.
type CustomerLimits struct {
	Customer ids.CustomerID
	// TokensPerSecond and BurstTokens are the customer's limits over all data
	// centres.
	TokensPerSecond float64
	BurstTokens     float64
	// DataCentreShare is the fraction of both limits that belongs to the data
	// centre, from 0 to 1.
	DataCentreShare float64
	// Seats is the largest number of entry VMs of the data centre, among which
	// its share is divided.
	Seats int
	// QueueWeight is the customer's weight in fair queues.
	QueueWeight float64
}

// routeIndex maps path prefixes to routes.
type routeIndex map[string]Route

// endpointIndex holds the endpoints in order of id: all of them, the engines by
// base model and the plain services by service name.
type endpointIndex struct {
	all       []Endpoint
	byModel   map[string][]Endpoint
	byService map[string][]Endpoint
}

func newView() *View {
	return &View{}
}

// CustomerByKey returns the customer of an API key. It looks up candidates by
// the first eight bytes of the hash and compares whole hashes in constant time.
// Timing can reveal at most eight bytes of a SHA-256 hash, from which no key
// can be computed.
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

// Customers lists the ids of all customers in ascending order, in a new slice.
func (v *View) Customers() []ids.CustomerID {
	return sortedKeys(v.customers)
}

// DataCentre returns a data centre record.
func (v *View) DataCentre(id ids.DataCentreID) (*records.DataCentre, bool) {
	dataCentre, found := v.dataCentres[id]
	return dataCentre, found
}

// DataCentres lists the ids of all data centres in ascending order, in a new
// slice.
func (v *View) DataCentres() []ids.DataCentreID {
	return sortedKeys(v.dataCentres)
}

// Regions returns the region of every data centre, in a new map.
func (v *View) Regions() map[ids.DataCentreID]string {
	regions := make(map[ids.DataCentreID]string, len(v.dataCentres))
	for id, dataCentre := range v.dataCentres {
		regions[id] = dataCentre.Region
	}
	return regions
}

// CustomerLimits returns a customer's limits as they apply in one data centre,
// and reports whether the customer exists.
func (v *View) CustomerLimits(customer ids.CustomerID, dataCentre ids.DataCentreID) (CustomerLimits, bool) {
	spec, found := v.customers[customer]
	if !found {
		return CustomerLimits{}, false
	}
	limits := CustomerLimits{
		Customer:        customer,
		TokensPerSecond: spec.TokensPerSecond,
		BurstTokens:     spec.BurstTokens,
		QueueWeight:     spec.Weight,
		DataCentreShare: v.dataCentreShare(spec, dataCentre),
	}
	if record, known := v.dataCentres[dataCentre]; known {
		limits.Seats = record.Seats
	}
	return limits, true
}

// dataCentreShare returns the fraction of a customer's limits that belongs to a
// data centre. Weights in the customer record replace those of the data centre
// records; a data centre that they do not name gets nothing.
func (v *View) dataCentreShare(customer *records.Customer, dataCentre ids.DataCentreID) float64 {
	if len(customer.DataCentreWeights) > 0 {
		totalWeight := 0.0
		for _, id := range sortedKeys(customer.DataCentreWeights) {
			totalWeight += customer.DataCentreWeights[id]
		}
		return fraction(customer.DataCentreWeights[dataCentre], totalWeight)
	}
	record, known := v.dataCentres[dataCentre]
	if !known {
		return 0
	}
	totalWeight := 0.0
	for _, id := range sortedKeys(v.dataCentres) {
		totalWeight += v.dataCentres[id].Weight
	}
	return fraction(record.Weight, totalWeight)
}

// fraction returns weight/total, or 0 if the total is not positive.
func fraction(weight, total float64) float64 {
	if total <= 0 {
		return 0
	}
	return weight / total
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
	pos, found := findEndpoint(v.endpoints.all, id)
	if !found {
		return Endpoint{}, false
	}
	return v.endpoints.all[pos], true
}

// Endpoints lists all endpoints in order of id.
func (v *View) Endpoints() []Endpoint {
	return v.endpoints.all
}

// ModelEndpoints lists the engines of a base model in order of id, including
// those in state leaving.
func (v *View) ModelEndpoints(baseModel string) []Endpoint {
	return v.endpoints.byModel[baseModel]
}

// ServiceEndpoints lists the instances of a plain service in order of id,
// including those in state leaving.
func (v *View) ServiceEndpoints(service string) []Endpoint {
	return v.endpoints.byService[service]
}

// WeightStore returns the limits of the weight store, or nil if none are
// published.
func (v *View) WeightStore() *records.WeightStore {
	return v.weightStore
}

// ResolveState is the result of resolving an adapter version: whether it may
// run, or why not.
type ResolveState uint8

// The results of resolving an adapter version.
const (
	ResolveOK ResolveState = iota
	ResolveAdapterUnknown
	ResolveVersionUnknown
	ResolveVersionWithdrawn
)

// Adapter returns an adapter record. Callers must not modify it.
func (c *Catalog) Adapter(id ids.AdapterID) (*records.Adapter, bool) {
	return c.adapters.Get(id)
}

// Adapters calls visit for every adapter until visit returns false.
func (c *Catalog) Adapters(visit func(ids.AdapterID, *records.Adapter) bool) {
	c.adapters.Range(visit)
}

// Resolve returns the adapter and version that a request selects. Version 0
// selects the adapter's default version.
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

// rebuildView publishes a new view in which the indexes of the changed keys'
// kinds are rebuilt.
func (c *Catalog) rebuildView(changed []string) {
	changedKinds := make(map[records.Kind]bool)
	var changedEndpoints []ids.EndpointID
	for _, key := range changed {
		kind := kindOf(key)
		changedKinds[kind] = true
		if kind == records.KindEndpoint {
			changedEndpoints = append(changedEndpoints, ids.EndpointID(key[len(kind)+1:]))
		}
	}
	delete(changedKinds, records.KindAdapter)
	if len(changedKinds) == 0 {
		return
	}
	next := *c.view.Load()
	if changedKinds[records.KindDataCentre] {
		next.dataCentres = recordsOfKind(c, records.KindDataCentre, func(id ids.DataCentreID, r *records.Record) *records.DataCentre { return r.DataCentre })
	}
	if changedKinds[records.KindCustomer] {
		next.customers = recordsOfKind(c, records.KindCustomer, func(id ids.CustomerID, r *records.Record) *records.Customer { return r.Customer })
	}
	if changedKinds[records.KindKey] {
		next.keys = c.buildKeyIndex()
	}
	if changedKinds[records.KindRoute] {
		next.routes = c.buildRouteIndex()
	}
	if changedKinds[records.KindEndpoint] {
		next.endpoints = c.updateEndpointIndex(next.endpoints, changedEndpoints)
	}
	if changedKinds[records.KindWeightStore] {
		next.weightStore = c.firstWeightStore()
	}
	c.view.Store(&next)
}

// recordsOfKind returns the records in force of one kind by id. The function
// specOf picks the field of a record that belongs to the kind.
func recordsOfKind[ID ~string, V any](c *Catalog, kind records.Kind, specOf func(ID, *records.Record) V) map[ID]V {
	byID := make(map[ID]V)
	for _, e := range c.entries[kind] {
		if e.record != nil {
			id := ID(e.record.ID)
			byID[id] = specOf(id, e.record)
		}
	}
	return byID
}

// buildKeyIndex indexes API keys by the first eight bytes of their hash. If two
// records publish the same hash, the one with the lower revision wins, on every
// VM alike.
func (c *Catalog) buildKeyIndex() map[uint64][]keyEntry {
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
		hashPrefix := binary.BigEndian.Uint64(candidate.hash[:])
		index[hashPrefix] = append(index[hashPrefix], candidate)
	}
	for _, candidates := range index {
		slices.SortFunc(candidates, func(a, b keyEntry) int { return int(int64(a.revision) - int64(b.revision)) })
	}
	return index
}

// buildRouteIndex indexes routes by path prefix. If two records publish the
// same prefix, the one with the lower id wins, on every VM alike.
func (c *Catalog) buildRouteIndex() routeIndex {
	index := make(routeIndex)
	for id, spec := range recordsOfKind(c, records.KindRoute, func(id ids.RouteID, r *records.Record) *records.Route { return r.Route }) {
		existing, taken := index[spec.PathPrefix]
		if !taken || id < existing.ID {
			index[spec.PathPrefix] = Route{ID: id, Route: spec}
		}
	}
	return index
}

// firstWeightStore returns the weight store with the lowest id, or nil.
func (c *Catalog) firstWeightStore() *records.WeightStore {
	stores := recordsOfKind(c, records.KindWeightStore, func(id string, r *records.Record) *records.WeightStore { return r.WeightStore })
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
