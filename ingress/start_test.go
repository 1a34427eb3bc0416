package ingress

import (
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
