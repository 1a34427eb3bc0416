package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// plainConfig has routes to a plain service that answers at once.
const plainConfig = `{"version":3,"routes":[
{"name":"book","host":"mill.example","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":1500,"sloMs":150,"priority":1,"service":"agenda","attempts":1},
{"name":"look","host":"mill.example","pathPrefix":"/look/","kind":"idempotent","timeoutMs":1500,"sloMs":150,"priority":1,"service":"agenda","attempts":2}],
"services":[{"name":"agenda","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"mill","apiKeys":["key-m"],"priority":1}]}`

// sent is one client attempt.
type sent struct {
	at     time.Time
	status int
	detail string
}

// book sends a booking to an entry, once.
func book(c *cluster, n *node, client *http.Client, id string) sent {
	s := sent{at: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.callers+"/book/"+id, strings.NewReader("one visit"))
	if err != nil {
		s.detail = err.Error()
		return s
	}
	request.Host = "mill.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "1500")
	request.Header.Set("Authorization", "Token key-m")
	response, err := client.Do(request)
	if err != nil {
		s.detail = err.Error()
		c.record.add("client", "%s to %s: no answer, %v", id, n.name, err)
		return s
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	s.status, s.detail = response.StatusCode, strings.TrimSpace(string(body))
	c.record.add("client", "%s to %s: %d %s %v", id, n.name, s.status, s.detail, err)
	return s
}

// deregister has a server start again under its ID, with heartbeats that arrive seconds late, and
// leave by a deregistration that is acknowledged.
func deregister(r *record, trouble bool) (int, error) {
	c, err := startCluster(r, 3, "")
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return cannotRun, err
	}
	var mu sync.Mutex
	requests := map[string]sent{}
	type arrival struct {
		server, id string
		at         time.Time
	}
	var arrivals []arrival
	var servers []*server
	for i := range 6 {
		s := &server{
			id: fmt.Sprintf("i-7f3a91c%d", i), service: "agenda", zone: fmt.Sprintf("home-%c", 'a'+i%3), address: freeAddress(), c: c, slots: 6, queue: 24, work: 100 * time.Millisecond,
			onRun: func(s *server, id string) {
				mu.Lock()
				defer mu.Unlock()
				arrivals = append(arrivals, arrival{s.id, id, time.Now()})
			},
		}
		if err := s.start("v1", 0); err != nil {
			return cannotRun, err
		}
		servers = append(servers, s)
	}
	if err := c.put(plainConfig); err != nil {
		return cannotRun, err
	}
	if err := c.await(); err != nil {
		return cannotRun, err
	}
	time.Sleep(2 * time.Second)

	stop := make(chan struct{})
	var clients sync.WaitGroup
	var number atomic.Int64
	for i := range 40 {
		n := c.entries[i%len(c.entries)]
		clients.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(100+i*37%100) * time.Millisecond):
				}
				id := fmt.Sprintf("b-%05d", number.Add(1))
				s := book(c, n, client, id)
				mu.Lock()
				requests[id] = s
				mu.Unlock()
			}
		})
	}
	time.Sleep(4 * time.Second)

	leaving := servers[0]
	late := time.Duration(0)
	if trouble {
		late = 3 * time.Second
	}
	leaving.end("crashes")
	time.Sleep(time.Second)
	if err := leaving.start("v1", late); err != nil {
		return cannotRun, err
	}
	time.Sleep(1500 * time.Millisecond)
	acknowledged, ok := leaving.deregister()
	if !ok {
		return cannotRun, fmt.Errorf("no keeper acknowledged that the server leaves")
	}
	time.Sleep(drainMs*time.Millisecond + 2500*time.Millisecond)
	gone := time.Now()
	leaving.end("leaves")
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()

	mu.Lock()
	defer mu.Unlock()
	afterDrain, lost := 0, 0
	for _, a := range arrivals {
		s, known := requests[a.id]
		if !known || a.server != leaving.id || !s.at.After(acknowledged.Add(drainMs*time.Millisecond)) {
			continue
		}
		afterDrain++
		r.add("check", "%s was sent %v after the acknowledgement, ran at %s and was answered %d %s", a.id, s.at.Sub(acknowledged).Round(time.Millisecond), a.server, s.status, s.detail)
		if s.status != http.StatusOK {
			lost++
		}
	}
	r.verdict("%d requests; the server left %v after its deregistration was acknowledged", len(requests), gone.Sub(acknowledged).Round(time.Millisecond))
	r.verdict("%d requests that clients sent later than %d ms after the acknowledgement reached it; %d of these were cut when it left", afterDrain, drainMs, lost)
	if afterDrain > 0 {
		r.verdict("DRAIN is broken")
		return broken, nil
	}
	return held, nil
}
