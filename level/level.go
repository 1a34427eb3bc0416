// Package level decides which formats the keepers may write while builds of several
// versions run. A level numbers the formats of the log and the snapshot. A keeper reads all
// levels up to its highest. One level is in force; it begins at 0 and rises one by one by
// entries of the log. Nothing above it is written. Nothing here does I/O.
package level

import "github.com/hyssopladder/hyssopladder/result"

// Level numbers the formats of the log and the snapshot.
type Level uint32

// Highest is the highest level that this build reads.
const Highest Level = 0

// Node is what the leader knows of a node.
type Node struct {
	// Reads is the highest level that the node says it reads.
	Reads Level
	Alive bool
	// Member says that the node is a voter or a learner.
	Member bool
}

// State is what the leader knows of itself and its log.
type State struct {
	// Reads is the highest level that the leader reads.
	Reads Level
	// InForce is the level of the applied entries, and InLog that of all entries.
	InForce, InLog Level
	// Settled says that no change of the members is due or under way.
	Settled bool
}

// Raise returns the level to raise to, and whether to. All members have to be alive and to
// read it: a lost one, of which nobody knows what it will be started as, holds the level
// down until it is no member any more. needsAll says of a level that the other nodes in
// touch have to read it too.
func Raise(s State, nodes []Node, needsAll func(Level) bool) (Level, bool) {
	next := s.InForce + 1
	if !s.Settled || s.InLog > s.InForce || s.Reads < next {
		return 0, false
	}
	members := 0
	for _, n := range nodes {
		if n.Member {
			members++
		}
		switch {
		case n.Alive && n.Reads >= next:
		case n.Member, n.Alive && needsAll(next):
			return 0, false
		}
	}
	return next, members > 0
}

// Check returns the error with which a keeper refuses what is of a level, or nil if it
// reads it.
func Check(reads, of Level) error {
	if of <= reads {
		return nil
	}
	return result.New(result.LevelNotRead, result.RanNo, "level %d is in use, and this build reads only up to %d", of, reads)
}
