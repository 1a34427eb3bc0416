// Package commands implements the command line: it runs a node, calls the
// operators' interface of a running node, and runs the stand-ins, the load
// generator and the demo.
package commands

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/logs"
	"github.com/hyssopladder/hyssopladder/formats"
	"github.com/hyssopladder/hyssopladder/result"
)

// Exit codes of the program.
const (
	exitOK     = 0
	exitFailed = 1
	// exitUsage is for a faulty command line.
	exitUsage = 2
	// exitConflict is for a change to a revision that was replaced meanwhile.
	exitConflict = 3
	// exitNotInForce is for an accepted document that is not yet in force on every
	// node when the wait ends.
	exitNotInForce = 4
)

// cli holds the flags, outputs and command actions of one run of the program.
type cli struct {
	ctx      context.Context
	out      io.Writer
	errOut   io.Writer
	format   string
	logLevel int
	actions  map[string]func() error
}

// exitError is an error with its own exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

// Execute runs the command line and returns the exit code.
func Execute(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	// A second signal ends the process at once.
	context.AfterFunc(ctx, stop)
	defer klog.Flush()
	c := &cli{ctx: ctx, out: out, errOut: errOut, actions: map[string]func() error{}}
	app := c.app()
	// The parser handles --help itself and then asks for an exit code.
	parserExit := -1
	app.Terminate(func(code int) { parserExit = code })
	app.UsageWriter(out)
	app.ErrorWriter(errOut)
	command, err := app.Parse(args)
	if parserExit >= 0 {
		return parserExit
	}
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "hyssopladder: %v; see hyssopladder --help\n", err)
		return exitUsage
	}
	c.initLogs()
	return c.reportError(c.actions[command]())
}

func (c *cli) app() *kingpin.Application {
	app := kingpin.New("hyssopladder", "Serves model and plain services on reclaimable instances.")
	app.HelpFlag.Short('h')
	app.Flag("output", "Form of the output: text or json.").Default("text").EnumVar(&c.format, "text", "json")
	app.Flag("logLevel", "Verbosity of the log on standard error, 0 to 4.").Default("0").IntVar(&c.logLevel)
	c.addNode(app)
	c.addExplain(app)
	c.addDocuments(app)
	c.addNodeOperations(app)
	c.addRollouts(app)
	c.addWhere(app)
	c.addStandin(app)
	c.addLoad(app)
	c.addDemo(app)
	c.setAction(app.Command("version", "Print the version, and the formats that it reads and writes."), func() error {
		_, err := fmt.Fprintf(c.out, "hyssopladder %s\nformats %s\n", formats.Version(), formats.Text())
		return err
	})
	return app
}

func (c *cli) setAction(command *kingpin.CmdClause, f func() error) {
	c.actions[command.FullCommand()] = f
}

func (c *cli) initLogs() {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	_ = flags.Set("v", strconv.Itoa(c.logLevel))
	_ = flags.Set("logtostderr", "true")
}

// redirectLogs sends the log to w instead of standard error and returns w.
func (c *cli) redirectLogs(w *logs.Writer) *logs.Writer {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"v": strconv.Itoa(c.logLevel), "logtostderr": "false", "one_output": "true", "stderrthreshold": "FATAL"} {
		_ = flags.Set(name, value)
	}
	klog.SetOutput(w)
	return w
}

// reportError prints err, if there is one, and returns the exit code.
func (c *cli) reportError(err error) int {
	if err == nil {
		return exitOK
	}
	var resultErr *result.Error
	isResult := errors.As(err, &resultErr)
	if c.format == "json" && isResult {
		_ = json.NewEncoder(c.errOut).Encode(resultErr)
	} else {
		_, _ = fmt.Fprintf(c.errOut, "hyssopladder: %v\n", err)
	}
	var exitErr *exitError
	switch {
	case errors.As(err, &exitErr):
		return exitErr.code
	case isResult && resultErr.Code == result.RevisionConflict:
		return exitConflict
	default:
		return exitFailed
	}
}

// printJSON writes v as indented JSON.
func (c *cli) printJSON(v any) error {
	e := json.NewEncoder(c.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// addrValue is a flag that holds an address.
type addrValue struct{ target *netip.AddrPort }

func (a addrValue) Set(s string) error {
	parsed, err := netip.ParseAddrPort(s)
	if err != nil {
		return errors.Errorf("found %q, want an address such as 127.0.0.1:7000", s)
	}
	*a.target = parsed
	return nil
}

func (a addrValue) String() string {
	if a.target == nil || !a.target.IsValid() {
		return ""
	}
	return a.target.String()
}

// addrList is a flag that may be repeated; each use adds an address.
type addrList struct{ target *[]netip.AddrPort }

func (a addrList) Set(s string) error {
	parsed, err := netip.ParseAddrPort(s)
	if err != nil {
		return errors.Errorf("found %q, want an address such as 127.0.0.1:7000", s)
	}
	*a.target = append(*a.target, parsed)
	return nil
}

func (a addrList) String() string     { return "" }
func (a addrList) IsCumulative() bool { return true }
