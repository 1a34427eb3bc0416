package keeper

import (
	"maps"
	"slices"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/consensus"
	"github.com/hyssopladder/hyssopladder/level"
	"github.com/hyssopladder/hyssopladder/member"
	"github.com/hyssopladder/hyssopladder/wal"
)

// updateNodes records which keepers are alive. Then it bootstraps the cluster,
// campaigns or changes the members, if that is due.
func (k *Keeper) updateNodes(nodes []member.NodeInfo) {
	own := k.options.Journal.Identity()
	k.alive, k.unclustered, k.foreignKeeper = nil, nil, false
	k.updateLevels(nodes)
	inLog := levelInLog(k.machine, k.node)
	for _, n := range nodes {
		id, ok := parseID(n.KeeperID)
		if !ok {
			continue
		}
		k.outbox.setAddress(id, n.Address)
		k.zones[id] = n.Zone
		switch {
		case n.KeeperStopped:
			// Its process is alive, but it takes part in nothing.
		case level.Check(k.reads[id], inLog) != nil:
			// It is sent nothing, and is replaced as a lost one is.
		case n.Cluster == 0:
			k.unclustered = append(k.unclustered, id)
			k.alive = append(k.alive, id)
		case n.Cluster == own.Cluster:
			k.alive = append(k.alive, id)
		default:
			k.foreignKeeper = true
		}
	}
	config := k.node.Config()
	members := config.Members()
	maps.DeleteFunc(k.zones, func(id consensus.ID, _ string) bool {
		return !slices.Contains(k.alive, id) && !slices.Contains(members, id)
	})
	maps.DeleteFunc(k.leftOut, func(id consensus.ID, _ bool) bool { return !slices.Contains(members, id) })
	maps.DeleteFunc(k.reads, func(id consensus.ID, _ level.Level) bool {
		return !slices.Contains(members, id) && !slices.Contains(k.alive, id)
	})
	slices.Sort(k.alive)
	slices.Sort(k.unclustered)
	if k.options.Settings.FoundBySeeds {
		k.takePart(own, nodes)
	} else {
		k.bootstrap(own)
	}
	k.campaignOnMajority()
	if due := k.changeMembers(); k.failure == nil {
		raiseLevel(k.machine, k.node, k.levelNodes, !due)
	}
}

// campaignOnMajority makes the node campaign when a majority of the voters is
// alive for the first time since the start.
func (k *Keeper) campaignOnMajority() {
	c := k.node.Config()
	aliveVoters := 0
	for _, id := range c.Voters {
		if slices.Contains(k.alive, id) {
			aliveVoters++
		}
	}
	if !k.majoritySeen && aliveVoters > len(c.Voters)/2 {
		k.majoritySeen = true
		k.node.CampaignSoon()
	}
}

// bootstrap creates the cluster, on the keeper whose settings say so, once
// enough keepers without a cluster are alive. It doesn't if a keeper of any
// cluster is alive.
func (k *Keeper) bootstrap(own wal.Identity) {
	s := k.options.Settings
	if k.failure != nil || own.Cluster != 0 || !s.Bootstrap || k.foreignKeeper || !slices.Contains(k.unclustered, own.ID) {
		return
	}
	voters := []consensus.ID{own.ID}
	for _, id := range k.unclustered {
		if id != own.ID && len(voters) < s.InitialVoters {
			voters = append(voters, id)
		}
	}
	if len(voters) == s.InitialVoters {
		k.create(randomID(), voters)
	}
}

// create joins a new cluster and writes the first entry of its log.
func (k *Keeper) create(cluster uint64, voters []consensus.ID) {
	if !k.saved(k.options.Journal.Join(cluster)) {
		return
	}
	if err := k.node.Bootstrap(voters); err != nil {
		klog.ErrorS(err, "bootstrap failed", "instance", k.options.Name)
		return
	}
	klog.InfoS("cluster bootstrapped", "instance", k.options.Name, "voters", voters)
	k.announceCluster()
}

// announceCluster publishes the keeper's cluster by gossip.
func (k *Keeper) announceCluster() {
	identity := k.options.Journal.Identity()
	k.options.Gossip.SetKeeper(identity.ID.String(), identity.Cluster)
}

// changeMembers reports whether a change of the members is due.
func (k *Keeper) changeMembers() bool {
	if k.failure != nil || !k.node.IsLeader() {
		return false
	}
	voters, learners, change := k.membership.decide(k.options.Clock(), k.node.Config(), k.alive, k.node.CaughtUp)
	if !change {
		return false
	}
	if err := k.node.ProposeConfig(voters, learners); err != nil && !errors.Is(err, consensus.ErrChangeInProgress) {
		klog.ErrorS(err, "membership change refused; trying again at the next check", "instance", k.options.Name)
		return true
	}
	klog.InfoS("changing the keepers' membership", "instance", k.options.Name, "voters", voters, "learners", learners)
	return true
}
