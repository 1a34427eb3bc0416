// Package kernel starts the plug-ins that a node's roles name, in order, hands
// them what they need of each other, and stops them in reverse order.
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
	"github.com/hyssopladder/hyssopladder/settings"
)

// Plugin is one part of a running node.
type Plugin interface {
	// Drain stops taking new work and returns when the work under way has
	// ended, or with ctx.
	Drain(ctx context.Context) error
	// Dump returns the plug-in's state for the node's dump, bounded in size.
	Dump() any
}

// Reloader is a plug-in that takes in changed settings while it runs.
type Reloader interface {
	Reload(s settings.Settings)
}

// Factory starts a plug-in. Its goroutines end with ctx.
type Factory func(ctx context.Context, host *Host) (Plugin, error)

// Registration is a plug-in that registered itself.
type Registration struct {
	Name string
	// Order places the plug-in among the others; lower ones start first.
	Order int
	// Roles are those that turn the plug-in on, each by itself; none means
	// always.
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

// Host is what a node gives to its plug-ins.
type Host struct {
	Settings settings.Settings
	Actors   *actor.ActorSystem
	Metrics  metrics.Registry
	Clock    clock.Clock
	// Incarnation is that of this run of the node.
	Incarnation uint64

	mu       sync.Mutex
	provided map[reflect.Type]any
	plugins  []running
	cancel   context.CancelFunc
	stop     chan struct{}
	stopOnce sync.Once
	failed   chan error
}

type running struct {
	name   string
	plugin Plugin
}

// New starts a node with the plug-ins of its roles.
func New(ctx context.Context, s settings.Settings) (*Host, error) {
	ctx, cancel := context.WithCancel(ctx)
	h := &Host{
		Settings:    s,
		Actors:      actors.NewSystem(),
		Metrics:     metrics.NewRegistry(),
		Clock:       clock.System(),
		Incarnation: uint64(time.Now().UnixMicro()),
		provided:    map[reflect.Type]any{},
		cancel:      cancel,
		stop:        make(chan struct{}),
		failed:      make(chan error, 1),
	}
	registryMu.Lock()
	list := append([]Registration(nil), registry...)
	registryMu.Unlock()
	for _, r := range list {
		if len(r.Roles) > 0 && !slices.ContainsFunc(r.Roles, s.HasRole) {
			continue
		}
		p, err := r.New(ctx, h)
		if err != nil {
			h.Close()
			return nil, errors.Wrapf(err, "start %s", r.Name)
		}
		h.plugins = append(h.plugins, running{r.Name, p})
	}
	klog.InfoS("node started", "instance", s.Node.Name, "zone", s.Node.Zone, "roles", s.Node.Roles)
	return h, nil
}

// Reload hands changed settings to the plug-ins that take them in. What only a
// new start can change stays as it is.
func (h *Host) Reload(s settings.Settings) {
	for _, p := range h.plugins {
		if r, ok := p.plugin.(Reloader); ok {
			r.Reload(s)
		}
	}
	klog.InfoS("settings reloaded", "instance", h.Settings.Node.Name, "seeds", s.Peer.Seeds)
}

// RequestStop asks whoever runs the node to drain and stop it.
func (h *Host) RequestStop() { h.stopOnce.Do(func() { close(h.stop) }) }

// Fail asks whoever runs the node to end it at once.
func (h *Host) Fail(err error) {
	select {
	case h.failed <- err:
	default:
	}
}

// Failed receives the fault after which the node can't go on.
func (h *Host) Failed() <-chan error { return h.failed }

// StopRequested is closed after RequestStop.
func (h *Host) StopRequested() <-chan struct{} { return h.stop }

// Drain stops the plug-ins gracefully, the last started first.
func (h *Host) Drain(ctx context.Context) error {
	var first error
	for i := len(h.plugins) - 1; i >= 0; i-- {
		p := h.plugins[i]
		if err := p.plugin.Drain(ctx); err != nil && first == nil {
			first = errors.Wrapf(err, "drain %s", p.name)
		}
	}
	return first
}

// Close ends all work at once.
func (h *Host) Close() {
	h.cancel()
	h.Actors.Shutdown()
}

// Dump returns the state of every plug-in as one JSON document.
func (h *Host) Dump() ([]byte, error) {
	n := h.Settings.Node
	doc := map[string]any{
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
	doc["plugins"] = plugins
	data, err := json.MarshalIndent(doc, "", "  ")
	return data, errors.Wrap(err, "dump")
}

// Provide offers v to the plug-ins that start later, under the type T.
func Provide[T any](h *Host, v T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.provided[reflect.TypeFor[T]()] = v
}

// Find returns what was provided under the type T, if anything was.
func Find[T any](h *Host) (T, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v, ok := h.provided[reflect.TypeFor[T]()].(T)
	return v, ok
}

// Require is Find, where a missing T is an error.
func Require[T any](h *Host) (T, error) {
	v, ok := Find[T](h)
	if !ok {
		return v, errors.Errorf("no plug-in provides %v", reflect.TypeFor[T]())
	}
	return v, nil
}
