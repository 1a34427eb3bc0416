package entry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/relay"
)

// TestErrorOfTheNextUpstreamIsNotForTheCaller guards against an error document in the middle
// of a stream that has begun at another upstream.
func TestErrorOfTheNextUpstreamIsNotForTheCaller(t *testing.T) {
	for status := 201; status < 600; status++ {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			g := gomega.NewWithT(t)
			respond := func() *http.Response {
				return &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(`{"detail":"no"}`))}
			}
			c := &chatCall{}
			number, _ := c.stream.Begin()
			_, err := c.classify(respond())
			refused := status >= http.StatusBadRequest && status < http.StatusInternalServerError
			g.Expect(err != nil).To(gomega.Equal(refused), "the request hasn't run, and the caller may mend it")
			g.Expect(c.stream.Accept(relay.Chunk{Attempt: number, Text: "a"})).To(gomega.Equal(relay.Emit))
			failure, err := c.classify(respond())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(failure.MayHaveRun()).To(gomega.BeTrue())
		})
	}
}
