package operator

import (
	"context"

	"github.com/hyssopladder/hyssopladder/entry"
	"github.com/hyssopladder/hyssopladder/gossip"
	"github.com/hyssopladder/hyssopladder/keeper"
	"github.com/hyssopladder/hyssopladder/kernel"
	"github.com/hyssopladder/hyssopladder/member"
	"github.com/hyssopladder/hyssopladder/settings"
)

// Drainer is called when an operator asks a node to drain.
type Drainer func()

type plugin struct{}

var _ kernel.Plugin = plugin{}

func init() {
	kernel.Register(kernel.Registration{Name: "operator", Order: 50, Roles: []string{settings.RoleEntry, settings.RoleKeeper}, New: newPlugin})
}

func newPlugin(_ context.Context, h *kernel.Host) (kernel.Plugin, error) {
	server, g, err := gossip.Require(h)
	if err != nil {
		return nil, err
	}
	n := h.Settings.Node
	a := &API{
		node:    member.NodeInfo{Name: n.Name, Zone: n.Zone},
		gossip:  g,
		metrics: h.Metrics,
		dump:    h.Dump,
		drain:   h.RequestStop,
	}
	if e, ok := kernel.Find[*entry.Entry](h); ok {
		a.entry = e
	}
	a.keeper, _ = kernel.Find[*keeper.Keeper](h)
	if a.documents, err = kernel.Require[*keeper.Client](h); err != nil {
		return nil, err
	}
	a.register(server)
	return plugin{}, nil
}

func (plugin) Drain(context.Context) error { return nil }
func (plugin) Dump() any                   { return nil }
