package consensus

import (
	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/common/wire"
)

// Role is the current role of a node.
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

// Options configures a node.
type Options struct {
	ID ID
	// ElectionTicks is the shortest election timeout. Each timeout is random,
	// up to twice as long.
	ElectionTicks int
	// HeartbeatTicks is the interval between heartbeats of a leader.
	HeartbeatTicks int
	// MaxAppendBytes is the approximate limit of the entries in one message.
	MaxAppendBytes int
	// Random returns a number from 0 to n-1.
	Random func(n int) int
}

// Stored is the state on disk from which a node starts.
type Stored struct {
	State    HardState
	Snapshot Snapshot
	// Entries have consecutive indexes. The first index is at most one above
	// that of the snapshot.
	Entries []Entry
	// Unsettled says that a crash may lose State and Entries, which therefore have to
	// be stored again before anything relies on them.
	Unsettled bool
}

// Ready lists the work for the caller: store State, Snapshot and Entries and
// sync them, send Messages, apply Snapshot and Committed, then call Advance.
type Ready struct {
	State        HardState
	StateChanged bool
	// Snapshot, if set, replaces the stored log and the state machine's state.
	Snapshot *Snapshot
	Entries  []Entry
	// Early may be sent before the sync: a leader counts its own copy of an
	// entry only after Advance.
	Early    []Message
	Messages []Message
	// Committed are the entries to apply, in order.
	Committed []Entry
}

// Empty reports whether there is no work.
func (r *Ready) Empty() bool {
	return !r.StateChanged && r.Snapshot == nil && len(r.Entries) == 0 &&
		len(r.Early) == 0 && len(r.Messages) == 0 && len(r.Committed) == 0
}

// MustSync reports whether anything has to be stored and synced.
func (r *Ready) MustSync() bool { return r.StateChanged || r.Snapshot != nil || len(r.Entries) > 0 }

// Node is one member of the cluster. It isn't safe for concurrent use.
type Node struct {
	options   Options
	hardState HardState
	// storedState is the hard state as of the last Advance.
	storedState HardState
	log         log
	// commit and applied are the indexes of the last committed and the last
	// applied entry.
	commit  uint64
	applied uint64

	config Config
	// configIndex is the index of the entry that holds config.
	configIndex uint64

	role   Role
	leader ID
	// electionElapsed counts the ticks since the last contact with the leader,
	// or, on a leader, since its last quorum check.
	electionElapsed  int
	heartbeatElapsed int
	electionTimeout  int
	votes            map[ID]bool
	progress         map[ID]*progress
	// readRound is the number of the leader's latest read round.
	readRound uint64
	// transferTarget is the follower that is about to take over the
	// leadership, and failedTarget the last one that didn't.
	transferTarget, failedTarget ID

	// refusals are the votes that this node has refused since they were last taken.
	refusals []Refusal

	// pendingSnapshot is a received snapshot that isn't stored yet.
	pendingSnapshot *Snapshot
	messages        []Message
	err             error
}

// progress is what a leader knows of a member's log: match is the last index
// that the member is known to hold, next the first index to send.
type progress struct {
	match uint64
	next  uint64
	// recentlyActive is set when the member answers and cleared by each quorum
	// check.
	recentlyActive bool
	// readRound is the latest read round that the member answered.
	readRound uint64
	// snapshotTicksLeft counts down the ticks that the leader waits for the
	// member to install a snapshot.
	snapshotTicksLeft int
}

// ErrDamaged reports a log that is inconsistent or conflicts with a committed
// entry.
var ErrDamaged = errors.New("the log is inconsistent")

// New returns a node that continues from the stored state.
func New(o Options, s Stored) (*Node, error) {
	n := &Node{options: o, hardState: s.State, storedState: s.State}
	n.log.reset(s.Snapshot)
	if err := n.loadEntries(s); err != nil {
		return nil, err
	}
	n.log.stable = n.log.last()
	if s.Unsettled {
		n.storedState, n.log.stable = HardState{}, n.log.baseIndex
	}
	n.commit = s.Snapshot.Index
	n.applied = s.Snapshot.Index
	if err := n.useLatestConfig(); err != nil {
		return nil, err
	}
	n.resetElectionTimeout()
	if n.log.last() > 0 {
		// Campaigns early, since there is no leader after a restart of all
		// members. If there is one, the pre-vote fails and does no harm.
		n.electionTimeout = n.options.HeartbeatTicks + n.options.Random(n.options.ElectionTicks/2+1)
	}
	return n, nil
}

// loadEntries adds the stored entries after the snapshot to the log.
func (n *Node) loadEntries(s Stored) error {
	if len(s.Entries) == 0 {
		return nil
	}
	first := s.Entries[0]
	if first.Index == 0 || first.Index > s.Snapshot.Index+1 {
		return errors.Wrapf(ErrDamaged, "first entry %d after snapshot %d", first.Index, s.Snapshot.Index)
	}
	for i, e := range s.Entries {
		if e.Index != first.Index+uint64(i) {
			return errors.Wrapf(ErrDamaged, "found entry %d where entry %d was expected", e.Index, first.Index+uint64(i))
		}
	}
	if s.Entries[len(s.Entries)-1].Index <= s.Snapshot.Index {
		return nil
	}
	covered := s.Snapshot.Index + 1 - first.Index
	if covered > 0 && s.Entries[covered-1].Term != s.Snapshot.Term {
		// The later entries follow an entry that the snapshot replaced.
		return nil
	}
	n.log.entries = append([]Entry(nil), s.Entries[covered:]...)
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
		Term:    n.hardState.Term,
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
// own term; only then is its commit index known to be current.
func (n *Node) IsLeader() bool {
	if n.role != Leader {
		return false
	}
	term, ok := n.log.term(n.commit)
	return ok && term == n.hardState.Term
}

// Applied returns the index of the last entry that was returned to be applied.
func (n *Node) Applied() uint64 { return n.applied }

// Leader returns the leader that the node follows, or None.
func (n *Node) Leader() ID { return n.leader }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hardState.Term }

// Err returns the error that stopped the node, or nil.
func (n *Node) Err() error { return n.err }

// Propose appends a command. It reports false unless the node leads, and while
// it transfers the leadership.
func (n *Node) Propose(data []byte) (index, term uint64, ok bool) {
	if n.role != Leader || n.transferTarget != None || n.err != nil {
		return 0, 0, false
	}
	index = n.appendEntry(Command, data)
	return index, n.hardState.Term, true
}

// appendEntry adds an entry to the leader's log and sends it to the other
// members.
func (n *Node) appendEntry(kind EntryKind, data []byte) uint64 {
	index := n.log.last() + 1
	n.log.entries = append(n.log.entries, Entry{Index: index, Term: n.hardState.Term, Kind: kind, Data: data})
	for _, id := range n.config.Members() {
		if id != n.options.ID {
			n.sendAppend(id, false)
		}
	}
	return index
}

// Bootstrap creates the first configuration of a new cluster. It must be
// called exactly once, on one node of the cluster.
func (n *Node) Bootstrap(voters []ID) error {
	if n.log.last() > 0 || n.hardState.Term > 0 || len(n.config.Members()) > 0 {
		return errors.New("the node already has a log")
	}
	if len(voters) == 0 {
		return errors.New("a cluster needs at least one voter")
	}
	c := Config{Voters: voters}
	n.hardState.Term = 1
	n.log.entries = []Entry{{Index: 1, Term: 1, Kind: ConfigChange, Data: wire.MustEncode(&c)}}
	return n.useLatestConfig()
}

// Ready returns the work that is due now.
func (n *Node) Ready() Ready {
	r := Ready{
		State:        n.hardState,
		StateChanged: n.hardState != n.storedState,
		Snapshot:     n.pendingSnapshot,
		Entries:      n.log.slice(n.log.stable+1, n.log.last(), unlimited),
		Committed:    n.log.slice(n.applied+1, n.commit, unlimited),
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

const unlimited = int(^uint(0) >> 1)

// Advance reports to the node that all work of r is done.
func (n *Node) Advance(r Ready) {
	n.storedState = r.State
	if r.Snapshot != nil && n.pendingSnapshot == r.Snapshot {
		n.pendingSnapshot = nil
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

// Unsaved returns the messages of r that may be sent though r couldn't be stored
// for now. Replies confirm only what is stored. With a term or vote that isn't
// stored, nothing may be sent.
func (n *Node) Unsaved(r Ready) []Message {
	if r.StateChanged || r.Snapshot != nil {
		return nil
	}
	messages := append([]Message(nil), r.Messages...)
	for i := range messages {
		if m := &messages[i]; m.Kind == AppendReply && !m.Reject {
			m.Index = min(m.Index, n.log.stable)
		}
	}
	return messages
}

// AdvanceUnsaved reports to the node that r's messages were sent as Unsaved
// returned them and its entries applied, but that nothing of it is stored. The
// next Ready has to be stored too.
func (n *Node) AdvanceUnsaved(r Ready) {
	if len(r.Committed) > 0 {
		n.applied = max(n.applied, r.Committed[len(r.Committed)-1].Index)
	}
}

// Compact makes data, the state machine's state at the applied index, the new
// snapshot and drops older entries. The last ones stay for followers that are slightly
// behind, at most keepEntries with keepBytes of data. It returns the snapshot to store.
func (n *Node) Compact(data []byte, keepEntries uint64, keepBytes int) (Snapshot, error) {
	config, _, err := n.log.config(n.applied)
	if err != nil {
		return Snapshot{}, err
	}
	term, ok := n.log.term(n.applied)
	if !ok || n.applied == 0 {
		return Snapshot{}, errors.Errorf("the log can't be compacted: it has no applied entry at index %d", n.applied)
	}
	s := Snapshot{Index: n.applied, Term: term, Config: config, Data: data}
	// Entries that aren't stored yet stay: the log on disk must have no gap.
	n.log.compact(s, min(s.Index-n.log.trailing(s.Index, keepEntries, keepBytes), n.log.stable))
	return s, nil
}

// Entries returns the entries that are still in the log.
func (n *Node) Entries() []Entry { return n.log.entries }

// useLatestConfig makes the latest configuration in the log the current one,
// committed or not.
func (n *Node) useLatestConfig() error {
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
		m.Term = n.hardState.Term
	}
	n.messages = append(n.messages, m)
}

func (n *Node) resetElectionTimeout() {
	n.electionElapsed = 0
	n.electionTimeout = n.options.ElectionTicks + n.options.Random(n.options.ElectionTicks)
}

// State returns the term and vote.
func (n *Node) State() HardState { return n.hardState }
