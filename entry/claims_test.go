package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/claim"
)

// slowClaims answers Claim from a registry that gets each settlement only
// after a delay, as keepers with slow disks do.
type slowClaims struct {
	registry    *claim.Registry
	settleDelay time.Duration
	err         error
	asked       int
}

func (s *slowClaims) Claim(_ context.Context, c claim.Claim) (claim.Reply, error) {
	s.asked++
	if s.err != nil {
		return claim.Reply{}, s.err
	}
	return s.registry.Apply(claim.Command{Claim: &c}), nil
}

func (s *slowClaims) Settle(ctx context.Context, settle claim.Settle) error {
	select {
	case <-time.After(s.settleDelay):
	case <-ctx.Done():
		return ctx.Err()
	}
	s.registry.Apply(claim.Command{Settle: &settle})
	return nil
}

func TestRepeatedKeyWaitsForTheOutcome(t *testing.T) {
	key := claim.Key{Caller: "app", Service: "booking", Key: "k"}
	first := claim.Claim{Key: key, CallHash: 1, Owner: "first"}
	answered := claim.Settle{Key: key, Owner: "first", Outcome: claim.Answered, Answer: &claim.Answer{Status: 201, Body: []byte("done")}}
	cases := []struct {
		name        string
		settle      claim.Settle
		settleDelay time.Duration
		want        claim.Reply
	}{
		{"settled soon", answered, 50 * time.Millisecond, claim.Reply{State: claim.Answered, Answer: answered.Answer}},
		{"freed soon", claim.Settle{Key: key, Owner: "first", Outcome: claim.Free}, 50 * time.Millisecond, claim.Reply{Granted: true, State: claim.Claimed}},
		{"settled too late", answered, time.Minute, claim.Reply{State: claim.Claimed}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				claims := &slowClaims{registry: claim.New(), settleDelay: c.settleDelay}
				_, err := claimKey(t.Context(), claims, first)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				ctx, cancel := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer cancel()
				go func() { _ = claims.Settle(ctx, c.settle) }()
				began := time.Now()
				reply, err := claimKey(t.Context(), claims, claim.Claim{Key: key, CallHash: 1, Owner: "second"})
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(reply).To(gomega.Equal(c.want))
				g.Expect(time.Since(began)).To(gomega.BeNumerically("<=", outcomeWait))
			})
		})
	}
}

func TestClaimDoesNotWaitWithoutNeed(t *testing.T) {
	key := claim.Key{Caller: "app", Service: "booking", Key: "k"}
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		claims := &slowClaims{registry: claim.New()}
		began := time.Now()
		_, err := claimKey(t.Context(), claims, claim.Claim{Key: key, CallHash: 1, Owner: "first"})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		reply, err := claimKey(t.Context(), claims, claim.Claim{Key: key, CallHash: 2, Owner: "second"})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(reply.Reused).To(gomega.BeTrue(), "another call under the same key is refused at once")
		claims.err = errors.New("no majority")
		_, err = claimKey(t.Context(), claims, claim.Claim{Key: key, CallHash: 1, Owner: "third"})
		g.Expect(err).To(gomega.HaveOccurred())
		g.Expect(time.Since(began)).To(gomega.BeZero())
		g.Expect(claims.asked).To(gomega.Equal(3))
	})
}
