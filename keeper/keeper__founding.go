package keeper

import (
	"bytes"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/founding"
	"github.com/hyssopladder/hyssopladder/member"
	"github.com/hyssopladder/hyssopladder/wal"
)

// waitingLogInterval is the time between two log lines of a keeper without a cluster.
const waitingLogInterval = 5 * time.Second

// foundingState is the keeper's part in the founding of its cluster by the seeds.
type foundingState struct {
	// founder is nil if this keeper isn't a seed, or founds nothing.
	founder *founding.Founder
	// published is the encoded state that the others may know.
	published []byte
	// waiting says what a keeper without a cluster waits for, and loggedAt when it was last
	// logged; 0 if never.
	waiting  string
	loggedAt clock.Instant
}

func newFoundingState(o Options) foundingState {
	identity := o.Journal.Identity()
	if !o.Settings.FoundBySeeds || identity.Cluster != 0 {
		return foundingState{}
	}
	f := foundingState{waiting: "this keeper has just started"}
	// A seed that was started for the founding once takes part in it until it is over.
	if o.Settings.Bootstrap || identity.Word != nil {
		var word founding.Word
		if identity.Word != nil {
			word = *identity.Word
		}
		f.founder = founding.New(founding.Options{ID: identity.ID, Address: o.Address, Seeds: o.Seeds, NewCluster: randomID}, word)
	}
	return f
}

// restoreFirstEntry writes the first entry of the log once more, if the keeper ended between
// joining the cluster that it agreed to and storing the entry. All voters write the same one.
func (k *Keeper) restoreFirstEntry() {
	identity, stored := k.options.Journal.Identity(), k.options.Stored
	if identity.Word == nil || identity.Word.Proposal == nil || stored.State.Term > 0 || len(stored.Entries) > 0 || stored.Snapshot.Index > 0 {
		return
	}
	if plan := identity.Word.Proposal.Plan; plan.Cluster == identity.Cluster && slices.Contains(plan.Voters, identity.ID) {
		if err := k.node.Bootstrap(plan.Voters); err != nil {
			klog.ErrorS(err, "bootstrap failed", "instance", k.options.Name)
		}
	}
}

// takePart takes part in the founding of a cluster by the seeds, while this keeper belongs to
// none.
func (k *Keeper) takePart(own wal.Identity, nodes []member.NodeInfo) {
	f := &k.foundingState
	if k.failure != nil || own.Cluster != 0 {
		f.waiting = ""
		if f.published != nil && k.node.Applied() > 0 {
			// The log has a majority of the voters, so that no seed needs this one's word.
			f.published = nil
			k.options.Gossip.SetFounding(nil)
		}
		return
	}
	others := k.otherSeeds(own, nodes)
	if f.founder != nil {
		if !k.giveWord(others) {
			return
		}
		if plan := f.founder.Agreed(others); plan != nil && slices.Contains(plan.Voters, own.ID) {
			f.waiting = ""
			k.create(plan.Cluster, plan.Voters)
			return
		}
	}
	k.noteWaiting(others)
}

// giveWord stores and publishes what the keeper now gives its word for. It reports whether the
// disk took it.
func (k *Keeper) giveWord(others []founding.Seed) bool {
	f := &k.foundingState
	next, changed := f.founder.Update(k.options.Clock(), others, !k.foreignKeeper)
	// An empty word marks the folder as one that takes part, also after a restart.
	if changed || k.options.Journal.Identity().Word == nil {
		if !k.saved(k.options.Journal.GiveWord(next)) {
			return false
		}
		f.founder.Stored(next)
	}
	state := f.founder.State()
	if data := wire.MustEncode(&state); !bytes.Equal(data, f.published) {
		f.published = data
		k.options.Gossip.SetFounding(&state)
	}
	return true
}

// otherSeeds returns the seeds in touch that take part in the founding, one of each address.
func (k *Keeper) otherSeeds(own wal.Identity, nodes []member.NodeInfo) []founding.Seed {
	var others []founding.Seed
	for _, n := range nodes {
		id, ok := parseID(n.KeeperID)
		if !ok || id == own.ID || n.KeeperStopped || n.Founding == nil || n.Address == k.options.Address ||
			!slices.Contains(k.options.Seeds, n.Address) ||
			slices.ContainsFunc(others, func(s founding.Seed) bool { return s.Address == n.Address }) {
			continue
		}
		others = append(others, founding.Seed{ID: id, Address: n.Address, State: *n.Founding})
	}
	return others
}

// noteWaiting records what the keeper waits for, and logs it at intervals.
func (k *Keeper) noteWaiting(others []founding.Seed) {
	f := &k.foundingState
	var missing []netip.AddrPort
	needed := 0
	if f.founder != nil {
		missing, needed = f.founder.Missing(others)
	}
	switch {
	case k.foreignKeeper:
		f.waiting = "the keepers of the cluster have not taken this one in yet"
	case f.founder == nil:
		f.waiting = "the seeds have not founded a cluster yet"
	case len(others)+1 < needed:
		f.waiting = fmt.Sprintf("%d of the seeds have to be in touch to found a cluster; %v are missing", needed, missing)
	default:
		f.waiting = "the seeds in touch are agreeing on a cluster"
	}
	now := k.options.Clock()
	if f.loggedAt != 0 && now-f.loggedAt < waitingLogInterval {
		return
	}
	f.loggedAt = now
	word := founding.Word{}
	if f.founder != nil {
		word = f.founder.State().Word
	}
	klog.InfoS("no cluster yet", "instance", k.options.Name, "waiting", f.waiting, "missing", missing,
		"promisedRound", word.Promised.Round, "promisedTo", word.Promised.Proposer, "accepted", word.Proposal != nil)
}
