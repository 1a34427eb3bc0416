package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/hyssopladder/hyssopladder/result"
)

// TestPanicsAreAnswered guards against a fault in a handler that closes the caller's
// connection without an answer, or that makes half an answer look whole.
func TestPanicsAreAnswered(t *testing.T) {
	for name, tc := range map[string]struct {
		handle func(w http.ResponseWriter)
		// answered says that the caller gets an error with a code.
		answered bool
		panics   int64
	}{
		"before the answer":  {func(w http.ResponseWriter) { w.Header().Set("Content-Length", "1"); panic("fault") }, true, 1},
		"within the answer":  {func(w http.ResponseWriter) { _, _ = io.WriteString(w, "half"); panic("fault") }, false, 1},
		"aborted on purpose": {func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			e := &Entry{meters: newMeters(metrics.NewRegistry())}
			e.options.Settings.WriteTimeout = time.Second
			server := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, _ *http.Request) {
				w := &callerWriter{ResponseWriter: response}
				defer e.answerPanic(w, &callerRequest{})
				tc.handle(w)
			}))
			defer server.Close()
			c := &http.Client{Transport: &http.Transport{}}
			response, err := c.Get(server.URL)
			var body []byte
			if err == nil {
				body, err = io.ReadAll(response.Body)
				_ = response.Body.Close()
			}
			g.Expect(e.meters.panics.Count()).To(gomega.Equal(tc.panics))
			if !tc.answered {
				g.Expect(err).To(gomega.HaveOccurred())
				return
			}
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(response.StatusCode).To(gomega.Equal(http.StatusInternalServerError))
			g.Expect(string(body)).To(gomega.And(gomega.ContainSubstring(`"ran":"unknown"`), gomega.ContainSubstring(result.Internal.String())))
		})
	}
}
