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
)

// Range of the histograms, in microseconds.
const (
	lowestMicros  = 1
	highestMicros = int64(10 * time.Minute / time.Microsecond)
	digits        = 3
)

// requestTimeout bounds one request.
const requestTimeout = 5 * time.Minute

// Options shape a run.
type Options struct {
	// Entries are where requests go in turn.
	Entries []netip.AddrPort
	Trace   []Arrival
	// Progress is called once a second with the counts so far.
	Progress func(sent, done, failed int)
}

// Group is the outcome of one rank or caller.
type Group struct {
	Name     string `json:"name"`
	Sent     int    `json:"sent"`
	Answered int    `json:"answered"`
	Refused  int    `json:"refused"`
	Failed   int    `json:"failed"`
	// The times to the first token and to the end, in milliseconds.
	FirstToken Quantiles `json:"firstTokenMillis"`
	Whole      Quantiles `json:"wholeMillis"`

	first, whole *hdrhistogram.Histogram
}

// Quantiles sum up a histogram.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Report is the outcome of a run.
type Report struct {
	Ranks   []*Group `json:"ranks"`
	Callers []*Group `json:"callers"`
}

// outcome is that of one request.
type outcome struct {
	first, whole    time.Duration
	refused, failed bool
}

// Run sends the trace and waits for all answers.
func Run(ctx context.Context, o Options) (*Report, error) {
	if len(o.Entries) == 0 || len(o.Trace) == 0 {
		return nil, errors.New("a run needs an entry and a trace")
	}
	c := newCollector()
	client := &http.Client{
		Timeout:   requestTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: 512},
	}
	began := time.Now()
	var wait sync.WaitGroup
	stop := c.watch(ctx, o.Progress)
	for i, a := range o.Trace {
		if !sleepUntil(ctx, began.Add(time.Duration(a.AtMicros)*time.Microsecond)) {
			break
		}
		c.sent(a)
		wait.Go(func() { c.done(a, send(ctx, client, o.Entries[i%len(o.Entries)], a)) })
	}
	wait.Wait()
	stop()
	return c.report(), nil
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
	r, err := request(ctx, entry, a)
	if err != nil {
		return outcome{failed: true}
	}
	response, err := client.Do(r)
	if err != nil {
		return outcome{failed: true}
	}
	defer func() { _ = response.Body.Close() }()
	o := outcome{first: time.Since(began)}
	switch {
	case response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusServiceUnavailable:
		o.refused = true
	case response.StatusCode != http.StatusOK:
		o.failed = true
	case a.Stream && a.Model != "":
		o.failed = !readStream(response.Body, func() { o.first = time.Since(began) })
	default:
		_, err := io.Copy(io.Discard, response.Body)
		o.failed = err != nil
	}
	o.whole = time.Since(began)
	return o
}

func request(ctx context.Context, entry netip.AddrPort, a Arrival) (*http.Request, error) {
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

// readStream reads an event stream and reports whether it was whole.
func readStream(r io.Reader, first func()) bool {
	lines := bufio.NewScanner(r)
	seen := false
	for lines.Scan() {
		line := lines.Text()
		if strings.HasPrefix(line, "data:") && !seen {
			seen = true
			first()
		}
		if line == "data: [DONE]" {
			return true
		}
	}
	return false
}

// collector gathers outcomes.
type collector struct {
	mu               sync.Mutex
	ranks, callers   map[string]*Group
	order            []string
	sentAll, doneAll int
	failedAll        int
	callerOrder      []string
}

func newCollector() *collector {
	return &collector{ranks: map[string]*Group{}, callers: map[string]*Group{}}
}

func group(groups map[string]*Group, order *[]string, name string) *Group {
	g, ok := groups[name]
	if !ok {
		g = &Group{
			Name:  name,
			first: hdrhistogram.New(lowestMicros, highestMicros, digits),
			whole: hdrhistogram.New(lowestMicros, highestMicros, digits),
		}
		groups[name] = g
		*order = append(*order, name)
	}
	return g
}

func (c *collector) both(a Arrival) [2]*Group {
	return [2]*Group{group(c.ranks, &c.order, a.Rank), group(c.callers, &c.callerOrder, a.Caller)}
}

func (c *collector) sent(a Arrival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sentAll++
	for _, g := range c.both(a) {
		g.Sent++
	}
}

func (c *collector) done(a Arrival, o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.doneAll++
	if o.failed {
		c.failedAll++
	}
	for _, g := range c.both(a) {
		switch {
		case o.refused:
			g.Refused++
		case o.failed:
			g.Failed++
		default:
			g.Answered++
			_ = g.first.RecordValue(o.first.Microseconds())
			_ = g.whole.RecordValue(o.whole.Microseconds())
		}
	}
}

// watch reports progress once a second until the returned function is called.
func (c *collector) watch(ctx context.Context, progress func(sent, done, failed int)) (stop func()) {
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
				sent, done, failed := c.sentAll, c.doneAll, c.failedAll
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
	for _, name := range c.order {
		r.Ranks = append(r.Ranks, c.ranks[name].summed())
	}
	for _, name := range c.callerOrder {
		r.Callers = append(r.Callers, c.callers[name].summed())
	}
	return r
}

func (g *Group) summed() *Group {
	g.FirstToken, g.Whole = quantiles(g.first), quantiles(g.whole)
	return g
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	millis := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: millis(50), P95: millis(95), P99: millis(99), Max: float64(h.Max()) / 1000}
}

// Table writes the report for a person.
func (r *Report) Table(w io.Writer) {
	for _, part := range []struct {
		name   string
		groups []*Group
	}{{"RANK", r.Ranks}, {"CALLER", r.Callers}} {
		_, _ = fmt.Fprintf(w, "%-14s %6s %8s %7s %6s %10s %10s %10s\n", part.name, "SENT", "ANSWERED", "REFUSED", "FAILED", "FIRST P50", "FIRST P99", "WHOLE P99")
		for _, g := range part.groups {
			_, _ = fmt.Fprintf(w, "%-14s %6d %8d %7d %6d %8.1fms %8.1fms %8.1fms\n", g.Name, g.Sent, g.Answered, g.Refused, g.Failed,
				g.FirstToken.P50, g.FirstToken.P99, g.Whole.P99)
		}
	}
}
