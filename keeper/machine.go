// Package keeper hosts the replicated log on a disk: the accepted documents
// and the claims, with the commands that change them.
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

// Command is one entry of the log. Exactly one part is set. Each part may be
// sent again without harm: changes carry an ID, claims an owner.
type Command struct {
	Change *document.Change `json:"d,omitempty"`
	Claim  *claim.Command   `json:"c,omitempty"`
	Put    *config.Put      `json:"p,omitempty"`
	Usage  *usage.Window    `json:"u,omitempty"`
}

// Check verifies a decoded command.
func (c *Command) Check() error {
	var parts []wire.Checker
	if c.Change != nil {
		parts = append(parts, c.Change)
	}
	if c.Claim != nil {
		parts = append(parts, c.Claim)
	}
	if c.Put != nil {
		parts = append(parts, c.Put)
	}
	if c.Usage != nil {
		parts = append(parts, c.Usage)
	}
	if len(parts) != 1 {
		return errors.New("command: exactly one part is needed")
	}
	return parts[0].Check()
}

// Reply answers a command.
type Reply struct {
	// NotLeader says that the command was not taken here, or that its outcome
	// isn't known here; it may be sent again.
	NotLeader bool `json:"n,omitempty"`
	// Leader is the keeper to ask instead, if one is known.
	Leader consensus.ID `json:"l,omitempty"`
	// Code and Detail tell why a keeper takes no commands.
	Code   result.Code     `json:"e,omitempty"`
	Detail string          `json:"t,omitempty"`
	Change *document.Reply `json:"d,omitempty"`
	Claim  *claim.Reply    `json:"c,omitempty"`
	Put    config.Outcome  `json:"p,omitempty"`
	// Usage is the window as it is recorded, whichever was asked for.
	Usage *usage.Window `json:"u,omitempty"`
}

// Check verifies a decoded reply.
func (r *Reply) Check() error { return nil }

// Batch carries messages of the log to one keeper.
type Batch struct {
	// Cluster is that of the sender; a keeper takes messages of its own only.
	Cluster  uint64              `json:"c"`
	Messages []consensus.Message `json:"m"`
}

// Check verifies a decoded batch.
func (b *Batch) Check() error {
	if b.Cluster == 0 {
		return errors.New("batch without a cluster")
	}
	for i := range b.Messages {
		if err := b.Messages[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// machine is the state machine that the log feeds.
type machine struct {
	documents *document.Store
	claims    *claim.Registry
	configs   *config.Store
	usage     *usage.Ledger
}

func newMachine() *machine {
	return &machine{documents: document.New(), claims: claim.New(), configs: config.NewStore(), usage: usage.NewLedger()}
}

// apply carries out an entry. The document that came into force is returned,
// if one did.
func (m *machine) apply(e consensus.Entry) (Reply, *service.Accepted, error) {
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

// savedMachine is the state as snapshots carry it.
type savedMachine struct {
	Documents []byte `json:"d"`
	Claims    []byte `json:"c"`
	Configs   []byte `json:"f,omitempty"`
	Usage     []byte `json:"u,omitempty"`
}

// Check verifies a decoded state.
func (s *savedMachine) Check() error { return nil }

func (m *machine) snapshot() ([]byte, error) {
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
	return wire.Encode(&savedMachine{documents, claims, configs, ledger})
}

func (m *machine) restore(data []byte) error {
	var s savedMachine
	if err := wire.Decode(data, &s); err != nil {
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
