package route

import "slices"

// maxPrefixesPerUpstream bounds the remembered prefixes per upstream.
const maxPrefixesPerUpstream = 512

// Hints records which prompt prefixes each upstream has probably cached: those
// of the requests that were sent there, less those that it reported as evicted.
// These reports arrive late, and some are lost.
type Hints struct {
	prefixesByUpstream map[string]*prefixLRU
	// upstreamsByPrefix lists some upstreams that may have cached the prefix.
	upstreamsByPrefix map[uint64][]string
}

// prefixLRU holds the most recently used prefixes of one upstream.
type prefixLRU struct {
	// lastUse maps a prefix to the number of its last use. uses lists the
	// latest uses in order; the newest has the number useCount.
	lastUse  map[uint64]int
	uses     []uint64
	useCount int
}

// NewHints returns empty hints.
func NewHints() *Hints {
	return &Hints{prefixesByUpstream: map[string]*prefixLRU{}, upstreamsByPrefix: map[uint64][]string{}}
}

// Add records that the upstream computes the prefixes.
func (h *Hints) Add(id string, prefixes []uint64) {
	l, ok := h.prefixesByUpstream[id]
	if !ok {
		l = &prefixLRU{lastUse: map[uint64]int{}}
		h.prefixesByUpstream[id] = l
	}
	for _, p := range prefixes {
		l.useCount++
		l.lastUse[p] = l.useCount
		l.uses = append(l.uses, p)
	}
	if len(prefixes) > 0 {
		h.addUpstream(id, prefixes[len(prefixes)-1])
	}
	l.evictOldest()
}

// Bounds of upstreamsByPrefix.
const (
	maxUpstreamsPerPrefix = 8
	maxIndexedPrefixes    = 1 << 16
)

// addUpstream adds the upstream to those of the prefix.
func (h *Hints) addUpstream(id string, prefix uint64) {
	ids := h.upstreamsByPrefix[prefix]
	if slices.Contains(ids, id) {
		return
	}
	if ids == nil && len(h.upstreamsByPrefix) >= maxIndexedPrefixes {
		clear(h.upstreamsByPrefix)
	}
	if len(ids) >= maxUpstreamsPerPrefix {
		ids = ids[1:]
	}
	h.upstreamsByPrefix[prefix] = append(ids, id)
}

// UpstreamsWith returns upstreams that may have cached the longest of the prefixes.
func (h *Hints) UpstreamsWith(prefixes []uint64) []string {
	if len(prefixes) == 0 {
		return nil
	}
	return h.upstreamsByPrefix[prefixes[len(prefixes)-1]]
}

// evictOldest drops the least recently used prefixes.
func (l *prefixLRU) evictOldest() {
	for len(l.lastUse) > maxPrefixesPerUpstream || len(l.uses) > 4*maxPrefixesPerUpstream {
		prefix := l.uses[0]
		use := l.useCount - len(l.uses) + 1
		l.uses = l.uses[1:]
		if l.lastUse[prefix] == use {
			delete(l.lastUse, prefix)
		}
	}
}

// Evicted records that the upstream evicted the prefixes.
func (h *Hints) Evicted(id string, prefixes []uint64) {
	if l, ok := h.prefixesByUpstream[id]; ok {
		for _, p := range prefixes {
			delete(l.lastUse, p)
		}
	}
}

// Remove drops all hints about an upstream.
func (h *Hints) Remove(id string) { delete(h.prefixesByUpstream, id) }

// CachedTokens estimates the prompt tokens that the upstream has cached.
func (h *Hints) CachedTokens(id string, prefixes []uint64) int {
	if h == nil {
		return 0
	}
	l, ok := h.prefixesByUpstream[id]
	if !ok {
		return 0
	}
	for i := len(prefixes) - 1; i >= 0; i-- {
		if _, cached := l.lastUse[prefixes[i]]; cached {
			return (i + 1) * BlockTokens
		}
	}
	return 0
}
