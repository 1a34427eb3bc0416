package peer

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// startEndlessPeer answers each call with the head and then the block, again and
// again until the caller closes the connection.
func startEndlessPeer(t *testing.T, head, block string) netip.AddrPort {
	t.Helper()
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
				// A response before its request isn't read by the client at all.
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, head)
				data := bytes.Repeat([]byte(block), 64<<10/len(block))
				for {
					if _, err := c.Write(data); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// TestHeadsWithoutEndFail calls a peer whose response head never ends: the call
// has to fail before its deadline, and the heap must not grow with it.
func TestHeadsWithoutEndFail(t *testing.T) {
	for _, block := range []string{"X-More: and more\r\n", "more"} {
		g := gomega.NewWithT(t)
		address := startEndlessPeer(t, "HTTP/1.1 200 OK\r\nX-First: ", block)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		runtime.GC()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		err := NewClient().Call(ctx, address, Read, struct{}{}, nil)
		runtime.ReadMemStats(&after)
		g.Expect(err).To(gomega.HaveOccurred())
		g.Expect(ctx.Err()).NotTo(gomega.HaveOccurred())
		g.Expect(int64(after.HeapAlloc) - int64(before.HeapAlloc)).To(gomega.BeNumerically("<", 20<<20))
	}
}

// TestBodyWithoutEndFails calls a peer whose response body never ends: no more
// than the longest message is read.
func TestBodyWithoutEndFails(t *testing.T) {
	g := gomega.NewWithT(t)
	address := startEndlessPeer(t, "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n\r\n", "more")
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	err := NewClient().Call(ctx, address, Read, struct{}{}, nil)
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("too large")))
	g.Expect(ctx.Err()).NotTo(gomega.HaveOccurred())
}
