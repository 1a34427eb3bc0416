package keeper

import (
	"slices"

	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/consensus"
	"github.com/hyssopladder/hyssopladder/level"
	"github.com/hyssopladder/hyssopladder/member"
	"github.com/hyssopladder/hyssopladder/result"
)

// levelInLog returns the highest level of the log, whose last entries may not be committed.
func levelInLog(m *stateMachine, n *consensus.Node) level.Level {
	highest := m.level
	for _, e := range slices.Backward(n.Entries()) {
		if e.Index <= n.Applied() {
			break
		}
		highest = max(highest, levelOf(e))
	}
	return highest
}

// checkStored returns an error if the stored log, committed or not, is of a level that this
// keeper doesn't read. Its snapshot is checked when it is restored.
func checkStored(reads level.Level, s consensus.Stored) error {
	for _, e := range s.Entries {
		if err := level.Check(reads, levelOf(e)); err != nil {
			return err
		}
	}
	return nil
}

// needed returns the level that has to be in force before the command is written.
func (c *Command) needed() level.Level {
	if c.Later != nil {
		return c.Later.Level
	}
	return 0
}

// updateLevels records what the nodes read. It stops the keeper if its cluster, or the one
// it might join, is of a level that it doesn't read.
func (k *Keeper) updateLevels(nodes []member.NodeInfo) {
	own := k.options.Journal.Identity()
	members := k.node.Config()
	inLog := levelInLog(k.machine, k.node)
	k.levelNodes = k.levelNodes[:0]
	alive := map[consensus.ID]bool{}
	for _, n := range nodes {
		id, isKeeper := parseID(n.KeeperID)
		if !isKeeper {
			k.levelNodes = append(k.levelNodes, level.Node{Reads: n.Reads, Alive: true})
			continue
		}
		if id == own.ID {
			n.Reads = k.machine.reads
		}
		leftOut := n.Reads < inLog && slices.Contains(members.Members(), id)
		if leftOut && !k.leftOut[id] {
			klog.ErrorS(nil, "keeper left out; it doesn't read the level of the log", "instance", k.options.Name, "keeper", id, "peer", n.Address,
				"reads", n.Reads, "level", inLog, "code", int(result.LevelNotRead))
		}
		k.reads[id], k.leftOut[id] = n.Reads, leftOut
		alive[id] = !n.KeeperStopped
		if n.Cluster != 0 && (own.Cluster == 0 || own.Cluster == n.Cluster) && k.failure == nil {
			if err := level.Check(k.machine.reads, n.Level); err != nil {
				k.fail(err)
			}
		}
	}
	for _, id := range members.Members() {
		k.levelNodes = append(k.levelNodes, level.Node{Reads: k.reads[id], Alive: alive[id], Member: true})
	}
}

// raiseLevel lets a leader append the entry that raises the level, once all that have to
// read it do. settled says that no change of the members is due.
func raiseLevel(m *stateMachine, n *consensus.Node, nodes []level.Node, settled bool) {
	if !n.IsLeader() {
		return
	}
	config := n.Config()
	s := level.State{Reads: m.reads, InForce: m.level, InLog: levelInLog(m, n), Settled: settled && !config.Joint()}
	needsAll := func(l level.Level) bool { return m.later != nil && m.later.NeedsAll(l) }
	if to, ok := level.Raise(s, nodes, needsAll); ok {
		n.Propose(wire.MustEncode(&Command{Level: &RaiseLevel{To: to}}))
	}
}

// announceLevel publishes the level in force by gossip and as a metric.
func (k *Keeper) announceLevel() {
	k.announcedLevel = k.machine.level
	k.options.Gossip.SetLevels(k.machine.reads, k.machine.level)
	k.levelGauge.Update(int64(k.machine.level))
	k.readsGauge.Update(int64(k.machine.reads))
}

// noteLevel publishes and logs a level that has come into force.
func (k *Keeper) noteLevel() {
	if k.machine.level == k.announcedLevel {
		return
	}
	k.announceLevel()
	klog.InfoS("level in force", "instance", k.options.Name, "level", k.machine.level, "reads", k.machine.reads)
}
