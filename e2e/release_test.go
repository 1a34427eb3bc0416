package e2e

import (
	"bufio"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// brokenStream is a stream that a caller has a part of.
type brokenStream struct {
	id, release string
	lastEvent   int
}

// releasesOf returns the releases that wrote the events.
func releasesOf(events string) map[string]bool {
	releases := map[string]bool{}
	for line := range strings.SplitSeq(events, "\n") {
		if !strings.HasPrefix(line, "data: word ") {
			continue
		}
		_, release, found := strings.Cut(line, " of ")
		if !found {
			release = firstRelease
		}
		releases[release] = true
	}
	return releases
}

// beginStream reads the events until the replica holds the stream, and leaves the
// connection open.
func (d *platformDeployment) beginStream(entry, events int) brokenStream {
	ginkgo.GinkgoHelper()
	s := brokenStream{id: fmt.Sprintf("b%d", requestNumber.Add(1))}
	r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/ask/any", d.callers[entry]), strings.NewReader(s.id))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	r.Host = "mill.example"
	r.Header.Set("X-Request-Id", s.id)
	r.Header.Set("X-Deadline-Ms", "8000")
	r.Header.Set("Authorization", "Token key-m")
	response, err := http.DefaultClient.Do(r)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(func() { _ = response.Body.Close() })
	gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK))
	lines := bufio.NewReader(response.Body)
	text := ""
	for s.lastEvent < events {
		line, err := lines.ReadString('\n')
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		text += line
		if line == "\n" {
			s.lastEvent++
		}
	}
	for release := range releasesOf(text) {
		s.release = release
	}
	return s
}

// resume takes a stream up at an entry.
func (d *platformDeployment) resume(entry int, s brokenStream) (int, string) {
	return d.sendRequest(entry, http.MethodPost, "/ask/any", "key-m", s.id, "Last-Event-Id", strconv.Itoa(s.lastEvent), "Resumes", s.id)
}

var _ = ginkgo.Describe("Streams while replicas of two releases serve", func() {
	ginkgo.It("aren't joined from two releases when a replica breaks off", func() {
		d, _ := startSpeech(2)
		breaking := startReplicaOf("v2", "i-b", "speech", "a", d.keepers)
		breaking.cutAfter.Store(2)
		startReplicaOf("v2", "i-w", "speech", "b", d.keepers)
		gomega.Eventually(func() []*http.Request {
			d.ask(0, fmt.Sprint(requestNumber.Add(1)))
			return breaking.requests()
		}, startLimit).ShouldNot(gomega.BeEmpty())
		joined, whole := 0, 0
		for n := range 60 {
			_, body := d.ask(n%2, fmt.Sprint(10+n))
			if len(releasesOf(body)) > 1 {
				joined++
			}
			if strings.Contains(body, fmt.Sprintf("id: %d\n", eventsPerStream)) {
				whole++
			}
		}
		gomega.Expect(joined).To(gomega.BeZero(), "of 60 streams")
		gomega.Expect(whole).To(gomega.BeNumerically(">=", 54), "of 60 streams, as another replica of each release serves")
	})

	takeUp := func(killKeepers bool) {
		const streams = 12
		d, old := startSpeech(2)
		all := append(old, startReplicaOf("v2", "i-n0", "speech", "a", d.keepers), startReplicaOf("v2", "i-n1", "speech", "b", d.keepers))
		gomega.Eventually(func() int {
			d.ask(0, fmt.Sprint(requestNumber.Add(1)))
			d.ask(1, fmt.Sprint(requestNumber.Add(1)))
			reached := 0
			for _, r := range all {
				if len(r.requests()) > 0 {
					reached++
				}
			}
			return reached
		}, startLimit).Should(gomega.Equal(len(all)))
		for _, r := range all {
			r.holdAfter.Store(2)
		}
		var broken []brokenStream
		byRelease := map[string]int{}
		for range streams / 2 {
			for i := range d.entries {
				s := d.beginStream(i, 2)
				byRelease[s.release]++
				broken = append(broken, s)
			}
		}
		gomega.Expect(byRelease).To(gomega.HaveLen(2), "releases at which streams began")
		// What entries tell the keepers is on its way for a moment.
		gomega.Consistently(d.ready, 300*time.Millisecond).Should(gomega.HaveLen(2))
		killed := d.entries
		if killKeepers {
			killed = append(slices.Clone(killed), d.keepers...)
		}
		for _, p := range killed {
			p.Kill()
		}
		for _, p := range killed {
			p.Wait()
		}
		if killKeepers {
			for i, p := range d.keepers {
				d.keepers[i] = p.restart()
			}
		}
		for i, p := range d.entries {
			d.entries[i] = p.restart()
		}
		for _, r := range all {
			r.holdAfter.Store(0)
		}
		for i := range d.entries {
			gomega.Eventually(func() int { return d.readyStatus(i) }, startLimit).Should(gomega.Equal(http.StatusOK))
		}
		wentOn := 0
		for n, s := range broken {
			status, body := d.resume((n+1)%2, s)
			switch status {
			case http.StatusOK:
				wentOn++
				gomega.Expect(releasesOf(body)).To(gomega.Equal(map[string]bool{s.release: true}), "stream %d, begun at %s", n, s.release)
				gomega.Expect(body).To(gomega.HavePrefix(fmt.Sprintf("id: %d\n", s.lastEvent+1)))
			default:
				gomega.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable), body)
			}
		}
		gomega.Expect(wentOn).To(gomega.BeNumerically(">=", streams/2), "of %d streams", streams)

		ginkgo.By("refusing a stream of which nothing is known, and one whose release is gone")
		status, body := d.resume(0, brokenStream{id: "nobody", lastEvent: 2})
		gomega.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable), body)
		for _, r := range old {
			r.leaving.Store(true)
		}
		gomega.Eventually(func() map[string]bool {
			_, body := d.ask(0, fmt.Sprint(requestNumber.Add(1)))
			return releasesOf(body)
		}, startLimit).Should(gomega.Equal(map[string]bool{"v2": true}))
		gomega.Eventually(func(g gomega.Gomega) {
			for n, s := range broken {
				if s.release != firstRelease {
					continue
				}
				status, body := d.resume(n%2, s)
				g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable), body)
			}
		}, startLimit).Should(gomega.Succeed())
	}

	ginkgo.It("go on at their release only when callers take them up, after all entries were killed", func() { takeUp(false) })

	ginkgo.It("go on at their release only when callers take them up, after all entries and keepers were killed", func() { takeUp(true) })

	ginkgo.It("go on at their release only at an entry that stood still while the second one joined", func() {
		const streams = 12
		d, all := startSpeech(2)
		d.entries[1].signal(syscall.SIGSTOP)
		ginkgo.DeferCleanup(func() { d.entries[1].signal(syscall.SIGCONT) })
		all = append(all, startReplicaOf("v2", "i-n0", "speech", "a", d.keepers), startReplicaOf("v2", "i-n1", "speech", "b", d.keepers))
		gomega.Eventually(func() map[string]bool {
			_, body := d.ask(0, fmt.Sprint(requestNumber.Add(1)))
			return releasesOf(body)
		}, startLimit).Should(gomega.HaveKey("v2"))
		for _, r := range all {
			r.holdAfter.Store(2)
		}
		var broken []brokenStream
		begunAt := map[string]int{}
		for range streams {
			s := d.beginStream(0, 2)
			begunAt[s.release]++
			broken = append(broken, s)
		}
		gomega.Expect(begunAt).To(gomega.HaveLen(2), "releases at which streams began")
		// What the entry tells the keepers is on its way for a moment.
		gomega.Consistently(func() int { return d.readyStatus(0) }, 300*time.Millisecond).Should(gomega.Equal(http.StatusOK))
		d.entries[0].Kill()
		d.entries[0].Wait()
		for _, r := range all {
			r.holdAfter.Store(0)
		}
		d.entries[1].signal(syscall.SIGCONT)
		for n, s := range broken {
			body := ""
			gomega.Eventually(func() int {
				var status int
				if status, body = d.resume(1, s); status != http.StatusOK {
					gomega.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable), body)
				}
				return status
			}, startLimit).Should(gomega.Equal(http.StatusOK), "stream %d, begun at %s", n, s.release)
			gomega.Expect(releasesOf(body)).To(gomega.Equal(map[string]bool{s.release: true}), "stream %d, begun at %s", n, s.release)
			gomega.Expect(body).To(gomega.HavePrefix(fmt.Sprintf("id: %d\n", s.lastEvent+1)))
		}
	})
})
