package commands

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/operator"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/service"
)

// nodeFlag adds the flag with the address of the node to call.
func nodeFlag(command *kingpin.CmdClause) *netip.AddrPort {
	address := new(netip.AddrPort)
	command.Flag("node", "Address of a node's peer listener.").Envar("HYSSOPLADDER_NODE").Required().SetValue(addrValue{address})
	return address
}

func (c *cli) addDocuments(app *kingpin.Application) {
	c.addApply(app)
	get := app.Command("get", "Print a service's document.")
	getNode := nodeFlag(get)
	name := get.Arg("service", "Service.").Required().String()
	c.setAction(get, func() error {
		s, err := operator.NewClient(*getNode).Get(c.ctx, *name)
		if err != nil {
			return err
		}
		return c.printJSON(s)
	})
	list := app.Command("list", "List the documents.")
	listNode := nodeFlag(list)
	c.setAction(list, func() error { return c.list(*listNode) })
	check := app.Command("check", "Check documents without sending them; prints all faults at once.")
	files := check.Arg("file", "Document files, INI.").Required().Strings()
	c.setAction(check, func() error { return c.check(*files) })
}

func (c *cli) addApply(app *kingpin.Application) {
	apply := app.Command("apply", "Apply a service's document. Example: hyssopladder apply --node 127.0.0.1:7000 --over 12 assistant.ini")
	node := nodeFlag(apply)
	file := apply.Arg("file", "Document file, INI.").Required().String()
	replacedRevision := apply.Flag("over", "Revision that the change replaces; 0 for a new document.").Default("0").Uint64()
	anyRevision := apply.Flag("any", "Replace whatever revision there is.").Bool()
	changeID := apply.Flag("change", "ID of the change; the same ID sent again gets the first answer.").String()
	wait := apply.Flag("wait", "Wait until the document is in force on every reachable instance.").Bool()
	waitLimit := apply.Flag("waitLimit", "Longest wait.").Default("8s").Duration()
	c.setAction(apply, func() error {
		w := operator.DocumentWrite{ChangeID: *changeID}
		switch {
		case *anyRevision:
			w.IfMatch = "*"
		case *replacedRevision > 0:
			w.IfMatch = operator.MatchRevision(*replacedRevision)
		}
		return c.apply(*node, *file, w, *wait, *waitLimit)
	})
}

func (c *cli) apply(node netip.AddrPort, file string, w operator.DocumentWrite, wait bool, waitLimit time.Duration) error {
	d, data, err := readDocument(file)
	if err != nil {
		return err
	}
	w.Name, w.INI = d.Name, data
	if w.ChangeID == "" {
		w.ChangeID = rand.Text()
	}
	client := operator.NewClient(node)
	stored, err := client.Apply(c.ctx, w)
	if err != nil {
		return errors.Wrapf(err, "change %s", w.ChangeID)
	}
	if err := c.printApplied(d.Name, stored.Revision, w.ChangeID); err != nil || !wait {
		return err
	}
	ctx, cancel := context.WithTimeout(c.ctx, waitLimit)
	defer cancel()
	lagging, err := client.WaitInForce(ctx, d.Name, stored.Revision)
	if err != nil {
		return err
	}
	if len(lagging) > 0 {
		return &exitError{exitNotInForce, errors.Errorf("accepted, but not yet in force on %s", strings.Join(lagging, ", "))}
	}
	return nil
}

func (c *cli) printApplied(name string, revision uint64, changeID string) error {
	if c.format == "json" {
		return c.printJSON(map[string]any{"service": name, "revision": revision, "change": changeID})
	}
	_, err := fmt.Fprintf(c.out, "%s accepted as revision %d\n", name, revision)
	return err
}

func readDocument(file string) (*service.Document, []byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read document")
	}
	d, err := service.ParseINI(data)
	var faults service.Faults
	if errors.As(err, &faults) {
		lines := strings.Join(faults, "\n  ")
		return nil, nil, result.New(result.DocumentInvalid, result.RanNo, "%s:\n  %s", file, lines)
	}
	return d, data, err
}

func (c *cli) check(files []string) error {
	failed := 0
	for _, file := range files {
		d, _, err := readDocument(file)
		if err != nil {
			failed++
			_, _ = fmt.Fprintln(c.out, err)
			continue
		}
		_, _ = fmt.Fprintf(c.out, "%s: service %s is valid\n", file, d.Name)
	}
	if failed > 0 {
		return errors.Errorf("%d of %d documents are not valid", failed, len(files))
	}
	return nil
}

func (c *cli) list(node netip.AddrPort) error {
	documents, err := operator.NewClient(node).List(c.ctx)
	if err != nil {
		return err
	}
	return c.printList(documents)
}

func (c *cli) printList(documents []operator.StoredDocument) error {
	if c.format == "json" {
		return c.printJSON(documents)
	}
	w := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "SERVICE\tKIND\tREVISION\tZONES\tREPLICAS\tRANKS")
	for _, s := range documents {
		d := s.Document
		ranks := make([]string, 0, len(d.Ranks))
		for _, r := range d.Ranks {
			ranks = append(ranks, r.Name)
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%d-%d\t%s\n", d.Name, d.Kind, s.Revision,
			strings.Join(d.Zones, ","), d.ReplicasLow, d.ReplicasHigh, strings.Join(ranks, ","))
	}
	return w.Flush()
}
