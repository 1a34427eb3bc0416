// Package capacity learns how fast each upstream answers, compared with the others of its
// service, and from how many requests at once on a plain one slows down. Entries measure
// answers with a Meter and report them to the leading keeper, whose Board merges the reports
// of all entries. Its replies carry what changed, which each entry keeps in a Table. The
// package does no I/O, and the time is passed in.
package capacity

import (
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/common/wire"
)

// Bounds of the messages.
const (
	// MaxSamples bounds the samples of one report, of about 30 bytes each; more wait for the
	// next report.
	MaxSamples = 256
	// MaxPaces bounds the paces in one reply, of about 25 bytes each; more come with the next.
	MaxPaces = 256
	// loadSteps is the number of steps into which an upstream's slots are divided, and maxLoad
	// the highest load: twice the slots, as many as entries send.
	loadSteps = 8
	maxLoad   = 2 * loadSteps
	// MinPace and MaxPace bound a pace.
	MinPace = 0.1
	MaxPace = 16
)

// PlainTime is the time that Answer.Expected is for any plain answer, apart from its load.
const PlainTime = 500 * time.Millisecond

// Units in which messages carry numbers, so that most need one or two bytes.
const (
	weightUnit = 16  // per answer of weight 1
	logUnit    = 100 // per unit of the natural logarithm
	maxLog     = 6 * logUnit
	paceUnit   = 100 // per pace of 1
	maxWeight  = 1 << 20
	maxWork    = 1 << 24 // milliseconds
)

// Sample sums up answers of one upstream at one load.
type Sample struct {
	// Upstream and Incarnation identify one run of the upstream.
	Upstream    string `json:"u"`
	Incarnation uint64 `json:"i"`
	// Load is the number of requests there, in eighths of its slots; 0 for engines, whose
	// expected times include the load.
	Load int `json:"b,omitempty"`
	// Weight is that of the answers, in sixteenths of an answer, and Log a logarithm of measured
	// to expected times, in hundredths: that of the lowPart of the answers of engines, and the
	// median of those of plain services.
	Weight int `json:"w"`
	Log    int `json:"l,omitempty"`
	// Work is the time in milliseconds for which the upstream was busy with the answers, as the
	// model expects it.
	Work int `json:"e,omitempty"`
}

// Check verifies a decoded sample.
func (s *Sample) Check() error {
	if s.Upstream == "" || s.Load < 0 || s.Load > maxLoad || s.Weight < 0 || s.Weight > maxWeight || s.Work < 0 || s.Work > maxWork || s.Log < -maxLog || s.Log > maxLog {
		return errors.Errorf("capacity sample with weight %d, logarithm %d and load %d of upstream %q", s.Weight, s.Log, s.Load, s.Upstream)
	}
	return nil
}

// Report is what an entry measured since its last report.
type Report struct {
	// Number rises with each report of an entry's incarnation, so that a repeated one counts
	// once.
	Number uint64 `json:"n"`
	// Term and Version are those of the last update that the entry has applied.
	Term    uint64 `json:"t,omitempty"`
	Version uint64 `json:"v,omitempty"`
	// Samples are by service.
	Samples map[string][]Sample `json:"s,omitempty"`
}

// Check verifies a decoded report.
func (r *Report) Check() error {
	total := 0
	for _, samples := range r.Samples {
		total += len(samples)
		for i := range samples {
			if err := samples[i].Check(); err != nil {
				return err
			}
		}
	}
	if total > MaxSamples {
		return errors.Errorf("capacity report with %d samples, want at most %d", total, MaxSamples)
	}
	return nil
}

// Pace is what is known of one upstream.
type Pace struct {
	Upstream    string `json:"u"`
	Incarnation uint64 `json:"i"`
	// Percent is the time that an answer takes, in percent of the median of the service.
	Percent int `json:"p"`
	// Knee is the load, in eighths of the slots, above which the upstream slows down; 0 if none
	// is known.
	Knee int `json:"k,omitempty"`
}

// Check verifies a decoded pace.
func (p *Pace) Check() error {
	if p.Upstream == "" || p.Percent < MinPace*paceUnit || p.Percent > MaxPace*paceUnit || p.Knee < 0 || p.Knee >= loadSteps {
		return errors.Errorf("pace of %d percent with a knee of %d at upstream %q", p.Percent, p.Knee, p.Upstream)
	}
	return nil
}

// Update is what has changed since the entry's last one.
type Update struct {
	// Term is that of the leader, and Version counts its changes.
	Term    uint64 `json:"t"`
	Version uint64 `json:"v,omitempty"`
	Paces   []Pace `json:"p,omitempty"`
}

// Check verifies a decoded update.
func (u *Update) Check() error {
	if len(u.Paces) > MaxPaces {
		return errors.Errorf("update of %d paces, want at most %d", len(u.Paces), MaxPaces)
	}
	for i := range u.Paces {
		if err := u.Paces[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// LoadStep returns the load of so many requests at an upstream, for a Sample.
func LoadStep(requests float64, slots int) int {
	return min(max(int(math.Ceil(requests*loadSteps/float64(max(slots, 1)))), 1), maxLoad)
}

// KneeSlots returns the number of requests up to which an upstream with the knee answers well;
// 0 if no knee is known.
func KneeSlots(knee, slots int) int {
	if knee == 0 {
		return 0
	}
	return max(knee*slots/loadSteps, 1)
}

var (
	_ wire.Checker = (*Sample)(nil)
	_ wire.Checker = (*Report)(nil)
	_ wire.Checker = (*Pace)(nil)
	_ wire.Checker = (*Update)(nil)
)
