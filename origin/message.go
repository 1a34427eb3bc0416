package origin

import (
	"net/netip"

	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/common/wire"
)

// Limits of a message.
const (
	// MaxStreams is the highest number of streams in one message.
	MaxStreams = 4096
	// maxNameBytes bounds the names of services and releases.
	maxNameBytes = 200
	// MaxKeepers bounds the keepers that a reply names, with those that were lost.
	MaxKeepers = 256
)

// Group is the streams of one origin.
type Group struct {
	Origin
	Streams []Stream `json:"i"`
}

// Request tells a keeper which streams have begun, and asks for the origins of others.
type Request struct {
	Begun []Group  `json:"b,omitempty"`
	Find  []Stream `json:"f,omitempty"`
	// Services are those that may have begun the streams to find.
	Services []string `json:"s,omitempty"`
}

// Reply holds the origins that the keeper knows of those that were asked for.
type Reply struct {
	Found []Group `json:"f,omitempty"`
	// Serving are the releases of the requested services in the keeper's directory, if
	// it doesn't know all origins that were asked for.
	Serving []Origin `json:"s,omitempty"`
	// Complete says that the keeper's directory goes back for Retention.
	Complete bool `json:"c,omitempty"`
	// Keepers are those that the keeper knows to run, or has lost touch with: they may have
	// seen the streams begin, and the entry needn't know them.
	Keepers []netip.AddrPort `json:"k,omitempty"`
	// Config is the number of the newest configuration that the keeper has: entries that
	// have it may send streams to other services.
	Config uint64 `json:"n,omitempty"`
}

// Check verifies a decoded request.
func (r *Request) Check() error {
	if len(r.Find) > MaxStreams {
		return errors.Errorf("request for %d origins, want at most %d", len(r.Find), MaxStreams)
	}
	if len(r.Services) > MaxStreams {
		return errors.Errorf("request for the releases of %d services, want at most %d", len(r.Services), MaxStreams)
	}
	return checkGroups(r.Begun)
}

// Check verifies a decoded reply.
func (r *Reply) Check() error {
	if len(r.Serving) > MaxStreams {
		return errors.Errorf("%d releases of services, want at most %d", len(r.Serving), MaxStreams)
	}
	if len(r.Keepers) > MaxKeepers {
		return errors.Errorf("%d keepers, want at most %d", len(r.Keepers), MaxKeepers)
	}
	for _, o := range r.Serving {
		if err := o.check(); err != nil {
			return err
		}
	}
	return checkGroups(r.Found)
}

func (o Origin) check() error {
	if o.Service == "" || len(o.Service) > maxNameBytes || len(o.Release) > maxNameBytes {
		return errors.Errorf("origin with a service of %d bytes and a release of %d", len(o.Service), len(o.Release))
	}
	return nil
}

func checkGroups(groups []Group) error {
	streams := 0
	for _, g := range groups {
		streams += len(g.Streams)
		if err := g.check(); err != nil {
			return err
		}
	}
	if streams > MaxStreams || len(groups) > MaxStreams {
		return errors.Errorf("%d streams of %d origins, want at most %d", streams, len(groups), MaxStreams)
	}
	return nil
}

// Groups collects streams by origin, in the order in which the origins came first.
type Groups struct {
	list  []Group
	index map[Origin]int
}

// Add adds a stream.
func (g *Groups) Add(s Stream, o Origin) {
	if g.index == nil {
		g.index = map[Origin]int{}
	}
	i, ok := g.index[o]
	if !ok {
		i = len(g.list)
		g.index[o] = i
		g.list = append(g.list, Group{Origin: o})
	}
	g.list[i].Streams = append(g.list[i].Streams, s)
}

// List returns the groups.
func (g *Groups) List() []Group { return g.list }

var (
	_ wire.Checker = (*Request)(nil)
	_ wire.Checker = (*Reply)(nil)
)
