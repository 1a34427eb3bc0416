package config

import (
	"crypto/sha256"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/common/wire"
)

// MaxDocumentBytes bounds an operator's document. It is twice the largest body
// that a published deployment allows its callers.
const MaxDocumentBytes = 8 << 20

// Digest identifies the content of an operator's document.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a document as the operator sent it.
func DigestOf(document []byte) Digest { return sha256.Sum256(document) }

// Put is the command to store a document under its number.
type Put struct {
	Number uint64 `json:"n"`
	Digest Digest `json:"d"`
	// Packed is the operator's document, compressed.
	Packed []byte `json:"p"`
}

// Check verifies a decoded put.
func (p *Put) Check() error {
	if p.Number == 0 || len(p.Packed) > MaxDocumentBytes {
		return errors.Errorf("put with number 0 or too many bytes: number %d, %d bytes", p.Number, len(p.Packed))
	}
	return nil
}

// Outcome is the effect of a put.
type Outcome int

// The outcomes.
const (
	// Stored means that the document is now the newest one.
	Stored Outcome = iota + 1
	// Unchanged means that the document was accepted before, or that a newer
	// one is stored.
	Unchanged
	// Conflict means that the number was accepted with different content.
	Conflict
)

// maxAccepted is the number of accepted documents whose digests are kept. Of older ones
// it is known only that a newer one is stored.
const maxAccepted = 10_000

// Store is the state that the keepers replicate: the newest document, and the
// digests of the last accepted ones. It isn't safe for concurrent use.
type Store struct {
	newest   Put
	accepted map[uint64]Digest
	// numbers are the keys of accepted, in ascending order.
	numbers []uint64
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{accepted: map[uint64]Digest{}} }

// Newest returns the newest document; its number is 0 before the first.
func (s *Store) Newest() Put { return s.newest }

// Outcome returns the effect that a put would have.
func (s *Store) Outcome(p Put) Outcome {
	digest, ok := s.accepted[p.Number]
	switch {
	case ok && digest != p.Digest:
		return Conflict
	case ok || p.Number <= s.newest.Number:
		return Unchanged
	default:
		return Stored
	}
}

// Apply carries out a put and returns its effect.
func (s *Store) Apply(p Put) Outcome {
	outcome := s.Outcome(p)
	if outcome == Stored {
		s.newest = p
		s.accepted[p.Number] = p.Digest
		s.numbers = append(s.numbers, p.Number)
		s.trim()
	}
	return outcome
}

// trim forgets the oldest digests beyond maxAccepted.
func (s *Store) trim() {
	excess := len(s.numbers) - maxAccepted
	if excess <= 0 {
		return
	}
	for _, number := range s.numbers[:excess] {
		delete(s.accepted, number)
	}
	s.numbers = s.numbers[excess:]
}

// snapshot is the encoded form of a Store.
type snapshot struct {
	Newest   Put               `json:"n"`
	Accepted map[uint64]Digest `json:"a"`
}

// Check implements wire.Checker.
func (s *snapshot) Check() error { return nil }

// Snapshot encodes the state.
func (s *Store) Snapshot() ([]byte, error) { return wire.Encode(&snapshot{s.newest, s.accepted}) }

// Restore replaces the state by that of a snapshot.
func (s *Store) Restore(data []byte) error {
	state := snapshot{}
	if err := wire.DecodeState(data, &state); err != nil {
		return err
	}
	s.newest, s.accepted = state.Newest, state.Accepted
	if s.accepted == nil {
		s.accepted = map[uint64]Digest{}
	}
	s.numbers = slices.Sorted(maps.Keys(s.accepted))
	s.trim()
	return nil
}
