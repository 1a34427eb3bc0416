package e2e

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// replica is an upstream of the platform that runs in the test's process.
type replica struct {
	id, service, zone string
	// release is the version of its software, whose name is in its streams unless it
	// is the first one.
	release string
	server  *httptest.Server
	leaving atomic.Bool
	// cutAfter breaks streams off after that many events; 0 means never.
	cutAfter atomic.Int64
	// holdAfter is the event after which streams wait for release of hold; 0 means none.
	holdAfter atomic.Int64
	hold      chan struct{}
	// status, if it isn't 0, is the status of every response; failure, if it isn't nil, returns
	// that of the next one, 0 for a success.
	status  atomic.Int64
	failure func() int
	// crashPart is the part of a prompt that crashes the replica; "" if none does.
	crashPart string
	crashed   atomic.Bool
	// limit, if it isn't 0, is the limit of requests per second that answers name, and
	// brittle the requests that may be turned away in a second.
	limit, brittle atomic.Int64
	// pace is the time between two events; unframed says that answers have neither a
	// length nor chunks.
	pace     time.Duration
	unframed atomic.Bool
	// saysLeaving says that all answers say that the replica leaves. Until closedUntil, in
	// nanoseconds since 1970, it turns requests away and says for how long.
	saysLeaving atomic.Bool
	closedUntil atomic.Int64
	// renamed is the ID under which the replica has started again at its address, nil for id.
	renamed atomic.Pointer[string]
	// stopAnnouncing ends the heartbeats.
	stopAnnouncing context.CancelFunc

	mu       sync.Mutex
	received []*http.Request
	// runs counts how often each request ran, by its ID.
	runs map[string]int
}

// bigPath is in the paths whose plain answers are longer than what an entry reads ahead.
const (
	bigPath  = "/big/"
	bigBytes = 300 << 10
)

// eventsPerStream is the number of events of a complete stream.
const eventsPerStream = 6

// firstRelease is the version of the software of most replicas.
const firstRelease = "v1"

func startReplica(id, service, zone string, keepers []*process) *replica {
	ginkgo.GinkgoHelper()
	return startReplicaOf(firstRelease, id, service, zone, keepers)
}

// startReplicaOf starts a replica with a version of the software.
func startReplicaOf(release, id, service, zone string, keepers []*process) *replica {
	ginkgo.GinkgoHelper()
	r := newReplica(release, id, service, zone)
	r.start(keepers)
	return r
}

func (r *replica) start(keepers []*process) {
	r.server = httptest.NewServer(http.HandlerFunc(r.serve))
	ginkgo.DeferCleanup(func() { r.server.CloseClientConnections(); r.server.Close() })
	r.stopAnnouncing = announce(r.id, r.release, r.service, r.zone, r.server.Listener.Addr(), keepers, &r.leaving)
}

func newReplica(release, id, service, zone string) *replica {
	return &replica{id: id, service: service, zone: zone, release: release, hold: make(chan struct{}), runs: map[string]int{}}
}

// crash ends the replica as the kernel ends a process: nothing listens any more,
// and all connections break.
func (r *replica) crash() {
	r.crashed.Store(true)
	r.end()
	panic(http.ErrAbortHandler)
}

// end ends the replica without draining.
func (r *replica) end() {
	r.stopAnnouncing()
	_ = r.server.Listener.Close()
	go r.server.CloseClientConnections()
}

// announce sends the heartbeats of a replica to the keepers in turn, until the
// test ends.
func announce(id, release, service, zone string, address net.Addr, keepers []*process, leaving *atomic.Bool) context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	ginkgo.DeferCleanup(cancel)
	born := time.Now().UnixMilli()
	go func() {
		defer ginkgo.GinkgoRecover()
		ticker := time.NewTicker(200 * time.Millisecond)
		defer ticker.Stop()
		for seq := 1; ; seq++ {
			state := "ready"
			if leaving.Load() {
				state = "draining"
			}
			body := fmt.Sprintf(`{"service":%q,"addr":%q,"zone":%q,"version":%q,"slots":4,"state":%q,"coldLeftMs":0,"seq":%d,"born":%d}`,
				service, address, zone, release, state, seq, born)
			keeper := keepers[seq%len(keepers)]
			response, err := http.Post(fmt.Sprintf("http://%s/v1/replicas/%s/heartbeat", keeper.Peers, id), "application/json", strings.NewReader(body))
			if err == nil {
				_ = response.Body.Close()
			}
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
		}
	}()
	return cancel
}

func (r *replica) serve(w http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	r.received = append(r.received, request)
	r.mu.Unlock()
	w.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
	if request.Header.Get("X-Expect-Replica") != r.name() {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.saysLeaving.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	if limit := r.limit.Load(); limit > 0 {
		w.Header().Set("Server-Limit", strconv.FormatInt(limit, 10))
	}
	if brittle := r.brittle.Load(); brittle > 0 {
		w.Header().Set("Server-Brittle", strconv.FormatInt(brittle, 10))
	}
	if rest := time.Until(time.Unix(0, r.closedUntil.Load())); rest > 0 {
		w.Header().Set("X-Not-Run", "1")
		w.Header().Set("Retry-After", strconv.FormatFloat(rest.Seconds(), 'f', 3, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("X-Replica-Seal", "seal-"+r.name())
	r.mu.Lock()
	r.runs[request.Header.Get("X-Request-Id")]++
	r.mu.Unlock()
	if r.unframed.Load() {
		w.Header().Set("Transfer-Encoding", "identity")
	}
	status := int(r.status.Load())
	if r.failure != nil {
		status = r.failure()
	}
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	if !strings.HasPrefix(request.URL.Path, "/ask/") && !strings.HasPrefix(request.URL.Path, "/talk/") {
		body, _ := io.ReadAll(request.Body)
		_, _ = fmt.Fprintf(w, "%s %s %s by %s for %s", request.Method, request.RequestURI, body, r.name(), request.Header.Get("X-Tenant"))
		if strings.Contains(request.URL.Path, bigPath) {
			_, _ = w.Write(bytes.Repeat([]byte("."), bigBytes))
		}
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	if r.crashPart != "" && strings.Contains(request.Header.Get("X-Prompt-Prefix"), r.crashPart+":") {
		_ = http.NewResponseController(w).Flush()
		r.crash()
	}
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= eventsPerStream; n++ {
		if cutAfter := int(r.cutAfter.Load()); cutAfter > 0 && n > cutAfter {
			// Half an event, then the connection breaks.
			_, _ = fmt.Fprintf(w, "id: %d\ndata: ha", n)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: word %d%s\n\n", n, n, suffixOf(r.release))
		_ = http.NewResponseController(w).Flush()
		if r.pace > 0 && n < eventsPerStream {
			select {
			case <-time.After(r.pace):
			case <-request.Context().Done():
				return
			}
		}
		if n == int(r.holdAfter.Load()) {
			select {
			case <-r.hold:
			case <-request.Context().Done():
				return
			}
		}
	}
}

// name is the replica's present ID.
func (r *replica) name() string {
	if id := r.renamed.Load(); id != nil {
		return *id
	}
	return r.id
}

// announceAgain sends heartbeats under the present ID in place of those before.
func (r *replica) announceAgain(keepers []*process) {
	r.stopAnnouncing()
	r.stopAnnouncing = announce(r.name(), r.release, r.service, r.zone, r.server.Listener.Addr(), keepers, &r.leaving)
}

// ran returns how often a request ran.
func (r *replica) ran(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

func (r *replica) requests() []*http.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*http.Request(nil), r.received...)
}

// platformConfig returns a configuration with the version, the request rate of the
// tenant orchard and the API keys of the tenant mill.
func platformConfig(version int, orchardRate int, millKeys ...string) string {
	quoted := make([]string, 0, len(millKeys))
	for _, k := range millKeys {
		quoted = append(quoted, strconv.Quote(k))
	}
	return fmt.Sprintf(`{"version":%d,"routes":[
{"name":"ask","host":"mill.example","pathPrefix":"/ask/","kind":"streaming","timeoutMs":9000,"sloMs":500,"gapSloMs":500,"priority":0,"service":"speech","attempts":2,"resumable":true},
{"name":"book","host":"mill.example","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":2000,"sloMs":150,"priority":1,"service":"booking","attempts":1},
{"name":"look","host":"mill.example","pathPrefix":"/look/","kind":"idempotent","timeoutMs":2000,"sloMs":150,"priority":1,"service":"booking","attempts":2,"public":true}],
"services":[{"name":"speech","healthPath":"/healthz","maxConns":90},{"name":"booking","healthPath":"/healthz","maxConns":90}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"mill","apiKeys":[%s]},{"name":"orchard","apiKeys":["key-o"],"ratePerS":%d,"burst":%d}]}`,
		version, strings.Join(quoted, ","), orchardRate, orchardRate)
}

// Ports of freeAddress, below those that the system gives to outgoing connections, so that
// none takes one before its process listens. Each process of tests has blocks of its own: the
// port of a node that was killed must not become that of another test's node.
const (
	firstPort     = 12_000
	lastPort      = 32_000
	portsPerBlock = 500
)

// portBlock is a range of ports that no other process of tests uses, while guard listens on
// the first of them.
type portBlock struct {
	guard      net.Listener
	next, last int
}

// portBlocks are those of this process, of which the last one is in use.
var portBlocks []*portBlock

// claimPorts claims the first block that no process of tests has, from the number on; nil if
// there is none.
func claimPorts(from int) *portBlock {
	const blocks = (lastPort - firstPort) / portsPerBlock
	for i := range blocks {
		first := firstPort + (from+i)%blocks*portsPerBlock
		if guard, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", first)); err == nil {
			return &portBlock{guard: guard, next: first + 1, last: first + portsPerBlock - 1}
		}
	}
	return nil
}

// freeAddress returns a loopback address on which nothing listens, each once.
func freeAddress() netip.AddrPort {
	ginkgo.GinkgoHelper()
	for {
		if len(portBlocks) == 0 || portBlocks[len(portBlocks)-1].next > portBlocks[len(portBlocks)-1].last {
			block := claimPorts(os.Getpid())
			if block == nil {
				ginkgo.Fail("no ports are free")
			}
			portBlocks = append(portBlocks, block)
		}
		block := portBlocks[len(portBlocks)-1]
		port := block.next
		block.next++
		if l, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", port)); err == nil {
			defer func() { _ = l.Close() }()
			return l.Addr().(*net.TCPAddr).AddrPort()
		}
	}
}

// TestPortsAreOfOneProcess guards against two runs of these tests at the same time of which one
// gives a port of the other's killed node to a node of its own.
func TestPortsAreOfOneProcess(t *testing.T) {
	g := gomega.NewWithT(t)
	seen := map[int]bool{}
	for range 4 {
		block := claimPorts(os.Getpid())
		g.Expect(block).NotTo(gomega.BeNil())
		defer func() { _ = block.guard.Close() }()
		for port := block.next - 1; port <= block.last; port++ {
			g.Expect(seen).NotTo(gomega.HaveKey(port))
			seen[port] = true
		}
	}
}

// seedOptions returns the options of three keepers of a platform, which are the seeds.
func seedOptions() []nodeOptions {
	ginkgo.GinkgoHelper()
	var seeds []netip.AddrPort
	for range 3 {
		seeds = append(seeds, freeAddress())
	}
	var options []nodeOptions
	for i, seed := range seeds {
		options = append(options, nodeOptions{
			name: fmt.Sprintf("keeper-%d", i), zone: string(rune('a' + i)), roles: "keeper, control", peers: seed, seeds: seeds,
			dataFolder: ginkgo.GinkgoT().TempDir(),
			extra:      seedSettings(true),
		})
	}
	return options
}

func seedSettings(bootstrap bool) string {
	return fmt.Sprintf("[keeper]\nbootstrap = %t\nfoundBySeeds = true\nreplaceAfter = 1s\n", bootstrap)
}

// platformDeployment is three keepers and two entries that run for a platform,
// with the entries' addresses for callers and for readiness checks.
type platformDeployment struct {
	keepers, entries []*process
	callers, ready   []netip.AddrPort
	// programs are the binaries that nodes are restarted by, if there are several.
	programs []string
}

func startPlatform() *platformDeployment {
	ginkgo.GinkgoHelper()
	d := &platformDeployment{}
	d.start()
	return d
}

func (d *platformDeployment) start() {
	ginkgo.GinkgoHelper()
	d.startEntries(2, "")
}

// startEntries starts the keepers and so many entries. The settings are added to the sections
// keeper and ingress.
func (d *platformDeployment) startEntries(entries int, settings string) {
	ginkgo.GinkgoHelper()
	options := seedOptions()
	for _, o := range options {
		o.extra += settings
		d.keepers = append(d.keepers, startNode(o))
	}
	for i := range entries {
		callers, ready := freeAddress(), freeAddress()
		d.callers, d.ready = append(d.callers, callers), append(d.ready, ready)
		d.entries = append(d.entries, startNode(nodeOptions{
			name: fmt.Sprintf("entry-%d", i), zone: string(rune('a' + i)), roles: "ingress", seeds: options[0].seeds,
			extra: fmt.Sprintf("[ingress]\nlisten = %s\nready = %s\n", callers, ready) + settings,
		}))
	}
}

func (d *platformDeployment) putConfig(keeper int, body string) int {
	response, err := http.Post(fmt.Sprintf("http://%s/v1/config/put", d.keepers[keeper].Peers), "application/json", strings.NewReader(body))
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func (d *platformDeployment) readyStatus(entry int) int {
	response, err := http.Get(fmt.Sprintf("http://%s/v1/readyz", d.ready[entry]))
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// slowLimit is longer than the time that the entry waits for a body.
const slowLimit = 15 * time.Second

var requestNumber atomic.Int64

// sendRequest sends one request and returns the status and body of the response,
// or 0 and the error; headers are names and values in turn. After the body of a
// response that broke off comes the error.
func (d *platformDeployment) sendRequest(entry int, method, path, key, body string, headers ...string) (int, string) {
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s%s", d.callers[entry], path), bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = "mill.example"
	r.Header.Set("X-Request-Id", fmt.Sprintf("r%d", requestNumber.Add(1)))
	r.Header.Set("X-Deadline-Ms", "8000")
	if key != "" {
		r.Header.Set("Authorization", "Token "+key)
	}
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return response.StatusCode, string(data) + " and " + err.Error()
	}
	return response.StatusCode, string(data)
}

// sendRaw sends bytes on a new connection, closes its write side and returns the
// response.
func (d *platformDeployment) sendRaw(entry int, text string) string {
	ginkgo.GinkgoHelper()
	c, err := net.Dial("tcp", d.callers[entry].String())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = c.Close() }()
	gomega.Expect(c.SetDeadline(time.Now().Add(5 * time.Second))).To(gomega.Succeed())
	_, err = io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n"))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(c.(*net.TCPConn).CloseWrite()).To(gomega.Succeed())
	// An entry may reset the connection after its response.
	response, _ := io.ReadAll(c)
	return string(response)
}

// sendUnfinished sends bytes on a new connection, keeps its write side open and
// returns what it reads until the entry closes the connection.
func (d *platformDeployment) sendUnfinished(entry int, text string) <-chan string {
	ginkgo.GinkgoHelper()
	c, err := net.Dial("tcp", d.callers[entry].String())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n"))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	response := make(chan string, 1)
	go func() {
		defer func() { _ = c.Close() }()
		data, _ := io.ReadAll(c)
		response <- string(data)
	}()
	return response
}

func wholeStream() string { return wholeStreamOf(firstRelease) }

// wholeStreamOf is the stream of a replica with the version of the software.
func wholeStreamOf(release string) string {
	var b strings.Builder
	for n := 1; n <= eventsPerStream; n++ {
		_, _ = fmt.Fprintf(&b, "id: %d\ndata: word %d%s\n\n", n, n, suffixOf(release))
	}
	return b.String()
}

// suffixOf names the release in an event, unless it is the first one.
func suffixOf(release string) string {
	if release == firstRelease {
		return ""
	}
	return " of " + release
}

var _ = ginkgo.Describe("A platform's callers, operators and upstreams", func() {
	ginkgo.It("are served through every process", func() {
		d := startPlatform()
		gomega.Eventually(func() int { return d.putConfig(1, platformConfig(3, 1000, "key-m", "key-n")) }, startLimit).Should(gomega.Equal(http.StatusOK))
		speech := []*replica{startReplica("i-s0", "speech", "a", d.keepers), startReplica("i-s1", "speech", "b", d.keepers)}
		booking := []*replica{startReplica("i-b0", "booking", "a", d.keepers), startReplica("i-b1", "booking", "b", d.keepers)}
		for i := range d.entries {
			gomega.Eventually(func() int { return d.readyStatus(i) }, startLimit).Should(gomega.Equal(http.StatusOK))
			gomega.Eventually(func() int {
				status, _ := d.sendRequest(i, "GET", "/look/any", "", "")
				return status
			}, startLimit).Should(gomega.Equal(http.StatusOK))
			gomega.Eventually(func() int {
				status, _ := d.sendRequest(i, "POST", "/ask/any", "key-m", "x")
				return status
			}, startLimit).Should(gomega.Equal(http.StatusOK))
		}

		ginkgo.By("forwarding requests unchanged but for the headers that entries set")
		status, body := d.sendRequest(0, "POST", "/book//a/../b?c=%2F", "key-m", "two presses", "X-Tenant", "orchard", "X-Hold", "7")
		gomega.Expect(status).To(gomega.Equal(http.StatusOK))
		gomega.Expect(body).To(gomega.MatchRegexp(`^POST /book//a/\.\./b\?c=%2F two presses by i-b\d for mill$`))
		for _, b := range booking {
			for _, r := range b.requests() {
				gomega.Expect(r.Header).NotTo(gomega.HaveKey("Authorization"))
				gomega.Expect(r.Header).NotTo(gomega.HaveKey("X-Hold"))
			}
		}

		partialHeaders := d.sendUnfinished(0, "POST /book/x HTTP/1.1\nHost: mill.example\nX-Requ")
		partialBody := d.sendUnfinished(0, "POST /book/x HTTP/1.1\nHost: mill.example\nX-Request-Id: slow\nAuthorization: Token key-m\nContent-Length: 50\n\nabc")

		ginkgo.By("refusing unknown keys, unknown routes and bodies that are too large")
		for _, c := range []struct {
			path, key string
			status    int
		}{{"/book/x", "key-x", 401}, {"/book/x", "", 401}, {"/other/x", "key-m", 404}, {"/look/x", "key-x", 200}} {
			status, _ := d.sendRequest(1, "POST", c.path, c.key, "x")
			gomega.Expect(status).To(gomega.Equal(c.status), "%+v", c)
		}
		status, _ = d.sendRequest(1, "POST", "/book/x", "key-m", strings.Repeat("x", 70_000))
		gomega.Expect(status).To(gomega.Equal(http.StatusRequestEntityTooLarge))

		ginkgo.By("refusing malformed requests")
		for _, c := range []struct{ name, bytes, answer string }{
			{"no ID", "POST /book/x HTTP/1.1\nHost: mill.example\nAuthorization: Token key-m\nContent-Length: 0\n\n", "HTTP/1.1 400"},
			{"a deadline that isn't a number", "GET /look/x HTTP/1.1\nHost: mill.example\nX-Request-Id: bad\nX-Deadline-Ms: soon\n\n", "HTTP/1.1 400"},
			{"huge headers", "GET /look/x HTTP/1.1\nHost: mill.example\nX-Request-Id: bad\nX-Long: " + strings.Repeat("x", 64<<10) + "\n\n", "HTTP/1.1 431"},
			{"two content lengths", "POST /book/x HTTP/1.1\nHost: mill.example\nX-Request-Id: bad\nContent-Length: 3\nContent-Length: 5\n\nabcde", "HTTP/1.1 400"},
			{"an unknown transfer encoding", "POST /book/x HTTP/1.1\nHost: mill.example\nX-Request-Id: bad\nTransfer-Encoding: gzip\n\nabcde", "HTTP/1.1 501"},
			{"a space before the colon", "POST /book/x HTTP/1.1\nHost: mill.example\nX-Request-Id: bad\nContent-Length : 5\n\nabcde", "HTTP/1.1 400"},
			{"a body cut short", "POST /book/x HTTP/1.1\nHost: mill.example\nX-Request-Id: bad\nAuthorization: Token key-m\nContent-Length: 50\n\nabc", "HTTP/1.1 400"},
			{"incomplete headers", "POST /book/x HTTP/1.1\nHost: mill", ""},
			{"no HTTP", "what is this\n\n", "HTTP/1.1 400"},
		} {
			gomega.Expect(d.sendRaw(0, c.bytes)).To(gomega.HavePrefix(c.answer), c.name)
		}
		// Request smuggling: a content length beside chunked encoding is ignored, so
		// that the bytes after the chunks are a second request, without a key.
		answers := d.sendRaw(0, "POST /book/outer HTTP/1.1\nHost: mill.example\nX-Request-Id: outer\nAuthorization: Token key-m\nContent-Length: 4\nTransfer-Encoding: chunked\n\n"+
			"0\n\nPOST /book/inner HTTP/1.1\nHost: mill.example\nX-Request-Id: inner\nContent-Length: 0\n\n")
		gomega.Expect(answers).NotTo(gomega.ContainSubstring("/book/inner"))
		for _, b := range booking {
			for _, r := range b.requests() {
				gomega.Expect(r.Header.Get("X-Request-Id")).NotTo(gomega.BeElementOf("bad", "inner"))
			}
		}

		ginkgo.By("resuming a broken stream at another upstream without a lost, repeated or partial event")
		speech[0].cutAfter.Store(3)
		for range 6 {
			status, body = d.sendRequest(0, "POST", "/ask/x", "key-m", "x")
			gomega.Expect(status).To(gomega.Equal(http.StatusOK))
			gomega.Expect(body).To(gomega.Equal(wholeStream()))
		}
		speech[0].cutAfter.Store(0)

		ginkgo.By("retrying a failed idempotent call")
		booking[0].status.Store(500)
		for range 6 {
			status, _ = d.sendRequest(0, "GET", "/look/x", "", "")
			gomega.Expect(status).To(gomega.Equal(http.StatusOK))
		}
		booking[0].status.Store(0)

		ginkgo.By("storing configurations")
		gomega.Expect(d.putConfig(2, platformConfig(3, 1000, "key-m", "key-n"))).To(gomega.Equal(http.StatusOK), "the same configuration again")
		gomega.Expect(d.putConfig(0, platformConfig(3, 1000, "key-m"))).To(gomega.Equal(http.StatusConflict), "the same version with another content")
		gomega.Expect(d.putConfig(0, platformConfig(2, 1000, "key-m"))).To(gomega.Equal(http.StatusOK), "an older version, which changes nothing")
		gomega.Expect(d.putConfig(0, platformConfig(9, 1000, "key-m")[:300])).To(gomega.Equal(http.StatusBadRequest))
		gomega.Expect(d.putConfig(0, platformConfig(5, 2, "key-m"))).To(gomega.Equal(http.StatusOK))
		gomega.Eventually(func() int {
			status, _ := d.sendRequest(1, "POST", "/book/x", "key-n", "x")
			return status
		}, 2*time.Second).Should(gomega.Equal(http.StatusUnauthorized), "a key that was removed")
		response, err := http.Get(fmt.Sprintf("http://%s/v1/config/get", d.keepers[2].Peers))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		stored, err := io.ReadAll(response.Body)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(string(stored)).To(gomega.Equal(platformConfig(5, 2, "key-m")))

		ginkgo.By("enforcing a quota")
		refused := 0
		for range 30 {
			if status, _ := d.sendRequest(0, "POST", "/book/x", "key-o", "x"); status == http.StatusTooManyRequests {
				refused++
			}
		}
		gomega.Expect(refused).To(gomega.BeNumerically(">", 15))

		ginkgo.By("timing out slow senders while others are served")
		gomega.Eventually(partialHeaders, slowLimit).Should(gomega.Receive(gomega.HavePrefix("HTTP/1.1 400")))
		gomega.Eventually(partialBody, slowLimit).Should(gomega.Receive(gomega.HavePrefix("HTTP/1.1 408")))
		for _, b := range booking {
			for _, r := range b.requests() {
				gomega.Expect(r.Header.Get("X-Request-Id")).NotTo(gomega.Equal("slow"))
			}
		}

		ginkgo.By("sending nothing to a draining upstream")
		booking[1].leaving.Store(true)
		arriveAtDraining := func() int {
			before := len(booking[1].requests())
			for range 10 {
				status, _ = d.sendRequest(1, "GET", "/look/x", "", "")
				gomega.Expect(status).To(gomega.Equal(http.StatusOK))
			}
			return len(booking[1].requests()) - before
		}
		// One answer of the other upstream says nothing: it may just be the quicker one.
		gomega.Eventually(arriveAtDraining, 2*time.Second).Should(gomega.BeZero())
		gomega.Expect(arriveAtDraining()).To(gomega.BeZero())

		ginkgo.By("accepting changes after the loss of one keeper, and refusing keys without a majority")
		d.keepers[0].Kill().Wait(stopLimit)
		gomega.Eventually(func() int { return d.putConfig(1, platformConfig(8, 2, "key-m", "key-p")) }, startLimit).Should(gomega.Equal(http.StatusOK))
		gomega.Eventually(func() int {
			status, _ := d.sendRequest(0, "POST", "/book/x", "key-p", "x")
			return status
		}, 3*time.Second).Should(gomega.Equal(http.StatusOK))
		d.keepers[1].Kill().Wait(stopLimit)
		gomega.Eventually(func() int {
			status, _ := d.sendRequest(0, "POST", "/book/x", "key-p", "x")
			return status
		}, 6*time.Second).Should(gomega.Equal(http.StatusServiceUnavailable))
		status, _ = d.sendRequest(0, "GET", "/look/x", "", "")
		gomega.Expect(status).To(gomega.Equal(http.StatusOK), "a public route needs no confirmed configuration")
		gomega.Expect(d.readyStatus(0)).To(gomega.Equal(http.StatusServiceUnavailable))
	})
})

// Prints the processor time and memory of each role without callers, with 12
// upstreams that announce themselves. Runs on request only.
var _ = ginkgo.Describe("The cost of a platform's roles", func() {
	ginkgo.It("is printed without callers", func() {
		if os.Getenv("HYSSOPLADDER_MEASURE") == "" {
			ginkgo.Skip("set HYSSOPLADDER_MEASURE=1 to measure")
		}
		d := startPlatform()
		gomega.Eventually(func() int { return d.putConfig(1, platformConfig(3, 1000, "key-m")) }, startLimit).Should(gomega.Equal(http.StatusOK))
		for i := range 12 {
			startReplica(fmt.Sprint("i-", i), "booking", "a", d.keepers)
		}
		for i := range d.entries {
			gomega.Eventually(func() int { return d.readyStatus(i) }, startLimit).Should(gomega.Equal(http.StatusOK))
		}
		const measuredTime = 20 * time.Second
		all := append(append([]*process{}, d.keepers...), d.entries...)
		before := make([]usage, len(all))
		for i, p := range all {
			before[i] = usageOf(p)
		}
		began := time.Now()
		gomega.Consistently(func() bool { return true }, measuredTime, time.Second).Should(gomega.BeTrue())
		elapsed := time.Since(began)
		for i, p := range all {
			role, u := "keeper", usageOf(p)
			if i >= len(d.keepers) {
				role = "entry"
			}
			fmt.Printf("cost: %s without callers: %.2f%% of a core, %d KB resident\n", role, 100*float64(u.cpu-before[i].cpu)/float64(elapsed), u.residentKB)
		}
	})
})
