package startup

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// TestHold guards against requests that wait at an entry which won't serve them in time, and
// against refusals that a short wait would have spared.
func TestHold(t *testing.T) {
	const start, maxHold = clock.Instant(time.Hour), 1500 * time.Millisecond
	g := gomega.NewWithT(t)
	_, hold := New(start, 0).Hold(start, time.Minute)
	g.Expect(hold).To(gomega.BeFalse(), "an entry whose settings hold nothing")
	for _, c := range []struct {
		name             string
		uptime, left     time.Duration
		held             int
		limit            time.Duration
		hold             bool
		retryAfter, more time.Duration
	}{
		{"a stream", 0, 12 * time.Second, 0, maxHold, true, usualTime, retrySpread / 2},
		{"a plain call", 100 * time.Millisecond, time.Second, 0, 500 * time.Millisecond, true, 800 * time.Millisecond, 0},
		{"a start that takes long", 4800 * time.Millisecond, 12 * time.Second, 0, 200 * time.Millisecond, true, minRetryAfter, 0},
		{"an entry without keepers", 5 * time.Second, 12 * time.Second, 0, 0, false, minRetryAfter, 0},
		{"no time left", 0, 0, 0, 0, false, usualTime, 0},
		{"too many wait", 0, 12 * time.Second, maxHeld, 0, false, usualTime, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			gate := New(start, maxHold)
			gate.held = c.held
			limit, hold := gate.Hold(start+c.uptime, c.left)
			g.Expect(hold).To(gomega.Equal(c.hold))
			g.Expect(limit).To(gomega.Equal(c.limit))
			random := float64(c.more) / float64(retrySpread)
			g.Expect(gate.RetryAfter(start+c.uptime, random)).To(gomega.Equal(c.retryAfter + c.more))
		})
	}
}

// TestReleasedRequestsMakeRoom guards against a gate that holds nothing any more.
func TestReleasedRequestsMakeRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := New(0, time.Second)
	for range maxHeld + 1 {
		_, hold := gate.Hold(0, time.Second)
		g.Expect(hold).To(gomega.BeTrue())
		gate.Release()
	}
}
