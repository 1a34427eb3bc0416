// Package route chooses the upstream for a request: the one with the lowest
// expected time to the first token, from its queue, the part of the prompt
// that it hasn't cached, and the hop to its zone. It is pure.
package route

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// Query describes a request to place.
type Query struct {
	// Zone is the entry's availability zone.
	Zone string
	// Prefixes are the hashes of the prompt's prefixes, the longest last.
	Prefixes []uint64
	// PromptTokens is the prompt's length.
	PromptTokens int
	// Exclude are upstreams that already failed the request.
	Exclude []string
	// NeedFree says that only an upstream with a free slot will do, and
	// NeedOwn that the slot has to fall to this entry's part.
	NeedFree, NeedOwn bool
	// Overcommit is the number of requests beyond its slots that a free
	// upstream may have.
	Overcommit int
	Part       upstream.Part
}

// Costs are the prices of what delays a first token.
type Costs struct {
	// Hop is the time to reach another availability zone.
	Hop time.Duration
	// Prefill is the time to compute one prompt token.
	Prefill time.Duration
	// Slot is the time for which a request occupies a slot.
	Slot time.Duration
}

// BlockTokens is the length of one cached block of a prompt, in tokens.
const BlockTokens = 32

// Choose returns the candidate with the lowest expected time to the first
// token, or nil if none can take the request. Ties go by rendezvous hash of
// the prompt, so that entries that know nothing agree.
func Choose(now clock.Instant, q Query, candidates []*upstream.Upstream, hints *Hints, c Costs) *upstream.Upstream {
	var best *upstream.Upstream
	var bestCost time.Duration
	var bestHash uint64
	seed := promptSeed(q.Prefixes)
	for _, u := range candidates {
		if !u.Usable(now) || u.Avoided(now) || u.Held() || excluded(q.Exclude, u.ID) || (q.NeedFree && u.Busy() >= u.Slots+q.Overcommit) || (q.NeedOwn && u.Allowance(q.Part) <= 0) {
			continue
		}
		cost := expected(q, u, hints, c)
		hash := rendezvous(seed, u.ID)
		if best == nil || cost < bestCost || (cost == bestCost && hash > bestHash) {
			best, bestCost, bestHash = u, cost, hash
		}
	}
	return best
}

// expected is the time until the first token at u.
func expected(q Query, u *upstream.Upstream, hints *Hints, c Costs) time.Duration {
	cost := time.Duration(0)
	if u.Zone != q.Zone {
		cost += c.Hop
	}
	busy := u.Busy()
	if over := busy + 1 - u.Slots; over > 0 {
		cost += c.Slot * time.Duration(over) / time.Duration(u.Slots)
	}
	// A fuller batch decodes more slowly, so that equal prompts spread.
	cost += c.Slot * time.Duration(busy) / time.Duration(u.Slots*8)
	cached := hints.CachedTokens(u.ID, q.Prefixes)
	if uncached := q.PromptTokens - cached; uncached > 0 {
		cost += c.Prefill * time.Duration(uncached)
	}
	return cost
}

func excluded(ids []string, id string) bool {
	for _, x := range ids {
		if x == id {
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

// Prefixes returns the hashes of the text's prefixes in whole blocks, where a
// token is taken as tokenBytes bytes.
func Prefixes(text string) []uint64 {
	const blockBytes = BlockTokens * tokenBytes
	var hashes []uint64
	digest := xxhash.New()
	for len(text) >= blockBytes {
		_, _ = digest.WriteString(text[:blockBytes])
		text = text[blockBytes:]
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}

// tokenBytes is the mean length of a token.
const tokenBytes = 4

// Tokens estimates the tokens of a text.
func Tokens(text string) int { return (len(text) + tokenBytes - 1) / tokenBytes }
