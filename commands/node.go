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
	c.setAction(node, func() error {
		s, err := settings.Load(*path)
		if err != nil {
			return err
		}
		return c.runNode(s, *path)
	})
}

// NodeAddresses is printed as JSON once a node has started.
type NodeAddresses struct {
	Instance string         `json:"instance"`
	Callers  netip.AddrPort `json:"callers,omitzero"`
	Peers    netip.AddrPort `json:"peers,omitzero"`
}

func (c *cli) runNode(s settings.Settings, path string) error {
	// Signals are caught from the start: the settings file may change, and its
	// signal come, while the node starts.
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	defer signal.Stop(reloadSignals)
	dumpSignals := make(chan os.Signal, 1)
	signal.Notify(dumpSignals, syscall.SIGUSR1)
	defer signal.Stop(dumpSignals)
	limitProcess(s.Node)
	logsCtx, stopLogs := context.WithCancel(context.Background())
	logWriter := c.redirectLogs(logs.New())
	defer func() {
		stopLogs()
		logWriter.Wait(logFlushTimeout)
	}()
	h, err := kernel.New(context.WithoutCancel(c.ctx), s)
	if err != nil {
		return err
	}
	defer h.Close()
	if err := json.NewEncoder(c.out).Encode(nodeAddresses(h)); err != nil {
		return err
	}
	logWriter.Start(logsCtx, c.out)
	settingsPoll := time.NewTicker(settingsPollInterval)
	defer settingsPoll.Stop()
	for {
		select {
		case <-dumpSignals:
			c.writeDump(h)
		case <-reloadSignals:
			s = reload(h, path, s)
		case <-settingsPoll.C:
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
	// settingsPollInterval is the time between two reads of the settings file,
	// which may change without a signal.
	settingsPollInterval = 2 * time.Second
	// logFlushTimeout bounds the wait for the last log lines before the process
	// ends.
	logFlushTimeout = 200 * time.Millisecond
)

// reload passes changed settings to the node and returns the settings that now
// apply: the current ones if the file can't be read.
func reload(h *kernel.Host, path string, current settings.Settings) settings.Settings {
	s, err := settings.Load(path)
	switch {
	case err != nil:
		klog.ErrorS(err, "settings file can't be read; keeping the current settings", "instance", current.Node.Name)
		return current
	case reflect.DeepEqual(s, current):
		return current
	}
	h.Reload(s)
	return s
}

// limitProcess limits the Go runtime to the memory and processors in the settings.
func limitProcess(n settings.Node) {
	// The rest is for stacks, kernel buffers and memory that the garbage
	// collector doesn't count.
	const heapFraction = 0.7
	if n.MemoryMegabytes > 0 {
		debug.SetMemoryLimit(int64(heapFraction * float64(n.MemoryMegabytes) * (1 << 20)))
	}
	if n.Processors > 0 {
		runtime.GOMAXPROCS(n.Processors)
	}
}

func nodeAddresses(h *kernel.Host) NodeAddresses {
	addresses := NodeAddresses{Instance: h.Settings.Node.Name}
	if e, ok := kernel.Find[*entry.Entry](h); ok {
		addresses.Callers = e.Address
	}
	if p, ok := kernel.Find[*peer.Server](h); ok {
		addresses.Peers = p.Address
	}
	return addresses
}

func (c *cli) writeDump(h *kernel.Host) {
	data, err := h.Dump()
	if err != nil {
		klog.ErrorS(err, "dump failed; nothing is written", "instance", h.Settings.Node.Name)
		return
	}
	_, _ = c.errOut.Write(append(data, '\n'))
}

func drain(h *kernel.Host, s settings.Settings) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.Node.StopLimit)
	defer cancel()
	err := h.Drain(ctx)
	klog.InfoS("node stopped", "instance", s.Node.Name, "err", err)
	return err
}
