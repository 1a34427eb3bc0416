package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/common/tcpconn"
	"github.com/hyssopladder/hyssopladder/config"
)

// TestUnusualAnswersAreWhole guards against answers without a body, of the size of the entry's
// buffer, or to callers of an older protocol, that end without their end.
func TestUnusualAnswersAreWhole(t *testing.T) {
	atMost, above := strings.Repeat("x", maxBufferedBytes), strings.Repeat("x", maxBufferedBytes+1)
	withLength := func(body string) string {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", answerHead, len(body), body)
	}
	status := func(line, headers string) string {
		return strings.Replace(answerHead, "200 OK", line, 1) + headers + "\r\n"
	}
	plain, stream := config.Route{Kind: config.NonIdempotent}, config.Route{Kind: config.Streaming}
	for name, tc := range map[string]struct {
		route         config.Route
		request       string
		answer        string
		status        int
		body          string
		stays         bool
		contentLength int64
	}{
		"HEAD with a length":           {plain, "HEAD / HTTP/1.1\r\nHost: h\r\n\r\n", answerHead + "Content-Length: 100\r\n\r\n", 200, "", true, 100},
		"HEAD with chunks":             {plain, "HEAD / HTTP/1.1\r\nHost: h\r\n\r\n", chunkedHead, 200, "", true, -1},
		"HEAD without a length":        {plain, "HEAD / HTTP/1.1\r\nHost: h\r\n\r\n", answerHead + "\r\n", 200, "", true, -1},
		"HEAD of a stream":             {stream, "HEAD / HTTP/1.1\r\nHost: h\r\n\r\n", answerHead + "\r\n", 200, "", true, -1},
		"HEAD of a stream with chunks": {stream, "HEAD / HTTP/1.1\r\nHost: h\r\n\r\n", chunkedHead, 200, "", true, -1},
		"no content":                   {plain, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", status("204 No Content", ""), 204, "", true, 0},
		"no content of a stream":       {stream, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", status("204 No Content", ""), 204, "", true, 0},
		"not modified":                 {plain, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", status("304 Not Modified", ""), 304, "", true, 0},
		"not modified with a length":   {plain, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", status("304 Not Modified", "Content-Length: 100\r\n"), 304, "", true, 0},
		"reset content":                {plain, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", status("205 Reset Content", "Content-Length: 0\r\n"), 205, "", true, 0},
		"buffer":                       {plain, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", withLength(atMost), 200, atMost, true, maxBufferedBytes},
		"above the buffer":             {plain, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", withLength(above), 200, above, true, maxBufferedBytes + 1},
		"buffer in chunks":             {plain, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", chunkedHead + chunk(atMost) + lastChunk, 200, atMost, true, maxBufferedBytes},
		"above the buffer in chunks":   {plain, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", chunkedHead + chunk(above) + lastChunk, 200, above, true, -1},
		"above the buffer until close": {plain, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", answerHead + "\r\n" + above, 200, above, true, -1},
		"more than its length":         {plain, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", answerHead + "Content-Length: 2\r\n\r\nokmore", 200, "ok", true, 2},
		"1.0":                          {plain, "GET / HTTP/1.0\r\n\r\n", withLength("ok"), 200, "ok", false, 2},
		"1.0 kept":                     {plain, "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", withLength("ok"), 200, "ok", true, 2},
		"1.0 kept, in chunks":          {plain, "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", chunkedHead + chunk(above) + lastChunk, 200, above, false, -1},
		"1.0 kept, above the buffer":   {plain, "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", withLength(above), 200, above, true, maxBufferedBytes + 1},
		"1.0 stream":                   {stream, "GET / HTTP/1.0\r\n\r\n", chunkedHead + chunk(event(1)) + lastChunk, 200, event(1), false, -1},
		"1.0 stream, kept":             {stream, "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", chunkedHead + chunk(event(1)) + lastChunk, 200, event(1), false, -1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			// The upstream's connections end after an answer.
			answer := strings.Replace(tc.answer, "X-Replica-Seal", "Connection: close\r\nX-Replica-Seal", 1)
			upstream := startUpstream(t, func(c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, answer) })
			c, err := net.Dial("tcp", strings.TrimPrefix(startEntry(t, tc.route, 2*time.Second, upstream), "http://"))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = c.Close() }()
			g.Expect(c.SetDeadline(time.Now().Add(5 * time.Second))).To(gomega.Succeed())
			reader := bufio.NewReader(tcpconn.Conn{Conn: c})
			method, _, _ := strings.Cut(tc.request, " ")
			times := 1
			if tc.stays {
				times = 2
			}
			for range times {
				_, err = io.WriteString(c, tc.request)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				response, err := http.ReadResponse(reader, &http.Request{Method: method})
				g.Expect(err).NotTo(gomega.HaveOccurred(), "no answer")
				body, err := io.ReadAll(response.Body)
				g.Expect(err).NotTo(gomega.HaveOccurred(), "half an answer")
				g.Expect(response.StatusCode).To(gomega.Equal(tc.status), string(body))
				g.Expect(string(body) == tc.body).To(gomega.BeTrue(), "%d bytes", len(body))
				g.Expect(response.ContentLength).To(gomega.Equal(tc.contentLength))
			}
			if !tc.stays {
				_, err := reader.Peek(1)
				g.Expect(err).To(gomega.MatchError(io.EOF))
			}
		})
	}
}
