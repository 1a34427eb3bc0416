// Package exchange sends one HTTP/1.1 request on one connection and reads the
// one answer that belongs to it. It never sends a request twice, tells whether
// any byte went out, and keeps connections only where their state is known.
package exchange

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Limits of the connections to upstreams.
const (
	// dialTimeout is generous for a round trip between zones; a lost opening
	// packet is repeated only after a second, so another upstream is better.
	dialTimeout = 400 * time.Millisecond
	// userTimeout is how long sent bytes may stay without acknowledgement. A
	// stream's caller gives up after about four seconds without an event.
	userTimeout = 3 * time.Second
	// keepAliveIdle and keepAliveInterval find connections that went silent.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// defaultIdle is how long a connection is kept where the upstream
	// doesn't say.
	defaultIdle = 8 * time.Second
	// idleMargin is taken off the time that the upstream says.
	idleMargin = time.Second
	maxIdle    = 16
	// asyncBody is the size from which a body is written while the answer is
	// read: an upstream may answer before it has read it.
	asyncBody  = 8 << 10
	bufferSize = 4 << 10
	// maxForeign is the number of answers to other requests that are passed
	// over.
	maxForeign = 2
)

// Request is one request as it goes out.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	// Body is the whole body; HasBody tells an empty one from none.
	Body    []byte
	HasBody bool
	// Belongs reports whether an answer belongs to the request.
	Belongs func(*http.Response) bool
}

// Response is an answer whose body is still to be read.
type Response struct {
	*http.Response
	conn    *connection
	client  *Client
	stop    func() bool
	written <-chan error
	whole   bool
}

// Error is a failed exchange.
type Error struct {
	// Sent says that bytes may have reached the upstream.
	Sent bool
	err  error
}

// Error implements error.
func (e *Error) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Client keeps idle connections by address.
type Client struct {
	mu   sync.Mutex
	idle map[netip.AddrPort][]*connection
	// dials counts new connections.
	dials func()
}

type connection struct {
	net.Conn
	address netip.AddrPort
	reader  *bufio.Reader
	// until is when an idle connection is dropped.
	until time.Time
}

// New returns a client without connections. dialed is called for each new one.
func New(dialed func()) *Client {
	return &Client{idle: map[netip.AddrPort][]*connection{}, dials: dialed}
}

// Drop closes the idle connections to an address.
func (c *Client) Drop(address netip.AddrPort) {
	c.mu.Lock()
	list := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, conn := range list {
		_ = conn.Close()
	}
}

// Sweep closes connections that were idle for too long.
func (c *Client) Sweep(now time.Time) {
	c.mu.Lock()
	var old []*connection
	for address, list := range c.idle {
		left := list[:0]
		for _, conn := range list {
			if now.After(conn.until) {
				old = append(old, conn)
			} else {
				left = append(left, conn)
			}
		}
		if len(left) == 0 {
			delete(c.idle, address)
		} else {
			c.idle[address] = left
		}
	}
	c.mu.Unlock()
	for _, conn := range old {
		_ = conn.Close()
	}
}

// take returns an idle connection that is still open and silent.
func (c *Client) take(address netip.AddrPort) *connection {
	for {
		c.mu.Lock()
		list := c.idle[address]
		if len(list) == 0 {
			c.mu.Unlock()
			return nil
		}
		conn := list[len(list)-1]
		c.idle[address] = list[:len(list)-1]
		c.mu.Unlock()
		if time.Now().Before(conn.until) && conn.quiet() {
			return conn
		}
		_ = conn.Close()
	}
}

// quiet reports whether an idle connection is open and holds no bytes.
func (c *connection) quiet() bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

func (c *Client) dial(ctx context.Context, address netip.AddrPort) (*connection, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	conn, err := dialer.DialContext(ctx, "tcp4", address.String())
	if err != nil {
		return nil, err
	}
	c.dials()
	if raw, err := conn.(*net.TCPConn).SyscallConn(); err == nil {
		// Without the option the keep-alive probes find a silent connection.
		_ = raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
		})
	}
	return &connection{Conn: conn, address: address, reader: bufio.NewReaderSize(conn, bufferSize)}, nil
}

// Do sends the request and reads the head of its answer. Its error is *Error.
// The connection is closed when ctx ends before the body was read.
func (c *Client) Do(ctx context.Context, address netip.AddrPort, r *Request) (*Response, error) {
	conn := c.take(address)
	if conn == nil {
		var err error
		if conn, err = c.dial(ctx, address); err != nil {
			return nil, &Error{err: err}
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	response, err := c.roundTrip(conn, r)
	if err != nil {
		stop()
		_ = conn.Close()
		return nil, err
	}
	response.stop = stop
	return response, nil
}

func (c *Client) roundTrip(conn *connection, r *Request) (*Response, error) {
	head := encodeHead(r)
	written := make(chan error, 1)
	if len(r.Body) < asyncBody {
		n, err := conn.Write(append(head, r.Body...))
		if err != nil && n == 0 {
			return nil, &Error{err: errors.Wrap(err, "send")}
		}
		written <- err
	} else {
		n, err := conn.Write(head)
		if err != nil {
			return nil, &Error{Sent: n > 0, err: errors.Wrap(err, "send")}
		}
		go func() {
			_, err := conn.Write(r.Body)
			written <- err
		}()
	}
	for range maxForeign + 1 {
		response, err := http.ReadResponse(conn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, &Error{Sent: true, err: errors.Wrap(err, "read answer")}
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if r.Belongs(response) {
			return &Response{Response: response, conn: conn, client: c, written: written}, nil
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return nil, &Error{Sent: true, err: errors.New("the answer belongs to another request, and the connection ended with it")}
		}
	}
	return nil, &Error{Sent: true, err: errors.New("the answers belong to other requests")}
}

func encodeHead(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(1024 + len(r.Body))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if r.HasBody {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// Read reads the body. Its io.EOF means that the body is whole.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.Body.Read(p)
	if errors.Is(err, io.EOF) {
		r.whole = true
	}
	return n, err
}

// Framed reports whether the answer's length or chunks tell its end.
func (r *Response) Framed() bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0
}

// Close gives the connection back if its state is known, and closes it
// otherwise.
func (r *Response) Close() {
	if !r.stop() || !r.reusable() {
		_ = r.conn.Close()
		return
	}
	r.conn.until = time.Now().Add(idleTime(r.Header))
	r.client.keep(r.conn)
}

func (r *Response) reusable() bool {
	if !r.whole || r.Response.Close || !r.Framed() || r.conn.reader.Buffered() > 0 {
		return false
	}
	select {
	case err := <-r.written:
		return err == nil
	default:
		return false
	}
}

func (c *Client) keep(conn *connection) {
	c.mu.Lock()
	list := c.idle[conn.address]
	if len(list) < maxIdle {
		c.idle[conn.address] = append(list, conn)
		conn = nil
	}
	c.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}

// idleTime is how long a connection may be kept, by the answer's headers.
func idleTime(h http.Header) time.Duration {
	for value := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if seconds, found := strings.CutPrefix(strings.TrimSpace(value), "timeout="); found {
			if n, err := strconv.Atoi(seconds); err == nil {
				return max(time.Duration(n)*time.Second-idleMargin, 0)
			}
		}
	}
	return defaultIdle
}
