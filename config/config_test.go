package config

import (
	"flag"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hyssopladder/hyssopladder/common/wire"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

func revision() *Revision {
	route := func(name, host, prefix string) Route {
		return Route{Name: name, Host: host, Prefix: prefix, Kind: Idempotent, Timeout: time.Second, Backends: []Backend{{"s", 1}}}
	}
	return &Revision{
		Number:   1,
		Services: []Service{{Name: "s"}},
		Routes:   []Route{route("a", "mill.example", "/a/"), route("ab", "mill.example", "/a/b/"), route("other", "farm.example", "/a/")},
	}
}

func TestRouteMatchesLongestPrefixOfHost(t *testing.T) {
	table := NewTable(revision())
	cases := []struct{ host, path, route string }{
		{"mill.example", "/a/x", "a"},
		{"mill.example", "/a/b/x", "ab"},
		{"MILL.example", "/a/b/", "ab"},
		{"mill.example:8080", "/a/bx", "a"},
		{"farm.example", "/a/b/x", "other"},
		{"mill.example", "/a", ""},
		{"mill.example", "/b/", ""},
		{"other.example", "/a/x", ""},
	}
	for _, c := range cases {
		name := ""
		if r := table.Route(c.host, c.path); r != nil {
			name = r.Name
		}
		gomega.NewWithT(t).Expect(name).To(gomega.Equal(c.route), "%+v", c)
	}
}

func TestPickFollowsWeights(t *testing.T) {
	g := gomega.NewWithT(t)
	r := Route{Backends: []Backend{{"a", 1}, {"b", 0}, {"c", 3}}}
	counts := map[string]int{}
	const points = 1000
	for i := range points {
		counts[r.Pick(float64(i)/points)]++
	}
	g.Expect(counts).To(gomega.Equal(map[string]int{"a": 250, "c": 750}))
	// Weights whose sum no number holds, and such as are hardly above 0.
	for _, weight := range []float64{math.MaxFloat64, math.SmallestNonzeroFloat64} {
		r = Route{Backends: []Backend{{"a", weight}, {"b", 0}, {"c", weight}}}
		counts = map[string]int{}
		for i := range points {
			counts[r.Pick(float64(i)/points)]++
		}
		g.Expect(counts).To(gomega.Equal(map[string]int{"a": 500, "c": 500}), "%g", weight)
	}
}

// TestStoreAgainstAnOracle applies random and repeated puts, with restarts from
// snapshots. An accepted put must always be acknowledged again, different content
// under its number must always be refused, and the newest number must never
// decrease.
func TestStoreAgainstAnOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewStore()
		accepted := map[uint64]string{}
		newest := uint64(0)
		for range rapid.IntRange(1, 200).Draw(t, "puts") {
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				data, err := s.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				s = NewStore()
				if err := s.Restore(data); err != nil {
					t.Fatal(err)
				}
			}
			number := uint64(rapid.IntRange(1, 30).Draw(t, "number"))
			content := strings.Repeat("x", rapid.IntRange(1, 3).Draw(t, "content"))
			want := Stored
			switch known, ok := accepted[number]; {
			case ok && known != content:
				want = Conflict
			case ok || number < newest:
				want = Unchanged
			default:
				accepted[number] = content
				newest = number
			}
			p := Put{Number: number, Digest: DigestOf([]byte(content)), Packed: []byte(content)}
			if got := s.Apply(p); got != want {
				t.Fatalf("number %d with %q: outcome %d, want %d", number, content, got, want)
			}
			if s.Newest().Number != newest || string(s.Newest().Packed) != accepted[newest] {
				t.Fatalf("newest is %d, want %d", s.Newest().Number, newest)
			}
		}
	})
}

// TestStoreIsBounded guards against a state that grows with each configuration that was
// ever accepted, until no keeper can read it.
func TestStoreIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	s := NewStore()
	put := func(number uint64) Outcome {
		return s.Apply(Put{Number: number, Digest: Digest{byte(number), byte(number >> 8)}, Packed: []byte("x")})
	}
	size := func() int {
		data, err := s.Snapshot()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(NewStore().Restore(data)).To(gomega.Succeed())
		return len(data)
	}
	for number := uint64(100_000); number < 100_000+2*maxAccepted; number++ {
		put(number)
	}
	before := size()
	const last = 1_100_000
	for number := uint64(100_000 + 2*maxAccepted); number <= last; number++ {
		put(number)
	}
	g.Expect(size()).To(gomega.Equal(before))
	other := Digest{255, 255, 255}
	g.Expect(s.Outcome(Put{Number: last - maxAccepted + 1, Digest: other})).To(gomega.Equal(Conflict))
	g.Expect(put(last - maxAccepted + 1)).To(gomega.Equal(Unchanged))
	g.Expect(put(100_000)).To(gomega.Equal(Unchanged), "accepted long ago")
}

// TestGrownStateIsRead reads the state of a build that kept the digest of every
// configuration.
func TestGrownStateIsRead(t *testing.T) {
	for _, accepted := range []uint64{1<<17 - 1, 1 << 17, 1<<17 + 1, 1 << 18} {
		g := gomega.NewWithT(t)
		state := snapshot{Newest: Put{Number: accepted, Packed: []byte("x")}, Accepted: map[uint64]Digest{}}
		for number := uint64(1); number <= accepted; number++ {
			state.Accepted[number] = Digest{1}
		}
		s := NewStore()
		g.Expect(s.Restore(wire.MustEncode(&state))).To(gomega.Succeed(), "%d accepted", accepted)
		g.Expect(s.Newest().Number).To(gomega.Equal(accepted))
		g.Expect(s.Outcome(Put{Number: accepted, Digest: Digest{2}, Packed: []byte("y")})).To(gomega.Equal(Conflict))
		g.Expect(s.Apply(Put{Number: accepted + 1, Packed: []byte("y")})).To(gomega.Equal(Stored))
		data, err := s.Snapshot()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(wire.Decode(data, &snapshot{})).To(gomega.Succeed(), "an older build can read it")
	}
}
