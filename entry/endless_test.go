package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/service"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// maxHeapGrowth is by how much upstreams that send bytes without end may grow the heap of an
// entry: a third of the memory of the smallest published one.
const maxHeapGrowth = 60 << 20

// startEndless starts an upstream that answers with the head, and with the blocks until the
// entry closes the connection.
func startEndless(t *testing.T, head string, block func(n int) []byte) upstream.Announcement {
	t.Helper()
	const enough = 128 << 20
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, head)
				for n, written := 0, 0; written < enough; n++ {
					m, err := c.Write(block(n))
					if err != nil {
						return
					}
					written += m
				}
			}()
		}
	}()
	return upstream.Announcement{ID: "u", Address: l.Addr().(*net.TCPAddr).AddrPort()}
}

// heapPeak returns by how much the heap grows at most while run runs.
func heapPeak(run func()) int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	before, peak, done := m.HeapAlloc, m.HeapAlloc, make(chan struct{})
	go func() {
		defer close(done)
		run()
	}()
	for {
		select {
		case <-done:
			return int64(peak) - int64(before)
		case <-time.After(5 * time.Millisecond):
			runtime.ReadMemStats(&m)
			peak = max(peak, m.HeapAlloc)
		}
	}
}

// TestPlainAnswersWithoutEndFitIntoTheEntry guards against an entry that runs out of memory as
// the upstreams of one service send bodies without end to many callers.
func TestPlainAnswersWithoutEndFitIntoTheEntry(t *testing.T) {
	g := gomega.NewWithT(t)
	block := []byte(fmt.Sprintf("%x\r\n%s\r\n", 64<<10, strings.Repeat("x", 64<<10)))
	u := startEndless(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", func(int) []byte { return block })
	e := newCutEntry(newUndecided(t))
	var failed atomic.Int64
	const callers = 48
	g.Expect(heapPeak(func() {
		var wait sync.WaitGroup
		for range callers {
			wait.Go(func() {
				p := &plainCall{entry: e, call: service.Call{}, job: &job{}, path: "/", request: httptest.NewRequest(http.MethodPost, "/", nil), timeout: 2 * time.Second}
				if response, failure, err := p.attempt(t.Context(), u); response == nil && err == nil && failure.MayHaveRun() {
					failed.Add(1)
				}
			})
		}
		wait.Wait()
	})).To(gomega.BeNumerically("<", maxHeapGrowth))
	g.Expect(failed.Load()).To(gomega.BeEquivalentTo(callers))
}

// TestChatsWithoutEndFitIntoTheEntry guards against an answer that an upstream never ends: the
// entry keeps its text, to go on with it at another upstream.
func TestChatsWithoutEndFitIntoTheEntry(t *testing.T) {
	for _, bytes := range []int{32, 1 << 10, 128 << 10} {
		t.Run(fmt.Sprint(bytes), func(t *testing.T) {
			g := gomega.NewWithT(t)
			text := strings.Repeat("x", bytes)
			u := startEndless(t, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", func(n int) []byte {
				return fmt.Appendf(nil, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":\"%s\"}}]}\n\n", n, text)
			})
			request, err := parseChat([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}]}`))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			e := newCutEntry(newUndecided(t))
			c := &chatCall{entry: e, request: request, call: service.Call{Repeatable: true}, job: &job{}, out: &bufferedSink{w: httptest.NewRecorder()}}
			number, offset := c.stream.Begin()
			watch := e.watch(c.job, time.Minute, func() {})
			defer watch.stop()
			_, err = c.relayFrom(t.Context(), watch, u, number, offset)
			g.Expect(err).To(gomega.HaveOccurred(), "no other upstream can go on with it")
			g.Expect(result.From(err).Ran).To(gomega.Equal(result.RanUnknown))
			g.Expect(c.text.Len()).To(gomega.BeNumerically("<=", maxAnswerBytes))
		})
	}
}
