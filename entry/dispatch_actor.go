package entry

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
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
	"github.com/hyssopladder/hyssopladder/suspect"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// Intervals between two ticks of the dispatcher, with and without open requests.
const (
	tickInterval     = 20 * time.Millisecond
	idleTickInterval = 250 * time.Millisecond
)

// dispatchActor runs the dispatcher, which isn't safe for concurrent use, on an
// actor, and passes its decisions on to the jobs.
type dispatchActor struct {
	ref   *actors.Ref
	clock clock.Clock
	ids   atomic.Uint64
	// open is the number of jobs. When it becomes 1, wake ends the idle
	// interval early.
	open atomic.Int64
	wake chan struct{}

	// documents, by service name, is read by any goroutine and therefore
	// replaced as a whole at each change.
	documents atomic.Pointer[map[string]service.Accepted]

	// Only the actor may use the fields below.
	dispatcher *dispatch.Dispatcher
	jobs       map[uint64]*job
	demands    *demandExchange
	gossip     *gossip.Host
	// evidenceSequence numbers the published evidence.
	evidenceSequence uint64
}

// job is one request that was submitted to the dispatcher, until it is finished,
// withdrawn or refused.
type job struct {
	ticket dispatch.Ticket
	// decisions receives a grant per attempt and at most one refusal.
	decisions chan decision
	mu        sync.Mutex
	// leaving is closed when the upstream of the current grant announces that
	// it is leaving; notice is the time until it is gone.
	leaving       chan struct{}
	notice        time.Duration
	leavingClosed bool
}

// decision is what the dispatcher decided about a job.
type decision interface{ decision() }

type granted struct{ upstream upstream.Announcement }

type refused struct{ err *result.Error }

func (granted) decision() {}
func (refused) decision() {}

// Messages to the actor. After failed, the dispatcher looks for another upstream.
type (
	tick     struct{}
	submit   struct{ job *job }
	finish   struct{ id uint64 }
	withdraw struct{ id uint64 }
	bind     struct {
		id      uint64
		release string
	}
	failed struct {
		id      uint64
		failure retry.Failure
	}
	move struct {
		id    uint64
		reply chan<- bool
	}
	leave struct {
		id    uint64
		reply chan<- bool
	}
	recordsChanged gossip.Change
	stateQuery     struct {
		reply chan<- []dispatch.ServiceState
	}
)

func newDispatchActor(ctx context.Context, node member.NodeInfo, incarnation uint64, c clock.Clock, system *actor.ActorSystem, g *gossip.Host) *dispatchActor {
	d := &dispatchActor{
		clock:      c,
		dispatcher: dispatch.New(dispatch.Options{Zone: node.Zone, Costs: dispatch.DefaultCosts()}),
		jobs:       map[uint64]*job{},
		demands:    newDemandExchange(node.Name, incarnation, g),
		gossip:     g,
		wake:       make(chan struct{}, 1),
	}
	d.documents.Store(&map[string]service.Accepted{})
	d.ref = actors.Spawn(ctx, system, "entry", d.receive)
	g.Subscribe(func(c gossip.Change) { d.ref.Send(recordsChanged(c)) })
	go func() {
		t := time.NewTimer(tickInterval)
		defer t.Stop()
		for {
			select {
			case <-t.C:
			case <-d.wake:
			case <-ctx.Done():
				return
			}
			d.ref.Send(tick{})
			if d.open.Load() > 0 {
				t.Reset(tickInterval)
			} else {
				t.Reset(idleTickInterval)
			}
		}
	}()
	return d
}

// submit submits a request to the dispatcher and returns its job.
func (d *dispatchActor) submit(t dispatch.Ticket) *job {
	t.ID = d.ids.Add(1)
	j := &job{ticket: t, decisions: make(chan decision, 2*retry.MaxAttempts), leaving: make(chan struct{})}
	if d.open.Add(1) == 1 {
		select {
		case d.wake <- struct{}{}:
		default:
		}
	}
	d.ref.Send(submit{j})
	return j
}

func (d *dispatchActor) finish(j *job)                  { d.ref.Send(finish{j.ticket.ID}) }
func (d *dispatchActor) withdraw(j *job)                { d.ref.Send(withdraw{j.ticket.ID}) }
func (d *dispatchActor) bind(j *job, release string)    { d.ref.Send(bind{j.ticket.ID, release}) }
func (d *dispatchActor) failed(j *job, f retry.Failure) { d.ref.Send(failed{j.ticket.ID, f}) }

// move asks for another upstream for a job whose own one is silent, and reports whether it is
// granted one.
func (d *dispatchActor) move(j *job) bool {
	moved, _ := actors.Ask(context.Background(), d.ref, func(reply chan<- bool) any { return move{j.ticket.ID, reply} })
	return moved
}

// leave takes a job from its upstream, which is leaving, if another one may run it, and
// reports whether it did.
func (d *dispatchActor) leave(j *job) bool {
	left, _ := actors.Ask(context.Background(), d.ref, func(reply chan<- bool) any { return leave{j.ticket.ID, reply} })
	return left
}

func (d *dispatchActor) document(name string) (service.Accepted, bool) {
	a, ok := (*d.documents.Load())[name]
	return a, ok
}

// documentForModel finds the service that serves a model.
func (d *dispatchActor) documentForModel(model string) (service.Accepted, bool) {
	if a, ok := d.document(model); ok && a.Document.Kind == service.Model {
		return a, true
	}
	for _, a := range *d.documents.Load() {
		for _, m := range a.Document.Models {
			if m == model {
				return a, true
			}
		}
	}
	return service.Accepted{}, false
}

func (d *dispatchActor) state(ctx context.Context) []dispatch.ServiceState {
	s, _ := actors.Ask(ctx, d.ref, func(reply chan<- []dispatch.ServiceState) any { return stateQuery{reply} })
	return s
}

func (d *dispatchActor) receive(message any) {
	now := d.clock()
	switch m := message.(type) {
	case tick:
		d.demands.tick(now, d.dispatcher)
		d.perform(d.dispatcher.Tick(now))
	case submit:
		d.jobs[m.job.ticket.ID] = m.job
		d.perform(d.dispatcher.Submit(now, m.job.ticket))
	case finish:
		d.removeJob(m.id)
		d.perform(d.dispatcher.Finish(now, m.id))
	case withdraw:
		d.removeJob(m.id)
		d.perform(d.dispatcher.Withdraw(now, m.id))
	case bind:
		d.dispatcher.Bind(m.id, m.release)
	case failed:
		d.perform(d.dispatcher.Failed(now, m.id, m.failure))
	case move:
		actions := d.dispatcher.Move(now, m.id)
		d.perform(actions)
		m.reply <- slices.ContainsFunc(actions, func(a dispatch.Action) bool {
			g, ok := a.(dispatch.Grant)
			return ok && g.Ticket == m.id
		})
	case leave:
		left, actions := d.dispatcher.Leave(now, m.id)
		d.perform(actions)
		m.reply <- left
	case recordsChanged:
		d.applyChange(now, m)
	case stateQuery:
		m.reply <- d.dispatcher.State(now)
	}
}

func (d *dispatchActor) removeJob(id uint64) {
	if _, ok := d.jobs[id]; ok {
		delete(d.jobs, id)
		d.open.Add(-1)
	}
}

func (d *dispatchActor) perform(actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Grant:
			if j := d.jobs[a.Ticket]; j != nil {
				j.grant(a.Upstream)
			}
		case dispatch.Refuse:
			if j := d.jobs[a.Ticket]; j != nil {
				d.removeJob(a.Ticket)
				d.refuse(j, a.Err)
			}
		case dispatch.ReportSuspect:
			d.publishSuspect(a)
		case dispatch.ReportEvidence:
			d.publishEvidence(a.Evidence)
		case dispatch.UpstreamLeaving:
			if j := d.jobs[a.Ticket]; j != nil {
				j.setLeaving(a.Notice)
			}
		}
	}
}

// grant sends the job its upstream. It doesn't block the actor, as the channel
// has room for every attempt.
func (j *job) grant(u upstream.Announcement) {
	j.mu.Lock()
	if j.leavingClosed {
		j.leaving = make(chan struct{})
		j.leavingClosed = false
	}
	j.mu.Unlock()
	j.decisions <- granted{u}
}

func (j *job) setLeaving(notice time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.leavingClosed {
		j.leavingClosed = true
		j.notice = notice
		close(j.leaving)
	}
}

// upstreamLeaving returns the channel that is closed when the current upstream
// announces that it is leaving.
func (j *job) upstreamLeaving() <-chan struct{} {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.leaving
}

func (d *dispatchActor) applyChange(now clock.Instant, c recordsChanged) {
	for _, r := range c.Changed {
		switch r.Kind {
		case member.Upstream:
			a, err := upstream.FromRecord(r)
			if err != nil {
				klog.ErrorS(err, "invalid upstream record ignored", "upstream", r.ID)
				continue
			}
			d.perform(d.dispatcher.Announce(now, a))
		case member.Document:
			d.setDocument(now, r)
		case member.Demand:
			d.demands.store(r)
		case member.Quarantine:
			if strings.HasPrefix(r.ID, evidencePrefix) {
				d.mergeEvidence(now, r)
			} else {
				d.recordSuspect(now, r)
			}
		}
	}
	for _, r := range c.Ended {
		switch r.Kind {
		case member.Upstream:
			d.dispatcher.RemoveUpstream(r.ID, r.Incarnation)
		case member.Demand:
			d.demands.remove(r)
		}
	}
}

func (d *dispatchActor) setDocument(now clock.Instant, r member.Record) {
	var a service.Accepted
	if err := wire.Decode(r.Payload, &a); err != nil {
		klog.ErrorS(err, "invalid document record ignored", "service", r.ID)
		return
	}
	old := *d.documents.Load()
	if a.Revision <= old[a.Document.Name].Revision {
		return
	}
	next := make(map[string]service.Accepted, len(old)+1)
	for k, v := range old {
		next[k] = v
	}
	next[a.Document.Name] = a
	d.perform(d.dispatcher.SetDocument(now, a))
	d.documents.Store(&next)
	klog.InfoS("document revision applied", "service", a.Document.Name, "revision", a.Revision)
}

// suspectPayload is the payload of a Quarantine record: how many upstreams
// crashed while they ran the request.
type suspectPayload struct {
	Crashes int `json:"d"`
}

// Check validates a decoded payload.
func (s *suspectPayload) Check() error {
	if s.Crashes < 1 {
		return errors.Errorf("found %d crashes, want 1 or more", s.Crashes)
	}
	return nil
}

// broadcastTimeout limits the wait until the other entries have received a
// quarantine.
const broadcastTimeout = 500 * time.Millisecond

// refuse ends a job with an error. If the request is quarantined, the other
// entries are informed first, as the caller may retry at any of them at once.
func (d *dispatchActor) refuse(j *job, err *result.Error) {
	if err.Code != result.Quarantined || err.Ran == result.RanNo {
		j.decisions <- refused{err}
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), broadcastTimeout)
		defer cancel()
		d.gossip.Broadcast(ctx, suspectRecord(j.ticket.Fingerprint, dispatch.MaxCrashes))
		j.decisions <- refused{err}
	}()
}

// publishSuspect reports to the other entries a request whose upstreams crashed.
func (d *dispatchActor) publishSuspect(s dispatch.ReportSuspect) {
	klog.InfoS("upstreams crashed while running a request", "fingerprint", s.Fingerprint, "deaths", s.Crashes)
	d.gossip.Publish(suspectRecord(s.Fingerprint, s.Crashes))
}

func suspectRecord(fingerprint uint64, crashes int) member.Record {
	return member.Record{
		Key:       member.Key{Kind: member.Quarantine, ID: strconv.FormatUint(fingerprint, 16)},
		Version:   member.Version{Sequence: uint64(crashes)},
		Remaining: dispatch.QuarantineTime,
		Payload:   wire.MustEncode(suspectPayload{crashes}),
	}
}

func (d *dispatchActor) recordSuspect(now clock.Instant, r member.Record) {
	var info suspectPayload
	fingerprint, err := strconv.ParseUint(r.ID, 16, 64)
	if err == nil {
		err = wire.Decode(r.Payload, &info)
	}
	if err != nil {
		klog.ErrorS(err, "invalid quarantine record ignored", "record", r.ID)
		return
	}
	d.dispatcher.RecordSuspect(now, fingerprint, info.Crashes)
}

// evidencePrefix begins the IDs of Quarantine records that hold a crash during a
// request with a certain prompt part, by upstream, or an answer to one, by entry.
const evidencePrefix = "part/"

// publishEvidence tells the other entries of a crash or an answer.
func (d *dispatchActor) publishEvidence(e suspect.Evidence) {
	d.evidenceSequence++
	source := d.demands.entry
	if len(e.Crashes) > 0 {
		source = strconv.FormatUint(e.Crashes[0].Upstream, 16)
	}
	klog.InfoS("evidence on a part of prompts", "kind", e.Kind, "hash", strconv.FormatUint(e.Hash, 16), "answered", e.Answered, "source", source)
	d.gossip.Publish(member.Record{
		Key:       member.Key{Kind: member.Quarantine, ID: fmt.Sprintf("%s%d/%x/%x/%s", evidencePrefix, e.Kind, e.Service, e.Hash, source)},
		Version:   member.Version{Incarnation: d.demands.incarnation, Sequence: d.evidenceSequence},
		Remaining: dispatch.QuarantineTime,
		Payload:   wire.MustEncode(&e),
	})
}

// mergeEvidence adds what another entry has published.
func (d *dispatchActor) mergeEvidence(now clock.Instant, r member.Record) {
	var e suspect.Evidence
	if err := wire.Decode(r.Payload, &e); err != nil {
		klog.ErrorS(err, "invalid evidence record ignored", "record", r.ID)
		return
	}
	d.perform(d.dispatcher.MergeEvidence(now, aged(e, dispatch.QuarantineTime-r.Remaining)))
}

// aged returns evidence that has been under way for a time.
func aged(e suspect.Evidence, underWay time.Duration) suspect.Evidence {
	underWay = max(underWay, 0)
	e.SinceAnswer += underWay
	crashes := make([]suspect.Crash, 0, len(e.Crashes))
	for _, c := range e.Crashes {
		c.SinceSent, c.SinceCrash = c.SinceSent+underWay, c.SinceCrash+underWay
		crashes = append(crashes, c)
	}
	e.Crashes = crashes
	return e
}
