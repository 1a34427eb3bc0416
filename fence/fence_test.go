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

func TestLeaseRegister(t *testing.T) {
	lease := 5 * time.Second
	cases := []struct {
		name  string
		apply []AcquireRequest
		want  Grant
	}{
		{"first holder", []AcquireRequest{{Holder: "a", Lease: lease}}, Grant{Granted: true, Epoch: 1, Holder: "a", Lease: lease}},
		{"held by another", []AcquireRequest{{Holder: "a", Lease: lease}, {Holder: "b", Lease: lease}}, Grant{Epoch: 1, Holder: "a", Lease: lease}},
		{"renewed", []AcquireRequest{{Holder: "a", Lease: lease}, {Holder: "a", Lease: lease, RenewEpoch: 1}}, Grant{Granted: true, Epoch: 1, Renewal: 1, Holder: "a", Lease: lease}},
		{"taken over", []AcquireRequest{{Holder: "a", Lease: lease}, {Holder: "b", Lease: lease, ExpiredEpoch: 1}}, Grant{Granted: true, Epoch: 2, Holder: "b", Lease: lease}},
		{"renewed before the takeover", []AcquireRequest{{Holder: "a", Lease: lease}, {Holder: "a", Lease: lease, RenewEpoch: 1}, {Holder: "b", Lease: lease, ExpiredEpoch: 1}}, Grant{Epoch: 1, Renewal: 1, Holder: "a", Lease: lease}},
		{"old holder tries to renew", []AcquireRequest{{Holder: "a", Lease: lease}, {Holder: "b", Lease: lease, ExpiredEpoch: 1}, {Holder: "a", Lease: lease, RenewEpoch: 1}}, Grant{Epoch: 2, Holder: "b", Lease: lease}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var r LeaseRegister
			var got Grant
			for _, a := range c.apply {
				got = r.Apply(a)
			}
			gomega.NewWithT(t).Expect(got).To(gomega.Equal(c.want))
		})
	}
}

// planner has a clock that drifts, and is disconnected at times.
type planner struct {
	name         string
	clockRate    float64
	lease        LocalLease
	watch        ExpiryWatch
	epoch        uint64
	disconnected bool
}

func (p *planner) clock(now time.Duration) clock.Instant {
	return clock.Instant(p.clockRate * float64(now))
}

// command is on its way to an upstream that doesn't check the epoch.
type command struct {
	epoch   uint64
	arrival time.Duration
}

// TestCommandsOfOldHolderNeverFollowNewerOnes disconnects planners and delays
// commands for up to their deadline. Upstreams that don't check the epoch must
// never receive a command of an older epoch after one of a newer epoch.
func TestCommandsOfOldHolderNeverFollowNewerOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const lease = 5 * time.Second
		var register LeaseRegister
		var planners []*planner
		for i := range 3 {
			rate := 1 + rapid.Float64Range(-Drift/2.1, Drift/2.1).Draw(t, "rate")
			planners = append(planners, &planner{name: fmt.Sprint(i), clockRate: rate})
		}
		var now time.Duration
		var inFlight []command
		newestEpoch := uint64(0)
		pick := func(t *rapid.T) *planner { return rapid.SampledFrom(planners).Draw(t, "planner") }
		acquire := func(p *planner, a AcquireRequest, took time.Duration) {
			requested := p.clock(now)
			now += took
			g := register.Apply(a)
			p.lease.RecordGrant(requested, g)
			if g.Granted {
				p.epoch = g.Epoch
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) { now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "millis")) * time.Millisecond },
			"cut":  func(t *rapid.T) { p := pick(t); p.disconnected = !p.disconnected },
			"renew": func(t *rapid.T) {
				p := pick(t)
				if p.disconnected || p.epoch == 0 {
					t.Skip("disconnected or never held the lease")
				}
				acquire(p, AcquireRequest{Holder: p.name, Lease: lease, RenewEpoch: p.epoch}, time.Duration(rapid.IntRange(0, 500).Draw(t, "took"))*time.Millisecond)
			},
			"observe": func(t *rapid.T) {
				p := pick(t)
				if p.disconnected {
					t.Skip("disconnected")
				}
				if a, ok := p.watch.Observe(p.clock(now), register.Current(), p.name, lease); ok {
					acquire(p, a, time.Duration(rapid.IntRange(0, 500).Draw(t, "took"))*time.Millisecond)
				}
			},
			"order": func(t *rapid.T) {
				p := pick(t)
				if epoch, ok := p.lease.MaySend(p.clock(now)); ok {
					delay := time.Duration(rapid.Int64Range(0, int64(CommandDeadline)*98/100).Draw(t, "delay"))
					inFlight = append(inFlight, command{epoch, now + delay})
				}
			},
			"": func(t *rapid.T) {
				for {
					next := -1
					for i, c := range inFlight {
						if c.arrival <= now && (next < 0 || c.arrival < inFlight[next].arrival) {
							next = i
						}
					}
					if next < 0 {
						return
					}
					if inFlight[next].epoch < newestEpoch {
						t.Fatalf("a command of epoch %d took effect after one of epoch %d", inFlight[next].epoch, newestEpoch)
					}
					newestEpoch = inFlight[next].epoch
					inFlight = append(inFlight[:next], inFlight[next+1:]...)
				}
			},
		})
	})
}
