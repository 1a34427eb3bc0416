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

// Shape of the soak. CI plays the seeds that are listed, among them each that
// ever failed; HYSSOPLADDER_SOAK=N plays N more.
const (
	soakSpan    = 6 * time.Second
	soakCallers = 6
	// soakPatience is how long after the last fault all must be served again.
	soakPatience = 15 * time.Second
)

var soakSeeds = []uint64{1}

// soak plays random faults against a deployment while callers ask and an
// operator changes the configuration, and keeps what everyone has seen.
type soak struct {
	*deployment
	random   *rand.Rand
	replicas []*replica
	// guard protects the processes, which faults replace.
	guard sync.Mutex

	mu       sync.Mutex
	answers  []answered
	sent     int
	accepted int
}

type answered struct {
	id, path, body string
	status         int
	whole          bool
}

// call sends one request on a connection of its own and notes what came back.
func (s *soak) call(n int, random *rand.Rand) {
	kind := []string{"ask", "book", "look"}[random.IntN(3)]
	a := answered{id: fmt.Sprintf("soak-%d", n), path: fmt.Sprintf("/%s/%d", kind, n)}
	r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s%s", s.callers[random.IntN(len(s.callers))], a.path), strings.NewReader(a.id))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	r.Host, r.Close = "mill.example", true
	r.Header.Set("X-Request-Id", a.id)
	r.Header.Set("X-Deadline-Ms", "3000")
	r.Header.Set("Authorization", "Token key-m")
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	if response, err := client.Do(r); err == nil {
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.status, a.body, a.whole = response.StatusCode, string(body), err == nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers = append(s.answers, a)
}

// fault does something bad for a while and takes it back.
func (s *soak) fault() string {
	nodes := []*[]*process{&s.keepers, &s.entries}[s.random.IntN(2)]
	i := s.random.IntN(len(*nodes))
	p := (*nodes)[i]
	pause := func() { time.Sleep(time.Duration(100+s.random.IntN(900)) * time.Millisecond) }
	switch s.random.IntN(5) {
	case 0, 1:
		p.Kill().Wait(stopLimit)
		pause()
		s.guard.Lock()
		defer s.guard.Unlock()
		(*nodes)[i] = p.again()
		return "kill " + p.options.name
	case 2:
		p.signal(syscall.SIGSTOP)
		pause()
		p.signal(syscall.SIGCONT)
		return "freeze " + p.options.name
	case 3:
		r := s.replicas[s.random.IntN(len(s.replicas))]
		r.cutAfter.Store(int64(1 + s.random.IntN(events)))
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

// change puts the next configuration at a keeper.
func (s *soak) change(random *rand.Rand) {
	s.mu.Lock()
	s.sent++
	version := 10 + s.sent
	s.mu.Unlock()
	s.guard.Lock()
	keeper := s.keepers[random.IntN(len(s.keepers))].Peers
	s.guard.Unlock()
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post(fmt.Sprintf("http://%s/v1/config/put", keeper), "application/json", strings.NewReader(platformConfig(version, 1000, "key-m")))
	if err != nil {
		return
	}
	_ = response.Body.Close()
	if response.StatusCode == http.StatusOK {
		s.mu.Lock()
		s.accepted = max(s.accepted, version)
		s.mu.Unlock()
	}
}

// check compares the answers with what the replicas have run.
func (s *soak) check() {
	ginkgo.GinkgoHelper()
	ran := map[string]int{}
	for _, r := range s.replicas {
		for _, h := range r.requests() {
			if h.Header.Get("X-Expect-Replica") == r.id {
				ran[h.Header.Get("X-Request-Id")]++
				gomega.Expect(h.Header).NotTo(gomega.HaveKey("Authorization"))
				gomega.Expect(h.Header.Get("X-Tenant")).To(gomega.BeElementOf("mill", ""))
			}
		}
	}
	served := 0
	for _, a := range s.answers {
		what := fmt.Sprintf("%+v ran %d times", a, ran[a.id])
		switch {
		case strings.HasPrefix(a.path, "/book/"):
			gomega.Expect(ran[a.id]).To(gomega.BeNumerically("<=", 1), what)
		default:
			gomega.Expect(ran[a.id]).To(gomega.BeNumerically("<=", 2), what)
		}
		switch a.status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout:
			if strings.HasPrefix(a.path, "/book/") {
				gomega.Expect(ran[a.id]).To(gomega.BeZero(), what)
			}
		case http.StatusOK:
			switch {
			case strings.HasPrefix(a.path, "/ask/") && a.whole:
				gomega.Expect(a.body).To(gomega.Equal(wholeStream()), what)
			case strings.HasPrefix(a.path, "/ask/"):
				gomega.Expect(strings.HasPrefix(wholeStream(), a.body)).To(gomega.BeTrue(), what)
			case a.whole:
				gomega.Expect(a.body).To(gomega.HavePrefix("POST "+a.path+" "+a.id+" by "), what)
			}
			if a.whole {
				served++
			}
		case http.StatusUnauthorized, http.StatusNotFound:
			ginkgo.Fail("refused what every configuration allows: " + what)
		}
	}
	gomega.Expect(served).To(gomega.BeNumerically(">", len(s.answers)/4), "of %d", len(s.answers))
}

func (s *soak) play() {
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
					s.call(n*soakCallers+i, random)
				}
			}
		})
	}
	operator := rand.New(rand.NewPCG(99, s.random.Uint64()))
	wait.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(200 * time.Millisecond):
				s.change(operator)
			}
		}
	})
	for began := time.Now(); time.Since(began) < soakSpan; {
		ginkgo.By(s.fault())
	}
	close(stop)
	wait.Wait()
	s.check()
	for i := range s.callers {
		gomega.Eventually(func() int {
			status, _ := s.ask(i, "POST", "/book/after", "key-m", "x")
			return status
		}, soakPatience).Should(gomega.Equal(http.StatusOK))
	}
	s.mu.Lock()
	accepted, sent := s.accepted, 10+s.sent
	s.mu.Unlock()
	gomega.Expect(accepted).NotTo(gomega.BeZero())
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
			for version := accepted; version <= sent; version++ {
				if string(body) == platformConfig(version, 1000, "key-m") {
					return version, nil
				}
			}
			return 0, fmt.Errorf("none of the versions from %d to %d: %.40s", accepted, sent, body)
		}, soakPatience).Should(gomega.BeNumerically(">=", accepted))
	}
}

var _ = ginkgo.Describe("Random faults", func() {
	more, _ := strconv.Atoi(os.Getenv("HYSSOPLADDER_SOAK"))
	seeds := slices.Clone(soakSeeds)
	for i := range more {
		seeds = append(seeds, uint64(1000+i))
	}
	for _, seed := range seeds {
		ginkgo.It(fmt.Sprintf("break no promise with seed %d", seed), func() {
			s := &soak{deployment: startDeployment(), random: rand.New(rand.NewPCG(seed, 0))}
			gomega.Eventually(func() int { return s.put(1, platformConfig(3, 1000, "key-m")) }, startLimit).Should(gomega.Equal(http.StatusOK))
			told := slices.Clone(s.keepers)
			for i := range 3 {
				zone := string(rune('a' + i%2))
				s.replicas = append(s.replicas, startReplica(fmt.Sprint("i-s", i), "speech", zone, told), startReplica(fmt.Sprint("i-b", i), "booking", zone, told))
			}
			for i := range s.entries {
				gomega.Eventually(func() int {
					status, _ := s.ask(i, "POST", "/book/before", "key-m", "x")
					return status
				}, startLimit).Should(gomega.Equal(http.StatusOK))
			}
			s.play()
		})
	}
})
