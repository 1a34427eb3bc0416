package commands

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"sort"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
)

func (c *cli) addExplain(app *kingpin.Application) {
	explain := app.Command("explain", "Print what the logs of any number of nodes say about one request, in order.")
	id := explain.Arg("request", "ID of the request.").Required().String()
	files := explain.Arg("logs", "Log files, one a node; without any, standard input is read.").Strings()
	c.setAction(explain, func() error {
		var all []logLine
		for _, path := range *files {
			lines, err := matchFile(path, *id)
			if err != nil {
				return err
			}
			all = append(all, lines...)
		}
		if len(*files) == 0 {
			all = matchLines(os.Stdin, "", *id)
		}
		return c.printLines(*id, all)
	})
}

// logLine is a log line about the request.
type logLine struct {
	source, time, message, values string
}

// logPattern matches a structured log line. Its groups are the text before the
// line, such as the node's name, and the line's time, message and fields.
var logPattern = regexp.MustCompile(`^(.*?)[IWE](\d{4} \d\d:\d\d:\d\d\.\d+) +\d+ \S+\] "((?:[^"\\]|\\.)*)"(.*)$`)

const maxLogLineBytes = 1 << 20

// matchFile returns the lines of a log file about the request with this ID.
func matchFile(path, id string) ([]logLine, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "read log")
	}
	defer func() { _ = f.Close() }()
	return matchLines(f, filepath.Base(path), id), nil
}

// matchLines returns the lines about the request with this ID. A line's source
// is the last word before it, or the given one.
func matchLines(r io.Reader, source, id string) []logLine {
	requestField := fmt.Sprintf("request=%q", id)
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		m := logPattern.FindStringSubmatch(scanner.Text())
		if m == nil || !strings.Contains(m[4]+" ", " "+requestField+" ") {
			continue
		}
		lineSource := source
		if prefix := strings.Fields(m[1]); len(prefix) > 0 {
			lineSource = prefix[len(prefix)-1]
		}
		values := strings.TrimSpace(strings.Replace(m[4]+" ", " "+requestField+" ", " ", 1))
		lines = append(lines, logLine{source: lineSource, time: m[2], message: m[3], values: values})
	}
	return lines
}

// printLines prints lines by their time, without its date.
func (c *cli) printLines(id string, lines []logLine) error {
	if len(lines) == 0 {
		return errors.Errorf("no log line mentions request %s; was it sent to a node whose log is missing here?", id)
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].time < lines[j].time })
	for _, l := range lines {
		if _, err := fmt.Fprintf(c.out, "%s  %s  %s\n    %s\n", l.time[5:], l.source, l.message, l.values); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	return nil
}
