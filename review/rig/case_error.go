package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case. The share of the upstreams that fail and the part of their
// requests are those of the published deployments.
const (
	errorCallers  = 8
	errorReplicas = 4
	errorLasts    = 4 * time.Second
	errorPart     = 45 // percent
	// bodyDelay is the time from the head of an error answer to its body.
	bodyDelay = 5 * time.Millisecond
	// maxClosed is how many requests of kept connections may end so.
	maxClosed = 3
)

// runErrorAnswer lets all upstreams answer part of their requests with status 500 and a
// whole body, which follows the head a few milliseconds later.
func runErrorAnswer(ctx context.Context, b *bench) error {
	keepers, entries, err := b.addCluster([]string{"a", "b", "c"}, []string{"a"})
	if err != nil {
		return err
	}
	config := configuration(1, []string{"booking"}, route{
		Name: "book", Host: callerHost, PathPrefix: "/book/", Kind: "non_idempotent", TimeoutMs: 3000, SloMs: 300, Service: "booking", Attempts: 1,
	})
	var failing atomic.Bool
	var mu sync.Mutex
	written, ran := map[string]bool{}, map[string]string{}
	for i := range errorReplicas {
		r := &replica{id: fmt.Sprintf("i-%d", i), service: "booking", zone: "a", release: "v1", slots: 8}
		var count atomic.Int64
		handler := http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			id := request.Header.Get("X-Request-Id")
			time.Sleep(20 * time.Millisecond)
			w.Header().Set("X-Request-Id", id)
			w.Header().Set("X-Replica-Seal", r.id+"."+id)
			n := count.Add(1)
			mu.Lock()
			ran[id] = r.id
			mu.Unlock()
			if !failing.Load() || n*errorPart%100 >= errorPart {
				_, _ = w.Write([]byte("booked " + id))
				return
			}
			text := "the booking can't be stored " + id
			w.Header().Set("Content-Length", strconv.Itoa(len(text)))
			w.WriteHeader(http.StatusInternalServerError)
			w.(http.Flusher).Flush()
			time.Sleep(bodyDelay)
			_, _ = w.Write([]byte(text))
			mu.Lock()
			written[id] = true
			mu.Unlock()
		})
		if err := b.startReplica(ctx, r, keepers, handler); err != nil {
			return err
		}
	}
	if err := b.startAll(ctx, keepers, entries, config); err != nil {
		return err
	}
	pause(ctx, 4*time.Second)
	failing.Store(b.trouble)
	if b.trouble {
		b.record("all upstreams begin to fail %d%% of their requests", errorPart)
	}
	var results []sent
	var callers sync.WaitGroup
	until := time.Now().Add(errorLasts)
	for c := range errorCallers {
		callers.Go(func() {
			conn := &caller{address: entries[0].front}
			defer conn.close()
			for n := 0; time.Now().Before(until) && ctx.Err() == nil; n++ {
				s := conn.do(fmt.Sprintf("%02x%014x", c, n), http.MethodPost, fmt.Sprintf("/book/%d-%d", c, n), callerHost, "one seat", map[string]string{
					"Authorization": "Token " + apiKey, "X-Deadline-Ms": "3000",
				})
				mu.Lock()
				results = append(results, s)
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	return judgeErrorAnswers(b, results, written, ran)
}

func judgeErrorAnswers(b *bench, results []sent, written map[string]bool, ran map[string]string) error {
	statuses := map[int]int{}
	closed, delivered := 0, 0
	for _, s := range results {
		statuses[s.status]++
		b.record("request %s: ran at %q, status of the answer %d (0: none)", s.id, ran[s.id], s.status)
		failed := written[s.id]
		if failed && s.status != 0 {
			delivered++
		}
		if !failed || s.status != 0 {
			continue
		}
		b.record("request %s, on a kept connection: %v; the upstream answered 500 with its whole body; the caller's connection was closed (answer begun: %v): %v", s.id, s.kept, s.started, s.err)
		if s.kept && !s.started {
			closed++
		}
	}
	b.record("requests: %d, by status (0: connection closed without an answer): %v", len(results), statuses)
	b.record("error answers that upstreams sent whole: %d, passed on: %d, of kept connections closed without an answer: %d (at most %d)", len(written), delivered, closed, maxClosed)
	if len(results) < 100 || statuses[200] == 0 {
		return fmt.Errorf("only %d requests, %d with success", len(results), statuses[200])
	}
	if closed > maxClosed {
		return errBroken
	}
	return nil
}
