package measure

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hyssopladder/hyssopladder/dispatch"
	"github.com/hyssopladder/hyssopladder/route"
	"github.com/hyssopladder/hyssopladder/service"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// busyDispatcher returns a dispatcher with n upstreams of random load and with
// waiting requests, and the ID of the last request.
func busyDispatcher(n, waiting int) (*dispatch.Dispatcher, *uint64) {
	d := dispatch.New(dispatch.Options{Zone: "a", Costs: dispatch.DefaultCosts()})
	doc := assistantDocument()
	doc.Ranks[2].FirstToken = 24 * time.Hour
	d.SetDocument(0, service.Accepted{Revision: 1, Document: doc})
	random := rand.New(rand.NewPCG(3, 4))
	for i := range n {
		d.Announce(0, upstream.Announcement{
			ID: fmt.Sprintf("engine-%04d", i), Incarnation: 1, Sequence: 1, Zone: zones[i%len(zones)], Class: "small",
			Address: netip.MustParseAddrPort("127.0.0.1:1"), Kind: service.Model, Models: []string{"rota-7b"},
			Lease: time.Hour, Slots: slotsPerEngine, Load: upstream.Load{Running: random.IntN(slotsPerEngine)},
		})
	}
	lastID := new(uint64)
	for range waiting {
		*lastID++
		d.Submit(0, dispatch.Ticket{ID: *lastID, Service: "assistant", Rank: draft, Caller: callerNames[*lastID%5], Cost: 1, Repeatable: true})
	}
	return d, lastID
}

// decide admits, routes and finishes one request.
func decide(d *dispatch.Dispatcher, lastID *uint64, prefixes []uint64) {
	*lastID++
	d.Submit(0, dispatch.Ticket{
		ID: *lastID, Service: "assistant", Rank: urgent, Caller: "agency", Cost: 50, Repeatable: true,
		Query: route.Query{Prefixes: prefixes, PromptTokens: promptTokens},
	})
	d.Finish(time.Millisecond, *lastID)
}

func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{12, 48, 343, 2400} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			d, lastID := busyDispatcher(n, 0)
			prefixes := promptPrefix(1)
			b.ReportAllocs()
			for b.Loop() {
				decide(d, lastID, prefixes)
			}
		})
	}
	for _, waiting := range []int{100, 10000} {
		b.Run(fmt.Sprintf("upstreams=48/waiting=%d", waiting), func(b *testing.B) {
			d, lastID := busyDispatcher(48, waiting+48*slotsPerEngine)
			prefixes := promptPrefix(1)
			b.ReportAllocs()
			for b.Loop() {
				decide(d, lastID, prefixes)
			}
		})
	}
}

func BenchmarkAnnouncement(b *testing.B) {
	for _, n := range []int{48, 2400} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			d, _ := busyDispatcher(n, 0)
			a := upstream.Announcement{
				ID: "engine-0007", Incarnation: 1, Zone: "d", Class: "small", Address: netip.MustParseAddrPort("127.0.0.1:1"),
				Kind: service.Model, Models: []string{"rota-7b"}, Lease: time.Hour, Slots: slotsPerEngine,
			}
			for sequence := uint64(2); b.Loop(); sequence++ {
				a.Sequence = sequence
				d.Announce(0, a)
			}
		})
	}
}

// concurrently calls f n times from several workers, and returns the calls per
// second and the latencies in microseconds.
func concurrently(workers, n int, f func(i int)) (float64, *hdrhistogram.Histogram) {
	return concurrentlyTimed(workers, n, func(i int) time.Duration {
		start := time.Now()
		f(i)
		return time.Since(start)
	})
}

// concurrentlyTimed is like concurrently, but f returns the latency.
func concurrentlyTimed(workers, n int, f func(i int) time.Duration) (float64, *hdrhistogram.Histogram) {
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var wait sync.WaitGroup
	began := time.Now()
	for w := range workers {
		wait.Go(func() {
			for i := w; i < n; i += workers {
				took := f(i).Microseconds()
				mu.Lock()
				_ = h.RecordValue(took)
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	return float64(n) / time.Since(began).Seconds(), h
}
