package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { plays["versions"] = playVersions }

// The case: one of 10 replicas, which is less than the share of srv_cut (0.2), loses its way to the
// core for 5 s, its default, and starts again behind the cut.
const (
	versionReplicas = 10
	versionEntries  = 8
	versionStreams  = 160
	versionCut      = 5 * time.Second
	// mostJoined is the number of streams of two versions that the rule allows.
	mostJoined = 2
)

// streamConfig has one service of model replicas with a route of long streams, as care-history.
const streamConfig = `{"version":1,"routes":[{"name":"r-history","host":"mill.example","pathPrefix":"/history/","kind":"streaming","timeoutMs":15000,"sloMs":2500,"priority":2,"service":"assistant","attempts":2,"public":false,"sticky":true,"resumable":true,"gapSloMs":500}],
"services":[{"name":"assistant","healthPath":"/healthz","maxConns":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":579467,"kvTokenBytes":18432,"linkMbps":550000.0,"moves":true,"backups":true,"stride":6,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{"name":"m"}]}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"mill","apiKeys":["key-mill"],"priority":1,"unit":"token","plainTokens":200,"ratePerS":5000000,"burst":5000000}]}`

// streamOutcome is what a caller got of a stream.
type streamOutcome struct {
	status, events int
	versions       map[string]int
	// complete says that the answer ended in order, whole that it had all its events too.
	complete, whole bool
}

// callStream sends a request for a stream and reads the answer.
func callStream(front, id string, events int) streamOutcome {
	o := streamOutcome{versions: map[string]int{}}
	request, err := http.NewRequest(http.MethodPost, "http://"+front+"/history/1", strings.NewReader("history of "+id))
	if err != nil {
		return o
	}
	request.Host = "mill.example"
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Model": "m", "X-Token-Count": "660,64", "X-Prompt-Prefix": "5c1e" + strings.TrimPrefix(id, "s") + ":660",
		"X-Deadline-Ms": "15000", "Authorization": "Token key-mill",
	} {
		request.Header.Set(name, value)
	}
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	response, err := (&http.Client{Transport: transport, Timeout: 16 * time.Second}).Do(request)
	if err != nil {
		return o
	}
	defer func() { _ = response.Body.Close() }()
	o.status = response.StatusCode
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if _, version, ok := strings.Cut(lines.Text(), " of "); ok && strings.HasPrefix(lines.Text(), "data: piece ") {
			o.events++
			o.versions[version]++
		}
	}
	o.complete = lines.Err() == nil
	o.whole = o.complete && o.events == events
	return o
}

// playVersions lets a replica start again under its ID with a newer version of its software while it
// has no way to the core machines and no requests. Streams begin there, and break off.
func playVersions(c *cluster, trouble bool) (bool, error) {
	const events = 64
	if err := c.start(versionEntries); err != nil {
		return false, err
	}
	if err := c.putConfig(streamConfig); err != nil {
		return false, err
	}
	var replicas []*replica
	for i := range versionReplicas {
		r, err := newReplica(c, fmt.Sprintf("i-%d", i), "assistant", "zone-a")
		if err != nil {
			return false, err
		}
		r.events, r.pace = events, 200*time.Millisecond
		if err := r.start("v1"); err != nil {
			return false, err
		}
		c.cleanup = append(c.cleanup, r.crash)
		replicas = append(replicas, r)
	}
	if err := c.awaitReady(c.entries...); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	restarted := replicas[0]
	if trouble {
		c.record.add("replica %s loses its way to the core machines", restarted.id)
		restarted.cut.Store(true)
		time.AfterFunc(versionCut, func() {
			restarted.cut.Store(false)
			c.record.add("the way to the core machines is back")
		})
	}
	if err := restarted.restart("v2"); err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	outcomes := make([]streamOutcome, versionStreams)
	var wait sync.WaitGroup
	for i := range outcomes {
		wait.Go(func() {
			id := fmt.Sprintf("s%03d", i)
			e := c.entries[i%len(c.entries)]
			c.record.add("caller sends %s to %s", id, e.name)
			outcomes[i] = callStream(e.front, id, events)
			c.record.add("caller got %s: status %d, %d events, versions %v, whole %t", id, outcomes[i].status, outcomes[i].events, outcomes[i].versions, outcomes[i].whole)
		})
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if err := restarted.restart("v2"); err != nil {
		return false, err
	}
	wait.Wait()
	answered, joined, whole := 0, 0, 0
	for i, o := range outcomes {
		if o.status == http.StatusOK {
			answered++
		}
		if o.whole {
			whole++
		}
		if len(o.versions) > 1 {
			joined++
			c.record.add("joined: s%03d has events of %v in one answer", i, o.versions)
		}
	}
	c.record.tell("%d streams, %d began, %d whole; %d hold events of two versions in one answer, %d allowed", versionStreams, answered, whole, joined, mostJoined)
	if answered < versionStreams/2 {
		return false, fmt.Errorf("only %d of %d streams began", answered, versionStreams)
	}
	return joined > mostJoined, nil
}
