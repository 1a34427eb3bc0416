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
	entries  []netip.AddrPort
	trace    string
	write    string
	seed     uint64
	rate     float64
	duration time.Duration
	model    string
	tokens   int
}

func (c *cli) addLoad(app *kingpin.Application) {
	command := app.Command("load", "Send requests at given times and report how long answers took. Example: hyssopladder load --entry 127.0.0.1:8000 --rate 50 --duration 10s")
	f := &loadFlags{}
	command.Flag("entry", "Callers' address of an entry; may be repeated.").SetValue(addrList{&f.entries})
	command.Flag("trace", "Trace file to send; without it one is generated.").StringVar(&f.trace)
	command.Flag("writeTrace", "Write the trace to this file, and send nothing if there is no entry.").StringVar(&f.write)
	command.Flag("seed", "Seed of a generated trace.").Default("1").Uint64Var(&f.seed)
	command.Flag("rate", "Requests per second of a generated trace.").Default("20").Float64Var(&f.rate)
	command.Flag("duration", "Length of a generated trace.").Default("10s").DurationVar(&f.duration)
	command.Flag("model", "Model of a generated trace.").Default("rota-7b").StringVar(&f.model)
	command.Flag("tokens", "Tokens of each answer of a generated trace.").Default("32").IntVar(&f.tokens)
	c.add(command, func() error { return c.load(f) })
}

func (f *loadFlags) arrivals() ([]load.Arrival, error) {
	if f.trace != "" {
		file, err := os.Open(f.trace)
		if err != nil {
			return nil, errors.Wrap(err, "trace")
		}
		defer func() { _ = file.Close() }()
		return load.ReadTrace(file)
	}
	mix := func(call, rank string, part float64) load.Mix {
		callers := []string{"cooperative", "agency", "grower1", "grower2", "grower3"}
		return load.Mix{Model: f.model, Call: call, Rank: rank, Rate: part * f.rate, Callers: callers, Tokens: f.tokens}
	}
	return load.Generate(f.seed, f.duration, []load.Mix{
		mix("medication", "urgent", 0.3), mix("question", "normal", 0.4), mix("rota", "draft", 0.3),
	}), nil
}

func (c *cli) load(f *loadFlags) error {
	trace, err := f.arrivals()
	if err != nil {
		return err
	}
	if f.write != "" {
		if err := writeTrace(f.write, trace); err != nil || len(f.entries) == 0 {
			return err
		}
	}
	report, err := load.Run(c.ctx, load.Options{
		Entries: f.entries,
		Trace:   trace,
		Progress: func(sent, done, failed int) {
			_, _ = fmt.Fprintf(c.err, "sent %d of %d, answered %d, failed %d\n", sent, len(trace), done, failed)
		},
	})
	if err != nil {
		return err
	}
	if c.output == "json" {
		return c.printJSON(report)
	}
	report.Table(c.out)
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
