package config

import (
	"crypto/sha256"

	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/common/wire"
)

// MaxBody bounds an operator's document, in bytes. It is twice the largest
// body that a published deployment allows its callers.
const MaxBody = 8 << 20

// Digest identifies the content of an operator's document.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a document as the operator sent it.
func DigestOf(document []byte) Digest { return sha256.Sum256(document) }

// Put stores a document under its number.
type Put struct {
	Number uint64 `json:"n"`
	Digest Digest `json:"d"`
	// Packed is the operator's document, compressed.
	Packed []byte `json:"p"`
}

// Check verifies a decoded put.
func (p *Put) Check() error {
	if p.Number == 0 || len(p.Packed) > MaxBody {
		return errors.Errorf("put of number %d with %d bytes", p.Number, len(p.Packed))
	}
	return nil
}

// Outcome says what became of a put.
type Outcome int

// The outcomes.
const (
	// Stored: the document is the newest one.
	Stored Outcome = iota + 1
	// Held: it changes nothing, since it was accepted before or a newer one
	// is stored.
	Held
	// Conflict: the number was accepted with another content.
	Conflict
)

// Store is the replicated state: the newest document, and the digest of every
// one that was accepted.
type Store struct {
	newest   Put
	accepted map[uint64]Digest
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{accepted: map[uint64]Digest{}} }

// Newest returns the newest document; its number is 0 before the first.
func (s *Store) Newest() Put { return s.newest }

// Outcome tells what a put would bring about.
func (s *Store) Outcome(p Put) Outcome {
	digest, ok := s.accepted[p.Number]
	switch {
	case ok && digest != p.Digest:
		return Conflict
	case ok || p.Number <= s.newest.Number:
		return Held
	default:
		return Stored
	}
}

// Apply carries out a put.
func (s *Store) Apply(p Put) Outcome {
	outcome := s.Outcome(p)
	if outcome == Stored {
		s.newest = p
		s.accepted[p.Number] = p.Digest
	}
	return outcome
}

type saved struct {
	Newest   Put               `json:"n"`
	Accepted map[uint64]Digest `json:"a"`
}

// Check verifies a decoded state.
func (s *saved) Check() error { return nil }

// Snapshot encodes the state.
func (s *Store) Snapshot() ([]byte, error) { return wire.Encode(&saved{s.newest, s.accepted}) }

// Restore replaces the state by a snapshot.
func (s *Store) Restore(data []byte) error {
	state := saved{}
	if err := wire.Decode(data, &state); err != nil {
		return err
	}
	s.newest, s.accepted = state.Newest, state.Accepted
	if s.accepted == nil {
		s.accepted = map[uint64]Digest{}
	}
	return nil
}
