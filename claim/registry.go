// Package claim holds the registers by which a call that may not be repeated
// runs at most once: one register for each caller, service and key. It is a
// deterministic state machine; its time is that of the commands.
package claim

import (
	"time"

	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/common/wire"
)

// Limits of the registers.
const (
	// Retention is how long the outcome of a call is kept. A key that is sent
	// again later than that is taken for a new one.
	Retention = 24 * time.Hour
	// OwnerTimeout is how long an owner may leave its claim unsettled before
	// the outcome counts as unknown.
	OwnerTimeout = time.Minute
	// MaxRegisters bounds the registers; beyond it new keys are refused.
	MaxRegisters = 100_000
	// MaxAnswer bounds a stored answer, in bytes. Of a larger one only the
	// status is kept.
	MaxAnswer = 4 << 10
	// MaxStored bounds all stored answers, in bytes; beyond it the bodies of
	// the oldest are dropped.
	MaxStored = 8 << 20
	maxField  = 256
)

// Key names a register. Keys are scoped by caller, so that one caller's key
// never gives another's answer.
type Key struct {
	Caller  string `json:"c"`
	Service string `json:"s"`
	Key     string `json:"k"`
}

// State is that of a register.
type State uint8

// The states of a register.
const (
	// Free means that there is no register.
	Free State = iota
	// Claimed means that an owner may be running the call.
	Claimed
	// Answered means that the call ran and its answer is known.
	Answered
	// Unknown means that nobody knows whether the call ran.
	Unknown
)

// Answer is what the upstream answered.
type Answer struct {
	Status int    `json:"s"`
	Type   string `json:"t,omitempty"`
	Body   []byte `json:"b,omitempty"`
	// Upstream is the one that ran the call.
	Upstream string `json:"u,omitempty"`
	// Dropped says that the body is no longer stored.
	Dropped bool `json:"d,omitempty"`
}

// Command changes registers. Exactly one of its parts is set.
type Command struct {
	Claim   *Claim   `json:"c,omitempty"`
	Settle  *Settle  `json:"s,omitempty"`
	Advance *Advance `json:"a,omitempty"`
}

// Claim asks for the right to run a call.
type Claim struct {
	Key
	// Sum identifies the body, so that a key isn't used for two calls.
	Sum uint64 `json:"h"`
	// Owner names the request that asks; it is unique.
	Owner string `json:"o"`
}

// Settle tells the outcome of a claimed call.
type Settle struct {
	Key
	Owner string `json:"o"`
	// Outcome is Answered, Unknown, or Free if the call was never sent.
	Outcome State   `json:"r"`
	Answer  *Answer `json:"a,omitempty"`
}

// Advance moves the registers' time on. A leader sends it with the time that
// passed on its monotonic clock, so that no step of a wall clock ends a
// register early.
type Advance struct {
	By time.Duration `json:"b"`
}

// maxAdvance bounds one step of time.
const maxAdvance = time.Minute

// Check verifies a decoded command.
func (c *Command) Check() error {
	switch {
	case c.Claim != nil && c.Settle == nil && c.Advance == nil:
		return errors.Wrap(checkKey(c.Claim.Key, c.Claim.Owner), "claim")
	case c.Settle != nil && c.Claim == nil && c.Advance == nil:
		return errors.Wrap(c.Settle.check(), "settle")
	case c.Advance != nil && c.Claim == nil && c.Settle == nil:
		if c.Advance.By < 0 || c.Advance.By > maxAdvance {
			return errors.Errorf("advance by %v, want 0 to %v", c.Advance.By, maxAdvance)
		}
		return nil
	default:
		return errors.New("command: exactly one part is needed")
	}
}

func checkKey(k Key, owner string) error {
	for _, s := range []string{k.Caller, k.Service, k.Key, owner} {
		if s == "" || len(s) > maxField {
			return errors.Errorf("a field of %d bytes, want 1 to %d", len(s), maxField)
		}
	}
	return nil
}

func (s *Settle) check() error {
	switch s.Outcome {
	case Free, Unknown:
		if s.Answer != nil {
			return errors.New("an answer without its outcome")
		}
	case Answered:
		if s.Answer == nil || len(s.Answer.Body) > MaxAnswer {
			return errors.Errorf("an answer of at most %d bytes is needed", MaxAnswer)
		}
	default:
		return errors.Errorf("outcome %d", s.Outcome)
	}
	return checkKey(s.Key, s.Owner)
}

// Reply is the answer to a claim.
type Reply struct {
	// Granted gives the caller the right to run the call, once.
	Granted bool `json:"g,omitempty"`
	// Reused says that the key was used for another body.
	Reused bool `json:"r,omitempty"`
	// Full says that there is no room for another register.
	Full   bool    `json:"f,omitempty"`
	State  State   `json:"s"`
	Answer *Answer `json:"a,omitempty"`
}

// Registry is the state machine. It isn't safe for concurrent use.
type Registry struct {
	registers map[Key]*register
	// order lists keys from the oldest claim on; a key that was freed and
	// claimed again stands twice, and only its newest place counts.
	order  []place
	now    time.Duration
	stored int
	// turn counts claims.
	turn uint64
	// answered lists the registers whose answers have bodies, the oldest
	// answer first.
	answered []place
}

type place struct {
	Key  Key    `json:"k"`
	Turn uint64 `json:"t"`
}

type register struct {
	Sum    uint64        `json:"h"`
	Owner  string        `json:"o"`
	State  State         `json:"s"`
	Since  time.Duration `json:"t"`
	Turn   uint64        `json:"n"`
	Answer *Answer       `json:"a,omitempty"`
}

// New returns a registry without registers.
func New() *Registry { return &Registry{registers: map[Key]*register{}} }

// Apply carries out a command.
func (r *Registry) Apply(c Command) Reply {
	switch {
	case c.Claim != nil:
		return r.claim(*c.Claim)
	case c.Settle != nil:
		return r.settle(*c.Settle)
	case c.Advance != nil:
		r.advance(c.Advance.By)
	}
	return Reply{}
}

func (r *Registry) claim(c Claim) Reply {
	held, ok := r.registers[c.Key]
	switch {
	case !ok && len(r.registers) >= MaxRegisters:
		return Reply{Full: true}
	case !ok:
		r.turn++
		r.registers[c.Key] = &register{Sum: c.Sum, Owner: c.Owner, State: Claimed, Since: r.now, Turn: r.turn}
		r.order = append(r.order, place{c.Key, r.turn})
		return Reply{Granted: true, State: Claimed}
	case held.Sum != c.Sum:
		return Reply{Reused: true, State: held.State}
	case held.State == Claimed && held.Owner == c.Owner:
		// The owner sent its claim again.
		return Reply{Granted: true, State: Claimed}
	default:
		return Reply{State: held.State, Answer: held.Answer}
	}
}

func (r *Registry) settle(s Settle) Reply {
	held, ok := r.registers[s.Key]
	if !ok || held.Owner != s.Owner || held.State == Answered {
		return Reply{}
	}
	switch s.Outcome {
	case Free:
		delete(r.registers, s.Key)
	case Answered:
		held.State = Answered
		held.Answer = s.Answer
		r.stored += len(s.Answer.Body)
		r.answered = append(r.answered, place{s.Key, held.Turn})
		r.dropBodies()
	case Unknown, Claimed:
		held.State = Unknown
	}
	return Reply{State: s.Outcome}
}

// dropBodies keeps the stored answers within their bound.
func (r *Registry) dropBodies() {
	for r.stored > MaxStored && len(r.answered) > 0 {
		if held := r.at(r.answered[0]); held != nil {
			r.stored -= len(held.Answer.Body)
			slim := *held.Answer
			slim.Body, slim.Dropped = nil, true
			held.Answer = &slim
		}
		r.answered = r.answered[1:]
	}
}

// at returns the register of a place, if it is still that of the same claim.
func (r *Registry) at(p place) *register {
	if held, ok := r.registers[p.Key]; ok && held.Turn == p.Turn {
		return held
	}
	return nil
}

// advance moves time on: claims that no owner settled become unknown, and old
// registers go.
func (r *Registry) advance(by time.Duration) {
	r.now += by
	gone := 0
	for i, p := range r.order {
		held := r.at(p)
		if held == nil {
			if i == gone {
				gone++
			}
			continue
		}
		age := r.now - held.Since
		if age < OwnerTimeout {
			break
		}
		if held.State == Claimed {
			held.State = Unknown
		}
		if age >= Retention {
			r.forget(p.Key)
			gone = i + 1
		}
	}
	r.order = r.order[gone:]
	for len(r.answered) > 0 && r.at(r.answered[0]) == nil {
		r.answered = r.answered[1:]
	}
}

func (r *Registry) forget(key Key) {
	if a := r.registers[key].Answer; a != nil {
		r.stored -= len(a.Body)
	}
	delete(r.registers, key)
}

// Len is the number of registers.
func (r *Registry) Len() int { return len(r.registers) }

// saved is a registry as snapshots carry it.
type saved struct {
	Now       time.Duration   `json:"n"`
	Turn      uint64          `json:"t"`
	Order     []place         `json:"o"`
	Answered  []place         `json:"a"`
	Registers []savedRegister `json:"r"`
}

type savedRegister struct {
	Key      Key      `json:"k"`
	Register register `json:"r"`
}

// Check verifies a decoded registry.
func (s *saved) Check() error {
	if len(s.Registers) > MaxRegisters {
		return errors.Errorf("%d registers, want at most %d", len(s.Registers), MaxRegisters)
	}
	return nil
}

// Snapshot returns the encoded registers.
func (r *Registry) Snapshot() ([]byte, error) {
	s := saved{Now: r.now, Turn: r.turn, Order: r.order, Answered: r.answered}
	for _, p := range r.order {
		if held := r.at(p); held != nil {
			s.Registers = append(s.Registers, savedRegister{p.Key, *held})
		}
	}
	return wire.Encode(&s)
}

// Restore replaces the registers by a snapshot.
func (r *Registry) Restore(data []byte) error {
	var s saved
	if err := wire.Decode(data, &s); err != nil {
		return errors.Wrap(err, "claims")
	}
	*r = Registry{
		registers: make(map[Key]*register, len(s.Registers)),
		order:     s.Order,
		answered:  s.Answered,
		now:       s.Now,
		turn:      s.Turn,
	}
	for _, held := range s.Registers {
		r.registers[held.Key] = &held.Register
		if held.Register.Answer != nil {
			r.stored += len(held.Register.Answer.Body)
		}
	}
	return nil
}
