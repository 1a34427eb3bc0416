package cuttest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
)

// StartCopying starts a server that answers each request of a connection by answer, which gets
// the number of the request, from 1. Before each answer but the first one of a connection it
// writes the first one again.
func StartCopying(t *testing.T, answer func(number int64, r *http.Request) string) netip.AddrPort {
	t.Helper()
	l := Listen(t)
	t.Cleanup(func() { _ = l.Close() })
	var requests atomic.Int64
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		reader, first := bufio.NewReader(c), ""
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			text := answer(requests.Add(1), r)
			_, _ = io.WriteString(c, first+text)
			if first == "" {
				first = text
			}
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}
