// Package member holds the soft state that nodes share by gossip: which nodes
// are alive, which upstreams exist, and which documents are in force. Each piece
// is a Record with a Key and a Version; most have a lease, after which they end
// unless renewed. A Table holds a node's newest versions. Nodes synchronise
// tables by pushing changed records and by comparing digests, which are lists of
// versions. Nothing here does I/O; time is passed in.
package member

import (
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// Kind says what a record describes.
type Kind string

// The kinds of record.
const (
	Node     Kind = "node"
	Upstream Kind = "upstream"
	Document Kind = "document"
	// Quarantine is a call that is kept from the upstreams because it seems to
	// crash them.
	Quarantine Kind = "quarantine"
	// Demand is what callers ask of one entry.
	Demand Kind = "demand"
)

// Limits of a decoded record.
const (
	MaxPayloadBytes = 80 << 10
	MaxDetailBytes  = 256
	MaxIDBytes      = 128
	MaxLease        = 10 * time.Minute
)

// Key identifies a record.
type Key struct {
	Kind Kind   `json:"k"`
	ID   string `json:"i"`
}

// Version orders the states of one record.
type Version struct {
	// Incarnation increases with each start of the record's owner.
	Incarnation uint64 `json:"n"`
	// Leaving says that the owner stops. It is final within an incarnation.
	Leaving bool `json:"l,omitempty"`
	// Sequence counts the changes within an incarnation.
	Sequence uint64 `json:"s"`
}

// After reports whether v replaces w.
func (v Version) After(w Version) bool {
	if v.Incarnation != w.Incarnation {
		return v.Incarnation > w.Incarnation
	}
	if v.Leaving != w.Leaving {
		return v.Leaving
	}
	return v.Sequence > w.Sequence
}

// Record is one piece of shared state.
type Record struct {
	Key
	Version
	// Remaining is the part of the lease that was left when the record was
	// sent. Zero means that the record has no lease.
	Remaining time.Duration `json:"r,omitempty"`
	// Payload is the encoded value; its type follows from Kind.
	Payload []byte `json:"p,omitempty"`
	// Detail is a small part that changes often, such as load.
	Detail []byte `json:"x,omitempty"`
	// Renewal says that the payload was left out, since it is the same as in
	// the previous version.
	Renewal bool `json:"w,omitempty"`
	// PayloadHash identifies the payload that a renewal left out; 0 from a node
	// of an earlier version.
	PayloadHash uint64 `json:"h,omitempty"`
}

// Check verifies a decoded record.
func (r *Record) Check() error {
	switch r.Kind {
	case Node, Upstream, Document, Quarantine, Demand:
	default:
		return errors.Errorf("unknown record kind %q", r.Kind)
	}
	if r.ID == "" || len(r.ID) > MaxIDBytes || !utf8.ValidString(r.ID) {
		return errors.Errorf("record ID %.200q, want 1 to %d bytes of UTF-8", r.ID, MaxIDBytes)
	}
	if len(r.Payload) > MaxPayloadBytes || len(r.Detail) > MaxDetailBytes {
		return errors.Errorf("record with a payload of %d bytes and a detail of %d, want at most %d and %d", len(r.Payload), len(r.Detail), MaxPayloadBytes, MaxDetailBytes)
	}
	if r.Remaining < 0 || r.Remaining > MaxLease {
		return errors.Errorf("record lease of %v, want 0 to %v", r.Remaining, MaxLease)
	}
	return nil
}

// DigestEntry is one key with the version that the sender holds.
type DigestEntry struct {
	Key
	Version
}

// Exchange is a gossip request: the records that the sender pushes and, if it
// asks for a comparison, the digest of all that it holds.
type Exchange struct {
	// From is the sender's node name.
	From string `json:"f"`
	// Push are records that changed lately.
	Push []Record `json:"p,omitempty"`
	// Compare asks for a comparison: Digest and Intervals cover all records
	// of the sender.
	Compare bool          `json:"c,omitempty"`
	Digest  []DigestEntry `json:"d,omitempty"`
	// Intervals are the checksums of the records without a lease, which Digest
	// leaves out.
	Intervals []Interval `json:"i,omitempty"`
	// Want are keys that the sender lacks.
	Want []Key `json:"w,omitempty"`
	// Ready says that the sender holds the documents in force and knows the
	// upstreams.
	Ready bool `json:"y,omitempty"`
}

// Check verifies a decoded exchange.
func (e *Exchange) Check() error {
	for i := range e.Push {
		if err := e.Push[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// Answer is the reply to an Exchange.
type Answer struct {
	// Push are records that the sender of the exchange lacks or asked for.
	Push []Record `json:"p,omitempty"`
	// Want are keys of which the sender holds a newer version.
	Want []Key `json:"w,omitempty"`
	// Digest lists the versions that the answering node holds in the
	// intervals that differ.
	Digest []DigestEntry `json:"d,omitempty"`
	// Compared says that the exchange asked for a comparison.
	Compared bool `json:"c,omitempty"`
	// Ready says that the answering node holds the documents in force and
	// knows the upstreams.
	Ready bool `json:"y,omitempty"`
}

// Check verifies a decoded answer.
func (a *Answer) Check() error {
	for i := range a.Push {
		if err := a.Push[i].Check(); err != nil {
			return err
		}
	}
	return nil
}
