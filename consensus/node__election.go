package consensus

// Tick advances the node's time by one tick.
func (n *Node) Tick() {
	if n.err != nil {
		return
	}
	n.electionElapsed++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.electionElapsed >= n.electionTimeout && n.mayCampaign() {
		n.campaign(PreVote, false)
	}
}

// CampaignSoon lets a node without a leader campaign within a heartbeat
// interval. The caller uses it when other members have just become reachable.
func (n *Node) CampaignSoon() {
	if n.role == Follower && n.leader == None {
		n.electionElapsed = max(n.electionElapsed, n.electionTimeout-n.options.Random(n.options.HeartbeatTicks+1))
	}
}

// mayCampaign reports whether the node is a voter, or was one before a
// configuration that it doesn't know to be committed: a node that is being
// removed may be the only one that holds the entry that removes it.
func (n *Node) mayCampaign() bool {
	if n.config.IsVoter(n.options.ID) {
		return true
	}
	if n.configIndex <= n.commit {
		return false
	}
	previous, _, err := n.log.config(n.configIndex - 1)
	return err == nil && previous.IsVoter(n.options.ID)
}

func (n *Node) tickLeader() {
	for _, p := range n.progress {
		if p.snapshotTicksLeft > 0 {
			p.snapshotTicksLeft--
		}
	}
	if n.electionElapsed >= n.options.ElectionTicks {
		n.electionElapsed = 0
		if n.transferTarget != None {
			n.failedTarget, n.transferTarget = n.transferTarget, None
		}
		if !n.quorumActive() {
			n.becomeFollower(n.hardState.Term, None)
			return
		}
	}
	if n.heartbeatElapsed++; n.heartbeatElapsed >= n.options.HeartbeatTicks {
		n.heartbeatElapsed = 0
		n.broadcast(true)
	}
}

// quorumActive reports whether a quorum answered since the last check, and
// clears the marks for the next one.
func (n *Node) quorumActive() bool {
	active := n.config.HasQuorum(func(id ID) bool {
		p := n.progress[id]
		return id == n.options.ID || (p != nil && p.recentlyActive)
	})
	for _, p := range n.progress {
		p.recentlyActive = false
	}
	return active
}

func (n *Node) becomeFollower(term uint64, leader ID) {
	if term > n.hardState.Term {
		n.hardState = HardState{Term: term}
	}
	n.role = Follower
	n.leader = leader
	n.transferTarget = None
	n.progress = nil
	n.resetElectionTimeout()
}

// campaign starts a pre-vote or a vote, as kind says. force marks a vote that
// the previous leader asked for by TimeoutNow.
func (n *Node) campaign(kind MessageKind, force bool) {
	n.leader = None
	n.resetElectionTimeout()
	n.votes = map[ID]bool{n.options.ID: true}
	term := n.hardState.Term + 1
	if kind == PreVote {
		n.role = PreCandidate
	} else {
		n.role = Candidate
		n.hardState = HardState{Term: term, Vote: n.options.ID}
	}
	for _, id := range n.config.Members() {
		if id != n.options.ID && n.config.IsVoter(id) {
			n.send(Message{Kind: kind, To: id, Term: term, Index: n.log.last(), LogTerm: n.log.lastTerm(), Force: force})
		}
	}
	n.countVotes()
}

func (n *Node) countVotes() {
	won := n.config.HasQuorum(func(id ID) bool { return n.votes[id] })
	lost := n.config.HasQuorum(func(id ID) bool {
		granted, answered := n.votes[id]
		return answered && !granted
	})
	switch {
	case won && n.role == PreCandidate:
		n.campaign(Vote, false)
	case won && n.role == Candidate:
		n.becomeLeader()
	case lost:
		n.becomeFollower(n.hardState.Term, None)
	}
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.options.ID
	n.electionElapsed, n.heartbeatElapsed = 0, 0
	n.failedTarget = None
	n.progress = map[ID]*progress{}
	n.trackMembers()
	n.progress[n.options.ID].match = n.log.stable
	n.appendEntry(Noop, nil)
}

// trackMembers adds the progress of new members and drops that of removed
// ones.
func (n *Node) trackMembers() {
	next := map[ID]*progress{}
	for _, id := range append(n.config.Members(), n.options.ID) {
		if p, ok := n.progress[id]; ok {
			next[id] = p
		} else {
			next[id] = &progress{next: n.log.last() + 1, recentlyActive: true}
		}
	}
	n.progress = next
}

// TransferLeadership hands the leadership to the active voter with the longest
// log, so that a planned stop of the leader costs no election timeout. A transfer that is
// under way is given up after an election timeout, and the next call picks another voter.
func (n *Node) TransferLeadership() {
	if n.role != Leader || n.transferTarget != None {
		return
	}
	best := None
	for _, id := range n.config.Voters {
		p := n.progress[id]
		if id == n.options.ID || !p.recentlyActive {
			continue
		}
		if best == None || best == n.failedTarget || (id != n.failedTarget && p.match > n.progress[best].match) {
			best = id
		}
	}
	if best == None {
		return
	}
	n.transferTarget = best
	n.electionElapsed = 0
	n.maybeSendTimeoutNow(best)
}

// maybeSendTimeoutNow starts the election of the transfer target once it holds
// the whole log.
func (n *Node) maybeSendTimeoutNow(id ID) {
	if n.transferTarget == id && n.progress[id].match == n.log.last() {
		n.send(Message{Kind: TimeoutNow, To: id})
	}
}

// handleVote answers a vote or pre-vote request.
func (n *Node) handleVote(m Message) {
	upToDate := m.LogTerm > n.log.lastTerm() || (m.LogTerm == n.log.lastTerm() && m.Index >= n.log.last())
	if m.Kind == PreVote {
		grant := upToDate && m.Term > n.hardState.Term && !n.winsPreVoteTie(m)
		term := n.hardState.Term
		switch {
		case grant:
			term = m.Term
		case !upToDate:
			n.refuse(m, LogBehind)
		case m.Term <= n.hardState.Term:
			n.refuse(m, OldTerm)
		default:
			n.refuse(m, Tied)
		}
		n.send(Message{Kind: PreVoteReply, To: m.From, Term: max(term, 1), Reject: !grant})
		return
	}
	grant := upToDate && (n.hardState.Vote == None || n.hardState.Vote == m.From) && n.role == Follower
	switch {
	case grant:
		n.hardState.Vote = m.From
		n.resetElectionTimeout()
	case !upToDate:
		n.refuse(m, LogBehind)
	default:
		n.refuse(m, Voted)
	}
	n.send(Message{Kind: VoteReply, To: m.From, Reject: !grant})
}

// winsPreVoteTie reports whether this node has just started a pre-vote and
// refuses the sender's: of two nodes with equal logs that campaign together,
// the one with the lower ID continues. It refuses for a heartbeat interval
// only, since it may not reach a majority itself.
func (n *Node) winsPreVoteTie(m Message) bool {
	return n.role == PreCandidate && n.electionElapsed < n.options.HeartbeatTicks && n.options.ID < m.From &&
		m.LogTerm == n.log.lastTerm() && m.Index == n.log.last()
}

func (n *Node) handleVoteReply(m Message) {
	expectedRole := Candidate
	if m.Kind == PreVoteReply {
		expectedRole = PreCandidate
	}
	if n.role != expectedRole {
		return
	}
	if m.Kind == PreVoteReply && !m.Reject && m.Term != n.hardState.Term+1 {
		return
	}
	if _, answered := n.votes[m.From]; !answered {
		n.votes[m.From] = !m.Reject
	}
	n.countVotes()
}
