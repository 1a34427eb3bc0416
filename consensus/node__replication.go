package consensus

import "github.com/pkg/errors"

// installTimeouts is the number of election timeouts for which a leader waits
// for a member to install a snapshot.
const installTimeouts = 5

// Step processes a received message.
func (n *Node) Step(m Message) {
	if n.err != nil || m.To != n.options.ID {
		return
	}
	if !n.checkTerm(m) {
		return
	}
	switch m.Kind {
	case PreVote, Vote:
		n.handleVote(m)
	case PreVoteReply, VoteReply:
		n.handleVoteReply(m)
	case Append:
		n.handleAppend(m)
	case AppendReply:
		n.handleAppendReply(m)
	case InstallSnapshot:
		n.handleSnapshot(m)
	case TimeoutNow:
		if n.role == Follower && n.config.IsVoter(n.options.ID) {
			n.campaign(Vote, true)
		}
	}
}

// checkTerm handles a difference between the term of the message and that of
// the node, and reports whether to process the message.
func (n *Node) checkTerm(m Message) bool {
	switch {
	case m.Term > n.hardState.Term:
		if (m.Kind == Vote || m.Kind == PreVote) && !m.Force && n.leader != None && n.electionElapsed < n.options.ElectionTicks {
			// This node leads, or was in contact with its leader within the
			// election timeout, so it ignores the candidate.
			n.refuse(m, LeaderAlive)
			return false
		}
		if m.Kind == PreVote || (m.Kind == PreVoteReply && !m.Reject) {
			return true
		}
		leader := None
		if m.Kind == Append || m.Kind == InstallSnapshot {
			leader = m.From
		}
		n.becomeFollower(m.Term, leader)
		return true
	case m.Term < n.hardState.Term:
		switch m.Kind {
		case Append, InstallSnapshot:
			// Tells a leader of an older term to step down.
			n.send(Message{Kind: AppendReply, To: m.From, Index: m.Index, Reject: true, Hint: n.log.last()})
		case PreVote:
			n.refuse(m, OldTerm)
			n.send(Message{Kind: PreVoteReply, To: m.From, Reject: true})
		default:
		}
		return false
	default:
		return true
	}
}

// follow records a message from the leader of the current term.
func (n *Node) follow(leader ID) {
	if n.role != Follower {
		n.becomeFollower(n.hardState.Term, leader)
	}
	n.leader = leader
	n.electionElapsed = 0
}

func (n *Node) handleAppend(m Message) {
	if n.role == Leader {
		n.fail("two leaders in term %d", m.Term)
		return
	}
	n.follow(m.From)
	if m.Index < n.commit {
		// Committed entries are known to match those of the leader.
		n.send(Message{Kind: AppendReply, To: m.From, Index: n.commit, Round: m.Round})
		return
	}
	if !n.log.matches(m.Index, m.LogTerm) {
		hint := min(m.Index, n.log.last())
		for hint > n.commit {
			if term, ok := n.log.term(hint); ok && term <= m.LogTerm {
				break
			}
			hint--
		}
		n.send(Message{Kind: AppendReply, To: m.From, Index: m.Index, Reject: true, Hint: hint, Round: m.Round})
		return
	}
	if droppedFrom := n.log.append(m.Entries); droppedFrom > 0 && droppedFrom <= n.commit {
		n.fail("committed entry %d conflicts with the leader's log", droppedFrom)
		return
	}
	last := m.Index + uint64(len(m.Entries))
	if len(m.Entries) > 0 {
		if err := n.useLatestConfig(); err != nil {
			n.err = err
			return
		}
	}
	n.commit = max(n.commit, min(m.Commit, last))
	n.send(Message{Kind: AppendReply, To: m.From, Index: last, Round: m.Round})
}

func (n *Node) handleSnapshot(m Message) {
	if n.role == Leader {
		n.fail("two leaders in term %d", m.Term)
		return
	}
	n.follow(m.From)
	s := *m.Snapshot
	if s.Index <= n.commit {
		n.send(Message{Kind: AppendReply, To: m.From, Index: n.commit})
		return
	}
	if n.log.matches(s.Index, s.Term) {
		// The log holds the entries that the snapshot covers. Later entries stay,
		// since this node may have acknowledged them.
		n.commit = s.Index
		n.send(Message{Kind: AppendReply, To: m.From, Index: s.Index})
		return
	}
	n.log.reset(s)
	n.pendingSnapshot = &s
	n.commit, n.applied = s.Index, s.Index
	n.config, n.configIndex = s.Config, s.Index
	n.send(Message{Kind: AppendReply, To: m.From, Index: s.Index})
}

func (n *Node) fail(format string, args ...any) { n.err = errors.Wrapf(ErrDamaged, format, args...) }

// broadcast sends appends to all other members; as a heartbeat, also empty
// ones.
func (n *Node) broadcast(heartbeat bool) {
	for _, id := range n.config.Members() {
		if id != n.options.ID {
			n.sendAppend(id, heartbeat)
		}
	}
}

// sendAppend sends the entries that the member lacks, or a snapshot if the log
// no longer holds them. If nothing is missing, it sends an empty append only
// if allowEmpty is set: as a heartbeat, or to report a new commit index.
func (n *Node) sendAppend(to ID, allowEmpty bool) {
	p := n.progress[to]
	if p.snapshotTicksLeft > 0 {
		if allowEmpty {
			// A heartbeat at an index that the member holds isn't rejected, and
			// keeps the member from campaigning.
			n.sendEntries(to, p.match, nil)
		}
		return
	}
	prev := p.next - 1
	if prev < n.log.baseIndex {
		p.snapshotTicksLeft = installTimeouts * n.options.ElectionTicks
		p.next = n.log.snapshot.Index + 1
		s := n.log.snapshot
		n.send(Message{Kind: InstallSnapshot, To: to, Snapshot: &s})
		return
	}
	entries := n.log.slice(p.next, n.log.last(), n.options.MaxAppendBytes)
	if len(entries) == 0 && !allowEmpty {
		return
	}
	p.next += uint64(len(entries))
	n.sendEntries(to, prev, entries)
}

func (n *Node) sendEntries(to ID, prev uint64, entries []Entry) {
	term, ok := n.log.term(prev)
	if !ok {
		term = 0
		prev = 0
	}
	n.send(Message{Kind: Append, To: to, Index: prev, LogTerm: term, Commit: n.commit, Entries: entries, Round: n.readRound})
}

func (n *Node) handleAppendReply(m Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.recentlyActive = true
	p.readRound = max(p.readRound, m.Round)
	if m.Reject {
		n.handleAppendRejection(m, p)
		return
	}
	if m.Index > n.log.last() {
		return
	}
	if p.snapshotTicksLeft > 0 && m.Index >= n.log.snapshot.Index {
		p.snapshotTicksLeft = 0
	}
	advanced := m.Index > p.match
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	if advanced {
		n.maybeCommit()
		if n.role != Leader || n.progress[m.From] == nil {
			return
		}
	}
	n.sendAppend(m.From, false)
	n.maybeSendTimeoutNow(m.From)
}

func (n *Node) handleAppendRejection(m Message, p *progress) {
	if m.Index <= p.match || p.snapshotTicksLeft > 0 {
		return
	}
	p.next = max(min(m.Index, m.Hint+1), p.match+1)
	n.sendAppend(m.From, true)
}

// maybeCommit advances the commit index to the last entry that a quorum holds,
// if that entry is of the current term.
func (n *Node) maybeCommit() {
	index := n.config.quorumIndex(func(id ID) uint64 {
		if p := n.progress[id]; p != nil {
			return p.match
		}
		return 0
	})
	if index <= n.commit || !n.log.matches(index, n.hardState.Term) {
		return
	}
	n.commit = index
	n.afterCommit()
}

// afterCommit completes a joint configuration once it is committed, steps down
// if this node is no longer a voter, and sends out the commit index.
func (n *Node) afterCommit() {
	if n.commit >= n.configIndex {
		if n.config.Joint() {
			n.appendConfig(Config{Voters: n.config.Voters, Learners: n.config.Learners})
		} else if !n.config.IsVoter(n.options.ID) {
			n.broadcast(true)
			n.becomeFollower(n.hardState.Term, None)
			return
		}
	}
	n.broadcast(true)
}
