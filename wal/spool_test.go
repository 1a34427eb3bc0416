package wal

import (
	"slices"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// TestSpoolKeepsRecentRecords runs random appends, turns, failing disks and losses of
// power: what was appended since the turn before the last one is there, in order, and
// nothing else is.
func TestSpoolKeepsRecentRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fs := newMemoryFS()
		s, records, err := OpenSpool(fs, "origins")
		if err != nil || len(records) > 0 {
			t.Fatalf("a new spool has %d records, %v", len(records), err)
		}
		// kept are the records that must be there: of the older and of the current
		// file.
		var older, current []string
		appended := map[string]bool{}
		next := 0
		turned := func() { older, current = current, nil }
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "operation") {
			case 0, 1, 2:
				var batch [][]byte
				var names []string
				for range rapid.IntRange(1, 4).Draw(t, "records") {
					next++
					names = append(names, strconv.Itoa(next))
					batch = append(batch, []byte(names[len(names)-1]))
					appended[names[len(names)-1]] = true
				}
				fs.diskFull = rapid.IntRange(0, 5).Draw(t, "full") == 0
				fs.truncateFails = rapid.Bool().Draw(t, "truncate fails")
				err := s.Append(batch...)
				fs.diskFull, fs.truncateFails = false, false
				if err == nil {
					current = append(current, names...)
				}
			case 3:
				if err := s.Turn(); err != nil {
					t.Fatal(err)
				}
				turned()
			default:
				fs.crash(t)
				reopened, records, err := OpenSpool(fs, "origins")
				if err != nil {
					t.Fatal(err)
				}
				s = reopened
				var got []string
				for _, r := range records {
					got = append(got, string(r))
					if !appended[string(r)] {
						t.Fatalf("record %q was never appended", r)
					}
				}
				want := append(slices.Clone(older), current...)
				at := 0
				for _, name := range got {
					if at < len(want) && want[at] == name {
						at++
					}
				}
				if at < len(want) {
					t.Fatalf("%v is there, want %v", got, want)
				}
			}
		}
	})
}
