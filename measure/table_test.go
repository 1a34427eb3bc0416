package measure

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// table gathers the rows of this run.
var table []string

var figure = regexp.MustCompile(`-?\d+\.\d+`)

// row prints a line of the table of measures: what, who and the figures as
// median and, in brackets, worst of the seeds.
func row(what, who, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fmt.Printf("| %s | %s | %s |\n", what, who, text)
	table = append(table, fmt.Sprintf("| %s | %s | %s |", what, who, figure.ReplaceAllString(text, "0")))
}

// measures is the number of tests that print rows.
const measures = 6

// TestShapeOfTable compares the shape of the table with its golden file. It
// runs after the measures, whose files come before its own, and only if all ran.
func TestShapeOfTable(t *testing.T) {
	kinds := map[string]bool{}
	for _, r := range table {
		kinds[strings.SplitN(strings.TrimPrefix(r, "| "), " ", 2)[0]] = true
	}
	if len(kinds) < measures-1 {
		t.Skip("not all measures ran")
	}
	slices.Sort(table)
	goldie.New(t).Assert(t, "table", []byte(strings.Join(table, "\n")+"\n"))
}
