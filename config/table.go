package config

import (
	"sort"
	"strings"
)

// Table matches requests to the routes, and keys to the organisations, of one
// revision.
type Table struct {
	Revision *Revision
	// routesByHost lists each host's routes, the longest prefix first. Hosts
	// are in lower case.
	routesByHost map[string][]*Route
	ownersByKey  map[string]*Organisation
	ranks        ranks
}

// NewTable returns the table of a checked revision.
func NewTable(r *Revision) *Table {
	t := &Table{
		Revision:     r,
		routesByHost: map[string][]*Route{},
		ownersByKey:  map[string]*Organisation{},
		ranks:        newRanks(r),
	}
	for i := range r.Routes {
		route := &r.Routes[i]
		host := strings.ToLower(route.Host)
		t.routesByHost[host] = append(t.routesByHost[host], route)
	}
	for _, routes := range t.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range r.Organisations {
		o := &r.Organisations[i]
		for _, key := range o.Keys {
			t.ownersByKey[key] = o
		}
	}
	return t
}

// Route returns the route of a host and path, or nil.
func (t *Table) Route(host, path string) *Route {
	host = strings.ToLower(host)
	routes, ok := t.routesByHost[host]
	if !ok {
		if name, _, found := strings.Cut(host, ":"); found {
			routes = t.routesByHost[name]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// RequiresKeys reports whether requests to routes that aren't public need a key.
func (t *Table) RequiresKeys() bool { return t.Revision.KeysRequired }

// Owner returns the organisation that the key belongs to, or nil.
func (t *Table) Owner(key string) *Organisation {
	if key == "" {
		return nil
	}
	return t.ownersByKey[key]
}

// Pick returns the service of the backend at the point, from 0 to 1, of the
// route's weights: evenly distributed points pick in proportion to the weights.
func (r *Route) Pick(point float64) string {
	// Weights are any numbers, so that their sum may be none.
	highest := 0.0
	for _, b := range r.Backends {
		highest = max(highest, b.Weight)
	}
	total := 0.0
	for _, b := range r.Backends {
		total += b.Weight / highest
	}
	point *= total
	for _, b := range r.Backends {
		weight := b.Weight / highest
		if point < weight {
			return b.Service
		}
		point -= weight
	}
	return r.Backends[len(r.Backends)-1].Service
}

// Allows reports whether requests of the route may go to the service.
func (r *Route) Allows(service string) bool {
	for _, b := range r.Backends {
		if b.Service == service && b.Weight > 0 {
			return true
		}
	}
	return false
}
