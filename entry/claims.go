package entry

import (
	"context"
	"crypto/rand"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/claim"
	"github.com/hyssopladder/hyssopladder/common/httpstatus"
	"github.com/hyssopladder/hyssopladder/result"
)

// Claims grants the exclusive right to run the call of an idempotency key. After
// Claim returned an error, the claim may or may not have been granted.
type Claims interface {
	Claim(ctx context.Context, c claim.Claim) (claim.Reply, error)
	Settle(ctx context.Context, s claim.Settle) error
}

// headerReplayed marks a response that repeats the one of an earlier request.
const headerReplayed = "X-Replayed"

// claimRetryAfter is the delay after which a caller is asked to try again while
// another request runs the call or no majority of keepers is reachable.
const claimRetryAfter = time.Second

// A request whose key another request holds waits for that one's outcome. A
// caller that repeats a call right after its answer may be faster than the
// keepers' disks, which take a few milliseconds, or up to an election's time
// when the leader is lost.
const (
	outcomeWait      = 800 * time.Millisecond
	firstOutcomePoll = 10 * time.Millisecond
	maxOutcomePoll   = 100 * time.Millisecond
)

// claimKey claims the key of a call. While another request holds the key, it
// asks again until that request's outcome is known, for outcomeWait at most.
func claimKey(ctx context.Context, claims Claims, c claim.Claim) (claim.Reply, error) {
	limit := time.After(outcomeWait)
	for delay := firstOutcomePoll; ; delay = min(2*delay, maxOutcomePoll) {
		reply, err := claims.Claim(ctx, c)
		if err != nil || reply.Granted || reply.Reused || reply.State != claim.Claimed {
			return reply, err
		}
		select {
		case <-time.After(delay):
		case <-limit:
			return reply, nil
		case <-ctx.Done():
			return reply, nil
		}
	}
}

// runClaimed runs a call with an idempotency key under a claim. If an earlier
// request holds the key, it returns that request's outcome instead.
func (p *plainCall) runClaimed(ctx context.Context) (*plainResponse, error) {
	c := claim.Claim{
		Key:      claim.Key{Caller: p.in.caller, Service: p.ticket.Service, Key: p.in.key},
		CallHash: p.callHash(),
		Owner:    p.entry.options.Node.Name + "/" + rand.Text(),
	}
	reply, err := claimKey(ctx, p.entry.options.Claims, c)
	if err != nil {
		// The claim may have been granted, but this request won't run the
		// call, so it is released.
		p.entry.settle(claim.Settle{Key: c.Key, Owner: c.Owner, Outcome: claim.Free})
		return nil, result.New(result.ClaimNoQuorum, result.RanUnknown,
			"no majority of keepers is reachable, so it is unknown whether the call of this key has run: %v", err).WithRetry(claimRetryAfter)
	}
	if !reply.Granted {
		return heldKeyResponse(reply)
	}
	response, err := p.run(ctx)
	p.entry.settle(settlement(c, response, err))
	return response, err
}

// callHash identifies the call, so that the reuse of a key for another call is
// detected.
func (p *plainCall) callHash() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(p.request.Method + "\n" + p.path + "\n" + p.request.URL.RawQuery + "\n")
	_, _ = d.Write(p.in.body)
	return d.Sum64()
}

// heldKeyResponse returns the response, or the error, for a key whose register
// (the keepers' record of one idempotency key) another request holds.
func heldKeyResponse(r claim.Reply) (*plainResponse, error) {
	switch {
	case r.Full:
		return nil, result.New(result.ClaimFull, result.RanNo, "the keepers have no room for another idempotency key").WithRetry(time.Minute)
	case r.Reused:
		return nil, result.New(result.KeyReused, result.RanNo, "the idempotency key was used for another call")
	case r.State == claim.Answered && !httpstatus.Final(r.Answer.Status):
		// Earlier versions stored what upstreams sent.
		return nil, result.New(result.ClaimUnknown, result.RanUnknown, "the upstream answered with status %03d, so it is unknown whether the call ran; it won't be run again", r.Answer.Status)
	case r.State == claim.Answered && r.Answer.Dropped:
		return nil, result.New(result.ClaimAnswered, result.RanYes, "the call ran and returned status %d; its response is no longer stored", r.Answer.Status)
	case r.State == claim.Answered:
		header := http.Header{headerReplayed: {"true"}}
		if r.Answer.ContentType != "" {
			header.Set("Content-Type", r.Answer.ContentType)
		}
		return &plainResponse{status: r.Answer.Status, header: header, body: r.Answer.Body, servedBy: r.Answer.Upstream}, nil
	case r.State == claim.Unknown:
		return nil, result.New(result.ClaimUnknown, result.RanUnknown, "it is unknown whether the call ran; it won't be run again")
	default:
		return nil, result.New(result.ClaimPending, result.RanUnknown, "another request is running the call of this key").WithRetry(claimRetryAfter)
	}
}

// settlement returns the settle message that records the outcome of a claimed
// call.
func settlement(c claim.Claim, a *plainResponse, err error) claim.Settle {
	s := claim.Settle{Key: c.Key, Owner: c.Owner, Outcome: claim.Unknown}
	switch {
	case a != nil:
		s.Outcome = claim.Answered
		s.Answer = &claim.Answer{Status: a.status, ContentType: a.header.Get("Content-Type"), Body: a.body, Upstream: a.servedBy}
		if len(a.body) > claim.MaxAnswerBytes {
			s.Answer.Body, s.Answer.Dropped = nil, true
		}
	case result.From(err).Ran == result.RanNo:
		s.Outcome = claim.Free
	}
	return s
}

// settle reports the outcome of a claim to the keepers, without delaying the
// caller's response. A drain waits for it.
func (e *Entry) settle(s claim.Settle) {
	e.pendingSettles.Go(func() {
		if err := e.options.Claims.Settle(context.Background(), s); err != nil {
			klog.ErrorS(err, "settling a claim failed", "instance", e.options.Node.Name, "caller", s.Caller, "service", s.Service)
		}
	})
}

// waitSettled waits until the pending settles have ended, or ctx.
func (e *Entry) waitSettled(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		e.pendingSettles.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
