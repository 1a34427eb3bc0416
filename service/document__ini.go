package service

import (
	"sort"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/hyssopladder/hyssopladder/common/inifile"
)

// ParseINI parses and validates a document in INI form. Its error is Faults, with
// all faults at once.
func ParseINI(data []byte) (*Document, error) {
	if len(data) > MaxDocumentBytes {
		return nil, Faults{"document: larger than 64 KiB"}
	}
	file, err := inifile.Load(data)
	if err != nil {
		return nil, Faults{err.Error()}
	}
	var f Faults
	d := &Document{}
	for _, s := range file.Sections() {
		d.readSection(&f, s)
	}
	sort.SliceStable(d.Ranks, func(i, j int) bool { return d.Ranks[i].Order < d.Ranks[j].Order })
	if err := d.Check(); err != nil {
		f = append(f, err.(Faults)...)
	}
	if len(f) > 0 {
		return nil, f
	}
	return d, nil
}

func (d *Document) readSection(f *Faults, s *ini.Section) {
	kind, name, _ := strings.Cut(s.Name(), " ")
	r := inifile.NewReader(s)
	switch {
	case s.Name() == ini.DefaultSection:
		// No key is read here, so that r.Faults reports each key before the
		// first section as unknown.
	case s.Name() == "service":
		d.Name = r.String("name")
		d.Kind = Kind(r.String("kind"))
		d.Models = r.List("models")
		d.Zones = r.List("zones")
		d.Classes = r.List("classes")
		d.ReplicasLow = r.Int("replicasLow")
		d.ReplicasHigh = r.Int("replicasHigh")
		d.RequireKeys = r.Bool("requireKeys")
	case kind == "rank":
		d.Ranks = append(d.Ranks, Rank{
			Name:          name,
			Order:         r.Int("order"),
			FirstToken:    r.Duration("firstToken"),
			BetweenTokens: r.Duration("betweenTokens"),
			Floor:         r.Float("floor"),
		})
	case kind == "call":
		d.Calls = append(d.Calls, Call{
			Name:       name,
			Method:     r.String("method"),
			Path:       r.String("path"),
			Rank:       r.String("rank"),
			Repeatable: r.Bool("repeatable"),
		})
	case s.Name() == "callers":
		for _, key := range s.KeyStrings() {
			d.Callers = append(d.Callers, Caller{Name: key, Weight: r.Float(key)})
		}
	default:
		f.add("[%s]: unknown section; want service, rank NAME, call NAME or callers", s.Name())
		return
	}
	*f = append(*f, r.Faults()...)
}
