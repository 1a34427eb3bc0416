package e2e

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/operator"
	"github.com/hyssopladder/hyssopladder/result"
)

// foundLimit is the time in which a majority of the seeds in touch has a cluster that accepts
// changes.
const foundLimit = 5 * time.Second

func applyBooking(n *process, changeID string, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	_, err := n.operator().Apply(ctx, operator.DocumentWrite{Name: "booking", INI: bookingINI, ChangeID: changeID})
	return err
}

// clusters returns the clusters that the nodes say they belong to, in order of the nodes.
func clusters(nodes []*process) []uint64 {
	var ids []uint64
	for _, n := range nodes {
		infos, err := n.operator().Nodes(context.Background())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		for _, info := range infos {
			if info.Address == n.Peers {
				ids = append(ids, info.Cluster)
			}
		}
	}
	return ids
}

var _ = ginkgo.Describe("A first start", func() {
	// Guards against a single seed whose absence keeps the others from founding a cluster.
	for missing := range 3 {
		ginkgo.It(fmt.Sprintf("needs two seeds of three, whichever they are: without seed %d", missing), func() {
			options := seedOptions()
			first, second := startNode(options[(missing+1)%3]), options[(missing+2)%3]
			err := applyBooking(first, "alone", time.Minute)
			gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("have to be in touch to found a cluster")))
			gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(options[missing].peers.String())))
			gomega.Expect(result.From(err).Ran).To(gomega.Equal(result.RanNo))

			status, err := first.operator().Status(context.Background())
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(status.Waiting).To(gomega.ContainSubstring(options[missing].peers.String()))

			// A platform starts a seed anew without bootstrap.
			first.stop()
			first.options.extra = seedSettings(false)
			first = first.restart()

			nodes := []*process{first, startNode(second)}
			began := time.Now()
			gomega.Expect(applyBooking(first, "founded", foundLimit)).To(gomega.Succeed())
			gomega.Expect(time.Since(began)).To(gomega.BeNumerically("<", foundLimit))
			nodes = append(nodes, startNode(options[missing]))
			gomega.Eventually(func() bool { return allVotersLive(nodes) }, startLimit).Should(gomega.BeTrue())
			ids := clusters(nodes)
			gomega.Expect(ids).To(gomega.Equal([]uint64{ids[0], ids[0], ids[0]}))
		})
	}

	// HYSSOPLADDER_FIRST_STARTS is the number of first starts.
	ginkgo.It("makes one cluster of all seeds that start together", func() {
		starts, err := strconv.Atoi(os.Getenv("HYSSOPLADDER_FIRST_STARTS"))
		if err != nil {
			starts = 2
		}
		for range starts {
			nodes := make([]*process, 3)
			var started sync.WaitGroup
			for i, o := range seedOptions() {
				started.Go(func() {
					defer ginkgo.GinkgoRecover()
					nodes[i] = startNode(o)
				})
			}
			started.Wait()
			began := time.Now()
			gomega.Expect(applyBooking(nodes[0], "first", foundLimit)).To(gomega.Succeed())
			ginkgo.GinkgoWriter.Println("founded after", time.Since(began))
			gomega.Eventually(func() []uint64 { return clusters(nodes) }, startLimit).Should(gomega.HaveEach(clusters(nodes[:1])[0]))
			for _, n := range nodes {
				n.Kill()
				gomega.Eventually(n.Exited, stopLimit).Should(gomega.BeClosed())
			}
		}
	})
})
