// Package usage counts the requests of each organisation in windows of true
// time, and keeps the final counts so that every report of a window is the
// same. It is pure.
package usage

import (
	"maps"

	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/common/wire"
)

// Limits of one window and of the ledger.
const (
	maxOrganisations = 10_000
	// keepWindows is how many windows the ledger remembers: an hour of
	// windows of five seconds.
	keepWindows = 720
)

// Window is the final count of one window.
type Window struct {
	Number uint64            `json:"n"`
	Counts map[string]uint64 `json:"c"`
}

// Check verifies a decoded window.
func (w *Window) Check() error {
	if w.Number == 0 || len(w.Counts) > maxOrganisations {
		return errors.Errorf("usage window %d with %d organisations", w.Number, len(w.Counts))
	}
	return nil
}

// Ledger is the replicated state: the final counts of the newest windows.
type Ledger struct {
	windows map[uint64]Window
	newest  uint64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{windows: map[uint64]Window{}} }

// Apply records a window, unless it is recorded already, and returns what is
// recorded.
func (l *Ledger) Apply(w Window) Window {
	if held, ok := l.windows[w.Number]; ok {
		return held
	}
	l.windows[w.Number] = w
	l.newest = max(l.newest, w.Number)
	for number := range l.windows {
		if number+keepWindows < l.newest {
			delete(l.windows, number)
		}
	}
	return w
}

// Newest is the number of the newest window on record, or 0.
func (l *Ledger) Newest() uint64 { return l.newest }

type saved struct {
	Windows map[uint64]Window `json:"w"`
	Newest  uint64            `json:"n"`
}

// Check verifies a decoded state.
func (s *saved) Check() error { return nil }

// Snapshot encodes the state.
func (l *Ledger) Snapshot() ([]byte, error) { return wire.Encode(&saved{l.windows, l.newest}) }

// Restore replaces the state by a snapshot.
func (l *Ledger) Restore(data []byte) error {
	var s saved
	if err := wire.Decode(data, &s); err != nil {
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

// Count adds a request that began in the window.
func (m *Meter) Count(window uint64, organisation string) {
	counts, ok := m.windows[window]
	if !ok {
		counts = map[string]uint64{}
		m.windows[window] = counts
	}
	counts[organisation]++
}

// Since returns a copy of the counts from the window on, and forgets older
// ones.
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
