package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeatEvery is the time between two heartbeats of a server.
const heartbeatEvery = 1200 * time.Millisecond

// server is a stand-in for a replica. It may start again under its ID.
type server struct {
	id, service, zone, address string
	c                          *cluster
	// slots is how many requests it runs at once, work how long one takes, and events the length
	// of a stream, one each pace.
	slots  int
	work   time.Duration
	events int
	pace   time.Duration
	// onRun is told of each request that begins to run.
	onRun func(s *server, id string)

	mu      sync.Mutex
	version string
	born    int64
	seq     int
	http    *http.Server
	stop    context.CancelFunc
	running atomic.Int64
	// queue is how many requests wait at most, beside those that run.
	queue int
	// room has one element for each request that runs; the others wait.
	room chan struct{}
}

// start begins an incarnation. Its heartbeats arrive late.
func (s *server) start(version string, late time.Duration) error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.mu.Lock()
	s.version, s.born, s.seq, s.stop, s.room = version, time.Now().UnixMilli(), 0, cancel, make(chan struct{}, s.slots)
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: 5 * time.Second}
	h := s.http
	s.mu.Unlock()
	s.c.record.add(s.id, "starts with software %s, born %d", version, s.born)
	go func() { _ = h.Serve(l) }()
	go s.beat(ctx, late)
	return nil
}

// beat sends heartbeats, to one keeper after the other, until ctx ends. What was sent before may
// still arrive.
func (s *server) beat(ctx context.Context, late time.Duration) {
	t := time.NewTicker(heartbeatEvery)
	defer t.Stop()
	for {
		body, seq := s.state("ready")
		go func() {
			time.Sleep(late)
			for i := range s.c.keepers {
				k := s.c.keepers[(seq+i)%len(s.c.keepers)]
				status := post(k.peers, "/v1/replicas/"+s.id+"/heartbeat", body)
				s.c.record.add(s.id, "heartbeat %s at %s, %v late: %d", body, k.name, late, status)
				if status/100 == 2 {
					return
				}
			}
		}()
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// state is the body of a heartbeat.
func (s *server) state(state string) (body string, seq int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	return fmt.Sprintf(`{"service":%q,"addr":%q,"zone":%q,"version":%q,"slots":%d,"state":%q,"coldLeftMs":0,"seq":%d,"born":%d}`,
		s.service, s.address, s.zone, s.version, s.slots, state, s.seq, s.born), s.seq
}

// end ends the incarnation as a crash does: its connections break and nothing listens.
func (s *server) end(why string) {
	s.mu.Lock()
	h, stop := s.http, s.stop
	s.mu.Unlock()
	stop()
	atWork := s.running.Load()
	_ = h.Close()
	s.c.record.add(s.id, "%s with %d requests at work", why, atWork)
}

// deregister says that the server leaves, to one keeper after the other until one acknowledges.
func (s *server) deregister() (acknowledged time.Time, ok bool) {
	s.mu.Lock()
	stop := s.stop
	s.mu.Unlock()
	stop()
	body, _ := s.state("draining")
	for _, k := range s.c.keepers {
		status := post(k.peers, "/v1/replicas/"+s.id+"/deregister", body)
		s.c.record.add(s.id, "deregister %s at %s: %d", body, k.name, status)
		if status/100 == 2 {
			return time.Now(), true
		}
	}
	return time.Time{}, false
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	w.Header().Set("X-Replica-Id", s.id)
	if r.URL.Path == "/healthz" {
		w.WriteHeader(http.StatusOK)
		return
	}
	if expected := r.Header.Get("X-Expect-Replica"); expected != "" && expected != s.id {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if int(s.running.Add(1)) > s.slots+s.queue {
		s.running.Add(-1)
		s.c.record.add(s.id, "turns %s away: it is full", id)
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.running.Add(-1)
	s.mu.Lock()
	version, room := s.version, s.room
	s.mu.Unlock()
	select {
	case room <- struct{}{}:
		defer func() { <-room }()
	case <-r.Context().Done():
		return
	}
	s.c.record.add(s.id, "runs %s of %d bytes, software %s, last event %q", id, len(body), version, r.Header.Get("Last-Event-Id"))
	if s.onRun != nil {
		s.onRun(s, id)
	}
	w.Header().Set("X-Replica-Seal", s.id+"."+id)
	if s.events > 0 {
		s.stream(w, r, version)
		return
	}
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	answer := fmt.Sprintf("answer of %s to %s\n", s.id, id)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

// stream sends the events after the one that the request names.
func (s *server) stream(w http.ResponseWriter, r *http.Request, version string) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= s.events; n++ {
		text := "data: word " + strconv.Itoa(n) + " of " + version
		if n == s.events {
			text += " (end)"
		}
		if _, err := fmt.Fprintf(w, "id: %d\n%s\n\n", n, text); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(s.pace):
		case <-r.Context().Done():
			return
		}
	}
}
