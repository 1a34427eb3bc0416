// Package meters writes a node's metrics as text, as /metrics serves them.
package meters

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// prefix begins every metric's name.
const prefix = "hyssopladder_"

// WriteText writes every metric of the registry, in order of name: one line
// with name and value, and for timers their quantiles in seconds and their
// count.
func WriteText(w io.Writer, r metrics.Registry) {
	byName := map[string]any{}
	r.Each(func(name string, m any) { byName[name] = m })
	for _, key := range slices.Sorted(maps.Keys(byName)) {
		name := prefix + strings.NewReplacer(".", "_", "-", "_").Replace(key)
		switch m := byName[key].(type) {
		case metrics.Counter:
			_, _ = fmt.Fprintf(w, "%s %d\n", name, m.Count())
		case metrics.Gauge:
			_, _ = fmt.Fprintf(w, "%s %d\n", name, m.Value())
		case metrics.GaugeFloat64:
			_, _ = fmt.Fprintf(w, "%s %g\n", name, m.Value())
		case metrics.Histogram:
			s := m.Snapshot()
			for _, q := range quantiles {
				_, _ = fmt.Fprintf(w, "%s{quantile=\"%v\"} %g\n", name, q, s.Percentile(q))
			}
			_, _ = fmt.Fprintf(w, "%s_count %d\n", name, s.Count())
		case metrics.Timer:
			s := m.Snapshot()
			for _, q := range quantiles {
				_, _ = fmt.Fprintf(w, "%s_seconds{quantile=\"%v\"} %g\n", name, q, s.Percentile(q)/1e9)
			}
			_, _ = fmt.Fprintf(w, "%s_seconds_count %d\n", name, s.Count())
		}
	}
}

var quantiles = []float64{0.5, 0.95, 0.99}
