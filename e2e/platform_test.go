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
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// replica is a stand-in for an upstream of the platform.
type replica struct {
	id, service, zone string
	server            *httptest.Server
	leaving           atomic.Bool
	// cutAfter breaks streams off after so many events; 0 means never.
	cutAfter atomic.Int64
	// status is the answer's status if it isn't 0.
	status atomic.Int64

	mu   sync.Mutex
	seen []*http.Request
}

// events is the number of events of a whole stream.
const events = 6

func startReplica(id, service, zone string, keepers []*process) *replica {
	ginkgo.GinkgoHelper()
	r := &replica{id: id, service: service, zone: zone}
	r.server = httptest.NewServer(http.HandlerFunc(r.serve))
	ctx, cancel := context.WithCancel(context.Background())
	ginkgo.DeferCleanup(func() { cancel(); r.server.CloseClientConnections(); r.server.Close() })
	born := time.Now().UnixMilli()
	go func() {
		defer ginkgo.GinkgoRecover()
		beat := time.NewTicker(200 * time.Millisecond)
		defer beat.Stop()
		for seq := 1; ; seq++ {
			state := "ready"
			if r.leaving.Load() {
				state = "draining"
			}
			body := fmt.Sprintf(`{"service":%q,"addr":%q,"zone":%q,"version":"v1","slots":4,"state":%q,"coldLeftMs":0,"seq":%d,"born":%d}`,
				service, r.server.Listener.Addr(), zone, state, seq, born)
			k := keepers[seq%len(keepers)]
			response, err := http.Post(fmt.Sprintf("http://%s/v1/replicas/%s/heartbeat", k.Peers, id), "application/json", strings.NewReader(body))
			if err == nil {
				_ = response.Body.Close()
			}
			select {
			case <-beat.C:
			case <-ctx.Done():
				return
			}
		}
	}()
	return r
}

func (r *replica) serve(w http.ResponseWriter, h *http.Request) {
	r.mu.Lock()
	r.seen = append(r.seen, h)
	r.mu.Unlock()
	w.Header().Set("X-Request-Id", h.Header.Get("X-Request-Id"))
	if h.Header.Get("X-Expect-Replica") != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Replica-Seal", "seal-"+r.id)
	if s := r.status.Load(); s != 0 {
		w.WriteHeader(int(s))
		return
	}
	if !strings.HasPrefix(h.URL.Path, "/ask/") {
		body, _ := io.ReadAll(h.Body)
		_, _ = fmt.Fprintf(w, "%s %s %s by %s for %s", h.Method, h.RequestURI, body, r.id, h.Header.Get("X-Tenant"))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(h.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= events; n++ {
		if c := int(r.cutAfter.Load()); c > 0 && n > c {
			// Half an event, and then the end of the connection.
			_, _ = fmt.Fprintf(w, "id: %d\ndata: ha", n)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: word %d\n\n", n, n)
		_ = http.NewResponseController(w).Flush()
	}
}

func (r *replica) requests() []*http.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*http.Request(nil), r.seen...)
}

// platformConfig is a configuration with the version and the mill's keys.
func platformConfig(version int, rate int, keys ...string) string {
	quoted := make([]string, 0, len(keys))
	for _, k := range keys {
		quoted = append(quoted, strconv.Quote(k))
	}
	return fmt.Sprintf(`{"version":%d,"routes":[
{"name":"ask","host":"mill.example","pathPrefix":"/ask/","kind":"streaming","timeoutMs":9000,"sloMs":500,"gapSloMs":500,"priority":0,"service":"speech","attempts":2,"resumable":true},
{"name":"book","host":"mill.example","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":2000,"sloMs":150,"priority":1,"service":"booking","attempts":1},
{"name":"look","host":"mill.example","pathPrefix":"/look/","kind":"idempotent","timeoutMs":2000,"sloMs":150,"priority":1,"service":"booking","attempts":2,"public":true}],
"services":[{"name":"speech","healthPath":"/healthz","maxConns":90},{"name":"booking","healthPath":"/healthz","maxConns":90}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"mill","apiKeys":[%s]},{"name":"orchard","apiKeys":["key-o"],"ratePerS":%d,"burst":%d}]}`,
		version, strings.Join(quoted, ","), rate, rate)
}

func freeAddress() netip.AddrPort {
	ginkgo.GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// deployment is three keepers and two entries of a platform.
type deployment struct {
	keepers, entries []*process
	callers, ready   []netip.AddrPort
}

func startDeployment() *deployment {
	ginkgo.GinkgoHelper()
	d := &deployment{}
	var seeds []netip.AddrPort
	for range 3 {
		seeds = append(seeds, freeAddress())
	}
	for i, seed := range seeds {
		d.keepers = append(d.keepers, startNode(nodeOptions{
			name: fmt.Sprintf("keeper-%d", i), zone: string(rune('a' + i)), roles: "keeper, control", peers: seed, seeds: seeds,
			folder: ginkgo.GinkgoT().TempDir(),
			extra:  "[keeper]\nbootstrap = true\nfoundBySeeds = true\nreplaceAfter = 1s\n",
		}))
	}
	for i := range 2 {
		callers, ready := freeAddress(), freeAddress()
		d.callers, d.ready = append(d.callers, callers), append(d.ready, ready)
		d.entries = append(d.entries, startNode(nodeOptions{
			name: fmt.Sprintf("entry-%d", i), zone: string(rune('a' + i)), roles: "ingress", seeds: seeds,
			extra: fmt.Sprintf("[ingress]\nlisten = %s\nready = %s\n", callers, ready),
		}))
	}
	return d
}

func (d *deployment) put(keeper int, body string) int {
	response, err := http.Post(fmt.Sprintf("http://%s/v1/config/put", d.keepers[keeper].Peers), "application/json", strings.NewReader(body))
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func (d *deployment) readStatus(entry int) int {
	response, err := http.Get(fmt.Sprintf("http://%s/v1/readyz", d.ready[entry]))
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// slowLimit is longer than the entry waits for a body.
const slowLimit = 15 * time.Second

var requestNumber atomic.Int64

// ask sends one request and returns its status and body; headers come in
// pairs. The body is what came before the end or a break.
func (d *deployment) ask(entry int, method, path, key, body string, headers ...string) (int, string) {
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

// raw sends bytes on a connection of their own, ends its side, and returns all
// that comes back.
func (d *deployment) raw(entry int, text string) string {
	ginkgo.GinkgoHelper()
	c, err := net.Dial("tcp", d.callers[entry].String())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = c.Close() }()
	gomega.Expect(c.SetDeadline(time.Now().Add(5 * time.Second))).To(gomega.Succeed())
	_, err = io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n"))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(c.(*net.TCPConn).CloseWrite()).To(gomega.Succeed())
	// An entry may reset the connection after its answer.
	answer, _ := io.ReadAll(c)
	return string(answer)
}

// slow sends bytes on a connection of their own, keeps its side open, and
// returns what comes back until the entry closes the connection.
func (d *deployment) slow(entry int, text string) <-chan string {
	ginkgo.GinkgoHelper()
	c, err := net.Dial("tcp", d.callers[entry].String())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n"))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	answer := make(chan string, 1)
	go func() {
		defer func() { _ = c.Close() }()
		data, _ := io.ReadAll(c)
		answer <- string(data)
	}()
	return answer
}

func wholeStream() string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		_, _ = fmt.Fprintf(&b, "id: %d\ndata: word %d\n\n", n, n)
	}
	return b.String()
}

var _ = ginkgo.Describe("A platform's callers, operators and upstreams", func() {
	ginkgo.It("are served through every process", func() {
		d := startDeployment()
		gomega.Eventually(func() int { return d.put(1, platformConfig(3, 1000, "key-m", "key-n")) }, startLimit).Should(gomega.Equal(http.StatusOK))
		speech := []*replica{startReplica("i-s0", "speech", "a", d.keepers), startReplica("i-s1", "speech", "b", d.keepers)}
		booking := []*replica{startReplica("i-b0", "booking", "a", d.keepers), startReplica("i-b1", "booking", "b", d.keepers)}
		for i := range d.entries {
			gomega.Eventually(func() int { return d.readStatus(i) }, startLimit).Should(gomega.Equal(http.StatusOK))
			gomega.Eventually(func() int {
				status, _ := d.ask(i, "GET", "/look/any", "", "")
				return status
			}, startLimit).Should(gomega.Equal(http.StatusOK))
			gomega.Eventually(func() int {
				status, _ := d.ask(i, "POST", "/ask/any", "key-m", "x")
				return status
			}, startLimit).Should(gomega.Equal(http.StatusOK))
		}

		ginkgo.By("passing requests on as they came, with what is the system's to set")
		status, body := d.ask(0, "POST", "/book//a/../b?c=%2F", "key-m", "two presses", "X-Tenant", "orchard", "X-Hold", "7")
		gomega.Expect(status).To(gomega.Equal(http.StatusOK))
		gomega.Expect(body).To(gomega.MatchRegexp(`^POST /book//a/\.\./b\?c=%2F two presses by i-b\d for mill$`))
		for _, b := range booking {
			for _, r := range b.requests() {
				gomega.Expect(r.Header).NotTo(gomega.HaveKey("Authorization"))
				gomega.Expect(r.Header).NotTo(gomega.HaveKey("X-Hold"))
			}
		}

		halfHead := d.slow(0, "POST /book/x HTTP/1.1\nHost: mill.example\nX-Requ")
		halfBody := d.slow(0, "POST /book/x HTTP/1.1\nHost: mill.example\nX-Request-Id: slow\nAuthorization: Token key-m\nContent-Length: 50\n\nabc")

		ginkgo.By("refusing what isn't allowed")
		for _, c := range []struct {
			path, key string
			status    int
		}{{"/book/x", "key-x", 401}, {"/book/x", "", 401}, {"/other/x", "key-m", 404}, {"/look/x", "key-x", 200}} {
			status, _ := d.ask(1, "POST", c.path, c.key, "x")
			gomega.Expect(status).To(gomega.Equal(c.status), "%+v", c)
		}
		status, _ = d.ask(1, "POST", "/book/x", "key-m", strings.Repeat("x", 70_000))
		gomega.Expect(status).To(gomega.Equal(http.StatusRequestEntityTooLarge))

		ginkgo.By("taking nothing from bytes that aren't one proper request")
		for _, c := range []struct{ name, bytes, answer string }{
			{"no ID", "POST /book/x HTTP/1.1\nHost: mill.example\nAuthorization: Token key-m\nContent-Length: 0\n\n", "HTTP/1.1 400"},
			{"no number as a deadline", "GET /look/x HTTP/1.1\nHost: mill.example\nX-Request-Id: bad\nX-Deadline-Ms: soon\n\n", "HTTP/1.1 400"},
			{"huge headers", "GET /look/x HTTP/1.1\nHost: mill.example\nX-Request-Id: bad\nX-Long: " + strings.Repeat("x", 64<<10) + "\n\n", "HTTP/1.1 431"},
			{"two lengths", "POST /book/x HTTP/1.1\nHost: mill.example\nX-Request-Id: bad\nContent-Length: 3\nContent-Length: 5\n\nabcde", "HTTP/1.1 400"},
			{"an unknown coding", "POST /book/x HTTP/1.1\nHost: mill.example\nX-Request-Id: bad\nTransfer-Encoding: gzip\n\nabcde", "HTTP/1.1 501"},
			{"a folded length", "POST /book/x HTTP/1.1\nHost: mill.example\nX-Request-Id: bad\nContent-Length : 5\n\nabcde", "HTTP/1.1 400"},
			{"a body cut short", "POST /book/x HTTP/1.1\nHost: mill.example\nX-Request-Id: bad\nAuthorization: Token key-m\nContent-Length: 50\n\nabc", "HTTP/1.1 400"},
			{"half a head", "POST /book/x HTTP/1.1\nHost: mill", ""},
			{"no HTTP", "what is this\n\n", "HTTP/1.1 400"},
		} {
			gomega.Expect(d.raw(0, c.bytes)).To(gomega.HavePrefix(c.answer), c.name)
		}
		// The length beside chunks is dropped, so that what follows the chunks
		// is a request of its own, with no key.
		answers := d.raw(0, "POST /book/outer HTTP/1.1\nHost: mill.example\nX-Request-Id: outer\nAuthorization: Token key-m\nContent-Length: 4\nTransfer-Encoding: chunked\n\n"+
			"0\n\nPOST /book/inner HTTP/1.1\nHost: mill.example\nX-Request-Id: inner\nContent-Length: 0\n\n")
		gomega.Expect(answers).NotTo(gomega.ContainSubstring("/book/inner"))
		for _, b := range booking {
			for _, r := range b.requests() {
				gomega.Expect(r.Header.Get("X-Request-Id")).NotTo(gomega.BeElementOf("bad", "inner"))
			}
		}

		ginkgo.By("going on with a stream elsewhere, without a lost, doubled or half event")
		speech[0].cutAfter.Store(3)
		for range 6 {
			status, body = d.ask(0, "POST", "/ask/x", "key-m", "x")
			gomega.Expect(status).To(gomega.Equal(http.StatusOK))
			gomega.Expect(body).To(gomega.Equal(wholeStream()))
		}
		speech[0].cutAfter.Store(0)

		ginkgo.By("trying a failed call again only if it may be repeated")
		booking[0].status.Store(500)
		for range 6 {
			status, _ = d.ask(0, "GET", "/look/x", "", "")
			gomega.Expect(status).To(gomega.Equal(http.StatusOK))
		}
		booking[0].status.Store(0)

		ginkgo.By("keeping configurations")
		gomega.Expect(d.put(2, platformConfig(3, 1000, "key-m", "key-n"))).To(gomega.Equal(http.StatusOK), "the same again")
		gomega.Expect(d.put(0, platformConfig(3, 1000, "key-m"))).To(gomega.Equal(http.StatusConflict), "another content")
		gomega.Expect(d.put(0, platformConfig(2, 1000, "key-m"))).To(gomega.Equal(http.StatusOK), "an older one changes nothing")
		gomega.Expect(d.put(0, platformConfig(9, 1000, "key-m")[:300])).To(gomega.Equal(http.StatusBadRequest))
		gomega.Expect(d.put(0, platformConfig(5, 2, "key-m"))).To(gomega.Equal(http.StatusOK))
		gomega.Eventually(func() int {
			status, _ := d.ask(1, "POST", "/book/x", "key-n", "x")
			return status
		}, 2*time.Second).Should(gomega.Equal(http.StatusUnauthorized), "a key that was taken away")
		response, err := http.Get(fmt.Sprintf("http://%s/v1/config/get", d.keepers[2].Peers))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		stored, err := io.ReadAll(response.Body)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(string(stored)).To(gomega.Equal(platformConfig(5, 2, "key-m")))

		ginkgo.By("holding a quota")
		refused := 0
		for range 30 {
			if status, _ := d.ask(0, "POST", "/book/x", "key-o", "x"); status == http.StatusTooManyRequests {
				refused++
			}
		}
		gomega.Expect(refused).To(gomega.BeNumerically(">", 15))

		ginkgo.By("giving up on senders that are slow, while others are served")
		gomega.Eventually(halfHead, slowLimit).Should(gomega.Receive(gomega.HavePrefix("HTTP/1.1 400")))
		gomega.Eventually(halfBody, slowLimit).Should(gomega.Receive(gomega.HavePrefix("HTTP/1.1 408")))
		for _, b := range booking {
			for _, r := range b.requests() {
				gomega.Expect(r.Header.Get("X-Request-Id")).NotTo(gomega.Equal("slow"))
			}
		}

		ginkgo.By("sending nothing to an upstream that leaves")
		booking[1].leaving.Store(true)
		gomega.Eventually(func() string {
			_, body := d.ask(1, "GET", "/look/x", "", "")
			return body
		}, 2*time.Second).Should(gomega.ContainSubstring("by i-b0"))
		before := len(booking[1].requests())
		for range 10 {
			status, _ = d.ask(1, "GET", "/look/x", "", "")
			gomega.Expect(status).To(gomega.Equal(http.StatusOK))
		}
		gomega.Expect(booking[1].requests()).To(gomega.HaveLen(before))

		ginkgo.By("going on after a keeper is lost, and refusing keys when no majority is left")
		d.keepers[0].Kill().Wait(stopLimit)
		gomega.Eventually(func() int { return d.put(1, platformConfig(8, 2, "key-m", "key-p")) }, startLimit).Should(gomega.Equal(http.StatusOK))
		gomega.Eventually(func() int {
			status, _ := d.ask(0, "POST", "/book/x", "key-p", "x")
			return status
		}, 3*time.Second).Should(gomega.Equal(http.StatusOK))
		d.keepers[1].Kill().Wait(stopLimit)
		gomega.Eventually(func() int {
			status, _ := d.ask(0, "POST", "/book/x", "key-p", "x")
			return status
		}, 6*time.Second).Should(gomega.Equal(http.StatusServiceUnavailable))
		status, _ = d.ask(0, "GET", "/look/x", "", "")
		gomega.Expect(status).To(gomega.Equal(http.StatusOK), "public routes need no fresh keys")
		gomega.Expect(d.readStatus(0)).To(gomega.Equal(http.StatusServiceUnavailable))
	})
})

// The cost of each role of a platform without callers, beside 12 upstreams
// that announce themselves. It prints figures, so it runs on request.
var _ = ginkgo.Describe("The cost of a platform's roles", func() {
	ginkgo.It("is printed without callers", func() {
		if os.Getenv("HYSSOPLADDER_MEASURE") == "" {
			ginkgo.Skip("set HYSSOPLADDER_MEASURE=1 to measure")
		}
		d := startDeployment()
		gomega.Eventually(func() int { return d.put(1, platformConfig(3, 1000, "key-m")) }, startLimit).Should(gomega.Equal(http.StatusOK))
		for i := range 12 {
			startReplica(fmt.Sprint("i-", i), "booking", "a", d.keepers)
		}
		for i := range d.entries {
			gomega.Eventually(func() int { return d.readStatus(i) }, startLimit).Should(gomega.Equal(http.StatusOK))
		}
		const span = 20 * time.Second
		all := append(append([]*process{}, d.keepers...), d.entries...)
		before := make([]usage, len(all))
		for i, p := range all {
			before[i] = usageOf(p)
		}
		began := time.Now()
		gomega.Consistently(func() bool { return true }, span, time.Second).Should(gomega.BeTrue())
		took := time.Since(began)
		for i, p := range all {
			role, u := "keeper", usageOf(p)
			if i >= len(d.keepers) {
				role = "entry"
			}
			fmt.Printf("cost: %s without callers: %.2f%% of a core, %d KB resident\n", role, 100*float64(u.cpu-before[i].cpu)/float64(took), u.residentKB)
		}
	})
})
