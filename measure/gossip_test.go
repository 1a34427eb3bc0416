package measure

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/document"
	"github.com/hyssopladder/hyssopladder/member"
	"github.com/hyssopladder/hyssopladder/service"
	"github.com/hyssopladder/hyssopladder/share"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// Rhythm of the gossip that is measured, as the daemon's.
const (
	gossipInterval = 200 * time.Millisecond
	gossipFanOut   = 2
	compareEvery   = 5
	renewEvery     = 2
	pushBytes      = 256 << 10
)

// crowdOfTables runs N tables that gossip on a virtual clock.
type crowdOfTables struct {
	random    *rand.Rand
	tables    []*member.Table
	now       time.Duration
	bytes     int
	rounds    int
	sequence  uint64
	upstreams int
	documents int
	flat      bool
}

func newCrowd(nodes, upstreams, documents int, flat bool) *crowdOfTables {
	c := &crowdOfTables{random: rand.New(rand.NewPCG(1, 2)), upstreams: upstreams, documents: documents, flat: flat}
	for range nodes {
		c.tables = append(c.tables, member.New())
	}
	for i := range documents {
		for _, t := range c.tables {
			t.Merge(0, []member.Record{documentRecord(i, uint64(i+1))})
		}
	}
	return c
}

func documentRecord(i int, revision uint64) member.Record {
	d := limaDocument()
	d.Name = fmt.Sprintf("service-%04d", i)
	return document.Record(service.Accepted{Revision: revision, Document: d})
}

func (c *crowdOfTables) send(v any) { c.bytes += len(wire.MustEncode(v)) }

// refresh renews what has to be renewed in this round.
func (c *crowdOfTables) refresh() {
	c.sequence++
	if c.rounds%5 == 0 {
		for i, t := range c.tables {
			info := member.NodeInfo{Name: entryName(i), Region: "r", Zone: "a", Address: netip.MustParseAddrPort("10.0.0.1:7000"), Roles: []string{"entry"}}
			t.Merge(c.now, []member.Record{{
				Key: member.Key{Kind: member.Node, ID: entryName(i)}, Version: member.Version{Incarnation: 1, Sequence: c.sequence},
				Remaining: 3 * time.Second, Payload: wire.MustEncode(&info),
			}})
		}
	}
	if c.rounds%3 == 0 {
		for i := range c.upstreams {
			a := upstream.Announcement{
				ID: fmt.Sprintf("engine-%04d", i), Incarnation: 1, Sequence: c.sequence, Zone: "a", Class: "small", Kind: service.Model,
				Address: netip.MustParseAddrPort("10.0.0.1:8000"), Models: []string{"rota-7b"}, Lease: 2 * time.Second, Slots: 8,
			}
			c.tables[i%len(c.tables)].Merge(c.now, []member.Record{a.Record()})
		}
		for i, t := range c.tables {
			r := share.Report{Entry: entryName(i), Service: "assistant"}
			for caller := range 5 {
				r.Demands = append(r.Demands, share.Demand{Key: share.Key{Rank: caller % 3, Caller: fiveCallers[caller]}, Rate: float64(c.random.IntN(1000))})
			}
			t.Merge(c.now, []member.Record{{
				Key: member.Key{Kind: member.Demand, ID: entryName(i) + "/assistant"}, Version: member.Version{Incarnation: 1, Sequence: c.sequence},
				Remaining: 3 * time.Second, Payload: wire.MustEncode(&r),
			}})
		}
	}
}

func (c *crowdOfTables) round() {
	c.now += gossipInterval
	c.rounds++
	for _, t := range c.tables {
		t.Expire(c.now)
	}
	c.refresh()
	for i, t := range c.tables {
		if !t.HasChangesToPush() && (c.rounds+i)%renewEvery != 0 {
			continue
		}
		if hot := t.NextPush(c.now, pushBytes, false); len(hot) > 0 {
			for range gossipFanOut {
				to := c.other(i)
				c.send(&member.Exchange{From: entryName(i), Push: hot})
				c.tables[to].Merge(c.now, hot)
			}
		}
	}
	for i, t := range c.tables {
		if (c.rounds+i)%compareEvery == 0 {
			c.compare(t, c.tables[c.other(i)], entryName(i))
		}
	}
}

func (c *crowdOfTables) other(i int) int {
	if len(c.tables) == 1 {
		return 0
	}
	return (i + 1 + c.random.IntN(len(c.tables)-1)) % len(c.tables)
}

// compare runs one comparison, by the whole digest or with documents summed up
// by interval of revisions.
func (c *crowdOfTables) compare(t, other *member.Table, from string) {
	m := member.Exchange{From: from, Compare: true}
	if c.flat {
		m.Digest = t.Digest()
	} else {
		m.Digest, m.Intervals = t.IntervalDigest()
	}
	c.send(&m)
	var answer member.Answer
	if c.flat {
		answer.Push, answer.Want = other.Compare(c.now, m.Digest)
	} else {
		answer = other.Answer(c.now, m)
	}
	c.send(&answer)
	t.Merge(c.now, answer.Push)
	want := append(answer.Want, t.Missing(answer.Digest)...)
	more := t.Newer(c.now, answer.Digest)
	if len(want) > 0 || len(more) > 0 {
		push := append(t.Select(c.now, answer.Want), more...)
		c.send(&member.Exchange{From: from, Push: push})
		other.Merge(c.now, push)
		t.Merge(c.now, other.Select(c.now, t.Missing(answer.Digest)))
	}
}

// spreadTime is the time until a change made at one table is at all.
func (c *crowdOfTables) spreadTime() time.Duration {
	r := documentRecord(0, 1_000_000+c.sequence)
	c.tables[0].Merge(c.now, []member.Record{r})
	began := c.now
	for {
		c.round()
		everywhere := true
		for _, t := range c.tables {
			held, _ := t.Get(r.Key)
			everywhere = everywhere && held.Version == r.Version
		}
		if everywhere {
			return c.now - began
		}
	}
}

func TestGossipSlopes(_ *testing.T) {
	for _, documents := range []int{20, 300} {
		for _, flat := range []bool{true, false} {
			name := "interval"
			if flat {
				name = "flat"
			}
			for _, n := range []int{2, 8, 32, 128} {
				c := newCrowd(n, 4*n, documents, flat)
				const warm, rounds = 10, 25
				for range warm {
					c.round()
				}
				c.bytes = 0
				began := time.Now()
				for range rounds {
					c.round()
				}
				cpu := time.Since(began)
				seconds := rounds * gossipInterval.Seconds()
				perNode := float64(c.bytes) / float64(n) / seconds
				share := cpu.Seconds() / float64(n) / seconds
				fmt.Printf("%-8s documents %3d nodes %3d upstreams %3d: %7.0f B/s a node sent, %.3f%% of a core a node, change everywhere after %v\n",
					name, documents, n, 4*n, perNode, 100*share, c.spreadTime())
			}
		}
	}
}
