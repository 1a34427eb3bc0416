package origin

import (
	"flag"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/wire"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

// TestOriginsAreKeptForTheirRetention compares a book with all that was ever recorded.
func TestOriginsAreKeptForTheirRetention(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New()
		now := clock.Instant(0)
		type recorded struct {
			origin Origin
			at     clock.Instant
		}
		all := map[Stream]recorded{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 9000).Draw(t, "wait")) * time.Millisecond
			s := Stream(rapid.IntRange(1, 20).Draw(t, "stream"))
			if rapid.Bool().Draw(t, "record") {
				o := Origin{Service: "s", Release: rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(t, "release")}
				b.Record(now, s, o)
				all[s] = recorded{o, now}
				continue
			}
			found, ok := b.Find(now, s)
			want, known := all[s]
			switch {
			case ok && (!known || found != want.origin):
				t.Fatalf("found %v, recorded %v", found, want)
			case !ok && known && now-want.at < Retention:
				t.Fatalf("lost after %v", now-want.at)
			case ok && now-want.at > 3*Retention:
				t.Fatalf("kept for %v", now-want.at)
			}
		}
	})
}

func TestBookIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	b := New()
	for i := range Stream(5 * maxGeneration) {
		b.Record(time.Second, i, Origin{Service: "s"})
	}
	g.Expect(b.Len()).To(gomega.BeNumerically("<=", 2*maxGeneration))
	_, ok := b.Find(time.Second, 5*maxGeneration-1)
	g.Expect(ok).To(gomega.BeTrue())
}

// TestCallersCannotNameTheStreamsOfOthers has two organisations use one ID.
func TestCallersCannotNameTheStreamsOfOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(StreamOf("mill", "r1")).NotTo(gomega.Equal(StreamOf("orchard", "r1")))
	g.Expect(StreamOf("mill", "r1")).NotTo(gomega.Equal(StreamOf("mil", "lr1")))
}

func TestMessagesAreChecked(t *testing.T) {
	g := gomega.NewWithT(t)
	var groups Groups
	for i := range Stream(10) {
		groups.Add(i, Origin{Service: "s", Release: []string{"v1", "v2"}[i%2]})
	}
	request := Request{Begun: groups.List(), Find: []Stream{7, 8}}
	var decoded Request
	g.Expect(wire.Decode(wire.MustEncode(&request), &decoded)).To(gomega.Succeed())
	g.Expect(decoded).To(gomega.Equal(request))
	g.Expect(decoded.Begun).To(gomega.HaveLen(2))
	for _, bad := range []Request{
		{Find: make([]Stream, MaxStreams+1)},
		{Begun: []Group{{Origin: Origin{Service: "s"}, Streams: make([]Stream, MaxStreams+1)}}},
		{Begun: []Group{{Streams: []Stream{1}}}},
	} {
		g.Expect(wire.Decode(wire.MustEncode(&bad), &decoded)).NotTo(gomega.Succeed())
	}
}
