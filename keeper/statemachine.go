// Package keeper implements the keepers: the nodes that agree on the cluster's
// durable state and store it. That state is the accepted documents, the claims
// of idempotent calls, the newest configuration and the recorded usage windows.
// A Keeper replicates commands by consensus, writes them to its journal and
// applies them to a state machine; a Client on any node sends commands to the
// keeper that leads. Voters decide on the log; a learner receives it until it
// may replace a voter.
package keeper

import (
	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/claim"
	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/consensus"
	"github.com/hyssopladder/hyssopladder/document"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/service"
	"github.com/hyssopladder/hyssopladder/usage"
)

// Command is one entry of the log. Exactly one field is set. Every command of a
// Client may be repeated: the state machine recognises a change by its ID, a
// claim by its owner, and a configuration or usage window by its number. A
// claim.Advance, which the leader appends once, is not recognised.
type Command struct {
	Change *document.Change `json:"d,omitempty"`
	Claim  *claim.Command   `json:"c,omitempty"`
	Put    *config.Put      `json:"p,omitempty"`
	Usage  *usage.Window    `json:"u,omitempty"`
}

// Check verifies a decoded command.
func (c *Command) Check() error {
	var commands []wire.Checker
	if c.Change != nil {
		commands = append(commands, c.Change)
	}
	if c.Claim != nil {
		commands = append(commands, c.Claim)
	}
	if c.Put != nil {
		commands = append(commands, c.Put)
	}
	if c.Usage != nil {
		commands = append(commands, c.Usage)
	}
	if len(commands) != 1 {
		return errors.New("command must set exactly one field")
	}
	return commands[0].Check()
}

// Reply is the outcome of a command.
type Reply struct {
	// NotLeader says that this keeper didn't accept the command, or doesn't know
	// its outcome; the command may be sent again.
	NotLeader bool `json:"n,omitempty"`
	// Leader is the keeper to send the command to instead, if one is known.
	Leader consensus.ID `json:"l,omitempty"`
	// Code and Detail say why the keeper accepts no commands.
	Code   result.Code     `json:"e,omitempty"`
	Detail string          `json:"t,omitempty"`
	Change *document.Reply `json:"d,omitempty"`
	Claim  *claim.Reply    `json:"c,omitempty"`
	Put    config.Outcome  `json:"p,omitempty"`
	// Usage is the window as recorded. It differs from the command's if another
	// was recorded first.
	Usage *usage.Window `json:"u,omitempty"`
}

// Check verifies a decoded reply.
func (r *Reply) Check() error { return nil }

// Batch carries consensus messages to one keeper.
type Batch struct {
	// Cluster is the sender's. A keeper drops messages of other clusters; one
	// that belongs to no cluster joins the sender's.
	Cluster  uint64              `json:"c"`
	Messages []consensus.Message `json:"m"`
}

// Check verifies a decoded batch.
func (b *Batch) Check() error {
	if b.Cluster == 0 {
		return errors.New("batch has no cluster")
	}
	for i := range b.Messages {
		if err := b.Messages[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// stateMachine holds the state that the entries of the log build up.
type stateMachine struct {
	documents *document.Store
	claims    *claim.Registry
	configs   *config.Store
	usage     *usage.Ledger
}

func newStateMachine() *stateMachine {
	return &stateMachine{documents: document.New(), claims: claim.New(), configs: config.NewStore(), usage: usage.NewLedger()}
}

// apply applies an entry. If a document came into force by it, apply returns
// that too.
func (m *stateMachine) apply(e consensus.Entry) (Reply, *service.Accepted, error) {
	if e.Kind != consensus.Command {
		return Reply{}, nil, nil
	}
	var c Command
	if err := wire.Decode(e.Data, &c); err != nil {
		return Reply{}, nil, errors.Wrapf(err, "entry %d", e.Index)
	}
	switch {
	case c.Change != nil:
		reply, accepted := m.documents.Apply(*c.Change)
		return Reply{Change: &reply}, accepted, nil
	case c.Put != nil:
		return Reply{Put: m.configs.Apply(*c.Put)}, nil, nil
	case c.Usage != nil:
		recorded := m.usage.Apply(*c.Usage)
		return Reply{Usage: &recorded}, nil, nil
	default:
		reply := m.claims.Apply(*c.Claim)
		return Reply{Claim: &reply}, nil, nil
	}
}

// machineSnapshot is the encoded form of a stateMachine in a snapshot.
type machineSnapshot struct {
	Documents []byte `json:"d"`
	Claims    []byte `json:"c"`
	Configs   []byte `json:"f,omitempty"`
	Usage     []byte `json:"u,omitempty"`
}

// Check verifies a decoded snapshot.
func (s *machineSnapshot) Check() error { return nil }

func (m *stateMachine) snapshot() ([]byte, error) {
	documents, err := m.documents.Snapshot()
	if err != nil {
		return nil, err
	}
	claims, err := m.claims.Snapshot()
	if err != nil {
		return nil, err
	}
	configs, err := m.configs.Snapshot()
	if err != nil {
		return nil, err
	}
	ledger, err := m.usage.Snapshot()
	if err != nil {
		return nil, err
	}
	return wire.Encode(&machineSnapshot{documents, claims, configs, ledger})
}

func (m *stateMachine) restore(data []byte) error {
	var s machineSnapshot
	if err := wire.DecodeState(data, &s); err != nil {
		return err
	}
	if err := m.documents.Restore(s.Documents); err != nil {
		return err
	}
	if err := m.claims.Restore(s.Claims); err != nil {
		return err
	}
	if len(s.Configs) > 0 {
		if err := m.configs.Restore(s.Configs); err != nil {
			return err
		}
	}
	if len(s.Usage) > 0 {
		return m.usage.Restore(s.Usage)
	}
	return nil
}
