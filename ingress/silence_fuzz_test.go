package ingress

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"
	"golang.org/x/time/rate"
	"pgregory.net/rapid"

	"github.com/hyssopladder/hyssopladder/call"
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/control"
	"github.com/hyssopladder/hyssopladder/exchange"
	"github.com/hyssopladder/hyssopladder/fleet"
	"github.com/hyssopladder/hyssopladder/link"
	"github.com/hyssopladder/hyssopladder/origin"
	"github.com/hyssopladder/hyssopladder/peer"
	"github.com/hyssopladder/hyssopladder/platform"
	"github.com/hyssopladder/hyssopladder/settings"
	"github.com/hyssopladder/hyssopladder/upstream"
	"github.com/hyssopladder/hyssopladder/usage"
)

func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "500")
}

// fate is how an upstream's answer ends if nobody closes its connection.
type fate int

const (
	sound fate = iota
	breaksOff
	resetsIt
	refuses
	fails
	neverAnswers
	// promises fails with a status that promises that the request hasn't run.
	promises
)

func (f fate) String() string {
	return [...]string{"sound", "breaks off", "resets", "refuses", "fails", "never answers", "promises"}[f]
}

// silence is a pause before the byte at an offset of an answer.
type silence struct {
	at     int
	length time.Duration
}

// script is what the upstream does with one attempt of a request.
type script struct {
	fate     fate
	framing  string
	silences []silence
	// readAfter is how long the upstream doesn't read the request.
	readAfter time.Duration
	// sent is where an answer breaks off.
	sent int
	// notice is a header of the answer, which says how the upstream wants to be used.
	notice string
}

// scripted is one request with the scripts of its attempts, and what became of it.
type scripted struct {
	route          config.Route
	size           int
	body           int
	at             time.Duration
	scripts        []script
	mu             sync.Mutex
	runs           []*run
	soundOnes, ran int
	status         int
	answer         string
	err            error
	took           time.Duration
}

// run is one attempt at an upstream.
type run struct {
	script
	// start is that of the scenario, wroteAt when something was sent, and closedAt when the
	// connection ended.
	start    time.Time
	wroteAt  []time.Time
	closedAt time.Time
}

// String describes the attempt.
func (r *run) String() string {
	return fmt.Sprintf("%v %s, reads after %v, silent %v, sent %d", r.fate, r.framing+" "+strings.TrimSpace(r.notice), r.readAfter, r.silences, r.sent)
}

// String lists what happened, for messages.
func (s *scripted) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := s.answer
	if len(answer) > 300 {
		answer = fmt.Sprintf("%q and %d more", answer[:100], len(answer)-100)
	}
	return fmt.Sprintf("%s resumable=%v, %d runs, %d bytes, at %v: attempts %v; status %d, %v, after %v, answer %s",
		s.route.Kind, s.route.Resumable, s.route.Attempts, s.size, s.at, s.runs, s.status, s.err, s.took, answer)
}

// text is the whole answer to an attempt, in the script's framing.
func (s *scripted) text(c *script, release string, number, last int) (text string) {
	var parts []string
	if s.route.Kind == config.Streaming {
		for n := last + 1; n <= 4; n++ {
			parts = append(parts, eventOf(release, n))
		}
	} else {
		// Answers of different attempts differ.
		for rest := s.size; rest > 0; rest -= 64 << 10 {
			parts = append(parts, strings.Repeat(string(rune('a'+number)), min(rest, 64<<10)))
		}
	}
	body := strings.Join(parts, "")
	framing := c.framing
	if framing == "close" && body == "" && s.route.Kind == config.Streaming {
		// Nothing would tell the end of a stream from a crash.
		framing = "length"
	}
	switch framing {
	case "length":
		text = answerHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
	case "chunks":
		text = chunkedHead
		for _, p := range parts {
			text += chunk(p)
		}
		text += lastChunk
	default:
		text = answerHead + "\r\n" + body
	}
	return text
}

// eventOf is an event of a stream that the release has begun.
func eventOf(release string, n int) string {
	return strings.Replace(event(n), "data: ", "data: "+release, 1)
}

// answerAttempt is the upstream, of the release.
func (s *scripted) answerAttempt(c *pipeEnd, release string, start time.Time) {
	defer func() { _ = c.Close() }()
	s.mu.Lock()
	number := len(s.runs)
	sc := &run{start: start, script: script{fate: refuses}}
	if number < len(s.scripts) {
		sc.script = s.scripts[number]
	}
	s.runs = append(s.runs, sc)
	s.mu.Unlock()
	c.onClose.Store(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if sc.closedAt.IsZero() {
			sc.closedAt = time.Now()
		}
	})
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	<-time.After(sc.readAfter)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	last := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &last)
	text := s.text(&sc.script, release, number, last)
	s.mu.Lock()
	if sc.fate != refuses {
		s.ran++
	}
	switch sc.fate {
	case refuses:
		text = "HTTP/1.1 503 Full\r\nX-Request-Id: " + requestID + "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	case fails:
		text = "HTTP/1.1 500 Broken\r\nX-Request-Id: " + requestID + "\r\nX-Replica-Seal: s\r\nContent-Length: 3\r\n\r\nwhy"
	case promises:
		text = "HTTP/1.1 503 Broken\r\nX-Request-Id: " + requestID + "\r\nX-Replica-Seal: s\r\nContent-Length: 3\r\n\r\nwhy"
	case sound:
		s.soundOnes++
	default:
	}
	s.mu.Unlock()
	text = strings.Replace(text, "X-Request-Id: "+requestID+"\r\n", "X-Request-Id: "+requestID+"\r\n"+sc.notice, 1)
	write := func(from, until int) error {
		_, err := io.WriteString(c, text[from:until])
		s.mu.Lock()
		defer s.mu.Unlock()
		// The parser of chunks holds back what it has of a chunk until the rest comes.
		if until > from || sc.framing == "chunks" {
			sc.wroteAt = append(sc.wroteAt, time.Now())
		}
		return err
	}
	end := len(text)
	if sc.fate == breaksOff || sc.fate == resetsIt {
		end = sc.sent % max(len(text)-1, 1)
		if sc.framing == "close" {
			// A close looks like the end.
			sc.fate = resetsIt
		}
	}
	at := 0
	for _, pause := range sc.silences {
		until := min(max(pause.at%(len(text)+1), at), end)
		if write(at, until) != nil {
			return
		}
		at = until
		<-time.After(pause.length)
	}
	switch err := write(at, end); {
	case err != nil:
	case sc.fate == resetsIt:
		c.reset()
	case sc.fate == neverAnswers:
		_, _ = io.Copy(io.Discard, c)
	default:
	}
}

// pipeEnd is an end of a connection in memory.
type pipeEnd struct {
	net.Conn
	*pipeState
}

// pipeState is shared by both ends of a connection.
type pipeState struct {
	broken  atomic.Bool
	onClose atomic.Value
}

func newPipe() (here, there *pipeEnd) {
	a, b := net.Pipe()
	state := &pipeState{}
	return &pipeEnd{a, state}, &pipeEnd{b, state}
}

// Close implements net.Conn.
func (w *pipeEnd) Close() error {
	if onClose, ok := w.onClose.Load().(func()); ok {
		onClose()
	}
	return w.Conn.Close()
}

func (w *pipeEnd) reset() {
	w.broken.Store(true)
	_ = w.Close()
}

// Read implements net.Conn.
func (w *pipeEnd) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	if errors.Is(err, io.EOF) && w.broken.Load() {
		err = unix.ECONNRESET
	}
	return n, err
}

// memoryListener accepts connections in memory.
type memoryListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newMemoryListener() *memoryListener {
	return &memoryListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *memoryListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	a, b := net.Pipe()
	select {
	case l.conns <- b:
		return a, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// change is a change of the configuration or of the directory.
type change struct {
	at   time.Duration
	what string
	who  int
}

// changes are the kinds of changes.
var changes = []string{"remove service", "restore service", "engine", "memory", "ended", "leaving", "replace address", "new run", "new upstream", "close idle", "paths changed", "slots"}

// scenario is a case of the fuzz.
type scenario struct {
	upstreams int
	slots     int
	requests  []*scripted
	changes   []change
	// mu guards releases, by address, and the upstreams that have been announced.
	mu       sync.Mutex
	releases map[netip.AddrPort]string
}

const scenarioTimeout = 20 * time.Second

func upstreamAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+n))
}

func memberOf(n, slots int) upstream.Member {
	zone := "a"
	if n > 0 {
		zone = "b"
	}
	return upstream.Member{Announcement: upstream.Announcement{
		ID: fmt.Sprintf("u%d", n), Incarnation: 1, Sequence: 1, Address: upstreamAddress(n), Zone: zone, Release: []string{"v1", "v1", "v2", "v1"}[n%4], Slots: slots, Services: []string{"s"}, Lease: time.Minute,
	}}
}

// play plays the scenario at an entry, in a time of its own, and returns what is wrong.
func (s *scenario) play(t *testing.T) (faults []string) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		now := func() clock.Instant { return time.Hour + time.Since(start) }
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var attempts sync.WaitGroup
		dial := func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			here, there := newPipe()
			r, _ := ctx.Value(scriptedKey{}).(*scripted)
			if r == nil {
				_ = there.Close()
				return here, nil
			}
			release := s.releaseAt(address)
			attempts.Go(func() { r.answerAttempt(there, release, start) })
			return here, nil
		}
		in := newVirtualIngress(ctx, now, dial)
		members := map[int]*upstream.Member{}
		var list []upstream.Member
		for n := range s.upstreams {
			m := memberOf(n, s.slots)
			members[n] = &m
			list = append(list, m)
		}
		s.releases = map[netip.AddrPort]string{}
		s.announce(in, list...)
		l := newMemoryListener()
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, httpRequest *http.Request) {
			var n int
			_, _ = fmt.Sscan(httpRequest.Header.Get(headerCase), &n)
			r := s.requests[n]
			body, _ := io.ReadAll(httpRequest.Body)
			in.forward(w, httpRequest.WithContext(context.WithValue(httpRequest.Context(), scriptedKey{}, r)), &request{
				Request: call.Request{ID: requestID}, arrived: now(), deadline: now() + r.route.Timeout, body: body, hasBody: len(body) > 0,
				method: httpRequest.Method, target: httpRequest.RequestURI, host: "h", header: httpRequest.Header, route: &r.route, service: "s",
			})
		})}
		go func() { _ = server.Serve(l) }()
		client := &http.Client{Transport: &http.Transport{DialContext: l.dial, DisableKeepAlives: true}}
		var wg sync.WaitGroup
		for i, r := range s.requests {
			wg.Go(func() {
				<-time.After(r.at)
				began := time.Now()
				request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://h/", strings.NewReader(strings.Repeat("b", r.body)))
				request.Header.Set(headerCase, fmt.Sprint(i))
				response, err := client.Do(request)
				if err == nil {
					var body []byte
					body, err = io.ReadAll(response.Body)
					_ = response.Body.Close()
					r.status, r.answer = response.StatusCode, string(body)
				}
				r.err, r.took = err, time.Since(began)
			})
		}
		for _, c := range s.changes {
			wg.Go(func() {
				<-time.After(c.at)
				s.apply(in, c, members)
			})
		}
		wg.Wait()
		closed := make(chan struct{})
		go func() {
			attempts.Wait()
			close(closed)
		}()
		select {
		case <-closed:
		case <-time.After(scenarioTimeout):
			faults = append(faults, "a connection to an upstream stays open")
		}
		synctest.Wait()
		in.dispatcher.mu.Lock()
		if open, waiters, work := in.dispatcher.fleet.Open(), len(in.dispatcher.waiters), in.dispatcher.fleet.Work(); open+waiters+len(work) > 0 {
			faults = append(faults, fmt.Sprintf("left: %d tickets, %d waiters, work %v", open, waiters, work))
		}
		in.dispatcher.mu.Unlock()
		for _, r := range s.requests {
			if fault := r.fault(); fault != "" {
				faults = append(faults, fault+": "+r.String())
			}
		}
		_ = server.Close()
		cancel()
	})
	return faults
}

// releaseAt is the release of the upstream at the address.
func (s *scenario) releaseAt(address netip.AddrPort) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.releases[address]
}

// announce tells the entry of upstreams.
func (s *scenario) announce(in *Ingress, members ...upstream.Member) {
	for _, m := range members {
		s.releases[m.Address] = m.Release
	}
	in.mergeMembers(members)
}

// scriptedKey is that of a request in its context.
type scriptedKey struct{}

// apply makes a change. members are the upstreams that have been announced.
func (s *scenario) apply(in *Ingress, c change, members map[int]*upstream.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := members[c.who%s.upstreams]
	service := config.Service{Name: "s"}
	revision := func(services ...config.Service) {
		in.applyConfig(config.NewTable(&config.Revision{Number: 1, Services: services}))
	}
	announce := func() {
		m.Sequence++
		s.announce(in, *m)
	}
	switch c.what {
	case "remove service":
		revision()
	case "restore service":
		revision(service)
	case "engine":
		service.Engine = &config.Engine{MemoryTokens: 1000}
		revision(service)
	case "memory":
		service.Engine = &config.Engine{MemoryTokens: 1}
		revision(service)
	case "ended":
		m.Ended = true
		s.announce(in, *m)
	case "leaving":
		m.Leaving = true
		announce()
	case "replace address":
		other := *m
		other.ID, other.Incarnation = "o"+m.ID, m.Incarnation+1
		other.Release = "v2"
		s.announce(in, other)
	case "new run":
		m.Incarnation++
		m.Leaving, m.Ended, m.Release = false, false, "v2"
		announce()
	case "new upstream":
		s.announce(in, memberOf(s.upstreams+c.who, s.slots))
	case "close idle":
		in.upstreamClient.CloseIdle(m.Address)
	case "paths changed":
		in.pathsChanged(c.who%2 == 0)
	case "slots":
		m.Slots = 1 + c.who%2
		announce()
	}
}

// fault says what is wrong with the answer to the request; "" if nothing is.
func (s *scripted) fault() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.took > s.route.Timeout+500*time.Millisecond {
		return "late"
	}
	if s.ran > 1 && !s.route.Repeatable() {
		return "ran twice"
	}
	if s.ran > s.route.Attempts {
		return "ran too often"
	}
	if s.err == nil && s.ran > 0 && platform.PromisesNotRun(s.status) {
		return "a status promises that it hasn't run"
	}
	if s.err == nil && s.status == http.StatusOK {
		if s.route.Kind == config.Streaming {
			for _, release := range []string{"v1", "v2"} {
				if s.answer == eventOf(release, 1)+eventOf(release, 2)+eventOf(release, 3)+eventOf(release, 4) {
					return ""
				}
			}
			return "not whole"
		}
		if len(s.answer) != s.size || strings.Trim(s.answer, s.answer[:min(1, len(s.answer))]) != "" {
			return "not whole"
		}
		return ""
	}
	if s.err == nil && s.status == http.StatusInternalServerError && s.answer == "why" {
		return ""
	}
	if s.err == nil {
		var p struct {
			Ran string `json:"ran"`
		}
		if err := json.Unmarshal([]byte(s.answer), &p); err != nil {
			return "no answer"
		}
		if p.Ran == "no" {
			if s.ran > 0 {
				return "a refusal says that it hasn't run"
			}
			return ""
		}
	}
	if s.took >= s.route.Timeout {
		if !slices.ContainsFunc(s.runs, func(r *run) bool { return r.fate == neverAnswers && !r.endedBefore(s.at+s.route.Timeout) }) {
			return "left waiting"
		}
		return ""
	}
	if s.soundOnes > 0 && !s.excused() {
		return "lost"
	}
	return ""
}

// excused reports whether each sound upstream was left as another one had just gone on with the
// request, which didn't end it. Streams may be at two upstreams for a moment only, and what
// has been sent of another answer can't be replaced.
func (s *scripted) excused() bool {
	if s.status == http.StatusOK && s.route.Kind != config.Streaming && s.answer != "" {
		number := int(s.answer[0] - 'a')
		return number < len(s.runs) && (s.runs[number].fate == breaksOff || s.runs[number].fate == resetsIt)
	}
	for _, r := range s.runs {
		if r.fate != sound || r.closedAt.IsZero() {
			continue
		}
		if !slices.ContainsFunc(s.runs, func(other *run) bool { return other != r && other.wroteBefore(r.closedAt) }) {
			return false
		}
	}
	return true
}

// endedBefore reports whether the connection ended before the instant of the scenario.
func (r *run) endedBefore(at time.Duration) bool {
	return !r.closedAt.IsZero() && r.closedAt.Sub(r.start) < at
}

// wroteBefore reports whether the upstream sent something just before the instant.
func (r *run) wroteBefore(at time.Time) bool {
	return slices.ContainsFunc(r.wroteAt, func(w time.Time) bool { return !w.After(at) && at.Sub(w) <= maxOverlap })
}

// newVirtualIngress is an entry without listeners.
func newVirtualIngress(ctx context.Context, now clock.Clock, dial exchange.Dial) *Ingress {
	m := newMeters(metrics.NewRegistry())
	upstreamClient := exchange.NewWithDial(dial, func() {})
	in := &Ingress{
		options:        Options{Clock: now, Settings: settings.Ingress{UsageWindow: time.Second}},
		dispatcher:     newDispatcher(ctx, now, fleet.New(fleet.Options{Zone: "a", RetryRatio: 1, RetrySlack: 100, Entries: 1, DrainWithin: time.Second}), upstreamClient.Refuses),
		upstreamClient: upstreamClient,
		link:           link.New(ctx, link.Options{Clock: now, PeerClient: peer.NewClient(), BuildUsageReport: func(time.Time) control.AccountRequest { return control.AccountRequest{} }}),
		meters:         newMeters(metrics.NewRegistry()),
		usage:          usage.NewMeter(),
		origins:        origin.New(),
		unreadable:     rate.NewLimiter(rate.Inf, 1),
	}
	in.paths = newPathDialer(ctx, now, dial, &m, in.pathHooks())
	return in
}

func drawSilences() *rapid.Generator[[]silence] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) silence {
		return silence{
			at:     rapid.OneOf(rapid.IntRange(0, 250), rapid.IntRange(0, 400<<10), rapid.IntRange(0, 40)).Draw(t, "at"),
			length: rapid.SampledFrom([]time.Duration{1300 * time.Millisecond, 300 * time.Millisecond, 1050 * time.Millisecond, 1900 * time.Millisecond}).Draw(t, "for"),
		}
	}), 0, 3)
}

func drawScript() *rapid.Generator[script] {
	return rapid.Custom(func(t *rapid.T) script {
		return script{
			fate:      rapid.SampledFrom([]fate{sound, sound, sound, breaksOff, resetsIt, refuses, fails, neverAnswers, promises}).Draw(t, "fate"),
			framing:   rapid.SampledFrom([]string{"length", "chunks", "close"}).Draw(t, "framing"),
			silences:  drawSilences().Draw(t, "silences"),
			readAfter: rapid.SampledFrom([]time.Duration{0, 0, 0, 1300 * time.Millisecond}).Draw(t, "readAfter"),
			notice:    rapid.SampledFrom([]string{"", "", "", "", "Server-Leaving: 1\r\n", "Retry-After: 1\r\n", "Server-Limit: 0.5\r\n"}).Draw(t, "notice"),
			sent:      rapid.IntRange(0, 400<<10).Draw(t, "sent"),
		}
	})
}

func drawRequest() *rapid.Generator[*scripted] {
	kinds := []config.Route{{Kind: config.NonIdempotent}, {Kind: config.Idempotent}, {Kind: config.Streaming}, resumable, resumable}
	return rapid.Custom(func(t *rapid.T) *scripted {
		r := &scripted{
			route:   rapid.SampledFrom(kinds).Draw(t, "kind"),
			size:    rapid.SampledFrom([]int{0, 1 << 10, 300 << 10}).Draw(t, "size"),
			body:    rapid.SampledFrom([]int{0, 100, 20 << 10}).Draw(t, "body"),
			at:      time.Duration(rapid.IntRange(0, 30).Draw(t, "at")) * 100 * time.Millisecond,
			scripts: rapid.SliceOfN(drawScript(), 1, 5).Draw(t, "scripts"),
		}
		r.route.Timeout, r.route.Target = scenarioTimeout, time.Second
		r.route.Attempts = rapid.IntRange(1, 4).Draw(t, "attempts")
		return r
	})
}

func drawScenario(t *rapid.T) *scenario {
	return &scenario{
		upstreams: rapid.IntRange(1, 4).Draw(t, "upstreams"),
		slots:     rapid.SampledFrom([]int{8, 1, 2}).Draw(t, "slots"),
		requests:  rapid.SliceOfN(drawRequest(), 1, 4).Draw(t, "requests"),
		changes: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) change {
			return change{
				at:   time.Duration(rapid.IntRange(0, 60).Draw(t, "at")) * 100 * time.Millisecond,
				what: rapid.SampledFrom(changes).Draw(t, "what"),
				who:  rapid.IntRange(0, 3).Draw(t, "who"),
			}
		}), 0, 4).Draw(t, "changes"),
	}
}

// TestNothingIsLostToSilencesAndChanges guards against a request that ends without a whole answer
// or a refusal though its upstream would have gone on, beside changes of the configuration.
func TestNothingIsLostToSilencesAndChanges(t *testing.T) {
	_ = newMeters(metrics.NewRegistry())
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		gomega.NewWithT(rt).Expect(s.play(t)).To(gomega.BeEmpty())
	})
}
