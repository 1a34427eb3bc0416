// Package standin holds small fakes of the outside systems: a model engine
// and a plain service.
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

// announcer repeats an upstream's announcement to entries.
type announcer struct {
	mu      sync.Mutex
	current upstream.Announcement
	entries []netip.AddrPort
	load    func() upstream.Load
	client  *http.Client
	now     chan struct{}
}

func newAnnouncer(ctx context.Context, a upstream.Announcement, entries []netip.AddrPort, load func() upstream.Load) *announcer {
	n := &announcer{
		current: a,
		entries: entries,
		load:    load,
		client:  &http.Client{Timeout: announceTimeout, Transport: &http.Transport{}},
		now:     make(chan struct{}, 1),
	}
	go func() {
		t := time.NewTicker(a.Lease / 4)
		defer t.Stop()
		for {
			n.announce(ctx)
			select {
			case <-t.C:
			case <-n.now:
			case <-ctx.Done():
				n.client.CloseIdleConnections()
				return
			}
		}
	}()
	return n
}

// leave announces that the upstream stops after the notice.
func (n *announcer) leave(notice time.Duration) {
	n.mu.Lock()
	n.current.Leaving = true
	n.current.Notice = notice
	n.mu.Unlock()
	select {
	case n.now <- struct{}{}:
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
		klog.ErrorS(err, "announcement not encoded")
		return
	}
	var wait sync.WaitGroup
	for _, e := range n.entries {
		wait.Go(func() { n.post(ctx, e, body) })
	}
	wait.Wait()
}

func (n *announcer) post(ctx context.Context, entry netip.AddrPort, body []byte) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.String()+"/upstream/announce", bytes.NewReader(body))
	if err != nil {
		return
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := n.client.Do(r)
	if err != nil {
		klog.V(2).InfoS("announcement failed", "entry", entry, "err", err)
		return
	}
	_ = response.Body.Close()
}
