package keeper

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/common/actors"
	"github.com/hyssopladder/hyssopladder/consensus"
	"github.com/hyssopladder/hyssopladder/gossip"
	"github.com/hyssopladder/hyssopladder/kernel"
	"github.com/hyssopladder/hyssopladder/rollout"
	"github.com/hyssopladder/hyssopladder/settings"
	"github.com/hyssopladder/hyssopladder/wal"
)

// transferTimeout is how long a stopping leader waits until it no longer leads.
const transferTimeout = 200 * time.Millisecond

// dumpTimeout bounds the wait for the actor's status.
const dumpTimeout = time.Second

var _ kernel.Plugin = (*Keeper)(nil)

func init() {
	kernel.Register(kernel.Registration{Name: "keeper", Order: 30, Roles: []string{settings.RoleKeeper}, New: newPlugin})
	kernel.Register(kernel.Registration{Name: "keeperClient", Order: 35, Roles: []string{settings.RoleEntry, settings.RoleKeeper}, New: newClientPlugin})
}

func newPlugin(ctx context.Context, h *kernel.Host) (kernel.Plugin, error) {
	server, g, err := gossip.Require(h)
	if err != nil {
		return nil, err
	}
	folder, err := wal.OpenFolder(h.Settings.Node.DataFolder)
	if err != nil {
		return nil, err
	}
	kernel.Provide(h, folder)
	journal, stored, err := wal.Open(folder, func() consensus.ID { return consensus.ID(randomID()) })
	if err != nil {
		_ = folder.Close()
		return nil, errors.Wrapf(err, "data folder %s", h.Settings.Node.DataFolder)
	}
	g.SetKeeper(journal.Identity().ID.String(), journal.Identity().Cluster)
	var onFailure func(error)
	if h.Settings.Keeper.RestartOnFault {
		onFailure = h.Fail
	}
	var later Later
	if rollout.Limits(h.Settings.Keeper.Rollouts).Enabled() {
		later = NewRollouts()
	}
	k, err := New(ctx, Options{
		Name:      h.Settings.Node.Name,
		Settings:  h.Settings.Keeper,
		Address:   g.Address(),
		Seeds:     h.Settings.Peer.Seeds,
		OnFailure: onFailure,
		Journal:   journal,
		Stored:    stored,
		Gossip:    g,
		Server:    server,
		Clock:     h.Clock,
		Actors:    h.Actors,
		Metrics:   h.Metrics,
		Later:     later,
	})
	if err != nil {
		return nil, err
	}
	kernel.Provide(h, k)
	return k, nil
}

// Drain implements kernel.Plugin. A leader transfers its leadership first.
func (k *Keeper) Drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	actors.Ask(ctx, k.ref, func(done chan<- struct{}) any { return transferRequest{done} })
	for k.Status(ctx).Role == consensus.Leader.String() && ctx.Err() == nil {
		select {
		case <-time.After(tickInterval):
		case <-ctx.Done():
		}
	}
	return nil
}

// Dump implements kernel.Plugin.
func (k *Keeper) Dump() any {
	ctx, cancel := context.WithTimeout(context.Background(), dumpTimeout)
	defer cancel()
	return k.Status(ctx)
}

// clientPlugin provides a Client to the other plug-ins of a node.
type clientPlugin struct{}

var _ kernel.Plugin = clientPlugin{}

func newClientPlugin(_ context.Context, h *kernel.Host) (kernel.Plugin, error) {
	server, g, err := gossip.Require(h)
	if err != nil {
		return nil, err
	}
	kernel.Provide(h, NewClient(g, server.Client))
	return clientPlugin{}, nil
}

// Drain implements kernel.Plugin.
func (clientPlugin) Drain(context.Context) error { return nil }

// Dump implements kernel.Plugin.
func (clientPlugin) Dump() any { return nil }
