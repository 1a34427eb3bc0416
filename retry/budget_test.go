package retry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestAllowed(t *testing.T) {
	cases := []struct {
		failure    Failure
		repeatable bool
		attempts   int
		want       bool
	}{
		{NotSent, false, 1, true},
		{Refused, false, 1, true},
		{Broken, false, 1, false},
		{Silent, false, 1, false},
		{Reclaimed, false, 1, false},
		{Broken, true, 1, true},
		{Silent, true, 1, true},
		{Reclaimed, true, 1, true},
		{NotSent, true, MaxAttempts, false},
	}
	for _, c := range cases {
		gomega.NewWithT(t).Expect(Allowed(c.failure, c.repeatable, c.attempts)).To(gomega.Equal(c.want), "%+v", c)
	}
}

func TestBudget(t *testing.T) {
	g := gomega.NewWithT(t)
	b := NewBudget(0.25)
	spent := 0
	for b.Spend(0) {
		spent++
	}
	g.Expect(spent).To(gomega.Equal(budgetCapacity / 2))
	for range 8 {
		b.Deposit()
	}
	g.Expect(b.Spend(0)).To(gomega.BeTrue())
	g.Expect(b.Spend(0)).To(gomega.BeTrue())
	g.Expect(b.Spend(0)).To(gomega.BeFalse())
	g.Expect(b.Spend(time.Second)).To(gomega.BeTrue())
}
