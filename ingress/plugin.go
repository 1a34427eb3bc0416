package ingress

import (
	"context"

	"github.com/hyssopladder/hyssopladder/exchange"
	"github.com/hyssopladder/hyssopladder/kernel"
	"github.com/hyssopladder/hyssopladder/peer"
	"github.com/hyssopladder/hyssopladder/settings"
)

var (
	_ kernel.Plugin   = (*Ingress)(nil)
	_ kernel.Reloader = (*Ingress)(nil)
)

func init() {
	kernel.Register(kernel.Registration{Name: "ingress", Order: 40, Roles: []string{settings.RoleIngress}, New: newPlugin})
}

// Reload implements kernel.Reloader. It applies only the seeds.
func (in *Ingress) Reload(s settings.Settings) { in.link.SetSeeds(s.Peer.Seeds) }

func newPlugin(ctx context.Context, h *kernel.Host) (kernel.Plugin, error) {
	server, err := kernel.Require[*peer.Server](h)
	if err != nil {
		return nil, err
	}
	return New(ctx, Options{
		Name:        h.Settings.Node.Name,
		Zone:        h.Settings.Node.Zone,
		Incarnation: h.Incarnation,
		Settings:    h.Settings.Ingress,
		Peers:       h.Settings.Peer,
		PeerClient:  server.Client,
		Clock:       h.Clock,
		Metrics:     h.Metrics,

		DialUpstream: exchange.DialDirect,
		Server:       server,
	})
}
