package exchange

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// cutAnswer is an answer to request 1, whole.
type cutAnswer struct {
	name, text string
	// body is what the caller of a sound answer gets.
	body string
	// endless says that the answer has neither a length nor chunks, so that a
	// connection that is closed, and not reset, ends it.
	endless bool
	// unsound says that the answer lacks something even if nothing is cut.
	unsound bool
}

func cutAnswers() []cutAnswer {
	const (
		head    = "HTTP/1.1 200 OK\nDate: Sat, 05 Dec 2026 08:00:00 GMT\nX-Id: 1\n"
		hints   = "HTTP/1.1 103 Early Hints\nLink: </a>\n\n"
		chunked = "Transfer-Encoding: chunked\n\n5\nabcde\na;x=1\nfghijklmno\n0\n"
	)
	crlf := []cutAnswer{
		{name: "length", text: head + "Content-Length: 12\n\nabcdefghijkl", body: "abcdefghijkl"},
		{name: "length before the ID", text: "HTTP/1.1 200 OK\nContent-Length: 12\nX-Id: 1\n\nabcdefghijkl", body: "abcdefghijkl"},
		{name: "no body", text: head + "Content-Length: 0\n\n"},
		{name: "chunks", text: head + chunked + "\n", body: "abcdefghijklmno"},
		{name: "chunks with a trailer", text: head + "Trailer: X-Sum\n" + chunked + "X-Sum: 12\n\n", body: "abcdefghijklmno"},
		{name: "until closed", text: head + "\nabcdefghijkl", body: "abcdefghijkl", endless: true},
		{name: "until closed, with close", text: head + "Connection: close\n\nabcdefghijkl", body: "abcdefghijkl", endless: true},
		{name: "until closed, HTTP/1.0", text: strings.Replace(head, "1.1", "1.0", 1) + "\nabcdefghijkl", body: "abcdefghijkl", endless: true},
		{name: "no content", text: "HTTP/1.1 204 No Content\nX-Id: 1\n\n"},
		{name: "error", text: "HTTP/1.1 500 Broken\nX-Id: 1\nContent-Length: 5\n\nsorry", body: "sorry"},
		{name: "refusal", text: "HTTP/1.1 503 Full\nX-Id: 1\nX-Not-Run: 1\nRetry-After: 10\nContent-Length: 4\n\nfull", body: "full"},
		{name: "informational ones first", text: "HTTP/1.1 100 Continue\n\n" + hints + head + "Content-Length: 2\n\nok", body: "ok"},
		{name: "informational one first, until closed", text: hints + head + "\nok", body: "ok", endless: true},
		{name: "another request's first", text: "HTTP/1.1 200 OK\nX-Id: 0\nContent-Length: 3\n\nold" + head + "\nok", body: "ok", endless: true},
		{name: "folded lines", text: head + "X-More: a\n b\n\tc\nContent-Length:\n 12\n\nabcdefghijkl", body: "abcdefghijkl"},
		{name: "folded lines, until closed", text: head + "X-More: a\n b\n\tc\n\nabcdefghijkl", body: "abcdefghijkl", endless: true},
		{name: "no empty line", text: head + "Content-Length: 2\n", unsound: true},
		{name: "body in place of the empty line", text: head + "Content-Length: 2\nok", unsound: true},
		{name: "colon in a body in place of the empty line", text: head + "data: x\n", unsound: true},
		{name: "unknown transfer encoding", text: head + "Transfer-Encoding: chunk\n\n2\nok\n0\n\n", unsound: true},
		{name: "another request's, whose ID begins like this one's", text: "HTTP/1.1 200 OK\nX-Id: 17\nContent-Length: 3\n\nold", unsound: true},
		{name: "longer length", text: head + "Content-Length: 1234\n\nabcdefghijkl", unsound: true},
	}
	var answers []cutAnswer
	for _, a := range crlf {
		lf := a
		lf.name += ", bare LF"
		if !strings.Contains(a.name, "chunks") {
			// Chunks don't end without CR.
			answers = append(answers, lf)
		}
		a.text = strings.ReplaceAll(a.text, "\n", "\r\n")
		answers = append(answers, a)
	}
	return answers
}

// end closes the connection of a server, or resets it.
func end(c net.Conn, reset bool) {
	if reset {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	_ = c.Close()
}

// TestCutAnswersAreNeverWhole guards against an answer that ends within its status line, a
// header line, the line end before its body or its body, and that counts as whole with
// what came until then. Each answer is cut after each byte, by a close and by a reset.
func TestCutAnswersAreNeverWhole(t *testing.T) {
	for _, a := range cutAnswers() {
		t.Run(a.name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			s := startServer(t, func(c net.Conn, r *http.Request) bool {
				n, _ := strconv.Atoi(r.Header.Get("X-Cut"))
				_, _ = io.WriteString(c, a.text[:n])
				end(c, r.Header.Get("X-Reset") != "")
				return false
			})
			bodyAt := len(a.text) - len(a.body)
			for n := range len(a.text) + 1 {
				for _, reset := range []bool{false, true} {
					r := newRequest("1")
					r.Header.Set("X-Cut", strconv.Itoa(n))
					if reset {
						r.Header.Set("X-Reset", "1")
					}
					body, err := fetch(t, New(func() {}), s, r)
					whole := !a.unsound && n == len(a.text)
					if a.endless {
						// A close ends the body wherever it comes, a reset nowhere.
						whole = n >= bodyAt && !reset
					}
					if !whole {
						g.Expect(err).To(gomega.HaveOccurred(), "%q, reset=%v, is whole: %q", a.text[:n], reset, body)
						continue
					}
					g.Expect(err).NotTo(gomega.HaveOccurred(), "%q, reset=%v", a.text[:n], reset)
					if a.endless {
						g.Expect(body).To(gomega.Equal(a.text[bodyAt:n]))
					} else {
						g.Expect(body).To(gomega.Equal(a.body))
					}
				}
			}
		})
	}
}

// TestResetWhileSendingIsNoEnd guards against an answer without a length that is reset while
// the request's body is still being sent: the kernel reports the reset once, to the
// writer, and the reader finds an end like that of a connection that was closed.
func TestResetWhileSendingIsNoEnd(t *testing.T) {
	for _, after := range []string{"", "half"} {
		t.Run(after, func(t *testing.T) {
			g := gomega.NewWithT(t)
			headRead := make(chan struct{})
			s := startServer(t, func(c net.Conn, _ *http.Request) bool {
				writeCRLF(c, "HTTP/1.1 200 OK\nX-Id: 1\n\n"+after)
				<-headRead
				end(c, true)
				return false
			})
			r := newRequest("1")
			r.Method, r.HasBody, r.Body = http.MethodPost, true, make([]byte, 32<<20)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			response, err := New(func() {}).Do(ctx, s.address, r)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer response.Close()
			close(headRead)
			g.Expect(<-response.bodyWritten).To(gomega.HaveOccurred(), "the body was sent whole")
			body, err := io.ReadAll(response)
			g.Expect(err).To(gomega.HaveOccurred(), "%q looks complete", body)
		})
	}
}
