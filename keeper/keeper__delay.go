package keeper

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/consensus"
)

// slowBound is the time above which a sync of the journal, or the wait of a tick for
// its handling, is logged: half of the shortest election timeout.
const slowBound = electionTicks * tickInterval / 2

// noteDelay records how long a tick has waited, and logs when the keeper's loop falls
// behind and when it has caught up.
func (k *Keeper) noteDelay(sentAt clock.Instant) {
	delay := k.options.Clock() - sentAt
	k.tickDelays.Update(delay)
	if late := delay > slowBound; late != k.late {
		k.late = late
		message := "keeper's loop has caught up"
		if late {
			message = "keeper's loop is behind"
		}
		klog.InfoS(message, "instance", k.options.Name, "delay", delay, "bound", slowBound, "role", k.node.Status().Role)
	}
}

// noteSync records how long a sync of the journal took.
func (k *Keeper) noteSync(took time.Duration, entries int) {
	k.syncTimes.Update(took)
	k.syncedEntries.Update(int64(entries))
	if took > slowBound {
		klog.InfoS("sync of the journal was slow", "instance", k.options.Name, "took", took, "bound", slowBound, "entries", entries,
			"logBytes", k.options.Journal.Size(), "role", k.node.Status().Role)
	}
}

// logRefusals logs the votes that this keeper has refused.
func (k *Keeper) logRefusals() {
	for _, r := range k.node.TakeRefusals() {
		klog.InfoS("vote refused", "instance", k.options.Name, "preVote", r.Kind == consensus.PreVote, "candidate", r.Candidate, "term", r.Term, "reason", r.Reason,
			"role", k.node.Status().Role, "ownTerm", k.node.Term())
	}
}
