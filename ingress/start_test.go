package ingress

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestRequestsWaitWhileTheEntryStarts guards against refusals of callers that come to an entry
// right after a loss of all power: they come back once, and were refused again.
func TestRequestsWaitWhileTheEntryStarts(t *testing.T) {
	g := gomega.NewWithT(t)
	_, members := startCutUpstreams(t, 1)
	k := startCutKeeper(t, members)
	k.silent = make(chan struct{})
	e := newCutEntry(t, "e1", k)
	served := make(chan bool, 1)
	go func() { served <- e.first("/ask/x", "r1", "{}") }()
	g.Eventually(e.meters.held.Count, 5*time.Second).Should(gomega.Equal(int64(1)))
	g.Consistently(served, 50*time.Millisecond).ShouldNot(gomega.Receive())
	close(k.silent)
	g.Eventually(served, 5*time.Second).Should(gomega.Receive(gomega.BeTrue()))
}

// TestRequestsWaitForAnEmptyQuotaPoolWhileTheEntryStarts guards against refusals with 429 after a loss
// of all power: the pool of the new leader begins empty.
func TestRequestsWaitForAnEmptyQuotaPoolWhileTheEntryStarts(t *testing.T) {
	g := gomega.NewWithT(t)
	_, members := startCutUpstreams(t, 1)
	k := startCutKeeper(t, members)
	e := startCutEntry(t, "e1", k)
	k.emptyPools.Store(3)
	g.Expect(e.first("/keyed/x", "r1", "{}")).To(gomega.BeTrue())
	g.Expect(k.emptyPools.Load()).To(gomega.BeNumerically("<", 0))
}

// TestBodyBeyondTheDefaultIsNotTooLargeAtStart guards against a caller that is refused for good by
// the default limit while the entry doesn't know the configuration's, which may be higher.
func TestBodyBeyondTheDefaultIsNotTooLargeAtStart(t *testing.T) {
	g := gomega.NewWithT(t)
	_, members := startCutUpstreams(t, 1)
	k := startCutKeeper(t, members)
	k.silent = make(chan struct{})
	e := newCutEntry(t, "e1", k)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, e.url+"/ask/x", bytes.NewReader(make([]byte, defaultMaxBodyBytes+1)))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	r.Header.Set("X-Request-Id", "r1")
	response, err := http.DefaultClient.Do(r)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(response.Body.Close()).To(gomega.Succeed())
	g.Expect(response.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(response.Header.Get("Retry-After")).NotTo(gomega.BeEmpty())
	close(k.silent)
}
