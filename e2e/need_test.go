package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// startSpeech starts a platform whose streams are served by the number of replicas,
// and waits until both entries serve.
func startSpeech(replicas int) (*platformDeployment, []*replica) {
	ginkgo.GinkgoHelper()
	d := startPlatform()
	gomega.Eventually(func() int { return d.putConfig(1, platformConfig(3, 1000, "key-m")) }, startLimit).Should(gomega.Equal(http.StatusOK))
	var speech []*replica
	for i := range replicas {
		speech = append(speech, startReplica(fmt.Sprint("i-s", i), "speech", string(rune('a'+i%2)), d.keepers))
	}
	for i := range d.entries {
		gomega.Eventually(func() int {
			status, _ := d.ask(i, "10")
			return status
		}, startLimit).Should(gomega.Equal(http.StatusOK))
	}
	return d, speech
}

// ask sends a request whose prompt has a common part, the given one and one of its
// own.
func (d *platformDeployment) ask(entry int, part string) (int, string) {
	own := requestNumber.Add(1)
	return d.sendRequest(entry, "POST", "/ask/any", "key-m", fmt.Sprint("x", own), "X-Prompt-Prefix", fmt.Sprintf("1:20,%s:30,%x:40", part, own+1<<20))
}

var _ = ginkgo.Describe("Replicas in need", func() {
	ginkgo.It("aren't crashed one after the other by requests that share a part of their prompts", func() {
		const badPart = "bad"
		d, speech := startSpeech(12)
		for _, r := range speech {
			r.crashPart = badPart
		}
		var wait sync.WaitGroup
		stop := make(chan struct{})
		for i := range d.entries {
			wait.Go(func() {
				ticker := time.NewTicker(30 * time.Millisecond)
				defer ticker.Stop()
				for n := 0; ; n++ {
					d.ask(i, fmt.Sprint(10+n%5))
					select {
					case <-ticker.C:
					case <-stop:
						return
					}
				}
			})
		}
		const requests = 24
		statuses := make([]int, 0, requests)
		ticker := time.NewTicker(300 * time.Millisecond)
		defer ticker.Stop()
		for n := range requests {
			<-ticker.C
			status, _ := d.ask(n%2, badPart)
			statuses = append(statuses, status)
		}
		close(stop)
		wait.Wait()
		crashed := 0
		for _, r := range speech {
			if r.crashed.Load() {
				crashed++
			}
		}
		// Five may crash, and three more requests may come through after that.
		gomega.Expect(crashed).To(gomega.BeNumerically("<=", 8), "statuses %v", statuses)
		for i := range d.entries {
			status, body := d.ask(i, badPart)
			gomega.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
			gomega.Expect(body).To(gomega.ContainSubstring("suspected"))
			for n := range 10 {
				status, body = d.ask(i, fmt.Sprint(10+n%5))
				gomega.Expect(status).To(gomega.Equal(http.StatusOK))
				gomega.Expect(body).To(gomega.Equal(wholeStream()))
			}
		}
	})

	ginkgo.It("get no more than the limit that they name, from all entries together", func() {
		const limit = 3
		d, speech := startSpeech(3)
		speech[0].limit.Store(limit)
		began := time.Now()
		var measuredFrom time.Time
		before := 0
		for n := 0; time.Since(began) < 8*time.Second; n++ {
			status, _ := d.ask(n%2, fmt.Sprint(10+n%20))
			gomega.Expect(status).To(gomega.Equal(http.StatusOK))
			if measuredFrom.IsZero() && time.Since(began) > 3*time.Second {
				measuredFrom, before = time.Now(), len(speech[0].requests())
			}
		}
		seconds := time.Since(measuredFrom).Seconds()
		got := len(speech[0].requests()) - before
		gomega.Expect(float64(got)).To(gomega.BeNumerically("<=", 1.5*limit*seconds+5), "in %.1f s", seconds)

		speech[0].limit.Store(0)
		lifted := len(speech[0].requests())
		gomega.Eventually(func() int {
			for n := range 20 {
				d.ask(n%2, fmt.Sprint(10+n%20))
			}
			return len(speech[0].requests()) - lifted
		}, 10*time.Second).Should(gomega.BeNumerically(">", 60))
	})

	ginkgo.It("get nothing more from entries that have passed on that they leave", func() {
		d, speech := startSpeech(3)
		speech[0].saysLeaving.Store(true)
		askUntil := func(enough func() bool) {
			for n, began := 0, time.Now(); !enough(); n++ {
				status, body := d.ask(n%2, fmt.Sprint(10+n%20))
				gomega.Expect(status).To(gomega.Equal(http.StatusOK))
				gomega.Expect(body).To(gomega.Equal(wholeStream()))
				gomega.Expect(time.Since(began)).To(gomega.BeNumerically("<", 10*time.Second))
			}
		}
		before := len(speech[0].requests())
		askUntil(func() bool { return len(speech[0].requests()) > before })
		asked := 0
		askUntil(func() bool { asked++; return asked > 300 })
		// Each of the two entries hears it by one request.
		gomega.Expect(len(speech[0].requests()) - before).To(gomega.BeNumerically("<=", 2))
	})

	ginkgo.It("get no requests for the time for which they turn work away, and then some", func() {
		const closedFor = 4 * time.Second
		d, speech := startSpeech(3)
		before := len(speech[0].requests())
		until := time.Now().Add(closedFor)
		speech[0].closedUntil.Store(until.UnixNano())
		ask := func(n int) {
			status, body := d.ask(n%2, fmt.Sprint(10+n%20))
			gomega.Expect(status).To(gomega.Equal(http.StatusOK), body)
		}
		for n := 0; time.Now().Before(until); n++ {
			ask(n)
		}
		// Each of the two entries hears it by one request, or by those under way at the
		// same time; it sends one at a time here.
		gomega.Expect(len(speech[0].requests()) - before).To(gomega.BeNumerically("<=", 2))
		closed := len(speech[0].requests())
		gomega.Eventually(func() int {
			for n := range 20 {
				ask(n)
			}
			return len(speech[0].requests()) - closed
		}, 10*time.Second).Should(gomega.BeNumerically(">", 20))
	})
})
