// Package service holds the document by which a team states what its service
// runs, where, for whom, and how urgent each kind of call is.
package service

import (
	"fmt"
	"regexp"
	"strings"
	"time"
)

// Kind says what a service's upstreams are.
type Kind string

// The kinds of service.
const (
	Model Kind = "model"
	Plain Kind = "plain"
)

// Limits of a document.
const (
	MaxBytes   = 64 << 10
	MaxRanks   = 8
	MaxCalls   = 64
	MaxCallers = 4096
)

// Document is the stated wish of one team for its service.
type Document struct {
	Name         string   `json:"name"`
	Kind         Kind     `json:"kind"`
	Models       []string `json:"models,omitempty"`
	Zones        []string `json:"zones"`
	Classes      []string `json:"classes"`
	ReplicasLow  int      `json:"replicasLow"`
	ReplicasHigh int      `json:"replicasHigh"`
	// RequireKeys refuses calls that may not be repeated and carry no key.
	RequireKeys bool `json:"requireKeys,omitempty"`
	// Ranks are in order of urgency, the most urgent first.
	Ranks   []Rank   `json:"ranks"`
	Calls   []Call   `json:"calls"`
	Callers []Caller `json:"callers,omitempty"`
}

// Rank is one level of urgency with its target.
type Rank struct {
	Name string `json:"name"`
	// Order sorts the ranks; the lowest is the most urgent.
	Order int `json:"order"`
	// FirstToken is the time within which the first token, or a plain
	// service's answer, is due.
	FirstToken time.Duration `json:"firstToken"`
	// BetweenTokens is the largest time between two tokens.
	BetweenTokens time.Duration `json:"betweenTokens,omitempty"`
	// Floor is the part of the service's capacity, from 0 to 1, that the
	// rank keeps in any flood.
	Floor float64 `json:"floor"`
}

// Call is one kind of call and its rank.
type Call struct {
	Name string `json:"name"`
	// Method and Path select the call for plain services; Path is a prefix.
	Method string `json:"method,omitempty"`
	Path   string `json:"path,omitempty"`
	Rank   string `json:"rank"`
	// Repeatable says that running the call twice does no harm.
	Repeatable bool `json:"repeatable"`
}

// Caller is the weight of one caller within a rank; callers that aren't
// listed weigh 1.
type Caller struct {
	Name   string  `json:"name"`
	Weight float64 `json:"weight"`
}

// Faults lists everything that is wrong with a document.
type Faults []string

// Error implements error.
func (f Faults) Error() string { return strings.Join(f, "; ") }

func (f *Faults) add(format string, args ...any) {
	*f = append(*f, fmt.Sprintf(format, args...))
}

var namePattern = regexp.MustCompile(`^[a-zA-Z][a-zA-Z0-9-]{0,62}$`)

// ValidName reports whether s may name a service, rank, call, caller, zone or
// class.
func ValidName(s string) bool { return namePattern.MatchString(s) }

// Check reports all faults of the document at once.
func (d *Document) Check() error {
	var f Faults
	d.checkHead(&f)
	ranks := d.checkRanks(&f)
	d.checkCalls(&f, ranks)
	d.checkCallers(&f)
	if len(f) > 0 {
		return f
	}
	return nil
}

func (d *Document) checkHead(f *Faults) {
	if !ValidName(d.Name) {
		f.add("[service] name: found %q, want a letter followed by letters, digits or '-'", d.Name)
	}
	switch d.Kind {
	case Model:
		if len(d.Models) == 0 {
			f.add("[service] models: a service of kind model names at least one model")
		}
	case Plain:
		if len(d.Models) > 0 {
			f.add("[service] models: a service of kind plain has no models")
		}
	default:
		f.add("[service] kind: found %q, want model or plain", d.Kind)
	}
	checkNames(f, "zones", d.Zones)
	checkNames(f, "classes", d.Classes)
	if d.ReplicasLow < 0 || d.ReplicasHigh < 1 || d.ReplicasLow > d.ReplicasHigh {
		f.add("[service] replicasLow, replicasHigh: found %d and %d, want 0 <= low <= high and high >= 1", d.ReplicasLow, d.ReplicasHigh)
	}
}

func checkNames(f *Faults, key string, names []string) {
	if len(names) == 0 {
		f.add("[service] %s: at least one is needed", key)
	}
	for _, n := range names {
		if !ValidName(n) {
			f.add("[service] %s: %q is not a name", key, n)
		}
	}
}

func (d *Document) checkRanks(f *Faults) map[string]bool {
	seen := map[string]bool{}
	if len(d.Ranks) == 0 || len(d.Ranks) > MaxRanks {
		f.add("[rank]: found %d ranks, want 1 to %d", len(d.Ranks), MaxRanks)
	}
	sum := 0.0
	for i, r := range d.Ranks {
		section := "[rank " + r.Name + "]"
		if !ValidName(r.Name) || seen[r.Name] {
			f.add("%s: the name is not valid or stands twice", section)
		}
		seen[r.Name] = true
		if i > 0 && r.Order <= d.Ranks[i-1].Order {
			f.add("%s order: found %d, want each rank to have its own", section, r.Order)
		}
		if r.FirstToken <= 0 || r.FirstToken > 24*time.Hour {
			f.add("%s firstToken: found %v, want more than 0 and at most 24h", section, r.FirstToken)
		}
		if r.BetweenTokens < 0 {
			f.add("%s betweenTokens: found %v, want 0 or more", section, r.BetweenTokens)
		}
		if !(r.Floor >= 0 && r.Floor <= 1) {
			f.add("%s floor: found %v, want 0 to 1", section, r.Floor)
		}
		sum += r.Floor
	}
	if sum > 1.000001 {
		f.add("[rank] floor: the floors add up to %.3f, want at most 1", sum)
	}
	return seen
}

func (d *Document) checkCalls(f *Faults, ranks map[string]bool) {
	if len(d.Calls) == 0 || len(d.Calls) > MaxCalls {
		f.add("[call]: found %d calls, want 1 to %d", len(d.Calls), MaxCalls)
	}
	seen := map[string]bool{}
	for _, c := range d.Calls {
		section := "[call " + c.Name + "]"
		if !ValidName(c.Name) || seen[c.Name] {
			f.add("%s: the name is not valid or stands twice", section)
		}
		seen[c.Name] = true
		if !ranks[c.Rank] {
			f.add("%s rank: %q is no rank of this document", section, c.Rank)
		}
		if d.Kind == Plain && !strings.HasPrefix(c.Path, "/") {
			f.add("%s path: found %q, want a path that starts with /", section, c.Path)
		}
	}
}

func (d *Document) checkCallers(f *Faults) {
	if len(d.Callers) > MaxCallers {
		f.add("[callers]: found %d callers, want at most %d", len(d.Callers), MaxCallers)
	}
	seen := map[string]bool{}
	for _, c := range d.Callers {
		if !ValidName(c.Name) || seen[c.Name] {
			f.add("[callers] %s: the name is not valid or stands twice", c.Name)
		}
		seen[c.Name] = true
		if !(c.Weight > 0 && c.Weight <= 1e6) {
			f.add("[callers] %s: found weight %v, want more than 0 and at most 1000000", c.Name, c.Weight)
		}
	}
}

// RankIndex returns the position of the named rank, or -1.
func (d *Document) RankIndex(name string) int {
	for i, r := range d.Ranks {
		if r.Name == name {
			return i
		}
	}
	return -1
}

// Weight returns the weight of a caller.
func (d *Document) Weight(caller string) float64 {
	for _, c := range d.Callers {
		if c.Name == caller {
			return c.Weight
		}
	}
	return 1
}

// CallByName returns the named call; an empty name selects the first.
func (d *Document) CallByName(name string) (Call, bool) {
	if name == "" {
		return d.Calls[0], true
	}
	for _, c := range d.Calls {
		if c.Name == name {
			return c, true
		}
	}
	return Call{}, false
}

// CallFor returns the call of a plain service with the longest matching path.
func (d *Document) CallFor(method, path string) (Call, bool) {
	best, found := Call{}, false
	for _, c := range d.Calls {
		if c.Method != "" && c.Method != method {
			continue
		}
		if strings.HasPrefix(path, c.Path) && (!found || len(c.Path) > len(best.Path)) {
			best, found = c, true
		}
	}
	return best, found
}

// InZone reports whether the document places the service in the zone.
func (d *Document) InZone(zone string) bool {
	for _, z := range d.Zones {
		if z == zone {
			return true
		}
	}
	return false
}

// Accepted is a document that the system has taken over, with its revision.
type Accepted struct {
	Revision uint64   `json:"revision"`
	Document Document `json:"document"`
}

// Check verifies a decoded accepted document.
func (a *Accepted) Check() error {
	if a.Revision == 0 {
		return Faults{"revision: found 0, want 1 or more"}
	}
	return a.Document.Check()
}
