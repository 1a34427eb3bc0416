package load

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/common/cuttest"
)

// TestOnlyWhatHasNotRunIsRefused guards against a report that counts an upstream's own error as a
// refusal, by its status.
func TestOnlyWhatHasNotRunIsRefused(t *testing.T) {
	for _, status := range []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusBadGateway} {
		for body, refused := range map[string]bool{`{"ran":"no"}`: true, `{"ran":"unknown"}`: false, "full": false, "": false} {
			t.Run(fmt.Sprint(status, body), func(t *testing.T) {
				g := gomega.NewWithT(t)
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					w.WriteHeader(status)
					_, _ = io.WriteString(w, body)
				}))
				defer server.Close()
				o := send(t.Context(), http.DefaultClient, netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), Arrival{Service: "s", Path: "/"})
				g.Expect(o.refused).To(gomega.Equal(refused))
				g.Expect(o.failed).To(gomega.Equal(!refused))
			})
		}
	}
}

// TestAnswersWithoutEndFitIntoALoadRun guards against a load run that runs out of memory by what
// entries send.
func TestAnswersWithoutEndFitIntoALoadRun(t *testing.T) {
	// What each of some hundred requests at once may take.
	const maxHeapGrowth = 4 << 20
	for name, head := range cuttest.EndlessHeads {
		for _, a := range []Arrival{{Service: "s", Path: "/"}, {Model: "m", Stream: true}} {
			t.Run(fmt.Sprint(name, " to ", a.Model), func(t *testing.T) {
				g := gomega.NewWithT(t)
				entry := cuttest.StartEndless(t, head, cuttest.Repeat("more"))
				g.Expect(cuttest.HeapPeak(func() {
					o := send(t.Context(), newClient(), entry, a)
					g.Expect(o.refused).To(gomega.BeFalse())
				})).To(gomega.BeNumerically("<", maxHeapGrowth))
			})
		}
	}
}
