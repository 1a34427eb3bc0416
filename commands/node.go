package commands

import (
	"context"
	"encoding/json"
	"net/netip"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/logs"
	"github.com/hyssopladder/hyssopladder/entry"
	"github.com/hyssopladder/hyssopladder/kernel"
	"github.com/hyssopladder/hyssopladder/peer"
	"github.com/hyssopladder/hyssopladder/settings"
)

func (c *cli) addNode(app *kingpin.Application) {
	node := app.Command("node", "Run a node with the roles that its settings name, until it gets SIGTERM.")
	path := node.Flag("settings", "Settings file, INI.").Envar("HYSSOPLADDER_SETTINGS").Required().String()
	c.add(node, func() error {
		s, err := settings.Load(*path)
		if err != nil {
			return err
		}
		return c.runNode(s, *path)
	})
}

// Listening is the line by which a started process tells its addresses.
type Listening struct {
	Instance string         `json:"instance"`
	Callers  netip.AddrPort `json:"callers,omitzero"`
	Peers    netip.AddrPort `json:"peers,omitzero"`
}

func (c *cli) runNode(s settings.Settings, path string) error {
	limitProcess(s.Node)
	logsDone, stopLogs := context.WithCancel(context.Background())
	lines := c.logTo(logs.New())
	defer func() {
		stopLogs()
		lines.Wait(logsLimit)
	}()
	h, err := kernel.New(context.WithoutCancel(c.ctx), s)
	if err != nil {
		return err
	}
	defer h.Close()
	if err := json.NewEncoder(c.out).Encode(listening(h)); err != nil {
		return err
	}
	lines.Start(logsDone, c.out)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	watch := time.NewTicker(watchInterval)
	defer watch.Stop()
	dumps := make(chan os.Signal, 1)
	signal.Notify(dumps, syscall.SIGUSR1)
	defer signal.Stop(dumps)
	for {
		select {
		case <-dumps:
			c.writeDump(h)
		case <-reloads:
			s = reload(h, path, s)
		case <-watch.C:
			s = reload(h, path, s)
		case err := <-h.Failed():
			return err
		case <-h.StopRequested():
			return drain(h, s)
		case <-c.ctx.Done():
			return drain(h, s)
		}
	}
}

const (
	// watchInterval is the time between two looks at the settings file, which
	// may change without a signal.
	watchInterval = 2 * time.Second
	// logsLimit bounds the wait for the last log lines at the end.
	logsLimit = 200 * time.Millisecond
)

// reload hands settings that have changed to the node and returns those that
// hold. Settings that can't be read change nothing.
func reload(h *kernel.Host, path string, old settings.Settings) settings.Settings {
	s, err := settings.Load(path)
	switch {
	case err != nil:
		klog.ErrorS(err, "changed settings can't be read; the old ones hold", "instance", old.Node.Name)
		return old
	case reflect.DeepEqual(s, old):
		return old
	}
	h.Reload(s)
	return s
}

// limitProcess keeps the process within what its instance has.
func limitProcess(n settings.Node) {
	// The rest is for stacks, buffers of the kernel and what the collector
	// doesn't count.
	const heapPart = 0.7
	if n.MemoryMegabytes > 0 {
		debug.SetMemoryLimit(int64(heapPart * float64(n.MemoryMegabytes) * (1 << 20)))
	}
	if n.Processors > 0 {
		runtime.GOMAXPROCS(n.Processors)
	}
}

func listening(h *kernel.Host) Listening {
	l := Listening{Instance: h.Settings.Node.Name}
	if e, ok := kernel.Find[*entry.Entry](h); ok {
		l.Callers = e.Address
	}
	if p, ok := kernel.Find[*peer.Server](h); ok {
		l.Peers = p.Address
	}
	return l
}

func (c *cli) writeDump(h *kernel.Host) {
	data, err := h.Dump()
	if err != nil {
		klog.ErrorS(err, "dump failed", "instance", h.Settings.Node.Name)
		return
	}
	_, _ = c.err.Write(append(data, '\n'))
}

func drain(h *kernel.Host, s settings.Settings) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.Node.StopLimit)
	defer cancel()
	err := h.Drain(ctx)
	klog.InfoS("node stopped", "instance", s.Node.Name, "err", err)
	return err
}
