package exchange

import (
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// CloseIdle closes the idle connections to an address.
func (c *Client) CloseIdle(address netip.AddrPort) {
	c.mu.Lock()
	list := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, conn := range list {
		_ = conn.Close()
	}
}

// CloseAllIdle closes all idle connections.
func (c *Client) CloseAllIdle() {
	c.mu.Lock()
	lists := c.idle
	c.idle = map[netip.AddrPort][]*connection{}
	c.mu.Unlock()
	for _, list := range lists {
		for _, conn := range list {
			_ = conn.Close()
		}
	}
}

// CloseExpired closes the connections that have been idle for too long.
func (c *Client) CloseExpired(now time.Time) {
	c.mu.Lock()
	var expired []*connection
	for address, list := range c.idle {
		kept := list[:0]
		for _, conn := range list {
			if now.After(conn.idleUntil) {
				expired = append(expired, conn)
			} else {
				kept = append(kept, conn)
			}
		}
		if len(kept) == 0 {
			delete(c.idle, address)
		} else {
			c.idle[address] = kept
		}
	}
	c.mu.Unlock()
	for _, conn := range expired {
		_ = conn.Close()
	}
}

// hashID is what a connection keeps of the ID of a request. Two IDs with one hash cost a
// connection.
func hashID(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// acquireIdle takes a usable idle connection that hasn't carried the request's ID from the pool,
// or returns nil. It also returns the number of those that have carried it.
func (c *Client) acquireIdle(address netip.AddrPort, id uint32) (conn *connection, passedOver int) {
	for {
		conn, passedOver = c.takeIdle(address, id)
		if conn == nil || time.Now().Before(conn.idleUntil) && conn.usable() {
			return conn, passedOver
		}
		_ = conn.Close()
	}
}

// takeIdle takes the connection that was used last, of those that haven't carried the ID.
func (c *Client) takeIdle(address netip.AddrPort, id uint32) (last *connection, passedOver int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	for i, conn := range slices.Backward(list) {
		if slices.Contains(conn.carried, id) {
			passedOver++
			continue
		}
		c.idle[address] = slices.Delete(list, i, i+1)
		return conn, passedOver
	}
	return nil, passedOver
}

// usable reports whether an idle connection is open and has no unread bytes.
func (c *connection) usable() bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		usable = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && usable
}

// releaseIdle keeps a connection for the next exchange, unless enough are idle or it isn't one of
// TCP.
func (c *Client) releaseIdle(conn *connection) {
	_, tcp := conn.Conn.(*net.TCPConn)
	c.mu.Lock()
	list := c.idle[conn.address]
	if tcp && len(list) < maxIdlePerAddress {
		c.idle[conn.address] = append(list, conn)
		conn = nil
	}
	c.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}

// maxIdleSeconds bounds the idle timeout that an upstream may name, in seconds.
const maxIdleSeconds = 3600

// idleTimeout is how long a connection may stay idle, by the response's headers.
func idleTimeout(h http.Header) time.Duration {
	for value := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if seconds, found := strings.CutPrefix(strings.TrimSpace(value), "timeout="); found {
			if n, err := strconv.Atoi(seconds); err == nil {
				return max(time.Duration(min(max(n, 0), maxIdleSeconds))*time.Second-idleMargin, 0)
			}
		}
	}
	return defaultIdleTimeout
}
