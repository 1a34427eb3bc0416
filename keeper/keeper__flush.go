package keeper

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/consensus"
	"github.com/hyssopladder/hyssopladder/document"
	"github.com/hyssopladder/hyssopladder/level"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/wal"
)

// flush writes to the journal, sends and applies what the consensus node has
// ready, until nothing is left.
func (k *Keeper) flush() {
	for k.failure == nil {
		r := k.node.Ready()
		if err := k.node.Err(); err != nil {
			k.fail(result.New(result.JournalDamaged, result.RanUnknown, "%v", err))
			return
		}
		if r.Empty() {
			break
		}
		k.send(r.Early)
		if r.MustSync() {
			start := time.Now()
			if err := k.options.Journal.Save(r); wal.IsFull(err) {
				k.flushUnsaved(r, err)
				break
			} else if err != nil {
				k.fail(err)
				return
			}
			k.noteSaved()
			k.noteSync(time.Since(start), len(r.Entries))
		}
		k.send(r.Messages)
		if err := k.applyReady(r); err != nil {
			k.fail(journalError(result.RanUnknown, err))
			return
		}
		k.node.Advance(r)
	}
	k.afterFlush()
}

// fullRetryInterval is how long a keeper whose disk was full accepts no proposals.
// It saves what it has with each tick.
const fullRetryInterval = 500 * time.Millisecond

// compactRetryInterval is the time from a compaction for which the disk had no room to the
// next try, which writes the whole state.
const compactRetryInterval = 5 * time.Second

// flushUnsaved does what may be done of r while the disk is full: this keeper goes
// on following, voting for leaders as far as its log allows, and applying what
// others have stored. If it leads, it hands that over.
func (k *Keeper) flushUnsaved(r consensus.Ready, cause error) {
	k.noteFull(cause)
	k.node.TransferLeadership()
	k.send(k.node.Unsaved(r))
	if r.Snapshot != nil {
		// The entries after it can't be applied before it is stored.
		return
	}
	if err := k.applyReady(r); err != nil {
		k.fail(journalError(result.RanUnknown, err))
		return
	}
	k.node.AdvanceUnsaved(r)
}

// fullLogInterval is the time between two log lines of a disk that stays full.
const fullLogInterval = time.Minute

// noteFull records that the disk is full, and logs it at once and then at intervals.
func (k *Keeper) noteFull(cause error) {
	k.lastFull = k.options.Clock()
	if k.fullSince == 0 {
		k.fullSince = k.lastFull
		k.fullLoggedAt = k.lastFull
		klog.ErrorS(cause, "disk full; proposals are refused until there is room", "instance", k.options.Name, "code", int(result.JournalFull), "logBytes", k.options.Journal.Size())
	} else if k.lastFull-k.fullLoggedAt >= fullLogInterval {
		k.fullLoggedAt = k.lastFull
		klog.ErrorS(cause, "disk is still full", "instance", k.options.Name, "code", int(result.JournalFull), "full", k.lastFull-k.fullSince)
	}
	k.updateFullGauge()
}

// fullFor returns how long the disk has had no room for changes or for a compaction; 0
// while it has.
func (k *Keeper) fullFor() time.Duration {
	since := k.fullSince
	if k.uncompactedSince != 0 && (since == 0 || k.uncompactedSince < since) {
		since = k.uncompactedSince
	}
	if since == 0 {
		return 0
	}
	return k.options.Clock() - since
}

func (k *Keeper) updateFullGauge() { k.diskFullMs.Update(k.fullFor().Milliseconds()) }

// saved handles the outcome of a write to the journal that is tried again if the disk is full,
// and reports whether it succeeded.
func (k *Keeper) saved(err error) bool {
	switch {
	case err == nil:
		k.noteSaved()
		return true
	case wal.IsFull(err):
		k.noteFull(err)
	default:
		k.fail(err)
	}
	return false
}

// noteSaved records that the disk has room.
func (k *Keeper) noteSaved() {
	if k.fullSince != 0 {
		klog.InfoS("disk has room again", "instance", k.options.Name, "full", k.options.Clock()-k.fullSince)
		k.fullSince = 0
	}
}

// refusesForFullDisk reports whether the disk was full so lately that proposals
// are refused.
func (k *Keeper) refusesForFullDisk() bool {
	return k.fullSince != 0 && k.options.Clock()-k.lastFull < fullRetryInterval
}

func (k *Keeper) applyReady(r consensus.Ready) error {
	if r.Snapshot != nil {
		if err := k.machine.restore(r.Snapshot.Data); err != nil {
			return err
		}
		k.publishAll()
	}
	for _, e := range r.Committed {
		reply, accepted, err := k.machine.apply(e)
		if err != nil {
			return err
		}
		if accepted != nil {
			k.options.Gossip.Publish(document.Record(*accepted))
		}
		if p, ok := k.pending[e.Index]; ok {
			delete(k.pending, e.Index)
			if p.term != e.Term {
				reply = Reply{NotLeader: true, Leader: k.node.Leader()}
			}
			p.reply <- reply
		}
	}
	return nil
}

// publishAll publishes every document in force by gossip.
func (k *Keeper) publishAll() {
	for _, a := range k.machine.documents.All() {
		k.options.Gossip.Publish(document.Record(a))
	}
}

func (k *Keeper) afterFlush() {
	if k.failure != nil {
		return
	}
	k.noteLevel()
	k.logRefusals()
	if k.node.Status().Role != consensus.Leader.String() {
		k.dropPending()
	}
	k.answerReads()
	s := k.node.Status()
	k.publishView(s)
	if !k.hasDocuments && s.Leader != consensus.None && s.Commit > 0 && s.Applied == s.Commit {
		k.hasDocuments = true
		k.options.Gossip.SetHasDocuments()
	}
	if s.Applied > 0 && !k.refusesForFullDisk() && k.options.Clock() >= k.compactAt && worthCompacting(k.options.Journal.Size(), k.compactedSize) {
		k.compact()
	}
}

// worthCompacting reports whether the log is compacted at its size, in bytes. It had the
// second size after the last compaction: entries that aren't applied stay, and to write
// them again each time would leave no time for anything else.
func worthCompacting(size, compactedSize int64) bool {
	return size > compactThresholdBytes && size > 2*compactedSize
}

// dropPending replies to the pending reads and proposals without an outcome,
// which only another leader can know.
func (k *Keeper) dropPending() {
	for _, r := range k.pendingReads {
		r.reply <- readReply{}
	}
	k.pendingReads = nil
	for index, p := range k.pending {
		delete(k.pending, index)
		p.reply <- Reply{NotLeader: true, Leader: k.node.Leader()}
	}
}

func (k *Keeper) compact() {
	data, err := k.machine.snapshot()
	if err != nil {
		k.fail(err)
		return
	}
	s, err := k.node.Compact(data, trailingEntries, trailingBytes)
	if err != nil {
		k.fail(err)
		return
	}
	if err := k.options.Journal.Compact(s, k.node.State(), k.node.Entries()); wal.IsFull(err) {
		// The log stays as it is, and takes changes while there is room for them.
		now := k.options.Clock()
		if k.uncompactedSince == 0 {
			k.uncompactedSince = now
			klog.ErrorS(err, "no room to compact the log", "instance", k.options.Name, "code", int(result.JournalFull), "logBytes", k.options.Journal.Size(), "snapshotBytes", len(data))
		}
		k.compactAt = now + compactRetryInterval
		return
	} else if err != nil {
		k.fail(err)
		return
	}
	k.compactedSize, k.uncompactedSince = k.options.Journal.Size(), 0
	k.noteSaved()
	klog.InfoS("log compacted", "instance", k.options.Name, "index", s.Index, "snapshotBytes", len(data), "logBytes", k.compactedSize)
}

// fail stops the keeper, since what its journal holds is no longer known.
func (k *Keeper) fail(err error) {
	k.failure = result.From(err)
	k.stopped.Update(1)
	k.options.Gossip.SetKeeperStopped()
	klog.ErrorS(err, "keeper stopped", "instance", k.options.Name, "code", int(k.failure.Code))
	k.dropPending()
	if k.options.OnFailure != nil {
		k.options.OnFailure(err)
	}
}

func (k *Keeper) send(messages []consensus.Message) {
	cluster := k.options.Journal.Identity().Cluster
	of := levelInLog(k.machine, k.node)
	for _, m := range messages {
		if reads, known := k.reads[m.To]; known && level.Check(reads, of) != nil {
			continue
		}
		k.outbox.send(cluster, of, m)
	}
}
