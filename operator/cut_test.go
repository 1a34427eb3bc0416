package operator

import (
	"net/http"
	"net/netip"
	"testing"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/common/cuttest"
)

// TestCutAnswersAreErrors guards against a revision that is read from an answer which ends
// within its head or its body, as 1 of 12, and against a success that is made of one.
func TestCutAnswersAreErrors(t *testing.T) {
	cuttest.Each(t, "HTTP/1.1 200 OK\r\n", "{\"revision\":12}", func(t *testing.T, server netip.AddrPort, c *cuttest.Cut) {
		g, about := gomega.NewWithT(t), c.String()
		client := NewClient(server)
		// The server closes each connection, which a call that uses it again may meet.
		client.http.Transport = &http.Transport{DisableKeepAlives: true}
		stored, err := client.Get(t.Context(), "s")
		body, whole := c.Whole()
		if !whole || body != c.Body {
			g.Expect(err).To(gomega.HaveOccurred(), about)
		} else {
			g.Expect(err).NotTo(gomega.HaveOccurred(), about)
			g.Expect(stored.Revision).To(gomega.BeEquivalentTo(12))
		}
		// What a node answers to this call isn't read.
		g.Expect(client.Drain(t.Context()) == nil).To(gomega.Equal(whole), about)
	})
}
