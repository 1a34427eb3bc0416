package config

import (
	"sort"
	"strings"
)

// Table matches requests to the routes of one revision.
type Table struct {
	Revision *Revision
	// hosts holds each host's routes, the longest prefix first.
	hosts map[string][]*Route
	keys  map[string]*Organisation
}

// NewTable returns the table of a checked revision.
func NewTable(r *Revision) *Table {
	t := &Table{
		Revision: r,
		hosts:    map[string][]*Route{},
		keys:     map[string]*Organisation{},
	}
	for i := range r.Routes {
		route := &r.Routes[i]
		host := strings.ToLower(route.Host)
		t.hosts[host] = append(t.hosts[host], route)
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range r.Organisations {
		o := &r.Organisations[i]
		for _, key := range o.Keys {
			t.keys[key] = o
		}
	}
	return t
}

// Route returns the route of a host and path, or nil.
func (t *Table) Route(host, path string) *Route {
	host = strings.ToLower(host)
	routes, ok := t.hosts[host]
	if !ok {
		if name, _, found := strings.Cut(host, ":"); found {
			routes = t.hosts[name]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Keyed reports whether requests need a key where their route isn't public.
func (t *Table) Keyed() bool { return len(t.Revision.Organisations) > 0 }

// Owner returns the organisation that holds the key, or nil.
func (t *Table) Owner(key string) *Organisation {
	if key == "" {
		return nil
	}
	return t.keys[key]
}

// Pick returns the backend at the point, from 0 to 1, of the route's weights.
func (r *Route) Pick(point float64) string {
	total := 0.0
	for _, b := range r.Backends {
		total += b.Weight
	}
	point *= total
	for _, b := range r.Backends {
		if point < b.Weight {
			return b.Service
		}
		point -= b.Weight
	}
	return r.Backends[len(r.Backends)-1].Service
}
