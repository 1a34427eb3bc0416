package wire

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

type clocked struct {
	Wall time.Time `json:"w"`
}

func (*clocked) Check() error { return nil }

// Times of day are compared between instances; the library's own format keeps
// whole seconds only.
func TestTimesKeepTheirFractions(t *testing.T) {
	g := gomega.NewWithT(t)
	sent := clocked{Wall: time.Date(2026, 12, 4, 8, 30, 15, 987_654_321, time.UTC)}
	var got clocked
	g.Expect(Decode(MustEncode(&sent), &got)).To(gomega.Succeed())
	g.Expect(got.Wall.Equal(sent.Wall)).To(gomega.BeTrue(), "sent %v, got %v", sent.Wall, got.Wall)
}
