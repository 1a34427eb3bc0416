package consensus

// AskRound starts a question to all members whether this node still leads. It
// returns the question's number, and the index up to which the state machine
// has to be applied before a read that began earlier may be answered. It
// reports false unless the node leads and knows the commit index.
func (n *Node) AskRound() (round, index uint64, ok bool) {
	if !n.IsLeader() || n.err != nil {
		return 0, 0, false
	}
	n.round++
	n.broadcast(true)
	return n.round, n.commit, true
}

// ConfirmedRound is the newest question that a quorum has answered.
func (n *Node) ConfirmedRound() uint64 {
	if n.role != Leader {
		return 0
	}
	return n.config.matched(func(id ID) uint64 {
		if id == n.options.ID {
			return n.round
		}
		if p := n.progress[id]; p != nil {
			return p.round
		}
		return 0
	})
}
