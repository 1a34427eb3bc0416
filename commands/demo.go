package commands

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/examples"
	"github.com/hyssopladder/hyssopladder/kernel"
	"github.com/hyssopladder/hyssopladder/operator"
	"github.com/hyssopladder/hyssopladder/settings"
	"github.com/hyssopladder/hyssopladder/standin"
)

const (
	demoNodes               = 3
	demoEngines             = 3
	demoModel               = "rota-7b"
	demoStartTimeout        = 20 * time.Second
	demoPollInterval        = 50 * time.Millisecond
	demoAnswerTokens        = 60
	demoTokensBeforeReclaim = 15
)

// demo runs a whole deployment in one process.
type demo struct {
	cli       *cli
	ctx       context.Context
	folder    string
	nodes     []*kernel.Host
	addresses []NodeAddresses
	engines   []*standin.Engine
}

func (c *cli) addDemo(app *kingpin.Application) {
	command := app.Command("demo", "Run entries and stand-ins in this process, send requests, reclaim an engine in mid-answer, and stay up.")
	once := command.Flag("once", "End after the requests.").Bool()
	c.setAction(command, func() error { return c.demo(*once) })
}

func (c *cli) demo(once bool) error {
	if c.logLevel == 0 {
		klog.SetLogger(logr.Discard())
	}
	folder, err := os.MkdirTemp("", "hyssopladder-demo-")
	if err != nil {
		return errors.Wrap(err, "demo folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	d := &demo{cli: c, ctx: ctx, folder: folder}
	defer d.close()
	for _, step := range []func() error{d.startNodes, d.startUpstreams, d.applyDocuments, d.waitReady, d.askQuestions, d.bookTwice, d.reclaimDuringAnswer} {
		if err := step(); err != nil {
			return err
		}
	}
	if once {
		return nil
	}
	d.print("\nStill up; end it with Ctrl-C. Try:\n\n  curl -N http://%s/v1/chat/completions -H 'X-Caller: sitters' -H 'X-Call: medication' \\\n    -d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"May the cat have its pill with milk?\"}]}'\n",
		d.addresses[0].Callers, demoModel)
	d.print("  hyssopladder status --node %s\n", d.addresses[0].Peers)
	<-c.ctx.Done()
	return nil
}

func (d *demo) print(format string, args ...any) { _, _ = fmt.Fprintf(d.cli.out, format, args...) }

func (d *demo) close() {
	for _, n := range d.nodes {
		n.Close()
	}
}

func (d *demo) startNodes() error {
	var seeds []netip.AddrPort
	for i := range demoNodes {
		s := settings.Default()
		s.Node.Name = fmt.Sprintf("entry-%d", i)
		s.Node.Zone = []string{"a", "b"}[i%2]
		s.Node.Roles = []string{settings.RoleEntry, settings.RoleKeeper}
		s.Node.DataFolder = filepath.Join(d.folder, s.Node.Name)
		s.Peer.Seeds = seeds
		s.Keeper.Bootstrap = i == 0
		n, err := kernel.New(d.ctx, s)
		if err != nil {
			return err
		}
		d.nodes = append(d.nodes, n)
		d.addresses = append(d.addresses, nodeAddresses(n))
		seeds = append(seeds, d.addresses[i].Peers)
		d.print("entry %s in zone %s: callers %s, peers and operators %s\n", s.Node.Name, s.Node.Zone, d.addresses[i].Callers, d.addresses[i].Peers)
	}
	return nil
}

func (d *demo) startUpstreams() error {
	var entries []netip.AddrPort
	for _, l := range d.addresses {
		entries = append(entries, l.Peers)
	}
	options := func(id, zone, name string, decode time.Duration) standin.Options {
		return standin.Options{
			ID: id, Zone: zone, Class: "small", Listen: netip.MustParseAddrPort("127.0.0.1:0"), Entries: entries,
			Lease: 2 * time.Second, Slots: 8, Names: []string{name}, Prefill: 20 * time.Microsecond, Decode: decode, CacheBlocks: 4096,
		}
	}
	for i := range demoEngines {
		e, err := standin.NewEngine(d.ctx, options(fmt.Sprintf("engine-%d", i), []string{"a", "b"}[i%2], demoModel, 15*time.Millisecond))
		if err != nil {
			return err
		}
		d.engines = append(d.engines, e)
	}
	_, err := standin.NewPlain(d.ctx, options("booking-0", "a", "booking", 5*time.Millisecond))
	return err
}

func (d *demo) applyDocuments() error {
	client := operator.NewClient(d.addresses[0].Peers)
	for name, ini := range map[string][]byte{"assistant": examples.Assistant, "booking": examples.Booking} {
		w := operator.DocumentWrite{Name: name, INI: ini, ChangeID: rand.Text(), IfMatch: "*"}
		if _, err := client.Apply(d.ctx, w); err != nil {
			return err
		}
	}
	return nil
}

// waitReady waits until every entry is ready and knows every upstream.
func (d *demo) waitReady() error {
	ctx, cancel := context.WithTimeout(d.ctx, demoStartTimeout)
	defer cancel()
	for _, l := range d.addresses {
		for !d.seesAllUpstreams(ctx, l) {
			select {
			case <-time.After(demoPollInterval):
			case <-ctx.Done():
				return errors.New("the entries didn't see all upstreams in time")
			}
		}
	}
	return nil
}

func (d *demo) seesAllUpstreams(ctx context.Context, l NodeAddresses) bool {
	s, err := operator.NewClient(l.Peers).Status(ctx)
	if err != nil || !s.Ready {
		return false
	}
	upstreams := 0
	for _, service := range s.Services {
		upstreams += len(service.Upstreams)
	}
	return upstreams == demoEngines+1
}

// chatAnswer is a streamed answer, with the times until its first token and its end.
type chatAnswer struct {
	text, servedBy    string
	firstToken, whole time.Duration
}

// ask sends a question and reads the streamed answer. It calls onToken, if not
// nil, after each token.
func (d *demo) ask(entry netip.AddrPort, call, question string, onToken func(n int, servedBy string)) (chatAnswer, error) {
	body, err := json.Marshal(map[string]any{
		"model": demoModel, "stream": true, "max_tokens": demoAnswerTokens,
		"messages": []map[string]string{{"role": "user", "content": question}},
	})
	if err != nil {
		return chatAnswer{}, err
	}
	began := time.Now()
	r, err := http.NewRequestWithContext(d.ctx, http.MethodPost, "http://"+entry.String()+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return chatAnswer{}, err
	}
	r.Header.Set("X-Caller", "sitters")
	r.Header.Set("X-Call", call)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return chatAnswer{}, errors.Wrap(err, "ask")
	}
	defer func() { _ = response.Body.Close() }()
	a := chatAnswer{servedBy: response.Header.Get("X-Served-By")}
	lines := bufio.NewScanner(response.Body)
	for n := 0; lines.Scan(); {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		if !isData || data == "[DONE]" {
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) == 0 {
			return a, errors.Errorf("answer: %s", data)
		}
		if n++; n == 1 {
			a.firstToken = time.Since(began)
		}
		a.text += chunk.Choices[0].Delta.Content
		if onToken != nil {
			onToken(n, a.servedBy)
		}
	}
	a.whole = time.Since(began)
	return a, errors.Wrap(lines.Err(), "answer")
}

func (d *demo) askQuestions() error {
	d.print("\n%-12s %-10s %-10s %12s %12s  %s\n", "CALL", "ENTRY", "UPSTREAM", "FIRST TOKEN", "WHOLE", "ANSWER")
	for i, call := range []string{"medication", "question", "rota"} {
		question := "What about the " + call + " today?"
		a, err := d.ask(d.addresses[i].Callers, call, question, nil)
		if err != nil {
			return err
		}
		if a.text != standin.Answer(demoModel, question, demoAnswerTokens) {
			return errors.Errorf("the answer to %q is incomplete: %q", question, a.text)
		}
		d.print("%-12s %-10s %-10s %12s %12s  %.20s...\n", call, d.addresses[i].Instance, a.servedBy,
			a.firstToken.Round(time.Millisecond), a.whole.Round(time.Millisecond), a.text)
	}
	return nil
}

// bookTwice sends a booking through two entries with the same idempotency key;
// the second entry replays the first answer.
func (d *demo) bookTwice() error {
	for i := range 2 {
		r, err := http.NewRequestWithContext(d.ctx, http.MethodPost, "http://"+d.addresses[i].Callers.String()+"/services/booking/bookings", strings.NewReader("Tuesday, two cats"))
		if err != nil {
			return err
		}
		r.Header.Set("X-Caller", "sitters")
		r.Header.Set("Idempotency-Key", "demo")
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			return errors.Wrap(err, "book")
		}
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		d.print("booking through %s: %d, replayed %t: %s", d.addresses[i].Instance, response.StatusCode, response.Header.Get("X-Replayed") == "true", body)
	}
	return nil
}

// reclaimDuringAnswer reclaims the engine that is streaming an answer, which
// another engine then completes.
func (d *demo) reclaimDuringAnswer() error {
	question := "What is the plan for the whole week?"
	reclaimedEngine := ""
	a, err := d.ask(d.addresses[0].Callers, "question", question, func(n int, servedBy string) {
		if n != demoTokensBeforeReclaim {
			return
		}
		reclaimedEngine = servedBy
		for i, e := range d.engines {
			if fmt.Sprintf("engine-%d", i) == servedBy {
				e.Reclaim(200 * time.Millisecond)
			}
		}
	})
	if err != nil {
		return err
	}
	if a.text != standin.Answer(demoModel, question, demoAnswerTokens) {
		return errors.Errorf("the answer is incomplete after the reclaim: %q", a.text)
	}
	d.print("reclaimed %s after %d of %d tokens: the answer is whole, %s in all\n", reclaimedEngine, demoTokensBeforeReclaim, demoAnswerTokens, a.whole.Round(time.Millisecond))
	return nil
}
