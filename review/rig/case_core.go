package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case. contactTime and configTime are contactMs and configMs of the
// deployments that bear the loss of two keepers, and coreCut is the longest cut in the
// published site files.
const (
	contactTime  = 4 * time.Second
	configTime   = 2500 * time.Millisecond
	coreCut      = 7900 * time.Millisecond
	cutToVersion = 1500 * time.Millisecond
	// settleTime is how long the entries choose among the keepers, two more of which become
	// voters meanwhile. An entry avoids a keeper for up to half a minute after a failed call,
	// and while all processes start some calls fail.
	settleTime = 40 * time.Second
	// margin is added to the bounds of the rule.
	margin      = 100 * time.Millisecond
	coreCallers = 4
	callPause   = 50 * time.Millisecond
)

// runCutKeepers cuts two of eight keepers, those of one zone, off from the other six.
// Callers, upstreams, the operator and the entries still reach all eight.
func runCutKeepers(ctx context.Context, b *bench) error {
	keepers, entries, err := b.addCluster([]string{"a", "a", "b", "b", "c", "c", "d", "d"}, []string{"a", "b"})
	if err != nil {
		return err
	}
	services := []string{"shelf-old", "shelf-new"}
	look := route{Name: "look", Host: callerHost, PathPrefix: "/look/", Kind: "idempotent", TimeoutMs: 3000, SloMs: 500, Attempts: 2, Public: true}
	version := func(number int, service string) map[string]any {
		public, keyed := look, look
		public.Service, keyed.Service = service, service
		keyed.Name, keyed.PathPrefix, keyed.Public = "desk", "/desk/", false
		return configuration(number, services, public, keyed)
	}
	serving := func(id, service, zone string) error {
		r := &replica{id: id, service: service, zone: zone, release: "v1", slots: 16}
		return b.startReplica(ctx, r, keepers, http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			w.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
			w.Header().Set("X-Replica-Seal", r.id)
			_, _ = w.Write([]byte(service))
		}))
	}
	if err := errors.Join(serving("i-1", services[0], "a"), serving("i-2", services[0], "b"), serving("i-3", services[1], "a"), serving("i-4", services[1], "b")); err != nil {
		return err
	}
	if err := b.startAll(ctx, keepers, entries, version(1, services[0])); err != nil {
		return err
	}
	pause(ctx, settleTime)
	var mu sync.Mutex
	results := map[string][]sent{}
	var callers sync.WaitGroup
	callersCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	for i, e := range entries {
		for c := range coreCallers {
			callers.Go(func() {
				conn := &caller{address: e.front}
				defer conn.close()
				header, path, group := map[string]string{"X-Deadline-Ms": "3000"}, "look", e.name
				if c == 0 {
					header["Authorization"], path, group = "Token "+apiKey, "desk", e.name+" with a key"
				}
				for n := 0; callersCtx.Err() == nil; n++ {
					s := conn.do(fmt.Sprintf("%02x%02x%012x", i, c, n), http.MethodGet, fmt.Sprintf("/%s/%d", path, n), callerHost, "", header)
					mu.Lock()
					results[group] = append(results[group], s)
					mu.Unlock()
					pause(callersCtx, callPause)
				}
			})
		}
	}
	pause(ctx, time.Second)
	minority, majority := keepers[:2], keepers[2:]
	if b.trouble {
		b.cutApart(true, minority, majority)
		b.record("core-1 and core-2 are cut off from the other keepers")
	}
	cutAt := time.Now()
	pause(ctx, cutToVersion)
	acked := time.Time{}
	for acked.IsZero() && time.Since(cutAt) < coreCut {
		if acked, err = b.putConfig(ctx, majority, version(2, services[1])); err != nil {
			pause(ctx, 100*time.Millisecond)
		}
	}
	pause(ctx, time.Until(cutAt.Add(coreCut)))
	ended := time.Now()
	b.cutApart(false, minority, majority)
	pause(ctx, time.Second)
	stopCallers()
	callers.Wait()
	if acked.IsZero() {
		return errors.New("the second configuration wasn't acknowledged during the cut")
	}
	return judgeConfigs(b, entries, results, later(acked.Add(configTime), cutAt.Add(contactTime)).Add(margin), acked, ended)
}

// cutApart cuts or restores the paths between two groups of keepers.
func (b *bench) cutApart(cut bool, one, other []*node) {
	for _, x := range one {
		for _, y := range other {
			x.proxy.setCut(cut, y.name)
			y.proxy.setCut(cut, x.name)
		}
	}
}

// answerOf is the service that ran the request, as its answer names it.
func answerOf(s sent) string {
	if s.status == http.StatusOK {
		return s.body
	}
	return ""
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// judgeConfigs checks the requests that were sent from the time on from which the new
// version binds, with all entries in touch, until the cut ended.
func judgeConfigs(b *bench, entries []*node, results map[string][]sent, from, acked, ended time.Time) error {
	broken := false
	for _, e := range entries {
		for _, group := range []string{e.name, e.name + " with a key"} {
			ranOld, ranNew, other := 0, 0, map[int]int{}
			for _, s := range results[group] {
				b.record("request %s at %s, sent %v after the acknowledgement: status %d, answer %q", s.id, group, s.at.Sub(acked).Round(time.Millisecond), s.status, answerOf(s))
				switch {
				case s.at.Before(from) || s.at.After(ended):
				case s.status != http.StatusOK:
					other[s.status]++
				case strings.HasSuffix(s.body, "old"):
					ranOld++
					b.record("request %s at %s, sent %v after the acknowledgement on a kept connection (%v), ran at the old service", s.id, group, s.at.Sub(acked).Round(time.Millisecond), s.kept)
				default:
					ranNew++
				}
			}
			b.record("%s, requests sent from %v after the acknowledgement until the end of the cut at %v: at the old service %d, at the new one %d, by other status %v",
				group, from.Sub(acked).Round(time.Millisecond), ended.Sub(acked).Round(time.Millisecond), ranOld, ranNew, other)
			broken = broken || ranOld > 0
			if len(results[group]) < 20 {
				return fmt.Errorf("only %d requests at %s", len(results[group]), group)
			}
		}
	}
	if broken {
		return errBroken
	}
	return nil
}
