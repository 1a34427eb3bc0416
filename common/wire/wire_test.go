package wire

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

type timestamped struct {
	Wall time.Time `json:"w"`
}

func (*timestamped) Check() error { return nil }

// Instances compare times of day; the library's default format drops fractions
// of a second.
func TestTimesKeepTheirFractions(t *testing.T) {
	g := gomega.NewWithT(t)
	sent := timestamped{Wall: time.Date(2026, 12, 4, 8, 30, 15, 987_654_321, time.UTC)}
	var got timestamped
	g.Expect(Decode(MustEncode(&sent), &got)).To(gomega.Succeed())
	g.Expect(got.Wall.Equal(sent.Wall)).To(gomega.BeTrue(), "sent %v, got %v", sent.Wall, got.Wall)
}
