package settings

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

const minimal = "[node]\nname = entry-a\nzone = a\n"

func TestPageListsEveryKey(t *testing.T) {
	g := gomega.NewWithT(t)
	page, err := os.ReadFile("../docs/SETTINGS.md")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	rows := 0
	for section, keys := range Keys() {
		for _, key := range keys {
			rows++
			g.Expect(string(page)).To(gomega.ContainSubstring(fmt.Sprintf("| %s | %s |", section, key)))
		}
	}
	g.Expect(strings.Count(string(page), "\n| ")).To(gomega.Equal(rows + 2))
}

func TestParseReportsFaults(t *testing.T) {
	cases := map[string]struct{ text, want string }{
		"good":              {minimal, ""},
		"unknown section":   {minimal + "[nodes]\n", "[nodes]: unknown section"},
		"unknown key":       {minimal + "[entry]\nport = 3\n", "[entry] port: unknown key"},
		"key twice":         {minimal + "zone = b\n", "line 4: [node] zone stands twice"},
		"no unit":           {minimal + "[peer]\nlease = 5\n", "want a duration with its unit"},
		"negative":          {minimal + "[peer]\nlease = -5s\n", "want more than 0"},
		"host name":         {minimal + "[peer]\nlisten = localhost:7000\n", "want an address such as"},
		"no name":           {"[node]\nzone = a\n", "[node] name"},
		"unknown role":      {minimal + "roles = entry, proxy\n", "found proxy, want entry or keeper"},
		"role, no folder":   {minimal + "roles = keeper\n", "[node] dataFolder: the role keeper needs one"},
		"key, no section":   {"name = a\n" + minimal, "unknown section"},
		"two at once":       {minimal + "[peer]\nlease = 5\n[entry]\nport = 3\n", "port: unknown key"},
		"not an INI file":   {"{}", "parse"},
		"whole number":      {minimal + "[entry]\nmaxConnections = many\n", "want a whole number"},
		"true or false":     {minimal + "[keeper]\nbootstrap = yes\n", "want true or false"},
		"address in a list": {minimal + "[peer]\nseeds = 127.0.0.1:1, here\n", `found "here"`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			_, err := Parse([]byte(c.text))
			if c.want == "" {
				g.Expect(err).NotTo(gomega.HaveOccurred())
				return
			}
			g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(c.want)))
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = Parse(data) })
}
