package peer

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/common/cuttest"
)

// TestHeadsWithoutEndFail calls a peer whose response head never ends: the call
// has to fail before its deadline, and the heap must not grow with it.
func TestHeadsWithoutEndFail(t *testing.T) {
	for _, block := range []string{"X-More: and more\r\n", "more"} {
		g := gomega.NewWithT(t)
		address := cuttest.StartEndless(t, "HTTP/1.1 200 OK\r\nX-First: ", cuttest.Repeat(block))
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		g.Expect(cuttest.HeapPeak(func() {
			g.Expect(NewClient().Call(ctx, address, Read, struct{}{}, nil)).NotTo(gomega.Succeed())
		})).To(gomega.BeNumerically("<", 20<<20))
		g.Expect(ctx.Err()).NotTo(gomega.HaveOccurred())
	}
}

// TestBodyWithoutEndFails calls a peer whose response body never ends: no more
// than the longest message is read.
func TestBodyWithoutEndFails(t *testing.T) {
	g := gomega.NewWithT(t)
	address := cuttest.StartEndless(t, "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n\r\n", cuttest.Repeat("more"))
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	err := NewClient().Call(ctx, address, Read, struct{}{}, nil)
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("too large")))
	g.Expect(ctx.Err()).NotTo(gomega.HaveOccurred())
}
