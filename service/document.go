// Package service holds the service document. In it a team declares what its
// service runs (models, or plain HTTP calls), in which zones and instance
// classes, which callers have more weight, and the rank of each call: a level of
// urgency with target times and a floor, its guaranteed fraction of the capacity.
// The package parses documents from INI and validates them; keepers store them
// under a revision, and entries apply them.
package service

import (
	"fmt"
	"regexp"
	"strings"
	"time"
)

// Kind is the kind of a service's upstreams: engines that serve language models,
// or plain HTTP servers.
type Kind string

// The kinds of service.
const (
	Model Kind = "model"
	Plain Kind = "plain"
)

// Limits of a document.
const (
	MaxDocumentBytes = 64 << 10
	MaxRanks         = 8
	MaxCalls         = 64
	MaxCallers       = 4096
)

// Document is the declaration of one service.
type Document struct {
	Name         string   `json:"name"`
	Kind         Kind     `json:"kind"`
	Models       []string `json:"models,omitempty"`
	Zones        []string `json:"zones"`
	Classes      []string `json:"classes"`
	ReplicasLow  int      `json:"replicasLow"`
	ReplicasHigh int      `json:"replicasHigh"`
	// RequireKeys makes entries refuse a call that isn't repeatable and has no
	// idempotency key.
	RequireKeys bool `json:"requireKeys,omitempty"`
	// Ranks are sorted by urgency, the most urgent first.
	Ranks   []Rank   `json:"ranks"`
	Calls   []Call   `json:"calls"`
	Callers []Caller `json:"callers,omitempty"`
}

// Rank is a level of urgency with its targets.
type Rank struct {
	Name string `json:"name"`
	// Order sorts the ranks; the lowest is the most urgent.
	Order int `json:"order"`
	// FirstToken is the target time until the first token, or until a plain
	// service's response.
	FirstToken time.Duration `json:"firstToken"`
	// BetweenTokens is the target for the longest time between two tokens.
	BetweenTokens time.Duration `json:"betweenTokens,omitempty"`
	// Floor is the fraction of the service's capacity, from 0 to 1, that the
	// rank is guaranteed under any overload.
	Floor float64 `json:"floor"`
}

// Call is a call kind and its rank.
type Call struct {
	Name string `json:"name"`
	// Method and Path select the call for plain services; Path is a prefix.
	Method string `json:"method,omitempty"`
	Path   string `json:"path,omitempty"`
	Rank   string `json:"rank"`
	// Repeatable is set if running the call twice does no harm.
	Repeatable bool `json:"repeatable"`
}

// Caller is the weight of one caller within each rank; a caller that isn't listed
// has weight 1.
type Caller struct {
	Name   string  `json:"name"`
	Weight float64 `json:"weight"`
}

// Faults is an error that lists everything wrong with a document.
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

// Check validates the document and returns all its faults at once, as Faults.
func (d *Document) Check() error {
	var f Faults
	d.checkServiceSection(&f)
	ranks := d.checkRanks(&f)
	d.checkCalls(&f, ranks)
	d.checkCallers(&f)
	if len(f) > 0 {
		return f
	}
	return nil
}

func (d *Document) checkServiceSection(f *Faults) {
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
	floorSum := 0.0
	for i, r := range d.Ranks {
		section := "[rank " + r.Name + "]"
		if !ValidName(r.Name) || seen[r.Name] {
			f.add("%s: the name is invalid or appears twice", section)
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
		floorSum += r.Floor
	}
	if floorSum > 1.000001 {
		f.add("[rank] floor: the floors add up to %.3f, want at most 1", floorSum)
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
			f.add("%s: the name is invalid or appears twice", section)
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
			f.add("[callers] %s: the name is invalid or appears twice", c.Name)
		}
		seen[c.Name] = true
		if !(c.Weight > 0 && c.Weight <= 1e6) {
			f.add("[callers] %s: found weight %v, want more than 0 and at most 1000000", c.Name, c.Weight)
		}
	}
}

// RankIndex returns the index of the named rank, or -1.
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

// CallFor returns the call of a plain service that matches the method and has the
// longest matching path.
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

// Accepted is a document that the keepers have accepted, with its revision.
type Accepted struct {
	Revision uint64   `json:"revision"`
	Document Document `json:"document"`
}

// Check validates a decoded accepted document.
func (a *Accepted) Check() error {
	if a.Revision == 0 {
		return Faults{"revision: found 0, want 1 or more"}
	}
	return a.Document.Check()
}
