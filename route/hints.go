package route

import "slices"

// maxHints bounds the remembered prefixes per upstream.
const maxHints = 512

// Hints remembers which prompt prefixes each upstream has probably cached:
// those of the requests sent there, corrected by cache events, which come
// late and with gaps.
type Hints struct {
	upstreams map[string]*hintSet
	// holders lists for each prefix some upstreams that may have it.
	holders map[uint64][]string
}

type hintSet struct {
	prefixes map[uint64]int
	order    []uint64
	turn     int
}

// NewHints returns empty hints.
func NewHints() *Hints {
	return &Hints{upstreams: map[string]*hintSet{}, holders: map[uint64][]string{}}
}

// Add notes that the upstream has computed the prefixes.
func (h *Hints) Add(id string, prefixes []uint64) {
	s, ok := h.upstreams[id]
	if !ok {
		s = &hintSet{prefixes: map[uint64]int{}}
		h.upstreams[id] = s
	}
	for _, p := range prefixes {
		s.turn++
		s.prefixes[p] = s.turn
		s.order = append(s.order, p)
	}
	if len(prefixes) > 0 {
		h.hold(id, prefixes[len(prefixes)-1])
	}
	s.shrink()
}

// maxHolders bounds the upstreams that are remembered for one prefix, and
// maxPrefixes the prefixes.
const (
	maxHolders  = 8
	maxPrefixes = 1 << 16
)

// hold notes that the upstream has the prefix.
func (h *Hints) hold(id string, prefix uint64) {
	list := h.holders[prefix]
	if slices.Contains(list, id) {
		return
	}
	if list == nil && len(h.holders) >= maxPrefixes {
		clear(h.holders)
	}
	if len(list) >= maxHolders {
		list = list[1:]
	}
	h.holders[prefix] = append(list, id)
}

// Holders returns upstreams that may have the longest of the prefixes cached.
func (h *Hints) Holders(prefixes []uint64) []string {
	if len(prefixes) == 0 {
		return nil
	}
	return h.holders[prefixes[len(prefixes)-1]]
}

// shrink drops the prefixes that were not used for the longest time.
func (s *hintSet) shrink() {
	for len(s.prefixes) > maxHints || len(s.order) > 4*maxHints {
		oldest := s.order[0]
		position := s.turn - len(s.order) + 1
		s.order = s.order[1:]
		if s.prefixes[oldest] == position {
			delete(s.prefixes, oldest)
		}
	}
}

// Evicted notes that the upstream has dropped the prefixes.
func (h *Hints) Evicted(id string, prefixes []uint64) {
	if s, ok := h.upstreams[id]; ok {
		for _, p := range prefixes {
			delete(s.prefixes, p)
		}
	}
}

// Forget drops all hints about an upstream.
func (h *Hints) Forget(id string) { delete(h.upstreams, id) }

// CachedTokens estimates the prompt tokens that the upstream has cached.
func (h *Hints) CachedTokens(id string, prefixes []uint64) int {
	if h == nil {
		return 0
	}
	s, ok := h.upstreams[id]
	if !ok {
		return 0
	}
	for i := len(prefixes) - 1; i >= 0; i-- {
		if _, cached := s.prefixes[prefixes[i]]; cached {
			return (i + 1) * BlockTokens
		}
	}
	return 0
}
