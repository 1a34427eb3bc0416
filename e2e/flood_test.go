package e2e

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/operator"
)

var _ = ginkgo.Describe("A flood of drafts", func() {
	ginkgo.It("is refused or queued, while urgent requests are answered in time", func() {
		nodes := startTwoZones()
		startEngines(nodes, []string{"a", "b"}, "--decode", "10ms", "--slots", "4")
		var stop atomic.Bool
		var answered, refused atomic.Int64
		var wait sync.WaitGroup
		for w := range 40 {
			wait.Go(func() {
				ticker := time.NewTicker(20 * time.Millisecond)
				defer ticker.Stop()
				for i := 0; !stop.Load(); i++ {
					<-ticker.C
					_, err := askChat(nodes[w%len(nodes)], fmt.Sprintf("draft %d of %d", i, w), 40, false,
						map[string]string{"X-Caller": "cooperative", "X-Call": "rota"})
					switch {
					case err == nil:
						answered.Add(1)
					case strings.Contains(err.Error(), `"ran":"no"`):
						refused.Add(1)
					default:
						ginkgo.GinkgoWriter.Println(err)
					}
				}
			})
		}
		gomega.Eventually(answered.Load, startLimit).Should(gomega.BeNumerically(">", 8))
		const target = 2 * time.Second
		const decodeTime = 40 * 10 * time.Millisecond
		for i := range 20 {
			content := fmt.Sprintf("medication %d", i)
			began := time.Now()
			text, err := askChat(nodes[i%len(nodes)], content, 40, false, map[string]string{"X-Caller": "sitters", "X-Call": "medication"})
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(text).To(gomega.Equal(expectedAnswer(content, 40)))
			gomega.Expect(time.Since(began)).To(gomega.BeNumerically("<", target+decodeTime))
		}
		// A change is in force at every node within seconds in spite of the flood.
		began := time.Now()
		stored, err := nodes[3].operator().Apply(context.Background(), operator.DocumentWrite{Name: "booking", INI: bookingINI, ChangeID: "in the flood", IfMatch: "*"})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		const limit = 8 * time.Second
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		pending, err := nodes[0].operator().WaitInForce(ctx, "booking", stored.Revision)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(pending).To(gomega.BeEmpty())
		gomega.Expect(time.Since(began)).To(gomega.BeNumerically("<", limit))
		stop.Store(true)
		wait.Wait()
	})
})
