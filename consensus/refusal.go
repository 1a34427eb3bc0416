package consensus

// Reason says why a node refused a vote.
type Reason string

// The reasons.
const (
	// LeaderAlive means that the node leads or hears from a leader.
	LeaderAlive Reason = "leaderAlive"
	// OldTerm means that the candidate's term is lower than the node's.
	OldTerm Reason = "oldTerm"
	// LogBehind means that the candidate lacks entries.
	LogBehind Reason = "logBehind"
	// Voted means that the node has voted for another, or campaigns itself.
	Voted Reason = "voted"
	// Tied means that two nodes campaign at once, and this one goes first.
	Tied Reason = "tied"
)

// Refusal is a vote, or a pre-vote, that was refused.
type Refusal struct {
	Kind      MessageKind
	Candidate ID
	Term      uint64
	Reason    Reason
}

// maxRefusals bounds the refusals that nobody has taken.
const maxRefusals = 64

func (n *Node) refuse(m Message, reason Reason) {
	if len(n.refusals) < maxRefusals {
		n.refusals = append(n.refusals, Refusal{Kind: m.Kind, Candidate: m.From, Term: m.Term, Reason: reason})
	}
}

// TakeRefusals returns the votes that were refused since the last call.
func (n *Node) TakeRefusals() []Refusal {
	taken := n.refusals
	n.refusals = nil
	return taken
}
