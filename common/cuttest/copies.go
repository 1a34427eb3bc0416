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
	var requests atomic.Int64
	return accept(t, func(c net.Conn) {
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
	})
}
