package gossip

import (
	"context"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/kernel"
	"github.com/hyssopladder/hyssopladder/member"
	"github.com/hyssopladder/hyssopladder/peer"
	"github.com/hyssopladder/hyssopladder/settings"
)

// leaveTime is how long a stopping node goes on pushing that it leaves.
const leaveTime = 300 * time.Millisecond

// dumpTimeout bounds the wait for the actor.
const dumpTimeout = time.Second

var (
	_ kernel.Plugin   = (*Host)(nil)
	_ kernel.Reloader = (*Host)(nil)
)

func init() {
	kernel.Register(kernel.Registration{Name: "gossip", Order: 20, Roles: []string{settings.RoleEntry, settings.RoleKeeper}, New: newPlugin})
}

func newPlugin(ctx context.Context, host *kernel.Host) (kernel.Plugin, error) {
	server, err := kernel.Require[*peer.Server](host)
	if err != nil {
		return nil, err
	}
	n := host.Settings.Node
	address := host.Settings.Peer.Advertise
	if !address.IsValid() {
		address = server.Address
	}
	h := New(ctx, Options{
		Node: member.NodeInfo{
			Name:    n.Name,
			Region:  n.Region,
			Zone:    n.Zone,
			Address: address,
			Roles:   n.Roles,
		},
		Incarnation: host.Incarnation,
		Seeds:       host.Settings.Peer.Seeds,
		Interval:    host.Settings.Peer.Interval,
		Lease:       host.Settings.Peer.Lease,
		Clock:       host.Clock,
		Actors:      host.Actors,
		Server:      server,
	})
	kernel.Provide(host, h)
	return h, nil
}

// Reload implements kernel.Reloader: the seeds may have changed.
func (h *Host) Reload(s settings.Settings) { h.ref.Send(setSeeds{s.Peer.Seeds}) }

// Drain implements kernel.Plugin.
func (h *Host) Drain(ctx context.Context) error {
	h.Leave()
	select {
	case <-time.After(leaveTime):
	case <-ctx.Done():
	}
	return nil
}

// Dump implements kernel.Plugin.
func (h *Host) Dump() any {
	ctx, cancel := context.WithTimeout(context.Background(), dumpTimeout)
	defer cancel()
	type state struct {
		Ready   bool                 `json:"ready"`
		Nodes   []member.NodeInfo    `json:"nodes"`
		Records int                  `json:"records"`
		Digest  []member.DigestEntry `json:"digest"`
	}
	const maxDigest = 256
	s := state{Ready: h.Ready(ctx)}
	h.View(ctx, func(now clock.Instant, t *member.Table) {
		s.Nodes = liveNodes(now, t)
		s.Records = t.Len()
		s.Digest = t.Digest()
	})
	s.Digest = s.Digest[:min(len(s.Digest), maxDigest)]
	return s
}

// Require returns what plug-ins that talk to other nodes need.
func Require(h *kernel.Host) (*peer.Server, *Host, error) {
	server, err := kernel.Require[*peer.Server](h)
	if err != nil {
		return nil, nil, err
	}
	g, err := kernel.Require[*Host](h)
	return server, g, err
}
