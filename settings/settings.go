// Package settings reads a node's settings from an INI file. Unknown sections and
// keys, repeated keys and values out of range are faults.
package settings

import (
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/hyssopladder/hyssopladder/common/inifile"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/service"
)

// Settings are the settings of one node, by section of the file.
type Settings struct {
	Node   Node
	Entry  Entry
	Peer   Peer
	Keeper Keeper
	// Ingress is used by the role ingress, Cloud by the role control.
	Ingress Ingress
	Cloud   Cloud
}

// Node identifies the node and bounds the resources of its process.
type Node struct {
	Name   string
	Region string
	Zone   string
	// Roles are the roles that the node runs: entry, keeper, control, ingress.
	Roles []string
	// DataFolder holds the files of the roles that need a disk.
	DataFolder string
	// StopLimit bounds a graceful stop.
	StopLimit time.Duration
	// Metrics is the address that serves metrics and state dumps; without one,
	// that listener is off.
	Metrics netip.AddrPort
	// MemoryMegabytes is the memory that the process may use; 0 means no limit.
	MemoryMegabytes int
	// Processors is the number of processors to use; 0 means all.
	Processors int
}

// Entry holds the settings of the entry role.
type Entry struct {
	// Listen is where callers connect.
	Listen netip.AddrPort
	// MaxBodyBytes bounds a caller's body.
	MaxBodyBytes int
	// MaxHeaderBytes bounds a caller's headers.
	MaxHeaderBytes int
	// MaxConnections bounds open connections of callers.
	MaxConnections int
	// MaxStreamsPerCaller bounds the open requests of one caller.
	MaxStreamsPerCaller int
	// WriteTimeout bounds one write to a slow caller.
	WriteTimeout time.Duration
	// ProgressTimeout is how long an upstream may stay silent before another one is
	// looked for.
	ProgressTimeout time.Duration
}

// Ingress holds the settings of the ingress role.
type Ingress struct {
	// Listen is where callers connect, and Ready where the load balancer asks
	// whether the node is ready.
	Listen, Ready netip.AddrPort
	// RevokeWithin is the time within which a revoked key stops working on every
	// node.
	RevokeWithin time.Duration
	// RetryRatio and RetrySlack bound the attempts beyond each request's first,
	// over all entries: a fraction of the requests, plus a number of attempts.
	RetryRatio, RetrySlack float64
	// AssumedEntries is the number of entries that share this retry budget, until
	// the keepers report it.
	AssumedEntries int
	// UsageWindow is the length of the windows in which requests are counted.
	UsageWindow time.Duration
	// DrainWithin is the time for which an upstream still serves after it has said that
	// it leaves.
	DrainWithin time.Duration
	// HoldAtStart is how long a request may wait that comes before the entry can serve; 0
	// refuses it at once.
	HoldAtStart time.Duration
	// LearnPace makes the entry measure how fast engines answer, use what the leader makes of
	// it, and spread its choices among equal engines. With LearnPlainPace it does that for plain
	// upstreams too.
	LearnPace, LearnPlainPace bool
	// Rollouts bounds what a new release may get until it is known to be good.
	Rollouts Rollouts
}

// Rollouts bounds what a bad release may get. Without ExposeShare there are no rollouts.
type Rollouts struct {
	// ExposeShare is the fraction of the service's requests between the order and its
	// deadline, and ExposeSlack a number of requests beyond that.
	ExposeShare, ExposeSlack float64
	// RevertWithin is the time after the 50th bad answer from which on the release gets no
	// request.
	RevertWithin time.Duration
}

// Cloud holds the settings of the calls to a platform's API.
type Cloud struct {
	// Address is that of the platform's API; without one, no call is made.
	Address netip.AddrPort
	// UsageWindow is the time that one usage report covers, and UsageWithin the
	// time after its end within which the report is due.
	UsageWindow, UsageWithin time.Duration
	// HolderLease is the time within which no two nodes may take turns at the
	// calls.
	HolderLease time.Duration
	// Duties are the calls that the platform expects: usage, scale.
	Duties []string
}

// Peer holds the settings of the traffic between nodes.
type Peer struct {
	// Listen is where peers, upstreams and operators connect.
	Listen netip.AddrPort
	// Advertise is the address that other nodes use; by default Listen.
	Advertise netip.AddrPort
	// Seeds are the peers to join.
	Seeds []netip.AddrPort
	// Interval is the time between two rounds of gossip.
	Interval time.Duration
	// Lease is how long a peer counts as alive after the last update of it.
	Lease time.Duration
}

// Keeper holds the settings of the keeper role.
type Keeper struct {
	// Bootstrap makes this keeper found the cluster. Without FoundBySeeds, only
	// one keeper may have it set.
	Bootstrap bool
	// FoundBySeeds makes a majority of the keepers at the seeds' addresses found the cluster
	// together; Bootstrap is then set on all of them.
	FoundBySeeds bool
	// QuotaSlack is the number of units by which all entries together may
	// exceed an organisation's quota.
	QuotaSlack float64
	// RestartOnFault ends the process when its disk fails, so that its supervisor
	// restarts it.
	RestartOnFault bool
	// InitialVoters is the number of keepers that vote from the start.
	InitialVoters int
	// Voters is the number of keepers that vote once that many are alive; an even
	// number counts as one fewer.
	Voters int
	// ReplaceAfter is how long a voter may be unreachable before another keeper
	// replaces it.
	ReplaceAfter time.Duration
	// Rollouts are the same bounds as the entries'.
	Rollouts Rollouts
}

// The roles that settings may name.
const (
	RoleEntry  = "entry"
	RoleKeeper = "keeper"
	// RoleControl serves operators and upstreams of a platform on a keeper's
	// instance; RoleIngress serves its callers.
	RoleControl = "control"
	RoleIngress = "ingress"
)

var allRoles = []string{RoleEntry, RoleKeeper, RoleControl, RoleIngress}

// Default returns the values of the keys that a file leaves out.
func Default() Settings {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	return Settings{
		Node: Node{Region: "local", Roles: []string{RoleEntry}, StopLimit: 30 * time.Second},
		Entry: Entry{
			Listen:              loopback,
			MaxBodyBytes:        1 << 20,
			MaxHeaderBytes:      32 << 10,
			MaxConnections:      4096,
			MaxStreamsPerCaller: 1024,
			WriteTimeout:        10 * time.Second,
			ProgressTimeout:     2 * time.Second,
		},
		Keeper: Keeper{InitialVoters: 3, Voters: 3, ReplaceAfter: 30 * time.Second},
		Peer:   Peer{Listen: loopback, Interval: 200 * time.Millisecond, Lease: 3 * time.Second},
		Ingress: Ingress{
			Listen: loopback, Ready: loopback, RevokeWithin: 5 * time.Second, RetryRatio: 0.2, RetrySlack: 50,
			AssumedEntries: 16, UsageWindow: 5 * time.Second, DrainWithin: 2 * time.Second,
			LearnPace: true,
		},
		Cloud: Cloud{UsageWindow: 5 * time.Second, UsageWithin: 10 * time.Second, HolderLease: 3 * time.Second},
	}
}

// Load reads the file at path.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, result.New(result.SettingsInvalid, result.RanNo, "%v", err)
	}
	s, err := Parse(data)
	if err != nil {
		return s, result.New(result.SettingsInvalid, result.RanNo, "%s: %v", path, err)
	}
	return s, nil
}

// Parse reads settings; its error is service.Faults with all faults.
func Parse(data []byte) (Settings, error) {
	s := Default()
	file, err := inifile.Load(data)
	if err != nil {
		return s, service.Faults{err.Error()}
	}
	var faults service.Faults
	sections := s.sectionReaders()
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		read, ok := sections[section.Name()]
		if !ok {
			faults = append(faults, "["+section.Name()+"]: unknown section; want node, entry, peer, keeper, ingress or cloud")
			continue
		}
		r := &sectionReader{inifile.NewReader(section)}
		read(r)
		faults = append(faults, r.Faults()...)
	}
	faults = append(faults, s.faults()...)
	if len(faults) > 0 {
		return s, faults
	}
	return s, nil
}

// sectionReaders returns the function that reads each section, by its name.
func (s *Settings) sectionReaders() map[string]func(*sectionReader) {
	return map[string]func(*sectionReader){
		"node":    s.Node.read,
		"entry":   s.Entry.read,
		"peer":    s.Peer.read,
		"keeper":  s.Keeper.read,
		"ingress": s.Ingress.read,
		"cloud":   s.Cloud.read,
	}
}

// Keys returns the keys of every section, in order.
func Keys() map[string][]string {
	s := Default()
	keys := map[string][]string{}
	for name, read := range s.sectionReaders() {
		r := &sectionReader{inifile.NewReader(ini.Empty().Section(name))}
		read(r)
		keys[name] = r.KnownKeys()
	}
	return keys
}

// HasRole reports whether the node runs the role.
func (s *Settings) HasRole(role string) bool {
	for _, r := range s.Node.Roles {
		if r == role {
			return true
		}
	}
	return false
}

// faults returns the faults in the node's names and roles, and the keys that its
// roles lack.
func (s *Settings) faults() []string {
	var faults []string
	if !service.ValidName(s.Node.Name) {
		faults = append(faults, "[node] name: a name is needed: a letter followed by letters, digits or '-'")
	}
	if !service.ValidName(s.Node.Zone) {
		faults = append(faults, "[node] zone: a name is needed: a letter followed by letters, digits or '-'")
	}
	for _, role := range s.Node.Roles {
		if !slices.Contains(allRoles, role) {
			faults = append(faults, "[node] roles: found "+role+", want "+strings.Join(allRoles, " or "))
		}
	}
	if s.HasRole(RoleControl) && !s.HasRole(RoleKeeper) {
		faults = append(faults, "[node] roles: the role control needs the role keeper beside it")
	}
	if s.HasRole(RoleKeeper) && s.Node.DataFolder == "" {
		faults = append(faults, "[node] dataFolder: the role keeper needs one")
	}
	return faults
}

// sectionReader reads the keys of a section into their fields.
type sectionReader struct{ *inifile.Reader }

// positiveInt reads a whole number above zero into target, if the key is present.
func (r *sectionReader) positiveInt(key string, target *int) {
	if !r.Has(key) {
		return
	}
	if n := r.Int(key); n > 0 {
		*target = n
	} else {
		r.Fault(key, "found %d, want more than 0", n)
	}
}

// positiveDuration reads a duration above zero into target, if the key is present.
func (r *sectionReader) positiveDuration(key string, target *time.Duration) {
	if !r.Has(key) {
		return
	}
	if d := r.Duration(key); d > 0 {
		*target = d
	} else {
		r.Fault(key, "found %v, want more than 0", d)
	}
}

// nonNegative reads a number of 0 or more into target, if the key is present.
func (r *sectionReader) nonNegative(key string, target *float64) {
	if !r.Has(key) {
		return
	}
	if f := r.Float(key); f >= 0 {
		*target = f
	} else {
		r.Fault(key, "found %v, want 0 or more", f)
	}
}

// text reads a string into target, if the key is present.
func (r *sectionReader) text(key string, target *string) {
	if r.Has(key) {
		*target = r.String(key)
	}
}

// address reads an address into target, if the key is present.
func (r *sectionReader) address(key string, target *netip.AddrPort) {
	if r.Has(key) {
		*target = r.AddrPort(key)
	}
}

func (n *Node) read(r *sectionReader) {
	r.text("name", &n.Name)
	r.text("region", &n.Region)
	r.text("zone", &n.Zone)
	r.text("dataFolder", &n.DataFolder)
	r.positiveDuration("stopLimit", &n.StopLimit)
	r.address("metrics", &n.Metrics)
	r.positiveInt("memoryMegabytes", &n.MemoryMegabytes)
	r.positiveInt("processors", &n.Processors)
	if r.Has("roles") {
		n.Roles = r.List("roles")
	}
}

func (e *Entry) read(r *sectionReader) {
	r.address("listen", &e.Listen)
	r.positiveInt("maxBodyBytes", &e.MaxBodyBytes)
	r.positiveInt("maxHeaderBytes", &e.MaxHeaderBytes)
	r.positiveInt("maxConnections", &e.MaxConnections)
	r.positiveInt("maxStreamsPerCaller", &e.MaxStreamsPerCaller)
	r.positiveDuration("writeTimeout", &e.WriteTimeout)
	r.positiveDuration("progressTimeout", &e.ProgressTimeout)
}

func (i *Ingress) read(r *sectionReader) {
	r.address("listen", &i.Listen)
	r.address("ready", &i.Ready)
	r.positiveDuration("revokeWithin", &i.RevokeWithin)
	r.nonNegative("retryRatio", &i.RetryRatio)
	r.nonNegative("retrySlack", &i.RetrySlack)
	r.positiveInt("assumedEntries", &i.AssumedEntries)
	r.positiveDuration("usageWindow", &i.UsageWindow)
	r.positiveDuration("drainWithin", &i.DrainWithin)
	r.positiveDuration("holdAtStart", &i.HoldAtStart)
	if r.Has("learnPace") {
		i.LearnPace = r.Bool("learnPace")
	}
	if r.Has("learnPlainPace") {
		i.LearnPlainPace = r.Bool("learnPlainPace")
	}
	i.Rollouts.read(r)
}

func (o *Rollouts) read(r *sectionReader) {
	r.nonNegative("exposeShare", &o.ExposeShare)
	r.nonNegative("exposeSlack", &o.ExposeSlack)
	r.positiveDuration("revertWithin", &o.RevertWithin)
}

func (c *Cloud) read(r *sectionReader) {
	r.address("address", &c.Address)
	r.positiveDuration("usageWindow", &c.UsageWindow)
	r.positiveDuration("usageWithin", &c.UsageWithin)
	r.positiveDuration("holderLease", &c.HolderLease)
	if r.Has("duties") {
		c.Duties = r.List("duties")
	}
}

func (k *Keeper) read(r *sectionReader) {
	k.Bootstrap = r.Bool("bootstrap")
	k.FoundBySeeds = r.Bool("foundBySeeds")
	r.nonNegative("quotaSlack", &k.QuotaSlack)
	k.RestartOnFault = r.Bool("restartOnFault")
	r.positiveInt("initialVoters", &k.InitialVoters)
	r.positiveInt("voters", &k.Voters)
	r.positiveDuration("replaceAfter", &k.ReplaceAfter)
	k.Rollouts.read(r)
}

func (p *Peer) read(r *sectionReader) {
	r.address("listen", &p.Listen)
	r.address("advertise", &p.Advertise)
	if r.Has("seeds") {
		p.Seeds = r.AddrPorts("seeds")
	}
	r.positiveDuration("interval", &p.Interval)
	r.positiveDuration("lease", &p.Lease)
}
