// Package founding decides which keepers found a cluster at its first start: a majority of
// the seeds agrees on one plan. Each seed tells the others what it has given its word for, and
// stores that first, so that no two majorities agree on different plans, whoever crashes
// or is cut off meanwhile. The protocol is Paxos for a single value, with the seeds as acceptors
// and proposers. The package has no clock and does no I/O.
package founding

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/consensus"
)

// MaxSeeds is the maximum number of seeds that found a cluster together.
const MaxSeeds = 64

// Times of a founding.
const (
	// wholeWait is how long a majority waits for the other seeds, so that these vote in the
	// cluster from its start.
	wholeWait = 2 * time.Second
	// ballotTimeout is the time without progress after which another ballot begins, and
	// turnDelay how much later each seed begins one than the seed before it.
	ballotTimeout = time.Second
	turnDelay     = 300 * time.Millisecond
)

// Ballot is one try to agree on a plan. Only its proposer names a plan in it, and one at most.
type Ballot struct {
	Round    uint64       `json:"r"`
	Proposer consensus.ID `json:"p"`
}

// Compare orders ballots.
func (b Ballot) Compare(other Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, other.Round), cmp.Compare(b.Proposer, other.Proposer))
}

// Plan is a cluster to be founded.
type Plan struct {
	Cluster uint64         `json:"c"`
	Voters  []consensus.ID `json:"v"`
}

// Proposal is what a ballot's proposer asks for: the plan, and the seeds that have promised the
// ballot, a majority. It is agreed once each of these has accepted it. A seed whose disk was
// emptied is none of them, whatever its predecessor has promised.
type Proposal struct {
	Plan   Plan           `json:"l"`
	Quorum []consensus.ID `json:"q"`
}

// Word is what a seed has given its word for. A Word is stored before another node learns of
// it.
type Word struct {
	// Promised is the lowest ballot whose proposal the seed still accepts.
	Promised Ballot `json:"p"`
	// Accepted is the ballot of the last proposal that the seed accepted; nil Proposal if
	// none.
	Accepted Ballot    `json:"a"`
	Proposal *Proposal `json:"l,omitempty"`
}

// Check verifies a decoded word.
func (w *Word) Check() error { return w.Proposal.check() }

func (p *Proposal) check() error {
	switch {
	case p == nil:
		return nil
	case p.Plan.Cluster == 0 || len(p.Plan.Voters) == 0 || len(p.Plan.Voters) > MaxSeeds || len(p.Quorum) == 0 || len(p.Quorum) > MaxSeeds:
		return errors.Errorf("invalid proposal: cluster %d of %d voters, by %d seeds", p.Plan.Cluster, len(p.Plan.Voters), len(p.Quorum))
	}
	return nil
}

// State is what a seed tells the others: its word, and what it proposes.
type State struct {
	Word Word `json:"w"`
	// Ballot is the seed's own ballot; zero if it has none. Proposal is nil until a majority
	// has promised it.
	Ballot   Ballot    `json:"b"`
	Proposal *Proposal `json:"l,omitempty"`
}

// Check verifies a decoded state.
func (s *State) Check() error {
	if err := s.Proposal.check(); err != nil {
		return err
	}
	return s.Word.Check()
}

// Seed is another seed that is alive.
type Seed struct {
	ID      consensus.ID
	Address netip.AddrPort
	State   State
}

// Options describe the seed that a Founder decides for.
type Options struct {
	ID      consensus.ID
	Address netip.AddrPort
	// Seeds are the addresses of all seeds, this one's too, the same at each.
	Seeds []netip.AddrPort
	// NewCluster returns the ID of a new cluster.
	NewCluster func() uint64
}

// Founder takes part in a founding for one seed. It isn't safe for concurrent use.
type Founder struct {
	options Options
	// word is stored.
	word     Word
	ballot   Ballot
	proposal *Proposal
	// alive is the number of seeds in touch at the last update, this one too; majoritySince is
	// the time since when they are a majority, and progressAt that of the last progress.
	alive                     int
	majoritySince, progressAt clock.Instant
}

// New returns a Founder, or nil if the node isn't one of the seeds. stored is the word that the
// seed has given before.
func New(o Options, stored Word) *Founder {
	o.Seeds = slices.Clone(o.Seeds)
	slices.SortFunc(o.Seeds, netip.AddrPort.Compare)
	o.Seeds = slices.Compact(o.Seeds)
	if len(o.Seeds) > MaxSeeds || !slices.Contains(o.Seeds, o.Address) {
		return nil
	}
	return &Founder{options: o, word: stored}
}

func (f *Founder) majority() int { return len(f.options.Seeds)/2 + 1 }

// State returns what the others may learn. A ballot is left out until the promise of it is
// stored, so that no later process of the seed uses it again.
func (f *Founder) State() State {
	s := State{Word: f.word}
	if f.ballot.Round > 0 && f.word.Promised == f.ballot {
		s.Ballot, s.Proposal = f.ballot, f.proposal
	}
	return s
}

// Missing returns the addresses of the seeds that aren't among the others, and how many of
// all have to be in touch.
func (f *Founder) Missing(others []Seed) (missing []netip.AddrPort, needed int) {
	for _, a := range f.options.Seeds {
		if a != f.options.Address && !slices.ContainsFunc(others, func(s Seed) bool { return s.Address == a }) {
			missing = append(missing, a)
		}
	}
	return missing, f.majority()
}

// Update takes what the other seeds in touch say, one of each address, and returns the word to
// store next; changed is false if it is the one that is stored. mayPropose is false while a keeper
// that belongs to a cluster is alive.
func (f *Founder) Update(now clock.Instant, others []Seed, mayPropose bool) (next Word, changed bool) {
	next = f.word
	if len(others)+1 >= f.majority() && f.alive < f.majority() {
		f.majoritySince, f.progressAt = now, now
	}
	f.alive = len(others) + 1
	if f.ballot.Round > 0 && f.word.Promised != f.ballot {
		// It was outbid, or its promise couldn't be stored.
		f.ballot, f.proposal = Ballot{}, nil
	}
	f.propose(others)
	if mayPropose && f.mayBegin(now, others) {
		f.ballot, f.proposal = Ballot{Round: f.highestRound(others) + 1, Proposer: f.options.ID}, nil
		next.Promised = f.ballot
	}
	if f.proposal != nil {
		next = next.accept(f.ballot, f.proposal)
	}
	for _, s := range others {
		if s.State.Ballot.Round > 0 {
			next = next.accept(s.State.Ballot, s.State.Proposal)
		}
	}
	if changed = next.Promised != f.word.Promised || next.Accepted != f.word.Accepted; changed {
		f.progressAt = now
	}
	return next, changed
}

// Stored tells that the word which Update returned is stored.
func (f *Founder) Stored(w Word) { f.word = w }

// accept returns the word after a ballot's proposal; nil asks for a promise only.
func (w Word) accept(b Ballot, p *Proposal) Word {
	if b.Compare(w.Promised) < 0 {
		return w
	}
	w.Promised = b
	if p != nil {
		w.Accepted, w.Proposal = b, p
	}
	return w
}

// propose makes the proposal of the own ballot once a majority has promised it. Its plan is the
// one that any of them accepted last, or else a new one in which all seeds in touch vote.
func (f *Founder) propose(others []Seed) {
	if f.ballot.Round == 0 || f.proposal != nil {
		return
	}
	quorum, voters := []consensus.ID{f.options.ID}, []consensus.ID{f.options.ID}
	last := f.word
	for _, s := range others {
		voters = append(voters, s.ID)
		if s.State.Word.Promised != f.ballot {
			continue
		}
		quorum = append(quorum, s.ID)
		if s.State.Word.Accepted.Compare(last.Accepted) > 0 {
			last = s.State.Word
		}
	}
	if len(quorum) < f.majority() {
		return
	}
	slices.Sort(voters)
	plan := Plan{Cluster: f.options.NewCluster(), Voters: voters}
	if last.Proposal != nil {
		plan = last.Proposal.Plan
	}
	f.proposal = &Proposal{Plan: plan, Quorum: quorum}
}

// mayBegin reports whether it is time for a ballot of this seed's own.
func (f *Founder) mayBegin(now clock.Instant, others []Seed) bool {
	if f.alive < f.majority() || f.alive < len(f.options.Seeds) && now-f.majoritySince < wholeWait {
		return false
	}
	turn := 0
	for _, s := range others {
		if s.Address.Compare(f.options.Address) < 0 {
			turn++
		}
	}
	wait := time.Duration(turn) * turnDelay
	if f.word.Promised.Round > 0 {
		wait += ballotTimeout
	}
	return now-f.progressAt >= wait
}

func (f *Founder) highestRound(others []Seed) uint64 {
	round := f.word.Promised.Round
	for _, s := range others {
		round = max(round, s.State.Word.Promised.Round, s.State.Ballot.Round)
	}
	return round
}

// Agreed returns the plan that a majority of the seeds has agreed on, nil if none is known. It
// is the plan for good.
func (f *Founder) Agreed(others []Seed) *Plan {
	words := map[consensus.ID]Word{f.options.ID: f.word}
	for _, s := range others {
		words[s.ID] = s.State.Word
	}
	for _, w := range words {
		if w.Proposal != nil && !slices.ContainsFunc(w.Proposal.Quorum, func(id consensus.ID) bool { return words[id].Accepted != w.Accepted }) {
			return &w.Proposal.Plan
		}
	}
	return nil
}
