// Package usage counts the requests of each organisation in numbered windows of
// wall-clock time, which an entry takes from several instances' clocks and not
// only from its own (link.Link.WallTime). Each entry counts with a Meter; the
// keepers replicate the final counts in a Ledger, so that every report of a window
// is the same. The package has no clock and does no I/O.
package usage

import (
	"maps"

	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/common/wire"
)

// Limits of a window and of the ledger.
const (
	maxOrganisations = 10_000
	// maxWindowAge is how long the ledger keeps a window, in windows: an hour
	// with windows of five seconds.
	maxWindowAge = 720
)

// Window is the number of requests of each organisation in one window.
type Window struct {
	Number uint64            `json:"n"`
	Counts map[string]uint64 `json:"c"`
}

// Check verifies a decoded window.
func (w *Window) Check() error {
	if w.Number == 0 || len(w.Counts) > maxOrganisations {
		return errors.Errorf("invalid usage window: number %d with %d organisations", w.Number, len(w.Counts))
	}
	return nil
}

// Ledger is replicated state: the final counts of the newest windows.
type Ledger struct {
	windows map[uint64]Window
	newest  uint64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{windows: map[uint64]Window{}} }

// Apply records a window unless its number is recorded already, and returns the
// recorded window.
func (l *Ledger) Apply(w Window) Window {
	if recorded, ok := l.windows[w.Number]; ok {
		return recorded
	}
	l.windows[w.Number] = w
	l.newest = max(l.newest, w.Number)
	for number := range l.windows {
		if number+maxWindowAge < l.newest {
			delete(l.windows, number)
		}
	}
	return w
}

// Newest is the number of the newest recorded window, or 0.
func (l *Ledger) Newest() uint64 { return l.newest }

// snapshot is the encoded form of a ledger.
type snapshot struct {
	Windows map[uint64]Window `json:"w"`
	Newest  uint64            `json:"n"`
}

// Check accepts every decoded snapshot.
func (s *snapshot) Check() error { return nil }

// Snapshot encodes the state.
func (l *Ledger) Snapshot() ([]byte, error) { return wire.Encode(&snapshot{l.windows, l.newest}) }

// Restore replaces the state by that of a snapshot.
func (l *Ledger) Restore(data []byte) error {
	var s snapshot
	if err := wire.DecodeState(data, &s); err != nil {
		return err
	}
	l.windows, l.newest = s.Windows, s.Newest
	if l.windows == nil {
		l.windows = map[uint64]Window{}
	}
	return nil
}

// Meter counts the requests of one process, by window and organisation. It
// isn't safe for concurrent use.
type Meter struct {
	windows map[uint64]map[string]uint64
}

// NewMeter returns a meter without counts.
func NewMeter() *Meter { return &Meter{windows: map[uint64]map[string]uint64{}} }

// Count counts a request that began in the window.
func (m *Meter) Count(window uint64, organisation string) {
	counts, ok := m.windows[window]
	if !ok {
		counts = map[string]uint64{}
		m.windows[window] = counts
	}
	counts[organisation]++
}

// Since returns a copy of the counts from the given window on, and discards
// older ones.
func (m *Meter) Since(window uint64) []Window {
	var list []Window
	for number, counts := range m.windows {
		if number < window {
			delete(m.windows, number)
			continue
		}
		list = append(list, Window{Number: number, Counts: maps.Clone(counts)})
	}
	return list
}
