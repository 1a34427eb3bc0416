package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// proxy passes connections on to one keeper. It finds out which node opened each of
// them, so that the paths between single nodes can be cut: bytes are then held back,
// as by a network that drops all packets.
type proxy struct {
	address  string
	target   string
	listener net.Listener
	ownerOf  func(localPort, remotePort int) string

	mu      sync.Mutex
	cutFrom map[string]bool
	conns   map[net.Conn]bool
	cuts    atomic.Int64
}

func newProxy(target string, ownerOf func(localPort, remotePort int) string) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: l.Addr().String(), target: target, listener: l, ownerOf: ownerOf, cutFrom: map[string]bool{}, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

// setCut cuts or restores the path from the named nodes.
func (p *proxy) setCut(cut bool, names ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range names {
		p.cutFrom[name] = cut
	}
}

func (p *proxy) isCut(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cutFrom[name]
}

func (p *proxy) serve(from net.Conn) {
	defer func() { _ = from.Close() }()
	owner := p.ownerOf(from.RemoteAddr().(*net.TCPAddr).Port, from.LocalAddr().(*net.TCPAddr).Port)
	p.track(from)
	for p.isCut(owner) {
		time.Sleep(10 * time.Millisecond)
	}
	to, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	p.track(to)
	done := make(chan struct{}, 2)
	pump := func(dst, src net.Conn) {
		defer func() { done <- struct{}{} }()
		buffer := make([]byte, 32<<10)
		for {
			n, err := src.Read(buffer)
			for p.isCut(owner) {
				time.Sleep(10 * time.Millisecond)
			}
			if n > 0 {
				if _, err := dst.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go pump(to, from)
	go pump(from, to)
	<-done
}

func (p *proxy) track(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
	clear(p.cutFrom)
}

// ownerOf returns the name of the node whose process holds the connection from
// localPort to remotePort, "" if none of the bench's nodes does.
func (b *bench) ownerOf(localPort, remotePort int) string {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	local, remote := fmt.Sprintf("0100007F:%04X", localPort), fmt.Sprintf("0100007F:%04X", remotePort)
	inode := ""
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) > 9 && fields[1] == local && fields[2] == remote {
			inode = "socket:[" + fields[9] + "]"
		}
	}
	if inode == "" {
		return ""
	}
	for _, n := range b.nodes {
		pid := b.pidOf(n.name)
		if pid == 0 {
			continue
		}
		files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
		for _, f := range files {
			if link, err := os.Readlink(f); err == nil && link == inode {
				return n.name
			}
		}
	}
	return ""
}
