package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Figures of the case.
const (
	// directoryAge is how long the entries run before the release begins.
	directoryAge = 33 * time.Second
	streamEvents = 100
	eventPause   = 40 * time.Millisecond
	streamStart  = 40 * time.Millisecond
	// cutToStreams is the time from the cut to the first of the streams, cutToKill that
	// to the kill of the entry that serves them.
	cutToNew     = 200 * time.Millisecond
	cutToStreams = 700 * time.Millisecond
	cutToKill    = 2600 * time.Millisecond
	cutLasts     = 8 * time.Second
	// killLasts is the longest kill of an entry in the site file.
	killLasts = 3500 * time.Millisecond
	// maxMixed is how many streams may hold events of two releases.
	maxMixed = 2
)

// call is one stream of a caller, over all its tries.
type call struct {
	id       string
	last     int
	releases map[string]bool
	tries    []string
	complete bool
}

// runResumeRelease starts upstreams of a new release while one of eight entries is cut off
// from the keepers, and kills another one of its zone.
func runResumeRelease(ctx context.Context, b *bench) error {
	keepers, entries, err := b.addCluster([]string{"a", "b", "c", "d"}, []string{"a", "a", "a", "b", "b", "b", "c", "d"})
	if err != nil {
		return err
	}
	config := configuration(1, []string{"writer"}, route{
		Name: "write", Host: callerHost, PathPrefix: "/write/", Kind: "streaming", TimeoutMs: 15000, SloMs: 2500, GapSloMs: 500, Service: "writer", Attempts: 2, Resumable: true,
	})
	serving := func(id, zone, release string) error {
		r := &replica{id: id, service: "writer", zone: zone, release: release, slots: 64}
		return b.startReplica(ctx, r, keepers, writerHandler(r))
	}
	if err := errors.Join(serving("i-old-a", "a", "v1"), serving("i-old-b", "b", "v1")); err != nil {
		return err
	}
	if err := b.startAll(ctx, keepers, entries, config); err != nil {
		return err
	}
	pause(ctx, directoryAge)
	if b.trouble {
		for _, k := range keepers {
			k.proxy.setCut(true, entries[1].name)
		}
		b.record("%s is cut off from all keepers", entries[1].name)
	}
	cutAt := time.Now()
	pause(ctx, cutToNew)
	if err := errors.Join(serving("i-new-a", "a", "v2"), serving("i-new-b", "b", "v2")); err != nil {
		return err
	}
	pause(ctx, time.Until(cutAt.Add(cutToStreams)))
	var calls []*call
	var callers sync.WaitGroup
	for n := 0; time.Since(cutAt) < cutToKill-10*streamStart && ctx.Err() == nil; n++ {
		c := &call{id: fmt.Sprintf("%016x", n+1), releases: map[string]bool{}}
		calls = append(calls, c)
		callers.Go(func() { b.playStream(ctx, c, entries, n%4/2) })
		pause(ctx, streamStart)
	}
	pause(ctx, time.Until(cutAt.Add(cutToKill)))
	for _, e := range entries[:3] {
		b.record("%s answers the balancer that it is ready: %v", e.name, isReady(ctx, e))
	}
	if b.trouble {
		b.kill(entries[0].name)
		b.record("%s is killed", entries[0].name)
		pause(ctx, killLasts)
		b.record("%s is started again: error %v", entries[0].name, b.startNode(entries[0]))
	}
	pause(ctx, time.Until(cutAt.Add(cutLasts)))
	for _, k := range keepers {
		k.proxy.setCut(false, entries[1].name)
	}
	callers.Wait()
	return judgeReleases(b, calls)
}

// writerHandler answers with numbered events, after Last-Event-Id if the request names
// one. Each event names the release.
func writerHandler(r *replica) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		next := 1
		if last, err := strconv.Atoi(request.Header.Get("Last-Event-Id")); err == nil {
			next = last + 1
		}
		w.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
		w.Header().Set("X-Replica-Seal", r.id)
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		for ; next <= streamEvents && request.Context().Err() == nil; next++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", next, r.release)
			w.(http.Flusher).Flush()
			time.Sleep(eventPause)
		}
	})
}

// playStream sends a request to the first entry. When the connection breaks, it takes
// the stream up at the other entries of the zone, as the balancer does by a hash of the
// caller: half of the callers get to each of them first.
func (b *bench) playStream(ctx context.Context, c *call, entries []*node, half int) {
	began := time.Now()
	const patience = 15 * time.Second
	header := map[string]string{"Authorization": "Token " + apiKey}
	for try := 0; try < 3 && ctx.Err() == nil && time.Since(began) < patience; try++ {
		id, to := c.id, entries[0]
		if try > 0 {
			to = entries[1+(half+try)%2]
			id = fmt.Sprintf("%s-%d", c.id, try)
			if c.last > 0 {
				header["Last-Event-Id"], header["Resumes"] = strconv.Itoa(c.last), c.id
			}
		}
		header["X-Deadline-Ms"] = strconv.FormatInt((patience - time.Since(began)).Milliseconds(), 10)
		before, release := c.last, ""
		status, complete, err := stream(to.front, id, "/write/"+c.id, callerHost, "a page", header, func(number int, data string) {
			c.last, release = number, data
			c.releases[data] = true
		})
		c.complete = complete
		c.tries = append(c.tries, fmt.Sprintf("%s at %s: status %d, events %d to %d of %q, complete %v, err %v", id, to.name, status, before+1, c.last, release, complete, err))
		if complete {
			return
		}
		// A refusal says when to come back: after a second.
		wait := 20 * time.Millisecond
		if status == http.StatusServiceUnavailable {
			wait = time.Second
		}
		pause(ctx, wait)
	}
}

func judgeReleases(b *bench, calls []*call) error {
	mixed, started, complete := 0, 0, 0
	for _, c := range calls {
		for _, t := range c.tries {
			b.record("stream %s: %s", c.id, t)
		}
		if len(c.releases) > 0 {
			started++
		}
		if c.complete {
			complete++
		}
		if len(c.releases) > 1 {
			mixed++
			b.record("stream %s holds events of two releases", c.id)
		}
	}
	b.record("streams: %d, begun: %d, complete: %d, with events of two releases: %d (at most %d)", len(calls), started, complete, mixed, maxMixed)
	if started < 10 {
		return fmt.Errorf("only %d streams began", started)
	}
	if mixed > maxMixed {
		return errBroken
	}
	return nil
}
