package commands

import (
	"fmt"
	"net/netip"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/operator"
	"github.com/hyssopladder/hyssopladder/rollout"
)

func (c *cli) addRollouts(app *kingpin.Application) {
	group := app.Command("rollout", "Move a service's requests to a new release, at a keeper.")

	start := group.Command("start", "Order a rollout. Example: hyssopladder rollout start assistant --node 127.0.0.1:7000 --to v2 --within 12s")
	startFlags := addRolloutFlags(start)
	var request rollout.Request
	start.Flag("to", "Release that is to serve alone.").Required().SetValue(nameValue{&request.To})
	start.Flag("within", "Time within which the rollout has to end, at most 1h.").Required().SetValue(withinValue{&request.WithinMs})
	c.setRolloutAction(start, startFlags, func(node *operator.Client) (rollout.Status, error) {
		return node.StartRollout(c.ctx, startFlags.service, request)
	})

	status := group.Command("status", "Print the state of a service's last rollout.")
	statusFlags := addRolloutFlags(status)
	c.setRolloutAction(status, statusFlags, func(node *operator.Client) (rollout.Status, error) {
		return node.Rollout(c.ctx, statusFlags.service)
	})

	revert := group.Command("revert", "End a running rollout: its release gets no more requests.")
	revertFlags := addRolloutFlags(revert)
	c.setRolloutAction(revert, revertFlags, func(node *operator.Client) (rollout.Status, error) {
		return node.RevertRollout(c.ctx, revertFlags.service)
	})
}

// rolloutFlags are what all commands of rollouts have.
type rolloutFlags struct {
	node    *netip.AddrPort
	service string
	json    bool
}

func addRolloutFlags(command *kingpin.CmdClause) *rolloutFlags {
	f := &rolloutFlags{node: nodeFlag(command)}
	command.Flag("json", "Print JSON, as --output json does.").BoolVar(&f.json)
	command.Arg("service", "Service.").Required().SetValue(nameValue{&f.service})
	return f
}

func (c *cli) setRolloutAction(command *kingpin.CmdClause, f *rolloutFlags, call func(node *operator.Client) (rollout.Status, error)) {
	c.setAction(command, func() error {
		if f.json {
			c.format = "json"
		}
		s, err := call(operator.NewClient(*f.node))
		if err != nil {
			return err
		}
		return c.printRollout(s)
	})
}

func (c *cli) printRollout(s rollout.Status) error {
	if c.format == "json" {
		return c.printJSON(s)
	}
	w := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "SERVICE\tTO\tPHASE\tSTEP\tSHARE\tELAPSED\tWITHIN\tNOTE")
	note := "ok"
	switch {
	case s.Reason != "":
		note = s.Reason
	case len(s.Superseded) > 0:
		note = "replaced " + strings.Join(s.Superseded, ", ")
	}
	_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.0f%%\t%v\t%v\t%s\n", s.Service, s.To, s.Phase, s.Step, 100*s.Share,
		time.Duration(s.ElapsedMs)*time.Millisecond, time.Duration(s.WithinMs)*time.Millisecond, note)
	return w.Flush()
}

// nameValue is a flag or an argument that must not be empty.
type nameValue struct{ target *string }

func (n nameValue) Set(s string) error {
	if s == "" {
		return errors.New("found nothing, want a name")
	}
	*n.target = s
	return nil
}

func (n nameValue) String() string { return "" }

// withinValue is a flag that holds the time of a rollout, in milliseconds.
type withinValue struct{ target *int64 }

func (v withinValue) Set(s string) error {
	d, err := time.ParseDuration(s)
	if err != nil || d < time.Millisecond || d > rollout.MaxTime {
		return errors.Errorf("found %q, want a time such as 12s, at most %v", s, rollout.MaxTime)
	}
	*v.target = d.Milliseconds()
	return nil
}

func (v withinValue) String() string { return "" }
