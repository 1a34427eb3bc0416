package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/fleet"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// refusingUpstream refuses the first request that it gets and runs all others. On the connection
// of the refusal, copies of it come before each answer.
type refusingUpstream struct {
	refusal   string
	onRefusal func()
	once      sync.Once
	runs      atomic.Int64
}

func (u *refusingUpstream) serve(c net.Conn, _ *http.Request) {
	due := ""
	u.once.Do(func() {
		if u.onRefusal != nil {
			u.onRefusal()
		}
		due = u.refusal
		_, _ = io.WriteString(c, u.refusal)
	})
	reader := bufio.NewReader(c)
	for first := due == ""; ; first = false {
		if !first {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
		}
		u.runs.Add(1)
		_, _ = io.WriteString(c, due+answerHead+"Content-Length: 3\r\n\r\nran")
	}
}

// copiedRefusals are the refusals of which these tests send copies, by status.
func copiedRefusals() map[int]string {
	refusals := map[int]string{}
	for _, status := range []int{400, 408, 421, 429, 503} {
		refusals[status] = fmt.Sprintf("HTTP/1.1 %d Status\r\nX-Not-Run: 1\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", status, requestID)
	}
	return refusals
}

// TestRequestThatRunsIsNotAnsweredByACopyOfItsRefusal guards against a caller that is told that
// its request hasn't run: an upstream refused the caller's first attempt under the ID, runs
// the second one, and sends the refusal again before the answer.
func TestRequestThatRunsIsNotAnsweredByACopyOfItsRefusal(t *testing.T) {
	for status, refusal := range copiedRefusals() {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			g := gomega.NewWithT(t)
			u := &refusingUpstream{refusal: refusal}
			url := startEntry(t, config.Route{Kind: config.NonIdempotent}, 2*time.Second, startUpstream(t, u.serve))
			refused, _, err := get(url)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(refused).To(gomega.Equal(http.StatusServiceUnavailable))
			got, body, err := get(url)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(u.runs.Load()).To(gomega.BeEquivalentTo(1))
			g.Expect(got).To(gomega.Equal(http.StatusOK), body)
		})
	}
}

// TestRequestsRunOnceAtAnAddressThatChangesHands guards against a request that runs twice, or runs
// and is refused: another upstream than the expected one has the address and refuses, is then
// known there, runs the request, and sends its refusal again before the answer.
func TestRequestsRunOnceAtAnAddressThatChangesHands(t *testing.T) {
	for status, refusal := range copiedRefusals() {
		for _, third := range []bool{false, true} {
			t.Run(fmt.Sprint(status, " third upstream=", third), func(t *testing.T) {
				g := gomega.NewWithT(t)
				var in *Ingress
				var address netip.AddrPort
				u := &refusingUpstream{refusal: refusal, onRefusal: func() {
					in.dispatcher.run(func(now clock.Instant, f *fleet.Fleet) []fleet.Action {
						return f.Merge(now, []upstream.Member{{Announcement: upstream.Announcement{
							ID: "next", Incarnation: 2, Sequence: 1, Address: address, Zone: "a", Slots: 8, Services: []string{"s"}, Lease: time.Minute,
						}}})
					})
				}}
				address = startUpstream(t, u.serve)
				upstreams := []netip.AddrPort{address}
				if third {
					upstreams = append(upstreams, startUpstream(t, func(c net.Conn, _ *http.Request) {
						u.runs.Add(1)
						_, _ = io.WriteString(c, answerHead+"Content-Length: 3\r\n\r\nran")
					}))
				}
				var url string
				in, url = startIngress(t, config.Route{Kind: config.NonIdempotent}, 2*time.Second, upstreams...)
				got, body, err := get(url)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(u.runs.Load()).To(gomega.BeEquivalentTo(1))
				g.Expect(got).To(gomega.Equal(http.StatusOK), body)
			})
		}
	}
}
