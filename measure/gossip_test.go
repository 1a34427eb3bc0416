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

// Intervals and limits of the simulated gossip, as in the daemon. A node compares
// its table with another every compareRounds rounds, and pushes renewals alone
// only every renewRounds rounds.
const (
	gossipInterval = 200 * time.Millisecond
	gossipFanout   = 2
	compareRounds  = 5
	renewRounds    = 2
	maxPushBytes   = 256 << 10
)

// gossipSimulation runs the member tables of several nodes that gossip on a
// virtual clock. With wholeDigest, nodes compare digests of all records instead
// of interval digests.
type gossipSimulation struct {
	random      *rand.Rand
	tables      []*member.Table
	now         time.Duration
	sentBytes   int
	rounds      int
	sequence    uint64
	upstreams   int
	documents   int
	wholeDigest bool
}

func newGossipSimulation(nodes, upstreams, documents int, wholeDigest bool) *gossipSimulation {
	c := &gossipSimulation{random: rand.New(rand.NewPCG(1, 2)), upstreams: upstreams, documents: documents, wholeDigest: wholeDigest}
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
	d := assistantDocument()
	d.Name = fmt.Sprintf("service-%04d", i)
	return document.Record(service.Accepted{Revision: revision, Document: d})
}

func (c *gossipSimulation) countBytes(v any) { c.sentBytes += len(wire.MustEncode(v)) }

// refresh renews the node records every 5 rounds, and the upstream and demand
// records every 3.
func (c *gossipSimulation) refresh() {
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
				r.Demands = append(r.Demands, share.Demand{Key: share.Key{Rank: caller % 3, Caller: callerNames[caller]}, Rate: float64(c.random.IntN(1000))})
			}
			t.Merge(c.now, []member.Record{{
				Key: member.Key{Kind: member.Demand, ID: entryName(i) + "/assistant"}, Version: member.Version{Incarnation: 1, Sequence: c.sequence},
				Remaining: 3 * time.Second, Payload: wire.MustEncode(&r),
			}})
		}
	}
}

func (c *gossipSimulation) runRound() {
	c.now += gossipInterval
	c.rounds++
	for _, t := range c.tables {
		t.Expire(c.now)
	}
	c.refresh()
	for i, t := range c.tables {
		if !t.HasChangesToPush() && (c.rounds+i)%renewRounds != 0 {
			continue
		}
		if changes := t.NextPush(c.now, maxPushBytes, false); len(changes) > 0 {
			for range gossipFanout {
				to := c.randomPeer(i)
				c.countBytes(&member.Exchange{From: entryName(i), Push: changes})
				c.tables[to].Merge(c.now, changes)
			}
		}
	}
	for i, t := range c.tables {
		if (c.rounds+i)%compareRounds == 0 {
			c.compare(t, c.tables[c.randomPeer(i)], entryName(i))
		}
	}
}

func (c *gossipSimulation) randomPeer(self int) int {
	if len(c.tables) == 1 {
		return 0
	}
	return (self + 1 + c.random.IntN(len(c.tables)-1)) % len(c.tables)
}

// compare runs one comparison of two tables, by a digest of all records or by
// one with a checksum for each interval of document revisions.
func (c *gossipSimulation) compare(t, other *member.Table, from string) {
	m := member.Exchange{From: from, Compare: true}
	if c.wholeDigest {
		m.Digest = t.Digest()
	} else {
		m.Digest, m.Intervals = t.IntervalDigest()
	}
	c.countBytes(&m)
	var answer member.Answer
	if c.wholeDigest {
		answer.Push, answer.Want = other.Compare(c.now, m.Digest)
	} else {
		answer = other.Answer(c.now, m)
	}
	c.countBytes(&answer)
	t.Merge(c.now, answer.Push)
	want := append(answer.Want, t.Missing(answer.Digest)...)
	more := t.Newer(c.now, answer.Digest)
	if len(want) > 0 || len(more) > 0 {
		push := append(t.Select(c.now, answer.Want), more...)
		c.countBytes(&member.Exchange{From: from, Push: push})
		other.Merge(c.now, push)
		t.Merge(c.now, other.Select(c.now, t.Missing(answer.Digest)))
	}
}

// propagationTime is the time until a change made in one table is in all.
func (c *gossipSimulation) propagationTime() time.Duration {
	r := documentRecord(0, 1_000_000+c.sequence)
	c.tables[0].Merge(c.now, []member.Record{r})
	began := c.now
	for {
		c.runRound()
		everywhere := true
		for _, t := range c.tables {
			current, _ := t.Get(r.Key)
			everywhere = everywhere && current.Version == r.Version
		}
		if everywhere {
			return c.now - began
		}
	}
}

func TestGossipCostByNodes(_ *testing.T) {
	for _, documents := range []int{20, 300} {
		for _, wholeDigest := range []bool{true, false} {
			name := "interval"
			if wholeDigest {
				name = "flat"
			}
			for _, n := range []int{2, 8, 32, 128} {
				c := newGossipSimulation(n, 4*n, documents, wholeDigest)
				const warmUpRounds, rounds = 10, 25
				for range warmUpRounds {
					c.runRound()
				}
				c.sentBytes = 0
				began := time.Now()
				for range rounds {
					c.runRound()
				}
				cpu := time.Since(began)
				seconds := rounds * gossipInterval.Seconds()
				bytesPerNode := float64(c.sentBytes) / float64(n) / seconds
				coreFraction := cpu.Seconds() / float64(n) / seconds
				fmt.Printf("%-8s documents %3d nodes %3d upstreams %3d: %7.0f B/s a node sent, %.3f%% of a core a node, change everywhere after %v\n",
					name, documents, n, 4*n, bytesPerNode, 100*coreFraction, c.propagationTime())
			}
		}
	}
}
