// Package keeper hosts the replicated log on a disk: the accepted documents
// and the claims, with the commands that change them.
package keeper

import (
	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/claim"
	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/consensus"
	"github.com/hyssopladder/hyssopladder/document"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/service"
)

// Command is one entry of the log. Exactly one part is set. Each part may be
// sent again without harm: changes carry an ID, claims an owner.
type Command struct {
	Change *document.Change `json:"d,omitempty"`
	Claim  *claim.Command   `json:"c,omitempty"`
}

// Check verifies a decoded command.
func (c *Command) Check() error {
	switch {
	case c.Change != nil && c.Claim == nil:
		return c.Change.Check()
	case c.Claim != nil && c.Change == nil:
		return c.Claim.Check()
	default:
		return errors.New("command: exactly one part is needed")
	}
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
}

func newMachine() *machine {
	return &machine{documents: document.New(), claims: claim.New()}
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
	if c.Change != nil {
		reply, accepted := m.documents.Apply(*c.Change)
		return Reply{Change: &reply}, accepted, nil
	}
	reply := m.claims.Apply(*c.Claim)
	return Reply{Claim: &reply}, nil, nil
}

// savedMachine is the state as snapshots carry it.
type savedMachine struct {
	Documents []byte `json:"d"`
	Claims    []byte `json:"c"`
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
	return wire.Encode(&savedMachine{documents, claims})
}

func (m *machine) restore(data []byte) error {
	var s savedMachine
	if err := wire.Decode(data, &s); err != nil {
		return err
	}
	if err := m.documents.Restore(s.Documents); err != nil {
		return err
	}
	return m.claims.Restore(s.Claims)
}
