package ingress

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// TestNewConfigurationsEndNoRequest guards against a configuration that comes while a request
// is read, waits or is answered, and after which the request gets neither an answer nor a
// refusal.
func TestNewConfigurationsEndNoRequest(t *testing.T) {
	change := func(pairs ...string) string {
		return strings.NewReplacer(append([]string{`"version":1`, `"version":2`}, pairs...)...).Replace(stopConfig)
	}
	for name, next := range map[string]struct {
		config string
		// status is that of a request whose head is whole only after the change.
		status int
	}{
		"nothing but the number":  {change(), http.StatusOK},
		"timeouts lowered":        {change(`"timeoutMs":20000`, `"timeoutMs":50`, `"sloMs":20000`, `"sloMs":50`, `"timeoutMs":1000`, `"timeoutMs":50`), http.StatusOK},
		"timeouts of centuries":   {change(`"timeoutMs":20000`, `"timeoutMs":9223372036854`, `"sloMs":20000`, `"sloMs":9223372036854`), http.StatusOK},
		"routes moved away":       {change(`"host":"h"`, `"host":"elsewhere"`), http.StatusNotFound},
		"routes lead elsewhere":   {change(`"service":"s"`, `"service":"none"`, `"service":"full"`, `"service":"none"`, `{"name":"s"},{"name":"full"}`, `{"name":"none"}`), http.StatusServiceUnavailable},
		"key revoked":             {change(`"apiKeys":["k"]`, `"apiKeys":["other"]`), http.StatusUnauthorized},
		"organisation gone":       {change(`{"name":"o","apiKeys":["k"]}`, ``), http.StatusUnauthorized},
		"null for organisations":  {change(`[{"name":"o","apiKeys":["k"]}]`, `null`), http.StatusUnauthorized},
		"no organisations at all": {change(`,"tenants":[{"name":"o","apiKeys":["k"]}]`, ``), http.StatusOK},
		"limit of bodies lowered": {change(`"routes":[`, `"limits":{"maxBodyBytes":1},"routes":[`), http.StatusRequestEntityTooLarge},
		"quota lowered":           {change(`"apiKeys":["k"]`, `"apiKeys":["k"],"ratePerS":0.001,"burst":0.001`), http.StatusTooManyRequests},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startStopCase(t)
			for _, path := range []string{"/once/head", "/once/body", "/once/kept", "/once/first", "/once/pipelined"} {
				s.finish(path)
			}
			head, body, kept, sent, first, waiting, stream, pipelined := s.dial(), s.dial(), s.dial(), s.dial(), s.dial(), s.dial(), s.dial(), s.dial()
			headText, bodyText := stopRequest("/once/head"), stopRequest("/once/body")
			head.send(headText[:len(headText)/2])
			body.send(bodyText[:len(bodyText)-1])
			kept.send(stopRequest("/once/first"))
			_, _ = kept.receive(true)
			sent.sendAndReach("/once/sent")
			first.sendAndReach("/full/first")
			waiting.send(stopRequest("/full/waiting"))
			stream.send(stopRequest("/stream/1"))
			streamed, _ := stream.receive(false)
			pipelined.send(stopRequest("/stream/2") + stopRequest("/once/pipelined"))
			streamedFirst, _ := pipelined.receive(false)
			s.g.Eventually(s.in.listener.Busy, stopLimit).Should(gomega.Equal(7))

			s.setConfig(2, next.config)
			s.g.Eventually(func() uint64 { return s.in.link.Table().Revision.Number }, stopLimit).Should(gomega.BeEquivalentTo(2))

			for path, c := range map[string]*stopCaller{"/once/head": head, "/once/body": body, "/once/kept": kept} {
				switch c {
				case head:
					c.send(headText[len(headText)/2:])
				case body:
					c.send(bodyText[len(bodyText)-1:])
				default:
					c.send(stopRequest(path))
				}
				response, text := c.receive(true)
				if c == body {
					s.g.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK), text)
				} else {
					s.g.Expect(response.StatusCode).To(gomega.Equal(next.status), text)
				}
				if response.StatusCode != http.StatusOK {
					s.g.Expect(text).To(gomega.ContainSubstring(`"ran":"no"`), path)
				}
			}
			for _, path := range []string{"/once/sent", "/full/first", "/full/waiting", "/stream/1", "/stream/2"} {
				s.finish(path)
			}
			// What was accepted goes on by the configuration of its arrival.
			for path, c := range map[string]*stopCaller{"/once/sent": sent, "/full/first": first, "/full/waiting": waiting} {
				response, text := c.receive(true)
				s.g.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK), "%s: %s", path, text)
			}
			for _, response := range []*http.Response{streamed, streamedFirst} {
				events, err := io.ReadAll(response.Body)
				s.g.Expect(err).NotTo(gomega.HaveOccurred())
				s.g.Expect(string(events)).To(gomega.Equal(event(1) + event(2)))
			}
			response, text := pipelined.receive(true)
			s.g.Expect(response.StatusCode).To(gomega.Equal(next.status), text)
			for _, cause := range []string{"callerGone", "cutOff", "writeFailed", "panicked"} {
				s.g.Expect(s.ended(cause)).To(gomega.BeZero(), cause)
			}
		})
	}
}
