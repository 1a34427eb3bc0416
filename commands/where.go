package commands

import (
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hyssopladder/hyssopladder/fleet"
	"github.com/hyssopladder/hyssopladder/operator"
)

// whereFlags describe the request of the command where.
type whereFlags struct {
	node                                   *netip.AddrPort
	service, organisation, parts, release  string
	rank, promptTokens, outputTokens, most int
	target                                 time.Duration
	json                                   bool
}

func (c *cli) addWhere(app *kingpin.Application) {
	command := app.Command("where", "Explain where a request would go now and why, by the state of an entry (role ingress). Nothing is sent. Example: hyssopladder where assistant --node 127.0.0.1:7000 --organisation guild --prompt 1200")
	f := whereFlags{node: nodeFlag(command)}
	command.Arg("service", "Service.").Required().SetValue(nameValue{&f.service})
	command.Flag("organisation", "Organisation of the caller.").StringVar(&f.organisation)
	command.Flag("rank", "Rank of the request; 0 is the most urgent.").IntVar(&f.rank)
	command.Flag("prompt", "Tokens of the prompt.").IntVar(&f.promptTokens)
	command.Flag("answer", "Expected tokens of the answer.").IntVar(&f.outputTokens)
	command.Flag("parts", "Parts of the prompt: hexadecimal ID and tokens, such as 5c1e:800,91bd:410.").StringVar(&f.parts)
	command.Flag("release", "Release that has begun the stream.").StringVar(&f.release)
	command.Flag("target", "Time within which the answer should begin.").Default("10s").DurationVar(&f.target)
	command.Flag("most", "Upstreams to print.").Default("20").IntVar(&f.most)
	command.Flag("json", "Print JSON, as --output json does.").BoolVar(&f.json)
	c.setAction(command, func() error {
		if f.json {
			c.format = "json"
		}
		p, err := operator.NewClient(*f.node).Placement(c.ctx, f.query())
		if err != nil {
			return err
		}
		return c.printPlacement(p, f.most)
	})
}

func (f *whereFlags) query() url.Values {
	q := url.Values{"service": {f.service}, "rank": {strconv.Itoa(f.rank)}, "prompt": {strconv.Itoa(f.promptTokens)}, "output": {strconv.Itoa(f.outputTokens)}, "target": {f.target.String()}}
	for key, text := range map[string]string{"organisation": f.organisation, "parts": f.parts, "release": f.release} {
		if text != "" {
			q.Set(key, text)
		}
	}
	return q
}

func (c *cli) printPlacement(p fleet.Placement, most int) error {
	if c.format == "json" {
		return c.printJSON(p)
	}
	switch {
	case p.Upstream != "":
		_, _ = fmt.Fprintf(c.out, "sent to %s\n", p.Upstream)
	default:
		_, _ = fmt.Fprintf(c.out, "%s: %s\n", map[fleet.Decision]string{fleet.DecisionWait: "waits", fleet.DecisionRefuse: "refused"}[p.Decision], p.Reason)
	}
	_, _ = fmt.Fprintf(c.out, "%d wait at this entry; expected wait %v; organisation above its share: %t\n", p.Waiting, time.Duration(p.WaitMs)*time.Millisecond, p.AboveShare)
	w := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "UPSTREAM\tZONE\tRELEASE\tEXCLUDED\tRANKING\tFIRST\tCACHED\tRUNNING\tOTHERS\tSLOTS\tPACE\tKNEE")
	for _, u := range p.Candidates[:min(most, len(p.Candidates))] {
		excluded := string(u.Excluded)
		if excluded == "" {
			excluded = "-"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.0fms\t%.0fms\t%d\t%d\t%d\t%d\t%.2f\t%d\n", u.Upstream, u.Zone, u.Release, excluded, u.RankingMs, u.FirstTokenMs, u.CachedTokens, u.Running, u.Others, u.Slots, u.Pace, u.Knee)
	}
	return w.Flush()
}
