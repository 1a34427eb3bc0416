package e2e

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
)

// pathFault is what befalls the connections of an entry that is cut off from upstreams.
type pathFault int

const (
	noPathFault pathFault = iota
	// hangingPath keeps all bytes back, resetPath resets all connections, and refusedPath
	// resets new ones while the open ones live on.
	hangingPath
	resetPath
	refusedPath
)

// paths are the paths of entries to faulty replicas.
type paths struct {
	// entries maps the IDs of requests to the index of the entry that they were sent to.
	entries sync.Map

	mu sync.Mutex
	// faults are by the entry's index; healed is closed when the fault ends.
	faults map[int]pathFault
	healed map[int]chan struct{}
	conns  map[*faultyConn]bool
}

func newPaths() *paths {
	return &paths{faults: map[int]pathFault{}, healed: map[int]chan struct{}{}, conns: map[*faultyConn]bool{}}
}

// cut begins a fault of the paths of an entry, which lasts until the returned function is
// called.
func (p *paths) cut(entry int, fault pathFault) (heal func()) {
	p.mu.Lock()
	healed := make(chan struct{})
	p.faults[entry], p.healed[entry] = fault, healed
	var reset []*faultyConn
	for c := range p.conns {
		if c.entry == entry && fault == resetPath {
			reset = append(reset, c)
		}
	}
	p.mu.Unlock()
	for _, c := range reset {
		c.reset()
	}
	return func() {
		p.mu.Lock()
		delete(p.faults, entry)
		close(healed)
		p.mu.Unlock()
	}
}

// fault returns the fault of an entry's paths, and what is closed when it ends.
func (p *paths) fault(entry int) (pathFault, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults[entry], p.healed[entry]
}

// faultyReplica is a replica that falls silent, and whose connections may fail.
type faultyReplica struct {
	*replica
	paths *paths
	// silentUntil is the end of a silence of all its answers, in nanoseconds since 1970;
	// while intermittent is set, single answers fall silent.
	silentUntil  atomic.Int64
	intermittent atomic.Bool

	randomMu sync.Mutex
	random   *rand.Rand

	// refuse is the status with which the next request is refused, if it isn't 0; nextCopy, if it
	// isn't nil, decides on the copy of a refusal.
	refuse   atomic.Int64
	nextCopy func() (at copyMoment, again bool)
	// refusals, if it isn't nil, decides which requests are refused.
	refusals *rand.Rand

	openMu sync.Mutex
	// open are the requests under way, by the address of their connection; broke are those that
	// the replica itself has broken off.
	open  map[string]string
	broke map[string]bool
}

// copyMoment is when the copy of a refusal is sent, on a connection that carries another request.
type copyMoment int

const (
	noCopy copyMoment = iota
	// copyWhenRead is before the request runs, copyAmidRun some time before its answer, and
	// copyBeforeAnswer in the same bytes as the answer.
	copyWhenRead
	copyAmidRun
	copyBeforeAnswer
)

// refusalCopy is the copy of a refusal that is still to be sent.
type refusalCopy struct {
	at copyMoment
	// again says that it waits for the request that was refused, by its ID.
	again bool
	id    string
	text  []byte
}

// copyPause is the time between a copy amid a run and the answer.
const copyPause = 20 * time.Millisecond

// faultyListener accepts the connections of a faulty replica.
type faultyListener struct {
	net.Listener
	replica *faultyReplica
}

// Accept implements net.Listener.
func (l faultyListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &faultyConn{Conn: c, replica: l.replica, entry: -1, closed: make(chan struct{})}, nil
}

// faultyConn is a connection of an entry to a faulty replica.
type faultyConn struct {
	net.Conn
	replica   *faultyReplica
	closeOnce sync.Once
	// entry is the index of the entry that has opened the connection, -1 while it isn't known.
	entry  int
	closed chan struct{}
	// kept is the copy of the last refusal, and due the one that goes before the next answer.
	kept, due refusalCopy
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// begin sends the copy of an earlier refusal, or lets the next answer send it.
func (c *faultyConn) begin(id string) {
	if c.kept.at == noCopy || c.kept.again && c.kept.id != id {
		return
	}
	c.due, c.kept = c.kept, refusalCopy{}
	if c.due.at == copyWhenRead {
		_, _ = c.Conn.Write(c.due.text)
		c.due = refusalCopy{}
	}
}

// keepRefusal keeps the copy of an answer that is a refusal.
func (c *faultyConn) keepRefusal(b []byte) {
	if c.replica.nextCopy == nil || !bytes.HasPrefix(b, []byte("HTTP/1.1 421")) && !bytes.Contains(b, []byte("\r\nX-Not-Run: ")) {
		return
	}
	if match := requestIDPattern.FindSubmatch(b); match != nil {
		c.kept = refusalCopy{id: string(match[1]), text: bytes.Clone(b)}
		c.kept.at, c.kept.again = c.replica.nextCopy()
	}
}

// requestIDPattern finds the ID in the head of a request.
var requestIDPattern = regexp.MustCompile(`\r\nX-Request-Id: (\S+)\r\n`)

// identify finds the entry in what the connection's first request says. It resets a new
// connection of one that can open none, and reports whether it hasn't.
func (c *faultyConn) identify(b []byte) bool {
	match := requestIDPattern.FindSubmatch(b)
	if c.entry >= 0 || match == nil {
		return true
	}
	entry, known := c.replica.paths.entries.Load(string(match[1]))
	if !known {
		return true
	}
	p := c.replica.paths
	p.mu.Lock()
	c.entry = entry.(int)
	p.conns[c] = true
	fault := p.faults[c.entry]
	p.mu.Unlock()
	if fault == resetPath || fault == refusedPath {
		c.reset()
		return false
	}
	return true
}

func (c *faultyConn) reset() {
	c.replica.breakOff(c.RemoteAddr().String())
	_ = c.Conn.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// wait waits until the connection's path and its replica work.
func (c *faultyConn) wait() {
	if fault, healed := c.replica.paths.fault(c.entry); fault == hangingPath {
		select {
		case <-healed:
		case <-c.closed:
		}
	}
	c.waitFor(time.Until(time.Unix(0, c.replica.silentUntil.Load())))
}

func (c *faultyConn) waitFor(d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-c.closed:
	}
}

// Read implements net.Conn.
func (c *faultyConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.identify(b[:n]) {
		return 0, net.ErrClosed
	}
	c.wait()
	return n, err
}

// Write implements net.Conn. A silence begins before any of the bytes.
func (c *faultyConn) Write(b []byte) (int, error) {
	due := c.due
	c.due = refusalCopy{}
	c.keepRefusal(b)
	switch due.at {
	case copyAmidRun:
		_, _ = c.Conn.Write(due.text)
		c.waitFor(copyPause)
	case copyBeforeAnswer:
		n, err := c.Conn.Write(slices.Concat(due.text, b))
		return max(n-len(due.text), 0), err
	}
	at, silence := c.replica.nextSilence(len(b))
	n, err := c.Conn.Write(b[:at])
	if err != nil {
		return n, err
	}
	c.waitFor(silence)
	c.wait()
	rest, err := c.Conn.Write(b[at:])
	return n + rest, err
}

// Close implements net.Conn.
func (c *faultyConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.replica.paths.mu.Lock()
	delete(c.replica.paths.conns, c)
	c.replica.paths.mu.Unlock()
	return c.Conn.Close()
}

// Of silenceShare writes of an intermittent replica, one is interrupted by a silence.
const silenceShare = 20

// nextSilence returns before which of the next bytes a replica falls silent, and for how
// long.
func (r *faultyReplica) nextSilence(length int) (at int, silence time.Duration) {
	r.randomMu.Lock()
	defer r.randomMu.Unlock()
	at = r.random.IntN(length + 1)
	if r.intermittent.Load() && r.random.IntN(silenceShare) == 0 {
		silence = randomSilence(r.random)
	}
	return at, silence
}

// Of failureShare requests that an intermittent replica has run, one fails, with one of the
// statuses that would promise a caller that it hasn't run, or with another one.
const failureShare = 10

var failureStatuses = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusInternalServerError}

// nextFailure returns the status of the next answer; 0 for a success.
func (r *faultyReplica) nextFailure() int {
	r.randomMu.Lock()
	defer r.randomMu.Unlock()
	if !r.intermittent.Load() || r.random.IntN(failureShare) > 0 {
		return 0
	}
	return failureStatuses[r.random.IntN(len(failureStatuses))]
}

// Of refusalShare requests one is refused, and of copyShare refusals one is copied.
const (
	refusalShare = 8
	copyShare    = 2
)

var refusalStatuses = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest}

// nextRefusal returns the status with which the next request is refused; 0 if it isn't.
func (r *faultyReplica) nextRefusal() int {
	r.randomMu.Lock()
	defer r.randomMu.Unlock()
	if r.refusals != nil && r.refusals.IntN(refusalShare) == 0 {
		return refusalStatuses[r.refusals.IntN(len(refusalStatuses))]
	}
	return int(r.refuse.Swap(0))
}

// refuseAtRandom lets the replica refuse requests, and copy refusals.
func (r *faultyReplica) refuseAtRandom(random *rand.Rand) {
	r.refusals = random
	r.nextCopy = func() (copyMoment, bool) {
		r.randomMu.Lock()
		defer r.randomMu.Unlock()
		if random.IntN(copyShare) > 0 {
			return noCopy, false
		}
		return copyMoment(1 + random.IntN(3)), random.IntN(2) == 0
	}
}

func randomSilence(random *rand.Rand) time.Duration {
	return time.Duration(300+random.IntN(1200)) * time.Millisecond
}

// newFaulty returns a replica on paths that may fail.
func newFaulty(release, id, service, zone string, p *paths, random *rand.Rand) *faultyReplica {
	r := &faultyReplica{replica: newReplica(release, id, service, zone), paths: p, random: random, open: map[string]string{}, broke: map[string]bool{}}
	r.pace = time.Duration(20+random.IntN(80)) * time.Millisecond
	r.failure = r.nextFailure
	return r
}

func (r *faultyReplica) start(keepers []*process) {
	r.server = httptest.NewUnstartedServer(http.HandlerFunc(r.serve))
	r.server.Listener = faultyListener{Listener: r.server.Listener, replica: r}
	r.server.Config.ConnState = r.stateChanged
	r.server.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	r.server.Start()
	ginkgo.DeferCleanup(func() { r.server.CloseClientConnections(); _ = r.server.Listener.Close() })
	r.stopAnnouncing = announce(r.id, r.release, r.service, r.zone, r.server.Listener.Addr(), keepers, &r.leaving)
}

func (r *faultyReplica) serve(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Request-Id")
	r.openMu.Lock()
	r.open[request.RemoteAddr] = id
	r.openMu.Unlock()
	defer func() {
		if cause := recover(); cause != nil {
			r.breakOff(request.RemoteAddr)
			panic(cause)
		}
	}()
	request.Context().Value(connKey{}).(*faultyConn).begin(id)
	if request.Header.Get("X-Expect-Replica") == r.name() {
		if status := r.nextRefusal(); status != 0 {
			w.Header().Set("X-Request-Id", id)
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(status)
			return
		}
	}
	r.replica.serve(w, request)
}

// stateChanged is the server's hook: an answer has been written when its connection is idle
// or closed.
func (r *faultyReplica) stateChanged(c net.Conn, state http.ConnState) {
	if state != http.StateIdle && state != http.StateClosed {
		return
	}
	remote := c.RemoteAddr().String()
	if r.crashed.Load() {
		r.breakOff(remote)
	}
	r.openMu.Lock()
	defer r.openMu.Unlock()
	delete(r.open, remote)
}

// breakOff notes that the request of a connection, if there is one, is broken off.
func (r *faultyReplica) breakOff(remote string) {
	r.openMu.Lock()
	defer r.openMu.Unlock()
	if id, ok := r.open[remote]; ok {
		r.broke[id] = true
	}
}

func (r *faultyReplica) underWay() int {
	r.openMu.Lock()
	defer r.openMu.Unlock()
	return len(r.open)
}

func (r *faultyReplica) brokeOff(id string) bool {
	r.openMu.Lock()
	defer r.openMu.Unlock()
	return r.broke[id]
}

// deregister tells a keeper that the replica ends.
func (r *faultyReplica) deregister(keeper *process) {
	r.stopAnnouncing()
	response, err := http.Post(fmt.Sprintf("http://%s/v1/replicas/%s/deregister", keeper.Peers, r.id), "application/json", strings.NewReader("{}"))
	if err == nil {
		_ = response.Body.Close()
	}
}

// Time limits of the routes of variedConfig, of which each configuration sets that or
// shortTimeout of it.
const (
	streamTimeout = 6 * time.Second
	plainTimeout  = 3 * time.Second
	shortTimeout  = 0.8
)

// variedConfig returns a configuration with routes, weights, time limits, quotas and keys
// that differ from version to version.
func variedConfig(version int, random *rand.Rand) string {
	timeout := func(longest time.Duration) int {
		return int(float64(longest.Milliseconds()) * []float64{1, shortTimeout}[random.IntN(2)])
	}
	var routes []string
	add := func(name, kind string, timeoutMs, attempts int, first, second string, more string) {
		weight := []int{0, 10, 50}[random.IntN(3)]
		routes = append(routes, fmt.Sprintf(`{"name":%q,"host":"mill.example","pathPrefix":"/%s/","kind":%q,"timeoutMs":%d,"sloMs":300,"gapSloMs":500,"priority":%d,`+
			`"backends":[{"service":%q,"weight":%d},{"service":%q,"weight":%d}],"attempts":%d%s}`,
			name, name, kind, timeoutMs, random.IntN(2), first, 100-weight, second, weight, attempts, more))
	}
	add("ask", "streaming", timeout(streamTimeout), 2+random.IntN(2), "speech", "voice", `,"resumable":true`)
	add("talk", "streaming", timeout(streamTimeout), 1+2*(version%2), "speech", "voice", "")
	add("book", "non_idempotent", timeout(plainTimeout), 3, "booking", "ledger", "")
	add("look", "idempotent", timeout(plainTimeout), 2, "booking", "ledger", `,"public":true`)
	if random.IntN(2) == 0 {
		add("extra", "idempotent", timeout(plainTimeout), 2, "ledger", "booking", "")
	}
	if random.IntN(4) == 0 {
		for n := range 300 {
			add("filler-"+strconv.Itoa(n), "idempotent", timeout(plainTimeout), 2, "ledger", "booking", "")
		}
	}
	millKeys := `"key-m"`
	if random.IntN(2) == 0 {
		millKeys += `,"key-x"`
	}
	rate := []int{0, 60, 1000}[random.IntN(3)]
	var services []string
	for _, s := range []string{"speech", "voice", "booking", "ledger"} {
		services = append(services, fmt.Sprintf(`{"name":%q,"healthPath":"/healthz","maxConns":90}`, s))
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"mill","apiKeys":[%s],"ratePerS":%d,"burst":%d},{"name":"orchard","apiKeys":["key-o"],"ratePerS":1000,"burst":1000}]}`,
		version, strings.Join(routes, ","), strings.Join(services, ","), millKeys, rate, rate)
}
