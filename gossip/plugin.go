package gossip

import (
	"context"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/formats"
	"github.com/hyssopladder/hyssopladder/kernel"
	"github.com/hyssopladder/hyssopladder/level"
	"github.com/hyssopladder/hyssopladder/member"
	"github.com/hyssopladder/hyssopladder/peer"
	"github.com/hyssopladder/hyssopladder/settings"
)

// leavePushTime is how long a stopping node continues to push its leaving record.
const leavePushTime = 300 * time.Millisecond

// dumpTimeout bounds how long Dump waits for the actor.
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
			Reads:   level.Highest,
			Version: formats.Version(),
			Formats: formats.Text(),
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

// Reload implements kernel.Reloader. It applies changed seeds.
func (h *Host) Reload(s settings.Settings) { h.ref.Send(setSeeds{s.Peer.Seeds}) }

// Drain implements kernel.Plugin. It announces that the node stops.
func (h *Host) Drain(ctx context.Context) error {
	h.Leave()
	select {
	case <-time.After(leavePushTime):
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

// Require returns the peer server and the gossip host, for plug-ins that exchange
// data with other nodes.
func Require(h *kernel.Host) (*peer.Server, *Host, error) {
	server, err := kernel.Require[*peer.Server](h)
	if err != nil {
		return nil, nil, err
	}
	g, err := kernel.Require[*Host](h)
	return server, g, err
}
