// Package document keeps the accepted service documents in a deterministic
// state machine that the keepers replicate. A write is a compare-and-set on
// the document's revision; a write that is sent again gets its first reply.
package document

import (
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/service"
)

// MaxChanges is the number of changes whose replies are kept. A change that is
// resent after more than that counts as new and is checked against the
// revision again.
const MaxChanges = 20000

// maxChangeIDBytes bounds the length of a change's ID.
const maxChangeIDBytes = 128

// Change is a write of a document by an operator.
type Change struct {
	// ID identifies the change; a resent change has the same ID.
	ID string `json:"id"`
	// Expected is the revision that the change replaces; 0 if there is no
	// document yet.
	Expected uint64 `json:"expected"`
	// Any replaces the document whatever its revision.
	Any      bool             `json:"any,omitempty"`
	Document service.Document `json:"document"`
}

// Check validates a decoded change.
func (c *Change) Check() error {
	if c.ID == "" || len(c.ID) > maxChangeIDBytes {
		return errors.Errorf("change ID of %d bytes, want 1 to %d", len(c.ID), maxChangeIDBytes)
	}
	return c.Document.Check()
}

// hash returns a hash of the whole change, which detects the reuse of an ID.
func (c *Change) hash() uint64 {
	return xxhash.Sum64(wire.MustEncode(c))
}

// Reply is the reply to a change.
type Reply struct {
	// Code is 0 for an accepted change.
	Code result.Code `json:"code,omitempty"`
	// Revision is that of the accepted document or, after a conflict, that of
	// the current document.
	Revision uint64 `json:"revision"`
}

// Store is the state machine of all documents. It isn't safe for concurrent
// use.
type Store struct {
	state state
}

// state is the part of a store that is in snapshots.
type state struct {
	// LastRevision is the highest revision that was assigned.
	LastRevision uint64                      `json:"head"`
	Documents    map[string]service.Accepted `json:"documents"`
	Replies      map[string]storedReply      `json:"answers"`
	// ChangeIDs lists the keys of Replies from the oldest on.
	ChangeIDs []string `json:"order"`
}

type storedReply struct {
	ChangeHash uint64 `json:"s"`
	Reply      Reply  `json:"r"`
}

// New returns an empty store.
func New() *Store {
	return &Store{state: state{
		Documents: map[string]service.Accepted{},
		Replies:   map[string]storedReply{},
	}}
}

// Apply executes a change. It returns the reply and, if the change was
// accepted, the new document.
func (s *Store) Apply(c Change) (Reply, *service.Accepted) {
	hash := c.hash()
	if previous, ok := s.state.Replies[c.ID]; ok {
		if previous.ChangeHash != hash {
			return Reply{Code: result.ChangeReused, Revision: s.state.Documents[c.Document.Name].Revision}, nil
		}
		return previous.Reply, nil
	}
	current := s.state.Documents[c.Document.Name]
	if !c.Any && c.Expected != current.Revision {
		return s.storeReply(c.ID, hash, Reply{Code: result.RevisionConflict, Revision: current.Revision}), nil
	}
	s.state.LastRevision++
	accepted := service.Accepted{Revision: s.state.LastRevision, Document: c.Document}
	s.state.Documents[c.Document.Name] = accepted
	return s.storeReply(c.ID, hash, Reply{Revision: accepted.Revision}), &accepted
}

func (s *Store) storeReply(id string, hash uint64, r Reply) Reply {
	s.state.Replies[id] = storedReply{ChangeHash: hash, Reply: r}
	s.state.ChangeIDs = append(s.state.ChangeIDs, id)
	if len(s.state.ChangeIDs) > MaxChanges {
		delete(s.state.Replies, s.state.ChangeIDs[0])
		s.state.ChangeIDs = s.state.ChangeIDs[1:]
	}
	return r
}

// Get returns a document.
func (s *Store) Get(name string) (service.Accepted, bool) {
	a, ok := s.state.Documents[name]
	return a, ok
}

// All returns the documents, sorted by name.
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
	if err := wire.DecodeState(data, &next); err != nil {
		return errors.Wrap(err, "documents")
	}
	s.state = next
	return nil
}

// Check validates a decoded state.
func (s *state) Check() error {
	if len(s.ChangeIDs) != len(s.Replies) {
		return errors.Errorf("%d replies for %d change IDs", len(s.Replies), len(s.ChangeIDs))
	}
	for name, a := range s.Documents {
		if name != a.Document.Name || a.Revision > s.LastRevision {
			return errors.Errorf("document %q is stored under another name, or its revision %d is above %d", name, a.Revision, s.LastRevision)
		}
	}
	return nil
}
