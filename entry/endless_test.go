package entry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/common/cuttest"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/service"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// maxHeapGrowth is by how much upstreams that send bytes without end may grow the heap of an
// entry: a third of the memory of the smallest published one.
const maxHeapGrowth = 60 << 20

// TestPlainAnswersWithoutEndFitIntoTheEntry guards against an entry that runs out of memory as
// the upstreams of one service send bodies without end to many callers.
func TestPlainAnswersWithoutEndFitIntoTheEntry(t *testing.T) {
	g := gomega.NewWithT(t)
	u := upstream.Announcement{ID: "u", Address: cuttest.StartEndless(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", cuttest.Repeat("1000\r\n"+strings.Repeat("x", 4<<10)+"\r\n"))}
	e := newCutEntry(newUndecided(t))
	var failed atomic.Int64
	const callers = 48
	g.Expect(cuttest.HeapPeak(func() {
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
			u := upstream.Announcement{ID: "u", Address: cuttest.StartEndless(t, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", func(n int) []byte {
				return fmt.Appendf(nil, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":\"%s\"}}]}\n\n", n, text)
			})}
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
