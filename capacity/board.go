package capacity

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

const (
	// publishInterval is the least time between two evaluations, as many reports come together.
	publishInterval = 100 * time.Millisecond
	// retention is how long an upstream without answers, or an entry without reports, is kept.
	retention = time.Minute
	// evenMargin is the difference to the median, as a logarithm, up to which an upstream counts
	// as even: ten percent. One that is uneven becomes even below keptMargin.
	evenMargin = 0.095
	keptMargin = 0.065
	// sureErrors and keptErrors are these margins in standard errors. The windows aren't
	// independent: at 3, even upstreams with spells counted as uneven 2.6% of the time.
	sureErrors = 4
	keptErrors = 1.5
	// changeMargin is the least change that is published, as a logarithm: five percent.
	changeMargin = 0.049
	// loggedMargin is the least change that Changes returns.
	loggedMargin = 0.22
)

// Board is the leader's side. It isn't safe for concurrent use.
type Board struct {
	term, version uint64
	services      map[string]*group
	entries       map[string]*reporter
	evaluatedAt   clock.Instant
	sweptAt       clock.Instant
	// published are the upstreams with a pace, the latest change last.
	published []*state
	changes   []Change
}

// reporter is the last report of an entry.
type reporter struct {
	incarnation, number uint64
	at                  clock.Instant
}

// state is what the leader knows of one run of an upstream.
type state struct {
	Pace
	series
	curve
	service string
	// loaded says that the samples have a load: the service is a plain one.
	loaded bool
	// relative is the logarithm of the published pace; changed is the version in which the pace
	// or the knee last changed, 0 if they never did.
	relative float64
	// shiftedAt is when the upstream last became faster or slower, which is sure by then.
	shiftedAt clock.Instant
	changed   uint64
	lastAt    clock.Instant
}

// group is the upstreams of one service.
type group struct {
	upstreams map[string]*state
	// overloadedSince is since when the service has been overloaded; 0 if it isn't.
	overloadedSince clock.Instant
}

const (
	// maxEnginePace and its inverse bound the paces of engines. Queues that other entries cause
	// look like slowness there; engines of one service hardly differ more than by these.
	maxEnginePace = 3
	// overloadMargin is how much slower than before, as a logarithm, half of the upstreams have
	// to be for the service to be overloaded: 1.4 times. After overloadTime they count as slower
	// for good.
	overloadMargin = 0.34
	overloadTime   = 20 * time.Second
)

// maxKneeEntries is the number of entries up to which knees are learned. With more, the loads at
// which entries measure are mostly made of reports of others that are older than an answer takes:
// in the emulation of 65 entries they gave equal upstreams different knees.
const maxKneeEntries = 16

// overloaded reports whether most upstreams are slower than before, so that their times tell
// of queues.
func (g *group) overloaded(now clock.Instant) bool {
	excesses := make([]float64, 0, len(g.upstreams))
	for _, s := range g.upstreams {
		if s.known() && now-s.closedAt < maxWindowTime {
			excesses = append(excesses, s.latest-s.middle)
		}
	}
	switch {
	case len(excesses) < 2 || medianOf(excesses) <= overloadMargin:
		g.overloadedSince = 0
		return false
	case g.overloadedSince == 0:
		g.overloadedSince = now
	}
	return now-g.overloadedSince < overloadTime
}

// Change is a large change of a pace, or one of a knee, with what led to it.
type Change struct {
	Service string
	Pace
	// Was and WasKnee are the pace in percent and the knee before.
	Was, WasKnee int
	// Windows is the number of windows that were compared, and Error the standard error of the
	// pace's logarithm.
	Windows int
	Error   float64
}

// NewBoard returns an empty board for a leader's term.
func NewBoard(term uint64) *Board {
	return &Board{term: term, services: map[string]*group{}, entries: map[string]*reporter{}}
}

// Observe applies an entry's report, unless it has come before.
func (b *Board) Observe(now clock.Instant, entry string, incarnation uint64, r *Report) {
	b.sweep(now)
	last, ok := b.entries[entry]
	if !ok {
		last = &reporter{}
		b.entries[entry] = last
	}
	if incarnation < last.incarnation || incarnation == last.incarnation && r.Number <= last.number {
		return
	}
	*last = reporter{incarnation, r.Number, now}
	for name, samples := range r.Samples {
		service, ok := b.services[name]
		if !ok {
			service = &group{upstreams: map[string]*state{}}
			b.services[name] = service
		}
		for i := range samples {
			b.add(now, name, service.upstreams, &samples[i])
		}
	}
	if now-b.evaluatedAt >= publishInterval {
		b.evaluatedAt = now
		for _, service := range b.services {
			b.evaluate(now, service)
		}
	}
}

func (b *Board) add(now clock.Instant, name string, service map[string]*state, sample *Sample) {
	s, ok := service[sample.Upstream]
	switch {
	case ok && s.Incarnation > sample.Incarnation:
		return
	case !ok || s.Incarnation < sample.Incarnation:
		if ok {
			b.unpublish(s)
		}
		s = &state{service: name, Pace: Pace{Upstream: sample.Upstream, Incarnation: sample.Incarnation, Percent: paceUnit}}
		s.openedAt = now
		service[sample.Upstream] = s
	}
	s.lastAt = now
	s.worked += time.Duration(sample.Work) * time.Millisecond
	if sample.Weight == 0 {
		return
	}
	weight, log := float64(sample.Weight)/weightUnit, float64(sample.Log)/logUnit
	s.series.add(sample.Load, weight, log)
	if sample.Load > 0 {
		s.loaded = true
		s.curve.add(now, sample.Load, weight, log)
		s.curve.occupy(log, sample.Load, time.Duration(sample.Work)*time.Millisecond)
	}
}

// evaluate sets the paces and knees of a service's upstreams.
func (b *Board) evaluate(now clock.Instant, service *group) {
	middles := make([]float64, 0, len(service.upstreams))
	overloaded := service.overloaded(now)
	for _, s := range service.upstreams {
		if s.series.close(now, s.knee, overloaded) {
			s.curve.changed()
			s.shiftedAt = now
		}
		if s.known() && now-s.lastAt < holdTime {
			middles = append(middles, s.middle)
		}
	}
	median := medianOf(middles)
	fewEntries := len(b.entries) <= maxKneeEntries
	for _, s := range service.upstreams {
		relative, knee := s.evaluate(now, median, len(middles)), 0
		if fewEntries {
			knee = s.curve.evaluate(now, s.throughput())
		}
		if math.Abs(relative-s.relative) > changeMargin || relative == 0 && s.relative != 0 || knee != s.Knee {
			b.publish(s, relative, knee)
		}
	}
}

// evaluate returns the logarithm of the upstream's pace; 0 if it isn't surely uneven.
func (s *state) evaluate(now clock.Instant, median float64, known int) float64 {
	// A service's only upstream is its own median.
	if !s.known() || known < 2 {
		return 0
	}
	relative, margin := s.middle-median, max(evenMargin, sureErrors*s.middleError)
	if s.relative != 0 || s.shiftedAt != 0 && now-s.shiftedAt < holdTime {
		margin = max(keptMargin, keptErrors*s.middleError)
	}
	if math.Abs(relative) <= margin {
		return 0
	}
	bound := math.Log(MaxPace)
	if !s.loaded {
		bound = math.Log(maxEnginePace)
	}
	return min(max(relative, -bound, math.Log(MinPace)), bound) * fade(now-s.lastAt)
}

func (b *Board) publish(s *state, relative float64, knee int) {
	b.version++
	was, wasKnee := s.Percent, s.Knee
	s.Percent, s.Knee, s.changed = int(math.Round(math.Exp(relative)*paceUnit)), knee, b.version
	if math.Abs(relative-s.relative) > loggedMargin || knee != wasKnee {
		b.changes = append(b.changes, Change{Service: s.service, Pace: s.Pace, Was: was, WasKnee: wasKnee, Windows: len(s.windows), Error: s.middleError})
	}
	s.relative = relative
	b.unpublish(s)
	b.published = append(b.published, s)
}

func (b *Board) unpublish(s *state) {
	if i := slices.Index(b.published, s); i >= 0 {
		b.published = slices.Delete(b.published, i, i+1)
	}
}

// Changes returns the large changes since the last call, for a log.
func (b *Board) Changes() []Change {
	changes := b.changes
	b.changes = nil
	return changes
}

// Since returns what the entry that sent the report lacks.
func (b *Board) Since(r *Report) *Update {
	known := uint64(0)
	if r.Term == b.term {
		known = r.Version
	}
	first, _ := slices.BinarySearchFunc(b.published, known+1, func(s *state, version uint64) int { return cmp.Compare(s.changed, version) })
	missing := b.published[first:]
	update := &Update{Term: b.term, Version: b.version}
	if len(missing) > MaxPaces {
		// The rest comes with the next reply.
		missing = missing[:MaxPaces]
		update.Version = missing[MaxPaces-1].changed
	}
	if len(missing) > 0 {
		update.Paces = make([]Pace, 0, len(missing))
		for _, s := range missing {
			update.Paces = append(update.Paces, s.Pace)
		}
	}
	return update
}

// sweep drops upstreams and entries that are gone.
func (b *Board) sweep(now clock.Instant) {
	if now-b.sweptAt < time.Second {
		return
	}
	b.sweptAt = now
	for name, service := range b.services {
		for id, s := range service.upstreams {
			if now-s.lastAt > retention {
				b.unpublish(s)
				delete(service.upstreams, id)
			}
		}
		if len(service.upstreams) == 0 {
			delete(b.services, name)
		}
	}
	for name, r := range b.entries {
		if now-r.at > retention {
			delete(b.entries, name)
		}
	}
}

// medianOf returns the median, and 0 without values. It sorts them.
func medianOf(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	half := len(values) / 2
	if len(values)%2 == 0 {
		return (values[half-1] + values[half]) / 2
	}
	return values[half]
}
