package exchange

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/onsi/gomega"
)

// refusalOf is a refusal of the request with the ID, and answerTo its answer.
func refusalOf(id string) string {
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\nX-Id: %s\nContent-Length: 7\n\nrefused", id)
}

func answerTo(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\nX-Id: %s\nContent-Length: 3\n\nran", id)
}

// TestCopyOfItsRefusalDoesNotAnswerARequest guards against an upstream that refuses a request,
// gets it again, and sends the refusal once more before its answer: the request runs, and
// is taken for refused.
func TestCopyOfItsRefusalDoesNotAnswerARequest(t *testing.T) {
	refused := map[string]bool{"a": true, "c": true}
	for _, tc := range []struct {
		name string
		// ids are those of the requests, in order. The first request with an ID in refused is
		// refused, and the refusal sent again before each of the next answers on its connection.
		ids         []string
		connections int64
	}{
		{"at once", []string{"a", "a"}, 2},
		{"after another request", []string{"a", "b", "a"}, 2},
		{"after another refused one", []string{"a", "c", "c", "a"}, 2},
		{"on the connection of its second attempt", []string{"a", "a", "a"}, 3},
		{"others use the connection", []string{"a", "b", "d", "e"}, 1},
		{"requests without an ID have connections of their own", []string{"b", "", "", "d"}, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var mu sync.Mutex
			refusals := map[string]bool{}
			copies := map[net.Conn]string{}
			s := startServer(t, func(c net.Conn, r *http.Request) bool {
				mu.Lock()
				defer mu.Unlock()
				id := r.Header.Get("X-Id")
				if refused[id] && !refusals[id] {
					refusals[id] = true
					copies[c] += refusalOf(id)
					return writeCRLF(c, refusalOf(id))
				}
				due := copies[c]
				delete(copies, c)
				return writeCRLF(c, due+answerTo(id))
			})
			c := New(func() {})
			sent := map[string]bool{}
			for _, id := range tc.ids {
				want := "ran"
				if refused[id] && !sent[id] {
					want = "refused"
				}
				sent[id] = true
				g.Expect(fetch(t, c, s, newRequest(id))).To(gomega.Equal(want), id)
			}
			g.Expect(s.accepted.Load()).To(gomega.Equal(tc.connections))
			g.Expect(s.requests.Load()).To(gomega.BeEquivalentTo(len(tc.ids)))
		})
	}
}

// TestUnnamedResponseAfterASkippedOneIsNotTheFirst guards against a refusal without an ID that is taken
// for the answer, on a new connection on which a response to another request came before.
func TestUnnamedResponseAfterASkippedOneIsNotTheFirst(t *testing.T) {
	const unnamed = "HTTP/1.1 503 Service Unavailable\nContent-Length: 7\n\nrefused"
	for before, want := range map[string]string{"": "refused", answerTo("b"): "ran"} {
		g := gomega.NewWithT(t)
		s := startServer(t, func(c net.Conn, _ *http.Request) bool { return writeCRLF(c, before+unnamed+answerTo("a")) })
		r := newRequest("a")
		r.Matches = func(response *http.Response, used bool) bool {
			id := response.Header.Get("X-Id")
			return id == "a" || id == "" && !used
		}
		g.Expect(fetch(t, New(func() {}), s, r)).To(gomega.Equal(want))
	}
}

// TestCopiesBesideHEAD guards against a copy of an earlier response that is read with the length of
// another method's: what is left of it then breaks the answer.
func TestCopiesBesideHEAD(t *testing.T) {
	for _, methods := range [][]string{{http.MethodGet, http.MethodHead}, {http.MethodHead, http.MethodGet}, {http.MethodHead, http.MethodHead}} {
		g := gomega.NewWithT(t)
		copies := map[net.Conn]string{}
		var mu sync.Mutex
		s := startServer(t, func(c net.Conn, r *http.Request) bool {
			mu.Lock()
			defer mu.Unlock()
			answer := answerTo(r.Header.Get("X-Id"))
			if r.Method == http.MethodHead {
				answer = strings.TrimSuffix(answer, "ran")
			}
			due := copies[c]
			copies[c] = answer
			return writeCRLF(c, due+answer)
		})
		c := New(func() {})
		for id, method := range methods {
			r := newRequest(strconv.Itoa(id))
			r.Method = method
			_, err := fetch(t, c, s, r)
			g.Expect(err).NotTo(gomega.HaveOccurred(), "%v", methods)
		}
	}
}

// TestConnectionsCarryEachIDOnce guards against a connection on which the ID of a response proves
// nothing, whichever IDs come again, and against one that keeps IDs without end.
func TestConnectionsCarryEachIDOnce(t *testing.T) {
	const requests = 3*maxExchanges + 1
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	var mu sync.Mutex
	carried := map[net.Conn]map[string]bool{}
	s := startServer(t, func(c net.Conn, r *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		id := r.Header.Get("X-Id")
		if carried[c] == nil {
			carried[c] = map[string]bool{}
		}
		if carried[c][id] || len(carried[c]) >= maxExchanges {
			t.Errorf("request %s after %d others, sent here before: %v", id, len(carried[c]), carried[c][id])
		}
		carried[c][id] = true
		return writeCRLF(c, answerTo(id))
	})
	c := New(func() {})
	for n := range requests {
		g.Expect(fetch(t, c, s, newRequest(strconv.Itoa(n-random.IntN(min(n, 3)+1))))).To(gomega.Equal("ran"))
	}
}
