// Package kernel runs a node: it starts the plug-ins that the node's roles need,
// in order, lets them provide values to each other, and drains them in reverse
// order.
package kernel

import (
	"context"
	"encoding/json"
	"reflect"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/actors"
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/formats"
	"github.com/hyssopladder/hyssopladder/settings"
)

// Plugin is one part of a running node.
type Plugin interface {
	// Drain makes the plug-in accept no new work, and returns when its work in
	// progress has ended, or with ctx.
	Drain(ctx context.Context) error
	// Dump returns the plug-in's state for the node's dump, bounded in size.
	Dump() any
}

// Reloader is a plug-in that can apply changed settings while it runs.
type Reloader interface {
	Reload(s settings.Settings)
}

// Starter is a plug-in that has to know when all plug-ins of the node have started.
type Starter interface {
	Started()
}

// Factory starts a plug-in. Its goroutines end with ctx.
type Factory func(ctx context.Context, host *Host) (Plugin, error)

// Registration describes a plug-in that registered itself.
type Registration struct {
	Name string
	// Order is the plug-in's place in the start order; lower ones start first.
	Order int
	// Roles are the roles that need the plug-in; it starts if the node has any
	// of them. If Roles is empty, it always starts.
	Roles []string
	New   Factory
}

var (
	registryMu sync.Mutex
	registry   []Registration
)

// Register adds a plug-in; it is called from init functions.
func Register(r Registration) {
	registryMu.Lock()
	defer registryMu.Unlock()
	registry = append(registry, r)
	sort.SliceStable(registry, func(i, j int) bool { return registry[i].Order < registry[j].Order })
}

// Host is a running node, as its plug-ins see it.
type Host struct {
	Settings settings.Settings
	Actors   *actor.ActorSystem
	Metrics  metrics.Registry
	Clock    clock.Clock
	// Incarnation identifies this run of the node; it grows with each start.
	Incarnation uint64

	mu sync.Mutex
	// provided holds the values that plug-ins provide to later ones, by type.
	provided      map[reflect.Type]any
	plugins       []runningPlugin
	cancel        context.CancelFunc
	stopRequested chan struct{}
	stopOnce      sync.Once
	failures      chan error
}

type runningPlugin struct {
	name   string
	plugin Plugin
}

// New starts a node with the plug-ins that its roles need.
func New(ctx context.Context, s settings.Settings) (*Host, error) {
	ctx, cancel := context.WithCancel(ctx)
	h := &Host{
		Settings:      s,
		Actors:        actors.NewSystem(),
		Metrics:       metrics.NewRegistry(),
		Clock:         clock.System(),
		Incarnation:   uint64(time.Now().UnixMicro()),
		provided:      map[reflect.Type]any{},
		cancel:        cancel,
		stopRequested: make(chan struct{}),
		failures:      make(chan error, 1),
	}
	registryMu.Lock()
	registered := append([]Registration(nil), registry...)
	registryMu.Unlock()
	for _, r := range registered {
		if len(r.Roles) > 0 && !slices.ContainsFunc(r.Roles, s.HasRole) {
			continue
		}
		p, err := r.New(ctx, h)
		if err != nil {
			h.Close()
			return nil, errors.Wrapf(err, "start %s", r.Name)
		}
		h.plugins = append(h.plugins, runningPlugin{r.Name, p})
	}
	for _, p := range h.plugins {
		if s, ok := p.plugin.(Starter); ok {
			s.Started()
		}
	}
	klog.InfoS("node started", "instance", s.Node.Name, "zone", s.Node.Zone, "roles", s.Node.Roles, "version", formats.Version(), "formats", formats.Text())
	return h, nil
}

// Reload passes changed settings to the plug-ins that can apply them. The other
// settings take effect at the next start.
func (h *Host) Reload(s settings.Settings) {
	for _, p := range h.plugins {
		if r, ok := p.plugin.(Reloader); ok {
			r.Reload(s)
		}
	}
	klog.InfoS("settings reloaded", "instance", h.Settings.Node.Name, "seeds", s.Peer.Seeds)
}

// RequestStop asks the command that runs the node to drain and stop it.
func (h *Host) RequestStop() { h.stopOnce.Do(func() { close(h.stopRequested) }) }

// Fail reports a failure to the command that runs the node, which then stops the
// node at once.
func (h *Host) Fail(err error) {
	select {
	case h.failures <- err:
	default:
	}
}

// Failed returns a channel that receives the failure after which the node can't
// continue.
func (h *Host) Failed() <-chan error { return h.failures }

// StopRequested returns a channel that is closed by RequestStop.
func (h *Host) StopRequested() <-chan struct{} { return h.stopRequested }

// Drain drains all plug-ins, the last started first, and returns the first
// error.
func (h *Host) Drain(ctx context.Context) error {
	var firstErr error
	for i := len(h.plugins) - 1; i >= 0; i-- {
		p := h.plugins[i]
		if err := p.plugin.Drain(ctx); err != nil && firstErr == nil {
			firstErr = errors.Wrapf(err, "drain %s", p.name)
		}
	}
	return firstErr
}

// Close ends the context of the plug-ins and stops the actors at once, without
// draining.
func (h *Host) Close() {
	h.cancel()
	h.Actors.Shutdown()
}

// Dump returns the state of every plug-in as one JSON document.
func (h *Host) Dump() ([]byte, error) {
	n := h.Settings.Node
	dump := map[string]any{
		"instance":    n.Name,
		"zone":        n.Zone,
		"region":      n.Region,
		"roles":       n.Roles,
		"incarnation": h.Incarnation,
		"uptime":      h.Clock().String(),
		"metrics":     h.Metrics.GetAll(),
	}
	plugins := map[string]any{}
	for _, p := range h.plugins {
		plugins[p.name] = p.plugin.Dump()
	}
	dump["plugins"] = plugins
	data, err := json.MarshalIndent(dump, "", "  ")
	return data, errors.Wrap(err, "dump")
}

// Provide makes v available, by its type T, to the plug-ins that start later.
func Provide[T any](h *Host, v T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.provided[reflect.TypeFor[T]()] = v
}

// Find returns the provided value of type T, if there is one.
func Find[T any](h *Host) (T, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v, ok := h.provided[reflect.TypeFor[T]()].(T)
	return v, ok
}

// Require returns the provided value of type T; it is an error if there is none.
func Require[T any](h *Host) (T, error) {
	v, ok := Find[T](h)
	if !ok {
		return v, errors.Errorf("no plug-in provides %v", reflect.TypeFor[T]())
	}
	return v, nil
}
