package ingress

import (
	"net/http/httptest"
	"testing"

	"github.com/onsi/gomega"
)

// TestEventsAreClaimedBeforeTheyAreSent guards against a stream that is joined of two runs: an
// event of the silent upstream was sent when its hedge had begun after the event before,
// and the hedge's events followed without that one.
func TestEventsAreClaimedBeforeTheyAreSent(t *testing.T) {
	g := gomega.NewWithT(t)
	w := httptest.NewRecorder()
	d := &forwarding{w: w, hedge: &hedge{won: true}}
	rest, wrote, err := d.writeEvents([]byte(event(1)))
	g.Expect(err).To(gomega.MatchError(errReplaced))
	g.Expect(wrote).To(gomega.BeFalse())
	g.Expect(string(rest)).To(gomega.Equal(event(1)))
	g.Expect(w.Body.String()).To(gomega.BeEmpty())
	_, hasLast := d.events.position()
	g.Expect(hasLast).To(gomega.BeFalse())
}
