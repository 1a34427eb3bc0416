// Package settings reads a node's INI settings strictly.
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

// Settings are those of one node.
type Settings struct {
	Node   Node
	Entry  Entry
	Peer   Peer
	Keeper Keeper
	// Ingress and Cloud are used by the roles that serve a platform.
	Ingress Ingress
	Cloud   Cloud
}

// Node says who and where the node is.
type Node struct {
	Name   string
	Region string
	Zone   string
	// Roles are the plug-ins that the node runs: entry, keeper.
	Roles []string
	// DataFolder holds the files of the roles that need a disk.
	DataFolder string
	// StopLimit bounds a graceful stop.
	StopLimit time.Duration
	// Metrics is where metrics and dump are served; none turns that off.
	Metrics netip.AddrPort
	// MemoryMegabytes is what the process may use; 0 means no limit.
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
	// ProgressTimeout is how long an upstream may stay silent in mid-answer.
	ProgressTimeout time.Duration
}

// Ingress holds the settings of the ingress role.
type Ingress struct {
	// Listen is where callers connect, and Ready where the balancer asks.
	Listen, Ready netip.AddrPort
	// RevokeWithin is the time within which a key that was taken away stops
	// working everywhere.
	RevokeWithin time.Duration
	// RetryRatio and RetrySlack bound the arrivals of requests at upstreams
	// beyond the first, over all entries: a part of the requests, and a
	// number.
	RetryRatio, RetrySlack float64
	// AssumedEntries is the number of entries that share the budget, until
	// the keepers tell it.
	AssumedEntries int
	// UsageWindow is the length of the windows in which requests are counted.
	UsageWindow time.Duration
}

// Cloud holds the settings of the duties towards a platform.
type Cloud struct {
	// Address is that of the platform's API; none turns the duties off.
	Address netip.AddrPort
	// UsageWindow is the length of one report, and UsageWithin the time after
	// its end within which it is due.
	UsageWindow, UsageWithin time.Duration
	// Duties are those that the platform expects: usage, scale.
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
	// Lease is how long a peer counts as alive without news of it.
	Lease time.Duration
}

// Keeper holds the settings of the keeper role.
type Keeper struct {
	// Bootstrap says that this keeper founds the cluster. It stands in the
	// settings of one keeper only.
	Bootstrap bool
	// FoundBySeeds says that the keepers at the seeds' addresses found the
	// cluster together, whichever starts first; Bootstrap then stands in the
	// settings of all.
	FoundBySeeds bool
	// QuotaSlack is the number of units by which all entries together may
	// exceed an organisation's quota.
	QuotaSlack float64
	// RestartOnFault says that the process ends when its disk fails, so that
	// whoever runs it starts it anew.
	RestartOnFault bool
	// InitialVoters is the number of keepers that vote from the start.
	InitialVoters int
	// Voters is the number of keepers that vote once as many are alive; of
	// an even number, one fewer.
	Voters int
	// ReplaceAfter is how long a voter may be gone before another keeper
	// takes its place.
	ReplaceAfter time.Duration
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

// Default returns the settings that hold where a file says nothing.
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
			AssumedEntries: 16, UsageWindow: 5 * time.Second,
		},
		Cloud: Cloud{UsageWindow: 5 * time.Second, UsageWithin: 10 * time.Second},
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
	sections := s.sections()
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		read, ok := sections[section.Name()]
		if !ok {
			faults = append(faults, "["+section.Name()+"]: unknown section; want node, entry, peer, keeper, ingress or cloud")
			continue
		}
		r := &reader{inifile.NewReader(section)}
		read(r)
		faults = append(faults, r.Faults()...)
	}
	faults = append(faults, s.faults()...)
	if len(faults) > 0 {
		return s, faults
	}
	return s, nil
}

// sections are the readers of a file's sections.
func (s *Settings) sections() map[string]func(*reader) {
	return map[string]func(*reader){
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
	for name, read := range s.sections() {
		r := &reader{inifile.NewReader(ini.Empty().Section(name))}
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

type reader struct{ *inifile.Reader }

// positive reads a whole number above zero into to, if the key is present.
func (r *reader) positive(key string, to *int) {
	if !r.Has(key) {
		return
	}
	if n := r.Int(key); n > 0 {
		*to = n
	} else {
		r.Fault(key, "found %d, want more than 0", n)
	}
}

// span reads a duration above zero into to, if the key is present.
func (r *reader) span(key string, to *time.Duration) {
	if !r.Has(key) {
		return
	}
	if d := r.Duration(key); d > 0 {
		*to = d
	} else {
		r.Fault(key, "found %v, want more than 0", d)
	}
}

// ratio reads a number of 0 or more into to, if the key is present.
func (r *reader) ratio(key string, to *float64) {
	if !r.Has(key) {
		return
	}
	if f := r.Float(key); f >= 0 {
		*to = f
	} else {
		r.Fault(key, "found %v, want 0 or more", f)
	}
}

// text reads a string into to, if the key is present.
func (r *reader) text(key string, to *string) {
	if r.Has(key) {
		*to = r.String(key)
	}
}

// address reads an address into to, if the key is present.
func (r *reader) address(key string, to *netip.AddrPort) {
	if r.Has(key) {
		*to = r.AddrPort(key)
	}
}

func (n *Node) read(r *reader) {
	r.text("name", &n.Name)
	r.text("region", &n.Region)
	r.text("zone", &n.Zone)
	r.text("dataFolder", &n.DataFolder)
	r.span("stopLimit", &n.StopLimit)
	r.address("metrics", &n.Metrics)
	r.positive("memoryMegabytes", &n.MemoryMegabytes)
	r.positive("processors", &n.Processors)
	if r.Has("roles") {
		n.Roles = r.List("roles")
	}
}

func (e *Entry) read(r *reader) {
	r.address("listen", &e.Listen)
	r.positive("maxBodyBytes", &e.MaxBodyBytes)
	r.positive("maxHeaderBytes", &e.MaxHeaderBytes)
	r.positive("maxConnections", &e.MaxConnections)
	r.positive("maxStreamsPerCaller", &e.MaxStreamsPerCaller)
	r.span("writeTimeout", &e.WriteTimeout)
	r.span("progressTimeout", &e.ProgressTimeout)
}

func (i *Ingress) read(r *reader) {
	r.address("listen", &i.Listen)
	r.address("ready", &i.Ready)
	r.span("revokeWithin", &i.RevokeWithin)
	r.ratio("retryRatio", &i.RetryRatio)
	r.ratio("retrySlack", &i.RetrySlack)
	r.positive("assumedEntries", &i.AssumedEntries)
	r.span("usageWindow", &i.UsageWindow)
}

func (c *Cloud) read(r *reader) {
	r.address("address", &c.Address)
	r.span("usageWindow", &c.UsageWindow)
	r.span("usageWithin", &c.UsageWithin)
	if r.Has("duties") {
		c.Duties = r.List("duties")
	}
}

func (k *Keeper) read(r *reader) {
	k.Bootstrap = r.Bool("bootstrap")
	k.FoundBySeeds = r.Bool("foundBySeeds")
	r.ratio("quotaSlack", &k.QuotaSlack)
	k.RestartOnFault = r.Bool("restartOnFault")
	r.positive("initialVoters", &k.InitialVoters)
	r.positive("voters", &k.Voters)
	r.span("replaceAfter", &k.ReplaceAfter)
}

func (p *Peer) read(r *reader) {
	r.address("listen", &p.Listen)
	r.address("advertise", &p.Advertise)
	if r.Has("seeds") {
		p.Seeds = r.AddrPorts("seeds")
	}
	r.span("interval", &p.Interval)
	r.span("lease", &p.Lease)
}
