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
	c.add(explain, func() error {
		var all []logLine
		for _, path := range *files {
			lines, err := readLog(path, *id)
			if err != nil {
				return err
			}
			all = append(all, lines...)
		}
		if len(*files) == 0 {
			all = matchLines(os.Stdin, "", *id)
		}
		return c.printStory(*id, all)
	})
}

// logLine is one line of a log about the request.
type logLine struct {
	source, at, message, values string
}

// logPattern finds a structured line, whatever stands before it.
var logPattern = regexp.MustCompile(`^(.*?)[IWE](\d{4} \d\d:\d\d:\d\d\.\d+) +\d+ \S+\] "((?:[^"\\]|\\.)*)"(.*)$`)

// maxLogLine bounds one line, in bytes.
const maxLogLine = 1 << 20

func readLog(path, id string) ([]logLine, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "read log")
	}
	defer func() { _ = f.Close() }()
	return matchLines(f, filepath.Base(path), id), nil
}

func matchLines(r io.Reader, source, id string) []logLine {
	wanted := fmt.Sprintf("request=%q", id)
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		m := logPattern.FindStringSubmatch(scanner.Text())
		if m == nil || !strings.Contains(m[4]+" ", " "+wanted+" ") {
			continue
		}
		from := source
		if prefix := strings.Fields(m[1]); len(prefix) > 0 {
			from = prefix[len(prefix)-1]
		}
		values := strings.TrimSpace(strings.Replace(m[4]+" ", " "+wanted+" ", " ", 1))
		lines = append(lines, logLine{source: from, at: m[2], message: m[3], values: values})
	}
	return lines
}

func (c *cli) printStory(id string, lines []logLine) error {
	if len(lines) == 0 {
		return errors.Errorf("no line tells of request %s; was it sent to a node whose log is missing here?", id)
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].at < lines[j].at })
	for _, l := range lines {
		if _, err := fmt.Fprintf(c.out, "%s  %s  %s\n    %s\n", l.at[5:], l.source, l.message, l.values); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	return nil
}
