// Package departure decides what the nodes record when an upstream says that it accepts no
// new work. What an acknowledged departure promises is in docs/design/departures.md. It does
// no I/O.
package departure

import (
	"time"

	"github.com/hyssopladder/hyssopladder/upstream"
)

// Notice says that a start of an upstream accepts no new work.
type Notice struct {
	ID string
	// Incarnation is the start that leaves, in Unix milliseconds; 0 if the notice doesn't name it.
	Incarnation uint64
	// State is the upstream's announcement, nil if the notice holds none.
	State *upstream.Announcement
}

// Record returns the announcement that keeps the upstream from being used. known is its last
// announcement, nil if there is none, and now the time of day. An upstream is one process, so a
// notice that names no start is about all that began before it, which the announcements of
// these may follow. Record returns false if nothing can be recorded, as
// neither known nor the notice tells where the upstream is.
func (n *Notice) Record(known *upstream.Announcement, now time.Time) (upstream.Announcement, bool) {
	var a upstream.Announcement
	switch {
	case known != nil && n.Incarnation != 0 && n.Incarnation < known.Incarnation:
		// A later start has taken the place of the one that leaves.
		return *known, true
	case n.State != nil:
		a = *n.State
	case known != nil:
		a = *known
		if n.Incarnation > known.Incarnation {
			a.Notice = 0
		}
	default:
		return a, false
	}
	switch {
	case n.Incarnation != 0:
		a.Incarnation = n.Incarnation
	case known != nil && known.Incarnation != 0:
		// Starts are numbered by their time, in Unix milliseconds.
		a.Incarnation = max(known.Incarnation, uint64(now.UnixMilli()))
	}
	a.Leaving = true
	return a, true
}
