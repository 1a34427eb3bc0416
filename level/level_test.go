package level_test

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/level"
	"github.com/hyssopladder/hyssopladder/result"
)

// TestRaise guards against a level that rises while a member or a node that has to read it
// doesn't, or that never rises.
func TestRaise(t *testing.T) {
	member := func(reads level.Level) level.Node { return level.Node{Reads: reads, Alive: true, Member: true} }
	lost := level.Node{Reads: 1, Member: true}
	oldEntry, goneEntry := level.Node{Alive: true}, level.Node{}
	steady := level.State{Reads: 1, Settled: true}
	for _, c := range []struct {
		name     string
		state    level.State
		nodes    []level.Node
		needsAll bool
		raise    bool
	}{
		{"all read it", steady, []level.Node{member(1), member(1), member(2)}, false, true},
		{"one member is older", steady, []level.Node{member(1), member(0), member(1)}, false, false},
		{"one member is lost", steady, []level.Node{member(1), member(1), lost}, false, false},
		{"an older entry needn't read it", steady, []level.Node{member(1), oldEntry}, false, true},
		{"an older entry has to read it", steady, []level.Node{member(1), oldEntry}, true, false},
		{"an older entry is gone", steady, []level.Node{member(1), goneEntry}, true, true},
		{"a member joins", level.State{Reads: 1}, []level.Node{member(1)}, false, false},
		{"the leader is older", level.State{Settled: true}, []level.Node{member(1), member(1)}, false, false},
		{"the entry is in the log", level.State{Reads: 2, InLog: 1, Settled: true}, []level.Node{member(2)}, false, false},
		{"all is in force", level.State{Reads: 1, InForce: 1, InLog: 1, Settled: true}, []level.Node{member(1)}, false, false},
		{"no members are known", steady, nil, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			to, raise := level.Raise(c.state, c.nodes, func(level.Level) bool { return c.needsAll })
			g.Expect(raise).To(gomega.Equal(c.raise))
			if raise {
				g.Expect(to).To(gomega.Equal(level.Level(1)))
			}
		})
	}
}

// TestLevelsRiseOneByOne guards against a level that is skipped, with its formats.
func TestLevelsRiseOneByOne(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := []level.Node{{Reads: 3, Alive: true, Member: true}}
	none := func(level.Level) bool { return false }
	for inForce := level.Level(0); inForce < 3; inForce++ {
		to, raise := level.Raise(level.State{Reads: 3, InForce: inForce, InLog: inForce, Settled: true}, nodes, none)
		g.Expect(raise).To(gomega.BeTrue())
		g.Expect(to).To(gomega.Equal(inForce + 1))
	}
}

// TestRefusalIsNumbered guards against a refusal that operators can't look up.
func TestRefusalIsNumbered(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(level.Check(1, 1)).To(gomega.Succeed())
	g.Expect(result.From(level.Check(0, 1)).Code).To(gomega.Equal(result.LevelNotRead))
}
