package keeper

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/consensus"
	"github.com/hyssopladder/hyssopladder/member"
	"github.com/hyssopladder/hyssopladder/wal"
)

// look takes in which keepers are alive.
func (k *Keeper) look(nodes []member.NodeInfo) {
	own := k.options.Journal.Identity()
	k.alive, k.fresh, k.foreign = nil, nil, false
	for _, n := range nodes {
		id, ok := parseID(n.KeeperID)
		if !ok {
			continue
		}
		k.outbox.address(id, n.Address)
		k.zones[id] = n.Zone
		switch {
		case n.Cluster == 0:
			k.fresh = append(k.fresh, id)
			k.alive = append(k.alive, id)
		case n.Cluster == own.Cluster:
			k.alive = append(k.alive, id)
		default:
			k.foreign = true
		}
	}
	config := k.node.Config()
	members := config.Members()
	maps.DeleteFunc(k.zones, func(id consensus.ID, _ string) bool {
		return !slices.Contains(k.alive, id) && !slices.Contains(members, id)
	})
	slices.Sort(k.alive)
	slices.Sort(k.fresh)
	k.bootstrap(own)
	k.expedite()
	k.changeMembers()
}

// expedite has the node campaign once a majority is in reach after a start.
func (k *Keeper) expedite() {
	c := k.node.Config()
	reached := 0
	for _, id := range c.Voters {
		if slices.Contains(k.alive, id) {
			reached++
		}
	}
	if !k.expedited && reached > len(c.Voters)/2 {
		k.expedited = true
		k.node.CampaignSoon()
	}
}

// bootstrap founds the cluster, on the one keeper whose settings say so, when
// enough keepers are there that belong to no cluster, and none that does.
func (k *Keeper) bootstrap(own wal.Identity) {
	s := k.options.Settings
	if k.failed != nil || own.Cluster != 0 || !s.Bootstrap || k.foreign || !slices.Contains(k.fresh, own.ID) {
		return
	}
	voters := k.founders(own.ID)
	if voters == nil {
		return
	}
	if err := k.options.Journal.Join(randomNumber()); err != nil {
		k.fail(err)
		return
	}
	if err := k.node.Bootstrap(voters); err != nil {
		klog.ErrorS(err, "bootstrap failed", "instance", k.options.Name)
		return
	}
	klog.InfoS("keeper founded a cluster", "instance", k.options.Name, "voters", voters)
	k.joined()
}

// founders returns the first voters, or nil if this keeper doesn't found the
// cluster, or not yet. Among seeds it is the one with the lowest address, and
// it waits for all of them.
func (k *Keeper) founders(own consensus.ID) []consensus.ID {
	s := k.options.Settings
	wanted := k.fresh
	number := s.InitialVoters
	if s.FoundBySeeds {
		seeds := slices.Clone(k.options.Seeds)
		slices.SortFunc(seeds, netip.AddrPort.Compare)
		if len(seeds) == 0 || seeds[0] != k.options.Address {
			return nil
		}
		number = len(seeds)
		wanted = slices.DeleteFunc(slices.Clone(k.fresh), func(id consensus.ID) bool {
			address, _ := k.outbox.lookUp(id)
			return !slices.Contains(seeds, address)
		})
	}
	voters := []consensus.ID{own}
	for _, id := range wanted {
		if id != own && len(voters) < number {
			voters = append(voters, id)
		}
	}
	if len(voters) < number {
		return nil
	}
	return voters
}

// joined tells the other nodes the keeper's cluster.
func (k *Keeper) joined() {
	i := k.options.Journal.Identity()
	k.options.Gossip.SetKeeper(i.ID.String(), i.Cluster)
}

func (k *Keeper) changeMembers() {
	if k.failed != nil || !k.node.IsLeader() {
		return
	}
	voters, learners, change := k.watch.decide(k.options.Clock(), k.node.Config(), k.alive, k.node.CaughtUp)
	if !change {
		return
	}
	if err := k.node.ProposeConfig(voters, learners); err != nil && !errors.Is(err, consensus.ErrChangeInProgress) {
		klog.ErrorS(err, "change of keepers refused", "instance", k.options.Name)
		return
	}
	klog.InfoS("keepers change", "instance", k.options.Name, "voters", voters, "learners", learners)
}
