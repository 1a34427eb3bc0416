package fence

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

func TestRegister(t *testing.T) {
	lease := 5 * time.Second
	cases := []struct {
		name  string
		apply []Acquire
		want  Grant
	}{
		{"first", []Acquire{{Holder: "a", Lease: lease}}, Grant{Granted: true, Epoch: 1, Holder: "a", Lease: lease}},
		{"held", []Acquire{{Holder: "a", Lease: lease}, {Holder: "b", Lease: lease}}, Grant{Epoch: 1, Holder: "a", Lease: lease}},
		{"renewed", []Acquire{{Holder: "a", Lease: lease}, {Holder: "a", Lease: lease, Renew: 1}}, Grant{Granted: true, Epoch: 1, Renewal: 1, Holder: "a", Lease: lease}},
		{"taken over", []Acquire{{Holder: "a", Lease: lease}, {Holder: "b", Lease: lease, Gone: 1}}, Grant{Granted: true, Epoch: 2, Holder: "b", Lease: lease}},
		{"renewed meanwhile", []Acquire{{Holder: "a", Lease: lease}, {Holder: "a", Lease: lease, Renew: 1}, {Holder: "b", Lease: lease, Gone: 1}}, Grant{Epoch: 1, Renewal: 1, Holder: "a", Lease: lease}},
		{"old holder comes back", []Acquire{{Holder: "a", Lease: lease}, {Holder: "b", Lease: lease, Gone: 1}, {Holder: "a", Lease: lease, Renew: 1}}, Grant{Epoch: 2, Holder: "b", Lease: lease}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var r Register
			var got Grant
			for _, a := range c.apply {
				got = r.Apply(a)
			}
			gomega.NewWithT(t).Expect(got).To(gomega.Equal(c.want))
		})
	}
}

// planner has a clock of its own that drifts, and is cut off now and then.
type planner struct {
	name      string
	rate      float64
	authority Authority
	watch     Watch
	renew     uint64
	cut       bool
}

func (p *planner) clock(now time.Duration) clock.Instant {
	return clock.Instant(p.rate * float64(now))
}

// order is on its way to an upstream that checks no epoch.
type order struct {
	epoch   uint64
	arrives time.Duration
}

// TestNoOrderOfAnOldHolderTakesEffect cuts planners off and lets orders
// travel for up to their deadline: at upstreams that check nothing, an order
// of an older epoch never comes after one of a newer.
func TestNoOrderOfAnOldHolderTakesEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const lease = 5 * time.Second
		var register Register
		var planners []*planner
		for i := range 3 {
			rate := 1 + rapid.Float64Range(-Drift/2.1, Drift/2.1).Draw(t, "rate")
			planners = append(planners, &planner{name: fmt.Sprint(i), rate: rate})
		}
		var now time.Duration
		var orders []order
		newest := uint64(0)
		pick := func(t *rapid.T) *planner { return rapid.SampledFrom(planners).Draw(t, "planner") }
		ask := func(p *planner, a Acquire, took time.Duration) {
			asked := p.clock(now)
			now += took
			g := register.Apply(a)
			p.authority.Granted(asked, g)
			if g.Granted {
				p.renew = g.Epoch
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) { now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "millis")) * time.Millisecond },
			"cut":  func(t *rapid.T) { p := pick(t); p.cut = !p.cut },
			"renew": func(t *rapid.T) {
				p := pick(t)
				if p.cut || p.renew == 0 {
					t.Skip("cut off or never held")
				}
				ask(p, Acquire{Holder: p.name, Lease: lease, Renew: p.renew}, time.Duration(rapid.IntRange(0, 500).Draw(t, "took"))*time.Millisecond)
			},
			"observe": func(t *rapid.T) {
				p := pick(t)
				if p.cut {
					t.Skip("cut off")
				}
				if a, ok := p.watch.Observe(p.clock(now), register.Held(), p.name, lease); ok {
					ask(p, a, time.Duration(rapid.IntRange(0, 500).Draw(t, "took"))*time.Millisecond)
				}
			},
			"order": func(t *rapid.T) {
				p := pick(t)
				if epoch, ok := p.authority.MaySend(p.clock(now)); ok {
					delay := time.Duration(rapid.Int64Range(0, int64(OrderDeadline)*98/100).Draw(t, "delay"))
					orders = append(orders, order{epoch, now + delay})
				}
			},
			"": func(t *rapid.T) {
				for {
					next := -1
					for i, o := range orders {
						if o.arrives <= now && (next < 0 || o.arrives < orders[next].arrives) {
							next = i
						}
					}
					if next < 0 {
						return
					}
					if orders[next].epoch < newest {
						t.Fatalf("an order of epoch %d took effect after one of %d", orders[next].epoch, newest)
					}
					newest = orders[next].epoch
					orders = append(orders[:next], orders[next+1:]...)
				}
			},
		})
	})
}
