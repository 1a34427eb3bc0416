// Package control runs on every keeper. It accepts configurations from
// operators and announcements from upstreams, sends both to the entries, and
// collects the entries' reports. The leader among the keepers also grants the
// entries their parts of the organisations' quotas, reports usage to the
// platform, and scales the services.
package control

import (
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/capacity"
	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/detour"
	"github.com/hyssopladder/hyssopladder/fairness"
	"github.com/hyssopladder/hyssopladder/fleet"
	"github.com/hyssopladder/hyssopladder/limit"
	"github.com/hyssopladder/hyssopladder/rollout"
	"github.com/hyssopladder/hyssopladder/suspect"
	"github.com/hyssopladder/hyssopladder/upstream"
	"github.com/hyssopladder/hyssopladder/usage"
)

// Limits of the lists in a decoded message.
const (
	// maxItems bounds the quotas and demands too, and with them the organisations of a
	// configuration.
	maxItems = 10_000
	maxPeers = 64
)

// SyncRequest asks a keeper for changes of the configuration and the upstreams.
// The keeper answers as soon as there are any, and otherwise after a while (long
// polling).
type SyncRequest struct {
	Entry string `json:"e"`
	// Config is the number of the configuration that the entry holds.
	Config uint64 `json:"c"`
	// Source and Generation are those of the last SyncReply that the entry
	// received from this keeper.
	Source     uint64 `json:"s,omitempty"`
	Generation uint64 `json:"g,omitempty"`
	// Rollouts is the version of the rollouts' view that the entry holds.
	Rollouts uint64 `json:"o,omitempty"`
	// Probe asks whether the keeper reaches a majority. It answers as soon as it knows,
	// without upstreams.
	Probe bool `json:"b,omitempty"`
}

// Check verifies a decoded request.
func (r *SyncRequest) Check() error {
	if r.Entry == "" {
		return errors.New("sync request without an entry")
	}
	return nil
}

// Quorum is what a keeper knows of its majority, from a question of its own.
type Quorum int

const (
	// QuorumUnasked means that the keeper has answered before the question was settled.
	QuorumUnasked Quorum = iota
	// QuorumConfirmed means that a majority answered.
	QuorumConfirmed
	// QuorumMissed means that none did in time.
	QuorumMissed
)

// Peer is a keeper that entries may ask.
type Peer struct {
	Address netip.AddrPort `json:"a"`
	Zone    string         `json:"z"`
}

// SyncReply brings an entry up to date.
type SyncReply struct {
	// Source is the keeper's incarnation, and Generation counts the changes
	// of its registry of upstreams.
	Source     uint64 `json:"s"`
	Generation uint64 `json:"g"`
	// Members are the upstreams that changed since the entry's generation;
	// all of them if Source differs from the entry's.
	Members []upstream.Member `json:"m,omitempty"`
	// Config is set if it is newer than the entry's.
	Config *config.Put `json:"c,omitempty"`
	// Rollouts is set if it is newer than the entry's.
	Rollouts *rollout.View `json:"o,omitempty"`
	// ConfirmedConfig is the number of the configuration that a majority
	// confirmed as the newest at some time after the request arrived; 0 if
	// none did.
	ConfirmedConfig uint64 `json:"n,omitempty"`
	// Quorum says whether a majority answered the keeper after the request arrived.
	Quorum Quorum `json:"q,omitempty"`
	// Leader is the keepers' leader in Term, as far as this keeper knows.
	Leader netip.AddrPort `json:"l"`
	Term   uint64         `json:"t,omitempty"`
	Peers  []Peer         `json:"p,omitempty"`
	// Wall is the keeper's wall clock when it answered.
	Wall time.Time `json:"w"`
}

// Check verifies a decoded reply.
func (r *SyncReply) Check() error {
	if len(r.Members) > maxItems || len(r.Peers) > maxPeers {
		return errors.Errorf("sync reply with too many upstreams (%d) or keepers (%d)", len(r.Members), len(r.Peers))
	}
	for i := range r.Members {
		if err := r.Members[i].Check(); err != nil {
			return err
		}
	}
	if r.Config != nil {
		return r.Config.Check()
	}
	return nil
}

// Demand is an organisation's use of its quota at one entry, measured since the
// entry's last report.
type Demand struct {
	// Rate is the demand of the callers, in units per second.
	Rate float64 `json:"a"`
	// LeasedRate is the part of the quota that the entry holds, in units per
	// second.
	LeasedRate float64 `json:"r,omitempty"`
	// Refunded is what the entry has given back to the pool since it
	// started, in units.
	Refunded float64 `json:"t,omitempty"`
}

// Load is the work of one service at an entry.
type Load struct {
	// Arrivals are the requests per second, and Prompt and Output their
	// tokens per second.
	Arrivals float64 `json:"a"`
	Prompt   float64 `json:"p,omitempty"`
	Output   float64 `json:"o,omitempty"`
	// Urgent are the arrivals with rank 0, and Waiting the requests that wait
	// for an upstream.
	Urgent  float64 `json:"u,omitempty"`
	Waiting int     `json:"w,omitempty"`
	// Running are the requests at upstreams.
	Running int `json:"n,omitempty"`
	// LateFraction is the fraction of the answers that came after their
	// target time.
	LateFraction float64 `json:"l,omitempty"`
	// Fairness is what the organisations' shares of the service are computed from.
	Fairness *fairness.Report `json:"f,omitempty"`
}

// AccountRequest is an entry's report to a keeper.
type AccountRequest struct {
	Entry       string `json:"e"`
	Zone        string `json:"z"`
	Incarnation uint64 `json:"i"`
	// Wall is the entry's estimate of the wall time when it sent the report.
	Wall time.Time `json:"w"`
	// Usage are the entry's counts of the newest windows, each counted from
	// the window's start.
	Usage []usage.Window `json:"u,omitempty"`
	// Demands are by organisation, Loads by service.
	Demands map[string]Demand `json:"d,omitempty"`
	Loads   map[string]Load   `json:"l,omitempty"`
	// UsageOnly says that only the usage is set. Such reports go to every
	// keeper, so that the next leader has the counts.
	UsageOnly bool `json:"x,omitempty"`
	// Busy is the entry's work by upstream.
	Busy map[string]fleet.Work `json:"b,omitempty"`
	// Suspects is what the entry has seen of upstreams' crashes.
	Suspects []suspect.Evidence `json:"q,omitempty"`
	// Limits is what upstreams have named to the entry.
	Limits []limit.Observation `json:"v,omitempty"`
	// Helper is where other entries may ask for tunnels to upstreams; nil if this entry
	// reaches none itself, or stops.
	Helper *netip.AddrPort `json:"h,omitempty"`
	// WantsHelpers asks for a list of entries that open tunnels.
	WantsHelpers bool `json:"k,omitempty"`
	// Releases is what the entry has seen of the releases of running rollouts, nil without any,
	// and RolloutVersion the version of the view in force at the entry.
	Releases       *rollout.Report `json:"f,omitempty"`
	RolloutVersion uint64          `json:"rv,omitempty"`
	// Capacity is what the entry measured of the upstreams; nil if it doesn't.
	Capacity *capacity.Report `json:"pc,omitempty"`
	// odd says why a part was left out when the report was decoded.
	odd error
}

// Check verifies a decoded request.
func (r *AccountRequest) Check() error {
	const maxWindows = 64
	if r.Entry == "" || len(r.Usage) > maxWindows || len(r.Demands) > maxItems || len(r.Loads) > maxItems {
		return errors.New("account request without an entry, or with too many usage windows, demands or loads")
	}
	if len(r.Limits) > limit.MaxObservations {
		return errors.Errorf("account request with %d limits, want at most %d", len(r.Limits), limit.MaxObservations)
	}
	r.leaveOutOdd()
	return checkList(r.Suspects, suspect.MaxEvidence, (*suspect.Evidence).Check)
}

// leaveOutOdd leaves out the parts that can't be used. Their numbers come from operators, callers and
// upstreams: an odd one mustn't cost the entry its quotas.
func (r *AccountRequest) leaveOutOdd() {
	r.Limits = keepValid(r.Limits, (*limit.Observation).Check, &r.odd)
	for name, load := range r.Loads {
		if load.Fairness == nil {
			continue
		}
		load.Fairness.Demands = keepValid(load.Fairness.Demands, (*fairness.Demand).Check, &r.odd)
		if err := load.Fairness.Check(); err != nil {
			r.odd = err
			load.Fairness = nil
			r.Loads[name] = load
		}
	}
	if r.Releases != nil {
		if err := r.Releases.Check(); err != nil {
			r.odd, r.Releases = err, nil
		}
	}
	if r.Capacity != nil {
		if err := r.Capacity.Check(); err != nil {
			r.odd, r.Capacity = err, nil
		}
	}
}

// keepValid returns the valid values of a decoded list, and sets odd if there are others.
func keepValid[T any](list []T, check func(*T) error, odd *error) []T {
	return slices.DeleteFunc(list, func(value T) bool {
		err := check(&value)
		if err != nil {
			*odd = err
		}
		return err != nil
	})
}

// checkList verifies a decoded list of at most most values.
func checkList[T any](list []T, most int, check func(*T) error) error {
	if len(list) > most {
		return errors.Errorf("list of %d values, want at most %d", len(list), most)
	}
	for i := range list {
		if err := check(&list[i]); err != nil {
			return err
		}
	}
	return nil
}

// AccountReply answers an entry's report.
type AccountReply struct {
	// Leading says that this keeper leads and that the report wasn't
	// UsageOnly. Otherwise only Leader and Term are set: the leader as far as
	// this keeper knows, and its term.
	Leading bool           `json:"l"`
	Leader  netip.AddrPort `json:"d"`
	Term    uint64         `json:"n,omitempty"`
	// Rates are the entry's parts of the quotas, in units per second, by
	// organisation. They hold for Lease from the time of the request.
	Rates map[string]float64 `json:"r,omitempty"`
	Lease time.Duration      `json:"t,omitempty"`
	// Config is the number of the configuration that sets the quotas.
	Config uint64 `json:"c,omitempty"`
	// Others is the work of all other entries; if there are many upstreams,
	// each reply covers only a range of them. Entries is the number of
	// entries.
	Others  fleet.OtherWork `json:"o"`
	Entries int             `json:"e,omitempty"`
	// NextReport is when the entry's next report is due, counted from this
	// one.
	NextReport time.Duration `json:"x,omitempty"`
	// Suspects is what all entries have seen of upstreams' crashes.
	Suspects []suspect.Evidence `json:"q,omitempty"`
	// Limits are the limits that upstreams name, with the entry's shares.
	Limits []limit.Share `json:"v,omitempty"`
	// Helpers are entries that open tunnels to upstreams, the preferred ones first, if
	// the entry asked for them.
	Helpers []detour.Helper `json:"h,omitempty"`
	// Fairness names the organisations above their shares of saturated services. Without it
	// the entry goes on with the last ones for a while: a new leader knows too little.
	Fairness *fairness.Reply `json:"fs,omitempty"`
	// Paces are what has changed of the upstreams' paces; nil if the entry reported none.
	Paces *capacity.Update `json:"pc,omitempty"`
	// odd says why a part was left out when the reply was decoded.
	odd error
}

// Odd says why a part was left out when the reply was decoded; nil if all of it can be used.
func (r *AccountReply) Odd() error { return r.odd }

// Check verifies a decoded reply.
func (r *AccountReply) Check() error {
	if r.Lease < 0 || r.NextReport < 0 || r.NextReport > maxReportInterval || len(r.Rates) > maxItems || len(r.Others.ByUpstream) > maxItems {
		return errors.New("account reply with a negative lease, an invalid time of the next report, or too many rates or upstreams")
	}
	if len(r.Helpers) > detour.MaxHelpers {
		return errors.Errorf("account reply with %d helpers, want at most %d", len(r.Helpers), detour.MaxHelpers)
	}
	if len(r.Limits) > limit.MaxObservations {
		return errors.Errorf("account reply with %d limits, want at most %d", len(r.Limits), limit.MaxObservations)
	}
	r.leaveOutOdd()
	return checkList(r.Suspects, suspect.MaxEvidence, (*suspect.Evidence).Check)
}

// leaveOutOdd leaves out the parts that can't be used.
func (r *AccountReply) leaveOutOdd() {
	r.Limits = keepValid(r.Limits, (*limit.Share).Check, &r.odd)
	if r.Fairness != nil {
		for name, share := range r.Fairness.Services {
			share.Excesses = keepValid(share.Excesses, (*fairness.Excess).Check, &r.odd)
			r.Fairness.Services[name] = share
		}
		if err := r.Fairness.Check(); err != nil {
			r.odd, r.Fairness = err, nil
		}
	}
	if r.Paces != nil {
		r.Paces.Paces = keepValid(r.Paces.Paces, (*capacity.Pace).Check, &r.odd)
		if err := r.Paces.Check(); err != nil {
			r.odd, r.Paces = err, nil
		}
	}
}

// ReserveRequest asks for the cost of one request from the leader's pool.
type ReserveRequest struct {
	Organisation string  `json:"o"`
	Cost         float64 `json:"c"`
}

// Check verifies a decoded request.
func (r *ReserveRequest) Check() error {
	if r.Organisation == "" || !(r.Cost >= 0) {
		return errors.New("reserve request without an organisation or a valid cost")
	}
	return nil
}

// ReserveReply answers a reservation.
type ReserveReply struct {
	OK bool `json:"k"`
	// RetryAfter is the time until the pool has enough, if OK isn't set.
	RetryAfter time.Duration `json:"a,omitempty"`
	// Limit is the organisation's quota in units per second, and Remaining
	// the content of its pool in units.
	Limit     float64 `json:"l,omitempty"`
	Remaining float64 `json:"t,omitempty"`
}

// Check verifies a decoded reply.
func (r *ReserveReply) Check() error {
	if r.RetryAfter < 0 {
		return errors.New("reserve reply with a negative wait")
	}
	return nil
}

var (
	_ wire.Checker = (*SyncRequest)(nil)
	_ wire.Checker = (*AccountRequest)(nil)
)
