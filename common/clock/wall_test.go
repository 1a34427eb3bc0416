package clock

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestStepsAreNotFollowed samples a clock that steps by four seconds and, eight
// seconds later, back, and another that drifts.
func TestStepsAreNotFollowed(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(1_700_000_000, 0)
	var stepped, drifting Wall
	for now := Instant(0); now <= 100*time.Second; now += 300 * time.Millisecond {
		timeOfDay := start.Add(now)
		drifting.Observe(now, timeOfDay.Add(now/1000))
		if now > 20*time.Second && now < 28*time.Second {
			timeOfDay = timeOfDay.Add(4 * time.Second)
		}
		stepped.Observe(now, timeOfDay)
		offset, ok := stepped.Offset()
		g.Expect(ok).To(gomega.BeTrue())
		g.Expect(time.Unix(0, int64(now+offset))).To(gomega.BeTemporally("~", start.Add(now), 50*time.Millisecond))
	}
	offset, _ := drifting.Offset()
	g.Expect(offset - time.Duration(start.UnixNano())).To(gomega.BeNumerically("~", 100*time.Millisecond, 2*time.Millisecond))
}

func TestMedianIgnoresOneOutlier(t *testing.T) {
	base := time.Duration(1_700_000_000) * time.Second
	got := Median(time.Second, []time.Duration{base + 4*time.Second, base, base + time.Millisecond})
	gomega.NewWithT(t).Expect(got).To(gomega.Equal(time.Unix(1_700_000_001, 1_000_000)))
}
