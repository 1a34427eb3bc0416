package detour

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxHelpers is the highest number of helpers that an entry is told of.
const MaxHelpers = 4

// nearHelpers is the number of helpers of the entry's own zone that come first, as
// traffic between zones is expensive. The others are of other zones: the paths of a whole
// zone may be broken.
const nearHelpers = 2

// Asker is the entry that asks for helpers.
type Asker struct {
	Name, Zone string
}

// scored is a candidate with its score for the asker; the lowest one is preferred.
type scored struct {
	Helper
	score uint64
}

func compareScores(x, y scored) int {
	return cmp.Or(cmp.Compare(x.score, y.score), x.Address.Compare(y.Address))
}

// Choose picks the helpers of an entry among the candidates. The choices of all entries
// are spread evenly over them, and change little when candidates come and go.
func Choose(a Asker, candidates []Helper) []Helper {
	// best holds the first helpers of each zone, zones the zones in a fixed order.
	best := map[string][]scored{}
	var zones []string
	own := xxhash.Sum64String(a.Name)
	for _, h := range candidates {
		address := h.Address.Addr().As16()
		s := scored{h, mix(own ^ xxhash.Sum64(address[:]) ^ uint64(h.Address.Port()))}
		list, known := best[h.Zone]
		if !known {
			zones = append(zones, h.Zone)
		}
		if len(list) == MaxHelpers && compareScores(s, list[MaxHelpers-1]) > 0 {
			continue
		}
		i, _ := slices.BinarySearchFunc(list, s, compareScores)
		list = slices.Insert(list, i, s)
		best[h.Zone] = list[:min(len(list), MaxHelpers)]
	}
	near := best[a.Zone]
	first := near[:min(len(near), nearHelpers)]
	rest := slices.Clone(near[len(first):])
	var far []scored
	for _, zone := range zones {
		if zone != a.Zone {
			far = append(far, best[zone][0])
			rest = append(rest, best[zone][1:]...)
		}
	}
	slices.SortFunc(far, compareScores)
	slices.SortFunc(rest, compareScores)
	chosen := make([]Helper, 0, MaxHelpers)
	for _, s := range slices.Concat(first, far, rest) {
		if len(chosen) < MaxHelpers {
			chosen = append(chosen, s.Helper)
		}
	}
	return chosen
}

// mix spreads a hash over all bits.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
