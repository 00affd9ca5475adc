// Package directory holds the configuration in force and the registered
// endpoints, indexed for the lookups that package node makes for each request.
// A View is immutable; the Directory replaces it as a whole.
package directory

import (
	"sort"
	"strings"
	"sync/atomic"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
)

// View is an immutable snapshot of the configuration and the endpoints.
type View struct {
	// Config is nil until the VM has a configuration.
	Config *serving.Config
	// Endpoints holds the registered endpoints by id.
	Endpoints map[ids.EndpointID]*serving.Endpoint
	// Versions holds the newest declared version of each adapter.
	Versions map[serving.AdapterKey]ids.AdapterVersion
	// Evacuated holds the data centres that operators evacuate.
	Evacuated map[ids.DataCentreID]bool

	// routesByHost holds the routes by lower-case host, those with the longest
	// path prefix first.
	routesByHost   map[string][]*serving.Route
	customersByKey map[string]*serving.Customer
	// endpointsByService holds the endpoints of each service in order of id.
	endpointsByService map[string][]*serving.Endpoint
}

// NewView returns a view that indexes a configuration, which may be nil, and
// endpoints.
func NewView(config *serving.Config, endpoints map[ids.EndpointID]*serving.Endpoint, versions map[serving.AdapterKey]ids.AdapterVersion) *View {
	v := &View{
		Config:             config,
		Endpoints:          endpoints,
		Versions:           versions,
		routesByHost:       make(map[string][]*serving.Route),
		customersByKey:     make(map[string]*serving.Customer),
		endpointsByService: make(map[string][]*serving.Endpoint),
	}
	for _, endpoint := range endpoints {
		v.endpointsByService[endpoint.Service] = append(v.endpointsByService[endpoint.Service], endpoint)
	}
	for _, list := range v.endpointsByService {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	if config == nil {
		return v
	}
	for i := range config.Routes {
		route := &config.Routes[i]
		host := strings.ToLower(route.Host)
		v.routesByHost[host] = append(v.routesByHost[host], route)
	}
	for _, list := range v.routesByHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].PathPrefix) > len(list[j].PathPrefix) })
	}
	for i := range config.Customers {
		for _, key := range config.Customers[i].Keys {
			// Callers without a key have the empty one.
			if key != "" {
				v.customersByKey[key] = &config.Customers[i]
			}
		}
	}
	return v
}

// Route returns the route with the longest path prefix for a host, with or
// without a port, or nil. The path is compared as it was sent, without decoding
// of percent escapes.
func (v *View) Route(host, path string) *serving.Route {
	host = strings.ToLower(host)
	if route := v.longestPrefixRoute(host, path); route != nil {
		return route
	}
	if hostname, _, found := strings.Cut(host, ":"); found {
		return v.longestPrefixRoute(hostname, path)
	}
	return nil
}

// longestPrefixRoute returns the route of a host with the longest prefix of a
// path, or nil.
func (v *View) longestPrefixRoute(host, path string) *serving.Route {
	for _, route := range v.routesByHost[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// CustomerByKey returns the customer that owns an API key, or nil.
func (v *View) CustomerByKey(key string) *serving.Customer { return v.customersByKey[key] }

// ServiceEndpoints returns the endpoints of a service in order of id.
func (v *View) ServiceEndpoints(name string) []*serving.Endpoint { return v.endpointsByService[name] }

// AllEvacuated reports whether a service has endpoints, all of them in evacuated data
// centres.
func (v *View) AllEvacuated(service string) bool {
	endpoints := v.ServiceEndpoints(service)
	for _, e := range endpoints {
		if !v.Evacuated[e.DataCentre] {
			return false
		}
	}
	return len(endpoints) > 0
}

// KnowsDataCentre reports whether an endpoint is registered in a data centre.
func (v *View) KnowsDataCentre(id ids.DataCentreID) bool {
	for _, e := range v.Endpoints {
		if e.DataCentre == id {
			return true
		}
	}
	return false
}

// Directory holds the current view. Its methods are safe for concurrent use.
type Directory struct {
	view atomic.Pointer[View]
}

// New returns a directory whose view has no configuration and no endpoints.
func New() *Directory {
	d := &Directory{}
	d.view.Store(NewView(nil, nil, nil))
	return d
}

// View returns the current view.
func (d *Directory) View() *View { return d.view.Load() }

// Set replaces the current view.
func (d *Directory) Set(v *View) { d.view.Store(v) }
