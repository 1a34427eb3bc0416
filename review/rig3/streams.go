package main

import (
	"bufio"
	"net/http"
	"strings"
	"time"
)

// streamConfig has one service of model replicas with a route of long streams, as care-history.
const streamConfig = `{"version":1,"routes":[{"name":"r-history","host":"mill.example","pathPrefix":"/history/","kind":"streaming","timeoutMs":15000,"sloMs":2500,"priority":2,"service":"assistant","attempts":2,"public":false,"sticky":true,"resumable":true,"gapSloMs":500}],
"services":[{"name":"assistant","healthPath":"/healthz","maxConns":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":579467,"kvTokenBytes":18432,"linkMbps":550000.0,"moves":true,"backups":true,"stride":6,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{"name":"m"}]}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"mill","apiKeys":["key-mill"],"priority":1,"unit":"token","plainTokens":200,"ratePerS":5000000,"burst":5000000}]}`

// streamOutcome is what a caller got of a stream.
type streamOutcome struct {
	status, events int
	// sources counts the events by the replica that wrote them.
	sources map[string]int
	// complete says that the answer ended in order, whole that it had all its events too.
	complete, whole bool
}

// callStream sends a request for a stream and reads the answer.
func callStream(front, id string, events int) streamOutcome {
	o := streamOutcome{sources: map[string]int{}}
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
		if _, source, ok := strings.Cut(lines.Text(), " of "); ok && strings.HasPrefix(lines.Text(), "data: piece ") {
			o.events++
			o.sources[source]++
		}
	}
	o.complete = lines.Err() == nil
	o.whole = o.complete && o.events == events
	return o
}
