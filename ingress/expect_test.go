package ingress

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestExpectedBodiesAreAnswered guards against callers that wait for "100 Continue" before they
// send a body, or don't wait for it, and get no answer.
func TestExpectedBodiesAreAnswered(t *testing.T) {
	for name, tc := range map[string]struct {
		path, key string
		size      int
		// continues says that the entry wants the body.
		continues bool
		status    int
	}{
		"served":      {"/once/1", "k", 1 << 10, true, http.StatusOK},
		"no route":    {"/nowhere", "k", 1 << 10, false, http.StatusNotFound},
		"unknown key": {"/once/1", "none", 3 << 20, false, http.StatusUnauthorized},
		"too large":   {"/once/1", "k", defaultMaxBodyBytes + 1, false, http.StatusRequestEntityTooLarge},
	} {
		for _, waits := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s waits=%v", name, waits), func(t *testing.T) {
				t.Parallel()
				s := startStopCase(t)
				s.finish("/once/1")
				c := s.dial()
				head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Token %s\r\nX-Request-Id: -expect\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", tc.path, tc.key, tc.size)
				body := strings.Repeat("x", tc.size)
				began := time.Now()
				if waits {
					c.send(head)
				} else {
					c.send(head + body)
				}
				response, text := c.receive(!tc.continues)
				if tc.continues {
					s.g.Expect(response.StatusCode).To(gomega.Equal(http.StatusContinue))
					if waits {
						c.send(body)
					}
					response, text = c.receive(true)
				}
				s.g.Expect(response.StatusCode).To(gomega.Equal(tc.status), text)
				s.g.Expect(time.Since(began)).To(gomega.BeNumerically("<", unreadBodyTimeout/2))
			})
		}
	}
}
