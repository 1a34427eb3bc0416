package e2e

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/pkg/errors"
)

const (
	disruptionDuration = 12 * time.Second
	disruptionCallers  = 14
	// answerMargin is how much later than the end of its time a request may be answered.
	answerMargin = 500 * time.Millisecond
	// leaveTime is how long a replica still serves after it has said that it leaves.
	leaveTime = 2 * time.Second
)

// stallInterval is the shortest time for which a stand-still of the test itself is logged.
const stallInterval = 50 * time.Millisecond

// disruptionSeeds has, with 2003, one of seven seeds in which status 503 of an upstream that had run
// the request reached its caller, and with 2014 one of eleven in which the copy of a refusal was
// taken for the answer to a request that ran: after status 421 at an address under a new ID, or after
// the caller had sent it again.
var disruptionSeeds = []uint64{1, 2003, 2014}

// period is when something happened to a process.
type period struct{ began, ended time.Time }

// overlapsAny reports whether one of the periods overlaps the time.
func overlapsAny(periods []period, began, ended time.Time) bool {
	return slices.ContainsFunc(periods, func(p period) bool { return !ended.Before(p.began) && !began.After(p.ended) })
}

// disruptionSoak disturbs a deployment's replicas, processes, paths and configuration at the
// same time, while callers keep their connections.
type disruptionSoak struct {
	*platformDeployment
	seed  uint64
	paths *paths

	mu sync.Mutex
	// nodes are all processes of entries and keepers, also those that have ended.
	nodes []*process
	// replicas are all that have run, faulty those that run now and have faults, by group.
	replicas []*faultyReplica
	faulty   [][]*faultyReplica
	// steady are those that have no faults but refusals, and start again at their addresses.
	steady  []*faultyReplica
	results []requestResult
	// stops and kills are those of each entry.
	stops, kills [][]period
	configs      int
	faults       []string
	// departures are the replicas that leave.
	departures sync.WaitGroup
}

// requestResult is what a caller has seen of a request.
type requestResult struct {
	id, kind, path, key string
	entry               int
	// limit is the longest and shortest the shortest time that the request may take.
	limit, shortest time.Duration
	// whole is when all of the request was sent; an entry counts from its head.
	began, whole, ended time.Time
	status              int
	complete            bool
	body, err           string
	// ranBefore is how often the request had run when its caller could send it again.
	ranBefore int
}

func (s *disruptionSoak) log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	ginkgo.GinkgoWriter.Println(s.faults[len(s.faults)-1])
}

// persistentCaller sends requests on a connection that it keeps as long as it can.
type persistentCaller struct {
	*disruptionSoak
	number int
	random *rand.Rand
	entry  int
	conn   net.Conn
	reader *bufio.Reader
}

func (c *persistentCaller) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect opens a connection to a random entry unless there is one that the entry hasn't
// closed, and reports whether there is one.
func (c *persistentCaller) connect() bool {
	if c.conn != nil {
		_ = c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
		_, err := c.reader.Peek(1)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return true
		}
		if err == nil {
			ginkgo.Fail("an entry sent bytes that answer no request")
		}
		c.disconnect()
	}
	c.entry = c.random.IntN(len(c.callers))
	conn, err := net.DialTimeout("tcp", c.callers[c.entry].String(), time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

// send sends the n-th request and records what comes of it.
func (c *persistentCaller) send(n int) {
	if !c.connect() {
		return
	}
	id := fmt.Sprintf("t%d-%d", c.number, n)
	kind := []string{"ask", "ask", "ask", "talk", "talk", "book", "book", "look", "extra"}[c.random.IntN(9)]
	result := requestResult{id: id, kind: kind, path: fmt.Sprintf("/%s/%s", kind, id), key: "key-m", entry: c.entry, limit: plainTimeout}
	if kind == "ask" || kind == "talk" {
		result.limit = streamTimeout
	} else if c.random.IntN(6) == 0 {
		result.path = "/" + kind + bigPath + id
	}
	result.shortest = time.Duration(float64(result.limit) * shortTimeout)
	if c.random.IntN(10) == 0 {
		result.key = "key-x"
	}
	r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s%s", c.callers[c.entry], result.path), strings.NewReader(id))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	r.Host = "mill.example"
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("Authorization", "Token "+result.key)
	r.Header.Set("X-Prompt-Prefix", fmt.Sprintf("1:20,%d:30,%x:40", 10+c.random.IntN(5), c.number<<24+n))
	if c.random.IntN(8) == 0 {
		const impatience = 1500 * time.Millisecond
		result.limit, result.shortest = impatience, impatience
		r.Header.Set("X-Deadline-Ms", fmt.Sprint(impatience.Milliseconds()))
	}
	if c.random.IntN(3) == 0 {
		r.ContentLength, r.Body = -1, io.NopCloser(strings.NewReader(id))
	}
	var text bytes.Buffer
	gomega.Expect(r.Write(&text)).To(gomega.Succeed())
	for c.attempt(r, text.Bytes(), result) && c.connect() {
		result.entry = c.entry
	}
}

// attempt sends the request, records what comes of it, and reports whether to send it again
// under its ID.
func (c *persistentCaller) attempt(r *http.Request, text []byte, result requestResult) (again bool) {
	c.paths.entries.Store(result.id, c.entry)
	result.began = time.Now()
	_ = c.conn.SetDeadline(result.began.Add(result.limit + 5*time.Second))
	response, err := c.exchange(r, text, &result)
	result.ended = time.Now()
	if err != nil {
		result.err = err.Error()
	}
	if result.status == http.StatusTooManyRequests || result.status == http.StatusServiceUnavailable {
		time.Sleep(randomSilence(c.random) / 3)
		again = c.random.IntN(2) == 0
	}
	if err != nil || response.Close || c.random.IntN(20) == 0 {
		c.disconnect()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.replicas {
		result.ranBefore += r.ran(result.id)
	}
	c.results = append(c.results, result)
	return again
}

func (c *persistentCaller) exchange(r *http.Request, text []byte, result *requestResult) (*http.Response, error) {
	at := 0
	if c.random.IntN(5) == 0 {
		at = c.random.IntN(len(text))
		if _, err := c.conn.Write(text[:at]); err == nil {
			time.Sleep(time.Duration(c.random.IntN(100)) * time.Millisecond)
		}
	}
	// An entry may refuse a request before it is whole.
	_, _ = c.conn.Write(text[at:])
	result.whole = time.Now()
	response, err := http.ReadResponse(c.reader, r)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(response.Body)
	result.status, result.body, result.complete = response.StatusCode, string(body), err == nil
	return response, err
}

// disruptReplica disturbs a random replica of a group, and starts others in place of those
// that have crashed.
func (s *disruptionSoak) disruptReplica(group int, random *rand.Rand) {
	for i, r := range s.faulty[group] {
		if r.crashed.Load() {
			s.log("%s has crashed", r.id)
			s.replace(group, i, random)
		}
	}
	i := random.IntN(len(s.faulty[group]))
	r := s.faulty[group][i]
	pause := func() { time.Sleep(randomSilence(random)) }
	during := func(name string, begin, end func()) {
		s.log("%s of %s", name, r.id)
		begin()
		pause()
		end()
		s.log("end of %s of %s", name, r.id)
	}
	switch random.IntN(12) {
	case 0, 1, 2:
		silence := randomSilence(random)
		s.log("%s falls silent for %v", r.id, silence)
		r.silentUntil.Store(time.Now().Add(silence).UnixNano())
		if random.IntN(2) == 0 {
			pause()
		}
	case 3, 4:
		during("silences", func() { r.intermittent.Store(true) }, func() { r.intermittent.Store(false) })
	case 5, 6:
		s.log("%s leaves", r.id)
		r.saysLeaving.Store(true)
		r.leaving.Store(random.IntN(2) == 0)
		s.replace(group, i, random)
		s.departures.Go(func() {
			defer ginkgo.GinkgoRecover()
			time.Sleep(leaveTime)
			gomega.Eventually(r.underWay, stopLimit, 10*time.Millisecond).Should(gomega.BeZero())
			r.deregister(s.keeper(0))
			_ = r.server.Listener.Close()
			// What has come since is broken off.
			r.crashed.Store(true)
			r.server.CloseClientConnections()
			s.log("%s is gone", r.id)
		})
		pause()
	case 7:
		during("rest", func() { r.closedUntil.Store(time.Now().Add(randomSilence(random)).UnixNano()) }, func() {})
	case 8:
		during("limit", func() { r.limit.Store(int64(2 + random.IntN(20))) }, func() { r.limit.Store(0) })
	case 9:
		r.unframed.Store(!r.unframed.Load())
		s.log("answers of %s are unframed: %t", r.id, r.unframed.Load())
	case 10:
		if random.IntN(2) == 0 {
			during("breaks", func() { r.cutAfter.Store(int64(1 + random.IntN(eventsPerStream))) }, func() { r.cutAfter.Store(0) })
		} else {
			during("failures and brittleness", func() { r.status.Store(http.StatusInternalServerError); r.brittle.Store(2) }, func() { r.status.Store(0); r.brittle.Store(0) })
		}
	default:
		s.log("request that crashes replicas")
		s.sendRequest(random.IntN(len(s.callers)), http.MethodPost, "/ask/any", "key-m", "x", "X-Prompt-Prefix", fmt.Sprintf("1:20,bad:30,%x:40", random.Uint32()))
		pause()
	}
}

// startAgain lets a steady replica start again at its address under another ID, which it
// announces a little later.
func (s *disruptionSoak) startAgain(random *rand.Rand) {
	time.Sleep(randomSilence(random) / 3)
	r := s.steady[random.IntN(len(s.steady))]
	id := r.name() + "n"
	s.log("%s starts again as %s", r.name(), id)
	r.renamed.Store(&id)
	time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
	s.mu.Lock()
	keepers := slices.Clone(s.keepers)
	s.mu.Unlock()
	r.announceAgain(keepers)
}

func (s *disruptionSoak) keeper(i int) *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keepers[i]
}

// replace starts another replica in place of one of a group.
func (s *disruptionSoak) replace(group, i int, random *rand.Rand) {
	r := s.faulty[group][i]
	s.faulty[group][i] = s.start(r.release, r.id+"n", r.service, r.zone, random)
}

// start starts a replica that prompts with a bad part crash.
func (s *disruptionSoak) start(release, id, service, zone string, random *rand.Rand) *faultyReplica {
	s.mu.Lock()
	keepers := slices.Clone(s.keepers)
	s.mu.Unlock()
	seed := random.Uint64()
	r := newFaulty(release, id, service, zone, s.paths, rand.New(rand.NewPCG(seed, s.seed)))
	if !strings.HasSuffix(id, "steady") {
		r.crashPart = "bad"
	}
	r.refuseAtRandom(rand.New(rand.NewPCG(seed, s.seed+1)))
	r.start(keepers)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replicas = append(s.replicas, r)
	return r
}

// disruptProcess stops, kills or signals a random process, and waits until it serves again.
func (s *disruptionSoak) disruptProcess(random *rand.Rand) {
	list, isEntry := &s.keepers, random.IntN(2) == 0
	if isEntry {
		list = &s.entries
	}
	i := random.IntN(len(*list))
	p := (*list)[i]
	began := time.Now()
	record := func(of [][]period) {
		if isEntry {
			s.mu.Lock()
			of[i] = append(of[i], period{began, time.Now()})
			s.mu.Unlock()
		}
	}
	switch choice := random.IntN(7); {
	case choice == 0 && !isEntry:
		s.log("freeze of %s", p.options.name)
		p.signal(syscall.SIGSTOP)
		time.Sleep(randomSilence(random))
		p.signal(syscall.SIGCONT)
		return
	case choice <= 1:
		s.log("SIGHUP to %s", p.options.name)
		p.signal(syscall.SIGHUP)
		time.Sleep(randomSilence(random))
		return
	case choice == 2:
		s.log("kill of %s", p.options.name)
		p.Kill().Wait(stopLimit)
		record(s.kills)
		time.Sleep(randomSilence(random))
	default:
		s.log("stop of %s", p.options.name)
		p.signal(syscall.SIGTERM)
		gomega.Eventually(p.Exited, 2*stopLimit).Should(gomega.BeClosed())
		gomega.Expect(p.ExitCode()).To(gomega.Equal(0), "%s stopped", p.options.name)
		record(s.stops)
	}
	p.options.program = s.program(random)
	next := p.restart()
	s.mu.Lock()
	(*list)[i] = next
	s.nodes = append(s.nodes, next)
	s.mu.Unlock()
	s.log("%s runs again", p.options.name)
	if isEntry {
		gomega.Eventually(func() int { return s.readyStatus(i) }, recoveryLimit).Should(gomega.Equal(http.StatusOK))
	}
}

// disruptPaths cuts an entry off from all replicas for a while.
func (s *disruptionSoak) disruptPaths(entry int, random *rand.Rand) {
	time.Sleep(3 * randomSilence(random))
	fault := pathFault(1 + random.IntN(3))
	s.log("path fault %d of entry-%d", fault, entry)
	heal := s.paths.cut(entry, fault)
	time.Sleep(2 * randomSilence(random))
	heal()
	s.log("paths of entry-%d are well again", entry)
}

// putNextConfig sends the next configuration to a random keeper.
func (s *disruptionSoak) putNextConfig(random *rand.Rand) {
	s.configs++
	keeper := s.keeper(random.IntN(len(s.keepers)))
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	version := 10 + s.configs
	response, err := client.Post(fmt.Sprintf("http://%s/v1/config/put", keeper.Peers), "application/json", strings.NewReader(variedConfig(version, random)))
	if err != nil {
		return
	}
	_ = response.Body.Close()
	s.log("configuration %d: %d", version, response.StatusCode)
}

// maxRuns is how often requests of a kind may run.
var maxRuns = map[string]int{"ask": 3, "talk": 1, "book": 1, "look": 2, "extra": 2}

// judge returns what is wrong with what a caller has seen, "" if nothing is, and how the
// request ended: with a status, or what excuses that it had no whole answer.
func (s *disruptionSoak) judge(result *requestResult, runs int, brokeOff bool) (fault, end string) {
	took := result.ended.Sub(result.whole)
	killed := overlapsAny(s.kills[result.entry], result.began, result.ended)
	stopped := overlapsAny(s.stops[result.entry], result.began, result.ended)
	end = fmt.Sprint(result.status)
	switch result.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if runs > 0 {
			return "refused as not run", end
		}
	}
	if runs > maxRuns[result.kind] {
		return "ran too often", end
	}
	if result.complete {
		switch {
		case took > result.limit+answerMargin:
			fault = "late"
		case result.status == http.StatusOK:
			fault = result.wrongBody(brokeOff)
		case result.status == http.StatusUnauthorized && result.key != "key-x", result.status == http.StatusNotFound && result.kind != "extra",
			result.status < http.StatusBadRequest, result.status == http.StatusBadRequest:
			fault = "refused for no reason"
		}
		return fault, end
	}
	switch {
	case killed:
		return "", "entry killed"
	case brokeOff:
		return "", "upstream broke off"
	case result.ended.Sub(result.began) >= result.shortest && took <= result.limit+answerMargin:
		return "", "time over"
	case result.status == 0 && stopped && runs == 0 && !s.logged(result.id):
		return "", "unread by a stopping entry"
	}
	return "lost", "lost"
}

// wrongBody returns what is wrong with a whole answer.
func (result *requestResult) wrongBody(brokeOff bool) string {
	switch result.kind {
	case "ask", "talk":
		for _, release := range []string{firstRelease, "v2"} {
			whole := wholeStreamOf(release)
			// The end of an unframed stream may be that of its replica.
			if result.body == whole || brokeOff && strings.HasPrefix(whole, result.body) {
				return ""
			}
		}
	default:
		if strings.HasPrefix(result.body, "POST "+result.path+" "+result.id+" by ") && (len(result.body) > bigBytes || brokeOff || !strings.Contains(result.path, bigPath)) {
			return ""
		}
	}
	return "wrong answer"
}

// logged reports whether a node has logged something of the request.
func (s *disruptionSoak) logged(id string) bool {
	return slices.ContainsFunc(s.nodes, func(p *process) bool { return bytes.Contains(p.Out.Contents(), []byte(`request="`+id+`"`)) })
}

// check returns what is wrong with the results.
func (s *disruptionSoak) check() []string {
	runs, broke := map[string]int{}, map[string]bool{}
	for _, r := range s.replicas {
		for id, n := range r.runs {
			runs[id] += n
		}
		for id := range r.broke {
			broke[id] = true
		}
	}
	var faults []string
	served := 0
	ends := map[string]int{}
	// The last attempt under an ID answers for later runs.
	last := map[string]int{}
	for i := range s.results {
		last[s.results[i].id] = i
	}
	for i := range s.results {
		result := &s.results[i]
		ran := runs[result.id]
		if last[result.id] != i {
			ran = result.ranBefore
		}
		fault, end := s.judge(result, ran, broke[result.id])
		ends[end]++
		if result.complete && result.status == http.StatusOK {
			served++
		}
		if fault != "" {
			faults = append(faults, fmt.Sprintf("%s: %s %s at entry-%d from %s to %s (%v): status %d, ran %d times, broke off %t, %.200q %s", fault, result.id, result.path, result.entry,
				result.began.Format("15:04:05.000"), result.ended.Format("15:04:05.000"), result.ended.Sub(result.began), result.status, ran, broke[result.id], result.body, result.err))
		}
	}
	_, _ = fmt.Fprintf(ginkgo.GinkgoWriter, "soak %d: %d requests, by their ends %v, %d faults\n", s.seed, len(s.results), ends, len(faults))
	if served <= len(s.results)/4 {
		faults = append(faults, fmt.Sprintf("only %d of %d were served", served, len(s.results)))
	}
	return faults
}

// keepLogs writes the logs of all nodes to a folder, if the test has failed.
func (s *disruptionSoak) keepLogs() {
	if !ginkgo.CurrentSpecReport().Failed() {
		return
	}
	folder, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", s.seed))
	if err != nil {
		return
	}
	for n, p := range s.nodes {
		_ = os.WriteFile(filepath.Join(folder, fmt.Sprintf("%s.%d.log", p.options.name, n)), p.Out.Contents(), 0o600)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = os.WriteFile(filepath.Join(folder, "faults.txt"), []byte(strings.Join(s.faults, "\n")+"\n"), 0o600)
	_, _ = fmt.Fprintln(ginkgo.GinkgoWriter, "logs are in", folder)
}

func (s *disruptionSoak) run(duration time.Duration) {
	ginkgo.GinkgoHelper()
	var stopping atomic.Bool
	var callers, disruptions sync.WaitGroup
	for i := range disruptionCallers {
		c := &persistentCaller{disruptionSoak: s, number: i, random: rand.New(rand.NewPCG(uint64(i), s.seed))}
		callers.Go(func() {
			defer ginkgo.GinkgoRecover()
			defer c.disconnect()
			for n := 0; !stopping.Load(); n++ {
				c.send(n)
				if c.random.IntN(2) == 0 {
					time.Sleep(time.Duration(c.random.IntN(60)) * time.Millisecond)
				}
			}
		})
	}
	callers.Go(func() {
		for last := time.Now(); !stopping.Load(); last = time.Now() {
			time.Sleep(stallInterval)
			if stall := time.Since(last) - stallInterval; stall > stallInterval {
				s.log("the test itself stood still for %v", stall)
			}
		}
	})
	end := time.Now().Add(duration)
	repeat := func(group uint64, f func(*rand.Rand)) {
		random := rand.New(rand.NewPCG(1000+group, s.seed))
		disruptions.Go(func() {
			defer ginkgo.GinkgoRecover()
			for time.Now().Before(end) {
				f(random)
			}
		})
	}
	for group := range s.faulty {
		repeat(uint64(group), func(random *rand.Rand) { s.disruptReplica(group, random) })
	}
	repeat(10, s.disruptProcess)
	repeat(12, s.startAgain)
	for i := range s.callers {
		repeat(20+uint64(i), func(random *rand.Rand) { s.disruptPaths(i, random) })
	}
	repeat(11, func(random *rand.Rand) {
		time.Sleep(randomSilence(random) / 3)
		s.putNextConfig(random)
	})
	disruptions.Wait()
	stopping.Store(true)
	callers.Wait()
	s.departures.Wait()
	for i := range s.callers {
		gomega.Eventually(func() int {
			status, _ := s.sendRequest(i, "POST", "/book/after", "key-m", "x")
			return status
		}, recoveryLimit).Should(gomega.Equal(http.StatusOK))
	}
	if faults := s.check(); len(faults) > 0 {
		ginkgo.Fail(strings.Join(faults, "\n"))
	}
}

var _ = ginkgo.Describe("Silences, departures and path faults beside changes of the configuration", func() {
	for _, seed := range withExtraSeeds(disruptionSeeds, 2000) {
		ginkgo.It(fmt.Sprintf("lose no request with seed %d", seed), func() {
			random := rand.New(rand.NewPCG(seed, 0))
			s := &disruptionSoak{platformDeployment: &platformDeployment{}, seed: seed, faulty: make([][]*faultyReplica, 2), stops: make([][]period, 2), kills: make([][]period, 2)}
			s.mixVersions(random)
			s.platformDeployment.start()
			s.nodes = append(slices.Clone(s.keepers), s.entries...)
			s.paths = newPaths()
			ginkgo.DeferCleanup(s.keepLogs)
			gomega.Eventually(func() int { return s.putConfig(1, variedConfig(3, random)) }, startLimit).Should(gomega.Equal(http.StatusOK))
			for i, release := range []string{firstRelease, "v2"} {
				zone := string(rune('a' + i))
				for _, service := range []string{"speech", "voice", "booking", "ledger"} {
					group := 0
					if service == "booking" || service == "ledger" {
						group = 1
					}
					s.steady = append(s.steady, s.start(release, fmt.Sprintf("i-%s-%s-steady", service, release), service, zone, random))
					s.faulty[group] = append(s.faulty[group], s.start(release, fmt.Sprintf("i-%s-%s-", service, release), service, zone, random))
				}
			}
			for i := range s.entries {
				for _, path := range []string{"/book/before", "/ask/before"} {
					gomega.Eventually(func() int {
						status, _ := s.sendRequest(i, "POST", path, "key-m", "x")
						return status
					}, startLimit).Should(gomega.Equal(http.StatusOK))
				}
			}
			s.run(disruptionDuration)
		})
	}
})
