package cuttest

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"testing"
	"time"
)

// StartEndless starts a server that answers with the head, and with the blocks until the
// client closes the connection.
func StartEndless(t *testing.T, head string, block func(n int) []byte) netip.AddrPort {
	t.Helper()
	const enough = 128 << 20
	return Serve(t, func(c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, head)
		for n, written := 0, 0; written < enough; n++ {
			m, err := c.Write(block(n))
			if err != nil {
				return
			}
			written += m
		}
	})
}

// Repeat returns blocks of some 64 KiB of the text.
func Repeat(text string) (block func(n int) []byte) {
	data := bytes.Repeat([]byte(text), 64<<10/len(text)+1)
	return func(int) []byte { return data }
}

// HeapPeak returns by how much the heap grows at most while run runs.
func HeapPeak(run func()) int64 {
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

// EndlessHeads are beginnings of answers of which each part may go on without end.
var EndlessHeads = map[string]string{
	"no answer":   "",
	"status line": "HTTP/1.1 200 ",
	"header":      "HTTP/1.1 200 OK\r\nX-More: ",
	"body":        "HTTP/1.1 200 OK\r\n\r\n",
	"error":       "HTTP/1.1 500 Broken\r\n\r\n",
	"extension":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;",
	"trailer":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-More: ",
}
