package config

import (
	"slices"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// maxReplaced bounds the tables that a History keeps.
const maxReplaced = 32

// History holds the tables that were in force until lately. Time is passed in. It isn't
// safe for concurrent use.
type History struct {
	// within is how long a table is kept after it was replaced.
	within   time.Duration
	replaced []replacedTable
	// droppedAt is when the last of the tables that were dropped early was replaced; 0 if
	// none was.
	droppedAt clock.Instant
}

type replacedTable struct {
	table *Table
	at    clock.Instant
}

// NewHistory returns a history that keeps tables for the time after they were replaced.
func NewHistory(within time.Duration) *History { return &History{within: within} }

// Replaced records that the table was replaced.
func (h *History) Replaced(now clock.Instant, t *Table) {
	h.replaced = slices.DeleteFunc(h.replaced, func(r replacedTable) bool { return now-r.at > h.within })
	h.replaced = append(h.replaced, replacedTable{t, now})
	if excess := len(h.replaced) - maxReplaced; excess > 0 {
		h.droppedAt = h.replaced[excess-1].at
		h.replaced = slices.Delete(h.replaced, 0, excess)
	}
}

// LedOnlyTo reports whether requests to the host and path could go to no other service
// than this one lately, until the present table came into force.
func (h *History) LedOnlyTo(now clock.Instant, host, path, service string) bool {
	if h.droppedAt != 0 && now-h.droppedAt <= h.within {
		return false
	}
	return !slices.ContainsFunc(h.replaced, func(r replacedTable) bool {
		route := r.table.Route(host, path)
		return now-r.at <= h.within && route != nil && !route.LeadsOnlyTo(service)
	})
}

// LeadsOnlyTo reports whether requests of the route can go to no other service.
func (r *Route) LeadsOnlyTo(service string) bool {
	return !slices.ContainsFunc(r.Backends, func(b Backend) bool { return b.Service != service && b.Weight > 0 })
}
