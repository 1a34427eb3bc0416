package e2e

import (
	"io"
	"net"
	"net/netip"
	"sync"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// wire is a TCP relay that can hold the bytes of the connections that are
// open, or cut everything.
type wire struct {
	listener net.Listener
	target   netip.AddrPort

	mu    sync.Mutex
	links map[*link]bool
	cut   bool
}

// link is one relayed connection. While held it passes nothing on.
type link struct {
	a, b net.Conn
	held chan struct{}
	once sync.Once
}

// reserveAddress returns an address that was free a moment ago.
func reserveAddress() netip.AddrPort {
	ginkgo.GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

func newWire(target netip.AddrPort) *wire {
	ginkgo.GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	w := &wire{listener: l, target: target, links: map[*link]bool{}}
	ginkgo.DeferCleanup(func() {
		_ = l.Close()
		w.setCut(true)
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go w.relay(c)
		}
	}()
	return w
}

func (w *wire) address() netip.AddrPort { return w.listener.Addr().(*net.TCPAddr).AddrPort() }

func (w *wire) relay(a net.Conn) {
	b, err := net.Dial("tcp", w.target.String())
	if err != nil {
		_ = a.Close()
		return
	}
	l := &link{a: a, b: b, held: make(chan struct{})}
	w.mu.Lock()
	if w.cut {
		w.mu.Unlock()
		l.close()
		return
	}
	w.links[l] = true
	w.mu.Unlock()
	var wait sync.WaitGroup
	wait.Go(func() { l.copy(b, a) })
	wait.Go(func() { l.copy(a, b) })
	wait.Wait()
	w.mu.Lock()
	delete(w.links, l)
	w.mu.Unlock()
}

// copy passes bytes on until the link is held or closed.
func (l *link) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-l.held:
			// The link is silent: neither bytes nor its end are passed on.
			_, _ = io.Copy(io.Discard, from)
			return
		default:
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				l.close()
				return
			}
		}
		if err != nil {
			l.close()
			return
		}
	}
}

func (l *link) close() {
	_ = l.a.Close()
	_ = l.b.Close()
}

// silence makes every open connection silent; new ones work.
func (w *wire) silence() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	for l := range w.links {
		l.once.Do(func() { close(l.held) })
	}
	return len(w.links)
}

// setCut closes everything and refuses new connections, or lets them again.
func (w *wire) setCut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
	if cut {
		for l := range w.links {
			l.close()
		}
	}
}
