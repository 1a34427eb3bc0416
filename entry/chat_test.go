package entry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/relay"
	"github.com/hyssopladder/hyssopladder/result"
)

// TestRefusedContentHasRunUnlessStatedOtherwise guards against a caller that is told that its
// request hasn't run, as an upstream answered with a status below 500, though the upstream
// doesn't say so or an earlier one may have run it.
func TestRefusedContentHasRunUnlessStatedOtherwise(t *testing.T) {
	for status := http.StatusBadRequest; status < http.StatusInternalServerError; status++ {
		for _, stated := range []string{"", "no", "unknown", "yes"} {
			for _, mayHaveRun := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d %q %v", status, stated, mayHaveRun), func(t *testing.T) {
					g := gomega.NewWithT(t)
					c := &chatCall{mayHaveRun: mayHaveRun}
					_, err := c.classify(&http.Response{StatusCode: status, Header: http.Header{headerRan: {stated}}, Body: http.NoBody})
					g.Expect(err).To(gomega.HaveOccurred())
					g.Expect(result.From(err).Ran == result.RanNo).To(gomega.Equal(stated == "no" && !mayHaveRun))
				})
			}
		}
	}
}

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
			g.Expect(err != nil).To(gomega.Equal(refused), "the caller may mend the request")
			g.Expect(c.stream.Accept(relay.Chunk{Attempt: number, Text: "a"})).To(gomega.Equal(relay.Emit))
			failure, err := c.classify(respond())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(failure.MayHaveRun()).To(gomega.BeTrue())
		})
	}
}
