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
