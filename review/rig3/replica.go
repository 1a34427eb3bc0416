package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// replica is a stand-in for a replica of a service.
type replica struct {
	c                         *cluster
	id, service, zone, listen string
	slots                     int
	// events is the length of a stream, and pace the time between two events.
	events int
	pace   time.Duration
	// plain says that it answers with a short text rather than a stream.
	plain bool
	// work is the time that a plain answer takes, in one of the slots.
	work time.Duration

	mu      sync.Mutex
	version string
	server  *http.Server
	conns   map[net.Conn]bool
	end     context.CancelFunc
	runs    []string
}

func newReplica(c *cluster, id, service, zone string) (*replica, error) {
	address, err := c.address()
	if err != nil {
		return nil, err
	}
	return &replica{c: c, id: id, service: service, zone: zone, listen: address, slots: 64, events: 10, pace: 50 * time.Millisecond}, nil
}

// start begins a new start of the replica, with a version of its software.
func (r *replica) start(version string) error {
	listener, err := net.Listen("tcp4", r.listen)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	born := time.Now().UnixMilli()
	conns := map[net.Conn]bool{}
	server := &http.Server{ConnState: func(conn net.Conn, s http.ConnState) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if s == http.StateClosed || s == http.StateHijacked {
			delete(conns, conn)
		} else {
			conns[conn] = true
		}
	}}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) { r.serve(ctx, version, w, request) })
	r.mu.Lock()
	r.version, r.server, r.conns, r.end = version, server, conns, cancel
	r.mu.Unlock()
	r.c.record.add("replica %s starts at %s with version %s, born %d", r.id, r.listen, version, born)
	go func() { _ = server.Serve(listener) }()
	go r.announce(ctx, version, born)
	return nil
}

// announce sends the heartbeats of one start.
func (r *replica) announce(ctx context.Context, version string, born int64) {
	for seq := 1; ctx.Err() == nil; seq++ {
		body, _ := json.Marshal(map[string]any{
			"service": r.service, "addr": r.listen, "zone": r.zone, "version": version, "slots": r.slots, "state": "ready",
			"coldLeftMs": 0, "stage": "mixed", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "seq": seq, "born": born,
		})
		acknowledged := r.c.heartbeat(ctx, seq, r.id, body)
		if seq == 1 {
			r.c.record.add("replica %s: first heartbeat of version %s, acknowledged: %t", r.id, version, acknowledged)
		}
		select {
		case <-time.After(heartbeatEvery):
		case <-ctx.Done():
		}
	}
}

// crash ends the replica as the end of its process does: all connections are reset.
func (r *replica) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.end == nil {
		return
	}
	r.c.record.add("replica %s of version %s crashes", r.id, r.version)
	r.end()
	for conn := range r.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	_ = r.server.Close()
	r.end = nil
}

func (r *replica) serve(ctx context.Context, version string, w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	switch {
	case request.URL.Path == "/healthz":
		w.Header().Set("X-Replica-Id", r.id)
		w.WriteHeader(http.StatusOK)
		return
	case request.Header.Get("X-Expect-Replica") != r.id:
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	r.mu.Lock()
	r.runs = append(r.runs, id)
	r.mu.Unlock()
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	r.c.record.add("replica %s of version %s runs %s from event %d", r.id, version, id, last+1)
	w.Header().Set("X-Replica-Seal", "seal-"+r.id)
	if r.plain {
		time.Sleep(r.work)
		_, _ = fmt.Fprintf(w, "%s was booked", id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := last + 1; n <= r.events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, version); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(r.pace):
		case <-request.Context().Done():
			return
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// ran returns the requests that the replica has run.
func (r *replica) ran() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.runs)
}
