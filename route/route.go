// Package route chooses the upstream for a request: the one with the lowest
// expected time to the first token, estimated from its load, the uncached part
// of the prompt and the distance to its zone. It does no I/O.
package route

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// Query describes a request and the conditions on its upstream.
type Query struct {
	// Zone is the entry's availability zone.
	Zone string
	// Prefixes are the hashes of the prompt's prefixes, the longest last.
	Prefixes []uint64
	// PromptTokens is the prompt's length.
	PromptTokens int
	// Exclude are upstreams that already failed the request.
	Exclude []string
	// Binding is that of a request whose stream has begun.
	upstream.Binding
	// NeedFreeSlot requires a free slot, and NeedOwnSlot one that is assigned
	// to this entry by OwnSlots.
	NeedFreeSlot, NeedOwnSlot bool
	// Overcommit is the number of requests beyond its slots up to which an
	// upstream counts as free.
	Overcommit int
	// OwnSlots is this entry's part of the free slots.
	OwnSlots upstream.SlotRange
}

// Costs are the delays that make up the time to the first token.
type Costs struct {
	// OtherZone is the added latency to another availability zone.
	OtherZone time.Duration
	// PrefillToken is the prefill time of one prompt token.
	PrefillToken time.Duration
	// SlotTime is the time for which a request occupies a slot.
	SlotTime time.Duration
}

// BlockTokens is the length of one cached block of a prompt, in tokens.
const BlockTokens = 32

// Choose returns the candidate with the lowest expected time to the first
// token, or nil if none can take the request. Rendezvous hashing of the prompt
// breaks ties, so that all entries choose the same upstream for a new prefix.
func Choose(now clock.Instant, q Query, candidates []*upstream.Upstream, hints *Hints, c Costs) *upstream.Upstream {
	var best *upstream.Upstream
	var bestCost time.Duration
	var bestHash uint64
	seed := promptSeed(q.Prefixes)
	for _, u := range candidates {
		if !u.Usable(now) || u.Avoided(now) || u.Held() || !q.Fits(&u.Announcement) || excluded(q.Exclude, u.ID) || (q.NeedFreeSlot && u.Busy() >= u.Slots+q.Overcommit) || (q.NeedOwnSlot && u.OwnFree(q.OwnSlots) <= 0) {
			continue
		}
		cost := timeToFirstToken(q, u, hints, c)
		hash := rendezvous(seed, u.ID)
		if best == nil || cost < bestCost || (cost == bestCost && hash > bestHash) {
			best, bestCost, bestHash = u, cost, hash
		}
	}
	return best
}

// timeToFirstToken estimates the time until u sends the first token.
func timeToFirstToken(q Query, u *upstream.Upstream, hints *Hints, c Costs) time.Duration {
	cost := time.Duration(0)
	if u.Zone != q.Zone {
		cost += c.OtherZone
	}
	busy := u.Busy()
	if excess := busy + 1 - u.Slots; excess > 0 {
		cost += c.SlotTime * time.Duration(excess) / time.Duration(u.Slots)
	}
	// A larger batch decodes more slowly. This also spreads requests with the
	// same prompt.
	cost += c.SlotTime * time.Duration(busy) / time.Duration(u.Slots*8)
	cached := hints.CachedTokens(u.ID, q.Prefixes)
	if uncached := q.PromptTokens - cached; uncached > 0 {
		cost += c.PrefillToken * time.Duration(uncached)
	}
	return cost
}

func excluded(ids []string, id string) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}

func promptSeed(prefixes []uint64) uint64 {
	if len(prefixes) == 0 {
		return 0
	}
	return prefixes[0]
}

func rendezvous(seed uint64, id string) uint64 {
	h := xxhash.Sum64String(id) ^ seed
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	return h ^ h>>33
}

// Prefixes returns the hashes of the text's prefixes in whole blocks. It assumes
// bytesPerToken bytes per token.
func Prefixes(text string) []uint64 {
	const blockBytes = BlockTokens * bytesPerToken
	var hashes []uint64
	digest := xxhash.New()
	for len(text) >= blockBytes {
		_, _ = digest.WriteString(text[:blockBytes])
		text = text[blockBytes:]
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}

// bytesPerToken is the mean length of a token.
const bytesPerToken = 4

// Tokens estimates the number of tokens of a text.
func Tokens(text string) int { return (len(text) + bytesPerToken - 1) / bytesPerToken }
