package commands

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/examples"
	"github.com/hyssopladder/hyssopladder/formats"
	"github.com/hyssopladder/hyssopladder/kernel"
	"github.com/hyssopladder/hyssopladder/settings"
)

// startSingleNode runs a node with the entry role that is also the only keeper.
func startSingleNode(t *testing.T) (*kernel.Host, string) {
	t.Helper()
	s := settings.Default()
	s.Node.Name, s.Node.Zone = "alone", "a"
	s.Node.Roles = []string{settings.RoleEntry, settings.RoleKeeper}
	s.Node.DataFolder = t.TempDir()
	s.Keeper.Bootstrap, s.Keeper.InitialVoters = true, 1
	h, err := kernel.New(context.Background(), s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	return h, nodeAddresses(h).Peers.String()
}

// TestCommandsAgainstANode runs the commands that call a node, in order, and
// compares their output with golden files.
func TestCommandsAgainstANode(t *testing.T) {
	g := gomega.NewWithT(t)
	h, node := startSingleNode(t)
	file := filepath.Join(t.TempDir(), "assistant.ini")
	g.Expect(os.WriteFile(file, examples.Assistant, 0o600)).To(gomega.Succeed())
	steps := []struct {
		name string
		args []string
		code int
	}{
		{"apply", []string{"apply", "--node", node, "--change", "first", "--wait", file}, exitOK},
		{"apply-again", []string{"apply", "--node", node, "--change", "first", file}, exitOK},
		{"apply-conflict", []string{"apply", "--node", node, "--change", "second", "--over", "7", file}, exitConflict},
		{"apply-json", []string{"--output", "json", "apply", "--node", node, "--change", "third", "--over", "1", file}, exitOK},
		{"get", []string{"get", "--node", node, "assistant"}, exitOK},
		{"get-missing", []string{"get", "--node", node, "other"}, exitFailed},
		{"list", []string{"list", "--node", node}, exitOK},
	}
	for _, s := range steps {
		out, code := runCommand(s.args...)
		g.Expect(code).To(gomega.Equal(s.code), out)
		golden(t, "live-"+s.name, out)
	}
	dump, code := runCommand("dump", "--node", node)
	g.Expect(code).To(gomega.Equal(exitOK))
	golden(t, "live-dump-keys", dumpKeys(t, dump))
	out, code := runCommand("status", "--nodes", "--node", node)
	g.Expect(code).To(gomega.Equal(exitOK))
	g.Expect(strings.Fields(out)).To(gomega.ContainElements("alone", formats.Version(), "same"))
	out, code = runCommand("drain", "--node", node)
	g.Expect(code).To(gomega.Equal(exitOK))
	golden(t, "live-drain", strings.ReplaceAll(out, node, "NODE"))
	g.Eventually(h.StopRequested(), 5*time.Second).Should(gomega.BeClosed())
}

// dumpKeys lists a dump's keys and the plug-ins in it.
func dumpKeys(t *testing.T, dump string) string {
	t.Helper()
	var d map[string]json.RawMessage
	if err := json.Unmarshal([]byte(dump), &d); err != nil {
		t.Fatal(err)
	}
	var plugins map[string]json.RawMessage
	if err := json.Unmarshal(d["plugins"], &plugins); err != nil {
		t.Fatal(err)
	}
	return strings.Join(slices.Sorted(maps.Keys(d)), "\n") + "\nplugins: " + strings.Join(slices.Sorted(maps.Keys(plugins)), ", ") + "\n"
}

func TestListeningLine(t *testing.T) {
	h, _ := startSingleNode(t)
	var out bytes.Buffer
	if err := json.NewEncoder(&out).Encode(nodeAddresses(h)); err != nil {
		t.Fatal(err)
	}
	golden(t, "live-node", regexp.MustCompile(`:\d+"`).ReplaceAllString(out.String(), `:PORT"`))
}

// TestBadInput expects a status, a result code and ran "no" for each kind of
// invalid request.
func TestBadInput(t *testing.T) {
	h, node := startSingleNode(t)
	file := filepath.Join(t.TempDir(), "assistant.ini")
	g := gomega.NewWithT(t)
	g.Expect(os.WriteFile(file, examples.Assistant, 0o600)).To(gomega.Succeed())
	out, code := runCommand("apply", "--node", node, "--wait", file)
	g.Expect(code).To(gomega.Equal(exitOK), out)
	callers := "http://" + nodeAddresses(h).Callers.String()
	g.Eventually(func() int {
		r, err := http.Get(callers + "/readyz")
		if err != nil {
			return 0
		}
		_ = r.Body.Close()
		return r.StatusCode
	}, 10*time.Second).Should(gomega.Equal(http.StatusOK))
	chat := func(model string) string {
		return `{"model":"` + model + `","messages":[{"role":"user","content":"x"}]}`
	}
	cases := []struct {
		name, url, body, header, value string
		status, code                   int
	}{
		{"not JSON", callers + "/v1/chat/completions", "{", "", "", 400, 1001},
		{"unknown model", callers + "/v1/chat/completions", chat("other"), "", "", 404, 1002},
		{"unknown call", callers + "/v1/chat/completions", chat("rota-7b"), "X-Call", "other", 404, 1006},
		{"caller's name", callers + "/v1/chat/completions", chat("rota-7b"), "X-Caller", "a b", 400, 1001},
		{"long key", callers + "/services/booking/bookings", "x", "Idempotency-Key", strings.Repeat("k", 200), 400, 1001},
		{"unknown service", callers + "/services/other/x", "x", "", "", 404, 1002},
		{"large body", callers + "/v1/chat/completions", strings.Repeat("x", 2<<20), "", "", 413, 1003},
		{"no upstream", callers + "/v1/chat/completions", chat("rota-7b"), "", "", 503, 2004},
		{"announcement", "http://" + node + "/upstream/announce", "{}", "", "", 400, 1001},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r, err := http.NewRequest(http.MethodPost, c.url, strings.NewReader(c.body))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			if c.header != "" {
				r.Header.Set(c.header, c.value)
			}
			response, err := http.DefaultClient.Do(r)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = response.Body.Close() }()
			var p struct {
				Code int    `json:"code"`
				Ran  string `json:"ran"`
			}
			g.Expect(json.NewDecoder(response.Body).Decode(&p)).To(gomega.Succeed())
			g.Expect(response.StatusCode).To(gomega.Equal(c.status))
			g.Expect(p.Code).To(gomega.Equal(c.code))
			g.Expect(p.Ran).To(gomega.Equal("no"))
		})
	}
}
