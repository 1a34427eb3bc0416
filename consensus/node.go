package consensus

import (
	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/common/wire"
)

// Role is what a node is at the moment.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name.
func (r Role) String() string {
	return [...]string{"follower", "preCandidate", "candidate", "leader"}[r]
}

// Options shape a node.
type Options struct {
	ID ID
	// ElectionTicks is the shortest time without a leader before an election;
	// the longest is twice that.
	ElectionTicks int
	// HeartbeatTicks is the time between a leader's heartbeats.
	HeartbeatTicks int
	// MaxAppendBytes bounds the entries of one message.
	MaxAppendBytes int
	// Random returns a number from 0 to n-1.
	Random func(n int) int
}

// Stored is what a node finds in its store when it starts.
type Stored struct {
	State    HardState
	Snapshot Snapshot
	// Entries follow each other; the first comes at or before the one after
	// the snapshot.
	Entries []Entry
}

// Ready is what the host has to do: store State, Snapshot and Entries and sync
// them, send Messages, apply Snapshot and Committed, then call Advance. Early
// messages may be sent before the sync.
type Ready struct {
	State        HardState
	StateChanged bool
	// Snapshot replaces what is stored and the state machine's state.
	Snapshot *Snapshot
	Entries  []Entry
	Early    []Message
	Messages []Message
	// Committed are entries to apply, in order.
	Committed []Entry
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return !r.StateChanged && r.Snapshot == nil && len(r.Entries) == 0 &&
		len(r.Early) == 0 && len(r.Messages) == 0 && len(r.Committed) == 0
}

// MustSync reports whether anything has to be stored.
func (r *Ready) MustSync() bool { return r.StateChanged || r.Snapshot != nil || len(r.Entries) > 0 }

// Node is one member. It isn't safe for concurrent use.
type Node struct {
	options Options
	state   HardState
	stored  HardState
	log     log
	commit  uint64
	applied uint64

	config      Config
	configIndex uint64

	role     Role
	leader   ID
	elapsed  int
	beat     int
	timeout  int
	votes    map[ID]bool
	progress map[ID]*progress
	// round counts the leader's questions whether it still leads.
	round uint64
	// transfer is the follower that is to become leader.
	transfer ID

	snapshot *Snapshot
	messages []Message
	err      error
}

// progress is what a leader knows of a member.
type progress struct {
	match uint64
	next  uint64
	// active says that the member answered since the last quorum check.
	active bool
	// round is the newest question that the member answered.
	round uint64
	// installing counts down the ticks for which a snapshot is under way.
	installing int
}

// ErrDamaged reports a log that contradicts itself or a committed entry.
var ErrDamaged = errors.New("the log contradicts itself")

// New returns a node that goes on from what is stored.
func New(o Options, s Stored) (*Node, error) {
	n := &Node{options: o, state: s.State, stored: s.State}
	n.log.reset(s.Snapshot)
	if err := n.load(s); err != nil {
		return nil, err
	}
	n.log.stable = n.log.last()
	n.commit = s.Snapshot.Index
	n.applied = s.Snapshot.Index
	if err := n.readConfig(); err != nil {
		return nil, err
	}
	n.resetTimeout()
	if n.log.last() > 0 {
		// After a restart of all members nobody leads; if somebody does, the
		// pre-vote finds out without harm.
		n.timeout = n.options.HeartbeatTicks + n.options.Random(n.options.ElectionTicks/2+1)
	}
	return n, nil
}

// load takes the stored entries; those at or before the snapshot stay as
// trailing ones.
func (n *Node) load(s Stored) error {
	if len(s.Entries) == 0 {
		return nil
	}
	first := s.Entries[0]
	if first.Index == 0 || first.Index > s.Snapshot.Index+1 {
		return errors.Wrapf(ErrDamaged, "first entry %d after snapshot %d", first.Index, s.Snapshot.Index)
	}
	for i, e := range s.Entries {
		if e.Index != first.Index+uint64(i) {
			return errors.Wrapf(ErrDamaged, "entry %d at the place of %d", e.Index, first.Index+uint64(i))
		}
	}
	if s.Entries[len(s.Entries)-1].Index <= s.Snapshot.Index {
		return nil
	}
	after := s.Snapshot.Index + 1 - first.Index
	if after > 0 && s.Entries[after-1].Term != s.Snapshot.Term {
		// The tail follows an entry that the snapshot replaced.
		return nil
	}
	n.log.entries = append([]Entry(nil), s.Entries[after:]...)
	return nil
}

// ID returns the node's ID.
func (n *Node) ID() ID { return n.options.ID }

// Status describes a node.
type Status struct {
	ID      ID     `json:"id"`
	Role    string `json:"role"`
	Leader  ID     `json:"leader"`
	Term    uint64 `json:"term"`
	Commit  uint64 `json:"commit"`
	Applied uint64 `json:"applied"`
	Last    uint64 `json:"last"`
	// First is the first index still in the log.
	First  uint64        `json:"first"`
	Config Config        `json:"config"`
	Match  map[ID]uint64 `json:"match,omitempty"`
}

// Status returns the node's state.
func (n *Node) Status() Status {
	s := Status{
		ID:      n.options.ID,
		Role:    n.role.String(),
		Leader:  n.leader,
		Term:    n.state.Term,
		Commit:  n.commit,
		Applied: n.applied,
		Last:    n.log.last(),
		First:   n.log.baseIndex + 1,
		Config:  n.config,
	}
	if n.role == Leader {
		s.Match = map[ID]uint64{}
		for id, p := range n.progress {
			s.Match[id] = p.match
		}
	}
	return s
}

// IsLeader reports whether the node leads and has committed an entry of its
// own term, so that its state is current.
func (n *Node) IsLeader() bool {
	if n.role != Leader {
		return false
	}
	term, ok := n.log.term(n.commit)
	return ok && term == n.state.Term
}

// Leader returns the leader that the node follows, or None.
func (n *Node) Leader() ID { return n.leader }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.state.Term }

// Err returns the fault that stopped the node, if one did.
func (n *Node) Err() error { return n.err }

// Propose appends a command. It reports false unless the node leads.
func (n *Node) Propose(data []byte) (index, term uint64, ok bool) {
	if n.role != Leader || n.transfer != None || n.err != nil {
		return 0, 0, false
	}
	index = n.appendEntry(Command, data)
	return index, n.state.Term, true
}

// appendEntry adds an entry to the leader's log and sends it on.
func (n *Node) appendEntry(kind EntryKind, data []byte) uint64 {
	index := n.log.last() + 1
	n.log.entries = append(n.log.entries, Entry{Index: index, Term: n.state.Term, Kind: kind, Data: data})
	for _, id := range n.config.Members() {
		if id != n.options.ID {
			n.sendAppend(id, false)
		}
	}
	return index
}

// Bootstrap makes the first configuration of a new cluster. Exactly one node
// of a cluster does this, once.
func (n *Node) Bootstrap(voters []ID) error {
	if n.log.last() > 0 || n.state.Term > 0 || len(n.config.Members()) > 0 {
		return errors.New("the node has a log already")
	}
	if len(voters) == 0 {
		return errors.New("a cluster needs a voter")
	}
	c := Config{Voters: voters}
	n.state.Term = 1
	n.log.entries = []Entry{{Index: 1, Term: 1, Kind: ConfigChange, Data: wire.MustEncode(&c)}}
	return n.readConfig()
}

// Ready returns what has to be done now.
func (n *Node) Ready() Ready {
	r := Ready{
		State:        n.state,
		StateChanged: n.state != n.stored,
		Snapshot:     n.snapshot,
		Entries:      n.log.slice(n.log.stable+1, n.log.last(), maxInt),
		Committed:    n.log.slice(n.applied+1, n.commit, maxInt),
	}
	for _, m := range n.messages {
		if m.Kind == Append && !r.StateChanged {
			r.Early = append(r.Early, m)
		} else {
			r.Messages = append(r.Messages, m)
		}
	}
	n.messages = nil
	return r
}

const maxInt = int(^uint(0) >> 1)

// Advance says that everything in r was done.
func (n *Node) Advance(r Ready) {
	n.stored = r.State
	if r.Snapshot != nil && n.snapshot == r.Snapshot {
		n.snapshot = nil
	}
	if len(r.Entries) > 0 {
		last := r.Entries[len(r.Entries)-1]
		if n.log.matches(last.Index, last.Term) {
			n.log.stable = max(n.log.stable, last.Index)
		}
	}
	if len(r.Committed) > 0 {
		n.applied = max(n.applied, r.Committed[len(r.Committed)-1].Index)
	}
	if n.role == Leader {
		n.progress[n.options.ID].match = n.log.stable
		n.maybeCommit()
	}
}

// Compact says that the state machine's state at the applied index is data,
// so that older entries can go; the last keep entries stay for followers that
// are a little behind. It returns the snapshot to store.
func (n *Node) Compact(data []byte, keep uint64) (Snapshot, error) {
	config, _, err := n.log.config(n.applied)
	if err != nil {
		return Snapshot{}, err
	}
	term, ok := n.log.term(n.applied)
	if !ok || n.applied == 0 {
		return Snapshot{}, errors.Errorf("no entry at %d", n.applied)
	}
	s := Snapshot{Index: n.applied, Term: term, Config: config, Data: data}
	n.log.compact(s, s.Index-min(keep, s.Index))
	return s, nil
}

// Entries returns the entries that are still in the log.
func (n *Node) Entries() []Entry { return n.log.entries }

func (n *Node) readConfig() error {
	c, index, err := n.log.config(n.log.last())
	if err != nil {
		return errors.Wrap(ErrDamaged, err.Error())
	}
	n.config, n.configIndex = c, index
	return nil
}

func (n *Node) send(m Message) {
	m.From = n.options.ID
	if m.Term == 0 {
		m.Term = n.state.Term
	}
	n.messages = append(n.messages, m)
}

func (n *Node) resetTimeout() {
	n.elapsed = 0
	n.timeout = n.options.ElectionTicks + n.options.Random(n.options.ElectionTicks)
}

// State returns the term and vote.
func (n *Node) State() HardState { return n.state }
