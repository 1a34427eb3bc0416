package e2e

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/operator"
)

var _ = ginkgo.Describe("A request that crashes its upstreams", func() {
	ginkgo.It("kills at most two when it is sent 20 times, and its neighbours all finish", func() {
		nodes := twoZones()
		engines := startEngines(nodes, []string{"a", "a", "a", "b", "b", "b"}, "--decode", "5ms", "--crashOn", "FATAL")
		l := startLoad(12, 40, func(i int) *process { return nodes[i%len(nodes)] })
		l.answers(12)
		for i := range 20 {
			_, err := ask(nodes[i%len(nodes)], "FATAL question", 10, false, map[string]string{"X-Caller": "unlucky"})
			gomega.Expect(err).To(gomega.HaveOccurred())
			if i > 0 {
				gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("quarantined")))
			}
		}
		l.answers(24)
		l.end()
		dead := 0
		for _, e := range engines {
			if e.ExitCode() >= 0 {
				dead++
			}
		}
		gomega.Expect(dead).To(gomega.Equal(2))
	})
})

var _ = ginkgo.Describe("Open connections that go silent while new ones work", func() {
	ginkgo.It("cost no answer and run no booking twice, towards upstreams", func() {
		nodes := twoZones()
		var wires []*wire
		var bookings []*process
		behind := func(kind, id, zone, serves string, flags ...string) *process {
			listen := reserveAddress()
			w := newWire(listen)
			wires = append(wires, w)
			flags = append(flags, "--listen", listen.String(), "--advertise", w.address().String())
			return startUpstream(upstreamOptions{kind: kind, id: id, zone: zone, serves: serves, entries: nodes, flags: flags})
		}
		for i, zone := range []string{"a", "b"} {
			behind("engine", fmt.Sprintf("engine-%d", i), zone, "rota-7b", "--decode", "5ms")
			bookings = append(bookings, behind("service", fmt.Sprintf("booking-%d", i), zone, "booking"))
		}
		waitServing(nodes, "assistant", 2)
		waitServing(nodes, "booking", 2)
		l := startLoad(8, 40, func(i int) *process { return nodes[i%len(nodes)] })
		l.everybody(1)
		silenced := 0
		for _, w := range wires {
			silenced += w.silence()
		}
		gomega.Expect(silenced).To(gomega.BeNumerically(">", 4))
		l.everybody(2)
		for i := range 20 {
			r := book(nodes[i%4], "sitters", fmt.Sprintf("key-%d", i), fmt.Sprintf("booking %d", i))
			gomega.Expect(r.status).To(gomega.Equal(http.StatusOK), "%s", r.body)
		}
		l.end()
		for name, n := range ranCounts(bookings...) {
			gomega.Expect(n).To(gomega.Equal(1), name)
		}
	})

	ginkgo.It("cost no accepted configuration, between nodes", func() {
		d := newWired()
		first := d.apply()
		for range 3 {
			for _, w := range d.wires {
				w.silence()
			}
			began := time.Now()
			next := d.apply()
			gomega.Expect(next).To(gomega.BeNumerically(">", first))
			d.waitInForce(d.nodes, next)
			gomega.Expect(time.Since(began)).To(gomega.BeNumerically("<", 8*time.Second))
		}
	})
})

// wired is a deployment of three zones with one node each, every one behind
// its own wire.
type wired struct {
	nodes []*process
	wires []*wire
	turn  int
}

func newWired() *wired {
	ginkgo.GinkgoHelper()
	d := &wired{}
	var seeds []netip.AddrPort
	for i, zone := range []string{"a", "b", "c"} {
		listen := reserveAddress()
		w := newWire(listen)
		o := nodeOptions{
			name: "entry-" + zone, zone: zone, roles: "entry, keeper", seeds: seeds, peers: listen,
			folder: ginkgo.GinkgoT().TempDir(), extra: fmt.Sprintf("[keeper]\nbootstrap = %t\n", i == 0), advertise: w.address(),
		}
		d.nodes = append(d.nodes, startNode(o))
		d.wires = append(d.wires, w)
		seeds = append(seeds, w.address())
	}
	applyExamples(d.nodes[0])
	return d
}

// apply writes the booking document through the first node.
func (d *wired) apply() uint64 {
	ginkgo.GinkgoHelper()
	return d.applyThrough(d.nodes[0])
}

func (d *wired) applyThrough(n *process) uint64 {
	ginkgo.GinkgoHelper()
	d.turn++
	change := fmt.Sprintf("change-%d", d.turn)
	var stored operator.StoredDocument
	gomega.Eventually(func() error {
		var err error
		stored, err = n.operator().Apply(context.Background(), operator.DocumentWrite{Name: "booking", INI: bookingINI, ChangeID: change, IfMatch: "*"})
		return err
	}, startLimit).Should(gomega.Succeed())
	return stored.Revision
}

func (d *wired) waitInForce(nodes []*process, revision uint64) {
	ginkgo.GinkgoHelper()
	for _, n := range nodes {
		gomega.Eventually(func() uint64 {
			r, _ := n.operator().InForce(context.Background(), "booking")
			return r
		}, startLimit).Should(gomega.BeNumerically(">=", revision), n.Instance)
	}
}

var _ = ginkgo.Describe("A zone that is cut off", func() {
	ginkgo.It("goes on serving from its own upstreams, keeps its configuration and joins again", func() {
		d := newWired()
		for i, zone := range []string{"a", "b", "c"} {
			startUpstream(upstreamOptions{
				kind: "engine", id: "engine-" + zone, zone: "a", serves: "rota-7b", entries: d.nodes[i : i+1], flags: []string{"--decode", "1ms"},
			})
		}
		waitServing(d.nodes, "assistant", 3)
		before := d.apply()
		d.waitInForce(d.nodes, before)
		d.wires[2].setCut(true)
		d.nodes[2].signal(syscall.SIGSTOP)
		d.nodes[2].signal(syscall.SIGCONT)
		after := d.apply()
		d.waitInForce(d.nodes[:2], after)
		for i := range 10 {
			content := fmt.Sprintf("question %d", i)
			text, err := ask(d.nodes[2], content, 5, true, nil)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(text).To(gomega.Equal(expected(content, 5)))
		}
		d.wires[2].setCut(false)
		d.waitInForce(d.nodes, after)
	})
})

var _ = ginkgo.Describe("Operators who race", func() {
	ginkgo.It("have one winner for each revision, and a change that is sent again gets its first answer", func() {
		nodes := twoZones()
		client := nodes[0].operator()
		held, err := client.Get(context.Background(), "booking")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		const racers = 8
		revisions := make([]uint64, racers)
		var wait sync.WaitGroup
		for i := range racers {
			wait.Go(func() {
				s, err := nodes[i%4].operator().Apply(context.Background(), operator.DocumentWrite{
					Name: "booking", INI: bookingINI, ChangeID: fmt.Sprintf("racer-%d", i), IfMatch: operator.MatchRevision(held.Revision),
				})
				if err == nil {
					revisions[i] = s.Revision
				}
			})
		}
		wait.Wait()
		winner := -1
		for i, r := range revisions {
			if r > 0 {
				gomega.Expect(winner).To(gomega.Equal(-1), "two winners")
				winner = i
			}
		}
		gomega.Expect(winner).NotTo(gomega.Equal(-1))
		for i := range 300 {
			_, err := nodes[i%4].operator().Apply(context.Background(), operator.DocumentWrite{Name: "booking", INI: bookingINI, ChangeID: fmt.Sprintf("later-%d", i), IfMatch: "*"})
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		for i, n := range nodes[:keepers] {
			n.Kill().Wait(stopLimit)
			nodes[i] = n.again()
		}
		var again operator.StoredDocument
		gomega.Eventually(func() error {
			var err error
			again, err = nodes[3].operator().Apply(context.Background(), operator.DocumentWrite{
				Name: "booking", INI: bookingINI, ChangeID: fmt.Sprintf("racer-%d", winner), IfMatch: operator.MatchRevision(held.Revision),
			})
			return err
		}, startLimit).Should(gomega.Succeed())
		gomega.Expect(again.Revision).To(gomega.Equal(revisions[winner]))
	})
})

var _ = ginkgo.Describe("A keeper that lost its disk", func() {
	ginkgo.It("is replaced, and the next loss leaves a majority", func() {
		var nodes []*process
		var seeds []netip.AddrPort
		for i := range 4 {
			n := startNode(nodeOptions{
				name: fmt.Sprintf("keeper-%d", i), zone: "a", roles: "entry, keeper", seeds: seeds, folder: ginkgo.GinkgoT().TempDir(),
				extra: fmt.Sprintf("[keeper]\nbootstrap = %t\nreplaceAfter = 1s\n", i == 0),
			})
			nodes = append(nodes, n)
			seeds = append(seeds, n.Peers)
		}
		applyExamples(nodes[0])
		for round := range 2 {
			nodes[round].Kill().Wait(stopLimit)
			gone := nodes[round]
			nodes[round] = gone.onEmptyDisk()
			gomega.Eventually(func() bool { return voters(nodes) }, 2*startLimit).Should(gomega.BeTrue())
		}
		s, err := nodes[3].operator().Apply(context.Background(), operator.DocumentWrite{Name: "booking", INI: bookingINI, ChangeID: "after", IfMatch: "*"})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(s.Revision).To(gomega.Equal(uint64(3)))
	})
})
