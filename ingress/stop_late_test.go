package ingress

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/result"
)

// expectRefusal reads a response, which has to say that the request hasn't run, when to
// come back, and that another connection is needed.
func (c *stopCaller) expectRefusal() {
	response, body := c.receive(true)
	c.s.g.Expect(response.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable), body)
	var e result.Error
	c.s.g.Expect(json.Unmarshal([]byte(body), &e)).To(gomega.Succeed())
	c.s.g.Expect(e.Code).To(gomega.Equal(result.Draining))
	c.s.g.Expect(e.Ran).To(gomega.Equal(result.RanNo))
	c.s.g.Expect(response.Header.Get("Retry-After")).NotTo(gomega.BeEmpty())
	c.s.g.Expect(response.Close).To(gomega.BeTrue(), "the connection is kept")
}

// TestRequestsThatComeLateInAStopAreRefused guards against requests that are passed on
// late in a stop and lost with the process: they come on a connection that a stream kept
// open, or are whole only late.
func TestRequestsThatComeLateInAStopAreRefused(t *testing.T) {
	const path = "/once/late"
	text := stopRequest(path)
	for name, c := range map[string]struct {
		stream       bool
		before, late string
	}{
		"sent with the stream before it":  {true, text, ""},
		"sent after the stream before it": {true, "", text},
		"body whole only late":            {false, text[:len(text)-1], text[len(text)-1:]},
		"head whole only late":            {false, text[:len(text)/2], text[len(text)/2:]},
		"sent on a connection of before":  {false, "", text},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startStopCase(t)
			caller := s.dial()
			if c.stream {
				// One write: the requests are pipelined.
				caller.send(stopRequest("/stream/1") + c.before)
				response, _ := caller.receive(false)
				s.beginStop(t)
				s.waitClosed()
				s.finish("/stream/1")
				_, err := io.ReadAll(response.Body)
				s.g.Expect(err).NotTo(gomega.HaveOccurred())
			} else {
				caller.send(c.before)
				if c.before != "" {
					s.g.Eventually(s.in.listener.Busy, stopLimit).Should(gomega.Equal(1))
				}
				s.beginStop(t)
				s.waitClosed()
			}
			if c.late != "" {
				// A connection that is closed with the request unread loses nothing.
				_, writeErr := io.WriteString(caller, c.late)
				_, readErr := caller.reader.Peek(1)
				if c.late == text && (writeErr != nil || readErr != nil) {
					s.g.Expect(s.reachedPaths()).NotTo(gomega.ContainElement(path))
					return
				}
			}
			caller.expectRefusal()
			s.g.Expect(s.reachedPaths()).NotTo(gomega.ContainElement(path))
		})
	}
}

// TestEveryRequestGetsAnAnswerBeforeTheEnd guards against requests that are cut off with
// the process: a request that was sent on gets an answer that doesn't claim it hasn't
// run, one that wasn't gets a refusal, and a stream goes on to the very end.
func TestEveryRequestGetsAnAnswerBeforeTheEnd(t *testing.T) {
	t.Parallel()
	s := startStopCase(t)
	stream, sent, waiting, trickling := s.dial(), s.dial(), s.dial(), s.dial()
	stream.send(stopRequest("/stream/1"))
	streamed, _ := stream.receive(false)
	sent.sendAndReach("/full/sent")
	waiting.send(stopRequest("/full/waiting"))
	text := stopRequest("/once/trickling")
	trickling.send(text[:len(text)-1])
	s.g.Eventually(s.in.listener.Busy, stopLimit).Should(gomega.Equal(4))
	s.beginStop(t)

	trickling.expectRefusal()
	waiting.expectRefusal()
	response, body := sent.receive(true)
	s.g.Expect(s.drained).NotTo(gomega.BeClosed())
	s.g.Expect(response.StatusCode).To(gomega.BeElementOf(http.StatusBadGateway, http.StatusGatewayTimeout), body)
	var e result.Error
	s.g.Expect(json.Unmarshal([]byte(body), &e)).To(gomega.Succeed())
	s.g.Expect(e.Ran).To(gomega.Equal(result.RanUnknown))
	s.g.Expect(s.reachedPaths()).To(gomega.ConsistOf("/stream/1", "/full/sent"))
	// The stream's events still pass.
	s.finish("/stream/1")
	events, err := io.ReadAll(streamed.Body)
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	s.g.Expect(string(events)).To(gomega.Equal(event(1) + event(2)))
	s.g.Eventually(s.drained, stopLimit).Should(gomega.BeClosed())
}

// TestLateRequestThatEndsInTimeIsServed guards against refusals of late requests that are
// sure to get an answer before the entry's process ends.
func TestLateRequestThatEndsInTimeIsServed(t *testing.T) {
	t.Parallel()
	s := startStopCase(t)
	caller := s.dial()
	caller.send(stopRequest("/stream/1") + stopRequest("/short/late"))
	response, _ := caller.receive(false)
	s.beginStop(t)
	s.waitClosed()
	s.finish("/short/late")
	s.finish("/stream/1")
	_, err := io.ReadAll(response.Body)
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	late, body := caller.receive(true)
	s.g.Expect(late.StatusCode).To(gomega.Equal(http.StatusOK), body)
	s.g.Expect(late.Close).To(gomega.BeTrue(), "the connection is kept")
}
