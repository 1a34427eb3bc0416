package e2e

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// CI runs the soak with soakSeeds, to which each seed that failed is added;
// HYSSOPLADDER_SOAK=N runs N more seeds.
const (
	soakDuration = 6 * time.Second
	soakCallers  = 6
	// recoveryLimit is the time after the last fault within which all requests
	// have to be served again.
	recoveryLimit = 15 * time.Second
)

var soakSeeds = []uint64{1}

// soak injects random faults into a deployment while callers send requests and an
// operator changes the configuration, and records the results of both.
type soak struct {
	*platformDeployment
	random   *rand.Rand
	replicas []*replica
	// processesMu guards the lists of processes, whose elements faults replace.
	processesMu sync.Mutex

	mu              sync.Mutex
	results         []callResult
	configsSent     int
	acceptedVersion int
}

type callResult struct {
	id, path, body string
	status         int
	complete       bool
}

// sendRandomRequest sends the n-th request on a new connection and records the
// response.
func (s *soak) sendRandomRequest(n int, random *rand.Rand) {
	kind := []string{"ask", "book", "look"}[random.IntN(3)]
	result := callResult{id: fmt.Sprintf("soak-%d", n), path: fmt.Sprintf("/%s/%d", kind, n)}
	r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s%s", s.callers[random.IntN(len(s.callers))], result.path), strings.NewReader(result.id))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	r.Host, r.Close = "mill.example", true
	r.Header.Set("X-Request-Id", result.id)
	r.Header.Set("X-Deadline-Ms", "3000")
	r.Header.Set("Authorization", "Token key-m")
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	if response, err := client.Do(r); err == nil {
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		result.status, result.body, result.complete = response.StatusCode, string(body), err == nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results = append(s.results, result)
}

// injectFault causes a random fault for up to a second, ends it and returns its
// description.
func (s *soak) injectFault() string {
	processes := []*[]*process{&s.keepers, &s.entries}[s.random.IntN(2)]
	i := s.random.IntN(len(*processes))
	p := (*processes)[i]
	pause := func() { time.Sleep(time.Duration(100+s.random.IntN(900)) * time.Millisecond) }
	switch s.random.IntN(5) {
	case 0, 1:
		p.Kill().Wait(stopLimit)
		pause()
		s.processesMu.Lock()
		defer s.processesMu.Unlock()
		p.options.program = s.program(s.random)
		(*processes)[i] = p.restart()
		return "kill " + p.options.name
	case 2:
		p.signal(syscall.SIGSTOP)
		pause()
		p.signal(syscall.SIGCONT)
		return "freeze " + p.options.name
	case 3:
		r := s.replicas[s.random.IntN(len(s.replicas))]
		r.cutAfter.Store(int64(1 + s.random.IntN(eventsPerStream)))
		pause()
		r.cutAfter.Store(0)
		return "streams cut at " + r.id
	default:
		r := s.replicas[s.random.IntN(len(s.replicas))]
		r.status.Store(http.StatusInternalServerError)
		pause()
		r.status.Store(0)
		return "failures at " + r.id
	}
}

// putNextConfig sends the next configuration to a random keeper.
func (s *soak) putNextConfig(random *rand.Rand) {
	s.mu.Lock()
	s.configsSent++
	version := 10 + s.configsSent
	s.mu.Unlock()
	s.processesMu.Lock()
	keeper := s.keepers[random.IntN(len(s.keepers))].Peers
	s.processesMu.Unlock()
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post(fmt.Sprintf("http://%s/v1/config/put", keeper), "application/json", strings.NewReader(platformConfig(version, 1000, "key-m")))
	if err != nil {
		return
	}
	_ = response.Body.Close()
	if response.StatusCode == http.StatusOK {
		s.mu.Lock()
		s.acceptedVersion = max(s.acceptedVersion, version)
		s.mu.Unlock()
	}
}

// checkResults compares the responses with the requests that the replicas have
// received.
func (s *soak) checkResults() {
	ginkgo.GinkgoHelper()
	runs := map[string]int{}
	for _, r := range s.replicas {
		for _, request := range r.requests() {
			if request.Header.Get("X-Expect-Replica") == r.id {
				runs[request.Header.Get("X-Request-Id")]++
				gomega.Expect(request.Header).NotTo(gomega.HaveKey("Authorization"))
				gomega.Expect(request.Header.Get("X-Tenant")).To(gomega.BeElementOf("mill", ""))
			}
		}
	}
	served := 0
	for _, result := range s.results {
		description := fmt.Sprintf("%+v ran %d times", result, runs[result.id])
		switch {
		case strings.HasPrefix(result.path, "/book/"):
			gomega.Expect(runs[result.id]).To(gomega.BeNumerically("<=", 1), description)
		default:
			gomega.Expect(runs[result.id]).To(gomega.BeNumerically("<=", 2), description)
		}
		switch result.status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout:
			if strings.HasPrefix(result.path, "/book/") {
				gomega.Expect(runs[result.id]).To(gomega.BeZero(), description)
			}
		case http.StatusOK:
			switch {
			case strings.HasPrefix(result.path, "/ask/") && result.complete:
				gomega.Expect(result.body).To(gomega.Equal(wholeStream()), description)
			case strings.HasPrefix(result.path, "/ask/"):
				gomega.Expect(strings.HasPrefix(wholeStream(), result.body)).To(gomega.BeTrue(), description)
			case result.complete:
				gomega.Expect(result.body).To(gomega.HavePrefix("POST "+result.path+" "+result.id+" by "), description)
			}
			if result.complete {
				served++
			}
		case http.StatusUnauthorized, http.StatusNotFound:
			ginkgo.Fail("a request that every configuration allows was refused: " + description)
		}
	}
	gomega.Expect(served).To(gomega.BeNumerically(">", len(s.results)/4), "of %d", len(s.results))
}

func (s *soak) run() {
	ginkgo.GinkgoHelper()
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for i := range soakCallers {
		random := rand.New(rand.NewPCG(uint64(i), s.random.Uint64()))
		wait.Go(func() {
			defer ginkgo.GinkgoRecover()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(random.IntN(30)) * time.Millisecond):
					s.sendRandomRequest(n*soakCallers+i, random)
				}
			}
		})
	}
	operatorRandom := rand.New(rand.NewPCG(99, s.random.Uint64()))
	wait.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(200 * time.Millisecond):
				s.putNextConfig(operatorRandom)
			}
		}
	})
	for began := time.Now(); time.Since(began) < soakDuration; {
		ginkgo.By(s.injectFault())
	}
	close(stop)
	wait.Wait()
	s.checkResults()
	for i := range s.callers {
		gomega.Eventually(func() int {
			status, _ := s.sendRequest(i, "POST", "/book/after", "key-m", "x")
			return status
		}, recoveryLimit).Should(gomega.Equal(http.StatusOK))
	}
	s.mu.Lock()
	acceptedVersion, lastVersion := s.acceptedVersion, 10+s.configsSent
	s.mu.Unlock()
	gomega.Expect(acceptedVersion).NotTo(gomega.BeZero())
	for _, k := range s.keepers {
		gomega.Eventually(func() (int, error) {
			response, err := http.Get(fmt.Sprintf("http://%s/v1/config/get", k.Peers))
			if err != nil {
				return 0, err
			}
			body, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if err != nil || response.StatusCode != http.StatusOK {
				return 0, fmt.Errorf("status %d, %v", response.StatusCode, err)
			}
			for version := acceptedVersion; version <= lastVersion; version++ {
				if string(body) == platformConfig(version, 1000, "key-m") {
					return version, nil
				}
			}
			return 0, fmt.Errorf("none of the versions from %d to %d: %.40s", acceptedVersion, lastVersion, body)
		}, recoveryLimit).Should(gomega.BeNumerically(">=", acceptedVersion))
	}
}

// withExtraSeeds adds as many seeds as HYSSOPLADDER_SOAK says, from first on.
func withExtraSeeds(seeds []uint64, first uint64) []uint64 {
	extra, _ := strconv.Atoi(os.Getenv("HYSSOPLADDER_SOAK"))
	all := slices.Clone(seeds)
	for i := range uint64(extra) {
		all = append(all, first+i)
	}
	return all
}

var _ = ginkgo.Describe("Random faults", func() {
	for _, seed := range withExtraSeeds(soakSeeds, 1000) {
		ginkgo.It(fmt.Sprintf("break no guarantee with seed %d", seed), func() {
			s := &soak{platformDeployment: &platformDeployment{}, random: rand.New(rand.NewPCG(seed, 0))}
			s.mixVersions(s.random)
			s.start()
			gomega.Eventually(func() int { return s.putConfig(1, platformConfig(3, 1000, "key-m")) }, startLimit).Should(gomega.Equal(http.StatusOK))
			heartbeatKeepers := slices.Clone(s.keepers)
			for i := range 3 {
				zone := string(rune('a' + i%2))
				s.replicas = append(s.replicas, startReplica(fmt.Sprint("i-s", i), "speech", zone, heartbeatKeepers), startReplica(fmt.Sprint("i-b", i), "booking", zone, heartbeatKeepers))
			}
			for i := range s.entries {
				gomega.Eventually(func() int {
					status, _ := s.sendRequest(i, "POST", "/book/before", "key-m", "x")
					return status
				}, startLimit).Should(gomega.Equal(http.StatusOK))
			}
			s.run()
		})
	}
})
