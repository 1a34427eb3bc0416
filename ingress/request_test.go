package ingress

import (
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/link"
	"github.com/hyssopladder/hyssopladder/platform"
	"github.com/hyssopladder/hyssopladder/quota"
	"github.com/hyssopladder/hyssopladder/result"
)

// TestRefusalThatAnotherEntryCanServeClosesTheConnection checks that only
// refusals for the state of this entry close the connection, which leads the
// caller to another one.
func TestRefusalThatAnotherEntryCanServeClosesTheConnection(t *testing.T) {
	in := &Ingress{options: Options{Clock: func() clock.Instant { return 0 }}, meters: newMeters(metrics.NewRegistry())}
	for code, connection := range map[result.Code]string{
		result.ConfigNotConfirmed: "close", result.NotReady: "close", result.QuotaExceeded: "", result.Saturated: "", result.UnknownKey: "",
	} {
		g := gomega.NewWithT(t)
		w := httptest.NewRecorder()
		in.refuse(w, &request{}, result.New(code, result.RanNo, "x").WithRetry(250*time.Millisecond))
		g.Expect(w.Code).To(gomega.Equal(code.Info().Status))
		g.Expect(w.Header().Get("Connection")).To(gomega.Equal(connection), code.String())
		g.Expect(w.Header().Get("Retry-After")).To(gomega.Equal("0.25"))
	}
}

// TestNotConfirmedErrorSaysNotRunOnlyIfTrue refuses a request before and after
// an attempt that may have run it: a caller that is told "not run" repeats it.
func TestNotConfirmedErrorSaysNotRunOnlyIfTrue(t *testing.T) {
	g := gomega.NewWithT(t)
	d := &forwarding{in: &Ingress{options: Options{Clock: func() clock.Instant { return 0 }}, link: &link.Link{}}}
	g.Expect(d.notConfirmedError().Code).To(gomega.Equal(result.ConfigNotConfirmed))
	d.mayHaveRun.Store(true)
	g.Expect(d.notConfirmedError().Code).To(gomega.Equal(result.UpstreamUnknown))
	g.Expect(d.notConfirmedError().Ran).To(gomega.Equal(result.RanUnknown))
}

// TestNoRequestAddsToTheQuota guards against a negative cost of requests without a token count.
func TestNoRequestAddsToTheQuota(t *testing.T) {
	g := gomega.NewWithT(t)
	revision, err := platform.DecodeConfig([]byte(`{"version":1,"tenants":[{"name":"mill","unit":"token","plainTokens":-200,"ratePerS":10}]}`))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	bucket := quota.NewLeasedBucket(0)
	bucket.Renew(0, 0, 1000)
	in := &Ingress{options: Options{Clock: func() clock.Instant { return 0 }}, quotas: map[string]*quota.LeasedBucket{"mill": bucket}}
	g.Expect(in.charge(t.Context(), &request{org: &revision.Organisations[0]})).To(gomega.Succeed())
	g.Expect(bucket.Acquire(0, 100)).To(gomega.Equal(100.0), "nothing was added")
}

// TestQuotasOfFormerOrganisationsAreForgotten guards against memory and reports that grow with each
// organisation that ever was.
func TestQuotasOfFormerOrganisationsAreForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	in := &Ingress{quotas: map[string]*quota.LeasedBucket{}}
	for i := range 100 {
		name := fmt.Sprint("o", i)
		in.acquire(0, name, 1)
		in.forgetQuotas(&config.Revision{Organisations: []config.Organisation{{Name: name}, {Name: "mill"}}})
		g.Expect(in.quotas).To(gomega.HaveLen(1))
		g.Expect(in.quotas).To(gomega.HaveKey(name))
	}
}

// TestEmptyListOfOrganisationsOpensNoRoute guards against a configuration whose list of
// organisations is empty, and which asks neither for keys nor for its own confirmation.
func TestEmptyListOfOrganisationsOpensNoRoute(t *testing.T) {
	for tenants, want := range map[string]result.Code{`,"tenants":[]`: result.ConfigNotConfirmed, `,"tenants":null`: result.ConfigNotConfirmed, ``: 0} {
		g := gomega.NewWithT(t)
		revision, err := platform.DecodeConfig([]byte(`{"version":1,"routes":[{"name":"r","host":"h","pathPrefix":"/","kind":"idempotent","timeoutMs":1000,"service":"s"}],"services":[{"name":"s"}]` + tenants + `}`))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		table := config.NewTable(revision)
		in := &Ingress{options: Options{Clock: func() clock.Instant { return 0 }}, link: &link.Link{}}
		err = in.identify(&request{route: &table.Revision.Routes[0]}, table)
		if want == 0 {
			g.Expect(err).NotTo(gomega.HaveOccurred())
			continue
		}
		g.Expect(err).To(gomega.HaveOccurred(), tenants)
		g.Expect(result.From(err).Code).To(gomega.Equal(want))
	}
}

func TestEventsPassOnceInOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	var e eventTracker
	e.start(0, false)
	for _, c := range []struct {
		event   string
		forward bool
		err     error
	}{
		{"id: 4\ndata: a\n\n", true, nil},
		{"id: 5\r\ndata: b\r\n\r\n", true, nil},
		{"id: 4\ndata: a\n\n", false, nil},
		{": a comment\n\n", true, nil},
		{"id: 7\ndata: d\n\n", false, errEventGap},
		{"id: 6\ndata: c\n\n", true, nil},
	} {
		forward, err := e.accept([]byte(c.event))
		g.Expect(forward).To(gomega.Equal(c.forward), c.event)
		if c.err == nil {
			g.Expect(err).NotTo(gomega.HaveOccurred())
		} else {
			g.Expect(err).To(gomega.MatchError(c.err))
		}
	}
	last, hasLast := e.position()
	g.Expect(last).To(gomega.Equal(uint64(6)))
	g.Expect(hasLast).To(gomega.BeTrue())
}

func TestIncompleteEventsAreNotSplitOff(t *testing.T) {
	g := gomega.NewWithT(t)
	for text, want := range map[string]int{
		"id: 1\ndata: a\n\nid: 2": 15, "id: 1\r\ndata: a\r\n\r\nid": 18, "id: 1\ndata: a\n": 0, "": 0,
		"id: 1\ndata: a\n\nid: 2\r\n\r\n": 15,
	} {
		g.Expect(firstEventLength([]byte(text))).To(gomega.Equal(want), "%q", text)
	}
}

// TestTicketsNameTheOrganisation guards against organisations that share one turn, and
// against callers of public routes that have none.
func TestTicketsNameTheOrganisation(t *testing.T) {
	g := gomega.NewWithT(t)
	r := &request{route: &config.Route{}, org: &config.Organisation{Name: "orchard"}}
	g.Expect(r.ticket().Organisation).To(gomega.Equal("orchard"))
	g.Expect((&request{route: &config.Route{}}).ticket().Organisation).To(gomega.BeEmpty())
}
