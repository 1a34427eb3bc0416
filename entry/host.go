package entry

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/actors"
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/dispatch"
	"github.com/hyssopladder/hyssopladder/gossip"
	"github.com/hyssopladder/hyssopladder/member"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/retry"
	"github.com/hyssopladder/hyssopladder/service"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// Times between two looks at what waits: while requests are under way, and
// while there are none.
const (
	tickInterval = 20 * time.Millisecond
	idleInterval = 250 * time.Millisecond
)

// host runs the dispatcher on an actor and hands its actions to the requests
// that wait for them.
type host struct {
	ref   *actors.Ref
	clock clock.Clock
	ids   atomic.Uint64
	// open counts the requests under way; wake tells of the first.
	open atomic.Int64
	wake chan struct{}

	// documents is replaced whole at each change.
	documents atomic.Pointer[map[string]service.Accepted]

	// The fields below belong to the actor.
	dispatcher *dispatch.Dispatcher
	waiters    map[uint64]*job
	demands    *demands
	gossip     *gossip.Host
}

// job is one accepted or offered request as its handler sees it.
type job struct {
	ticket dispatch.Ticket
	// outcomes carries grants and at most one refusal.
	outcomes chan outcome
	mu       sync.Mutex
	// leaving is closed when the upstream of the current grant is leaving.
	leaving chan struct{}
	notice  time.Duration
	left    bool
}

// outcome is what the dispatcher decided about a job.
type outcome interface{ outcome() }

type granted struct{ upstream upstream.Announcement }

type refused struct{ err *result.Error }

func (granted) outcome() {}
func (refused) outcome() {}

type (
	tick    struct{}
	submit  struct{ job *job }
	finish  struct{ id uint64 }
	dropped struct{ id uint64 }
	move    struct {
		id      uint64
		failure retry.Failure
	}
	changed    gossip.Change
	stateQuery struct {
		reply chan<- []dispatch.ServiceState
	}
)

func newHost(ctx context.Context, node member.NodeInfo, incarnation uint64, c clock.Clock, system *actor.ActorSystem, g *gossip.Host) *host {
	h := &host{
		clock:      c,
		dispatcher: dispatch.New(dispatch.Options{Zone: node.Zone, Costs: dispatch.DefaultCosts()}),
		waiters:    map[uint64]*job{},
		demands:    newDemands(node.Name, incarnation, g),
		gossip:     g,
		wake:       make(chan struct{}, 1),
	}
	h.documents.Store(&map[string]service.Accepted{})
	h.ref = actors.Spawn(ctx, system, "entry", h.receive)
	g.Subscribe(func(c gossip.Change) { h.ref.Send(changed(c)) })
	go func() {
		t := time.NewTimer(tickInterval)
		defer t.Stop()
		for {
			select {
			case <-t.C:
			case <-h.wake:
			case <-ctx.Done():
				return
			}
			h.ref.Send(tick{})
			if h.open.Load() > 0 {
				t.Reset(tickInterval)
			} else {
				t.Reset(idleInterval)
			}
		}
	}()
	return h
}

// submit offers a request and returns its job.
func (h *host) submit(t dispatch.Ticket) *job {
	t.ID = h.ids.Add(1)
	j := &job{ticket: t, outcomes: make(chan outcome, 2*retry.MaxAttempts), leaving: make(chan struct{})}
	if h.open.Add(1) == 1 {
		select {
		case h.wake <- struct{}{}:
		default:
		}
	}
	h.ref.Send(submit{j})
	return j
}

func (h *host) finish(j *job)                { h.ref.Send(finish{j.ticket.ID}) }
func (h *host) withdraw(j *job)              { h.ref.Send(dropped{j.ticket.ID}) }
func (h *host) move(j *job, f retry.Failure) { h.ref.Send(move{j.ticket.ID, f}) }
func (h *host) document(name string) (service.Accepted, bool) {
	a, ok := (*h.documents.Load())[name]
	return a, ok
}

// documentForModel finds the service that serves a model.
func (h *host) documentForModel(model string) (service.Accepted, bool) {
	if a, ok := h.document(model); ok && a.Document.Kind == service.Model {
		return a, true
	}
	for _, a := range *h.documents.Load() {
		for _, m := range a.Document.Models {
			if m == model {
				return a, true
			}
		}
	}
	return service.Accepted{}, false
}

func (h *host) state(ctx context.Context) []dispatch.ServiceState {
	s, _ := actors.Ask(ctx, h.ref, func(reply chan<- []dispatch.ServiceState) any { return stateQuery{reply} })
	return s
}

func (h *host) receive(message any) {
	now := h.clock()
	switch m := message.(type) {
	case tick:
		h.demands.tick(now, h.dispatcher)
		h.act(h.dispatcher.Tick(now))
	case submit:
		h.waiters[m.job.ticket.ID] = m.job
		h.act(h.dispatcher.Submit(now, m.job.ticket))
	case finish:
		h.forget(m.id)
		h.act(h.dispatcher.Finish(now, m.id))
	case dropped:
		h.forget(m.id)
		h.act(h.dispatcher.Withdraw(now, m.id))
	case move:
		h.act(h.dispatcher.Failed(now, m.id, m.failure))
	case changed:
		h.changed(now, m)
	case stateQuery:
		m.reply <- h.dispatcher.State(now)
	}
}

// forget ends the host's part in a request.
func (h *host) forget(id uint64) {
	if _, ok := h.waiters[id]; ok {
		delete(h.waiters, id)
		h.open.Add(-1)
	}
}

func (h *host) act(actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Grant:
			if j := h.waiters[a.Ticket]; j != nil {
				j.grant(a.Upstream)
			}
		case dispatch.Refuse:
			if j := h.waiters[a.Ticket]; j != nil {
				h.forget(a.Ticket)
				h.refuse(j, a.Err)
			}
		case dispatch.ReportSuspect:
			h.publishSuspect(a)
		case dispatch.UpstreamLeaving:
			if j := h.waiters[a.Ticket]; j != nil {
				j.evacuate(a.Notice)
			}
		}
	}
}

// grant hands the job its upstream. The channel has room for every attempt.
func (j *job) grant(u upstream.Announcement) {
	j.mu.Lock()
	if j.left {
		j.leaving = make(chan struct{})
		j.left = false
	}
	j.mu.Unlock()
	j.outcomes <- granted{u}
}

func (j *job) evacuate(notice time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.left {
		j.left = true
		j.notice = notice
		close(j.leaving)
	}
}

// evacuation returns the channel that closes when the current upstream
// leaves.
func (j *job) evacuation() <-chan struct{} {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.leaving
}

func (h *host) changed(now clock.Instant, c changed) {
	for _, r := range c.Changed {
		switch r.Kind {
		case member.Upstream:
			a, err := upstream.FromRecord(r)
			if err != nil {
				klog.ErrorS(err, "upstream record dropped", "upstream", r.ID)
				continue
			}
			h.act(h.dispatcher.Announce(now, a))
		case member.Document:
			h.setDocument(now, r)
		case member.Demand:
			h.demands.take(r)
		case member.Quarantine:
			h.takeSuspect(now, r)
		}
	}
	for _, r := range c.Ended {
		switch r.Kind {
		case member.Upstream:
			h.dispatcher.RemoveUpstream(r.ID, r.Incarnation)
		case member.Demand:
			h.demands.drop(r)
		}
	}
}

func (h *host) setDocument(now clock.Instant, r member.Record) {
	var a service.Accepted
	if err := wire.Decode(r.Payload, &a); err != nil {
		klog.ErrorS(err, "document record dropped", "service", r.ID)
		return
	}
	old := *h.documents.Load()
	if a.Revision <= old[a.Document.Name].Revision {
		return
	}
	next := make(map[string]service.Accepted, len(old)+1)
	for k, v := range old {
		next[k] = v
	}
	next[a.Document.Name] = a
	h.act(h.dispatcher.SetDocument(now, a))
	h.documents.Store(&next)
	klog.InfoS("document in force", "service", a.Document.Name, "revision", a.Revision)
}

// suspectInfo is the payload of a Quarantine record.
type suspectInfo struct {
	Deaths int `json:"d"`
}

// Check verifies a decoded suspect.
func (s *suspectInfo) Check() error {
	if s.Deaths < 1 {
		return errors.Errorf("suspect with %d deaths", s.Deaths)
	}
	return nil
}

// spreadTimeout bounds the wait until the other entries know of a quarantine.
const spreadTimeout = 500 * time.Millisecond

// refuse answers a job with an error. A caller whose request is quarantined
// hears of it when the other entries do, for it may send it again at once.
func (h *host) refuse(j *job, err *result.Error) {
	if err.Code != result.Quarantined || err.Ran == result.RanNo {
		j.outcomes <- refused{err}
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), spreadTimeout)
		defer cancel()
		h.gossip.Broadcast(ctx, suspectRecord(j.ticket.Fingerprint, dispatch.MaxCrashes))
		j.outcomes <- refused{err}
	}()
}

// publishSuspect tells the other entries of a request that upstreams died of.
func (h *host) publishSuspect(s dispatch.ReportSuspect) {
	klog.InfoS("upstreams died of a request", "fingerprint", s.Fingerprint, "deaths", s.Crashes)
	h.gossip.Publish(suspectRecord(s.Fingerprint, s.Crashes))
}

func suspectRecord(fingerprint uint64, deaths int) member.Record {
	return member.Record{
		Key:       member.Key{Kind: member.Quarantine, ID: strconv.FormatUint(fingerprint, 16)},
		Version:   member.Version{Sequence: uint64(deaths)},
		Remaining: dispatch.QuarantineTime,
		Payload:   wire.MustEncode(suspectInfo{deaths}),
	}
}

func (h *host) takeSuspect(now clock.Instant, r member.Record) {
	var info suspectInfo
	fingerprint, err := strconv.ParseUint(r.ID, 16, 64)
	if err == nil {
		err = wire.Decode(r.Payload, &info)
	}
	if err != nil {
		klog.ErrorS(err, "quarantine record dropped", "record", r.ID)
		return
	}
	h.dispatcher.RecordSuspect(now, fingerprint, info.Deaths)
}
