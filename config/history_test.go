package config

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestHistoryHoldsWhereRoutesLed guards against streams that go on at another service than
// the one to which their route led when they began, also if more tables were replaced than
// are kept.
func TestHistoryHoldsWhereRoutesLed(t *testing.T) {
	g := gomega.NewWithT(t)
	const within = 30 * time.Second
	leading := func(prefix string, backends ...Backend) *Table {
		return NewTable(&Revision{Routes: []Route{{Name: "r", Host: "h", Prefix: prefix, Backends: backends}}})
	}
	h := NewHistory(within)
	now := time.Hour
	ledOnly := func() bool { return h.LedOnlyTo(now, "h", "/ask", "s") }
	g.Expect(ledOnly()).To(gomega.BeTrue())
	h.Replaced(now, leading("/", Backend{"s", 1}, Backend{"other", 0}))
	h.Replaced(now, leading("/elsewhere", Backend{"other", 1}))
	g.Expect(ledOnly()).To(gomega.BeTrue())
	h.Replaced(now, leading("/ask", Backend{"s", 9}, Backend{"other", 1}))
	now += within
	g.Expect(ledOnly()).To(gomega.BeFalse())
	now++
	g.Expect(ledOnly()).To(gomega.BeTrue())

	for range maxReplaced {
		h.Replaced(now, leading("/", Backend{"s", 1}))
	}
	g.Expect(h.replaced).To(gomega.HaveLen(maxReplaced))
	g.Expect(ledOnly()).To(gomega.BeTrue(), "only tables that were too old are gone")
	h.Replaced(now, leading("/", Backend{"s", 1}))
	g.Expect(h.replaced).To(gomega.HaveLen(maxReplaced))
	g.Expect(ledOnly()).To(gomega.BeFalse(), "the table that was dropped isn't known")
	now += within + 1
	g.Expect(ledOnly()).To(gomega.BeTrue())
}
