package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopladder/hyssopladder/call"
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/retry"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// node is one upstream as this entry sees it.
type node struct {
	upstream.Member
	// running, backlog and tokens are this entry's requests there, the prompt
	// tokens of them that are still to be read, and their memory.
	running, backlog, tokens int
	// others is the same of all other entries, as last reported.
	others Busy
	// progress is when bytes came from it last.
	progress clock.Instant
	// strikes counts the failures in a row; avoidUntil keeps work away.
	strikes    int
	avoidUntil clock.Instant
	// slow is the measured time to the first token over the expected one.
	slow float64
	// failures is the share of failed answers lately.
	failures float64
	// replaced says that another upstream has the address now.
	replaced bool
	cache    map[uint64]clock.Instant
	// broken are the requests whose connection broke before they began.
	broken []breakage
}

type breakage struct {
	fingerprint uint64
	at          clock.Instant
}

// Busy is the work at one upstream.
type Busy struct {
	Running int `json:"r"`
	Backlog int `json:"b,omitempty"`
	Tokens  int `json:"t,omitempty"`
}

func newNode(now clock.Instant, m upstream.Member) *node {
	return &node{Member: m, progress: now, slow: 1, cache: map[uint64]clock.Instant{}}
}

// Times for which a failed upstream gets no work.
const (
	// fullPause follows a refusal: the upstream is full.
	fullPause = 50 * time.Millisecond
	// firstPause follows a failure, and doubles with each one in a row up to
	// longestPause, about the time in which a crashed upstream is back.
	firstPause   = 200 * time.Millisecond
	longestPause = 3200 * time.Millisecond
)

func (n *node) usable(now clock.Instant) bool {
	return n.serves() && now >= n.avoidUntil
}

func (n *node) serves() bool { return !n.Leaving && !n.Ended && !n.replaced }

func (n *node) start(now clock.Instant, t *ticket) {
	if n.running == 0 {
		n.progress = now
	}
	n.running++
	n.backlog += t.pending
	n.tokens += t.tokens
	n.remember(now, t.Parts)
}

// began notes that the ticket's prompt is read.
func (n *node) began(t *ticket) {
	n.backlog -= t.pending
}

func (n *node) end(_ clock.Instant, t *ticket) {
	n.running--
	n.tokens -= t.tokens
	if !t.began {
		n.backlog -= t.pending
	}
}

func (n *node) succeeded() { n.strikes = 0 }

func (n *node) failed(now clock.Instant, how retry.Failure, _ int) {
	switch how {
	case retry.Refused:
		n.avoidUntil = max(n.avoidUntil, now+fullPause)
	case retry.Errored:
		// The upstream lives; its share of failures counts against it.
	default:
		pause := min(firstPause<<min(n.strikes, 6), longestPause)
		n.strikes++
		n.avoidUntil = max(n.avoidUntil, now+pause)
		clear(n.cache)
	}
}

// Bounds of what is remembered of an upstream's cache.
const (
	maxCached = 4096
	// cacheAge is how long a part counts as cached after its last use.
	cacheAge = 60 * time.Second
)

// remember notes the prefixes that the upstream holds after the request.
func (n *node) remember(now clock.Instant, parts []call.Part) {
	if len(n.cache)+len(parts) > maxCached {
		for hash, used := range n.cache {
			if now-used > cacheAge/4 {
				delete(n.cache, hash)
			}
		}
		if len(n.cache)+len(parts) > maxCached {
			clear(n.cache)
		}
	}
	chain(parts, func(hash uint64, _ int) bool {
		n.cache[hash] = now
		return true
	})
}

// cached returns the prompt tokens that the upstream is thought to hold.
func (n *node) cached(now clock.Instant, parts []call.Part) int {
	held := 0
	chain(parts, func(hash uint64, tokens int) bool {
		used, ok := n.cache[hash]
		if !ok || now-used > cacheAge {
			return false
		}
		held = tokens
		return true
	})
	return held
}

// chain calls f with the hash and the tokens of each prefix of the parts.
func chain(parts []call.Part, f func(hash uint64, tokens int) bool) {
	hash, total := uint64(0), 0
	for _, p := range parts {
		hash = mix(hash ^ p.ID)
		total += p.Tokens
		if !f(hash, total) {
			return
		}
	}
}

func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// cost is what a choice expects.
type cost struct {
	// wait is the expected time to the first token with what speaks against
	// the node, ready that time alone.
	wait, ready time.Duration
	cached      int
}

// Prices of a choice.
const (
	// hopPrice keeps work within the zone: bytes between zones are dear, and
	// an upstream elsewhere must be this much faster to be chosen.
	hopPrice = 15 * time.Millisecond
	// silentPrice is that of an upstream without news, suspectPrice that of
	// one whose answers fail more often than others'.
	silentPrice  = time.Second
	suspectPrice = 2 * time.Second
	coldPrice    = 50 * time.Millisecond
	// slowPrice is that of an upstream that takes twice the expected time, in
	// addition to that time: its events come slowly too.
	slowPrice  = 150 * time.Millisecond
	slowMargin = 1.6
	// readWeight is what the reading that a choice saves is worth beside the
	// time of this request: those behind it wait for it too, and what is read
	// elsewhere has to be read again. With 165 documents of 4,700 tokens, 51
	// in 100 shared tokens are read again at 0, 29 at 2, 12 at 8 (emulator).
	// keptPart bounds it as a part of the request's target, so that a document
	// that everybody asks for is spread.
	readWeight = 8.0
	keptPart   = 0.25
	// slotPrice is the longer step of a batch with one more request, summed
	// over the steps to the first event.
	slotPrice = 2 * time.Millisecond
	// failureMargin is how far a node's share of failures may lie above its
	// service's.
	failureMargin = 0.3
)

// stallTime is how long a node with requests may send nothing: engines send
// events several times a second, and plain services answer in less.
const stallTime = 800 * time.Millisecond

// stalled reports whether the node has requests but sends nothing.
func (n *node) stalled(now clock.Instant) bool { return n.running > 0 && now-n.progress > stallTime }

// Bounds of a node's measured slowness, and the weight of one measurement.
const (
	leastSlow  = 0.7
	mostSlow   = 8
	slowWeight = 0.15
	// slowBase is added to both times: small ones are noise.
	slowBase = 60 * time.Millisecond
)

// measure compares the time to the first token with the expected one.
func (n *node) measure(took, expected time.Duration) {
	ratio := float64(took+slowBase) / float64(time.Duration(float64(expected)/n.slow)+slowBase)
	n.slow += slowWeight * (min(max(ratio, leastSlow), mostSlow) - n.slow)
}

// memoryPart is the part of an engine's memory that is filled on purpose:
// answers may grow longer than expected.
const memoryPart = 0.85

// preferredPart is the part of a prompt's shared tokens that the upstream on
// which all entries agree is thought to hold.
const preferredPart = 0.9

// choose returns the usable upstream with the lowest expected time to the
// first token that has room, or nil.
func (s *service) choose(now clock.Instant, zone string, t *ticket) (*node, cost) {
	var best *node
	var bestCost cost
	preferred, shared := s.preferred(t)
	for _, n := range s.nodes {
		if !n.usable(now) || t.hasTried(n.ID) || !s.hasRoom(n, t) {
			continue
		}
		c := s.expected(now, zone, n, t)
		held := c.cached
		if likely := int(preferredPart * float64(shared)); n == preferred && held < likely {
			// Entries that know nothing agree on one upstream a prefix, so
			// that others have probably sent it there before.
			c.wait -= s.readTime(likely - held)
			held = likely
		}
		c.wait -= s.saves(t, held)
		if best == nil || c.wait < bestCost.wait {
			best, bestCost = n, c
		}
	}
	return best, bestCost
}

// preferred is the upstream on which all entries agree for the shared parts of
// the prompt, with their tokens.
func (s *service) preferred(t *ticket) (*node, int) {
	if len(t.Parts) < 2 {
		return nil, 0
	}
	sharedParts := t.Parts[:len(t.Parts)-1]
	seed, tokens := uint64(0), 0
	chain(sharedParts, func(hash uint64, total int) bool {
		seed, tokens = hash, total
		return true
	})
	var best *node
	var highest uint64
	for _, n := range s.nodes {
		if !n.serves() {
			continue
		}
		if h := mix(xxhash.Sum64String(n.ID) ^ seed); best == nil || h > highest {
			best, highest = n, h
		}
	}
	return best, tokens
}

func (s *service) readTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.prefill * float64(time.Millisecond))
}

// saves is what it is worth to others that so many tokens needn't be read.
func (s *service) saves(t *ticket, held int) time.Duration {
	if s.shape.Engine == nil {
		return 0
	}
	worth := time.Duration(readWeight * float64(s.readTime(held)))
	if t.Target > 0 {
		worth = min(worth, time.Duration(keptPart*float64(t.Target)))
	}
	return worth
}

// expected is the time to the first token of the ticket at the node, with what
// speaks against the node.
func (s *service) expected(now clock.Instant, zone string, n *node, t *ticket) cost {
	c := cost{cached: min(n.cached(now, t.Parts), t.Prompt)}
	busy := n.running + n.others.Running
	if s.shape.Engine != nil {
		c.wait = s.readTime(n.backlog + n.others.Backlog + t.Prompt - c.cached)
		c.wait += time.Duration(busy) * slotPrice
	} else {
		c.wait = s.hold * time.Duration(busy) / time.Duration(max(n.Slots, 1))
	}
	c.wait = time.Duration(float64(c.wait) * n.slow)
	c.ready = c.wait
	if n.Zone != zone {
		c.wait += hopPrice
	}
	if n.Silent {
		c.wait += silentPrice
	}
	if n.slow > slowMargin {
		c.wait += time.Duration((n.slow - 1) * float64(slowPrice))
	}
	if n.Cold > 0 {
		c.wait += coldPrice
	}
	if n.strikes > 0 || n.failures > s.failures+failureMargin || n.stalled(now) {
		c.wait += suspectPrice
	}
	return c
}

// hasRoom reports whether the node can take the ticket without a queue of its
// own, as far as is known.
func (s *service) hasRoom(n *node, t *ticket) bool {
	running := n.running + n.others.Running
	if s.shape.Engine == nil {
		// Short calls: what other entries report is old by then, so that the
		// upstream's own queue takes up the difference.
		return n.running < n.Slots && running < 2*n.Slots
	}
	if running >= n.Slots {
		return false
	}
	e := *s.shape.Engine
	return e.MemoryTokens <= 0 || s.fits(e, n, t)
}

func (s *service) fits(e config.Engine, n *node, t *ticket) bool {
	used := n.tokens + n.others.Tokens
	return used == 0 || float64(used+t.Prompt+t.Output) <= memoryPart*float64(e.MemoryTokens)
}
