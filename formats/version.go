package formats

import (
	"fmt"
	"io"
	"runtime/debug"
	"slices"
	"strings"
)

// release is the program's version.
const release = "0.1.0"

// revisionLength is the number of digits of a revision that are shown.
const revisionLength = 12

// Version returns the program's version, with the revision of the code if the build has
// recorded it.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return release
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return release + "+" + s.Value[:min(revisionLength, len(s.Value))]
		}
	}
	return release
}

// Difference says how the formats of another build differ from those of this one: those that
// only the other has with a plus, those that only this one has with a minus. A build before
// the list names none.
func Difference(other string) string {
	if other == "" {
		return "unknown"
	}
	own, others := strings.Fields(Text()), strings.Fields(other)
	var parts []string
	for _, f := range others {
		if !slices.Contains(own, f) {
			parts = append(parts, "+"+f)
		}
	}
	for _, f := range own {
		if !slices.Contains(others, f) {
			parts = append(parts, "-"+f)
		}
	}
	if len(parts) == 0 {
		return "same"
	}
	return strings.Join(parts, " ")
}

// WriteMetrics writes the version and the formats as metrics.
func WriteMetrics(w io.Writer) {
	_, _ = fmt.Fprintf(w, "hyssopladder_node_version{version=%q} 1\n", Version())
	for _, f := range List() {
		_, _ = fmt.Fprintf(w, "hyssopladder_node_format{name=%q} %d\n", f.Name, f.Number)
	}
}
