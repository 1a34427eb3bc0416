// Package claim keeps the registers of idempotency keys, by which a call that
// must not be repeated runs at most once. There is one register for each
// caller, service and key. The entry that is to run a call claims the
// register, and settles it with the outcome.
//
// The registry is a deterministic state machine that the keepers replicate;
// its time advances by commands only.
package claim

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/common/wire"
)

// Limits of the registers.
const (
	// Retention is how long a register is kept. A key that is sent again later
	// counts as new.
	Retention = 24 * time.Hour
	// OwnerTimeout is how long a claim may stay unsettled before its outcome
	// counts as unknown.
	OwnerTimeout = time.Minute
	// MaxRegisters bounds the number of registers; at the limit new keys are
	// refused.
	MaxRegisters = 100_000
	// MaxAnswerBytes bounds the body of a stored answer. Of an answer with a
	// larger body only the status is kept.
	MaxAnswerBytes = 4 << 10
	// MaxStoredBytes bounds the bodies of all stored answers; beyond it the
	// oldest bodies are dropped.
	MaxStoredBytes = 8 << 20
	maxFieldBytes  = 256
)

// Key identifies a register. Keys are scoped by caller, so that a caller never
// gets the answer of another caller's call.
type Key struct {
	Caller  string `json:"c"`
	Service string `json:"s"`
	Key     string `json:"k"`
}

// State is the state of a register.
type State uint8

// The states of a register.
const (
	// Free means that the key has no register.
	Free State = iota
	// Claimed means that the owner may be running the call.
	Claimed
	// Answered means that the call ran and its answer is known.
	Answered
	// Unknown means that it isn't known whether the call ran.
	Unknown
)

// Answer is the answer of the upstream that ran the call.
type Answer struct {
	Status      int    `json:"s"`
	ContentType string `json:"t,omitempty"`
	Body        []byte `json:"b,omitempty"`
	// Upstream identifies the upstream.
	Upstream string `json:"u,omitempty"`
	// Dropped reports that the body is no longer stored.
	Dropped bool `json:"d,omitempty"`
}

// Command changes the registers. Exactly one of its fields is set.
type Command struct {
	Claim   *Claim   `json:"c,omitempty"`
	Settle  *Settle  `json:"s,omitempty"`
	Advance *Advance `json:"a,omitempty"`
}

// Claim asks for the right to run a call.
type Claim struct {
	Key
	// CallHash is a hash of the call; it detects the reuse of a key for a
	// different call.
	CallHash uint64 `json:"h"`
	// Owner identifies the request that claims; it is unique.
	Owner string `json:"o"`
}

// Settle reports the outcome of a claimed call.
type Settle struct {
	Key
	Owner string `json:"o"`
	// Outcome is Answered, Unknown, or Free if the call was never sent.
	Outcome State   `json:"r"`
	Answer  *Answer `json:"a,omitempty"`
}

// Advance advances the time of the registry. The leader sends it with the time
// that passed on its monotonic clock, so that a step of the wall clock expires
// no register early.
type Advance struct {
	By time.Duration `json:"b"`
}

// maxAdvance bounds the time of one Advance.
const maxAdvance = time.Minute

// Check validates a decoded command.
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
		return errors.New("a command needs exactly one of claim, settle and advance")
	}
}

func checkKey(k Key, owner string) error {
	for _, s := range []string{k.Caller, k.Service, k.Key, owner} {
		if s == "" || len(s) > maxFieldBytes {
			return errors.Errorf("caller, service, key or owner of %d bytes, want 1 to %d", len(s), maxFieldBytes)
		}
	}
	return nil
}

func (s *Settle) check() error {
	switch s.Outcome {
	case Free, Unknown:
		if s.Answer != nil {
			return errors.New("an answer is allowed only with the outcome Answered")
		}
	case Answered:
		if s.Answer == nil || len(s.Answer.Body) > MaxAnswerBytes {
			return errors.Errorf("the outcome Answered needs an answer of at most %d bytes", MaxAnswerBytes)
		}
	default:
		return errors.Errorf("invalid outcome %d", s.Outcome)
	}
	return checkKey(s.Key, s.Owner)
}

// Reply is the answer to a claim.
type Reply struct {
	// Granted allows the owner to run the call, once.
	Granted bool `json:"g,omitempty"`
	// Reused reports that the key was used for a different call.
	Reused bool `json:"r,omitempty"`
	// Full reports that MaxRegisters is reached.
	Full   bool    `json:"f,omitempty"`
	State  State   `json:"s"`
	Answer *Answer `json:"a,omitempty"`
}

// Registry is the state machine of all registers. It isn't safe for concurrent
// use.
type Registry struct {
	registers map[Key]*register
	// claimOrder lists the claims from the oldest on. A key that was freed and
	// claimed again is listed twice; only its latest claim counts.
	claimOrder  []claimRef
	now         time.Duration
	storedBytes int
	// lastClaim is the number of the latest granted claim.
	lastClaim uint64
	// answered lists the answered claims whose bodies dropBodies hasn't dropped,
	// from the oldest answer on.
	answered []claimRef
}

// claimRef refers to one claim of a key.
type claimRef struct {
	Key         Key    `json:"k"`
	ClaimNumber uint64 `json:"t"`
}

// register is the record of one key.
type register struct {
	CallHash    uint64        `json:"h"`
	Owner       string        `json:"o"`
	State       State         `json:"s"`
	ClaimedAt   time.Duration `json:"t"`
	ClaimNumber uint64        `json:"n"`
	Answer      *Answer       `json:"a,omitempty"`
}

// New returns an empty registry.
func New() *Registry { return &Registry{registers: map[Key]*register{}} }

// Apply executes a command.
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
	reg, ok := r.registers[c.Key]
	switch {
	case !ok && len(r.registers) >= MaxRegisters:
		return Reply{Full: true}
	case !ok:
		r.lastClaim++
		r.registers[c.Key] = &register{CallHash: c.CallHash, Owner: c.Owner, State: Claimed, ClaimedAt: r.now, ClaimNumber: r.lastClaim}
		r.claimOrder = append(r.claimOrder, claimRef{c.Key, r.lastClaim})
		return Reply{Granted: true, State: Claimed}
	case reg.CallHash != c.CallHash:
		return Reply{Reused: true, State: reg.State}
	case reg.State == Claimed && reg.Owner == c.Owner:
		// The owner resent its claim.
		return Reply{Granted: true, State: Claimed}
	default:
		return Reply{State: reg.State, Answer: reg.Answer}
	}
}

func (r *Registry) settle(s Settle) Reply {
	reg, ok := r.registers[s.Key]
	if !ok || reg.Owner != s.Owner || reg.State == Answered {
		return Reply{}
	}
	switch s.Outcome {
	case Free:
		delete(r.registers, s.Key)
		r.dropFreedClaims()
	case Answered:
		reg.State = Answered
		reg.Answer = s.Answer
		r.storedBytes += len(s.Answer.Body)
		r.answered = append(r.answered, claimRef{s.Key, reg.ClaimNumber})
		r.dropBodies()
	case Unknown, Claimed:
		reg.State = Unknown
	}
	return Reply{State: s.Outcome}
}

// freedClaimsKept is the number of freed claims, beyond as many as there are
// registers, that stay listed until they are dropped together.
const freedClaimsKept = 64

// dropFreedClaims drops the listed claims whose registers are gone, once they are
// more than the others.
func (r *Registry) dropFreedClaims() {
	if len(r.claimOrder) <= 2*len(r.registers)+freedClaimsKept {
		return
	}
	r.claimOrder = slices.DeleteFunc(r.claimOrder, func(ref claimRef) bool { return r.registerOf(ref) == nil })
}

// dropBodies drops the oldest bodies while they exceed MaxStoredBytes.
func (r *Registry) dropBodies() {
	for r.storedBytes > MaxStoredBytes && len(r.answered) > 0 {
		if reg := r.registerOf(r.answered[0]); reg != nil {
			r.storedBytes -= len(reg.Answer.Body)
			withoutBody := *reg.Answer
			withoutBody.Body, withoutBody.Dropped = nil, true
			reg.Answer = &withoutBody
		}
		r.answered = r.answered[1:]
	}
}

// registerOf returns the register that the claim made, or nil if it is gone.
func (r *Registry) registerOf(ref claimRef) *register {
	if reg, ok := r.registers[ref.Key]; ok && reg.ClaimNumber == ref.ClaimNumber {
		return reg
	}
	return nil
}

// advance advances the time: claims past OwnerTimeout become unknown, and
// registers past Retention are removed.
func (r *Registry) advance(by time.Duration) {
	r.now += by
	removable := 0
	for i, ref := range r.claimOrder {
		reg := r.registerOf(ref)
		if reg == nil {
			if i == removable {
				removable++
			}
			continue
		}
		age := r.now - reg.ClaimedAt
		if age < OwnerTimeout {
			break
		}
		if reg.State == Claimed {
			reg.State = Unknown
		}
		if age >= Retention {
			r.remove(ref.Key)
			removable = i + 1
		}
	}
	r.claimOrder = r.claimOrder[removable:]
	for len(r.answered) > 0 && r.registerOf(r.answered[0]) == nil {
		r.answered = r.answered[1:]
	}
}

func (r *Registry) remove(key Key) {
	if a := r.registers[key].Answer; a != nil {
		r.storedBytes -= len(a.Body)
	}
	delete(r.registers, key)
}

// Len returns the number of registers.
func (r *Registry) Len() int { return len(r.registers) }

// savedRegistry is the encoding of a registry in snapshots.
type savedRegistry struct {
	Now        time.Duration   `json:"n"`
	LastClaim  uint64          `json:"t"`
	ClaimOrder []claimRef      `json:"o"`
	Answered   []claimRef      `json:"a"`
	Registers  []savedRegister `json:"r"`
}

type savedRegister struct {
	Key      Key      `json:"k"`
	Register register `json:"r"`
}

// Check validates a decoded registry.
func (s *savedRegistry) Check() error {
	if len(s.Registers) > MaxRegisters {
		return errors.Errorf("%d registers, want at most %d", len(s.Registers), MaxRegisters)
	}
	return nil
}

// Snapshot returns the encoded registry.
func (r *Registry) Snapshot() ([]byte, error) {
	s := savedRegistry{Now: r.now, LastClaim: r.lastClaim, ClaimOrder: r.claimOrder, Answered: r.answered}
	for _, ref := range r.claimOrder {
		if reg := r.registerOf(ref); reg != nil {
			s.Registers = append(s.Registers, savedRegister{ref.Key, *reg})
		}
	}
	return wire.Encode(&s)
}

// Restore replaces the registry by a snapshot.
func (r *Registry) Restore(data []byte) error {
	var s savedRegistry
	if err := wire.DecodeState(data, &s); err != nil {
		return errors.Wrap(err, "claims")
	}
	*r = Registry{
		registers:  make(map[Key]*register, len(s.Registers)),
		claimOrder: s.ClaimOrder,
		answered:   s.Answered,
		now:        s.Now,
		lastClaim:  s.LastClaim,
	}
	for _, saved := range s.Registers {
		r.registers[saved.Key] = &saved.Register
		if saved.Register.Answer != nil {
			r.storedBytes += len(saved.Register.Answer.Body)
		}
	}
	return nil
}
