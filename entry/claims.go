package entry

import (
	"context"
	"crypto/rand"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/claim"
	"github.com/hyssopladder/hyssopladder/result"
)

// Claims gives the right to run a call at most once. After an error of Claim
// the claim may or may not stand.
type Claims interface {
	Claim(ctx context.Context, c claim.Claim) (claim.Reply, error)
	Settle(ctx context.Context, s claim.Settle) error
}

// headerReplayed marks an answer that is that of an earlier call.
const headerReplayed = "X-Replayed"

// claimRetry is when a call that another request runs may have its answer.
const claimRetry = time.Second

// runClaimed runs a keyed call under a claim, or answers by the outcome of the
// call that holds the key.
func (p *plainCall) runClaimed(ctx context.Context) (*plainAnswer, error) {
	c := claim.Claim{
		Key:      claim.Key{Caller: p.in.caller, Service: p.ticket.Service, Key: p.in.key},
		CallHash: p.sum(),
		Owner:    p.entry.options.Node.Name + "/" + rand.Text(),
	}
	reply, err := p.entry.options.Claims.Claim(ctx, c)
	if err != nil {
		// The claim may stand; this request never runs the call.
		p.entry.settle(claim.Settle{Key: c.Key, Owner: c.Owner, Outcome: claim.Free})
		return nil, result.New(result.ClaimNoQuorum, result.RanUnknown,
			"no majority of keepers is reachable, so whether the key has run isn't known: %v", err).WithRetry(claimRetry)
	}
	if !reply.Granted {
		return heldAnswer(reply)
	}
	answer, err := p.run(ctx)
	p.entry.settle(settlement(c, answer, err))
	return answer, err
}

// sum identifies the call, so that a key isn't used for two.
func (p *plainCall) sum() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(p.request.Method + "\n" + p.path + "\n" + p.request.URL.RawQuery + "\n")
	_, _ = d.Write(p.in.body)
	return d.Sum64()
}

// heldAnswer answers by a register that another request holds.
func heldAnswer(r claim.Reply) (*plainAnswer, error) {
	switch {
	case r.Full:
		return nil, result.New(result.ClaimFull, result.RanNo, "there is no room for another key").WithRetry(time.Minute)
	case r.Reused:
		return nil, result.New(result.KeyReused, result.RanNo, "the key was used for another call")
	case r.State == claim.Answered && r.Answer.Dropped:
		return nil, result.New(result.ClaimAnswered, result.RanYes, "the call ran and was answered with status %d; the answer isn't stored any more", r.Answer.Status)
	case r.State == claim.Answered:
		header := http.Header{headerReplayed: {"true"}}
		if r.Answer.ContentType != "" {
			header.Set("Content-Type", r.Answer.ContentType)
		}
		return &plainAnswer{status: r.Answer.Status, header: header, body: r.Answer.Body, served: r.Answer.Upstream}, nil
	case r.State == claim.Unknown:
		return nil, result.New(result.ClaimUnknown, result.RanUnknown, "whether the call ran isn't known; it won't be run again")
	default:
		return nil, result.New(result.ClaimPending, result.RanUnknown, "another request runs the call of this key").WithRetry(claimRetry)
	}
}

// settlement is what the outcome of a call means for its claim.
func settlement(c claim.Claim, a *plainAnswer, err error) claim.Settle {
	s := claim.Settle{Key: c.Key, Owner: c.Owner, Outcome: claim.Unknown}
	switch {
	case a != nil:
		s.Outcome = claim.Answered
		s.Answer = &claim.Answer{Status: a.status, ContentType: a.header.Get("Content-Type"), Body: a.body, Upstream: a.served}
		if len(a.body) > claim.MaxAnswerBytes {
			s.Answer.Body, s.Answer.Dropped = nil, true
		}
	case result.From(err).Ran == result.RanNo:
		s.Outcome = claim.Free
	}
	return s
}

// settle tells the keepers an outcome, beside the caller's answer. A drain
// waits for it.
func (e *Entry) settle(s claim.Settle) {
	e.settling.Go(func() {
		if err := e.options.Claims.Settle(context.Background(), s); err != nil {
			klog.ErrorS(err, "claim not settled", "instance", e.options.Node.Name, "caller", s.Caller, "service", s.Service)
		}
	})
}

// waitSettled waits for the outcomes under way.
func (e *Entry) waitSettled(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		e.settling.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
