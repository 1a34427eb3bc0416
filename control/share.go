package control

import (
	"time"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/fairness"
)

// Bounds of the log lines on organisations above their share: on average one per
// shareLogInterval, and shareLogBurst at once.
const (
	shareLogInterval = 2 * time.Second
	shareLogBurst    = 20
)

// organisationShares decides at the leader on the organisations' shares.
type organisationShares struct {
	board *fairness.Board
	lines *rate.Limiter
	// unlogged counts the changes since the last line that had none.
	unlogged int
}

func newOrganisationShares() organisationShares {
	return organisationShares{board: fairness.NewBoard(), lines: rate.NewLimiter(rate.Every(shareLogInterval), shareLogBurst)}
}

// observe moves the part of a report that concerns shares to the board.
func (o *organisationShares) observe(now clock.Instant, key entryKey, loads map[string]Load) {
	for name, load := range loads {
		if load.Fairness == nil {
			continue
		}
		o.board.Observe(now, fairness.Entry{Name: key.entry, Incarnation: key.incarnation}, name, load.Waiting, *load.Fairness)
		load.Fairness = nil
		loads[name] = load
	}
}

// reply returns the decision that is in force, and logs its changes.
func (o *organisationShares) reply(now clock.Instant) *fairness.Reply {
	reply := o.board.Reply(now)
	for _, c := range o.board.Changes() {
		if !o.lines.AllowN(time.Unix(0, int64(now)), 1) {
			o.unlogged++
			continue
		}
		message := "organisation is above its share"
		if !c.Above {
			message = "organisation is within its share again"
		}
		klog.InfoS(message, "service", c.Service, "organisation", c.Organisation, "rank", c.Rank, "demand", c.Demand, "share", c.Share,
			"carried", c.Carried, "shared", c.Budget, "waiting", c.Waiting, "refused", c.Refused, "late", c.Late,
			"organisations", c.Competing, "after", c.FormerlyAboveFor, "notLogged", o.unlogged)
		o.unlogged = 0
	}
	return reply
}
