package commands

import (
	"encoding/json"
	"net/netip"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hyssopladder/hyssopladder/standin"
)

// upstreamAddress is printed as JSON once a stand-in has started.
type upstreamAddress struct {
	ID      string         `json:"id"`
	Address netip.AddrPort `json:"address"`
}

func (c *cli) addStandin(app *kingpin.Application) {
	parent := app.Command("standin", "Run a stand-in of an outside system, for trials and tests.")
	c.addUpstreamCommand(parent, "engine", "Run a model engine.", func(o standin.Options) (standinServer, netip.AddrPort, error) {
		e, err := standin.NewEngine(c.ctx, o)
		if err != nil {
			return nil, netip.AddrPort{}, err
		}
		return e, e.Address, nil
	})
	c.addUpstreamCommand(parent, "service", "Run a plain booking service.", func(o standin.Options) (standinServer, netip.AddrPort, error) {
		p, err := standin.NewPlain(c.ctx, o)
		if err != nil {
			return nil, netip.AddrPort{}, err
		}
		return p, p.Address, nil
	})
}

type standinServer interface{ Done() <-chan struct{} }

// addUpstreamCommand adds a command that runs a stand-in until it stops.
func (c *cli) addUpstreamCommand(parent *kingpin.CmdClause, name, help string, start func(standin.Options) (standinServer, netip.AddrPort, error)) {
	command := parent.Command(name, help)
	o := &standin.Options{Listen: netip.MustParseAddrPort("127.0.0.1:0")}
	command.Flag("id", "ID of the upstream.").Required().StringVar(&o.ID)
	command.Flag("zone", "Availability zone.").Required().StringVar(&o.Zone)
	command.Flag("class", "Class of the instance.").Default("small").StringVar(&o.Class)
	command.Flag("listen", "Address to listen on.").SetValue(addrValue{&o.Listen})
	command.Flag("advertise", "Address to announce; by default the one listened on.").SetValue(addrValue{&o.Advertise})
	command.Flag("entry", "Peer address of an entry instance to announce to; may be repeated.").Required().SetValue(addrList{&o.Entries})
	command.Flag("lease", "How long an announcement holds.").Default("2s").DurationVar(&o.Lease)
	command.Flag("slots", "Requests that run at once.").Default("8").IntVar(&o.Slots)
	command.Flag("serves", "Model or service that it serves; may be repeated.").Required().StringsVar(&o.Names)
	command.Flag("prefill", "Time for one prompt token.").Default("20us").DurationVar(&o.Prefill)
	command.Flag("decode", "Time for one generated token or one plain call.").Default("5ms").DurationVar(&o.Decode)
	command.Flag("cacheBlocks", "Prompt blocks that the engine remembers.").Default("4096").IntVar(&o.CacheBlocks)
	command.Flag("crashOn", "Text in a prompt that makes the engine crash.").StringVar(&o.CrashOn)
	c.setAction(command, func() error {
		running, address, err := start(*o)
		if err != nil {
			return err
		}
		if err := json.NewEncoder(c.out).Encode(upstreamAddress{o.ID, address}); err != nil {
			return err
		}
		<-running.Done()
		return nil
	})
}
