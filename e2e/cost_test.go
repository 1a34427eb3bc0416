package e2e

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// usage is the processor time and memory that a process has used so far.
type usage struct {
	cpu        time.Duration
	residentKB int
}

func usageOf(p *process) usage {
	ginkgo.GinkgoHelper()
	proc := fmt.Sprintf("/proc/%d/", p.Command.Process.Pid)
	stat, err := os.ReadFile(proc + "stat")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+2:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	statm, err := os.ReadFile(proc + "statm")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	pages, _ := strconv.Atoi(strings.Fields(string(statm))[1])
	const tick = 10 * time.Millisecond
	return usage{time.Duration(user+system) * tick, pages * os.Getpagesize() >> 10}
}

// Prints the processor time and memory of nodes without callers, for several
// numbers of nodes and upstreams. Takes minutes, so it runs on request only.
var _ = ginkgo.Describe("The cost of control", func() {
	ginkgo.It("is printed for several sizes", func() {
		if os.Getenv("HYSSOPLADDER_MEASURE") == "" {
			ginkgo.Skip("set HYSSOPLADDER_MEASURE=1 to measure")
		}
		for _, size := range []struct{ nodes, upstreams int }{{3, 0}, {3, 12}, {8, 12}, {8, 48}, {16, 48}} {
			var nodes []*process
			var seeds []netip.AddrPort
			for i := range size.nodes {
				o := nodeOptions{name: fmt.Sprintf("node-%d-%d", size.upstreams, i), zone: "a", roles: "entry", seeds: seeds}
				if i < keeperCount {
					o.roles, o.dataFolder = "entry, keeper", ginkgo.GinkgoT().TempDir()
					o.extra = fmt.Sprintf("[keeper]\nbootstrap = %t\n", i == 0)
				}
				nodes = append(nodes, startNode(o))
				seeds = append(seeds, nodes[i].Peers)
			}
			applyExamples(nodes[0])
			var upstreams []*process
			for i := range size.upstreams {
				upstreams = append(upstreams, startUpstream(upstreamOptions{
					kind: "engine", id: fmt.Sprintf("engine-%d", i), zone: "a", serves: "rota-7b", entries: []*process{nodes[i%size.nodes]},
				}))
			}
			waitForUpstreams(nodes, "assistant", size.upstreams)
			const measuredTime = 10 * time.Second
			before := make([]usage, size.nodes)
			for i, n := range nodes {
				before[i] = usageOf(n)
			}
			began := time.Now()
			gomega.Consistently(func() bool { return true }, measuredTime, time.Second).Should(gomega.BeTrue())
			elapsed := time.Since(began)
			for i, role := range map[int]string{0: "entry and keeper", size.nodes - 1: "last node"} {
				u := usageOf(nodes[i])
				fmt.Printf("cost: %2d nodes %2d upstreams, %-16s: %.2f%% of a core, %d KB resident\n", size.nodes, size.upstreams, role,
					100*float64(u.cpu-before[i].cpu)/float64(elapsed), u.residentKB)
			}
			for _, p := range append(nodes, upstreams...) {
				p.Kill().Wait(stopLimit)
			}
		}
	})
})
