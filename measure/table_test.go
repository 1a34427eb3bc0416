package measure

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// tableRows are the rows of this run, with each decimal replaced by 0.
var tableRows []string

var decimalPattern = regexp.MustCompile(`-?\d+\.\d+`)

// addRow prints a row of the table of measurements: the measurement, its subject
// (a policy) and the figures, each as the median and, in brackets, the worst of
// the seeds.
func addRow(measurement, subject, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fmt.Printf("| %s | %s | %s |\n", measurement, subject, text)
	tableRows = append(tableRows, fmt.Sprintf("| %s | %s | %s |", measurement, subject, decimalPattern.ReplaceAllString(text, "0")))
}

// rowTests is the number of tests that add rows. The rows of two of them begin
// with the same word.
const rowTests = 6

// TestTableShape compares the rows, without their decimals, with a golden file.
// The tests that add rows run before it, as their files come first by name; if
// not all of them ran, it is skipped.
func TestTableShape(t *testing.T) {
	firstWords := map[string]bool{}
	for _, r := range tableRows {
		firstWords[strings.SplitN(strings.TrimPrefix(r, "| "), " ", 2)[0]] = true
	}
	if len(firstWords) < rowTests-1 {
		t.Skip("not all tests that add rows ran")
	}
	slices.Sort(tableRows)
	goldie.New(t).Assert(t, "table", []byte(strings.Join(tableRows, "\n")+"\n"))
}
