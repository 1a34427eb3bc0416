package ingress

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/link"
	"github.com/hyssopladder/hyssopladder/result"
)

// TestRankOfTheOrganisationComesFirst orders requests of organisations with
// and without a rank: within one organisation the route still counts.
func TestRankOfTheOrganisationComesFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	chat, summary := &config.Route{Rank: 0}, &config.Route{Rank: 2}
	first, second := 0, 1
	urgent, patient := &config.Organisation{Rank: &first}, &config.Organisation{Rank: &second}
	order := []int{rank(chat, urgent), rank(summary, urgent), rank(chat, patient), rank(summary, patient)}
	g.Expect(order).To(gomega.Equal([]int{0, 2, 3, 5}))
	g.Expect(rank(chat, nil)).To(gomega.Equal(0))
	g.Expect(rank(summary, &config.Organisation{})).To(gomega.Equal(2))
	g.Expect(rank(&config.Route{Rank: 7}, urgent)).To(gomega.BeNumerically("<", rank(chat, patient)))
}

// TestRefusalThatOthersCanServeEndsTheConnection refuses for reasons that
// other entries may not have, and for others.
func TestRefusalThatOthersCanServeEndsTheConnection(t *testing.T) {
	in := &Ingress{options: Options{Clock: func() clock.Instant { return 0 }}, meters: newMeters(metrics.NewRegistry())}
	for code, ends := range map[result.Code]string{
		result.ConfigNotConfirmed: "close", result.NotReady: "close", result.QuotaExceeded: "", result.Saturated: "", result.UnknownKey: "",
	} {
		g := gomega.NewWithT(t)
		w := httptest.NewRecorder()
		in.refuse(w, &request{}, result.New(code, result.RanNo, "x").WithRetry(250*time.Millisecond))
		g.Expect(w.Code).To(gomega.Equal(code.Info().Status))
		g.Expect(w.Header().Get("Connection")).To(gomega.Equal(ends), code.String())
		g.Expect(w.Header().Get("Retry-After")).To(gomega.Equal("0.25"))
	}
}

// TestNotRunIsSaidOnlyIfTrue withholds a request before and after an attempt
// that may have run it.
func TestNotRunIsSaidOnlyIfTrue(t *testing.T) {
	g := gomega.NewWithT(t)
	d := &delivery{in: &Ingress{options: Options{Clock: func() clock.Instant { return 0 }}, link: &link.Link{}}}
	g.Expect(d.withheld().Code).To(gomega.Equal(result.ConfigNotConfirmed))
	d.mayHaveRun = true
	g.Expect(d.withheld().Code).To(gomega.Equal(result.UpstreamUnknown))
	g.Expect(d.withheld().Ran).To(gomega.Equal(result.RanUnknown))
}

func TestEventsPassOnceInOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	var e events
	e.begin(0, false)
	for _, c := range []struct {
		event string
		pass  bool
		err   error
	}{
		{"id: 4\ndata: a\n\n", true, nil},
		{"id: 5\r\ndata: b\r\n\r\n", true, nil},
		{"id: 4\ndata: a\n\n", false, nil},
		{": a comment\n\n", true, nil},
		{"id: 7\ndata: d\n\n", false, errGap},
		{"id: 6\ndata: c\n\n", true, nil},
	} {
		pass, err := e.accept([]byte(c.event))
		g.Expect(pass).To(gomega.Equal(c.pass), c.event)
		if c.err == nil {
			g.Expect(err).NotTo(gomega.HaveOccurred())
		} else {
			g.Expect(err).To(gomega.MatchError(c.err))
		}
	}
	last, known := e.position()
	g.Expect(last).To(gomega.Equal(uint64(6)))
	g.Expect(known).To(gomega.BeTrue())
}

func TestHalfEventsAreNotSplitOff(t *testing.T) {
	g := gomega.NewWithT(t)
	for text, want := range map[string]int{
		"id: 1\ndata: a\n\nid: 2": 15, "id: 1\r\ndata: a\r\n\r\nid": 18, "id: 1\ndata: a\n": 0, "": 0,
		"id: 1\ndata: a\n\nid: 2\r\n\r\n": 15,
	} {
		g.Expect(splitEvent([]byte(text))).To(gomega.Equal(want), "%q", text)
	}
}
