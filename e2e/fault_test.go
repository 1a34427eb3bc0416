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
	ginkgo.It("crashes at most two when it is sent 20 times, and all other requests finish", func() {
		nodes := startTwoZones()
		engines := startEngines(nodes, []string{"a", "a", "a", "b", "b", "b"}, "--decode", "5ms", "--crashOn", "FATAL")
		load := startLoad(12, 40, func(i int) *process { return nodes[i%len(nodes)] })
		load.waitForAnswers(12)
		for i := range 20 {
			_, err := askChat(nodes[i%len(nodes)], "FATAL question", 10, false, map[string]string{"X-Caller": "unlucky"})
			gomega.Expect(err).To(gomega.HaveOccurred())
			if i > 0 {
				gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("quarantined")))
			}
		}
		load.waitForAnswers(24)
		load.stopAndCheck()
		crashed := 0
		for _, e := range engines {
			if e.ExitCode() >= 0 {
				crashed++
			}
		}
		gomega.Expect(crashed).To(gomega.Equal(2))
	})
})

var _ = ginkgo.Describe("Open connections that go silent while new ones work", func() {
	ginkgo.It("between entries and upstreams lose no answer and run no booking twice", func() {
		nodes := startTwoZones()
		var relays []*tcpRelay
		var bookings []*process
		startBehindRelay := func(kind, id, zone, serves string, flags ...string) *process {
			listen := reserveAddress()
			relay := startRelay(listen)
			relays = append(relays, relay)
			flags = append(flags, "--listen", listen.String(), "--advertise", relay.address().String())
			return startUpstream(upstreamOptions{kind: kind, id: id, zone: zone, serves: serves, entries: nodes, flags: flags})
		}
		for i, zone := range []string{"a", "b"} {
			startBehindRelay("engine", fmt.Sprintf("engine-%d", i), zone, "rota-7b", "--decode", "5ms")
			bookings = append(bookings, startBehindRelay("service", fmt.Sprintf("booking-%d", i), zone, "booking"))
		}
		waitForUpstreams(nodes, "assistant", 2)
		waitForUpstreams(nodes, "booking", 2)
		load := startLoad(8, 40, func(i int) *process { return nodes[i%len(nodes)] })
		load.waitForEachWorker(1)
		silencedCount := 0
		for _, relay := range relays {
			silencedCount += relay.silence()
		}
		gomega.Expect(silencedCount).To(gomega.BeNumerically(">", 4))
		load.waitForEachWorker(2)
		for i := range 20 {
			r := sendBooking(nodes[i%4], "sitters", fmt.Sprintf("key-%d", i), fmt.Sprintf("booking %d", i))
			gomega.Expect(r.status).To(gomega.Equal(http.StatusOK), "%s", r.body)
		}
		load.stopAndCheck()
		for name, n := range runCounts(bookings...) {
			gomega.Expect(n).To(gomega.Equal(1), name)
		}
	})

	ginkgo.It("between nodes lose no accepted configuration", func() {
		d := startRelayedDeployment()
		firstRevision := d.applyChange()
		for range 3 {
			for _, relay := range d.relays {
				relay.silence()
			}
			began := time.Now()
			revision := d.applyChange()
			gomega.Expect(revision).To(gomega.BeNumerically(">", firstRevision))
			d.waitInForce(d.nodes, revision)
			gomega.Expect(time.Since(began)).To(gomega.BeNumerically("<", 8*time.Second))
		}
	})
})

// relayedDeployment is three zones with one node each; other nodes reach a node
// only through its relay.
type relayedDeployment struct {
	nodes       []*process
	relays      []*tcpRelay
	changeCount int
}

func startRelayedDeployment() *relayedDeployment {
	ginkgo.GinkgoHelper()
	d := &relayedDeployment{}
	var seeds []netip.AddrPort
	for i, zone := range []string{"a", "b", "c"} {
		listen := reserveAddress()
		relay := startRelay(listen)
		o := nodeOptions{
			name: "entry-" + zone, zone: zone, roles: "entry, keeper", seeds: seeds, peers: listen,
			dataFolder: ginkgo.GinkgoT().TempDir(), extra: fmt.Sprintf("[keeper]\nbootstrap = %t\n", i == 0), advertise: relay.address(),
		}
		d.nodes = append(d.nodes, startNode(o))
		d.relays = append(d.relays, relay)
		seeds = append(seeds, relay.address())
	}
	applyExamples(d.nodes[0])
	return d
}

// applyChange writes the booking document through the first node and returns its
// new revision.
func (d *relayedDeployment) applyChange() uint64 {
	ginkgo.GinkgoHelper()
	return d.applyChangeThrough(d.nodes[0])
}

func (d *relayedDeployment) applyChangeThrough(n *process) uint64 {
	ginkgo.GinkgoHelper()
	d.changeCount++
	change := fmt.Sprintf("change-%d", d.changeCount)
	var stored operator.StoredDocument
	gomega.Eventually(func() error {
		var err error
		stored, err = n.operator().Apply(context.Background(), operator.DocumentWrite{Name: "booking", INI: bookingINI, ChangeID: change, IfMatch: "*"})
		return err
	}, startLimit).Should(gomega.Succeed())
	return stored.Revision
}

func (d *relayedDeployment) waitInForce(nodes []*process, revision uint64) {
	ginkgo.GinkgoHelper()
	for _, n := range nodes {
		gomega.Eventually(func() uint64 {
			r, _ := n.operator().InForce(context.Background(), "booking")
			return r
		}, startLimit).Should(gomega.BeNumerically(">=", revision), n.Instance)
	}
}

var _ = ginkgo.Describe("A zone that is cut off", func() {
	ginkgo.It("keeps serving from its own upstreams, keeps its configuration and rejoins", func() {
		d := startRelayedDeployment()
		for i, zone := range []string{"a", "b", "c"} {
			startUpstream(upstreamOptions{
				kind: "engine", id: "engine-" + zone, zone: "a", serves: "rota-7b", entries: d.nodes[i : i+1], flags: []string{"--decode", "1ms"},
			})
		}
		waitForUpstreams(d.nodes, "assistant", 3)
		revisionBefore := d.applyChange()
		d.waitInForce(d.nodes, revisionBefore)
		d.relays[2].setPartitioned(true)
		d.nodes[2].signal(syscall.SIGSTOP)
		d.nodes[2].signal(syscall.SIGCONT)
		revisionAfter := d.applyChange()
		d.waitInForce(d.nodes[:2], revisionAfter)
		for i := range 10 {
			content := fmt.Sprintf("question %d", i)
			text, err := askChat(d.nodes[2], content, 5, true, nil)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(text).To(gomega.Equal(expectedAnswer(content, 5)))
		}
		d.relays[2].setPartitioned(false)
		d.waitInForce(d.nodes, revisionAfter)
	})
})

var _ = ginkgo.Describe("Concurrent changes by operators", func() {
	ginkgo.It("succeed once for each revision, and a repeated change gets its first answer", func() {
		nodes := startTwoZones()
		client := nodes[0].operator()
		stored, err := client.Get(context.Background(), "booking")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		const racers = 8
		revisions := make([]uint64, racers)
		var wait sync.WaitGroup
		for i := range racers {
			wait.Go(func() {
				s, err := nodes[i%4].operator().Apply(context.Background(), operator.DocumentWrite{
					Name: "booking", INI: bookingINI, ChangeID: fmt.Sprintf("racer-%d", i), IfMatch: operator.MatchRevision(stored.Revision),
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
				gomega.Expect(winner).To(gomega.Equal(-1), "two changes of one revision succeeded")
				winner = i
			}
		}
		gomega.Expect(winner).NotTo(gomega.Equal(-1))
		for i := range 300 {
			_, err := nodes[i%4].operator().Apply(context.Background(), operator.DocumentWrite{Name: "booking", INI: bookingINI, ChangeID: fmt.Sprintf("later-%d", i), IfMatch: "*"})
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		for i, n := range nodes[:keeperCount] {
			n.Kill().Wait(stopLimit)
			nodes[i] = n.restart()
		}
		var repeated operator.StoredDocument
		gomega.Eventually(func() error {
			var err error
			repeated, err = nodes[3].operator().Apply(context.Background(), operator.DocumentWrite{
				Name: "booking", INI: bookingINI, ChangeID: fmt.Sprintf("racer-%d", winner), IfMatch: operator.MatchRevision(stored.Revision),
			})
			return err
		}, startLimit).Should(gomega.Succeed())
		gomega.Expect(repeated.Revision).To(gomega.Equal(revisions[winner]))
	})
})

var _ = ginkgo.Describe("A keeper that lost its disk", func() {
	ginkgo.It("is replaced as a voter, so that another loss leaves a majority", func() {
		var nodes []*process
		var seeds []netip.AddrPort
		for i := range 4 {
			n := startNode(nodeOptions{
				name: fmt.Sprintf("keeper-%d", i), zone: "a", roles: "entry, keeper", seeds: seeds, dataFolder: ginkgo.GinkgoT().TempDir(),
				extra: fmt.Sprintf("[keeper]\nbootstrap = %t\nreplaceAfter = 1s\n", i == 0),
			})
			nodes = append(nodes, n)
			seeds = append(seeds, n.Peers)
		}
		applyExamples(nodes[0])
		for round := range 2 {
			nodes[round].Kill().Wait(stopLimit)
			stopped := nodes[round]
			nodes[round] = stopped.restartOnEmptyDisk()
			gomega.Eventually(func() bool { return allVotersLive(nodes) }, 2*startLimit).Should(gomega.BeTrue())
		}
		s, err := nodes[3].operator().Apply(context.Background(), operator.DocumentWrite{Name: "booking", INI: bookingINI, ChangeID: "after", IfMatch: "*"})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(s.Revision).To(gomega.Equal(uint64(3)))
	})
})
