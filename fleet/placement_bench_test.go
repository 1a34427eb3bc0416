package fleet

import (
	"fmt"
	"testing"

	"github.com/hyssopladder/hyssopladder/upstream"
)

// BenchmarkPlacement is the cost of a request at one of 60 upstreams, and of a look at the requests
// that wait while all of them are full.
func BenchmarkPlacement(b *testing.B) { benchmarkPlacement(b, func(*Fleet) {}) }

func benchmarkPlacement(b *testing.B, prepare func(f *Fleet)) {
	b.Helper()
	newFleet := func() *Fleet {
		f := plainFleet()
		prepare(f)
		var members []upstream.Member
		for i := range 60 {
			members = append(members, memberOf([]string{"v1", "v2"}[i%2], fmt.Sprint("u", i), uint16(i+1)))
		}
		f.Merge(0, members)
		return f
	}
	b.Run("idle upstreams", func(b *testing.B) {
		f := newFleet()
		for i := range b.N {
			f.Submit(second, newTicket(uint64(i+1)))
			f.Finish(second, uint64(i+1), true, true)
		}
	})
	b.Run("waiting requests", func(b *testing.B) {
		f := newFleet()
		for id := uint64(1); f.Open() < 60*4+maxQueued && id < 1000; id++ {
			t := newTicket(id)
			t.Target = 100 * second
			f.Submit(second, t)
		}
		if n := len(f.service("s").queue); n < 200 {
			b.Fatalf("%d requests wait", n)
		}
		b.ResetTimer()
		for range b.N {
			f.Tick(second)
		}
	})
}
