package load

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/result"
)

// Range of the histograms, in microseconds.
const (
	lowestMicros      = 1
	highestMicros     = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// requestTimeout bounds one request.
const requestTimeout = 5 * time.Minute

// Options are the entries and the trace of a run.
type Options struct {
	// Entries get the requests in turn.
	Entries []netip.AddrPort
	Trace   []Arrival
	// Progress is called once a second with the counts so far.
	Progress func(sent, done, failed int)
}

// Group sums up the requests of one rank or caller.
type Group struct {
	Name     string `json:"name"`
	Sent     int    `json:"sent"`
	Answered int    `json:"answered"`
	Refused  int    `json:"refused"`
	Failed   int    `json:"failed"`
	// The times until the first token, or the headers of an answer that isn't
	// streamed, and until the end of the answer.
	FirstToken Quantiles `json:"firstTokenMillis"`
	Whole      Quantiles `json:"wholeMillis"`

	firstTokenHistogram, wholeHistogram *hdrhistogram.Histogram
}

// Quantiles sum up a histogram, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Report is the result of a run.
type Report struct {
	Ranks   []*Group `json:"ranks"`
	Callers []*Group `json:"callers"`
}

// outcome is the result of one request; neither refused nor failed means answered.
type outcome struct {
	firstToken, whole time.Duration
	refused, failed   bool
}

// Run sends the requests of the trace at their times and waits for all answers.
func Run(ctx context.Context, o Options) (*Report, error) {
	if len(o.Entries) == 0 || len(o.Trace) == 0 {
		return nil, errors.New("a run needs an entry and a trace")
	}
	c := newCollector()
	client := newClient()
	began := time.Now()
	var wg sync.WaitGroup
	stop := c.startProgress(ctx, o.Progress)
	for i, a := range o.Trace {
		if !sleepUntil(ctx, began.Add(time.Duration(a.AtMicros)*time.Microsecond)) {
			break
		}
		c.recordSent(a)
		wg.Go(func() { c.recordOutcome(a, send(ctx, client, o.Entries[i%len(o.Entries)], a)) })
	}
	wg.Wait()
	stop()
	return c.report(), nil
}

func newClient() *http.Client {
	return &http.Client{
		Timeout:   requestTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: 512, MaxResponseHeaderBytes: maxHeadBytes},
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func send(ctx context.Context, client *http.Client, entry netip.AddrPort, a Arrival) outcome {
	began := time.Now()
	r, err := newRequest(ctx, entry, a)
	if err != nil {
		return outcome{failed: true}
	}
	response, err := client.Do(r)
	if err != nil {
		return outcome{failed: true}
	}
	defer func() { _ = response.Body.Close() }()
	o := outcome{firstToken: time.Since(began)}
	switch {
	case response.StatusCode != http.StatusOK:
		o.refused = hasNotRun(response.Body)
		o.failed = !o.refused
	case a.Stream && a.Model != "":
		o.failed = !readStream(response.Body, func() { o.firstToken = time.Since(began) })
	default:
		_, err := io.Copy(io.Discard, response.Body)
		o.failed = err != nil
	}
	o.whole = time.Since(began)
	return o
}

// What is read of an entry's answer at most, in bytes: its head, and the body of an error.
const (
	maxHeadBytes    = 16 << 10
	maxProblemBytes = 16 << 10
)

// hasNotRun reports whether an error of an entry says that the request hasn't run.
func hasNotRun(body io.Reader) bool {
	var e result.Error
	err := json.NewDecoder(io.LimitReader(body, maxProblemBytes)).Decode(&e)
	return err == nil && e.Ran == result.RanNo
}

func newRequest(ctx context.Context, entry netip.AddrPort, a Arrival) (*http.Request, error) {
	url, body := "http://"+entry.String(), a.Prompt
	if a.Model != "" {
		url += "/v1/chat/completions"
		data, err := json.Marshal(map[string]any{
			"model":      a.Model,
			"messages":   []map[string]string{{"role": "user", "content": a.Prompt}},
			"max_tokens": a.Tokens,
			"stream":     a.Stream,
		})
		if err != nil {
			return nil, err
		}
		body = string(data)
	} else {
		url += "/services/" + a.Service + a.Path
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("X-Caller", a.Caller)
	if a.Call != "" {
		r.Header.Set("X-Call", a.Call)
	}
	if a.Key != "" {
		r.Header.Set("Idempotency-Key", a.Key)
	}
	return r, nil
}

// readStream reads an event stream and reports whether it is complete. It calls
// onFirstToken at the first event.
func readStream(r io.Reader, onFirstToken func()) bool {
	lines := bufio.NewScanner(r)
	seen := false
	for lines.Scan() {
		line := lines.Text()
		if strings.HasPrefix(line, "data:") && !seen {
			seen = true
			onFirstToken()
		}
		if line == "data: [DONE]" {
			return true
		}
	}
	return false
}

// collector counts outcomes, in total and by rank and caller.
type collector struct {
	mu             sync.Mutex
	ranks, callers map[string]*Group
	rankOrder      []string
	sent, done     int
	failed         int
	callerOrder    []string
}

func newCollector() *collector {
	return &collector{ranks: map[string]*Group{}, callers: map[string]*Group{}}
}

// findOrAddGroup returns the group of this name. It appends a new name to order.
func findOrAddGroup(groups map[string]*Group, order *[]string, name string) *Group {
	g, ok := groups[name]
	if !ok {
		g = &Group{
			Name:                name,
			firstTokenHistogram: hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
			wholeHistogram:      hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
		}
		groups[name] = g
		*order = append(*order, name)
	}
	return g
}

func (c *collector) groupsOf(a Arrival) [2]*Group {
	return [2]*Group{findOrAddGroup(c.ranks, &c.rankOrder, a.Rank), findOrAddGroup(c.callers, &c.callerOrder, a.Caller)}
}

func (c *collector) recordSent(a Arrival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	for _, g := range c.groupsOf(a) {
		g.Sent++
	}
}

func (c *collector) recordOutcome(a Arrival, o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.done++
	if o.failed {
		c.failed++
	}
	for _, g := range c.groupsOf(a) {
		switch {
		case o.refused:
			g.Refused++
		case o.failed:
			g.Failed++
		default:
			g.Answered++
			_ = g.firstTokenHistogram.RecordValue(o.firstToken.Microseconds())
			_ = g.wholeHistogram.RecordValue(o.whole.Microseconds())
		}
	}
}

// startProgress calls progress once a second until the returned function is called.
func (c *collector) startProgress(ctx context.Context, progress func(sent, done, failed int)) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	if progress == nil {
		return cancel
	}
	go func() {
		t := time.NewTicker(time.Second)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				c.mu.Lock()
				sent, done, failed := c.sent, c.done, c.failed
				c.mu.Unlock()
				progress(sent, done, failed)
			case <-ctx.Done():
				return
			}
		}
	}()
	return cancel
}

func (c *collector) report() *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &Report{}
	for _, name := range c.rankOrder {
		r.Ranks = append(r.Ranks, c.ranks[name].withQuantiles())
	}
	for _, name := range c.callerOrder {
		r.Callers = append(r.Callers, c.callers[name].withQuantiles())
	}
	return r
}

func (g *Group) withQuantiles() *Group {
	g.FirstToken, g.Whole = quantiles(g.firstTokenHistogram), quantiles(g.wholeHistogram)
	return g
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	millis := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: millis(50), P95: millis(95), P99: millis(99), Max: float64(h.Max()) / 1000}
}

// WriteTable writes the report as text tables.
func (r *Report) WriteTable(w io.Writer) {
	for _, table := range []struct {
		name   string
		groups []*Group
	}{{"RANK", r.Ranks}, {"CALLER", r.Callers}} {
		_, _ = fmt.Fprintf(w, "%-14s %6s %8s %7s %6s %10s %10s %10s\n", table.name, "SENT", "ANSWERED", "REFUSED", "FAILED", "FIRST P50", "FIRST P99", "WHOLE P99")
		for _, g := range table.groups {
			_, _ = fmt.Fprintf(w, "%-14s %6d %8d %7d %6d %8.1fms %8.1fms %8.1fms\n", g.Name, g.Sent, g.Answered, g.Refused, g.Failed,
				g.FirstToken.P50, g.FirstToken.P99, g.Whole.P99)
		}
	}
}
