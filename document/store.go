// Package document holds the accepted documents as a deterministic state
// machine: writes are compare-and-set on a document's revision, and a write
// that is sent again gets its first answer. It is pure.
package document

import (
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/service"
)

// MaxChanges is the number of changes whose answers are remembered. A change
// that is sent again later than that is judged anew by its revision.
const MaxChanges = 20000

// maxChangeID bounds a change's ID, in bytes.
const maxChangeID = 128

// Change is an operator's write.
type Change struct {
	// ID identifies the change across resends.
	ID string `json:"id"`
	// Expected is the revision that the writer saw; 0 means that there was
	// no document.
	Expected uint64 `json:"expected"`
	// Any writes over whatever revision there is.
	Any      bool             `json:"any,omitempty"`
	Document service.Document `json:"document"`
}

// Check verifies a decoded change.
func (c *Change) Check() error {
	if c.ID == "" || len(c.ID) > maxChangeID {
		return errors.Errorf("change ID of %d bytes, want 1 to %d", len(c.ID), maxChangeID)
	}
	return c.Document.Check()
}

// sum identifies what the change asks for.
func (c *Change) sum() uint64 {
	return xxhash.Sum64(wire.MustEncode(c))
}

// Reply is the answer to a change.
type Reply struct {
	// Code is 0 for an accepted change.
	Code result.Code `json:"code,omitempty"`
	// Revision is that of the accepted document, or the one in force after a
	// conflict.
	Revision uint64 `json:"revision"`
}

// Store is the state machine. It isn't safe for concurrent use.
type Store struct {
	state state
}

// state is the part of a store that snapshots carry.
type state struct {
	// Head is the highest revision that was given out.
	Head      uint64                      `json:"head"`
	Documents map[string]service.Accepted `json:"documents"`
	Answers   map[string]answer           `json:"answers"`
	// Order lists the change IDs from the oldest on.
	Order []string `json:"order"`
}

type answer struct {
	Sum   uint64 `json:"s"`
	Reply Reply  `json:"r"`
}

// New returns an empty store.
func New() *Store {
	return &Store{state: state{
		Documents: map[string]service.Accepted{},
		Answers:   map[string]answer{},
	}}
}

// Apply carries out a change and returns its answer. The document that came
// into force is returned too, if one did.
func (s *Store) Apply(c Change) (Reply, *service.Accepted) {
	sum := c.sum()
	if first, ok := s.state.Answers[c.ID]; ok {
		if first.Sum != sum {
			return Reply{Code: result.ChangeReused, Revision: s.state.Documents[c.Document.Name].Revision}, nil
		}
		return first.Reply, nil
	}
	held := s.state.Documents[c.Document.Name]
	if !c.Any && c.Expected != held.Revision {
		return s.remember(c.ID, sum, Reply{Code: result.RevisionConflict, Revision: held.Revision}), nil
	}
	s.state.Head++
	accepted := service.Accepted{Revision: s.state.Head, Document: c.Document}
	s.state.Documents[c.Document.Name] = accepted
	return s.remember(c.ID, sum, Reply{Revision: accepted.Revision}), &accepted
}

func (s *Store) remember(id string, sum uint64, r Reply) Reply {
	s.state.Answers[id] = answer{Sum: sum, Reply: r}
	s.state.Order = append(s.state.Order, id)
	if len(s.state.Order) > MaxChanges {
		delete(s.state.Answers, s.state.Order[0])
		s.state.Order = s.state.Order[1:]
	}
	return r
}

// Get returns a document.
func (s *Store) Get(name string) (service.Accepted, bool) {
	a, ok := s.state.Documents[name]
	return a, ok
}

// All returns the documents in order of name.
func (s *Store) All() []service.Accepted {
	all := make([]service.Accepted, 0, len(s.state.Documents))
	for _, a := range s.state.Documents {
		all = append(all, a)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Document.Name < all[j].Document.Name })
	return all
}

// Snapshot returns the encoded state.
func (s *Store) Snapshot() ([]byte, error) { return wire.Encode(&s.state) }

// Restore replaces the state by a snapshot.
func (s *Store) Restore(data []byte) error {
	next := New().state
	if err := wire.Decode(data, &next); err != nil {
		return errors.Wrap(err, "documents")
	}
	s.state = next
	return nil
}

// Check verifies a decoded state.
func (s *state) Check() error {
	if len(s.Order) != len(s.Answers) {
		return errors.Errorf("%d answers in an order of %d", len(s.Answers), len(s.Order))
	}
	for name, a := range s.Documents {
		if name != a.Document.Name || a.Revision > s.Head {
			return errors.Errorf("document %q with revision %d of %d", name, a.Revision, s.Head)
		}
	}
	return nil
}
