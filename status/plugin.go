// Package status is the plug-in that serves a node's metrics and state dump at an
// address of its own, the setting metrics, on nodes of every role.
package status

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/meters"
	"github.com/hyssopladder/hyssopladder/formats"
	"github.com/hyssopladder/hyssopladder/kernel"
)

// readHeaderTimeout bounds the time to read a request's headers.
const readHeaderTimeout = 2 * time.Second

type plugin struct{}

var _ kernel.Plugin = plugin{}

func init() {
	kernel.Register(kernel.Registration{Name: "status", Order: 5, New: newPlugin})
}

func newPlugin(ctx context.Context, h *kernel.Host) (kernel.Plugin, error) {
	address := h.Settings.Node.Metrics
	if !address.IsValid() {
		return plugin{}, nil
	}
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp4", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for metrics")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		meters.WriteText(w, h.Metrics)
		formats.WriteMetrics(w)
	})
	mux.HandleFunc("GET /debug/dump", func(w http.ResponseWriter, _ *http.Request) {
		data, err := h.Dump()
		if err != nil {
			klog.ErrorS(err, "dump failed; answering with an error", "instance", h.Settings.Node.Name)
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(data)
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = server.Serve(l) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return plugin{}, nil
}

// Drain implements kernel.Plugin.
func (plugin) Drain(context.Context) error { return nil }

// Dump implements kernel.Plugin.
func (plugin) Dump() any { return nil }
