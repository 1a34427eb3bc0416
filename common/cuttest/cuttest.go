// Package cuttest has servers for tests whose answers are cut off, or have no end.
package cuttest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
	"testing"
)

// Cut is an answer of which a server sends the first Sent bytes, before it closes the
// connection or resets it.
type Cut struct {
	// Text is the whole answer, Body what its caller gets.
	Text, Body string
	// Endless says that the answer has neither a length nor chunks.
	Endless bool
	Sent    int
	Reset   bool
}

// String says for messages where the answer was cut.
func (c *Cut) String() string { return fmt.Sprintf("%q, reset=%v", c.Text[:c.Sent], c.Reset) }

// Whole returns the body that counts as a whole one. If the answer has neither a length
// nor chunks it ends wherever its connection is closed.
func (c *Cut) Whole() (body string, ok bool) {
	if !c.Endless {
		return c.Body, c.Sent == len(c.Text)
	}
	bodyAt := len(c.Text) - len(c.Body)
	if c.Reset || c.Sent < bodyAt {
		return "", false
	}
	return c.Body[:c.Sent-bodyAt], true
}

// Write sends the part and ends the connection.
func (c *Cut) Write(conn net.Conn) {
	_, _ = io.WriteString(conn, c.Text[:c.Sent])
	if c.Reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	_ = conn.Close()
}

// Of returns an answer by its framing, cut after each byte, by a close and by a reset.
func Of(head, body string) map[string][]*Cut {
	const length, endless = "length", "until closed"
	cuts := map[string][]*Cut{}
	for framing, text := range map[string]string{
		length:   fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body),
		"chunks": fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body),
		endless:  head + "\r\n" + body,
	} {
		first := 0
		if framing != length {
			// Cut earlier, all framings are the same bytes.
			first = len(head) + 1
		}
		for sent := first; sent <= len(text); sent++ {
			for _, reset := range []bool{false, true} {
				cuts[framing] = append(cuts[framing], &Cut{Text: text, Body: body, Endless: framing == endless, Sent: sent, Reset: reset})
			}
		}
	}
	return cuts
}

// Each calls test with a server for each cut of an answer.
func Each(t *testing.T, head, body string, test func(t *testing.T, server netip.AddrPort, c *Cut)) {
	t.Helper()
	var next atomic.Pointer[Cut]
	server := Serve(t, func(c net.Conn, _ *http.Request) { next.Load().Write(c) })
	for framing, cuts := range Of(head, body) {
		t.Run(framing, func(t *testing.T) {
			for _, c := range cuts {
				next.Store(c)
				test(t, server, c)
			}
		})
	}
}

// Serve starts a server that reads one request of each connection, calls answer, and closes the
// connection.
func Serve(t *testing.T, answer func(c net.Conn, r *http.Request)) netip.AddrPort {
	t.Helper()
	return accept(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		answer(c, r)
	})
}

// accept starts a server that calls serve for each connection, and then closes it.
func accept(t *testing.T, serve func(c net.Conn)) netip.AddrPort {
	t.Helper()
	l := Listen(t)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c)
			}()
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// Listen listens on a loopback address of this process alone: other processes may go on sending
// to a port of 127.0.0.1 that has become free and been taken again.
func Listen(t *testing.T) net.Listener {
	t.Helper()
	pid := os.Getpid()
	own := netip.AddrFrom4([4]byte{127, byte(pid>>16) + 1, byte(pid >> 8), byte(pid)})
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.AddrPortFrom(own, 0)))
	if err != nil {
		t.Fatal(err)
	}
	return l
}
