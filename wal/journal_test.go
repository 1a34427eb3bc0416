package wal

import (
	"reflect"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hyssopladder/hyssopladder/consensus"
	"github.com/hyssopladder/hyssopladder/result"
)

func newID() consensus.ID { return 7 }

func mustOpen(t interface{ Fatalf(string, ...any) }, fs FS) (*Journal, consensus.Stored) {
	j, stored, err := Open(fs, newID)
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	return j, stored
}

// journalModel checks a journal against a model of what Save has stored.
type journalModel struct {
	fs      *memoryFS
	journal *Journal
	// expected is what must be found after a crash.
	expected consensus.Stored
	// possible is what may be found instead, after a Save that failed.
	possible *consensus.Stored
}

func (m *journalModel) drawReady(t *rapid.T) consensus.Ready {
	last := m.expected.Snapshot.Index
	if n := len(m.expected.Entries); n > 0 {
		last = m.expected.Entries[n-1].Index
	}
	from := rapid.Uint64Range(m.expected.Snapshot.Index+1, last+1).Draw(t, "from")
	term := m.expected.State.Term + rapid.Uint64Range(0, 1).Draw(t, "term")
	r := consensus.Ready{State: consensus.HardState{Term: term, Vote: 7}, StateChanged: true}
	for i := range rapid.Uint64Range(0, 4).Draw(t, "entries") {
		r.Entries = append(r.Entries, consensus.Entry{Index: from + i, Term: term, Data: rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "data")})
	}
	return r
}

func stateAfter(s consensus.Stored, r consensus.Ready) consensus.Stored {
	s.State = r.State
	if len(r.Entries) > 0 {
		keep := []consensus.Entry{}
		for _, e := range s.Entries {
			if e.Index < r.Entries[0].Index {
				keep = append(keep, e)
			}
		}
		s.Entries = append(keep, r.Entries...)
	}
	return s
}

func (m *journalModel) save(t *rapid.T, fail bool) {
	r := m.drawReady(t)
	next := stateAfter(m.expected, r)
	err := m.journal.Save(r)
	switch {
	case err == nil && fail:
		t.Fatalf("Save succeeded on a failing disk")
	case err == nil:
		m.expected = next
	default:
		m.possible = &next
		if second := m.journal.Save(r); second == nil {
			t.Fatalf("Save succeeded after an earlier failure")
		}
		m.restart(t)
	}
}

// saveOnFullDisk saves while the disk is full, which stores nothing, and again
// once there is room, perhaps after a crash.
func (m *journalModel) saveOnFullDisk(t *rapid.T) {
	r := m.drawReady(t)
	m.fs.diskFull, m.fs.truncateFails = true, rapid.Bool().Draw(t, "truncateFails")
	for range rapid.IntRange(1, 3).Draw(t, "tries") {
		if err := m.journal.Save(r); !IsFull(err) {
			t.Fatalf("Save on a full disk: %v", err)
		}
	}
	if rapid.Bool().Draw(t, "compact") && len(entriesAfterSnapshot(m.expected)) > 0 {
		e := entriesAfterSnapshot(m.expected)[0]
		if err := m.journal.Compact(consensus.Snapshot{Index: e.Index, Term: e.Term, Data: []byte("state")}, m.expected.State, m.expected.Entries); !IsFull(err) {
			t.Fatalf("Compact on a full disk: %v", err)
		}
	}
	if rapid.Bool().Draw(t, "crashWhileFull") {
		m.restart(t)
		return
	}
	m.fs.diskFull, m.fs.truncateFails = false, false
	if err := m.journal.Save(r); err != nil {
		t.Fatalf("Save once there is room: %v", err)
	}
	m.expected = stateAfter(m.expected, r)
}

func (m *journalModel) restart(t *rapid.T) {
	m.fs.crash(t)
	j, stored, err := Open(m.fs, newID)
	if err != nil {
		t.Fatalf("open after a crash: %v", err)
	}
	m.journal = j
	if m.possible != nil && equalState(stored, *m.possible) {
		m.expected = *m.possible
	}
	m.possible = nil
	if !equalState(stored, m.expected) {
		t.Fatalf("found %+v\nwant %+v", stored, m.expected)
	}
}

func equalState(a, b consensus.Stored) bool {
	return a.State == b.State && reflect.DeepEqual(entriesAfterSnapshot(a), entriesAfterSnapshot(b)) && a.Snapshot.Index == b.Snapshot.Index
}

// entriesAfterSnapshot returns the entries after the snapshot, which are all
// that a journal has to keep.
func entriesAfterSnapshot(s consensus.Stored) []consensus.Entry {
	list := []consensus.Entry{}
	for _, e := range s.Entries {
		if e.Index > s.Snapshot.Index {
			if len(e.Data) == 0 {
				e.Data = nil
			}
			list = append(list, e)
		}
	}
	return list
}

func TestJournalKeepsWhatItSaved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fs := newMemoryFS()
		j, _ := mustOpen(t, fs)
		m := &journalModel{fs: fs, journal: j}
		t.Repeat(map[string]func(*rapid.T){
			"save":          func(t *rapid.T) { m.save(t, false) },
			"syncFail":      func(t *rapid.T) { m.fs.failSync = true; m.save(t, true) },
			"full":          func(t *rapid.T) { m.fs.diskFull = true; m.save(t, true) },
			"fullForAWhile": func(t *rapid.T) { m.saveOnFullDisk(t) },
			"crash":         func(t *rapid.T) { m.restart(t) },
			"compact": func(t *rapid.T) {
				entries := entriesAfterSnapshot(m.expected)
				if len(entries) == 0 {
					t.Skip("nothing to compact")
				}
				e := entries[rapid.IntRange(0, len(entries)-1).Draw(t, "at")]
				s := consensus.Snapshot{Index: e.Index, Term: e.Term, Data: []byte("state")}
				if err := m.journal.Compact(s, m.expected.State, m.expected.Entries); err != nil {
					t.Fatalf("compact: %v", err)
				}
				m.expected.Snapshot = s
			},
		})
	})
}

func TestOpenAfterDamage(t *testing.T) {
	fill := func(g *gomega.WithT, fs FS) {
		j, _, err := Open(fs, newID)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(j.Join(99)).To(gomega.Succeed())
		for i := uint64(1); i <= 3; i++ {
			g.Expect(j.Save(consensus.Ready{Entries: []consensus.Entry{{Index: i, Term: 1, Data: []byte("payload")}}})).To(gomega.Succeed())
		}
	}
	cases := []struct {
		name        string
		damage      func(m *memoryFS)
		wantCode    result.Code
		wantEntries int
	}{
		{"no damage", func(*memoryFS) {}, 0, 3},
		{"torn tail", func(m *memoryFS) { c := m.files[logFile]; c.data = c.data[:len(c.data)-3] }, 0, 2},
		{"garbled tail", func(m *memoryFS) { c := m.files[logFile]; c.data[len(c.data)-1] ^= 1 }, 0, 2},
		{"damage before the tail", func(m *memoryFS) { c := m.files[logFile]; c.data[len(c.data)/2] ^= 1 }, result.JournalDamaged, 0},
		{"lost log", func(m *memoryFS) { delete(m.files, logFile) }, result.JournalDamaged, 0},
		{"lost identity", func(m *memoryFS) { delete(m.files, identityFile) }, result.JournalDamaged, 0},
		{"damaged identity", func(m *memoryFS) { m.files[identityFile].data[15] ^= 1 }, result.JournalDamaged, 0},
		{"empty snapshot", func(m *memoryFS) { m.files[snapshotFile] = &fileContent{} }, result.JournalDamaged, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			fs := newMemoryFS()
			fill(g, fs)
			c.damage(fs)
			j, stored, err := Open(fs, newID)
			if c.wantCode != 0 {
				g.Expect(result.From(err).Code).To(gomega.Equal(c.wantCode))
				return
			}
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(stored.Entries).To(gomega.HaveLen(c.wantEntries))
			g.Expect(j.Identity()).To(gomega.Equal(Identity{ID: 7, Cluster: 99}))
		})
	}
}

func TestFolderIsLockedAndKeepsEntries(t *testing.T) {
	g := gomega.NewWithT(t)
	path := t.TempDir()
	fs, err := OpenFolder(path)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = OpenFolder(path)
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("in use")))
	j, _ := mustOpen(t, fs)
	g.Expect(j.Save(consensus.Ready{Entries: []consensus.Entry{{Index: 1, Term: 1}}})).To(gomega.Succeed())
	g.Expect(j.Close()).To(gomega.Succeed())
	fs, err = OpenFolder(path)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, stored := mustOpen(t, fs)
	g.Expect(stored.Entries).To(gomega.HaveLen(1))
}

func FuzzReplay(f *testing.F) {
	f.Add([]byte{})
	f.Add(appendFrame(nil, []byte{0xa0}))
	f.Fuzz(func(t *testing.T, data []byte) {
		fs := newMemoryFS()
		j, _ := mustOpen(t, fs)
		fs.files[logFile] = &fileContent{data: data, synced: len(data)}
		_ = j
		_, _, err := Open(fs, newID)
		if err != nil && result.From(err).Code != result.JournalDamaged {
			t.Fatalf("error without the code JournalDamaged: %v", err)
		}
	})
}
