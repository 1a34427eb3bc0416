package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

func startEngines(nodes []*process, zones []string, flags ...string) []*process {
	ginkgo.GinkgoHelper()
	var list []*process
	for i, zone := range zones {
		list = append(list, startUpstream(upstreamOptions{
			kind: "engine", id: fmt.Sprintf("engine-%d", i), zone: zone, serves: "rota-7b", entries: nodes, flags: flags,
		}))
	}
	waitForUpstreams(nodes, "assistant", len(zones))
	return list
}

// loadGenerator sends chat requests from several workers, each one after another,
// until it is stopped.
type loadGenerator struct {
	wait            sync.WaitGroup
	stopping        atomic.Bool
	answered        atomic.Int64
	answersByWorker []atomic.Int64
	mu              sync.Mutex
	failures        []string
}

func startLoad(workers, tokens int, pick func(i int) *process) *loadGenerator {
	l := &loadGenerator{answersByWorker: make([]atomic.Int64, workers)}
	for w := range workers {
		l.wait.Go(func() {
			for i := 0; !l.stopping.Load(); i++ {
				content := fmt.Sprintf("question %d of worker %d", i, w)
				header := map[string]string{"X-Caller": fmt.Sprintf("caller-%d", w%5), "X-Call": callNames[i%3]}
				text, err := askChat(pick(w+i), content, tokens, i%2 == 0, header)
				switch {
				case err != nil:
					l.fail("%s: %v", content, err)
				case text != expectedAnswer(content, tokens):
					l.fail("%s: got %q", content, text)
				default:
					l.answered.Add(1)
					l.answersByWorker[w].Add(1)
				}
			}
		})
	}
	return l
}

func (l *loadGenerator) fail(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, fmt.Sprintf(format, args...))
}

// waitForAnswers waits until n more requests were answered.
func (l *loadGenerator) waitForAnswers(n int64) {
	ginkgo.GinkgoHelper()
	want := l.answered.Load() + n
	gomega.Eventually(l.answered.Load, 60*time.Second).Should(gomega.BeNumerically(">=", want))
}

// waitForEachWorker waits until each worker got n more answers.
func (l *loadGenerator) waitForEachWorker(n int64) {
	ginkgo.GinkgoHelper()
	for w := range l.answersByWorker {
		want := l.answersByWorker[w].Load() + n
		gomega.Eventually(l.answersByWorker[w].Load, 20*time.Second).Should(gomega.BeNumerically(">=", want), "worker %d", w)
	}
}

// stopAndCheck stops the workers and fails the test if any request failed.
func (l *loadGenerator) stopAndCheck() {
	ginkgo.GinkgoHelper()
	l.stopping.Store(true)
	l.wait.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	gomega.Expect(l.failures).To(gomega.BeEmpty())
}

var _ = ginkgo.Describe("While upstreams and entries end", func() {
	roundRobin := func(nodes []*process) func(int) *process {
		return func(i int) *process { return nodes[i%len(nodes)] }
	}

	ginkgo.It("a reclaim in the middle of streams loses no token", func() {
		nodes := startTwoZones()
		engines := startEngines(nodes, []string{"a", "a", "b"}, "--decode", "10ms")
		load := startLoad(12, 60, roundRobin(nodes))
		load.waitForAnswers(12)
		engines[0].reclaim(300 * time.Millisecond)
		gomega.Eventually(engines[0].Exited, stopLimit).Should(gomega.BeClosed())
		load.waitForAnswers(12)
		load.stopAndCheck()
	})

	ginkgo.It("streams move to another upstream at once when they would outlast the notice", func() {
		nodes := startTwoZones()
		engines := startEngines(nodes, []string{"a", "b"}, "--decode", "20ms")
		load := startLoad(8, 400, roundRobin(nodes))
		gomega.Eventually(func() int64 { return engines[0].engineStats().Running }, startLimit).Should(gomega.BeNumerically(">", 2))
		engines[0].reclaim(6 * time.Second)
		gomega.Eventually(func() int64 { return engines[0].engineStats().Running }, 3*time.Second).Should(gomega.BeZero())
		load.stopAndCheck()
	})

	ginkgo.It("a reclaim of a whole zone, and then of an instance that took over, loses no answer", func() {
		nodes := startTwoZones()
		engines := startEngines(nodes, []string{"a", "a", "b", "b"}, "--decode", "10ms")
		load := startLoad(12, 60, roundRobin(nodes))
		load.waitForAnswers(12)
		engines[0].reclaim(500 * time.Millisecond)
		engines[1].reclaim(500 * time.Millisecond)
		gomega.Eventually(engines[0].Exited, stopLimit).Should(gomega.BeClosed())
		engines[2].reclaim(300 * time.Millisecond)
		gomega.Eventually(engines[2].Exited, stopLimit).Should(gomega.BeClosed())
		load.waitForAnswers(12)
		load.stopAndCheck()
	})

	ginkgo.It("an engine that crashes loses no answer", func() {
		nodes := startTwoZones()
		engines := startEngines(nodes, []string{"a", "a", "b"}, "--decode", "10ms")
		load := startLoad(12, 60, roundRobin(nodes))
		load.waitForAnswers(12)
		engines[1].signal(syscall.SIGKILL)
		load.waitForAnswers(24)
		load.stopAndCheck()
	})

	ginkgo.It("an engine that freezes loses no answer", func() {
		nodes := startTwoZones()
		engines := startEngines(nodes, []string{"a", "b"}, "--decode", "10ms")
		load := startLoad(8, 60, roundRobin(nodes))
		load.waitForAnswers(8)
		engines[0].signal(syscall.SIGSTOP)
		load.waitForEachWorker(2)
		engines[0].signal(syscall.SIGCONT)
		load.stopAndCheck()
	})

	ginkgo.It("a leaving upstream gets no new requests after three seconds, and late announcements don't change that", func() {
		nodes := startTwoZones()
		engines := startEngines(nodes[:1], []string{"a", "b"}, "--decode", "1ms")
		waitForUpstreams(nodes, "assistant", 2)
		began := time.Now()
		engines[0].reclaim(time.Minute)
		waitForUpstreams(nodes, "assistant", 1)
		gomega.Expect(time.Since(began)).To(gomega.BeNumerically("<", 3*time.Second))
		for i := range 40 {
			content := fmt.Sprintf("question %d", i)
			r := sendRequest(http.MethodPost, "http://"+nodes[i%4].Callers.String()+"/v1/chat/completions",
				fmt.Sprintf(`{"model":"rota-7b","messages":[{"role":"user","content":%q}],"max_tokens":4}`, content), nil)
			gomega.Expect(r.status).To(gomega.Equal(http.StatusOK))
			gomega.Expect(r.header.Get("X-Served-By")).To(gomega.Equal("engine-1"))
		}
	})

	ginkgo.It("a rolling restart of every entry under load breaks off no request", func() {
		nodes := startTwoZones()
		startEngines(nodes, []string{"a", "b", "b"}, "--decode", "5ms")
		b := startBalancer(nodes)
		load := startLoad(8, 40, b.pick)
		load.waitForAnswers(8)
		for i, n := range nodes {
			n.signal(syscall.SIGTERM)
			gomega.Eventually(n.Exited, stopLimit).Should(gomega.BeClosed())
			gomega.Expect(n.ExitCode()).To(gomega.Equal(0))
			next := n.restart()
			waitForReady(next)
			b.replace(i, next)
			load.waitForAnswers(8)
		}
		load.stopAndCheck()
	})
})

func waitForReady(n *process) {
	ginkgo.GinkgoHelper()
	gomega.Eventually(func() int {
		return sendRequest(http.MethodGet, "http://"+n.Callers.String()+"/readyz", "", nil).status
	}, startLimit).Should(gomega.Equal(http.StatusOK))
}

// balancer picks entries as a platform's load balancer does, by health checks
// every healthInterval.
type balancer struct {
	mu      sync.Mutex
	nodes   []*process
	healthy []bool
}

const healthInterval = 100 * time.Millisecond

func startBalancer(nodes []*process) *balancer {
	b := &balancer{nodes: append([]*process(nil), nodes...), healthy: make([]bool, len(nodes))}
	stop := make(chan struct{})
	ginkgo.DeferCleanup(func() { close(stop) })
	for i := range nodes {
		b.healthy[i] = true
		go func() {
			t := time.NewTicker(healthInterval)
			defer t.Stop()
			for {
				select {
				case <-t.C:
					b.check(i)
				case <-stop:
					return
				}
			}
		}()
	}
	return b
}

func (b *balancer) check(i int) {
	b.mu.Lock()
	n := b.nodes[i]
	b.mu.Unlock()
	r := sendRequest(http.MethodGet, "http://"+n.Callers.String()+"/readyz", "", nil)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.healthy[i] = r.status == http.StatusOK
}

func (b *balancer) replace(i int, n *process) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes[i] = n
}

func (b *balancer) pick(i int) *process {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.healthy[i%len(b.nodes)] {
		i++
	}
	return b.nodes[i%len(b.nodes)]
}

var _ = ginkgo.Describe("A caller whose connection broke", func() {
	ginkgo.It("gets the rest of its answer from another entry", func() {
		nodes := startTwoZones()
		startEngines(nodes, []string{"a", "b"}, "--decode", "2ms")
		const tokens = 30
		body := fmt.Sprintf(`{"model":"rota-7b","messages":[{"role":"user","content":"the week"}],"max_tokens":%d,"stream":true}`, tokens)
		url := func(n *process) string { return "http://" + n.Callers.String() + "/v1/chat/completions" }
		whole := sendRequest(http.MethodPost, url(nodes[0]), body, nil)
		rest := sendRequest(http.MethodPost, url(nodes[3]), body, map[string]string{"Last-Event-ID": "9"})
		gomega.Expect(rest.status).To(gomega.Equal(http.StatusOK))
		_, after, found := strings.Cut(string(whole.body), "id: 10\n")
		gomega.Expect(found).To(gomega.BeTrue())
		gomega.Expect(string(rest.body)).To(gomega.Equal("id: 10\n" + after))
	})
})
