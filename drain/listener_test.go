package drain

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/onsi/gomega"
)

// connQueue is a listener that accepts the connections sent to the channel.
type connQueue chan net.Conn

func (q connQueue) Accept() (net.Conn, error) {
	c, ok := <-q
	if !ok {
		return nil, io.EOF
	}
	return c, nil
}
func (q connQueue) Close() error   { return nil }
func (q connQueue) Addr() net.Addr { return &net.TCPAddr{} }

// TestStopKeepsConnectionsWithRequestsUnderWay calls CloseIdle while a request
// is read, while it is served, after it, and once the server waits for the next
// one. http.Server.Shutdown may close a connection whose request it has read but
// not yet begun to serve.
func TestStopKeepsConnectionsWithRequestsUnderWay(t *testing.T) {
	g := gomega.NewWithT(t)
	serverEnd, callerEnd := net.Pipe()
	queue := make(connQueue, 1)
	queue <- serverEnd
	l := NewListener(queue)
	c, err := l.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	go func() { _, _ = callerEnd.Write([]byte("GET / ")) }()
	buffer := make([]byte, 16)
	n, err := c.Read(buffer)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(n).To(gomega.BeNumerically(">", 0))

	g.Expect(l.CloseIdle()).To(gomega.Equal(1), "a request is being read")
	l.StateChanged(c, http.StateActive)
	g.Expect(l.CloseIdle()).To(gomega.Equal(1), "a request is served")
	l.StateChanged(c, http.StateIdle)
	g.Expect(l.CloseIdle()).To(gomega.Equal(1), "the server may hold the next request")
	readErr := make(chan error, 1)
	go func() {
		_, err := c.Read(buffer)
		readErr <- err
	}()
	g.Eventually(l.CloseIdle).Should(gomega.Equal(0))

	// Bytes that arrive while the connection is closed aren't returned.
	g.Eventually(readErr).Should(gomega.Receive(gomega.HaveOccurred()))
	_, err = c.Read(buffer)
	g.Expect(err).To(gomega.HaveOccurred())
}

// TestStopKeepsPipelinedRequests guards against a connection that is closed while its second
// request is served: both requests were read at once, and net/http reports no state for
// the second one.
func TestStopKeepsPipelinedRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	l := NewListener(inner)
	serving, goOn := make(chan struct{}), make(chan struct{})
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/2" {
				close(serving)
				<-goOn
			}
			_, _ = io.WriteString(w, r.URL.Path)
		}),
	}
	server.ConnState = l.StateChanged
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	c, err := net.Dial("tcp", inner.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	<-serving
	g.Expect(l.CloseIdle()).To(gomega.Equal(1), "a request is served")
	close(goOn)
	answers := bufio.NewReader(c)
	for _, want := range []string{"/1", "/2"} {
		response, err := http.ReadResponse(answers, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		body, err := io.ReadAll(response.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(body)).To(gomega.Equal(want))
	}
}

// TestLimitOfConnections guards against a limit that connections keep after their end, or that
// holds up the end of the listener.
func TestLimitOfConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	l := NewLimitedListener(inner, 1)
	accepted := make(chan net.Conn)
	ended := make(chan error, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				ended <- err
				return
			}
			accepted <- c
		}
	}()
	for range 2 {
		caller, err := net.Dial("tcp", inner.Addr().String())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = caller.Close() }()
	}
	var first net.Conn
	g.Eventually(accepted).Should(gomega.Receive(&first))
	g.Consistently(accepted).ShouldNot(gomega.Receive())
	g.Expect(first.(*trackedConn).SetLinger(0)).To(gomega.Succeed())
	g.Expect(first.Close()).To(gomega.Succeed())
	_ = first.Close()
	g.Eventually(accepted).Should(gomega.Receive())
	g.Expect(l.Close()).To(gomega.Succeed())
	g.Eventually(ended).Should(gomega.Receive(gomega.HaveOccurred()))
}

// heldConn returns from its first Read only when it may, after it has read.
type heldConn struct {
	net.Conn
	first         sync.Once
	read, release chan struct{}
}

func (c *heldConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.first.Do(func() {
		close(c.read)
		<-c.release
	})
	return n, err
}

// TestStopKeepsRequestsThatWereJustRead guards against a request that gets neither an answer
// nor a refusal: the connection is closed after its bytes were read, and they are dropped.
func TestStopKeepsRequestsThatWereJustRead(t *testing.T) {
	g := gomega.NewWithT(t)
	serverEnd, callerEnd := net.Pipe()
	held := &heldConn{Conn: serverEnd, read: make(chan struct{}), release: make(chan struct{})}
	queue := make(connQueue, 1)
	queue <- held
	l := NewListener(queue)
	c, err := l.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	const head, rest = "GET / HTTP/1.1\r\n", "Host: h\r\n\r\n"
	go func() { _, _ = io.WriteString(callerEnd, head) }()
	buffer, length, readErr := make([]byte, 64), 0, make(chan error, 1)
	go func() {
		var err error
		length, err = c.Read(buffer)
		readErr <- err
	}()
	<-held.read
	g.Expect(l.CloseIdle()).To(gomega.Equal(1))
	g.Expect(l.CloseIdle()).To(gomega.Equal(1))
	close(held.release)
	g.Eventually(readErr).Should(gomega.Receive(gomega.BeNil()))
	g.Expect(string(buffer[:length])).To(gomega.Equal(head))
	g.Expect(l.CloseIdle()).To(gomega.Equal(1))
	go func() { _, _ = io.WriteString(callerEnd, rest) }()
	length, err = c.Read(buffer)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(buffer[:length])).To(gomega.Equal(rest))
	answered := make(chan error, 1)
	go func() {
		_, err := c.Write([]byte("answer"))
		answered <- err
	}()
	_, err = io.ReadFull(callerEnd, make([]byte, len("answer")))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(answered).Should(gomega.Receive(gomega.BeNil()))
}

// TestStopKeepsRequestsWhoseFirstByteWasRead guards against a connection that is closed
// though net/http has read the first byte of a request, beside the one before it.
func TestStopKeepsRequestsWhoseFirstByteWasRead(t *testing.T) {
	g := gomega.NewWithT(t)
	serverEnd, callerEnd := net.Pipe()
	queue := make(connQueue, 1)
	queue <- serverEnd
	close(queue)
	l := NewListener(queue)
	serving, goOn := make(chan struct{}, 2), make(chan struct{}, 2)
	server := &http.Server{
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			serving <- struct{}{}
			<-goOn
		}),
		ConnState: l.StateChanged,
	}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	send := func(text string) {
		_, err := io.WriteString(callerEnd, text)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	answers := bufio.NewReader(callerEnd)
	receive := func() {
		response, err := http.ReadResponse(answers, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK))
	}
	send(request)
	<-serving
	// A pipe takes a byte only when it is read.
	send(request[:1])
	goOn <- struct{}{}
	receive()
	g.Consistently(l.CloseIdle).Should(gomega.Equal(1))
	send(request[1:])
	<-serving
	goOn <- struct{}{}
	receive()
	g.Eventually(l.CloseIdle).Should(gomega.Equal(0))
}
