package fence

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

const holderLease = 3 * time.Second

func TestLeaderSendsOnlyWhileConfirmed(t *testing.T) {
	g := gomega.NewWithT(t)
	l := NewTermLease(holderLease)
	now := clock.Instant(time.Minute)
	g.Expect(l.MaySend(now, 4)).To(gomega.BeFalse())
	l.Confirmed(now, 4)
	g.Expect(l.MaySend(now+confirmValidity, 4)).To(gomega.BeTrue())
	g.Expect(l.MaySend(now+confirmValidity+1, 4)).To(gomega.BeFalse())
	g.Expect(l.MaySend(now, 5)).To(gomega.BeFalse(), "confirmed for another term")
	l.Rejected(4)
	g.Expect(l.MaySend(now, 4)).To(gomega.BeFalse())
	l.Confirmed(now, 5)
	g.Expect(l.MaySend(now, 5)).To(gomega.BeTrue())
}

// TestReturningLeaderWaitsForALease has a node lead again after another term: it
// waits, while a node that has sent nothing doesn't.
func TestReturningLeaderWaitsForALease(t *testing.T) {
	g := gomega.NewWithT(t)
	now := clock.Instant(time.Minute)
	for _, answered := range []bool{true, false} {
		returning, other := NewTermLease(holderLease), NewTermLease(holderLease)
		returning.Confirmed(now, 1)
		returning.Sent(now, 1, answered)
		g.Expect(other.Awaited(now, 2)).To(gomega.BeZero())
		want := holderLease
		if !answered {
			want += lateEffect
		}
		g.Expect(returning.Awaited(now, 3)).To(gomega.Equal(want))
		g.Expect(returning.Awaited(now+want, 3)).To(gomega.BeZero())
		g.Expect(returning.Awaited(now, 1)).To(gomega.BeZero(), "it goes on in its own term")
	}
}

// acceptedCommand is a command that took effect at the receiver.
type acceptedCommand struct {
	at     clock.Instant
	holder int
}

// commandInFlight is a command on its way to the receiver.
type commandInFlight struct {
	arrives clock.Instant
	holder  int
	token   uint64
}

// TestHoldersNeverTakeTurnsWithinALease changes the leader at random while nodes
// are frozen, believe for a while that they still lead, and send commands that
// take effect late. No command of another holder may lie between two of one
// holder that are less than a lease apart, and no command may follow one with a
// higher token.
func TestHoldersNeverTakeTurnsWithinALease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 3
		now := clock.Instant(time.Minute)
		var leases [nodes]*TermLease
		var believedTerm [nodes]uint64
		var frozenUntil [nodes]clock.Instant
		for i := range leases {
			leases[i] = NewTermLease(holderLease)
		}
		leader, term := 0, uint64(1)
		believedTerm[leader] = term
		var inFlight []commandInFlight
		var accepted []acceptedCommand
		highest := uint64(0)
		receive := func() {
			for {
				next := -1
				for i, c := range inFlight {
					if c.arrives <= now && (next < 0 || c.arrives < inFlight[next].arrives) {
						next = i
					}
				}
				if next < 0 {
					return
				}
				c := inFlight[next]
				inFlight = append(inFlight[:next], inFlight[next+1:]...)
				if c.token < highest {
					leases[c.holder].Rejected(c.token)
					continue
				}
				highest = c.token
				accepted = append(accepted, acceptedCommand{c.arrives, c.holder})
			}
		}
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
			receive()
			i := rapid.IntRange(0, nodes-1).Draw(t, "node")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1:
				// A new leader; the one before hears of it later, or is frozen.
				leader, term = i, term+1
				believedTerm[i] = term
			case 2:
				frozenUntil[i] = now + time.Duration(rapid.IntRange(0, 5000).Draw(t, "frozen"))*time.Millisecond
			case 3:
				if i != leader {
					believedTerm[i] = 0
				}
			default:
				if believedTerm[i] == 0 || now < frozenUntil[i] {
					continue
				}
				if leases[i].NeedsConfirmation(now, believedTerm[i]) && i == leader {
					leases[i].Confirmed(now, term)
					believedTerm[i] = term
				}
				if !leases[i].MaySend(now, believedTerm[i]) {
					continue
				}
				answered := rapid.IntRange(0, 3).Draw(t, "answered") > 0
				delay := time.Duration(0)
				if !answered {
					delay = time.Duration(rapid.IntRange(0, int(lateEffect/time.Millisecond)).Draw(t, "delay")) * time.Millisecond
				}
				inFlight = append(inFlight, commandInFlight{now + delay, i, believedTerm[i]})
				leases[i].Sent(now, believedTerm[i], answered)
				receive()
			}
		}
		for i, a := range accepted {
			for j := i + 2; j < len(accepted) && accepted[j].at-a.at < holderLease; j++ {
				if accepted[j].holder != a.holder {
					continue
				}
				for _, between := range accepted[i+1 : j] {
					if between.holder != a.holder {
						t.Fatalf("holder %d acts at %v and %v, and holder %d at %v between", a.holder, a.at, accepted[j].at, between.holder, between.at)
					}
				}
			}
		}
	})
}
