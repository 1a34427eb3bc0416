// Package keeper implements the keepers: the nodes that agree on the cluster's
// durable state and store it. That state is the accepted documents, the claims
// of idempotent calls, the newest configuration, the recorded usage windows and
// the rollouts.
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
	"github.com/hyssopladder/hyssopladder/level"
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
	// Level raises the level in force; only the leader appends it.
	Level *RaiseLevel `json:"l,omitempty"`
	// Later is a command above level 0.
	Later *LaterCommand `json:"x,omitempty"`
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
	if c.Level != nil {
		commands = append(commands, c.Level)
	}
	if c.Later != nil {
		commands = append(commands, c.Later)
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
	// Later is the reply of a command above level 0.
	Later []byte `json:"x,omitempty"`
}

// Check verifies a decoded reply.
func (r *Reply) Check() error { return nil }

// Batch carries consensus messages to one keeper.
type Batch struct {
	// Cluster is the sender's. A keeper drops messages of other clusters; one
	// that belongs to no cluster joins the sender's. It is 0 in batches above level
	// 0, so that builds that know no levels refuse them whole.
	Cluster  uint64              `json:"c"`
	Messages []consensus.Message `json:"m"`
	// Level is that of the sender's log, Reads the highest that the sender reads, and
	// LevelCluster its cluster if Level is above 0.
	Level        level.Level `json:"v,omitempty"`
	Reads        level.Level `json:"r,omitempty"`
	LevelCluster uint64      `json:"w,omitempty"`
}

func newBatch(cluster uint64, of, reads level.Level, messages []consensus.Message) Batch {
	b := Batch{Cluster: cluster, Messages: messages, Level: of, Reads: reads}
	if of > 0 {
		b.Cluster, b.LevelCluster = 0, cluster
	}
	return b
}

// cluster returns the sender's cluster.
func (b *Batch) cluster() uint64 {
	if b.Level > 0 {
		return b.LevelCluster
	}
	return b.Cluster
}

// Check verifies a decoded batch.
func (b *Batch) Check() error {
	if b.cluster() == 0 {
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
	// level is in force, and reads the highest that this keeper reads.
	level, reads level.Level
	// later is the state above level 0; nil if the keeper reads no more.
	later Later
	// restored counts the snapshots that were restored.
	restored int
}

func newStateMachine(later Later) *stateMachine {
	m := &stateMachine{documents: document.New(), claims: claim.New(), configs: config.NewStore(), usage: usage.NewLedger(), reads: level.Highest, later: later}
	if later != nil {
		m.reads = later.Reads()
	}
	return m
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
	case c.Level != nil:
		return Reply{}, nil, m.raise(c.Level.To)
	case c.Later != nil:
		reply, err := m.applyLater(*c.Later)
		return reply, nil, err
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
	data, err := wire.Encode(&machineSnapshot{documents, claims, configs, ledger})
	if err != nil || m.level == 0 {
		return data, err
	}
	return m.snapshotAboveZero(data)
}

func (m *stateMachine) restore(data []byte) error {
	m.restored++
	data, err := m.restoreAboveZero(data)
	if err != nil {
		return err
	}
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
