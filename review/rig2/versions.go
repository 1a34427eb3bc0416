package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// streamConfig has a route to streams that may be resumed.
const streamConfig = `{"version":3,"routes":[
{"name":"history","host":"mill.example","pathPrefix":"/history/","kind":"streaming","timeoutMs":15000,"sloMs":2500,"gapSloMs":500,"priority":2,"service":"asistente","attempts":2,"resumable":true}],
"services":[{"name":"asistente","healthPath":"/healthz","maxConns":370,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"mill","apiKeys":["key-m"],"priority":1}]}`

// story is a stream as its client gets it, over its attempts.
type story struct {
	// first is the attempt that brought the first event, last the last event.
	first    string
	last     int
	complete bool
	versions map[string]int
	order    []string
	faults   []string
}

var eventText = regexp.MustCompile(`^data: word (\d+) of (\S+)( \(end\))?$`)

// read reads the events of one attempt, until it ends.
func (s *story) read(c *cluster, n *node, client *http.Client, id string, left time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.callers+"/history/h", strings.NewReader("tell me all"))
	if err != nil {
		return
	}
	request.Host = "mill.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(left.Milliseconds()))
	request.Header.Set("Authorization", "Token key-m")
	if s.first != "" {
		request.Header.Set("Last-Event-Id", fmt.Sprint(s.last))
		request.Header.Set("Resumes", s.first)
	}
	response, err := client.Do(request)
	if err != nil {
		c.record.add("client", "%s to %s: no answer, %v", id, n.name, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		c.record.add("client", "%s to %s: %d", id, n.name, response.StatusCode)
		return
	}
	event := 0
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		line := lines.Text()
		if value, found := strings.CutPrefix(line, "id: "); found {
			_, _ = fmt.Sscan(value, &event)
			continue
		}
		parts := eventText.FindStringSubmatch(line)
		if parts == nil {
			continue
		}
		if event != s.last+1 || parts[1] != fmt.Sprint(event) {
			s.faults = append(s.faults, fmt.Sprintf("event %d %q after %d", event, line, s.last))
		}
		if s.first == "" {
			s.first = id
		}
		s.last, s.complete = event, parts[3] != ""
		if s.versions[parts[2]]++; len(s.order) == 0 || s.order[len(s.order)-1] != parts[2] {
			s.order = append(s.order, parts[2])
		}
	}
	c.record.add("client", "%s to %s: ends after event %d, software %v, complete %v, %v", id, n.name, s.last, s.order, s.complete, lines.Err())
}

// versions has the servers of a service start again under their IDs, one after the other, with a
// new version of their software. Their heartbeats arrive seconds late.
func versions(r *record, trouble bool) (int, error) {
	c, err := startCluster(r, 3, "")
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return cannotRun, err
	}
	var servers []*server
	for i := range 6 {
		s := &server{
			id: fmt.Sprintf("i-91c2b0e%d", i), service: "asistente", zone: fmt.Sprintf("home-%c", 'a'+i%3), address: freeAddress(), c: c, slots: 64, queue: 134,
			events: 64, pace: 70 * time.Millisecond,
		}
		if err := s.start("v1", 0); err != nil {
			return cannotRun, err
		}
		servers = append(servers, s)
	}
	if err := c.put(streamConfig); err != nil {
		return cannotRun, err
	}
	if err := c.await(); err != nil {
		return cannotRun, err
	}
	// The origins of streams are known to have one version only after a while.
	time.Sleep(3 * time.Second)

	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	var stories []*story
	var number atomic.Int64
	for i := range 48 {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(50+i*7%200) * time.Millisecond):
				}
				s := &story{versions: map[string]int{}}
				end := time.Now().Add(15 * time.Second)
				name := number.Add(1)
				for attempt := range 3 {
					left := time.Until(end)
					if s.complete || left < time.Second {
						break
					}
					// Clients take a broken stream up on a new connection, which leads to another entry.
					s.read(c, c.entries[(i+attempt)%len(c.entries)], &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, fmt.Sprintf("h-%05d-%d", name, attempt), left)
				}
				mu.Lock()
				stories = append(stories, s)
				mu.Unlock()
			}
		})
	}
	time.Sleep(5 * time.Second)
	late := time.Duration(0)
	if trouble {
		late = 3 * time.Second
	}
	for _, s := range servers {
		s.end("ends for its new software")
		time.Sleep(500 * time.Millisecond)
		if err := s.start("v2", late); err != nil {
			return cannotRun, err
		}
		time.Sleep(1500 * time.Millisecond)
	}
	time.Sleep(6 * time.Second)
	close(stop)
	clients.Wait()

	mixed, complete := 0, 0
	for _, s := range stories {
		if s.complete {
			complete++
		}
		if len(s.versions) > 1 || len(s.faults) > 0 {
			mixed++
			r.add("check", "stream of %s has events of %v: %v %v", s.first, s.order, s.versions, s.faults)
		}
	}
	r.verdict("%d streams, %d complete, %d with events of two versions of the software", len(stories), complete, mixed)
	if mixed > 2 {
		r.verdict("ORDER is broken")
		return broken, nil
	}
	return held, nil
}
