package consensus

// StartReadRound starts a read round: heartbeats by which the node confirms
// that it still leads, so that it may answer reads (Raft's ReadIndex). It
// returns the number of the round, and the index up to which the state machine
// has to be applied before reads that began before the round are answered. It
// reports false unless the node leads and knows the commit index.
func (n *Node) StartReadRound() (round, index uint64, ok bool) {
	if !n.IsLeader() || n.err != nil {
		return 0, 0, false
	}
	n.readRound++
	n.broadcast(true)
	return n.readRound, n.commit, true
}

// ConfirmedReadRound returns the latest read round that a quorum has answered.
func (n *Node) ConfirmedReadRound() uint64 {
	if n.role != Leader {
		return 0
	}
	return n.config.quorumIndex(func(id ID) uint64 {
		if id == n.options.ID {
			return n.readRound
		}
		if p := n.progress[id]; p != nil {
			return p.readRound
		}
		return 0
	})
}
