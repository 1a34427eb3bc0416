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

// sendBooking sends a booking with an idempotency key, or without one if key is
// empty.
func sendBooking(entry *process, caller, key, body string) reply {
	return sendRequest(http.MethodPost, "http://"+entry.Callers.String()+"/services/booking/bookings", body,
		map[string]string{"X-Caller": caller, "Idempotency-Key": key})
}

func startBookingServices(nodes []*process, flags ...string) []*process {
	ginkgo.GinkgoHelper()
	var list []*process
	for i, zone := range []string{"a", "b"} {
		list = append(list, startUpstream(upstreamOptions{
			kind: "service", id: fmt.Sprintf("booking-%d", i), zone: zone, serves: "booking", entries: nodes, flags: flags,
		}))
	}
	waitForUpstreams(nodes, "booking", 2)
	return list
}

var _ = ginkgo.Describe("A keyed booking", func() {
	var nodes, services []*process

	start := func(flags ...string) {
		nodes = startTwoZones()
		services = startBookingServices(nodes, flags...)
	}

	ginkgo.It("runs once when it is sent through every entry at the same time, and again later", func() {
		start()
		const keys = 20
		replies := make([]reply, keys*len(nodes))
		var wait sync.WaitGroup
		for i := range replies {
			wait.Go(func() {
				replies[i] = sendBooking(nodes[i%len(nodes)], "sitters", fmt.Sprintf("key-%d", i/len(nodes)), fmt.Sprintf("booking %d", i/len(nodes)))
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
			first := sendBooking(nodes[0], "sitters", fmt.Sprintf("key-%d", i), body)
			gomega.Expect(first.status).To(gomega.Equal(http.StatusOK), "%s", first.body)
			gomega.Expect(first.header.Get("X-Replayed")).To(gomega.Equal("true"))
			repeated := sendBooking(nodes[3], "sitters", fmt.Sprintf("key-%d", i), body)
			gomega.Expect(repeated.body).To(gomega.Equal(first.body))
			gomega.Expect(runCounts(services...)).To(gomega.HaveKeyWithValue("POST /bookings "+body, 1))
		}
		otherBody := sendBooking(nodes[1], "sitters", "key-0", "another booking")
		gomega.Expect(otherBody.status).To(gomega.Equal(http.StatusUnprocessableEntity))
		otherCaller := sendBooking(nodes[1], "owners", "key-0", "booking of owners")
		gomega.Expect(otherCaller.status).To(gomega.Equal(http.StatusOK))
		gomega.Expect(string(otherCaller.body)).To(gomega.ContainSubstring("booking of owners"))
	})

	ginkgo.It("never runs twice when its entry is killed while it runs", func() {
		start("--decode", "1s")
		done := make(chan reply, 1)
		go func() { done <- sendBooking(nodes[3], "sitters", "key", "the booking") }()
		runs := func() int { return runCounts(services...)["POST /bookings the booking"] }
		gomega.Eventually(runs, startLimit).Should(gomega.Equal(1))
		nodes[3].signal(syscall.SIGKILL)
		<-done
		for i := range 12 {
			r := sendBooking(nodes[i%3], "sitters", "key", "the booking")
			gomega.Expect(r.err).NotTo(gomega.HaveOccurred())
			gomega.Expect(r.status).To(gomega.Equal(http.StatusConflict), "%s", r.body)
			gomega.Expect(string(r.body)).To(gomega.ContainSubstring(`"ran":"unknown"`))
		}
		gomega.Expect(runs()).To(gomega.Equal(1))
	})

	ginkgo.It("gets its first answer again after every keeper was killed and restarted", func() {
		start()
		first := sendBooking(nodes[0], "sitters", "key", "the booking")
		gomega.Expect(first.status).To(gomega.Equal(http.StatusOK))
		answered := func() string { return sendBooking(nodes[3], "sitters", "key", "the booking").header.Get("X-Replayed") }
		gomega.Eventually(answered, startLimit).Should(gomega.Equal("true"))
		for _, n := range nodes[:keeperCount] {
			n.Kill().Wait(stopLimit)
		}
		withoutQuorum := sendBooking(nodes[3], "sitters", "key", "the booking")
		gomega.Expect(withoutQuorum.status).To(gomega.Equal(http.StatusServiceUnavailable))
		gomega.Expect(string(withoutQuorum.body)).To(gomega.ContainSubstring(`"ran":"unknown"`))
		unkeyed := sendBooking(nodes[3], "sitters", "", "a booking without a key")
		gomega.Expect(unkeyed.status).To(gomega.Equal(http.StatusOK), "%s", unkeyed.body)
		for i, n := range nodes[:keeperCount] {
			nodes[i] = n.restart()
		}
		var r reply
		gomega.Eventually(func() int {
			r = sendBooking(nodes[3], "sitters", "key", "the booking")
			return r.status
		}, startLimit).Should(gomega.Equal(http.StatusOK))
		gomega.Expect(r.body).To(gomega.Equal(first.body))
		gomega.Expect(runCounts(services...)).To(gomega.HaveKeyWithValue("POST /bookings the booking", 1))
	})

	ginkgo.It("is refused without a key if the document requires one", func() {
		start()
		strict := strings.Replace(string(bookingINI), "requireKeys = false", "requireKeys = true", 1)
		applyINI(nodes[0], "booking", []byte(strict), "strict")
		gomega.Eventually(func() string {
			return string(sendBooking(nodes[2], "sitters", "", "no key").body)
		}, startLimit).Should(gomega.ContainSubstring("keyRequired"))
	})
})
