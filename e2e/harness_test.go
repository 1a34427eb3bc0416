// Package e2e tests nodes, and stand-ins for upstreams, as processes of the real
// binary: with their real connections and disks, under load, and with processes
// and connections that fail. Entries accept callers' requests and send them to
// upstreams; keepers store documents and idempotency keys by consensus.
package e2e

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/hyssopladder/hyssopladder/commands"
	"github.com/hyssopladder/hyssopladder/examples"
	"github.com/hyssopladder/hyssopladder/operator"
	"github.com/hyssopladder/hyssopladder/standin"
)

const (
	startLimit = 20 * time.Second
	stopLimit  = 20 * time.Second
)

var binary string

var bookingINI = examples.Booking

// HYSSOPLADDER_SKIP_SPECS holds patterns of specs to pass over, one a line.
func TestE2E(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.SkipStrings = append(suite.SkipStrings, strings.FieldsFunc(os.Getenv("HYSSOPLADDER_SKIP_SPECS"), func(r rune) bool { return r == '\n' })...)
	ginkgo.RunSpecs(t, "End to end", suite, reporter)
}

// HYSSOPLADDER_BINARY names a binary to test in place of the one of this tree.
var _ = ginkgo.BeforeSuite(func() {
	if binary = os.Getenv("HYSSOPLADDER_BINARY"); binary != "" {
		return
	}
	var err error
	binary, err = gexec.Build("github.com/hyssopladder/hyssopladder")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
})

var _ = ginkgo.AfterSuite(gexec.CleanupBuildArtifacts)

// process is a running node or stand-in. A node sets NodeAddresses, a stand-in
// address.
type process struct {
	*gexec.Session
	commands.NodeAddresses
	address netip.AddrPort
	options nodeOptions
}

func startProcess(args ...string) *gexec.Session { return startProgram(binary, args...) }

func startProgram(program string, args ...string) *gexec.Session {
	s, err := gexec.Start(exec.Command(program, args...), ginkgo.GinkgoWriter, ginkgo.GinkgoWriter)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(func() {
		s.Kill().Wait(stopLimit)
	})
	return s
}

// readFirstLine waits for the first output line of a process, which holds its
// addresses as JSON.
func readFirstLine(s *gexec.Session, into any) {
	ginkgo.GinkgoHelper()
	gomega.Eventually(func() ([]byte, error) {
		line, _, found := bytes.Cut(s.Out.Contents(), []byte("\n"))
		if !found {
			return nil, fmt.Errorf("no complete line yet")
		}
		return line, json.Unmarshal(line, into)
	}, startLimit).ShouldNot(gomega.BeEmpty())
}

type nodeOptions struct {
	name, zone, roles, extra string
	callers, peers           netip.AddrPort
	seeds                    []netip.AddrPort
	dataFolder               string
	advertise                netip.AddrPort
	// program is the binary to run, if it isn't the one that is tested.
	program string
}

func (o *nodeOptions) settings() string {
	seeds := make([]string, 0, len(o.seeds))
	for _, s := range o.seeds {
		seeds = append(seeds, s.String())
	}
	text := fmt.Sprintf("[node]\nname = %s\nzone = %s\nroles = %s\n", o.name, o.zone, o.roles)
	if o.dataFolder != "" {
		text += "dataFolder = " + o.dataFolder + "\n"
	}
	text += "[peer]\nseeds = " + strings.Join(seeds, ", ") + "\n"
	if o.peers.IsValid() {
		text += "listen = " + o.peers.String() + "\n"
	}
	if o.advertise.IsValid() {
		text += "advertise = " + o.advertise.String() + "\n"
	}
	text += "[entry]\n"
	if o.callers.IsValid() {
		text += "listen = " + o.callers.String() + "\n"
	}
	return text + o.extra
}

// startNode starts a node. Its addresses are never in the range of outgoing connections,
// one of which could have taken them by the time the node starts again.
func startNode(o nodeOptions) *process {
	ginkgo.GinkgoHelper()
	for _, a := range []*netip.AddrPort{&o.callers, &o.peers} {
		if !a.IsValid() {
			*a = freeAddress()
		}
	}
	path := filepath.Join(ginkgo.GinkgoT().TempDir(), o.name+".ini")
	gomega.Expect(os.WriteFile(path, []byte(o.settings()), 0o600)).To(gomega.Succeed())
	p := &process{Session: startProgram(cmp.Or(o.program, binary), "node", "--settings", path), options: o}
	readFirstLine(p.Session, &p.NodeAddresses)
	return p
}

// restart starts a stopped node again, on the same addresses and data folder.
func (p *process) restart() *process {
	ginkgo.GinkgoHelper()
	o := p.options
	o.callers, o.peers = p.Callers, p.Peers
	return startNode(o)
}

// restartOnEmptyDisk starts a stopped node again, on the same addresses but with
// an empty data folder.
func (p *process) restartOnEmptyDisk() *process {
	ginkgo.GinkgoHelper()
	o := p.options
	o.callers, o.peers = p.Callers, p.Peers
	o.dataFolder = ginkgo.GinkgoT().TempDir()
	return startNode(o)
}

// keeperDump is the keeper's part of a node's dump.
type keeperDump struct {
	Plugins struct {
		Keeper struct {
			ID     uint64 `json:"id"`
			Role   string `json:"role"`
			Config struct {
				Voters   []uint64 `json:"v"`
				Outgoing []uint64 `json:"o"`
			} `json:"config"`
		} `json:"keeper"`
	} `json:"plugins"`
}

// allVotersLive reports whether by the leader's configuration each voter is one
// of the nodes, and no membership change is under way.
func allVotersLive(nodes []*process) bool {
	alive := map[uint64]bool{}
	var config []uint64
	for _, n := range nodes {
		raw, err := n.operator().Dump(context.Background())
		if err != nil {
			return false
		}
		var d keeperDump
		if json.Unmarshal(raw, &d) != nil {
			return false
		}
		alive[d.Plugins.Keeper.ID] = true
		if d.Plugins.Keeper.Role == "leader" && len(d.Plugins.Keeper.Config.Outgoing) == 0 {
			config = d.Plugins.Keeper.Config.Voters
		}
	}
	for _, id := range config {
		if !alive[id] {
			return false
		}
	}
	return len(config) == keeperCount
}

type upstreamOptions struct {
	kind, id, zone, serves string
	entries                []*process
	flags                  []string
}

func startUpstream(o upstreamOptions) *process {
	ginkgo.GinkgoHelper()
	args := []string{"standin", o.kind, "--id", o.id, "--zone", o.zone, "--serves", o.serves}
	for _, e := range o.entries {
		args = append(args, "--entry", e.Peers.String())
	}
	p := &process{Session: startProcess(append(args, o.flags...)...)}
	var l struct {
		Address netip.AddrPort `json:"address"`
	}
	readFirstLine(p.Session, &l)
	p.address = l.Address
	return p
}

func (p *process) signal(s os.Signal) {
	ginkgo.GinkgoHelper()
	gomega.Expect(p.Command.Process.Signal(s)).To(gomega.Succeed())
}

func (p *process) operator() *operator.Client { return operator.NewClient(p.Peers) }

// applyExamples writes the example documents through a node.
func applyExamples(p *process) {
	ginkgo.GinkgoHelper()
	for name, ini := range map[string][]byte{"assistant": examples.Assistant, "booking": examples.Booking} {
		applyINI(p, name, ini, "first-"+name)
	}
}

func applyINI(p *process, name string, ini []byte, change string) {
	ginkgo.GinkgoHelper()
	applied := func() error {
		_, err := p.operator().Apply(context.Background(), operator.DocumentWrite{Name: name, INI: ini, ChangeID: change, IfMatch: "*"})
		return err
	}
	gomega.Eventually(applied, startLimit).Should(gomega.Succeed())
}

// waitForUpstreams waits until each node is ready and has the given number of
// usable upstreams for the service.
func waitForUpstreams(nodes []*process, service string, upstreams int) {
	ginkgo.GinkgoHelper()
	for _, n := range nodes {
		gomega.Eventually(func() int {
			status, err := n.operator().Status(context.Background())
			if err != nil || !status.Ready {
				return -1
			}
			usable := 0
			for _, s := range status.Services {
				for _, u := range s.Upstreams {
					if s.Service == service && u.Usable {
						usable++
					}
				}
			}
			return usable
		}, startLimit).Should(gomega.Equal(upstreams), n.Instance)
	}
}

// reply is the response that a caller received, or the error.
type reply struct {
	status int
	header http.Header
	body   []byte
	err    error
}

var httpClient = &http.Client{Timeout: 60 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 256}}

func sendRequest(method, url, body string, header map[string]string) reply {
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	for k, v := range header {
		r.Header.Set(k, v)
	}
	response, err := httpClient.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: data, err: err}
}

// askChat sends a chat request and returns the text of the answer.
func askChat(entry *process, content string, tokens int, stream bool, header map[string]string) (string, error) {
	question, _ := json.Marshal(content)
	body := fmt.Sprintf(`{"model":"rota-7b","messages":[{"role":"user","content":%s}],"max_tokens":%d,"stream":%t}`, question, tokens, stream)
	r := sendRequest(http.MethodPost, "http://"+entry.Callers.String()+"/v1/chat/completions", body, header)
	if r.err != nil {
		return "", r.err
	}
	if r.status != http.StatusOK {
		return "", fmt.Errorf("status %d: %s", r.status, r.body)
	}
	if stream {
		return streamText(r.body)
	}
	var c struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(r.body, &c); err != nil || len(c.Choices) != 1 {
		return "", fmt.Errorf("answer %s: %v", r.body, err)
	}
	return c.Choices[0].Message.Content, nil
}

// streamText joins the tokens of an event stream, which has to end with its final
// event.
func streamText(body []byte) (string, error) {
	var text strings.Builder
	for _, event := range strings.Split(string(body), "\n\n") {
		_, data, found := strings.Cut(event, "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return text.String(), nil
		}
		var c struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &c); err != nil || len(c.Choices) != 1 {
			return text.String(), fmt.Errorf("event %q: %v", event, err)
		}
		text.WriteString(c.Choices[0].Delta.Content)
	}
	return text.String(), fmt.Errorf("the stream ended without its final event")
}

func expectedAnswer(content string, tokens int) string {
	return standin.Answer("rota-7b", content, tokens)
}

// runCounts returns how often each call ran at the given plain upstreams that
// still run, in total.
func runCounts(upstreams ...*process) map[string]int {
	ginkgo.GinkgoHelper()
	total := map[string]int{}
	for _, u := range upstreams {
		if u.ExitCode() >= 0 {
			continue
		}
		r := sendRequest(http.MethodGet, "http://"+u.address.String()+"/control/ran", "", nil)
		gomega.Expect(r.err).NotTo(gomega.HaveOccurred())
		counts := map[string]int{}
		gomega.Expect(json.Unmarshal(r.body, &counts)).To(gomega.Succeed())
		for k, n := range counts {
			total[k] += n
		}
	}
	return total
}

func (p *process) reclaim(notice time.Duration) {
	ginkgo.GinkgoHelper()
	r := sendRequest(http.MethodPost, fmt.Sprintf("http://%s/control/reclaim?notice=%v", p.address, notice), "", nil)
	gomega.Expect(r.err).NotTo(gomega.HaveOccurred())
}

func (p *process) engineStats() standin.Stats {
	ginkgo.GinkgoHelper()
	var s standin.Stats
	r := sendRequest(http.MethodGet, "http://"+p.address.String()+"/control/stats", "", nil)
	gomega.Expect(r.err).NotTo(gomega.HaveOccurred())
	gomega.Expect(json.Unmarshal(r.body, &s)).To(gomega.Succeed())
	return s
}
