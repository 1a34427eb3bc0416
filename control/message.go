// Package control is the keepers' side of the platform: operators'
// configurations, upstreams' announcements, and what entries need to know of
// both.
package control

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/fleet"
	"github.com/hyssopladder/hyssopladder/upstream"
	"github.com/hyssopladder/hyssopladder/usage"
)

// Limits of a decoded message.
const (
	maxMembers = 10_000
	maxPeers   = 64
)

// SyncRequest asks a keeper for what changed. The keeper answers at once if
// something did, and otherwise after a while.
type SyncRequest struct {
	Entry string `json:"e"`
	// Config is the number of the configuration that the entry holds.
	Config uint64 `json:"c"`
	// Source and Generation name the state of the directory that the entry
	// holds from this keeper.
	Source     uint64 `json:"s,omitempty"`
	Generation uint64 `json:"g,omitempty"`
}

// Check verifies a decoded request.
func (r *SyncRequest) Check() error {
	if r.Entry == "" {
		return errors.New("sync without an entry")
	}
	return nil
}

// Peer is a keeper that entries may ask.
type Peer struct {
	Address netip.AddrPort `json:"a"`
	Zone    string         `json:"z"`
}

// SyncReply brings an entry up to date.
type SyncReply struct {
	// Source is the run of the keeper, and Generation counts the changes of
	// its directory.
	Source     uint64 `json:"s"`
	Generation uint64 `json:"g"`
	// Members are those that changed since the entry's generation, or all.
	Members []upstream.Member `json:"m,omitempty"`
	// Config is set if it is newer than the entry's.
	Config *config.Put `json:"c,omitempty"`
	// Newest is the number that a majority confirmed as the newest, at some
	// moment after the question came; 0 if none did.
	Newest uint64 `json:"n,omitempty"`
	// Leader leads the keepers in Term, as far as this one knows.
	Leader netip.AddrPort `json:"l"`
	Term   uint64         `json:"t,omitempty"`
	Peers  []Peer         `json:"p,omitempty"`
	// Wall is the keeper's time of day when it answered.
	Wall time.Time `json:"w"`
}

// Check verifies a decoded reply.
func (r *SyncReply) Check() error {
	if len(r.Members) > maxMembers || len(r.Peers) > maxPeers {
		return errors.Errorf("sync of %d upstreams and %d keepers", len(r.Members), len(r.Peers))
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

// Demand is what an organisation's callers asked of an entry since its last
// report.
type Demand struct {
	// Asked is the quota units asked for per second.
	Asked float64 `json:"a"`
	// Rate is the grant that the entry holds, in units per second.
	Rate float64 `json:"r,omitempty"`
	// Returned is what the entry has given back to the pool since it
	// started, in units.
	Returned float64 `json:"t,omitempty"`
}

// Load is the work of one service at an entry.
type Load struct {
	// Arrivals are the requests per second, and Prompt and Output their
	// tokens per second.
	Arrivals float64 `json:"a"`
	Prompt   float64 `json:"p,omitempty"`
	Output   float64 `json:"o,omitempty"`
	// Urgent is the part of the arrivals that has the first rank, and
	// Waiting the requests that wait for an upstream.
	Urgent  float64 `json:"u,omitempty"`
	Waiting int     `json:"w,omitempty"`
	// Running are the requests at upstreams.
	Running int `json:"n,omitempty"`
	// Late is the part of the answers that came after their target.
	Late float64 `json:"l,omitempty"`
}

// AccountRequest reports to the leader.
type AccountRequest struct {
	Entry       string `json:"e"`
	Zone        string `json:"z"`
	Incarnation uint64 `json:"i"`
	// Wall is true time when the entry asked, as it knows it.
	Wall time.Time `json:"w"`
	// Usage are the entry's counts of the newest windows, each from its
	// start.
	Usage []usage.Window `json:"u,omitempty"`
	// Demands are by organisation, Loads by service.
	Demands map[string]Demand `json:"d,omitempty"`
	Loads   map[string]Load   `json:"l,omitempty"`
	// UsageOnly says that nothing but the usage is set: every keeper hears of
	// that, so that the next leader knows it.
	UsageOnly bool `json:"x,omitempty"`
	// Busy is the entry's work by upstream.
	Busy map[string]fleet.Work `json:"b,omitempty"`
}

// Check verifies a decoded request.
func (r *AccountRequest) Check() error {
	const maxWindows = 64
	if r.Entry == "" || len(r.Usage) > maxWindows || len(r.Demands) > maxMembers || len(r.Loads) > maxMembers {
		return errors.New("account without an entry, or with too many parts")
	}
	return nil
}

// AccountReply answers an entry's report.
type AccountReply struct {
	// Leading says that the keeper leads; otherwise nothing is set but Leader,
	// which leads in Term as far as it knows.
	Leading bool           `json:"l"`
	Leader  netip.AddrPort `json:"d"`
	Term    uint64         `json:"n,omitempty"`
	// Rates are the quotas that the entry may hand out, in units per second,
	// by organisation, for Lease from the moment at which the entry asked.
	Rates map[string]float64 `json:"r,omitempty"`
	Lease time.Duration      `json:"t,omitempty"`
	// Config is the number of the configuration that the rates follow from.
	Config uint64 `json:"c,omitempty"`
	// Others is the work of all other entries, at a part of the upstreams if
	// there are many, and Entries the number of entries.
	Others  fleet.OtherWork `json:"o"`
	Entries int             `json:"e,omitempty"`
}

// Check verifies a decoded reply.
func (r *AccountReply) Check() error {
	if r.Lease < 0 || len(r.Rates) > maxMembers || len(r.Others.ByUpstream) > maxMembers {
		return errors.New("account reply out of bounds")
	}
	return nil
}

// ReserveRequest asks for the cost of one request from the leader's pool.
type ReserveRequest struct {
	Organisation string  `json:"o"`
	Cost         float64 `json:"c"`
}

// Check verifies a decoded request.
func (r *ReserveRequest) Check() error {
	if r.Organisation == "" || !(r.Cost >= 0) {
		return errors.New("reservation without an organisation or cost")
	}
	return nil
}

// ReserveReply answers a reservation.
type ReserveReply struct {
	OK bool `json:"k"`
	// After is when enough will be there, if OK isn't set.
	After time.Duration `json:"a,omitempty"`
	// Limit is the organisation's quota in units per second, and Left what
	// the pool has, in units.
	Limit float64 `json:"l,omitempty"`
	Left  float64 `json:"t,omitempty"`
}

// Check verifies a decoded reply.
func (r *ReserveReply) Check() error {
	if r.After < 0 {
		return errors.New("reservation with a negative wait")
	}
	return nil
}

var (
	_ wire.Checker = (*SyncRequest)(nil)
	_ wire.Checker = (*AccountRequest)(nil)
)
