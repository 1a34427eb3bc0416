package commands

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/load"
)

// loadFlags are the flags of the load command.
type loadFlags struct {
	entryAddresses []netip.AddrPort
	tracePath      string
	writePath      string
	seed           uint64
	rate           float64
	duration       time.Duration
	model          string
	outputTokens   int
}

func (c *cli) addLoad(app *kingpin.Application) {
	command := app.Command("load", "Send requests at given times and report how long answers took. Example: hyssopladder load --entry 127.0.0.1:8000 --rate 50 --duration 10s")
	f := &loadFlags{}
	command.Flag("entry", "Callers' address of an entry; may be repeated.").SetValue(addrList{&f.entryAddresses})
	command.Flag("trace", "Trace file to send; without it one is generated.").StringVar(&f.tracePath)
	command.Flag("writeTrace", "Write the trace to this file, and send nothing if there is no entry.").StringVar(&f.writePath)
	command.Flag("seed", "Seed of a generated trace.").Default("1").Uint64Var(&f.seed)
	command.Flag("rate", "Requests per second of a generated trace.").Default("20").Float64Var(&f.rate)
	command.Flag("duration", "Length of a generated trace.").Default("10s").DurationVar(&f.duration)
	command.Flag("model", "Model of a generated trace.").Default("rota-7b").StringVar(&f.model)
	command.Flag("tokens", "Tokens of each answer of a generated trace.").Default("32").IntVar(&f.outputTokens)
	c.setAction(command, func() error { return c.load(f) })
}

// trace reads the trace file, or generates a trace if there is none.
func (f *loadFlags) trace() ([]load.Arrival, error) {
	if f.tracePath != "" {
		file, err := os.Open(f.tracePath)
		if err != nil {
			return nil, errors.Wrap(err, "trace")
		}
		defer func() { _ = file.Close() }()
		return load.ReadTrace(file)
	}
	mix := func(call, rank string, fraction float64) load.Mix {
		callers := []string{"cooperative", "agency", "grower1", "grower2", "grower3"}
		return load.Mix{Model: f.model, Call: call, Rank: rank, Rate: fraction * f.rate, Callers: callers, Tokens: f.outputTokens}
	}
	return load.Generate(f.seed, f.duration, []load.Mix{
		mix("medication", "urgent", 0.3), mix("question", "normal", 0.4), mix("rota", "draft", 0.3),
	}), nil
}

func (c *cli) load(f *loadFlags) error {
	trace, err := f.trace()
	if err != nil {
		return err
	}
	if f.writePath != "" {
		if err := writeTrace(f.writePath, trace); err != nil || len(f.entryAddresses) == 0 {
			return err
		}
	}
	report, err := load.Run(c.ctx, load.Options{
		Entries: f.entryAddresses,
		Trace:   trace,
		Progress: func(sent, done, failed int) {
			_, _ = fmt.Fprintf(c.errOut, "sent %d of %d, done %d, failed %d\n", sent, len(trace), done, failed)
		},
	})
	if err != nil {
		return err
	}
	if c.format == "json" {
		return c.printJSON(report)
	}
	report.WriteTable(c.out)
	return nil
}

func writeTrace(path string, trace []load.Arrival) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "trace")
	}
	err = load.WriteTrace(file, trace)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}
