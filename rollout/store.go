package rollout

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/common/wire"
)

// Command changes the state of a Store. Exactly one field is set.
type Command struct {
	Start   *Order   `json:"s,omitempty"`
	Advance *Advance `json:"a,omitempty"`
	End     *End     `json:"e,omitempty"`
}

// Advance sets the share of a running rollout.
type Advance struct {
	Service string        `json:"s"`
	Number  uint64        `json:"n"`
	Step    int           `json:"i"`
	Share   float64       `json:"h"`
	Elapsed time.Duration `json:"e"`
}

// End ends a running rollout.
type End struct {
	Service string `json:"s"`
	Number  uint64 `json:"n"`
	// Phase is Succeeded or Reverted.
	Phase      Phase         `json:"p"`
	Superseded []string      `json:"d,omitempty"`
	Reason     string        `json:"r,omitempty"`
	Elapsed    time.Duration `json:"e"`
}

// Check verifies a decoded command.
func (c *Command) Check() error {
	set := 0
	if c.Start != nil {
		set++
		if err := c.Start.Check(); err != nil {
			return err
		}
	}
	if a := c.Advance; a != nil {
		set++
		if !(a.Share >= 0 && a.Share <= 1) || a.Step <= 0 {
			return errors.Errorf("step %d with a share of %v, want a step above 0 and a share from 0 to 1", a.Step, a.Share)
		}
	}
	if e := c.End; e != nil {
		set++
		if e.Phase != Succeeded && e.Phase != Reverted {
			return errors.Errorf("rollout ends as %v, want succeeded or reverted", e.Phase)
		}
	}
	if set != 1 {
		return errors.New("rollout command must set exactly one field")
	}
	return nil
}

// Outcome is the effect of a command.
type Outcome int

// The outcomes.
const (
	// Accepted means that the command took effect.
	Accepted Outcome = iota + 1
	// Repeated means that the order was accepted before.
	Repeated
	// Conflict means that another order of the service is under way.
	Conflict
	// Stale means that the command is of an earlier order or step, and has no effect.
	Stale
)

// resendTime is how long after an order the same one counts as sent again. Operators
// send an order again for a few seconds; later ones are meant anew.
const resendTime = 30 * time.Second

// maxServices bounds the services whose last rollout is kept.
const maxServices = 1024

// Store is the replicated state. It isn't safe for concurrent use.
type Store struct {
	version  uint64
	number   uint64
	rollouts map[string]Rollout
	reverted map[string][]string
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rollouts: map[string]Rollout{}, reverted: map[string][]string{}}
}

// Apply carries out a command; the effect depends on nothing else but those before it.
func (s *Store) Apply(c Command) Outcome {
	outcome := Stale
	switch {
	case c.Start != nil:
		outcome = s.start(*c.Start)
	case c.Advance != nil:
		outcome = s.advance(*c.Advance)
	case c.End != nil:
		outcome = s.end(*c.End)
	}
	if outcome == Accepted {
		s.version++
	}
	return outcome
}

func (s *Store) start(o Order) Outcome {
	last, ok := s.rollouts[o.Service]
	same := ok && last.To == o.To && last.Within == o.Within
	switch {
	case same && (last.Phase == Running || o.At.Sub(last.At).Abs() < resendTime):
		return Repeated
	case ok && last.Phase == Running:
		return Conflict
	case ok && last.Phase == Succeeded && last.To == o.To:
		return Repeated
	case !ok && len(s.rollouts) >= maxServices:
		return Conflict
	}
	s.number++
	s.rollouts[o.Service] = Rollout{Number: s.number, Order: o, Phase: Running}
	s.reverted[o.Service] = slices.DeleteFunc(s.reverted[o.Service], func(release string) bool { return release == o.To })
	return Accepted
}

// running returns the running rollout of the service if it has the number.
func (s *Store) running(service string, number uint64) (Rollout, bool) {
	r, ok := s.rollouts[service]
	return r, ok && r.Number == number && r.Phase == Running
}

func (s *Store) advance(a Advance) Outcome {
	r, ok := s.running(a.Service, a.Number)
	if !ok || a.Step <= r.Step {
		return Stale
	}
	r.Step, r.Share, r.Elapsed = a.Step, a.Share, max(r.Elapsed, a.Elapsed)
	s.rollouts[a.Service] = r
	return Accepted
}

// maxReverted bounds the reverted releases of a service that are kept.
const maxReverted = 64

func (s *Store) end(e End) Outcome {
	r, ok := s.running(e.Service, e.Number)
	if !ok {
		return Stale
	}
	r.Phase, r.Superseded, r.Reason, r.Elapsed = e.Phase, e.Superseded, e.Reason, max(r.Elapsed, e.Elapsed)
	r.Share = 1
	if e.Phase == Reverted {
		r.Share = 0
		list := append(slices.Clone(s.reverted[e.Service]), r.To)
		s.reverted[e.Service] = list[max(len(list)-maxReverted, 0):]
	}
	s.rollouts[e.Service] = r
	return Accepted
}

// View returns the state, in order of the services' names. It shares nothing with the store.
func (s *Store) View() View {
	v := View{Version: s.version, Rollouts: slices.Collect(maps.Values(s.rollouts))}
	slices.SortFunc(v.Rollouts, func(a, b Rollout) int { return cmp.Compare(a.Service, b.Service) })
	for service, list := range s.reverted {
		if len(list) == 0 {
			continue
		}
		if v.Reverted == nil {
			v.Reverted = map[string][]string{}
		}
		v.Reverted[service] = slices.Clone(list)
	}
	return v
}

// storeSnapshot is the encoded form of a Store.
type storeSnapshot struct {
	View   View   `json:"v"`
	Number uint64 `json:"n"`
}

// Check implements wire.Checker.
func (s *storeSnapshot) Check() error { return nil }

// Snapshot encodes the state.
func (s *Store) Snapshot() ([]byte, error) { return wire.Encode(&storeSnapshot{s.View(), s.number}) }

// Restore replaces the state by that of a snapshot.
func (s *Store) Restore(data []byte) error {
	var state storeSnapshot
	if err := wire.DecodeState(data, &state); err != nil {
		return err
	}
	restored := NewStore()
	restored.version, restored.number = state.View.Version, state.Number
	for _, r := range state.View.Rollouts {
		restored.rollouts[r.Service] = r
	}
	maps.Copy(restored.reverted, state.View.Reverted)
	*s = *restored
	return nil
}
