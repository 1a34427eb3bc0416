package rollout

import (
	"slices"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

const (
	// unconfirmedTime is the age from which on a share counts as outdated.
	unconfirmedTime = 3 * time.Second
	// boundGrace is how long the streams of a release go on there after the entry learned of
	// its revert.
	boundGrace = 2 * time.Second
	// appearanceDelay is how long a release gets nothing that appears beside others, as the
	// order that names it may be on its way.
	appearanceDelay = 1500 * time.Millisecond
	// initialTime is how long after the first upstream of a service the releases that appear
	// are taken for those that served already.
	initialTime = 5 * time.Second
	// maxReleases bounds the releases of a service that are remembered.
	maxReleases = 32
)

// Assignment is the release that a request was given when it came.
type Assignment struct {
	// Number is that of the rollout, 0 if none ran.
	Number uint64
	// New says that the request is one of the share of the new release.
	New bool
	// Canary says that it is one of a part of the service's requests, which load only as many
	// of the new upstreams as they need.
	Canary bool
}

// Split decides at an entry which release a request may go to. It isn't safe for concurrent
// use.
type Split struct {
	limits      Limits
	random      func() float64
	version     uint64
	confirmedAt clock.Instant
	confirmed   bool
	services    map[string]*splitService
}

// splitService is the state of one service.
type splitService struct {
	// rollout is the last one, with number 0 if there was none, and reverted are the
	// releases that were reverted and not ordered again.
	rollout  Rollout
	reverted []string
	// revertedAt is when this entry learned that the rollout, which it knew as running, was
	// reverted.
	revertedAt clock.Instant
	sawRevert  bool
	active     bool
	// releases are those that serve, and holdUntil is when the last of them gets requests.
	releases    []appearance
	firstSeenAt clock.Instant
	seen        bool
	holdUntil   clock.Instant
	credit      float64
	// stopped is the verdict of this entry on the present step.
	stopped bool
	work    *splitCounts
}

// appearance is a release that serves. held says that it gets nothing for appearanceDelay.
type appearance struct {
	release string
	at      clock.Instant
	held    bool
}

// NewSplit returns a split without rollouts. random returns numbers that are uniform in [0, 1).
func NewSplit(l Limits, random func() float64) *Split {
	return &Split{limits: l, random: random, services: map[string]*splitService{}}
}

func (s *Split) service(name string) *splitService {
	service := s.services[name]
	if service == nil {
		service = &splitService{}
		s.services[name] = service
	}
	return service
}

// SetView applies the keepers' view, unless a newer one is in force.
func (s *Split) SetView(now clock.Instant, v View) {
	if !s.limits.Enabled() || v.Version <= s.version {
		return
	}
	s.version = v.Version
	for _, r := range v.Rollouts {
		service := s.service(r.Service)
		before := service.rollout
		service.rollout = r
		switch {
		case r.Number != before.Number:
			service.credit, service.stopped, service.sawRevert = s.random(), false, false
			service.work = nil
		case r.Step != before.Step:
			service.stopped = false
		}
		switch {
		case r.Phase == Running:
			if service.work == nil {
				service.work = newSplitCounts()
			}
		case before.Number == r.Number && before.Phase == Running && r.Phase == Reverted:
			service.revertedAt, service.sawRevert = now, true
			fallthrough
		default:
			service.work = nil
		}
	}
	for name, service := range s.services {
		service.reverted = v.Reverted[name]
		service.setActive()
	}
	for name, list := range v.Reverted {
		service := s.service(name)
		service.reverted = list
		service.setActive()
	}
}

func (s *splitService) setActive() {
	s.active = s.rollout.Phase == Running || len(s.reverted) > 0 ||
		s.rollout.Phase == Succeeded && len(s.rollout.Superseded) > 0
}

// Version is that of the view in force.
func (s *Split) Version() uint64 { return s.version }

// Confirmed records that a majority of the keepers had no newer view at the instant.
func (s *Split) Confirmed(at clock.Instant) {
	if !s.confirmed || at > s.confirmedAt {
		s.confirmedAt, s.confirmed = at, true
	}
}

// Active reports whether the split has any say on the service's requests now.
func (s *Split) Active(now clock.Instant, service string) bool {
	if !s.limits.Enabled() {
		return false
	}
	state := s.services[service]
	return state != nil && (state.active || now < state.holdUntil)
}

// Appeared records that an upstream of the release serves the service.
func (s *Split) Appeared(now clock.Instant, service, release string) {
	if !s.limits.Enabled() {
		return
	}
	state := s.service(service)
	for i := range state.releases {
		if state.releases[i].release == release {
			return
		}
	}
	if !state.seen {
		state.firstSeenAt, state.seen = now, true
	}
	held := len(state.releases) > 0 && now-state.firstSeenAt >= initialTime
	if held {
		state.holdUntil = now + appearanceDelay
	}
	if len(state.releases) >= maxReleases {
		state.releases = slices.Delete(state.releases, 0, 1)
	}
	state.releases = append(state.releases, appearance{release, now, held})
}

// Gone records that the service has no upstream of the release any more.
func (s *Split) Gone(service, release string) {
	if state := s.services[service]; state != nil {
		state.releases = slices.DeleteFunc(state.releases, func(a appearance) bool { return a.release == release })
	}
}

// Assign assigns a new request of the service; it is called once for each.
func (s *Split) Assign(now clock.Instant, service string) Assignment {
	state := s.services[service]
	if state == nil || state.rollout.Phase != Running {
		return Assignment{}
	}
	state.work.requests++
	a := Assignment{Number: state.rollout.Number}
	state.credit += state.rollout.Share
	if state.credit >= 1 {
		state.credit--
		a.New = !state.stopped && s.current(now, state)
		a.Canary = a.New && state.rollout.Share < 1
	}
	return a
}

// current reports whether the share that this entry knows may still be used.
func (s *Split) current(now clock.Instant, state *splitService) bool {
	return state.rollout.Share >= 1 || s.confirmed && now-s.confirmedAt <= unconfirmedTime
}

// Allows reports whether the request may be sent to an upstream of the release now. bound says
// that the release has begun its stream, and attempt counts the upstreams that it was sent to
// before.
func (s *Split) Allows(now clock.Instant, service string, a Assignment, release string, bound bool, attempt int) bool {
	state := s.services[service]
	if state == nil || !s.limits.Enabled() {
		return true
	}
	r := &state.rollout
	running := r.Phase == Running
	switch {
	case running && release == r.To:
		return bound || s.allowsNew(now, state, a, attempt)
	case len(state.reverted) > 0 && slices.Contains(state.reverted, release):
		return bound && state.sawRevert && release == r.To && now-state.revertedAt < boundGrace
	case bound:
		return true
	case running:
	case r.Phase == Succeeded && release == r.To:
		return true
	case r.Phase == Succeeded && slices.Contains(r.Superseded, release):
		return state.nothingElse(r)
	}
	return now >= state.holdUntil || !state.holds(now, release)
}

// allowsNew reports whether the release of a running rollout may get the request.
func (s *Split) allowsNew(now clock.Instant, state *splitService, a Assignment, attempt int) bool {
	r := &state.rollout
	switch {
	case r.Share <= 0:
		return false
	case state.stopped:
		// Once the old release is gone, a doubtful release is better than none.
		return r.Share >= 1 && len(state.releases) == 1 && state.releases[0].release == r.To
	case r.Share >= 1:
		return true
	default:
		// Only the first attempt counts on the share: the next ones would add to it.
		return a.New && a.Number == r.Number && attempt == 0 && s.current(now, state)
	}
}

// nothingElse reports whether only superseded releases serve.
func (s *splitService) nothingElse(r *Rollout) bool {
	for i := range s.releases {
		if release := s.releases[i].release; !slices.Contains(r.Superseded, release) && !slices.Contains(s.reverted, release) {
			return false
		}
	}
	return true
}

// holds reports whether the release has appeared a moment ago beside others.
func (s *splitService) holds(now clock.Instant, release string) bool {
	for i := range s.releases {
		if a := &s.releases[i]; a.release == release {
			return a.held && now-a.at < appearanceDelay && len(s.releases) > 1
		}
	}
	return false
}

// Prefers reports whether the release goes before the others that are allowed.
func (s *Split) Prefers(service string, a Assignment, release string) bool {
	state := s.services[service]
	if state == nil {
		return true
	}
	r := &state.rollout
	switch r.Phase {
	case Running:
		wantsNew := !state.stopped && (r.Share >= 1 || a.New && a.Number == r.Number)
		return wantsNew == (release == r.To)
	case Succeeded:
		return !slices.Contains(r.Superseded, release)
	default:
		return true
	}
}
