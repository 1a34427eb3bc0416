// Package consensus is a replicated log as a pure state machine: inputs go in
// by Step, Tick and Propose, and what has to be stored, sent and applied comes
// out by Ready. Time is counted in ticks and randomness is passed in.
//
// It elects leaders by majority with a pre-vote, a leader that hears no
// majority steps down, and the set of voters changes in one joint step.
package consensus

import (
	"strconv"

	"github.com/pkg/errors"
)

// ID identifies a voter or learner: the identity of its data folder.
type ID uint64

// None is the ID of nobody.
const None ID = 0

// String returns the ID in hexadecimal.
func (id ID) String() string { return strconv.FormatUint(uint64(id), 16) }

// EntryKind says what an entry holds.
type EntryKind uint8

// The kinds of entry.
const (
	// Command is a command of the state machine above.
	Command EntryKind = iota
	// ConfigChange holds an encoded Config.
	ConfigChange
	// Noop is a leader's first entry.
	Noop
)

// Entry is one entry of the log.
type Entry struct {
	Index uint64    `json:"i"`
	Term  uint64    `json:"t"`
	Kind  EntryKind `json:"k,omitempty"`
	Data  []byte    `json:"d,omitempty"`
}

// HardState is what must be stored before a message that follows from it.
type HardState struct {
	Term uint64 `json:"t"`
	Vote ID     `json:"v"`
}

// Snapshot replaces the log up to its index.
type Snapshot struct {
	Index  uint64 `json:"i"`
	Term   uint64 `json:"t"`
	Config Config `json:"c"`
	Data   []byte `json:"d"`
}

// MessageKind says what a message asks or answers.
type MessageKind uint8

// The kinds of message.
const (
	PreVote MessageKind = iota + 1
	PreVoteReply
	Vote
	VoteReply
	Append
	AppendReply
	InstallSnapshot
	// TimeoutNow asks a follower to campaign at once.
	TimeoutNow
	messageKinds
)

// Message goes from one node to another.
type Message struct {
	Kind MessageKind `json:"k"`
	From ID          `json:"f"`
	To   ID          `json:"o"`
	Term uint64      `json:"t"`
	// Index and LogTerm name the entry before Entries, the last entry of a
	// candidate, or the entry that a reply is about.
	Index   uint64  `json:"i,omitempty"`
	LogTerm uint64  `json:"l,omitempty"`
	Commit  uint64  `json:"c,omitempty"`
	Entries []Entry `json:"e,omitempty"`
	Reject  bool    `json:"r,omitempty"`
	// Hint is the index at which a rejecting follower may match.
	Hint uint64 `json:"h,omitempty"`
	// Round is the leader's newest question whether it still leads; a reply
	// carries it back.
	Round uint64 `json:"n,omitempty"`
	// Force marks a vote that a leader asked for.
	Force    bool      `json:"x,omitempty"`
	Snapshot *Snapshot `json:"s,omitempty"`
}

// Check verifies a decoded message.
func (m *Message) Check() error {
	if m.Kind == 0 || m.Kind >= messageKinds {
		return errors.Errorf("message kind %d", m.Kind)
	}
	if m.From == None || m.To == None {
		return errors.New("message without sender or receiver")
	}
	for i, e := range m.Entries {
		if e.Index != m.Index+1+uint64(i) || e.Kind > Noop {
			return errors.Errorf("entry %d at position %d after %d", e.Index, i, m.Index)
		}
	}
	if m.Kind == InstallSnapshot && (m.Snapshot == nil || m.Snapshot.Index == 0) {
		return errors.New("message without its snapshot")
	}
	return nil
}
