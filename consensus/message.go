// Package consensus implements a Raft replicated log as a pure state machine
// for the keepers: Step, Tick and Propose take inputs, and Ready returns what
// has to be stored, sent and applied. Time is counted in ticks, and the source
// of randomness is passed in.
//
// Elections use a pre-vote, a leader that has no contact to a majority steps
// down, and membership changes go through one joint configuration. Voters
// elect leaders and commit entries; learners only receive the log.
package consensus

import (
	"strconv"

	"github.com/pkg/errors"
)

// ID identifies a member, a voter or learner, by the identity of its data
// folder.
type ID uint64

// None is the ID of no member.
const None ID = 0

// String returns the ID in hexadecimal.
func (id ID) String() string { return strconv.FormatUint(uint64(id), 16) }

// EntryKind says what an entry holds.
type EntryKind uint8

// The kinds of entry.
const (
	// Command holds a command for the replicated state machine.
	Command EntryKind = iota
	// ConfigChange holds an encoded Config.
	ConfigChange
	// Noop is the empty first entry of a new leader.
	Noop
)

// Entry is one entry of the log.
type Entry struct {
	Index uint64    `json:"i"`
	Term  uint64    `json:"t"`
	Kind  EntryKind `json:"k,omitempty"`
	Data  []byte    `json:"d,omitempty"`
}

// HardState must be stored before any message that depends on it is sent.
type HardState struct {
	Term uint64 `json:"t"`
	Vote ID     `json:"v"`
}

// Snapshot replaces the log up to Index: Data is the encoded state machine
// after that entry.
type Snapshot struct {
	Index  uint64 `json:"i"`
	Term   uint64 `json:"t"`
	Config Config `json:"c"`
	Data   []byte `json:"d"`
}

// MessageKind is the kind of a request or reply.
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
	// TimeoutNow asks a follower to start an election at once.
	TimeoutNow
	messageKinds
)

// Message is sent from one member to another.
type Message struct {
	Kind MessageKind `json:"k"`
	From ID          `json:"f"`
	To   ID          `json:"o"`
	Term uint64      `json:"t"`
	// Index and LogTerm are those of the entry before Entries, or of the last
	// entry of a candidate. In a reply, Index is that of the confirmed or
	// rejected entry.
	Index   uint64  `json:"i,omitempty"`
	LogTerm uint64  `json:"l,omitempty"`
	Commit  uint64  `json:"c,omitempty"`
	Entries []Entry `json:"e,omitempty"`
	Reject  bool    `json:"r,omitempty"`
	// Hint is the highest index at which the log of a rejecting follower may
	// match.
	Hint uint64 `json:"h,omitempty"`
	// Round is the leader's latest read round (see StartReadRound); a reply
	// returns it.
	Round uint64 `json:"n,omitempty"`
	// Force marks a vote request caused by TimeoutNow, which members consider
	// even if they are in contact with a leader.
	Force    bool      `json:"x,omitempty"`
	Snapshot *Snapshot `json:"s,omitempty"`
}

// Check validates a decoded message.
func (m *Message) Check() error {
	if m.Kind == 0 || m.Kind >= messageKinds {
		return errors.Errorf("unknown message kind %d", m.Kind)
	}
	if m.From == None || m.To == None {
		return errors.New("message without sender or receiver")
	}
	for i, e := range m.Entries {
		if e.Index != m.Index+1+uint64(i) || e.Kind > Noop {
			return errors.Errorf("entry %d at position %d after entry %d: wrong index or unknown kind", e.Index, i, m.Index)
		}
	}
	if m.Kind == InstallSnapshot && (m.Snapshot == nil || m.Snapshot.Index == 0) {
		return errors.New("InstallSnapshot message without a snapshot")
	}
	return nil
}
