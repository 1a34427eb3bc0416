package commands

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/examples"
	"github.com/hyssopladder/hyssopladder/kernel"
	"github.com/hyssopladder/hyssopladder/settings"
)

// startAlone runs a node that is entry and only keeper.
func startAlone(t *testing.T) (*kernel.Host, string) {
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
	return h, listening(h).Peers.String()
}

// TestCommandsAgainstANode runs the commands that need a node, in order, and
// compares what they print.
func TestCommandsAgainstANode(t *testing.T) {
	g := gomega.NewWithT(t)
	h, node := startAlone(t)
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
		out, code := run(s.args...)
		g.Expect(code).To(gomega.Equal(s.code), out)
		golden(t, "live-"+s.name, out)
	}
	dump, code := run("dump", "--node", node)
	g.Expect(code).To(gomega.Equal(exitOK))
	golden(t, "live-dump-keys", dumpKeys(t, dump))
	out, code := run("drain", "--node", node)
	g.Expect(code).To(gomega.Equal(exitOK))
	golden(t, "live-drain", strings.ReplaceAll(out, node, "NODE"))
	g.Eventually(h.StopRequested(), 5*time.Second).Should(gomega.BeClosed())
}

// dumpKeys lists the keys of a dump and of its plug-ins' parts.
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
	h, _ := startAlone(t)
	var out bytes.Buffer
	if err := json.NewEncoder(&out).Encode(listening(h)); err != nil {
		t.Fatal(err)
	}
	golden(t, "live-node", regexp.MustCompile(`:\d+"`).ReplaceAllString(out.String(), `:PORT"`))
}
