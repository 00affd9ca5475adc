// Package directory holds the configuration in force and the endpoints, in the
// form in which requests look them up. A View is immutable; the Directory
// replaces it as a whole.
package directory

import (
	"sort"
	"strings"
	"sync/atomic"

	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/ids"
	"github.com/wagtailspoke/wagtailspoke/pkg/protocol/serving"
)

// View is one consistent state of configuration and endpoints.
type View struct {
	Config *serving.Config
	// Endpoints holds the registered endpoints by id.
	Endpoints map[ids.EndpointID]*serving.Endpoint
	// Versions holds the newest declared version of adapters.
	Versions map[serving.AdapterKey]ids.AdapterVersion

	routes    map[string][]*serving.Route
	customers map[string]*serving.Customer
	services  map[string][]*serving.Endpoint
}

// NewView indexes a configuration and endpoints. Config may be nil.
func NewView(config *serving.Config, endpoints map[ids.EndpointID]*serving.Endpoint, versions map[serving.AdapterKey]ids.AdapterVersion) *View {
	v := &View{
		Config:    config,
		Endpoints: endpoints,
		Versions:  versions,
		routes:    make(map[string][]*serving.Route),
		customers: make(map[string]*serving.Customer),
		services:  make(map[string][]*serving.Endpoint),
	}
	for _, endpoint := range endpoints {
		v.services[endpoint.Service] = append(v.services[endpoint.Service], endpoint)
	}
	for _, list := range v.services {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	if config == nil {
		return v
	}
	for i := range config.Routes {
		route := &config.Routes[i]
		host := strings.ToLower(route.Host)
		v.routes[host] = append(v.routes[host], route)
	}
	for _, list := range v.routes {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].PathPrefix) > len(list[j].PathPrefix) })
	}
	for i := range config.Customers {
		for _, key := range config.Customers[i].Keys {
			v.customers[key] = &config.Customers[i]
		}
	}
	return v
}

// Route returns the route of the longest prefix for a host and a path as it
// stands in the request line, or nil.
func (v *View) Route(host, path string) *serving.Route {
	host = strings.ToLower(host)
	if list := v.match(host, path); list != nil {
		return list
	}
	if name, _, found := strings.Cut(host, ":"); found {
		return v.match(name, path)
	}
	return nil
}

func (v *View) match(host, path string) *serving.Route {
	for _, route := range v.routes[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Customer returns the holder of a key, or nil.
func (v *View) Customer(key string) *serving.Customer { return v.customers[key] }

// Service returns the endpoints of a service in the order of their ids.
func (v *View) Service(name string) []*serving.Endpoint { return v.services[name] }

// Directory holds the view in force.
type Directory struct {
	view atomic.Pointer[View]
}

// New returns a directory without configuration.
func New() *Directory {
	d := &Directory{}
	d.view.Store(NewView(nil, nil, nil))
	return d
}

// View returns the view in force.
func (d *Directory) View() *View { return d.view.Load() }

// Set replaces the view.
func (d *Directory) Set(v *View) { d.view.Store(v) }
