package ingress

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/pack"
	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/control"
	"github.com/hyssopladder/hyssopladder/detour"
	"github.com/hyssopladder/hyssopladder/exchange"
	"github.com/hyssopladder/hyssopladder/peer"
	"github.com/hyssopladder/hyssopladder/service"
	"github.com/hyssopladder/hyssopladder/settings"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// cutConfig has a route of each kind to one service.
const cutConfig = `{"version":1,"routes":[
{"name":"ask","host":"mill.example","pathPrefix":"/ask/","kind":"streaming","timeoutMs":2000,"sloMs":500,"gapSloMs":500,"priority":0,"service":"s","attempts":1,"public":true},
{"name":"book","host":"mill.example","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":1500,"sloMs":500,"priority":1,"service":"s","attempts":1,"public":true},
{"name":"look","host":"mill.example","pathPrefix":"/look/","kind":"idempotent","timeoutMs":1500,"sloMs":500,"priority":1,"service":"s","attempts":2,"public":true},
{"name":"keyed","host":"mill.example","pathPrefix":"/keyed/","kind":"streaming","timeoutMs":8000,"sloMs":500,"gapSloMs":500,"priority":1,"service":"s","attempts":1}],
"services":[{"name":"s","healthPath":"/healthz","maxConns":900}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"mill","apiKeys":["key-m"],"unit":"request","ratePerS":10,"burst":10}]}`

// noPathHooks judge paths by connections, and tell nobody.
var noPathHooks = pathHooks{
	question: func(netip.AddrPort) (*exchange.Request, error) { return nil, nil },
	onBroken: func(netip.AddrPort) {},
	onChange: func(bool) {},
}

// cutKeeper is a keeper that gives entries a configuration and a directory.
type cutKeeper struct {
	address netip.AddrPort

	// silent is closed once it answers entries; nil if it does from the start.
	silent chan struct{}
	// emptyPools is how many reservations find the quota's pool empty.
	emptyPools atomic.Int64

	mu      sync.Mutex
	reports map[string]control.AccountRequest
}

func startCutKeeper(t *testing.T, members []upstream.Member) *cutKeeper {
	t.Helper()
	g := gomega.NewWithT(t)
	server, err := peer.New(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	packed, err := pack.Deflate([]byte(cutConfig))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	k := &cutKeeper{address: server.Address, reports: map[string]control.AccountRequest{}}
	server.On(peer.Sync, func(ctx context.Context, body []byte) (any, error) {
		var request control.SyncRequest
		if err := wire.Decode(body, &request); err != nil {
			return nil, err
		}
		if k.silent != nil {
			select {
			case <-k.silent:
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		reply := &control.SyncReply{
			Source: 1, Generation: 1, ConfirmedConfig: 1, Quorum: control.QuorumConfirmed,
			Leader: k.address, Term: 1, Peers: []control.Peer{{Address: k.address, Zone: "a"}}, Wall: time.Now(),
		}
		if request.Source == 0 {
			reply.Members, reply.Config = members, &config.Put{Number: 1, Packed: packed}
			return reply, nil
		}
		select {
		case <-time.After(200 * time.Millisecond):
		case <-ctx.Done():
		}
		return reply, nil
	})
	server.On(peer.Account, func(_ context.Context, body []byte) (any, error) {
		var request control.AccountRequest
		if err := wire.Decode(body, &request); err != nil {
			return nil, err
		}
		return k.account(request), nil
	})
	server.On(peer.Reserve, func(context.Context, []byte) (any, error) {
		if k.emptyPools.Add(-1) >= 0 {
			return &control.ReserveReply{RetryAfter: 20 * time.Millisecond}, nil
		}
		return &control.ReserveReply{OK: true}, nil
	})
	return k
}

// account answers an entry's report as the leader.
func (k *cutKeeper) account(request control.AccountRequest) *control.AccountReply {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !request.UsageOnly {
		k.reports[request.Entry] = request
	}
	reply := &control.AccountReply{Leading: true, Leader: k.address, Term: 1, Entries: len(k.reports), NextReport: 300 * time.Millisecond}
	var helpers []detour.Helper
	for name, r := range k.reports {
		if name != request.Entry && r.Helper != nil {
			helpers = append(helpers, detour.Helper{Address: *r.Helper, Zone: r.Zone})
		}
	}
	if request.WantsHelpers {
		reply.Helpers = detour.Choose(detour.Asker{Name: request.Entry, Zone: request.Zone}, helpers)
	}
	return reply
}

// cutMode is what happens to the paths of an entry to all upstreams.
type cutMode int32

const (
	whole cutMode = iota
	// resets breaks all connections and refuses new ones.
	resets
	// hangs leaves connections open without passing on anything; dials get no answer.
	hangs
	// refusesNew refuses new connections; those that are open live on.
	refusesNew
	// The others accept connections, as a middlebox does that answers for the upstream, and hold
	// all bytes, those of a message above a size and all after it, or those of one direction.
	holds
	holdsLarge
	holdsRequests
	holdsAnswers
)

// maxSmall is the size, in bytes, up to which messages pass while a path holds larger ones.
const maxSmall = 1400

// lets reports whether a message passes, to the upstream or from it.
func (m cutMode) lets(toUpstream bool, bytes int) bool {
	switch m {
	case hangs, holds:
		return false
	case holdsLarge:
		return bytes <= maxSmall
	case holdsRequests:
		return !toUpstream
	case holdsAnswers:
		return toUpstream
	case whole, resets, refusesNew:
	}
	return true
}

// cutPath is the path of one entry to the upstreams, by a proxy for each connection.
type cutPath struct {
	mode atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func (p *cutPath) set(m cutMode) {
	p.mode.Store(int32(m))
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if m == resets {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			delete(p.conns, c)
		}
	}
}

// dial connects to an upstream as the mode allows.
func (p *cutPath) dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	switch cutMode(p.mode.Load()) {
	case resets, refusesNew:
		return nil, &net.OpError{Op: "dial", Net: "tcp4", Err: os.NewSyscallError("connect", unix.ECONNREFUSED)}
	case hangs:
		ctx, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
		defer cancel()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp4", Err: ctx.Err()}
	case whole, holds, holdsLarge, holdsRequests, holdsAnswers:
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer func() { _ = l.Close() }()
	near, err := exchange.DialDirect(ctx, l.Addr().(*net.TCPAddr).AddrPort())
	if err != nil {
		return nil, err
	}
	proxied, err := l.Accept()
	if err != nil {
		return nil, err
	}
	far, err := exchange.DialDirect(ctx, address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.conns[proxied] = true
	p.mu.Unlock()
	go p.copy(far, proxied, true)
	go p.copy(proxied, far, false)
	return near, nil
}

// copy passes bytes on until one side ends. Those that the path holds are lost, and so is what
// follows them on the connection.
func (p *cutPath) copy(to, from net.Conn, toUpstream bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 8<<10)
	held := false
	for {
		n, err := from.Read(buffer)
		held = held || n > 0 && !cutMode(p.mode.Load()).lets(toUpstream, n)
		if !held {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// cutEntry is an entry with a path to upstreams that can be cut.
type cutEntry struct {
	*Ingress
	path *cutPath
	url  string
}

func startCutEntry(t *testing.T, name string, k *cutKeeper) *cutEntry {
	t.Helper()
	e := newCutEntry(t, name, k)
	gomega.NewWithT(t).Eventually(e.ready, 5*time.Second).Should(gomega.BeTrue())
	return e
}

// newCutEntry starts an entry that may not be ready yet.
func newCutEntry(t *testing.T, name string, k *cutKeeper) *cutEntry {
	t.Helper()
	g := gomega.NewWithT(t)
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	server, err := peer.New(t.Context(), loopback)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	e := &cutEntry{path: &cutPath{conns: map[net.Conn]bool{}}}
	in, err := New(t.Context(), Options{
		Name: name, Zone: "a", Incarnation: 1, Clock: clock.System(), Metrics: metrics.NewRegistry(), PeerClient: server.Client,
		Peers:        settings.Peer{Seeds: []netip.AddrPort{k.address}},
		Settings:     settings.Ingress{Listen: loopback, Ready: loopback, RevokeWithin: 5 * time.Second, RetryRatio: 0.2, RetrySlack: 50, UsageWindow: time.Second, DrainWithin: time.Second, AssumedEntries: 3, HoldAtStart: time.Minute},
		DialUpstream: e.path.dial, Server: server,
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	e.Ingress, e.url = in, "http://"+in.listener.Addr().String()
	return e
}

// first sends a request once and reports whether it was served whole.
func (e *cutEntry) first(path, id, body string) bool {
	request, err := http.NewRequest(http.MethodPost, e.url+path, strings.NewReader(body))
	if err != nil {
		return false
	}
	request.Host = "mill.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "30000")
	request.Header.Set("Authorization", "Token key-m")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return err == nil && response.StatusCode == http.StatusOK && strings.HasSuffix(string(answer), event(3))
}

// cutUpstreams are what upstreams have in common.
type cutUpstreams struct {
	// still is locked while they stand still.
	still sync.RWMutex

	mu sync.Mutex
	// runs are by the requests' IDs.
	runs map[string]int
}

// startCutUpstream starts an upstream that answers each request with a few events.
func startCutUpstream(t *testing.T, u *cutUpstreams) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		u.still.RLock()
		defer u.still.RUnlock()
		u.mu.Lock()
		u.runs[r.Header.Get("X-Request-Id")]++
		u.mu.Unlock()
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Replica-Seal", "s")
		for n := 1; n <= 3; n++ {
			_, _ = io.WriteString(w, event(n))
			w.(http.Flusher).Flush()
		}
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().(*net.TCPAddr).AddrPort()
}

func startCutUpstreams(t *testing.T, count int) (*cutUpstreams, []upstream.Member) {
	t.Helper()
	u := &cutUpstreams{runs: map[string]int{}}
	var members []upstream.Member
	for i := range count {
		members = append(members, upstream.Member{Announcement: upstream.Announcement{
			ID: fmt.Sprintf("u%d", i), Incarnation: 1, Sequence: 1, Address: startCutUpstream(t, u), Zone: "a", Slots: 16, Kind: service.Plain, Services: []string{"s"}, Lease: time.Minute,
		}})
	}
	return u, members
}

// startCutEntries starts upstreams, and three entries that know each other as helpers.
func startCutEntries(t *testing.T, upstreams int) (*cutUpstreams, []*cutEntry) {
	t.Helper()
	g := gomega.NewWithT(t)
	u, members := startCutUpstreams(t, upstreams)
	k := startCutKeeper(t, members)
	entries := []*cutEntry{startCutEntry(t, "cut", k), startCutEntry(t, "near", k), startCutEntry(t, "far", k)}
	g.Eventually(func() bool {
		return !slices.ContainsFunc(entries, func(e *cutEntry) bool {
			e.paths.mu.Lock()
			defer e.paths.mu.Unlock()
			return len(e.paths.table.Helpers(e.options.Clock(), members[0].Address)) < len(entries)-1
		})
	}, 5*time.Second).Should(gomega.BeTrue())
	return u, entries
}

// TestStandstillIsNoBrokenPath guards against entries that go through others, or open any
// connection but a few, as all upstreams stand still for a moment.
func TestStandstillIsNoBrokenPath(t *testing.T) {
	g := gomega.NewWithT(t)
	const (
		standstill = 1500 * time.Millisecond
		// maxQuestions is four a second.
		maxQuestions = 8
	)
	u, entries := startCutEntries(t, 6)
	u.still.Lock()
	var requests sync.WaitGroup
	for n := range 30 {
		requests.Go(func() { entries[0].first("/ask/x", fmt.Sprint("still-", n), "{}") })
	}
	<-time.After(standstill)
	g.Expect(entries[0].meters.questions.Count()).To(gomega.BeNumerically(">", 0), "the paths were judged")
	u.still.Unlock()
	requests.Wait()
	g.Consistently(entries[0].paths.Broken, questionTimeout).Should(gomega.BeZero())
	g.Expect(entries[0].paths.Isolated()).To(gomega.BeFalse())
	g.Expect(entries[0].meters.tunnels.Count()).To(gomega.BeZero())
	g.Expect(entries[0].meters.questions.Count()).To(gomega.BeNumerically("<=", maxQuestions))
	asked := entries[0].meters.questions.Count()
	for n := range 20 {
		g.Expect(entries[0].first("/look/x", fmt.Sprint("after-", n), "{}")).To(gomega.BeTrue())
	}
	g.Expect(entries[0].meters.questions.Count()).To(gomega.Equal(asked), "all is well")
}

// TestEntriesWithoutAPathServeTheirCallers guards against an entry that serves nobody while its
// paths to all upstreams are cut, though other entries reach them.
func TestEntriesWithoutAPathServeTheirCallers(t *testing.T) {
	const (
		upstreams = 6
		cutFor    = 2 * time.Second
		interval  = 10 * time.Millisecond
		minServed = 0.95
		small     = "{}"
	)
	large := strings.Repeat("x", 4<<10)
	for name, tc := range map[string]struct {
		mode cutMode
		body string
		// detection is the time for which requests may fail after the cut began.
		detection time.Duration
	}{
		"resets":                  {resets, small, time.Second},
		"hangs":                   {hangs, small, time.Second},
		"refuses new connections": {refusesNew, small, time.Second},
		"holds all bytes":         {holds, small, 2 * time.Second},
		"holds large messages":    {holdsLarge, large, 2 * time.Second},
		"holds requests":          {holdsRequests, small, 2 * time.Second},
		"holds answers":           {holdsAnswers, small, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			mode := tc.mode
			g := gomega.NewWithT(t)
			_, entries := startCutEntries(t, upstreams)

			var sent, served [2]atomic.Int64
			var requests sync.WaitGroup
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			began := time.Now()
			cut := false
			for n := 0; time.Since(began) < tc.detection+cutFor; n++ {
				<-ticker.C
				if !cut && n == 50 {
					entries[0].path.set(mode)
					began, cut = time.Now(), true
				}
				counts := cut && time.Since(began) > tc.detection
				for i, e := range entries[:2] {
					path := []string{"/ask/x", "/book/x", "/look/x"}[n%3]
					requests.Go(func() {
						ok := e.first(path, fmt.Sprintf("%s-%d-%d", name, i, n), tc.body)
						if counts {
							sent[i].Add(1)
							if ok {
								served[i].Add(1)
							}
						}
					})
				}
			}
			requests.Wait()
			t.Logf("served at the first attempt: %d of %d at the entry that is cut off, %d of %d at another one", served[0].Load(), sent[0].Load(), served[1].Load(), sent[1].Load())
			for i := range sent {
				g.Expect(float64(served[i].Load())).To(gomega.BeNumerically(">=", minServed*float64(sent[i].Load())), "entry %d", i)
			}
			if mode != refusesNew {
				// Connections that live on may carry all requests.
				g.Expect(entries[0].paths.Broken()).To(gomega.BeNumerically(">", 0))
			}
			entries[0].path.set(whole)
			g.Eventually(entries[0].paths.Broken, time.Second).Should(gomega.BeZero(), "the way back")
			tunnels := entries[0].meters.tunnels.Count()
			for n := range 50 {
				g.Expect(entries[0].first("/look/x", fmt.Sprintf("%s-back-%d", name, n), tc.body)).To(gomega.BeTrue())
			}
			g.Expect(entries[0].meters.tunnels.Count()).To(gomega.Equal(tunnels))
		})
	}
}

// TestNoPathAtAllIsRefusedAtOnce guards against requests that go in circles, or wait, while no
// entry reaches any upstream: they are refused at once, as not run, with a time to return.
func TestNoPathAtAllIsRefusedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	_, entries := startCutEntries(t, 4)
	// The entries lose their paths in turn, so that each has been another's helper.
	for i, e := range entries {
		e.path.set(resets)
		for n := range 10 {
			g.Expect(e.first("/look/x", fmt.Sprintf("turn-%d-%d", i, n), "{}")).To(gomega.Equal(i < len(entries)-1))
		}
	}
	for i, e := range entries {
		request, err := http.NewRequest(http.MethodPost, e.url+"/book/x", strings.NewReader("{}"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		request.Host = "mill.example"
		request.Header.Set("X-Request-Id", fmt.Sprintf("none-%d", i))
		began := time.Now()
		response, err := http.DefaultClient.Do(request)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_ = response.Body.Close()
		g.Expect(response.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
		g.Expect(response.Header.Get("Retry-After")).NotTo(gomega.BeEmpty())
		g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 500*time.Millisecond))
	}
}

// pathSeeds are the seeds of the soak of path faults; the variable adds more.
var pathSeeds = []uint64{1, 112, 115, 120, 121}

const pathSeedsVariable = "HYSSOPLADDER_PATH_SOAK"

// TestPathFaultsInSeries guards against entries that take a path for whole or broken by what an
// earlier fault has left behind. Two entries lose their paths in all ways, again and again, also at
// the same time.
func TestPathFaultsInSeries(t *testing.T) {
	const (
		faults = 4
		// detection is the time for which requests may fail after a fault began.
		detection = 2 * time.Second
		interval  = 15 * time.Millisecond
		minServed = 0.95
	)
	seeds := slices.Clone(pathSeeds)
	more, _ := strconv.ParseUint(os.Getenv(pathSeedsVariable), 10, 32)
	for seed := range more {
		seeds = append(seeds, 100+seed)
	}
	large := strings.Repeat("x", 4<<10)
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			u, entries := startCutEntries(t, 6)
			var requests, disruptions sync.WaitGroup
			var stopping atomic.Bool
			// settled are the times from which on the callers of an entry whose paths have
			// changed are to be served, since the test began.
			var settled [2]atomic.Int64
			began := time.Now()
			for i, e := range entries {
				var sent, served atomic.Int64
				if i < 2 {
					random := rand.New(rand.NewPCG(seed, uint64(i)))
					change := func(m cutMode, atLeast time.Duration, spread int) {
						e.path.set(m)
						t.Logf("entry %d: paths are %d at %v", i, m, time.Since(began))
						settled[i].Store(int64(time.Since(began) + detection))
						<-time.After(atLeast + time.Duration(random.IntN(spread))*time.Millisecond)
					}
					disruptions.Go(func() {
						for range faults {
							change(cutMode(1+random.IntN(int(holdsAnswers))), detection, 2500)
							change(whole, 0, 1500)
						}
						change(whole, detection, 1000)
					})
				}
				requests.Go(func() {
					var sending sync.WaitGroup
					ticker := time.NewTicker(interval)
					defer ticker.Stop()
					for n := 0; !stopping.Load(); n++ {
						<-ticker.C
						sentAt := int64(time.Since(began))
						sending.Go(func() {
							ok := e.first([]string{"/ask/x", "/book/x", "/look/x"}[n%3], fmt.Sprintf("series%d-%d-%d", seed, i, n), large)
							// A helper may have lost its way as well.
							if sentAt < max(settled[0].Load(), settled[1].Load()) {
								return
							}
							sent.Add(1)
							if ok {
								served.Add(1)
							} else {
								t.Logf("entry %d: request %d of %v isn't served", i, n, time.Duration(sentAt))
							}
						})
					}
					sending.Wait()
					t.Logf("entry %d served %d of %d", i, served.Load(), sent.Load())
					g.Expect(sent.Load()).To(gomega.BeNumerically(">", 0))
					g.Expect(float64(served.Load())).To(gomega.BeNumerically(">=", minServed*float64(sent.Load())), "entry %d", i)
				})
			}
			disruptions.Wait()
			stopping.Store(true)
			requests.Wait()
			for id, n := range u.runs {
				if number, _ := strconv.Atoi(id[strings.LastIndex(id, "-")+1:]); strings.HasPrefix(id, "series") && number%3 == 1 {
					g.Expect(n).To(gomega.Equal(1), id)
				}
			}
			for _, e := range entries {
				g.Expect(e.paths.Broken()).To(gomega.BeZero())
			}
		})
	}
}
