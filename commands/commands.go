// Package commands holds the command line.
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
	"github.com/hyssopladder/hyssopladder/result"
)

// Version is the program's version.
const Version = "0.1.0"

// Exit codes of the program.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
	exitBehind   = 4
)

// cli is one run of the program.
type cli struct {
	ctx     context.Context
	out     io.Writer
	err     io.Writer
	output  string
	level   int
	actions map[string]func() error
}

// exitError ends the program with a code of its own.
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
	c := &cli{ctx: ctx, out: out, err: errOut, actions: map[string]func() error{}}
	app := c.app()
	ended := -1
	app.Terminate(func(code int) { ended = code })
	app.UsageWriter(out)
	app.ErrorWriter(errOut)
	command, err := app.Parse(args)
	if ended >= 0 {
		return ended
	}
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "hyssopladder: %v; see hyssopladder --help\n", err)
		return exitUsage
	}
	c.initLogs()
	return c.exitCode(c.actions[command]())
}

func (c *cli) app() *kingpin.Application {
	app := kingpin.New("hyssopladder", "Serves model and plain services on reclaimable instances.")
	app.HelpFlag.Short('h')
	app.Flag("output", "Form of the output: text or json.").Default("text").EnumVar(&c.output, "text", "json")
	app.Flag("logLevel", "Verbosity of the log on standard error, 0 to 4.").Default("0").IntVar(&c.level)
	c.addNode(app)
	c.addExplain(app)
	c.addDocuments(app)
	c.addState(app)
	c.addStandin(app)
	c.addLoad(app)
	c.addDemo(app)
	c.add(app.Command("version", "Print the version."), func() error {
		_, err := fmt.Fprintln(c.out, "hyssopladder "+Version)
		return err
	})
	return app
}

// add sets what a command does.
func (c *cli) add(command *kingpin.CmdClause, f func() error) { c.actions[command.FullCommand()] = f }

func (c *cli) initLogs() {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	_ = flags.Set("v", strconv.Itoa(c.level))
	_ = flags.Set("logtostderr", "true")
}

// logTo sends the log of a node to the writer instead of standard error.
func (c *cli) logTo(w *logs.Writer) *logs.Writer {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"v": strconv.Itoa(c.level), "logtostderr": "false", "one_output": "true", "stderrthreshold": "FATAL"} {
		_ = flags.Set(name, value)
	}
	klog.SetOutput(w)
	return w
}

func (c *cli) exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	var p *result.Error
	isResult := errors.As(err, &p)
	if c.output == "json" && isResult {
		_ = json.NewEncoder(c.err).Encode(p)
	} else {
		_, _ = fmt.Fprintf(c.err, "hyssopladder: %v\n", err)
	}
	var own *exitError
	switch {
	case errors.As(err, &own):
		return own.code
	case isResult && p.Code == result.RevisionConflict:
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
type addrValue struct{ to *netip.AddrPort }

func (a addrValue) Set(s string) error {
	parsed, err := netip.ParseAddrPort(s)
	if err != nil {
		return errors.Errorf("found %q, want an address such as 127.0.0.1:7000", s)
	}
	*a.to = parsed
	return nil
}

func (a addrValue) String() string {
	if a.to == nil || !a.to.IsValid() {
		return ""
	}
	return a.to.String()
}

// addrList is a flag that may be given several times.
type addrList struct{ to *[]netip.AddrPort }

func (a addrList) Set(s string) error {
	parsed, err := netip.ParseAddrPort(s)
	if err != nil {
		return errors.Errorf("found %q, want an address such as 127.0.0.1:7000", s)
	}
	*a.to = append(*a.to, parsed)
	return nil
}

func (a addrList) String() string     { return "" }
func (a addrList) IsCumulative() bool { return true }
