package logs

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// stalledOutput is an output whose writes block until release is closed.
type stalledOutput struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (s *stalledOutput) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(p)
}

func (s *stalledOutput) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.String()
}

// TestStalledOutputBlocksNoCaller logs more lines than fit in the queue while the
// output is stalled: each call returns, and the dropped lines are counted.
func TestStalledOutputBlocksNoCaller(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	out := &stalledOutput{release: make(chan struct{})}
	w := New()
	w.Start(ctx, out)
	logged := make(chan struct{})
	const lines = 3 * maxQueuedLines
	go func() {
		defer close(logged)
		for i := range lines {
			_, _ = fmt.Fprintf(w, "line %d\n", i)
		}
	}()
	g.Eventually(logged, 5*time.Second).Should(gomega.BeClosed())
	g.Expect(w.Dropped()).To(gomega.BeNumerically(">=", lines-2*maxQueuedLines-1))
	close(out.release)
	cancel()
	w.Wait(5 * time.Second)
	g.Expect(out.text()).To(gomega.HavePrefix("line 0\nline 1\n"))
	g.Expect(int64(bytes.Count([]byte(out.text()), []byte("\n"))) + w.Dropped()).To(gomega.Equal(int64(lines)))
}
