package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// heartbeatInterval is the interval of the published deployments.
const heartbeatInterval = 1200 * time.Millisecond

// replica is a stand-in for one upstream. Its handler answers the requests.
type replica struct {
	id, service, zone, release string
	address                    string
	slots                      int
	born                       int64
	server                     *http.Server
	draining                   atomic.Bool
	seq                        atomic.Int64
	stop                       context.CancelFunc
}

// startReplica starts an upstream that announces itself to the keepers, to the first
// one that answers.
func (b *bench) startReplica(ctx context.Context, r *replica, keepers []*node, h http.Handler) error {
	var err error
	r.born = time.Now().UnixMilli()
	r.address, r.server, err = b.listen(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		// Another upstream may have had the address before.
		if expected := request.Header.Get("X-Expect-Replica"); expected != "" && expected != r.id {
			w.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		h.ServeHTTP(w, request)
	}))
	if err != nil {
		return err
	}
	ctx, r.stop = context.WithCancel(ctx)
	go func() {
		for ctx.Err() == nil {
			for _, k := range keepers {
				if r.beat(ctx, k) == nil {
					break
				}
			}
			pause(ctx, heartbeatInterval)
		}
	}()
	b.record("upstream %s of %s, release %s, serves at %s", r.id, r.service, r.release, r.address)
	return nil
}

// beat sends one heartbeat.
func (r *replica) beat(ctx context.Context, k *node) error {
	state := "ready"
	if r.draining.Load() {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"service": r.service, "addr": r.address, "zone": r.zone, "version": r.release, "slots": r.slots,
		"state": state, "coldLeftMs": 0, "seq": r.seq.Add(1), "born": r.born,
	})
	if err != nil {
		return err
	}
	return post(ctx, fmt.Sprintf("http://%s/v1/replicas/%s/heartbeat", k.control, r.id), body)
}
