package ingress

import (
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/call"
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/problem"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/control"
	"github.com/hyssopladder/hyssopladder/drain"
	"github.com/hyssopladder/hyssopladder/fleet"
	"github.com/hyssopladder/hyssopladder/platform"
	"github.com/hyssopladder/hyssopladder/quota"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// defaultMaxBodyBytes limits request bodies where the configuration doesn't.
const defaultMaxBodyBytes = 4 << 20

// request is a caller's request with the route and organisation found for it.
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
	// bodyRead says that body is whole.
	bodyRead bool
	route    *config.Route
	org      *config.Organisation
	service  string
	// binding is that of a request that resumes a stream.
	binding upstream.Binding
	rank    int
	// engineRank is the rank as engines know it.
	engineRank int
	revision   uint64
	// unread says that the request has a body of which nothing was read.
	unread bool
	// gone says that the caller has closed the connection, or its sending side.
	gone bool
	// sent says that an upstream may have the request, headSent that the head of an answer
	// went to the caller.
	sent, headSent bool
	// charged is the cost that was taken from the organisation's quota at
	// chargedAt, in quota units; 0 if none was.
	charged   float64
	chargedAt clock.Instant
}

// organisation is the organisation's name as the upstream gets it, "" on
// public routes.
func (r *request) organisation() string {
	if r.org == nil {
		return ""
	}
	return r.org.Name
}

// serveCaller serves one request of a caller.
func (in *Ingress) serveCaller(w http.ResponseWriter, httpRequest *http.Request) {
	in.meters.requests.Inc(1)
	if in.stopping.Load() {
		// A new connection of the caller leads to another entry.
		w.Header().Set("Connection", "close")
	}
	r := in.newRequest(httpRequest)
	defer in.answerPanic(w, httpRequest, r)
	if err := in.accept(w, httpRequest, r); err != nil {
		in.refuse(w, r, err)
	} else {
		in.forward(w, httpRequest, r)
	}
	if !r.gone {
		drain.Returned(httpRequest.Context(), r.ID)
	}
}

// newRequest is a request that arrives now.
func (in *Ingress) newRequest(httpRequest *http.Request) *request {
	return &request{
		arrived: in.options.Clock(), method: httpRequest.Method, target: httpRequest.RequestURI, host: httpRequest.Host, header: httpRequest.Header,
		unread: httpRequest.ContentLength != 0,
	}
}

// refuse responds with the error and refunds the cost if the request hasn't run.
func (in *Ingress) refuse(w http.ResponseWriter, r *request, cause error) {
	e := result.From(cause)
	in.meters.refused(e.Code.String())
	if e.Ran == result.RanNo {
		in.refund(r)
	}
	klog.InfoS("request refused", "request", r.ID, "route", r.routeName(), "organisation", r.organisation(), "rank", r.rank, "revision", r.revision,
		"code", int(e.Code), "reason", e.Title, "detail", e.Detail, "ran", e.Ran, "retryAfter", e.RetryAfter, "held", in.options.Clock()-r.arrived)
	switch e.Code {
	case result.ConfigNotConfirmed, result.NotReady, result.Draining:
		// Another entry may be able to serve the caller; a new connection leads
		// there.
		w.Header().Set("Connection", "close")
	default:
	}
	platform.SetRequestID(w.Header(), r.ID)
	if e.RetryAfter > 0 {
		platform.SetRetryAfter(w.Header(), e.RetryAfter)
	}
	writeAt := in.options.Clock()
	if r.unread {
		// net/http reads the rest of a body before it answers, without a limit of time.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
		writeAt += unreadBodyTimeout
	}
	in.allowWrites(w, writeAt)
	r.headSent = true
	problem.Write(w, e)
}

func (r *request) routeName() string {
	if r.route == nil {
		return ""
	}
	return r.route.Name
}

// accept reads a request and checks whether it may be served.
func (in *Ingress) accept(w http.ResponseWriter, httpRequest *http.Request, r *request) error {
	decoded, err := platform.DecodeRequest(httpRequest.Header)
	r.Request = decoded
	if err != nil {
		return result.New(result.BadRequest, result.RanNo, "%v", err)
	}
	if !strings.HasPrefix(r.target, "/") {
		return result.New(result.BadRequest, result.RanNo, "the request target does not begin with a slash")
	}
	if err := in.awaitServing(w, httpRequest, r); err != nil {
		return err
	}
	in.link.AwaitDirectory(httpRequest.Context())
	table := in.link.Table()
	if table == nil {
		return in.notReadyError()
	}
	r.revision = table.Revision.Number
	path, _, _ := strings.Cut(r.target, "?")
	if r.route = table.Route(r.host, path); r.route == nil {
		return result.New(result.NoRoute, result.RanNo, "no route for %s%s", r.host, path)
	}
	if err := in.identify(r, table); err != nil {
		return err
	}
	timeout := r.route.Timeout
	if r.Patience > 0 {
		timeout = min(timeout, r.Patience)
	}
	r.deadline = r.arrived + timeout
	if in.stop.TooLate(r.arrived, r.deadline) {
		return drain.Error(false)
	}
	if err := r.read(w, httpRequest, table.Revision.Limits, &in.stop); err != nil {
		return err
	}
	if in.stop.TooLate(in.options.Clock(), r.deadline) {
		return drain.Error(false)
	}
	r.service = r.route.Pick(hashFraction(r.ID))
	r.rank, r.engineRank = table.Rank(r.route, r.org), table.EngineRank(r.route, r.org)
	if err := in.findOrigin(httpRequest.Context(), r); err != nil {
		return err
	}
	return in.charge(httpRequest.Context(), r)
}

// poolRetryAfter is the Retry-After while no leader answers: an election is
// over by then.
const poolRetryAfter = 500 * time.Millisecond

// hashFraction maps a request ID to [0, 1), by which Route.Pick spreads requests
// over a route's backends.
func hashFraction(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }

// identify sets the organisation that holds the caller's key. Public routes and
// configurations without keys need none.
func (in *Ingress) identify(r *request, table *config.Table) error {
	if !table.RequiresKeys() || r.route.Public {
		return nil
	}
	if !in.configFresh() {
		return in.notConfirmedError()
	}
	if r.org = table.Owner(r.Key); r.org == nil {
		return result.New(result.UnknownKey, result.RanNo, "no organisation holds the key")
	}
	return nil
}

// notConfirmedError refuses a request with a key: the key may have been revoked
// since the configuration was confirmed.
func (in *Ingress) notConfirmedError() error {
	const retryAfter = 100 * time.Millisecond
	return result.New(result.ConfigNotConfirmed, result.RanNo, "no majority of the keepers has confirmed the configuration for %v", in.link.ConfigAge()).WithRetry(retryAfter)
}

// read reads the whole body, unless it would be whole too late in the stop.
func (r *request) read(w http.ResponseWriter, httpRequest *http.Request, limits config.Limits, stop *drain.Stop) error {
	limit := int64(limits.MaxBodyBytes)
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.bodyRead {
		return r.checkBody(limit)
	}
	r.hasBody = httpRequest.ContentLength != 0
	if httpRequest.ContentLength > limit {
		return result.New(result.BodyTooLarge, result.RanNo, "body of %d bytes exceeds the limit of %d", httpRequest.ContentLength, limit)
	}
	if !r.hasBody {
		return nil
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(readBodyTimeout))
	open := stop.Open(r.deadline, r.deadline-r.arrived, func() { _ = controller.SetReadDeadline(time.Now()) })
	r.unread = false
	body, err := io.ReadAll(http.MaxBytesReader(w, httpRequest.Body, limit))
	open.Close()
	if open.Ended() {
		w.Header().Set("Connection", "close")
		return drain.Error(false)
	}
	if err != nil {
		// The read deadline stays, so that the server doesn't wait for the rest
		// of the body, and the connection closes after the response.
		w.Header().Set("Connection", "close")
	} else {
		_ = controller.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return result.New(result.BodyTooLarge, result.RanNo, "body exceeds the limit of %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return result.New(result.BodySlow, result.RanNo, "only %d bytes of the body arrived within %v", len(body), readBodyTimeout)
	case err != nil:
		return result.New(result.BadRequest, result.RanNo, "read body: %v", err)
	}
	r.body, r.bodyRead = body, true
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
	for {
		now := in.options.Clock()
		reply, err := in.chargeOnce(ctx, now, r, cost)
		if err == nil {
			return nil
		}
		// The pool of a new leader begins empty, and fills while the entry starts.
		if reply.OK || reply.RetryAfter <= 0 || now+reply.RetryAfter > in.startsUntil(r) {
			return err
		}
		select {
		case <-time.After(reply.RetryAfter):
		case <-ctx.Done():
			return err
		}
	}
}

// chargeOnce takes the cost from the entry's part of the quota, and what that lacks from the
// leader's pool. The reply is that of the leader, if it answered.
func (in *Ingress) chargeOnce(ctx context.Context, now clock.Instant, r *request, cost float64) (reply control.ReserveReply, failure error) {
	bucket, missing := in.acquire(now, r.org.Name, cost)
	if missing <= 0 {
		r.charged, r.chargedAt = cost, now
		return reply, nil
	}
	reply, err := in.link.Reserve(ctx, r.org.Name, missing)
	if err != nil || !reply.OK {
		in.release(bucket, cost-missing)
	}
	switch {
	case err != nil:
		return control.ReserveReply{}, result.New(result.QuotaExceeded, result.RanNo, "request costs %.0f units, and the leader's quota pool can't be reached: %v", cost, err).WithRetry(poolRetryAfter)
	case !reply.OK:
		return reply, result.New(result.QuotaExceeded, result.RanNo, "request costs %.0f units of a quota of %.0f per second; this entry had %.0f, the leader's pool has %.0f",
			cost, reply.Limit, cost-missing, reply.Remaining).WithRetry(reply.RetryAfter)
	}
	r.charged, r.chargedAt = cost, now
	return reply, nil
}

// acquire takes the cost from this entry's part of the quota. missing is what that lacks.
func (in *Ingress) acquire(now clock.Instant, organisation string, cost float64) (bucket *quota.LeasedBucket, missing float64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	bucket, ok := in.quotas[organisation]
	if !ok {
		bucket = quota.NewLeasedBucket(now)
		in.quotas[organisation] = bucket
	}
	return bucket, bucket.Acquire(now, cost)
}

// release returns to the bucket what acquire took from it.
func (in *Ingress) release(bucket *quota.LeasedBucket, cost float64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	bucket.Release(in.options.Clock(), cost)
}

// refund returns the cost of a request that hasn't run to its organisation's
// quota.
func (in *Ingress) refund(r *request) {
	if r.charged == 0 {
		return
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	if bucket, ok := in.quotas[r.org.Name]; ok {
		bucket.Refund(in.options.Clock(), r.chargedAt, r.charged)
	}
}

// ticket returns what the fleet needs to know of the request.
func (r *request) ticket() fleet.Ticket {
	t := fleet.Ticket{
		Service: r.service, Route: r.routeName(), Stream: r.isStream(), Rank: r.rank, Organisation: r.organisation(), MaxRuns: r.route.Attempts, Repeatable: r.route.Repeatable(),
		Target: r.route.Target, Deadline: r.deadline, PromptTokens: r.PromptTokens, OutputTokens: r.MaxTokens, PromptParts: r.Parts,
	}
	if r.LengthHint > 0 {
		t.OutputTokens = min(r.LengthHint, r.MaxTokens)
	}
	t.Fingerprint = r.fingerprint()
	t.Binding = r.binding
	return t
}

// fingerprint identifies the caller, the path and the body.
func (r *request) fingerprint() uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(r.organisation())
	_, _ = digest.WriteString(r.target)
	_, _ = digest.Write(r.body)
	return digest.Sum64()
}

// sharedPartIDs lists for logs the parts of the prompt that other requests may share.
func (r *request) sharedPartIDs() string {
	var ids []string
	for _, p := range call.SharedParts(r.Parts) {
		ids = append(ids, strconv.FormatUint(p.ID, 16))
	}
	return strings.Join(ids, ",")
}

// countUsage adds a request that has begun to run to its organisation's usage
// and returns the number of the usage window.
func (in *Ingress) countUsage(r *request) uint64 {
	window := in.currentWindow()
	if r.org == nil {
		return window
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.usage.Count(window, r.org.Name)
	return window
}
