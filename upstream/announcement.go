// Package upstream keeps the directory of upstreams that announced
// themselves, with their leases and their load. It is pure: time is passed in.
package upstream

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/service"
)

// Bounds of an announcement.
const (
	MinLease = 100 * time.Millisecond
	MaxLease = time.Minute
	MaxSlots = 4096
	maxNames = 256
)

// Announcement is what an upstream says about itself, again and again.
type Announcement struct {
	ID string `json:"id"`
	// Incarnation grows with each start of the upstream.
	Incarnation uint64 `json:"incarnation"`
	// Sequence grows with each announcement of an incarnation.
	Sequence uint64         `json:"sequence"`
	Address  netip.AddrPort `json:"address"`
	Zone     string         `json:"zone"`
	Class    string         `json:"class"`
	// Reclaimable says that the platform may take the instance.
	Reclaimable bool         `json:"reclaimable"`
	Kind        service.Kind `json:"kind"`
	// Models are those that a model engine has loaded.
	Models []string `json:"models,omitempty"`
	// Services are those that a plain upstream serves.
	Services []string `json:"services,omitempty"`
	// Lease is how long the announcement holds.
	Lease time.Duration `json:"lease"`
	// Leaving says that the upstream takes no new work; it is final for the
	// incarnation.
	Leaving bool `json:"leaving,omitempty"`
	// Notice is the time until a leaving upstream stops.
	Notice time.Duration `json:"notice,omitempty"`
	// Cold is how much longer the upstream is slow after its start.
	Cold time.Duration `json:"cold,omitempty"`
	// Slots is how many requests run at once.
	Slots int  `json:"slots"`
	Load  Load `json:"load"`
	// ChecksFencing says that orders with an old epoch are refused.
	ChecksFencing bool `json:"checksFencing,omitempty"`
	// ExportsCache says that the upstream can export and import KV cache.
	ExportsCache bool `json:"exportsCache,omitempty"`
}

// Member is an upstream in a directory, with what the directory's owner has
// seen of it.
type Member struct {
	Announcement
	// Silent says that announcements have stopped coming.
	Silent bool `json:"silent,omitempty"`
	// Ended says that the announcement's lease ran out.
	Ended bool `json:"ended,omitempty"`
}

// Newer reports whether a replaces b, of the same upstream: by the start of
// the upstream, then by leaving, which is final, then by number.
func (a *Announcement) Newer(b *Announcement) bool {
	switch {
	case a.Incarnation != b.Incarnation:
		return a.Incarnation > b.Incarnation
	case a.Leaving != b.Leaving:
		return a.Leaving
	default:
		return a.Sequence > b.Sequence
	}
}

// Load is the work that an upstream reports, with a lag.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
}

// Check verifies a decoded load.
func (l *Load) Check() error {
	if l.Running < 0 || l.Queued < 0 {
		return errors.New("load is never negative")
	}
	return nil
}

// Check verifies a decoded announcement.
func (a *Announcement) Check() error {
	switch {
	case a.ID == "" || len(a.ID) > 100:
		return errors.New("announcement: an ID of 1 to 100 bytes is needed")
	case !a.Address.IsValid() || a.Address.Port() == 0:
		return errors.New("announcement: an address with a port is needed")
	case !service.ValidName(a.Zone):
		return errors.Errorf("announcement: zone %q is not a name", a.Zone)
	case a.Lease < MinLease || a.Lease > MaxLease:
		return errors.Errorf("announcement: lease %v, want %v to %v", a.Lease, MinLease, MaxLease)
	case a.Slots < 1 || a.Slots > MaxSlots:
		return errors.Errorf("announcement: %d slots, want 1 to %d", a.Slots, MaxSlots)
	case a.Load.Running < 0 || a.Load.Queued < 0 || a.Notice < 0:
		return errors.New("announcement: load and notice are never negative")
	case len(a.Models) > maxNames || len(a.Services) > maxNames:
		return errors.Errorf("announcement: more than %d models or services", maxNames)
	}
	switch a.Kind {
	case service.Model, service.Plain:
		return nil
	default:
		return errors.Errorf("announcement: kind %q, want model or plain", a.Kind)
	}
}

// Serves reports whether the upstream can serve the document's service.
func (a *Announcement) Serves(d *service.Document) bool {
	if a.Kind != d.Kind || !d.InZone(a.Zone) {
		return false
	}
	if a.Kind == service.Plain {
		return contains(a.Services, d.Name)
	}
	for _, m := range d.Models {
		if contains(a.Models, m) {
			return true
		}
	}
	return false
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
