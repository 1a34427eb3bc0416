package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hyssopladder/hyssopladder/service"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// Plain is a booking service that counts how often each booking ran.
type Plain struct {
	// Address is where it listens.
	Address   netip.AddrPort
	options   Options
	announcer *announcer
	cancel    context.CancelFunc
	running   atomic.Int64
	mu        sync.Mutex
	runCounts map[string]int
	done      chan struct{}
}

// NewPlain starts a plain service; it ends with ctx.
func NewPlain(ctx context.Context, o Options) (*Plain, error) {
	ctx, cancel := context.WithCancel(ctx)
	p := &Plain{options: o, cancel: cancel, runCounts: map[string]int{}, done: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control/reclaim", func(w http.ResponseWriter, r *http.Request) {
		serveReclaim(w, r, p.Reclaim)
	})
	mux.HandleFunc("GET /control/ran", p.serveRunCounts)
	mux.HandleFunc("/", p.serveCall)
	address, err := serve(ctx, o.Listen, mux, p.done)
	if err != nil {
		cancel()
		return nil, err
	}
	p.Address = address
	p.announcer = newAnnouncer(ctx, o.announcement(address, service.Plain), o.Entries, func() upstream.Load {
		return upstream.Load{Running: int(p.running.Load())}
	})
	return p, nil
}

// Reclaim announces that the service leaves and stops it after the notice.
func (p *Plain) Reclaim(notice time.Duration) {
	p.announcer.announceLeaving(notice)
	time.AfterFunc(notice, p.cancel)
}

// Close stops the service without a notice.
func (p *Plain) Close() { p.cancel() }

// Done is closed when the service has stopped.
func (p *Plain) Done() <-chan struct{} { return p.done }

// RunCounts returns how often each booking ran, by its method, path and body.
func (p *Plain) RunCounts() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := make(map[string]int, len(p.runCounts))
	for booking, n := range p.runCounts {
		counts[booking] = n
	}
	return counts
}

func (p *Plain) serveRunCounts(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(p.RunCounts())
}

// serveCall runs the booking that the request identifies, and answers with the
// booking and how often it ran. It counts the booking before the call's processing
// time, as a real service may commit before it answers.
func (p *Plain) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if p.announcer.isLeaving() {
		w.Header().Set("X-Ran", "no")
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	p.running.Add(1)
	defer p.running.Add(-1)
	booking := r.Method + " " + r.URL.Path + " " + string(body)
	p.mu.Lock()
	p.runCounts[booking]++
	count := p.runCounts[booking]
	p.mu.Unlock()
	sleep(context.Background(), p.options.Decode)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"upstream": p.options.ID, "call": booking, "count": count})
}
