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

// stalled is an output that takes nothing until it is released.
type stalled struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

func (s *stalled) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.String()
}

// TestStalledOutputHoldsUpNobody logs far more than fits while the output is
// stalled: each call returns, and what is left out is counted.
func TestStalledOutputHoldsUpNobody(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	out := &stalled{release: make(chan struct{})}
	w := New()
	w.Start(ctx, out)
	logged := make(chan struct{})
	const lines = 3 * maxLines
	go func() {
		defer close(logged)
		for i := range lines {
			_, _ = fmt.Fprintf(w, "line %d\n", i)
		}
	}()
	g.Eventually(logged, 5*time.Second).Should(gomega.BeClosed())
	g.Expect(w.Dropped()).To(gomega.BeNumerically(">=", lines-2*maxLines-1))
	close(out.release)
	cancel()
	w.Wait(5 * time.Second)
	g.Expect(out.text()).To(gomega.HavePrefix("line 0\nline 1\n"))
	g.Expect(int64(bytes.Count([]byte(out.text()), []byte("\n"))) + w.Dropped()).To(gomega.Equal(int64(lines)))
}
