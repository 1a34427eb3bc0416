package ingress

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/call"
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/problem"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/fleet"
	"github.com/hyssopladder/hyssopladder/platform"
	"github.com/hyssopladder/hyssopladder/quota"
	"github.com/hyssopladder/hyssopladder/result"
)

// defaultMaxBody bounds bodies where the configuration states no limit.
const defaultMaxBody = 4 << 20

// request is one caller's request on its way.
type request struct {
	call.Request
	arrived  clock.Instant
	deadline clock.Instant
	method   string
	target   string
	host     string
	header   http.Header
	body     []byte
	hasBody  bool
	route    *config.Route
	org      *config.Organisation
	service  string
	rank     int
	revision uint64
	// charged is what the request took from the quota at the instant.
	charged  float64
	admitted clock.Instant
}

// organisation is the name that the upstream is told, "" on public routes.
func (r *request) organisation() string {
	if r.org == nil {
		return ""
	}
	return r.org.Name
}

// serve answers one caller.
func (in *Ingress) serve(w http.ResponseWriter, h *http.Request) {
	in.meters.requests.Inc(1)
	if in.stopping.Load() {
		// The caller's next request goes to another entry.
		w.Header().Set("Connection", "close")
	}
	r, err := in.accept(w, h)
	if err != nil {
		in.refuse(w, r, err)
		return
	}
	in.forward(w, h, r)
}

// refuse answers a request that has not run, or whose outcome the error tells.
func (in *Ingress) refuse(w http.ResponseWriter, r *request, cause error) {
	e := result.From(cause)
	in.meters.refused(e.Code.String())
	if e.Ran == result.RanNo {
		in.refund(r)
	}
	klog.InfoS("request refused", "request", r.ID, "route", r.routeName(), "organisation", r.organisation(), "revision", r.revision,
		"code", int(e.Code), "reason", e.Title, "detail", e.Detail, "ran", e.Ran, "retryAfter", e.RetryAfter, "held", in.options.Clock()-r.arrived)
	switch e.Code {
	case result.ConfigNotConfirmed, result.NotReady:
		// Another entry may serve the caller, and a new connection finds it.
		w.Header().Set("Connection", "close")
	default:
	}
	platform.SetRequestID(w.Header(), r.ID)
	if e.RetryAfter > 0 {
		platform.SetRetryAfter(w.Header(), e.RetryAfter)
	}
	problem.Write(w, e)
}

func (r *request) routeName() string {
	if r.route == nil {
		return ""
	}
	return r.route.Name
}

// accept reads a request and checks whether it may be served. The request is
// never nil.
func (in *Ingress) accept(w http.ResponseWriter, h *http.Request) (*request, error) {
	r := &request{
		arrived: in.options.Clock(), method: h.Method, target: h.RequestURI, host: h.Host, header: h.Header,
	}
	said, err := platform.DecodeRequest(h.Header)
	r.Request = said
	if err != nil {
		return r, result.New(result.BadRequest, result.RanNo, "%v", err)
	}
	if !strings.HasPrefix(r.target, "/") {
		return r, result.New(result.BadRequest, result.RanNo, "the target is not a path")
	}
	table := in.link.Table()
	if table == nil {
		return r, result.New(result.NotReady, result.RanNo, "there is no configuration yet").WithRetry(notReadyRetry)
	}
	r.revision = table.Revision.Number
	path, _, _ := strings.Cut(r.target, "?")
	if r.route = table.Route(r.host, path); r.route == nil {
		return r, result.New(result.NoRoute, result.RanNo, "no route for %s%s", r.host, path)
	}
	if err := in.identify(r, table); err != nil {
		return r, err
	}
	if err := r.read(w, h, table.Revision.Limits); err != nil {
		return r, err
	}
	wait := r.route.Timeout
	if r.Patience > 0 {
		wait = min(wait, r.Patience)
	}
	r.deadline = r.arrived + wait
	r.service = r.route.Pick(point(r.ID))
	r.rank = rank(r.route, r.org)
	return r, in.charge(h.Context(), r)
}

// routeRanks is the number of ranks of routes that are told apart within one
// rank of organisations; engines know ten ranks in all.
const routeRanks = 3

// rank orders requests by the rank of their organisation, and those of equal
// organisations by the rank of their route.
func rank(route *config.Route, org *config.Organisation) int {
	if org == nil || org.Rank == nil {
		return min(route.Rank, routeRanks-1)
	}
	return routeRanks*(*org.Rank) + min(route.Rank, routeRanks-1)
}

// poolRetry is when to come back while no leader answers: after an election.
const poolRetry = 500 * time.Millisecond

// notReadyRetry is when to come back to an entry that has just started: it
// takes a few hundred milliseconds to hear from a keeper.
const notReadyRetry = 300 * time.Millisecond

// point spreads requests evenly over a route's backends.
func point(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }

// identify finds the organisation of the caller's key.
func (in *Ingress) identify(r *request, table *config.Table) error {
	if !table.RequiresKeys() || r.route.Public {
		return nil
	}
	if !in.fresh() {
		return in.unconfirmed()
	}
	if r.org = table.Owner(r.Key); r.org == nil {
		return result.New(result.UnknownKey, result.RanNo, "no organisation holds the key")
	}
	return nil
}

// unconfirmed refuses a keyed request: the key may have been taken away.
func (in *Ingress) unconfirmed() error {
	const soon = 100 * time.Millisecond
	return result.New(result.ConfigNotConfirmed, result.RanNo, "no majority has confirmed the configuration for %v", in.link.Age()).WithRetry(soon)
}

// read takes in the body.
func (r *request) read(w http.ResponseWriter, h *http.Request, limits config.Limits) error {
	most := int64(limits.MaxBodyBytes)
	if most <= 0 {
		most = defaultMaxBody
	}
	r.hasBody = h.ContentLength != 0
	if h.ContentLength > most {
		return result.New(result.BodyTooLarge, result.RanNo, "%d bytes, limit %d", h.ContentLength, most)
	}
	if !r.hasBody {
		return nil
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(readBodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, h.Body, most))
	if err != nil {
		// What is left of the body isn't waited for: the time for reading
		// stays as it is, and the connection ends with the answer.
		w.Header().Set("Connection", "close")
	} else {
		_ = controller.SetReadDeadline(time.Time{})
	}
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return result.New(result.BodyTooLarge, result.RanNo, "more than %d bytes", most)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return result.New(result.BodySlow, result.RanNo, "%d bytes of the body came within %v", len(body), readBodyTimeout)
	case err != nil:
		return result.New(result.BadRequest, result.RanNo, "read body: %v", err)
	}
	r.body = body
	return nil
}

// charge takes the request's cost from its organisation's quota.
func (in *Ingress) charge(ctx context.Context, r *request) error {
	if r.org == nil || r.org.Rate <= 0 {
		return nil
	}
	cost := 1.0
	if r.org.InTokens {
		cost = float64(r.org.PlainTokens)
		if r.Counted {
			cost = float64(r.PromptTokens + r.MaxTokens)
		}
	}
	now := in.options.Clock()
	in.mu.Lock()
	p, ok := in.purses[r.org.Name]
	if !ok {
		p = quota.NewPurse(now)
		in.purses[r.org.Name] = p
	}
	missing := p.Take(now, cost)
	in.mu.Unlock()
	if missing <= 0 {
		r.charged, r.admitted = cost, now
		return nil
	}
	reply, err := in.link.Reserve(ctx, r.org.Name, missing)
	if err != nil || !reply.OK {
		in.mu.Lock()
		p.Return(in.options.Clock(), cost-missing)
		in.mu.Unlock()
	}
	switch {
	case err != nil:
		return result.New(result.QuotaExceeded, result.RanNo, "%.0f units asked, and the pool is out of reach: %v", cost, err).WithRetry(poolRetry)
	case !reply.OK:
		return result.New(result.QuotaExceeded, result.RanNo, "%.0f units asked of %.0f a second; this entry had %.0f, the pool has %.0f",
			cost, reply.Limit, cost-missing, reply.Remaining).WithRetry(reply.RetryAfter)
	}
	r.charged, r.admitted = cost, now
	return nil
}

// refund gives a request's cost back to its organisation's quota: it has not
// run.
func (in *Ingress) refund(r *request) {
	if r.charged == 0 {
		return
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	if p, ok := in.purses[r.org.Name]; ok {
		p.Refund(in.options.Clock(), r.admitted, r.charged)
	}
}

// ticket describes the request to the fleet.
func (r *request) ticket() fleet.Ticket {
	t := fleet.Ticket{
		Service: r.service, Rank: r.rank, Attempts: r.route.Attempts, Repeatable: r.route.Repeatable(),
		Target: r.route.Target, Deadline: r.deadline, Prompt: r.PromptTokens, Output: r.MaxTokens, Parts: r.Parts,
	}
	if r.LengthHint > 0 {
		t.Output = min(r.LengthHint, r.MaxTokens)
	}
	d := xxhash.New()
	_, _ = d.WriteString(r.organisation())
	_, _ = d.WriteString(r.target)
	_, _ = d.Write(r.body)
	t.Fingerprint = d.Sum64()
	return t
}

// count adds a request that began to run to the usage of its organisation, and
// returns the window.
func (in *Ingress) count(r *request) uint64 {
	window := in.window()
	if r.org == nil {
		return window
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.usage.Count(window, r.org.Name)
	return window
}
