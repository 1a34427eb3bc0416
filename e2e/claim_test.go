package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// book sends a keyed booking.
func book(entry *process, caller, key, body string) reply {
	return call(http.MethodPost, "http://"+entry.Callers.String()+"/services/booking/bookings", body,
		map[string]string{"X-Caller": caller, "Idempotency-Key": key})
}

func startBookings(nodes []*process, flags ...string) []*process {
	ginkgo.GinkgoHelper()
	var list []*process
	for i, zone := range []string{"a", "b"} {
		list = append(list, startUpstream(upstreamOptions{
			kind: "service", id: fmt.Sprintf("booking-%d", i), zone: zone, serves: "booking", entries: nodes, flags: flags,
		}))
	}
	waitServing(nodes, "booking", 2)
	return list
}

var _ = ginkgo.Describe("A keyed booking", func() {
	var nodes, bookings []*process

	start := func(flags ...string) {
		nodes = twoZones()
		bookings = startBookings(nodes, flags...)
	}

	ginkgo.It("runs once when it is sent at the same moment through every entry, and later again", func() {
		start()
		const keys = 20
		replies := make([]reply, keys*len(nodes))
		var wait sync.WaitGroup
		for i := range replies {
			wait.Go(func() {
				replies[i] = book(nodes[i%len(nodes)], "sitters", fmt.Sprintf("key-%d", i/len(nodes)), fmt.Sprintf("booking %d", i/len(nodes)))
			})
		}
		wait.Wait()
		for i, r := range replies {
			gomega.Expect(r.err).NotTo(gomega.HaveOccurred())
			gomega.Expect(r.status).To(gomega.Or(gomega.Equal(http.StatusOK), gomega.Equal(http.StatusConflict)), "%d: %s", i, r.body)
			if r.status == http.StatusConflict {
				gomega.Expect(string(r.body)).To(gomega.ContainSubstring(`"ran":"unknown"`))
			}
		}
		for i := range keys {
			body := fmt.Sprintf("booking %d", i)
			first := book(nodes[0], "sitters", fmt.Sprintf("key-%d", i), body)
			gomega.Expect(first.status).To(gomega.Equal(http.StatusOK), "%s", first.body)
			gomega.Expect(first.header.Get("X-Replayed")).To(gomega.Equal("true"))
			again := book(nodes[3], "sitters", fmt.Sprintf("key-%d", i), body)
			gomega.Expect(again.body).To(gomega.Equal(first.body))
			gomega.Expect(ranCounts(bookings...)).To(gomega.HaveKeyWithValue("POST /bookings "+body, 1))
		}
		other := book(nodes[1], "sitters", "key-0", "another booking")
		gomega.Expect(other.status).To(gomega.Equal(http.StatusUnprocessableEntity))
		elsewhere := book(nodes[1], "owners", "key-0", "booking of owners")
		gomega.Expect(elsewhere.status).To(gomega.Equal(http.StatusOK))
		gomega.Expect(string(elsewhere.body)).To(gomega.ContainSubstring("booking of owners"))
	})

	ginkgo.It("never runs twice when its entry is killed while it runs", func() {
		start("--decode", "1s")
		done := make(chan reply, 1)
		go func() { done <- book(nodes[3], "sitters", "key", "the booking") }()
		ran := func() int { return ranCounts(bookings...)["POST /bookings the booking"] }
		gomega.Eventually(ran, startLimit).Should(gomega.Equal(1))
		nodes[3].signal(syscall.SIGKILL)
		<-done
		for i := range 12 {
			r := book(nodes[i%3], "sitters", "key", "the booking")
			gomega.Expect(r.err).NotTo(gomega.HaveOccurred())
			gomega.Expect(r.status).To(gomega.Equal(http.StatusConflict), "%s", r.body)
			gomega.Expect(string(r.body)).To(gomega.ContainSubstring(`"ran":"unknown"`))
		}
		gomega.Expect(ran()).To(gomega.Equal(1))
	})

	ginkgo.It("gets its first answer after every keeper was killed and started again", func() {
		start()
		first := book(nodes[0], "sitters", "key", "the booking")
		gomega.Expect(first.status).To(gomega.Equal(http.StatusOK))
		answered := func() string { return book(nodes[3], "sitters", "key", "the booking").header.Get("X-Replayed") }
		gomega.Eventually(answered, startLimit).Should(gomega.Equal("true"))
		for _, n := range nodes[:keepers] {
			n.Kill().Wait(stopLimit)
		}
		cut := book(nodes[3], "sitters", "key", "the booking")
		gomega.Expect(cut.status).To(gomega.Equal(http.StatusServiceUnavailable))
		gomega.Expect(string(cut.body)).To(gomega.ContainSubstring(`"ran":"unknown"`))
		unkeyed := book(nodes[3], "sitters", "", "a booking without a key")
		gomega.Expect(unkeyed.status).To(gomega.Equal(http.StatusOK), "%s", unkeyed.body)
		for i, n := range nodes[:keepers] {
			nodes[i] = n.again()
		}
		var r reply
		gomega.Eventually(func() int {
			r = book(nodes[3], "sitters", "key", "the booking")
			return r.status
		}, startLimit).Should(gomega.Equal(http.StatusOK))
		gomega.Expect(r.body).To(gomega.Equal(first.body))
		gomega.Expect(ranCounts(bookings...)).To(gomega.HaveKeyWithValue("POST /bookings the booking", 1))
	})

	ginkgo.It("is refused without a key where the document asks for one", func() {
		start()
		strict := strings.Replace(string(bookingINI), "requireKeys = false", "requireKeys = true", 1)
		applyINI(nodes[0], "booking", []byte(strict), "strict")
		gomega.Eventually(func() string {
			return string(book(nodes[2], "sitters", "", "no key").body)
		}, startLimit).Should(gomega.ContainSubstring("keyRequired"))
	})
})
