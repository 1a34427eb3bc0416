package consensus

import "github.com/pkg/errors"

// installTicks is the number of election timeouts for which a leader waits for
// a snapshot to be installed.
const installTimeouts = 5

// Step takes in a message.
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

// checkTerm compares the message's term and reports whether to go on.
func (n *Node) checkTerm(m Message) bool {
	switch {
	case m.Term > n.state.Term:
		if (m.Kind == Vote || m.Kind == PreVote) && !m.Force && n.leader != None && n.elapsed < n.options.ElectionTicks {
			// The leader is alive, as far as this node knows.
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
	case m.Term < n.state.Term:
		switch m.Kind {
		case Append, InstallSnapshot:
			// Tells a leader of an older term to step down.
			n.send(Message{Kind: AppendReply, To: m.From, Index: m.Index, Reject: true, Hint: n.log.last()})
		case PreVote:
			n.send(Message{Kind: PreVoteReply, To: m.From, Reject: true})
		default:
		}
		return false
	default:
		return true
	}
}

func (n *Node) follow(leader ID) {
	if n.role != Follower {
		n.becomeFollower(n.state.Term, leader)
	}
	n.leader = leader
	n.elapsed = 0
}

func (n *Node) handleAppend(m Message) {
	if n.role == Leader {
		n.fail("two leaders in term %d", m.Term)
		return
	}
	n.follow(m.From)
	if m.Index < n.commit {
		// The entries up to commit match already.
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
	if dropped := n.log.append(m.Entries); dropped > 0 && dropped <= n.commit {
		n.fail("committed entry %d contradicts the leader", dropped)
		return
	}
	last := m.Index + uint64(len(m.Entries))
	if len(m.Entries) > 0 {
		if err := n.readConfig(); err != nil {
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
		// The log holds what the snapshot sums up. What follows stays, for it
		// may have been acknowledged.
		n.commit = s.Index
		n.send(Message{Kind: AppendReply, To: m.From, Index: s.Index})
		return
	}
	n.log.reset(s)
	n.snapshot = &s
	n.commit, n.applied = s.Index, s.Index
	n.config, n.configIndex = s.Config, s.Index
	n.send(Message{Kind: AppendReply, To: m.From, Index: s.Index})
}

func (n *Node) fail(format string, args ...any) { n.err = errors.Wrapf(ErrDamaged, format, args...) }

// broadcast sends appends to all members; as heartbeats also empty ones.
func (n *Node) broadcast(heartbeat bool) {
	for _, id := range n.config.Members() {
		if id != n.options.ID {
			n.sendAppend(id, heartbeat)
		}
	}
}

// sendAppend sends what the member lacks. An empty message goes out only as a
// heartbeat or to tell a new commit index.
func (n *Node) sendAppend(to ID, empty bool) {
	p := n.progress[to]
	if p.installing > 0 {
		if empty {
			// A heartbeat that can't be rejected keeps the follower.
			n.sendEntries(to, p.match, nil)
		}
		return
	}
	prev := p.next - 1
	if prev < n.log.baseIndex {
		p.installing = installTimeouts * n.options.ElectionTicks
		p.next = n.log.snapshot.Index + 1
		s := n.log.snapshot
		n.send(Message{Kind: InstallSnapshot, To: to, Snapshot: &s})
		return
	}
	entries := n.log.slice(p.next, n.log.last(), n.options.MaxAppendBytes)
	if len(entries) == 0 && !empty {
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
	n.send(Message{Kind: Append, To: to, Index: prev, LogTerm: term, Commit: n.commit, Entries: entries, Round: n.round})
}

func (n *Node) handleAppendReply(m Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.active = true
	p.round = max(p.round, m.Round)
	if m.Reject {
		n.handleReject(m, p)
		return
	}
	if m.Index > n.log.last() {
		return
	}
	if p.installing > 0 && m.Index >= n.log.snapshot.Index {
		p.installing = 0
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
	n.maybeTimeoutNow(m.From)
}

func (n *Node) handleReject(m Message, p *progress) {
	if m.Index <= p.match || p.installing > 0 {
		return
	}
	p.next = max(min(m.Index, m.Hint+1), p.match+1)
	n.sendAppend(m.From, true)
}

// maybeCommit moves the commit index to what a quorum holds, if that entry is
// of this term.
func (n *Node) maybeCommit() {
	index := n.config.matched(func(id ID) uint64 {
		if p := n.progress[id]; p != nil {
			return p.match
		}
		return 0
	})
	if index <= n.commit || !n.log.matches(index, n.state.Term) {
		return
	}
	n.commit = index
	n.afterCommit()
}

// afterCommit leaves a joint configuration once it is committed, steps down
// when this node is no voter any more, and spreads the commit index.
func (n *Node) afterCommit() {
	if n.commit >= n.configIndex {
		if n.config.Joint() {
			n.appendConfig(Config{Voters: n.config.Voters, Learners: n.config.Learners})
		} else if !n.config.IsVoter(n.options.ID) {
			n.broadcast(true)
			n.becomeFollower(n.state.Term, None)
			return
		}
	}
	n.broadcast(true)
}
