// Package exchange is the HTTP/1.1 client with which an entry calls upstreams.
// Unlike net/http's it never sends a request twice, reports whether any byte was
// sent, checks that a response belongs to the request, and reuses a connection
// only if nothing of the last exchange is left on it.
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
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/hyssopladder/hyssopladder/common/httpstatus"
	"github.com/hyssopladder/hyssopladder/common/tcpconn"
)

// Timeouts and limits of the connections to upstreams.
const (
	// dialTimeout is ample for a round trip between zones. TCP repeats a lost
	// SYN only after a second, so that trying another upstream is faster.
	dialTimeout = 400 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged, by
	// TCP_USER_TIMEOUT. It is shorter than the about four seconds without an
	// event after which a stream's caller gives up.
	userTimeout = 3 * time.Second
	// The TCP keep-alive probes detect upstreams that vanished without closing the
	// connection. With TCP_USER_TIMEOUT set, Linux lets that decide when they give up,
	// whatever their count.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// defaultIdleTimeout is how long an idle connection is kept if the
	// upstream's Keep-Alive header doesn't say.
	defaultIdleTimeout = 8 * time.Second
	// idleMargin is subtracted from the upstream's idle timeout, so that the
	// client closes first.
	idleMargin        = time.Second
	maxIdlePerAddress = 16
	// maxExchanges is the number of requests that a connection carries, as it keeps 4 bytes for
	// the ID of each.
	maxExchanges = 1024
	// asyncBodyBytes is the size from which a body is written while the response
	// is read: an upstream may respond before it has read the body.
	asyncBodyBytes  = 8 << 10
	readBufferBytes = 4 << 10
	// maxForeignResponses is the number of responses to other requests that are
	// skipped per exchange.
	maxForeignResponses = 2
	// maxHeadBytes bounds the status lines and headers of one exchange, those of
	// informational and foreign responses included. It is four times the largest
	// header limit for callers in the published deployments.
	maxHeadBytes = 64 << 10
	// maxSkippedBytes and skipTimeout bound what is read of a body that nobody
	// needs, only to use the connection again.
	maxSkippedBytes = 64 << 10
	skipTimeout     = 200 * time.Millisecond
)

// errHeadTooLong is the error of a response whose head exceeds maxHeadBytes.
var errHeadTooLong = errors.Errorf("the head of the response is longer than %d bytes", maxHeadBytes)

// Request is a request to an upstream; its header is sent as it is.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	// Body is the whole body. HasBody distinguishes an empty body from none.
	Body    []byte
	HasBody bool
	// ID is the request's ID, by which its response is told from others. A connection carries
	// each ID once, as a copy of an earlier response may still come on it. A request without an
	// ID has a connection of its own, and so has a HEAD request.
	ID string
	// Matches reports whether a response belongs to the request. used says that
	// the connection has carried another exchange or a response to another request
	// before, so that the response may be a late one to an earlier request.
	Matches func(response *http.Response, used bool) bool
}

// Trace tells what carried an exchange.
type Trace struct {
	// Local is this end of the connection; not valid if there is none.
	Local netip.AddrPort
	// Number is that of the exchange on its connection, from 1.
	Number int
	// PassedOver is the number of idle connections that weren't used, as they had carried a
	// request with the same ID.
	PassedOver int
	// Skipped is the number of responses to other requests that were read before.
	Skipped int
}

// Response is a response whose body is still to be read.
type Response struct {
	*http.Response
	Trace
	conn   *connection
	client *Client
	// stopCancel detaches the connection from the context of Do.
	stopCancel func() bool
	// bodyWritten gets the result of writing the request's body.
	bodyWritten <-chan error
	// complete says that the response's body was read to its end.
	complete bool
	// ahead are the bytes of the body that Await has read, and aheadErr is the error
	// that follows them.
	ahead    []byte
	aheadErr error
}

// Error is the error of a failed exchange.
type Error struct {
	// Sent says that bytes may have reached the upstream.
	Sent bool
	Trace
	err error
}

// Error implements error.
func (e *Error) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Client sends requests and keeps idle connections by address.
type Client struct {
	mu   sync.Mutex
	idle map[netip.AddrPort][]*connection
	dial Dial
	// onDial is called for each new connection.
	onDial func()
}

type connection struct {
	net.Conn
	// incoming reads from the connection, and fails if it was reset.
	incoming io.Reader
	address  netip.AddrPort
	reader   *bufio.Reader
	// headBytes is how many more bytes may be read while a head is read.
	headBytes   int
	readingHead bool
	// carried are hashes of the IDs of the requests that the connection has carried, with the
	// present one.
	carried []uint32
	// singleUse says that the present request has no ID or is a HEAD request: a copy of its
	// response couldn't be told from the next one, or be read to its end.
	singleUse bool
	// idleUntil is when the connection is closed if it stays idle.
	idleUntil time.Time
}

// New returns a client without connections, which dials directly. It calls onDial for
// each new connection.
func New(onDial func()) *Client { return NewWithDial(DialDirect, onDial) }

// NewWithDial returns a client that opens its connections by dial.
func NewWithDial(dial Dial, onDial func()) *Client {
	return &Client{idle: map[netip.AddrPort][]*connection{}, dial: dial, onDial: onDial}
}

// open opens a new connection.
func (c *Client) open(ctx context.Context, address netip.AddrPort) (*connection, error) {
	conn, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c.onDial()
	opened := &connection{Conn: conn, incoming: tcpconn.Conn{Conn: conn}, address: address}
	opened.reader = bufio.NewReaderSize(opened, readBufferBytes)
	return opened, nil
}

// Refuses reports whether nothing listens at the address. The error is that of a
// dial that failed for another reason.
func (c *Client) Refuses(ctx context.Context, address netip.AddrPort) (bool, error) {
	conn, err := c.open(ctx, address)
	switch {
	case errors.Is(err, unix.ECONNREFUSED):
		return true, nil
	case err != nil:
		return false, err
	}
	conn.idleUntil = time.Now().Add(defaultIdleTimeout - idleMargin)
	c.releaseIdle(conn)
	return false, nil
}

func (c *connection) abort() { Abort(c.Conn) }

// Read implements io.Reader. While a head is read it fails after maxHeadBytes.
func (c *connection) Read(p []byte) (int, error) {
	if !c.readingHead {
		return c.incoming.Read(p)
	}
	if c.headBytes <= 0 {
		return 0, errHeadTooLong
	}
	n, err := c.incoming.Read(p[:min(len(p), c.headBytes)])
	c.headBytes -= n
	return n, err
}

// readHead reads one status line with its headers.
func (c *connection) readHead(method string) (*http.Response, error) {
	c.readingHead = true
	defer func() { c.readingHead = false }()
	return http.ReadResponse(c.reader, &http.Request{Method: method})
}

// Do sends the request and reads the status and headers of its response. Its
// error is always an *Error. If ctx ends before the response is closed, the
// connection is closed.
func (c *Client) Do(ctx context.Context, address netip.AddrPort, r *Request) (*Response, error) {
	var conn *connection
	var trace Trace
	id := hashID(r.ID)
	// The length of a response depends on the method of its request, and a copy doesn't tell that.
	singleUse := r.ID == "" || r.Method == http.MethodHead
	if !singleUse {
		conn, trace.PassedOver = c.acquireIdle(address, id)
	}
	if conn == nil {
		var err error
		if conn, err = c.open(ctx, address); err != nil {
			return nil, &Error{Trace: trace, err: err}
		}
	}
	conn.carried, conn.singleUse = append(conn.carried, id), singleUse
	if local, ok := conn.LocalAddr().(*net.TCPAddr); ok {
		trace.Local = local.AddrPort()
	}
	trace.Number = len(conn.carried)
	stopCancel := context.AfterFunc(ctx, conn.abort)
	response, err := c.roundTrip(conn, r, &trace)
	if err != nil {
		stopCancel()
		conn.abort()
		err.Trace = trace
		return nil, err
	}
	response.Trace, response.stopCancel = trace, stopCancel
	return response, nil
}

// roundTrip sends the request and reads the head of its response. It counts in the trace what
// it skips.
func (c *Client) roundTrip(conn *connection, r *Request, trace *Trace) (*Response, *Error) {
	head := encodeHead(r)
	bodyWritten := make(chan error, 1)
	if len(r.Body) < asyncBodyBytes {
		n, err := conn.Write(append(head, r.Body...))
		if err != nil && n == 0 {
			return nil, &Error{err: errors.Wrap(err, "send")}
		}
		bodyWritten <- err
	} else {
		n, err := conn.Write(head)
		if err != nil {
			return nil, &Error{Sent: n > 0, err: errors.Wrap(err, "send")}
		}
		go func() { bodyWritten <- conn.upload(r.Body) }()
	}
	conn.headBytes = maxHeadBytes
	for trace.Skipped <= maxForeignResponses {
		response, err := conn.readHead(r.Method)
		switch {
		case err != nil:
			return nil, &Error{Sent: true, err: errors.Wrap(err, "read response")}
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, &Error{Sent: true, err: errors.New("the upstream switched to another protocol unasked")}
		case httpstatus.Interim(response.StatusCode):
			continue
		case !httpstatus.Final(response.StatusCode):
			return nil, &Error{Sent: true, err: errors.Errorf("response with status %03d, which is none of HTTP's", response.StatusCode)}
		case r.Matches(response, trace.Number > 1 || trace.Skipped > 0):
			return &Response{Response: response, conn: conn, client: c, bodyWritten: bodyWritten}, nil
		}
		trace.Skipped++
		if err := conn.skip(response); err != nil {
			return nil, &Error{Sent: true, err: errors.Wrap(err, "response belongs to another request, and the connection can't be read further")}
		}
	}
	return nil, &Error{Sent: true, err: errors.New("too many responses that belong to other requests")}
}

// skip reads a body to its end, within maxSkippedBytes and skipTimeout. After an
// error the connection can't be used any more.
func (c *connection) skip(response *http.Response) error {
	if response.Close || !framed(response) {
		return errors.New("the connection ends with the response")
	}
	if err := c.SetReadDeadline(time.Now().Add(skipTimeout)); err != nil {
		return err
	}
	switch n, err := io.CopyN(io.Discard, response.Body, maxSkippedBytes+1); {
	case n > maxSkippedBytes:
		return errors.Errorf("the body is longer than %d bytes", maxSkippedBytes)
	case !errors.Is(err, io.EOF):
		return err
	}
	return c.SetReadDeadline(time.Time{})
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

// Peer is the other end of the connection: the upstream, unless the connection leads
// through another node.
func (r *Response) Peer() net.Addr { return r.conn.RemoteAddr() }

// Direct reports whether the connection leads to the upstream itself.
func (r *Response) Direct() bool {
	_, tcp := r.conn.Conn.(*net.TCPConn)
	return tcp
}

// First reports whether the response is the first one on its connection.
func (r *Response) First() bool { return r.Number == 1 }

// Await reads the body ahead until enough says that the bytes so far suffice, or the body
// ends. Read returns them again. The error is that of a body that broke off.
func (r *Response) Await(enough func(ahead []byte) bool) error {
	var chunk [readBufferBytes]byte
	for r.aheadErr == nil && !enough(r.ahead) {
		n, err := r.Body.Read(chunk[:])
		r.ahead, r.aheadErr = append(r.ahead, chunk[:n]...), err
	}
	if errors.Is(r.aheadErr, io.EOF) {
		return nil
	}
	return r.aheadErr
}

// Read reads the body. If the response is Framed, io.EOF means that the body is
// complete; otherwise it only means that the connection ended.
func (r *Response) Read(p []byte) (int, error) {
	n, err := copy(p, r.ahead), error(nil)
	r.ahead = r.ahead[n:]
	switch {
	case n > 0:
		return n, nil
	case r.aheadErr != nil:
		err = r.aheadErr
	default:
		n, err = r.Body.Read(p)
	}
	if errors.Is(err, io.EOF) {
		r.complete = true
	}
	return n, err
}

// Framed reports whether the body ends by its length or chunks, or is that of an answer to
// HEAD, rather than with the connection.
func (r *Response) Framed() bool { return framed(r.Response) }

func framed(r *http.Response) bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 || r.Request.Method == http.MethodHead
}

// Skip closes a response whose body isn't needed. The connection is used again
// if the body ends soon.
func (r *Response) Skip() {
	r.complete = r.conn.skip(r.Response) == nil
	r.Close()
}

// Close returns the connection to the pool if it can be reused, and closes it
// otherwise.
func (r *Response) Close() {
	if !r.stopCancel() || !r.complete {
		r.conn.abort()
		return
	}
	if !r.reusable() {
		_ = r.conn.Close()
		return
	}
	r.conn.idleUntil = time.Now().Add(idleTimeout(r.Header))
	r.client.releaseIdle(r.conn)
}

func (r *Response) reusable() bool {
	if !r.complete || r.Response.Close || !r.Framed() || r.conn.reader.Buffered() > 0 || r.conn.singleUse || len(r.conn.carried) >= maxExchanges {
		return false
	}
	select {
	case err := <-r.bodyWritten:
		return err == nil
	default:
		return false
	}
}
