package member

import (
	"flag"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/wire"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

func record(id string, incarnation, sequence uint64, leaving bool, lease time.Duration) Record {
	return Record{
		Key:       Key{Kind: Upstream, ID: id},
		Version:   Version{Incarnation: incarnation, Sequence: sequence, Leaving: leaving},
		Remaining: lease,
	}
}

func TestMerge(t *testing.T) {
	const lease = time.Second
	cases := []struct {
		name  string
		merge []Record
		at    clock.Instant
		live  int
	}{
		{"ready", []Record{record("u", 1, 1, false, lease)}, 0, 1},
		{"lease over", []Record{record("u", 1, 1, false, lease)}, lease, 0},
		{"leaving is final", []Record{record("u", 1, 1, true, lease), record("u", 1, 7, false, lease)}, 0, 0},
		{"next incarnation", []Record{record("u", 1, 1, true, lease), record("u", 2, 1, false, lease)}, 0, 1},
		{"older sequence", []Record{record("u", 1, 5, false, lease), record("u", 1, 4, false, 9*lease)}, lease, 0},
		{"no lease", []Record{record("u", 0, 1, false, 0)}, time.Hour, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			table := New()
			table.Merge(0, c.merge)
			g.Expect(table.Live(c.at, Upstream)).To(gomega.HaveLen(c.live))
		})
	}
}

func TestEndedRecordIsNotRevivedByAnOldCopy(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := New(), New()
	r := record("u", 1, 1, false, time.Second)
	a.Merge(0, []Record{r})
	b.Merge(0, []Record{r})
	g.Expect(a.Expire(time.Second)).To(gomega.HaveLen(1))
	a.Merge(time.Second, b.Select(900*time.Millisecond, []Key{r.Key}))
	g.Expect(a.Live(time.Second, Upstream)).To(gomega.BeEmpty())
	a.Merge(time.Second, []Record{record("u", 1, 2, false, time.Second)})
	g.Expect(a.Live(time.Second, Upstream)).To(gomega.HaveLen(1))
}

func TestRenewals(t *testing.T) {
	ready := record("u", 1, 1, false, time.Second)
	ready.Payload = []byte("ready")
	renewal := func(incarnation, sequence uint64, leaving bool) Record {
		r := record("u", incarnation, sequence, leaving, time.Second)
		r.Renewal = true
		return r
	}
	cases := []struct {
		name     string
		held     []Record
		renewal  Record
		accepted bool
	}{
		{"of the previous version", []Record{ready}, renewal(1, 2, false), true},
		{"of an unknown record", nil, renewal(1, 2, false), false},
		{"of another incarnation", []Record{ready}, renewal(2, 1, false), false},
		{"of a leaving record that was missed", []Record{ready}, renewal(1, 3, true), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			table := New()
			table.Merge(0, c.held)
			changed := table.Merge(0, []Record{c.renewal})
			g.Expect(len(changed) == 1).To(gomega.Equal(c.accepted))
			if c.accepted {
				g.Expect(changed[0].Payload).To(gomega.Equal(ready.Payload))
			}
		})
	}
}

func TestPushOmitsUnchangedPayload(t *testing.T) {
	g := gomega.NewWithT(t)
	table := New()
	for sequence := uint64(1); sequence <= 2; sequence++ {
		r := record("u", 1, sequence, false, time.Second)
		r.Payload = []byte("ready")
		table.Merge(0, []Record{r})
		pushed := table.NextPush(0, 1000, false)
		g.Expect(pushed).To(gomega.HaveLen(1))
		g.Expect(pushed[0].Renewal).To(gomega.Equal(sequence == 2))
	}
	leaving := record("u", 1, 3, true, time.Second)
	leaving.Payload = []byte("ready")
	table.Merge(0, []Record{leaving})
	g.Expect(table.NextPush(0, 1000, false)[0].Payload).NotTo(gomega.BeEmpty())
}

func TestLeaseIsNotExtendedInTransit(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := New(), New()
	r := record("u", 1, 1, false, time.Second)
	a.Merge(0, []Record{r})
	b.Merge(0, a.Select(600*time.Millisecond, []Key{r.Key}))
	g.Expect(b.Live(399*time.Millisecond, Upstream)).To(gomega.HaveLen(1))
	g.Expect(b.Live(401*time.Millisecond, Upstream)).To(gomega.BeEmpty())
}

// TestTablesConverge changes records at random tables, with pushes and exchanges
// in random order, and compares the tables with a map of the newest versions. A
// push reaches one table at most and is lost for the others.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 4
		tables := make([]*Table, n)
		for i := range tables {
			tables[i] = New()
		}
		newest := map[Key]Version{}
		pick := func(t *rapid.T, name string) *Table { return tables[rapid.IntRange(0, n-1).Draw(t, name)] }
		exchange := func(from, to *Table) {
			push, want := to.Compare(0, from.Digest())
			from.Merge(0, push)
			to.Merge(0, from.Select(0, want))
		}
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				r := record(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "id")), rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
					rapid.Uint64Range(1, 9).Draw(t, "sequence"), rapid.Bool().Draw(t, "leaving"), time.Minute)
				pick(t, "table").Merge(0, []Record{r})
				if v, ok := newest[r.Key]; !ok || r.After(v) {
					newest[r.Key] = r.Version
				}
			},
			"push":     func(t *rapid.T) { pick(t, "to").Merge(0, pick(t, "from").NextPush(0, 1000, false)) },
			"exchange": func(t *rapid.T) { exchange(pick(t, "from"), pick(t, "to")) },
		})
		for range 2 {
			for _, a := range tables {
				for _, b := range tables {
					exchange(a, b)
				}
			}
		}
		for i, table := range tables {
			for key, v := range newest {
				if row, _ := table.Get(key); row.Version != v {
					t.Fatalf("table %d holds %v of %v, want %v", i, row.Version, key, v)
				}
			}
		}
	})
}

func FuzzExchange(f *testing.F) {
	f.Add(wire.MustEncode(&Exchange{From: "a", Push: []Record{record("u", 1, 1, false, time.Second)}}))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var e Exchange
		if wire.Decode(data, &e) == nil {
			table := New()
			table.Merge(0, e.Push)
			table.Compare(0, e.Digest)
			table.NextPush(0, 100, false)
		}
	})
}

// Keepers renew the records of thousands of upstreams. Each renewal must be
// pushed once to each peer, and peers must not push it again; only changes are
// passed on.
func TestDirectRenewalsArePushedOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	origin, peer := New(), New()
	withPayload := func(kind Kind, id string, n uint64) Record {
		r := record(id, 1, n, false, time.Minute)
		r.Kind, r.Payload = kind, []byte("payload")
		return r
	}
	first, second := withPayload(Upstream, "u", 1), withPayload(Upstream, "u", 2)
	node := func(n uint64) Record { return withPayload(Node, "n", n) }
	origin.Merge(0, []Record{first, node(1)})
	for range pushesPerChange {
		peer.MergeDirect(0, origin.NextPush(0, 1000, true))
	}
	g.Expect(origin.NextPush(0, 1000, true)).To(gomega.BeEmpty())
	for range pushesPerChange {
		g.Expect(peer.NextPush(0, 1000, true)).To(gomega.HaveLen(2))
	}
	origin.Merge(0, []Record{second, node(2)})
	pushed := origin.NextPush(0, 1000, true)
	g.Expect(pushed).To(gomega.HaveLen(2))
	g.Expect(origin.NextPush(0, 1000, true)).To(gomega.HaveLen(1))
	g.Expect(peer.MergeDirect(0, pushed)).To(gomega.HaveLen(2))
	relayed := peer.NextPush(0, 1000, true)
	g.Expect(relayed).To(gomega.HaveLen(1))
	g.Expect(relayed[0].Kind).To(gomega.Equal(Node))
	// A peer that the push didn't reach gets the renewal by comparison.
	late := New()
	late.MergeDirect(0, []Record{first})
	push, _ := origin.Compare(0, late.Digest())
	g.Expect(late.MergeDirect(0, push)).NotTo(gomega.BeEmpty())
}

// TestRenewalDoesNotHideAMissedChange loses the push of a change and delivers the
// renewal after it: the old payload must not stand under the new version, and a
// comparison brings the new one.
func TestRenewalDoesNotHideAMissedChange(t *testing.T) {
	g := gomega.NewWithT(t)
	now := clock.Instant(time.Second)
	record := func(sequence uint64, payload string) Record {
		return Record{Key: Key{Kind: Upstream, ID: "u"}, Version: Version{Incarnation: 1, Sequence: sequence}, Remaining: MaxLease, Payload: []byte(payload)}
	}
	origin, other := New(), New()
	for _, table := range []*Table{origin, other} {
		table.Merge(now, []Record{record(1, "old")})
	}
	origin.Merge(now, []Record{record(2, "new")})
	origin.NextPush(now, 1<<20, true)
	origin.Merge(now, []Record{record(3, "new")})
	renewal := origin.NextPush(now, 1<<20, true)
	g.Expect(renewal).To(gomega.HaveLen(1))
	g.Expect(renewal[0].Renewal).To(gomega.BeTrue())
	other.Merge(now, renewal)
	got, _ := other.Get(renewal[0].Key)
	g.Expect(string(got.Payload) + " " + strconv.FormatUint(got.Sequence, 10)).To(gomega.BeElementOf("old 1", "new 3"))
	other.Merge(now, []Record{record(3, "new")})
	got, _ = other.Get(renewal[0].Key)
	g.Expect(string(got.Payload)).To(gomega.Equal("new"))
}
