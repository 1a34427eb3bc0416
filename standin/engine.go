package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/chat"
	"github.com/hyssopladder/hyssopladder/route"
	"github.com/hyssopladder/hyssopladder/service"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// Options are common to all stand-ins.
type Options struct {
	ID     string
	Zone   string
	Class  string
	Listen netip.AddrPort
	// Advertise is the address to announce; by default the one listened on.
	Advertise netip.AddrPort
	// Entries are the peer addresses of the entries to announce to, and Lease is
	// how long an announcement is valid.
	Entries []netip.AddrPort
	Lease   time.Duration
	// Slots is the number of slots to announce. An engine runs at most that many
	// requests at once; a plain service has no limit.
	Slots int
	// Names are the models of an engine, or the services of a plain service.
	Names []string
	// Prefill is the time for one prompt token that isn't cached; Decode is
	// the time for one generated token, or for one plain call.
	Prefill time.Duration
	Decode  time.Duration
	// CacheBlocks is the number of prompt blocks that an engine caches.
	CacheBlocks int
	// CrashOn makes an engine stop without a notice when a prompt contains it.
	CrashOn string
}

// heartbeatInterval is the time between two heartbeats of a stream that waits for
// a slot.
const heartbeatInterval = 300 * time.Millisecond

// defaultTokens is the length of an answer if the caller sets none.
const defaultTokens = 64

// Engine is a model engine with continuous batching, a prefix cache and
// resumable streams. Its answers depend only on the prompt.
type Engine struct {
	// Address is where it listens.
	Address   netip.AddrPort
	options   Options
	announcer *announcer
	cancel    context.CancelFunc
	slots     chan struct{}
	running   atomic.Int64
	queued    atomic.Int64
	// Counters of prompt and output tokens computed.
	prefilled, decoded atomic.Int64
	mu                 sync.Mutex
	// lastUses maps the hash of each cached prompt block to its last use, counted
	// by useCount.
	lastUses map[uint64]int64
	useCount int64
	done     chan struct{}
}

// NewEngine starts an engine; it ends with ctx.
func NewEngine(ctx context.Context, o Options) (*Engine, error) {
	ctx, cancel := context.WithCancel(ctx)
	e := &Engine{
		options:  o,
		cancel:   cancel,
		slots:    make(chan struct{}, o.Slots),
		lastUses: map[uint64]int64{},
		done:     make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	mux.HandleFunc("POST /control/reclaim", func(w http.ResponseWriter, r *http.Request) {
		serveReclaim(w, r, e.Reclaim)
	})
	mux.HandleFunc("GET /control/stats", e.serveStats)
	address, err := serve(ctx, o.Listen, mux, e.done)
	if err != nil {
		cancel()
		return nil, err
	}
	e.Address = address
	e.announcer = newAnnouncer(ctx, o.announcement(address, service.Model), o.Entries, e.load)
	return e, nil
}

func (o *Options) announcement(address netip.AddrPort, kind service.Kind) upstream.Announcement {
	if o.Advertise.IsValid() {
		address = o.Advertise
	}
	a := upstream.Announcement{
		ID:          o.ID,
		Incarnation: uint64(time.Now().UnixMicro()),
		Address:     address,
		Zone:        o.Zone,
		Class:       o.Class,
		Reclaimable: true,
		Kind:        kind,
		Lease:       o.Lease,
		Slots:       o.Slots,
	}
	if kind == service.Model {
		a.Models = o.Names
	} else {
		a.Services = o.Names
	}
	return a
}

// serve starts a server that closes all connections when ctx ends. It closes done
// when it has stopped.
func serve(ctx context.Context, listen netip.AddrPort, handler http.Handler, done chan struct{}) (netip.AddrPort, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", listen.String())
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go func() {
		_ = server.Serve(l)
		close(done)
	}()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// serveReclaim handles the request by which a test reclaims the instance.
func serveReclaim(w http.ResponseWriter, r *http.Request, f func(time.Duration)) {
	notice, err := time.ParseDuration(r.URL.Query().Get("notice"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f(notice)
}

// Reclaim announces that the engine leaves and stops it after the notice.
func (e *Engine) Reclaim(notice time.Duration) {
	e.announcer.announceLeaving(notice)
	time.AfterFunc(notice, e.cancel)
}

// Close stops the engine without a notice.
func (e *Engine) Close() { e.cancel() }

// Done is closed when the engine has stopped.
func (e *Engine) Done() <-chan struct{} { return e.done }

func (e *Engine) load() upstream.Load {
	return upstream.Load{Running: int(e.running.Load()), Queued: int(e.queued.Load())}
}

// Stats are an engine's counters.
type Stats struct {
	Running   int64 `json:"running"`
	Prefilled int64 `json:"prefilled"`
	Decoded   int64 `json:"decoded"`
}

// Stats returns the counters.
func (e *Engine) Stats() Stats {
	return Stats{Running: e.running.Load(), Prefilled: e.prefilled.Load(), Decoded: e.decoded.Load()}
}

func (e *Engine) serveStats(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(e.Stats())
}

type engineRequest struct {
	Model     string         `json:"model"`
	Messages  []chat.Message `json:"messages"`
	MaxTokens int            `json:"max_tokens"`
	Resume    chat.Resume    `json:"resume"`
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var request engineRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, `{"detail":"body"}`, http.StatusBadRequest)
		return
	}
	if e.announcer.isLeaving() {
		w.Header().Set("X-Ran", "no")
		http.Error(w, `{"detail":"leaving"}`, http.StatusServiceUnavailable)
		return
	}
	prompt := chat.Prompt(request.Model, request.Messages)
	if e.options.CrashOn != "" && strings.Contains(prompt, e.options.CrashOn) {
		e.cancel()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	if !e.acquireSlot(r.Context(), w, rc) {
		return
	}
	defer func() {
		e.running.Add(-1)
		<-e.slots
	}()
	e.generate(r.Context(), w, rc, &request, prompt)
}

// acquireSlot waits for a slot and sends heartbeats meanwhile. It returns false if
// ctx ends first.
func (e *Engine) acquireSlot(ctx context.Context, w http.ResponseWriter, rc *http.ResponseController) bool {
	e.queued.Add(1)
	defer e.queued.Add(-1)
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for {
		_, _ = fmt.Fprint(w, ": waiting\n\n")
		_ = rc.Flush()
		select {
		case e.slots <- struct{}{}:
			e.running.Add(1)
			return true
		case <-ctx.Done():
			return false
		case <-t.C:
		}
	}
}

// generate streams the answer, from the resumed offset on. The tokens before that
// offset are prefilled like the prompt.
func (e *Engine) generate(ctx context.Context, w http.ResponseWriter, rc *http.ResponseController, r *engineRequest, prompt string) {
	uncached := e.prefill(prompt) + r.Resume.Offset
	e.prefilled.Add(int64(uncached))
	if !sleep(ctx, time.Duration(uncached)*e.options.Prefill) {
		return
	}
	total := r.MaxTokens
	if total == 0 {
		total = defaultTokens
	}
	for i := r.Resume.Offset; i < total; i++ {
		if !sleep(ctx, e.options.Decode) {
			return
		}
		e.decoded.Add(1)
		text, _ := json.Marshal(Token(prompt, i))
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%s}}]}\n\n", i, text)
		if rc.Flush() != nil {
			return
		}
	}
	_, _ = fmt.Fprintf(w, "id: %d\ndata: [DONE]\n\n", total)
}

// prefill adds the prompt to the cache and returns the number of tokens that were
// not cached.
func (e *Engine) prefill(prompt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	uncached := route.Tokens(prompt)
	blocks := route.Prefixes(prompt)
	for _, b := range blocks {
		if _, ok := e.lastUses[b]; ok {
			uncached -= route.BlockTokens
		}
		e.useCount++
		e.lastUses[b] = e.useCount
	}
	for len(e.lastUses) > max(e.options.CacheBlocks, len(blocks)) {
		e.evict()
	}
	return max(uncached, 0)
}

// evict removes the least recently used block from the cache.
func (e *Engine) evict() {
	var oldest uint64
	lowestUse := int64(-1)
	for b, lastUse := range e.lastUses {
		if lowestUse < 0 || lastUse < lowestUse {
			oldest, lowestUse = b, lastUse
		}
	}
	delete(e.lastUses, oldest)
}

// sleep returns false if ctx ends before the time is over.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Token returns the token at an offset of the answer to a prompt.
func Token(prompt string, offset int) string {
	return fmt.Sprintf("%04x ", uint16(xxhash.Sum64String(fmt.Sprintf("%s#%d", prompt, offset))))
}

// Answer returns the complete answer to a single message of a user.
func Answer(model, content string, tokens int) string {
	quoted, _ := json.Marshal(content)
	prompt := chat.Prompt(model, []chat.Message{{Role: "user", Content: quoted}})
	var b strings.Builder
	for i := range tokens {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}
