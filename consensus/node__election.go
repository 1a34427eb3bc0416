package consensus

// Tick moves the node's time on by one.
func (n *Node) Tick() {
	if n.err != nil {
		return
	}
	n.elapsed++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.elapsed >= n.timeout && n.mayCampaign() {
		n.campaign(PreVote, false)
	}
}

// Expedite lets a node that follows nobody campaign soon: the other members
// have only now come into reach.
func (n *Node) Expedite() {
	if n.role == Follower && n.leader == None {
		n.elapsed = max(n.elapsed, n.timeout-n.options.Random(n.options.HeartbeatTicks+1))
	}
}

// mayCampaign reports whether the node is a voter, or was one before a
// configuration that may not be committed: only a node that is being removed
// may hold the entry that removes it.
func (n *Node) mayCampaign() bool {
	if n.config.IsVoter(n.options.ID) {
		return true
	}
	if n.configIndex <= n.commit {
		return false
	}
	before, _, err := n.log.config(n.configIndex - 1)
	return err == nil && before.IsVoter(n.options.ID)
}

func (n *Node) tickLeader() {
	for _, p := range n.progress {
		if p.installing > 0 {
			p.installing--
		}
	}
	if n.elapsed >= n.options.ElectionTicks {
		n.elapsed = 0
		n.transfer = None
		if !n.quorumActive() {
			n.becomeFollower(n.state.Term, None)
			return
		}
	}
	if n.beat++; n.beat >= n.options.HeartbeatTicks {
		n.beat = 0
		n.broadcast(true)
	}
}

// quorumActive reports whether a quorum answered since the last check.
func (n *Node) quorumActive() bool {
	active := n.config.quorum(func(id ID) bool {
		p := n.progress[id]
		return id == n.options.ID || (p != nil && p.active)
	})
	for _, p := range n.progress {
		p.active = false
	}
	return active
}

func (n *Node) becomeFollower(term uint64, leader ID) {
	if term > n.state.Term {
		n.state = HardState{Term: term}
	}
	n.role = Follower
	n.leader = leader
	n.transfer = None
	n.progress = nil
	n.resetTimeout()
}

// campaign starts a pre-vote, or the vote itself.
func (n *Node) campaign(kind MessageKind, force bool) {
	n.leader = None
	n.resetTimeout()
	n.votes = map[ID]bool{n.options.ID: true}
	term := n.state.Term + 1
	if kind == PreVote {
		n.role = PreCandidate
	} else {
		n.role = Candidate
		n.state = HardState{Term: term, Vote: n.options.ID}
	}
	for _, id := range n.config.Members() {
		if id != n.options.ID && n.config.IsVoter(id) {
			n.send(Message{Kind: kind, To: id, Term: term, Index: n.log.last(), LogTerm: n.log.lastTerm(), Force: force})
		}
	}
	n.countVotes()
}

func (n *Node) countVotes() {
	won := n.config.quorum(func(id ID) bool { return n.votes[id] })
	lost := n.config.quorum(func(id ID) bool {
		granted, answered := n.votes[id]
		return answered && !granted
	})
	switch {
	case won && n.role == PreCandidate:
		n.campaign(Vote, false)
	case won && n.role == Candidate:
		n.becomeLeader()
	case lost:
		n.becomeFollower(n.state.Term, None)
	}
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.options.ID
	n.elapsed, n.beat = 0, 0
	n.progress = map[ID]*progress{}
	n.trackMembers()
	n.progress[n.options.ID].match = n.log.stable
	n.appendEntry(Noop, nil)
}

// trackMembers adds progress for new members and drops that of removed ones.
func (n *Node) trackMembers() {
	next := map[ID]*progress{}
	for _, id := range append(n.config.Members(), n.options.ID) {
		if p, ok := n.progress[id]; ok {
			next[id] = p
		} else {
			next[id] = &progress{next: n.log.last() + 1, active: true}
		}
	}
	n.progress = next
}

// Transfer hands the lead to the follower that is furthest, so that a planned
// stop of the leader costs no election timeout.
func (n *Node) Transfer() {
	if n.role != Leader {
		return
	}
	best := None
	for _, id := range n.config.Voters {
		p := n.progress[id]
		if id != n.options.ID && p.active && (best == None || p.match > n.progress[best].match) {
			best = id
		}
	}
	if best == None {
		return
	}
	n.transfer = best
	n.elapsed = 0
	n.maybeTimeoutNow(best)
}

func (n *Node) maybeTimeoutNow(id ID) {
	if n.transfer == id && n.progress[id].match == n.log.last() {
		n.send(Message{Kind: TimeoutNow, To: id})
	}
}

// handleVote answers a vote or pre-vote.
func (n *Node) handleVote(m Message) {
	upToDate := m.LogTerm > n.log.lastTerm() || (m.LogTerm == n.log.lastTerm() && m.Index >= n.log.last())
	if m.Kind == PreVote {
		grant := upToDate && m.Term > n.state.Term && !n.goesFirst(m)
		term := n.state.Term
		if grant {
			term = m.Term
		}
		n.send(Message{Kind: PreVoteReply, To: m.From, Term: max(term, 1), Reject: !grant})
		return
	}
	grant := upToDate && (n.state.Vote == None || n.state.Vote == m.From) && n.role == Follower
	if grant {
		n.state.Vote = m.From
		n.resetTimeout()
	}
	n.send(Message{Kind: VoteReply, To: m.From, Reject: !grant})
}

// goesFirst reports whether this node has just begun a pre-vote of its own and
// comes before the one that asks: of two with equal logs that campaign together
// the lower one goes on. It gives way after a moment, since it may reach too
// few.
func (n *Node) goesFirst(m Message) bool {
	return n.role == PreCandidate && n.elapsed < n.options.HeartbeatTicks && n.options.ID < m.From &&
		m.LogTerm == n.log.lastTerm() && m.Index == n.log.last()
}

func (n *Node) handleVoteReply(m Message) {
	wanted := Candidate
	if m.Kind == PreVoteReply {
		wanted = PreCandidate
	}
	if n.role != wanted {
		return
	}
	if m.Kind == PreVoteReply && !m.Reject && m.Term != n.state.Term+1 {
		return
	}
	if _, answered := n.votes[m.From]; !answered {
		n.votes[m.From] = !m.Reject
	}
	n.countVotes()
}
