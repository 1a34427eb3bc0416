// Package standin implements fake upstreams for the demo, trials and tests: a
// model engine, and a plain service that takes bookings. They announce themselves
// to entries as a real upstream does, and can be reclaimed: an instance is then
// stopped after a notice.
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/upstream"
)

// announceTimeout bounds one announcement.
const announceTimeout = 500 * time.Millisecond

// announcer sends an upstream's announcement to entries, several times per lease.
type announcer struct {
	mu      sync.Mutex
	current upstream.Announcement
	entries []netip.AddrPort
	load    func() upstream.Load
	client  *http.Client
	trigger chan struct{}
}

func newAnnouncer(ctx context.Context, a upstream.Announcement, entries []netip.AddrPort, load func() upstream.Load) *announcer {
	n := &announcer{
		current: a,
		entries: entries,
		load:    load,
		client:  &http.Client{Timeout: announceTimeout, Transport: &http.Transport{}},
		trigger: make(chan struct{}, 1),
	}
	go func() {
		t := time.NewTicker(a.Lease / 4)
		defer t.Stop()
		for {
			n.announce(ctx)
			select {
			case <-t.C:
			case <-n.trigger:
			case <-ctx.Done():
				n.client.CloseIdleConnections()
				return
			}
		}
	}()
	return n
}

// announceLeaving announces at once that the upstream stops after the notice.
func (n *announcer) announceLeaving(notice time.Duration) {
	n.mu.Lock()
	n.current.Leaving = true
	n.current.Notice = notice
	n.mu.Unlock()
	select {
	case n.trigger <- struct{}{}:
	default:
	}
}

func (n *announcer) isLeaving() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.current.Leaving
}

func (n *announcer) announce(ctx context.Context) {
	n.mu.Lock()
	n.current.Sequence++
	n.current.Load = n.load()
	body, err := json.Marshal(n.current)
	n.mu.Unlock()
	if err != nil {
		klog.ErrorS(err, "announcement can't be encoded; not sent")
		return
	}
	var wg sync.WaitGroup
	for _, e := range n.entries {
		wg.Go(func() { n.post(ctx, e, body) })
	}
	wg.Wait()
}

func (n *announcer) post(ctx context.Context, entry netip.AddrPort, body []byte) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.String()+"/upstream/announce", bytes.NewReader(body))
	if err != nil {
		return
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := n.client.Do(r)
	if err != nil {
		klog.V(2).InfoS("announcement failed; the next one is sent on schedule", "entry", entry, "err", err)
		return
	}
	_ = response.Body.Close()
}
