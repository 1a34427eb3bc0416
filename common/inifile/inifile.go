// Package inifile reads INI sections strictly: a key that appears twice, whose
// value has the wrong type, or that the program doesn't read is a fault.
package inifile

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// Load parses data. Names are case sensitive, and a key without a value or a
// section that appears twice is an error.
func Load(data []byte) (*ini.File, error) {
	if err := checkDuplicates(data); err != nil {
		return nil, err
	}
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:  true,
		KeyValueDelimiters:  "=",
		IgnoreInlineComment: true,
	}, data)
	return file, errors.Wrap(err, "parse")
}

// checkDuplicates finds sections and keys that appear twice, which the library
// would merge silently.
func checkDuplicates(data []byte) error {
	section := ""
	seen := map[string]bool{}
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		declared := ""
		switch key, _, isKey := strings.Cut(line, "="); {
		case line == "" || line[0] == '#' || line[0] == ';':
			continue
		case line[0] == '[':
			section = line
			declared = line
		case isKey:
			declared = section + " " + strings.TrimSpace(key)
		}
		if declared != "" && seen[declared] {
			return errors.Errorf("line %d: %s stands twice", i+1, declared)
		}
		seen[declared] = true
	}
	return nil
}

// Reader reads the keys of one section and collects faults.
type Reader struct {
	section *ini.Section
	known   map[string]bool
	faults  []string
}

// NewReader returns a reader of s.
func NewReader(s *ini.Section) *Reader {
	return &Reader{section: s, known: map[string]bool{}}
}

// Fault records an invalid value of a key.
func (r *Reader) Fault(key, format string, args ...any) {
	r.faults = append(r.faults, fmt.Sprintf("[%s] %s: ", r.section.Name(), key)+fmt.Sprintf(format, args...))
}

// Faults returns the faults so far, and one for every key of the section that
// hasn't been read.
func (r *Reader) Faults() []string {
	faults := r.faults
	for _, key := range r.section.KeyStrings() {
		if !r.known[key] {
			faults = append(faults, fmt.Sprintf("[%s] %s: unknown key", r.section.Name(), key))
		}
	}
	return faults
}

// Has reports whether the section contains the key.
func (r *Reader) Has(key string) bool {
	r.known[key] = true
	return r.section.HasKey(key)
}

// KnownKeys returns the keys that have been read, whether present or not, in
// order of name.
func (r *Reader) KnownKeys() []string { return slices.Sorted(maps.Keys(r.known)) }

// String returns the key's value, or "" if it is absent.
func (r *Reader) String(key string) string {
	r.known[key] = true
	if !r.section.HasKey(key) {
		return ""
	}
	return r.section.Key(key).String()
}

// List returns the comma-separated values of the key.
func (r *Reader) List(key string) []string {
	var list []string
	for _, item := range strings.Split(r.String(key), ",") {
		if item = strings.TrimSpace(item); item != "" {
			list = append(list, item)
		}
	}
	return list
}

// Int returns the key's whole number.
func (r *Reader) Int(key string) int {
	s := r.String(key)
	if s == "" {
		return 0
	}
	n, err := strconv.Atoi(s)
	if err != nil {
		r.Fault(key, "found %q, want a whole number", s)
	}
	return n
}

// Float returns the key's number.
func (r *Reader) Float(key string) float64 {
	s := r.String(key)
	if s == "" {
		return 0
	}
	n, err := strconv.ParseFloat(s, 64)
	if err != nil {
		r.Fault(key, "found %q, want a number", s)
	}
	return n
}

// Bool returns the key's value, true or false.
func (r *Reader) Bool(key string) bool {
	switch s := r.String(key); s {
	case "", "false":
		return false
	case "true":
		return true
	default:
		r.Fault(key, "found %q, want true or false", s)
		return false
	}
}

// Duration returns the key's duration, which needs a unit.
func (r *Reader) Duration(key string) time.Duration {
	s := r.String(key)
	if s == "" {
		return 0
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		r.Fault(key, "found %q, want a duration with its unit, such as 360ms or 5s", s)
	}
	return d
}

// AddrPort returns the key's address.
func (r *Reader) AddrPort(key string) netip.AddrPort {
	s := r.String(key)
	if s == "" {
		return netip.AddrPort{}
	}
	return r.addrPort(key, s)
}

// AddrPorts returns the key's comma-separated addresses.
func (r *Reader) AddrPorts(key string) []netip.AddrPort {
	var list []netip.AddrPort
	for _, s := range r.List(key) {
		list = append(list, r.addrPort(key, s))
	}
	return list
}

func (r *Reader) addrPort(key, s string) netip.AddrPort {
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		r.Fault(key, "found %q, want an address such as 127.0.0.1:7000 or [::1]:7000", s)
	}
	return a
}
