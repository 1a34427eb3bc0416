package meters

import (
	"bytes"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
)

func TestWriteText(t *testing.T) {
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("b.count", r).Inc(3)
	metrics.GetOrRegisterGauge("a-gauge", r).Update(7)
	timer := metrics.GetOrRegisterTimer("c.timer", r)
	defer timer.Stop()
	timer.Update(2 * time.Second)
	var out bytes.Buffer
	WriteText(&out, r)
	gomega.NewWithT(t).Expect(out.String()).To(gomega.Equal(`hyssopladder_a_gauge 7
hyssopladder_b_count 3
hyssopladder_c_timer_seconds{quantile="0.5"} 2
hyssopladder_c_timer_seconds{quantile="0.95"} 2
hyssopladder_c_timer_seconds{quantile="0.99"} 2
hyssopladder_c_timer_seconds_count 1
`))
}
