// Package upstream defines the announcements of upstreams, and keeps the
// directory of announced upstreams with their leases and their load. It does no
// I/O: callers pass in the time.
package upstream

import (
	"net/netip"
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/service"
)

// Bounds of an announcement. maxNames bounds its models and its services, maxNameBytes
// the ID and each of these.
const (
	MinLease     = 100 * time.Millisecond
	MaxLease     = time.Minute
	MaxSlots     = 4096
	maxNames     = 256
	maxNameBytes = 100
	// maxReleaseBytes bounds the name of a release.
	maxReleaseBytes = 100
)

// Announcement is the state that an upstream reports repeatedly, to renew its
// lease.
type Announcement struct {
	ID string `json:"id"`
	// Incarnation increases with each start of the upstream.
	Incarnation uint64 `json:"incarnation"`
	// Sequence increases with each announcement of an incarnation.
	Sequence uint64         `json:"sequence"`
	Address  netip.AddrPort `json:"address"`
	Zone     string         `json:"zone"`
	Class    string         `json:"class"`
	// Release is the version of the upstream's software, "" if it doesn't say.
	// Answers of different releases can't be joined.
	Release string `json:"release,omitempty"`
	// Reclaimable says that the platform may reclaim the instance at any time.
	Reclaimable bool         `json:"reclaimable"`
	Kind        service.Kind `json:"kind"`
	// Models are the models that a model engine has loaded.
	Models []string `json:"models,omitempty"`
	// Services are the services that a plain upstream serves.
	Services []string `json:"services,omitempty"`
	// Lease is how long the announcement is valid.
	Lease time.Duration `json:"lease"`
	// Leaving says that the upstream accepts no new work, until it restarts
	// with a new incarnation.
	Leaving bool `json:"leaving,omitempty"`
	// Notice is the time until a leaving upstream stops.
	Notice time.Duration `json:"notice,omitempty"`
	// Cold is the remaining time for which the upstream is slow after its
	// start.
	Cold time.Duration `json:"cold,omitempty"`
	// Slots is the maximum number of concurrent requests.
	Slots int  `json:"slots"`
	Load  Load `json:"load"`
	// ChecksFencing says that the upstream refuses commands with an old
	// fencing epoch.
	ChecksFencing bool `json:"checksFencing,omitempty"`
	// ExportsCache says that the upstream can export and import its KV cache.
	ExportsCache bool `json:"exportsCache,omitempty"`
}

// Member is an upstream in a keeper's directory, with the state that the keeper
// derives from its announcements.
type Member struct {
	Announcement
	// Silent says that announcements have stopped.
	Silent bool `json:"silent,omitempty"`
	// Ended says that the lease of the announcement expired.
	Ended bool `json:"ended,omitempty"`
}

// Newer reports whether a replaces b, an announcement of the same upstream: a
// higher incarnation does, then leaving, which is final, then a higher sequence.
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

// Load is the work that an upstream reports. It is outdated by up to
// the interval of the reports plus the delay of their delivery.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
}

// requests is the number of running and queued requests, each bounded so that it can be added up.
func (l *Load) requests() int {
	const most = 1 << 20
	return min(l.Running, most) + min(l.Queued, most)
}

// Check verifies a decoded load.
func (l *Load) Check() error {
	if l.Running < 0 || l.Queued < 0 {
		return errors.New("load: negative number of requests")
	}
	return nil
}

// Check verifies a decoded announcement.
func (a *Announcement) Check() error {
	switch {
	case !validName(a.ID):
		return errors.Errorf("announcement: the ID %q must be printable, of 1 to %d bytes", a.ID, maxNameBytes)
	case !a.Address.IsValid() || a.Address.Port() == 0:
		return errors.New("announcement: the address must have an IP and a port")
	case a.Address.Addr().IsUnspecified() || a.Address.Addr().IsMulticast() || a.Address.Addr().Zone() != "":
		return errors.Errorf("announcement: the address %v isn't one of an instance", a.Address)
	case len(a.Release) > maxReleaseBytes:
		return errors.Errorf("announcement: release of %d bytes, want at most %d", len(a.Release), maxReleaseBytes)
	case !service.ValidName(a.Zone):
		return errors.Errorf("announcement: zone %q is not a name", a.Zone)
	case a.Lease < MinLease || a.Lease > MaxLease:
		return errors.Errorf("announcement: lease %v, want %v to %v", a.Lease, MinLease, MaxLease)
	case a.Slots < 1 || a.Slots > MaxSlots:
		return errors.Errorf("announcement: %d slots, want 1 to %d", a.Slots, MaxSlots)
	case a.Load.Running < 0 || a.Load.Queued < 0 || a.Notice < 0:
		return errors.New("announcement: negative load or notice")
	case len(a.Models) > maxNames || len(a.Services) > maxNames:
		return errors.Errorf("announcement: more than %d models or services", maxNames)
	}
	for _, name := range slices.Concat(a.Services, a.Models) {
		if !validName(name) {
			return errors.Errorf("announcement: the service or model %.200q must be printable, of 1 to %d bytes", name, maxNameBytes)
		}
	}
	switch a.Kind {
	case service.Model, service.Plain:
		return nil
	default:
		return errors.Errorf("announcement: kind %q, want model or plain", a.Kind)
	}
}

// validName reports whether a name can be sent to all nodes and logged. Names that aren't
// UTF-8 can be encoded, but not decoded.
func validName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && utf8.ValidString(name) &&
		!strings.ContainsFunc(name, func(r rune) bool { return !unicode.IsPrint(r) })
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
	for _, other := range list {
		if other == s {
			return true
		}
	}
	return false
}
