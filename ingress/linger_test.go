package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestAnswersOutliveUnreadBytes guards against the close of a connection with unread bytes: it
// resets the connection, which fails the writes of a caller that reads only when it has
// written all, and may destroy the answer.
func TestAnswersOutliveUnreadBytes(t *testing.T) {
	post := func(path, key string, body int) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Token %s\r\nX-Request-Id: -linger\r\nContent-Length: %d\r\n\r\n%s", path, key, body, strings.Repeat("x", body))
	}
	chunks := "POST /once/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Token k\r\nX-Request-Id: -linger\r\nTransfer-Encoding: chunked\r\n\r\n" +
		strings.Repeat(chunk(strings.Repeat("x", 64<<10)), defaultMaxBodyBytes/(64<<10)+4) + lastChunk
	type linger struct {
		text     string
		stopping bool
		status   int
	}
	cases := map[string]linger{
		"empty line behind":    {stopRequest("/once/1") + "\r\n", true, http.StatusOK},
		"request behind":       {stopRequest("/once/1") + stopRequest("/once/1"), true, http.StatusOK},
		"large request behind": {stopRequest("/once/1") + post("/once/1", "k", 3<<20), true, http.StatusOK},
		"malformed":            {"POST /once/1\r\n\r\n" + strings.Repeat("x", 3<<20), false, http.StatusBadRequest},
		"no host":              {"POST /once/1 HTTP/1.1\r\n\r\n" + strings.Repeat("x", 300<<10), false, http.StatusBadRequest},
		"chunks above limit":   {chunks, false, http.StatusRequestEntityTooLarge},
		"length above limit":   {post("/once/1", "k", defaultMaxBodyBytes+1), false, http.StatusRequestEntityTooLarge},
	}
	for _, size := range []int{1 << 10, 300 << 10, 3 << 20} {
		for _, stopping := range []bool{false, true} {
			cases[fmt.Sprintf("no route %d stopping=%v", size, stopping)] = linger{post("/nowhere", "k", size), stopping, http.StatusNotFound}
			cases[fmt.Sprintf("unknown key %d stopping=%v", size, stopping)] = linger{post("/once/1", "none", size), stopping, http.StatusUnauthorized}
		}
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startStopCase(t)
			s.finish("/once/1")
			c := s.dial()
			if tc.stopping {
				s.beginStop(t)
			}
			// The answer is on its way before the last bytes are written.
			_, err := io.WriteString(c, tc.text[:len(tc.text)-1])
			s.g.Expect(err).NotTo(gomega.HaveOccurred(), "the request can't be written")
			_, err = c.reader.Peek(1)
			s.g.Expect(err).NotTo(gomega.HaveOccurred(), "no answer")
			_, err = io.WriteString(c, tc.text[len(tc.text)-1:])
			s.g.Expect(err).NotTo(gomega.HaveOccurred(), "the request can't be written")
			response, err := http.ReadResponse(bufio.NewReader(c.reader), nil)
			s.g.Expect(err).NotTo(gomega.HaveOccurred(), "no answer")
			_, err = io.ReadAll(response.Body)
			s.g.Expect(err).NotTo(gomega.HaveOccurred(), "half an answer")
			s.g.Expect(response.StatusCode).To(gomega.Equal(tc.status))
			if response.Close {
				_, err = c.reader.Peek(1)
				s.g.Expect(err).To(gomega.MatchError(io.EOF), "not closed in order")
				_ = c.Close()
				s.g.Eventually(s.in.listener.Lingering, time.Second).Should(gomega.BeZero())
			}
		})
	}
}
