package control

import (
	"context"

	"github.com/hyssopladder/hyssopladder/gossip"
	"github.com/hyssopladder/hyssopladder/keeper"
	"github.com/hyssopladder/hyssopladder/kernel"
	"github.com/hyssopladder/hyssopladder/rollout"
	"github.com/hyssopladder/hyssopladder/settings"
	"github.com/hyssopladder/hyssopladder/wal"
)

var _ kernel.Plugin = (*Control)(nil)

func init() {
	kernel.Register(kernel.Registration{Name: "control", Order: 45, Roles: []string{settings.RoleControl}, New: newPlugin})
}

func newPlugin(ctx context.Context, h *kernel.Host) (kernel.Plugin, error) {
	server, g, err := gossip.Require(h)
	if err != nil {
		return nil, err
	}
	k, err := kernel.Require[*keeper.Keeper](h)
	if err != nil {
		return nil, err
	}
	client, err := kernel.Require[*keeper.Client](h)
	if err != nil {
		return nil, err
	}
	folder, err := kernel.Require[wal.FS](h)
	if err != nil {
		return nil, err
	}
	return New(ctx, Options{
		Name:        h.Settings.Node.Name,
		Incarnation: h.Incarnation,
		Gossip:      g,
		Keeper:      k,
		Client:      client,
		Server:      server,
		Clock:       h.Clock,
		Cloud:       h.Settings.Cloud,
		QuotaSlack:  h.Settings.Keeper.QuotaSlack,
		Folder:      folder,
		Rollouts:    rollout.Limits(h.Settings.Keeper.Rollouts),
		Metrics:     h.Metrics,
	}), nil
}

// Drain implements kernel.Plugin.
func (c *Control) Drain(context.Context) error { return nil }

// Dump implements kernel.Plugin.
func (c *Control) Dump() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	return map[string]any{"generation": c.registry.generation, "upstreams": c.registry.changedSince(0)}
}
