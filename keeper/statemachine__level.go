package keeper

import (
	"bytes"

	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/consensus"
	"github.com/hyssopladder/hyssopladder/level"
	"github.com/hyssopladder/hyssopladder/result"
)

// RaiseLevel is the entry that puts a level into force.
type RaiseLevel struct {
	To level.Level `json:"t"`
}

// Check verifies a decoded RaiseLevel.
func (r *RaiseLevel) Check() error {
	if r.To == 0 {
		return errors.New("level 0 is in force from the start")
	}
	return nil
}

// LaterCommand is a command above level 0. Data is known to the builds that read its level.
type LaterCommand struct {
	Level level.Level `json:"v"`
	Data  []byte      `json:"d"`
}

// Check verifies a decoded LaterCommand.
func (c *LaterCommand) Check() error {
	if c.Level == 0 {
		return errors.New("a later command of level 0")
	}
	return nil
}

// Later holds the state that commands above level 0 build up. Only one goroutine uses it at
// a time, except for Reads.
type Later interface {
	// Reads returns the highest level that the keeper reads; it never changes.
	Reads() level.Level
	// NeedsAll reports whether all nodes in touch have to read the level before it is
	// in force, and not only the members.
	NeedsAll(l level.Level) bool
	// Verify returns an error for a command that Apply can't carry out, so that it isn't
	// written: each keeper would stop at it.
	Verify(c LaterCommand) error
	// Apply carries out a command and returns the reply to it.
	Apply(c LaterCommand) ([]byte, error)
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// raisePrefix begins the encoding of a RaiseLevel command and of no other.
var raisePrefix = wire.MustEncode(&Command{Level: &RaiseLevel{To: 1}})[:3]

// levelOf returns the level that an entry raises to, or 0 if it raises none.
func levelOf(e consensus.Entry) level.Level {
	if e.Kind != consensus.Command || !bytes.HasPrefix(e.Data, raisePrefix) {
		return 0
	}
	var c Command
	if err := wire.Decode(e.Data, &c); err != nil || c.Level == nil {
		return 0
	}
	return c.Level.To
}

func (m *stateMachine) raise(to level.Level) error {
	if err := level.Check(m.reads, to); err != nil {
		return err
	}
	m.level = max(m.level, to)
	return nil
}

func (m *stateMachine) applyLater(c LaterCommand) (Reply, error) {
	if err := level.Check(m.reads, c.Level); err != nil {
		return Reply{}, err
	}
	reply, err := m.later.Apply(c)
	return Reply{Later: reply}, err
}

// readable reports whether a keeper takes the batch: it has to read the sender's log, and
// the sender what is in force, since it could else vote on or lead a log that it doesn't read.
func (b *Batch) readable(reads, inForce level.Level) bool {
	return level.Check(reads, b.Level) == nil && level.Check(b.Reads, inForce) == nil
}

// levelSnapshot is the encoded form of a stateMachine above level 0. It lacks the fields of
// a machineSnapshot, so that builds that know no levels can't take it for one.
type levelSnapshot struct {
	Level level.Level `json:"v,omitempty"`
	State []byte      `json:"s,omitempty"`
	Later []byte      `json:"x,omitempty"`
}

// Check verifies a decoded snapshot.
func (s *levelSnapshot) Check() error { return nil }

func (m *stateMachine) snapshotAboveZero(state []byte) ([]byte, error) {
	later, err := m.later.Snapshot()
	if err != nil {
		return nil, err
	}
	return wire.Encode(&levelSnapshot{m.level, state, later})
}

// restoreAboveZero restores what is above level 0, and returns the rest.
func (m *stateMachine) restoreAboveZero(data []byte) ([]byte, error) {
	var s levelSnapshot
	if err := wire.DecodeState(data, &s); err != nil {
		return nil, err
	}
	if s.Level == 0 {
		return data, nil
	}
	if err := level.Check(m.reads, s.Level); err != nil {
		return nil, err
	}
	if err := m.later.Restore(s.Later); err != nil {
		return nil, err
	}
	m.level = s.Level
	return s.State, nil
}

// journalError returns the error with which a keeper stops that can't apply or restore.
func journalError(ran result.Ran, err error) error {
	var known *result.Error
	if errors.As(err, &known) && known.Code == result.LevelNotRead {
		return known
	}
	return result.New(result.JournalDamaged, ran, "%v", err)
}
