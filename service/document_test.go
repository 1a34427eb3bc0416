package service_test

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/examples"
	"github.com/hyssopladder/hyssopladder/service"
)

func TestExamplesAreValid(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, ini := range [][]byte{examples.Assistant, examples.Booking} {
		d, err := service.ParseINI(ini)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		a := service.Accepted{Revision: 1, Document: *d}
		var decoded service.Accepted
		g.Expect(wire.Decode(wire.MustEncode(&a), &decoded)).To(gomega.Succeed())
		g.Expect(decoded).To(gomega.Equal(a))
	}
}

func TestParseINIReportsFaults(t *testing.T) {
	cases := map[string]struct{ old, new, want string }{
		"name":            {"name = assistant", "name = an assistant", "[service] name"},
		"kind":            {"kind = model", "kind = modle", "want model or plain"},
		"no models":       {"models = rota-7b", "", "names at least one model"},
		"replicas":        {"replicasLow = 3", "replicasLow = 30", "low <= high"},
		"floors":          {"floor = 0.5", "floor = 0.9", "add up to"},
		"equal order":     {"order = 2", "order = 1", "each rank to have its own"},
		"unit":            {"firstToken = 2s", "firstToken = 2", "duration with its unit"},
		"rank of a call":  {"rank = draft", "rank = later", "no rank of this document"},
		"caller's weight": {"sitters = 1", "sitters = 0", "found weight 0"},
		"unknown key":     {"classes = small, large", "classes = small\ncolour = red", "colour: unknown key"},
		"unknown section": {"[callers]", "[customers]", "unknown section"},
		"section twice":   {"[rank normal]", "[rank urgent]", "stands twice"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			text := strings.Replace(string(examples.Assistant), c.old, c.new, 1)
			g.Expect(text).NotTo(gomega.Equal(string(examples.Assistant)))
			_, err := service.ParseINI([]byte(text))
			g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(c.want)))
		})
	}
}

func TestCallFor(t *testing.T) {
	g := gomega.NewWithT(t)
	d, err := service.ParseINI(examples.Booking)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	book, ok := d.CallFor("POST", "/bookings/7")
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(book.Repeatable).To(gomega.BeFalse())
	look, _ := d.CallFor("GET", "/bookings/7")
	g.Expect(look.Name).To(gomega.Equal("look"))
	_, ok = d.CallFor("DELETE", "/bookings/7")
	g.Expect(ok).To(gomega.BeFalse())
}

func FuzzParseINI(f *testing.F) {
	f.Add(examples.Assistant)
	f.Fuzz(func(t *testing.T, data []byte) {
		if d, err := service.ParseINI(data); err == nil && d.Check() != nil {
			t.Fatal("a parsed document doesn't pass its own check")
		}
	})
}
