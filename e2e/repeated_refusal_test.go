package e2e

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// refusedCase is a request that is refused, and is then under way again on the same connection,
// where the copy of the refusal comes before the answer.
type refusedCase struct {
	// status is that of the refusal: 421 by a replica that has another ID than the expected one
	// and announces it while the request waits for an upstream; after others the caller sends
	// the request again.
	status int
	copyAt copyMoment
	kind   string
}

var refusedCases = []refusedCase{
	{http.StatusMisdirectedRequest, copyWhenRead, "book"},
	{http.StatusMisdirectedRequest, copyAmidRun, "talk"},
	{http.StatusMisdirectedRequest, copyBeforeAnswer, "book"},
	{http.StatusServiceUnavailable, copyWhenRead, "talk"},
	{http.StatusTooManyRequests, copyAmidRun, "book"},
	{http.StatusBadRequest, copyBeforeAnswer, "talk"},
}

// refusedConfig returns a configuration with a service for each case, to which both routes lead.
func refusedConfig() string {
	var routes, services []string
	for i := range refusedCases {
		for _, r := range []string{`"name":"talk-%d","pathPrefix":"/talk/%d/","kind":"streaming","gapSloMs":4000`, `"name":"book-%d","pathPrefix":"/book/%d/","kind":"non_idempotent"`} {
			routes = append(routes, fmt.Sprintf(`{`+r+`,"host":"mill.example","timeoutMs":8000,"sloMs":4000,"priority":0,"service":"desk-%d","attempts":3}`, i, i, i))
		}
		services = append(services, fmt.Sprintf(`{"name":"desk-%d","healthPath":"/healthz","maxConns":90}`, i))
	}
	return fmt.Sprintf(`{"version":3,"routes":[%s],"services":[%s],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"mill","apiKeys":["key-m"]}]}`, strings.Join(routes, ","), strings.Join(services, ","))
}

// startFull returns a replica whose slots all have streams, which wait for its hold.
func (d *platformDeployment) startFull(id, service, path string) *replica {
	ginkgo.GinkgoHelper()
	r := startReplica(id, service, "a", d.keepers)
	d.waitUntilServed(path)
	r.holdAfter.Store(1)
	const slots = 4
	for n := range slots {
		go d.sendRequest(0, http.MethodPost, path, "key-m", "x", "X-Request-Id", fmt.Sprint(id, "-", n))
	}
	for n := range slots {
		gomega.Eventually(func() int { return r.ran(fmt.Sprint(id, "-", n)) }, startLimit).Should(gomega.Equal(1))
	}
	return r
}

func (d *platformDeployment) waitUntilServed(path string) {
	ginkgo.GinkgoHelper()
	gomega.Eventually(func() int {
		status, _ := d.sendRequest(0, http.MethodPost, path, "key-m", "x")
		return status
	}, startLimit).Should(gomega.Equal(http.StatusOK))
}

// attempts returns what the first entry has logged of a request.
func (d *platformDeployment) attempts(id string) string {
	lines := bytes.Split(d.entries[0].Out.Contents(), []byte("\n"))
	return string(bytes.Join(slices.DeleteFunc(lines, func(line []byte) bool { return !bytes.Contains(line, []byte(`request="`+id+`"`)) }), []byte("\n")))
}

// repeatRefused has the request of a case refused, and returns what its caller gets in the end,
// and how often it ran.
func (d *platformDeployment) repeatRefused(number int, c refusedCase, id string) (status int, body string, runs int) {
	ginkgo.GinkgoHelper()
	service := fmt.Sprint("desk-", number)
	path, probe := fmt.Sprintf("/%s/%d/x", c.kind, number), fmt.Sprintf("/talk/%d/probe", number)
	send := func() { status, body = d.sendRequest(0, http.MethodPost, path, "key-m", "x", "X-Request-Id", id) }
	start := func() *faultyReplica {
		r := newFaulty(firstRelease, "i-"+service, service, "a", newPaths(), rand.New(rand.NewPCG(1, 0)))
		r.nextCopy = func() (copyMoment, bool) { return c.copyAt, true }
		r.start(d.keepers)
		d.waitUntilServed(probe)
		return r
	}
	if c.status != http.StatusMisdirectedRequest {
		r := start()
		r.refuse.Store(int64(c.status))
		send()
		gomega.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable), body)
		gomega.Expect(r.ran(id)).To(gomega.BeZero())
		send()
		return status, body, r.ran(id)
	}
	// The second replica is one to wait for.
	full := d.startFull("i-full-"+service, service, probe)
	r := start()
	next := r.id + "-next"
	r.renamed.Store(&next)
	answered := make(chan struct{})
	go func() { send(); close(answered) }()
	gomega.Eventually(func() bool {
		return slices.ContainsFunc(r.requests(), func(r *http.Request) bool { return r.Header.Get("X-Request-Id") == id })
	}, startLimit).Should(gomega.BeTrue())
	r.announceAgain(d.keepers)
	gomega.Eventually(func() int { return r.ran(id) }, startLimit).Should(gomega.Equal(1), func() string { return d.attempts(id) })
	close(full.hold)
	gomega.Eventually(answered, startLimit).Should(gomega.BeClosed())
	return status, body, r.ran(id) + full.ran(id)
}

// Guards against an entry that takes the copy of an earlier refusal for the answer to a request
// that runs: the caller is told that it hasn't run, or another replica runs it as well.
var _ = ginkgo.Describe("A request that is under way again", func() {
	ginkgo.It("isn't answered by the copy of its refusal", func() {
		d := &platformDeployment{}
		d.startEntries(1, "")
		gomega.Eventually(func() int { return d.putConfig(1, refusedConfig()) }, startLimit).Should(gomega.Equal(http.StatusOK))
		failed := map[string]string{}
		for i, c := range refusedCases {
			id := fmt.Sprint("again-", i)
			if status, body, runs := d.repeatRefused(i, c, id); status != http.StatusOK || runs != 1 {
				failed[id] = fmt.Sprintf("%+v: status %d, ran %d times, %q", c, status, runs, body)
			}
		}
		var text strings.Builder
		for _, id := range slices.Sorted(maps.Keys(failed)) {
			fmt.Fprintf(&text, "%s\n%s\n", failed[id], d.attempts(id))
		}
		if len(failed) > 0 {
			ginkgo.Fail(text.String())
		}
	})
})
