package commands

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hyssopladder/hyssopladder/dispatch"
	"github.com/hyssopladder/hyssopladder/formats"
	"github.com/hyssopladder/hyssopladder/member"
	"github.com/hyssopladder/hyssopladder/operator"
)

func (c *cli) addNodeOperations(app *kingpin.Application) {
	status := app.Command("status", "Print the upstreams, slots and waiting calls of each service, and what it lacks.")
	statusNode := nodeFlag(status)
	showNodes := status.Flag("nodes", "Print the nodes instead, with their versions and how their formats differ from those of this program.").Bool()
	c.setAction(status, func() error { return c.status(*statusNode, *showNodes) })

	drain := app.Command("drain", "Drain a node: it takes no new callers, finishes what is under way and stops.")
	drainNode := nodeFlag(drain)
	c.setAction(drain, func() error {
		if err := operator.NewClient(*drainNode).Drain(c.ctx); err != nil {
			return err
		}
		_, err := fmt.Fprintf(c.out, "%s drains; it stops when its requests have ended\n", drainNode)
		return err
	})

	dump := app.Command("dump", "Print a node's whole state as JSON.")
	dumpNode := nodeFlag(dump)
	c.setAction(dump, func() error {
		d, err := operator.NewClient(*dumpNode).Dump(c.ctx)
		if err != nil {
			return err
		}
		return c.printJSON(d)
	})
}

func (c *cli) status(node netip.AddrPort, showNodes bool) error {
	s, err := operator.NewClient(node).Status(c.ctx)
	if err != nil {
		return err
	}
	if showNodes {
		return c.printNodes(s.Nodes)
	}
	return c.printStatus(s)
}

func (c *cli) printNodes(nodes []member.NodeInfo) error {
	if c.format == "json" {
		return c.printJSON(nodes)
	}
	w := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "NODE\tZONE\tROLES\tVERSION\tFORMATS\tNOTE")
	for _, n := range nodes {
		note := "ok"
		switch {
		case n.KeeperStopped:
			note = "the keeper has stopped"
		case n.KeeperID != "" && n.Cluster == 0:
			note = "the keeper belongs to no cluster yet"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", n.Name, n.Zone, strings.Join(n.Roles, ","), cmp.Or(n.Version, "unknown"), formats.Difference(n.Formats), note)
	}
	return w.Flush()
}

func (c *cli) printStatus(s operator.Status) error {
	if c.format == "json" {
		return c.printJSON(s)
	}
	_, _ = fmt.Fprintf(c.out, "instance %s, zone %s, ready %t, %d nodes alive\n\n", s.Instance, s.Zone, s.Ready, len(s.Nodes))
	if s.Waiting != "" {
		_, _ = fmt.Fprintf(c.out, "no cluster yet: %s\n\n", s.Waiting)
	}
	w := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "SERVICE\tREVISION\tUPSTREAMS\tFREE/SLOTS\tWAITING\tIN TIME\tNOTE")
	for _, service := range s.Services {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%d/%d\t%s\t%s\t%s\n", service.Service, service.Revision,
			zoneCounts(service), service.Free, service.Slots, waiting(service), inTime(service), note(service))
	}
	return w.Flush()
}

// zoneCounts lists the usable upstreams of each zone.
func zoneCounts(s dispatch.ServiceState) string {
	counts := map[string]int{}
	for _, u := range s.Upstreams {
		if u.Usable {
			counts[u.Zone]++
		}
	}
	return joinCounts(counts)
}

func waiting(s dispatch.ServiceState) string { return joinCounts(s.Waiting) }

func joinCounts(counts map[string]int) string {
	parts := make([]string, 0, len(counts))
	for name, n := range counts {
		parts = append(parts, fmt.Sprintf("%s:%d", name, n))
	}
	sort.Strings(parts)
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, " ")
}

// inTime lists, by rank, the percentage of recent answers that met their target.
func inTime(s dispatch.ServiceState) string {
	var parts []string
	for _, rank := range slices.Sorted(maps.Keys(s.InTime)) {
		parts = append(parts, fmt.Sprintf("%s:%.0f%%", rank, 100*s.InTime[rank]))
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, " ")
}

// inTimeTarget is the fraction of a rank's answers that should meet their target.
const inTimeTarget = 0.95

// note says why a service may miss its targets.
func note(s dispatch.ServiceState) string {
	usable, leaving := 0, 0
	for _, u := range s.Upstreams {
		if u.Usable {
			usable++
		}
		if u.Leaving {
			leaving++
		}
	}
	var notes []string
	for _, rank := range slices.Sorted(maps.Keys(s.InTime)) {
		if s.InTime[rank] < inTimeTarget {
			notes = append(notes, rank+" misses its target")
		}
	}
	if usable == 0 {
		notes = append(notes, "no upstream: every call is refused")
	}
	if leaving > 0 {
		notes = append(notes, fmt.Sprintf("%d leaving", leaving))
	}
	if usable > 0 && s.Free == 0 {
		notes = append(notes, "all slots taken: calls wait or are refused")
	}
	if s.Unplaced > 0 {
		notes = append(notes, fmt.Sprintf("%d calls lost their upstream and wait for another", s.Unplaced))
	}
	if len(notes) == 0 {
		return "ok"
	}
	return strings.Join(notes, "; ")
}
