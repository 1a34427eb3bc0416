package upstream

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/service"
)

func announcement(incarnation, sequence uint64) Announcement {
	return Announcement{
		ID: "e", Incarnation: incarnation, Sequence: sequence, Zone: "a", Class: "small",
		Address: netip.MustParseAddrPort("127.0.0.1:1"), Kind: service.Model, Models: []string{"m"},
		Lease: time.Second, Slots: 2,
	}
}

func leaving(a Announcement) Announcement {
	a.Leaving = true
	return a
}

func TestDirectoryOrdersAnnouncements(t *testing.T) {
	cases := []struct {
		name   string
		apply  []Announcement
		at     time.Duration
		usable bool
	}{
		{"ready", []Announcement{announcement(1, 1)}, 0, true},
		{"lease expired", []Announcement{announcement(1, 1)}, time.Second, false},
		{"leaving", []Announcement{announcement(1, 1), leaving(announcement(1, 2))}, 0, false},
		{"an outdated ready after leaving", []Announcement{leaving(announcement(1, 2)), announcement(1, 1)}, 0, false},
		{"a newer ready after leaving", []Announcement{leaving(announcement(1, 2)), announcement(1, 9)}, 0, false},
		{"leaving with an old sequence", []Announcement{announcement(1, 9), leaving(announcement(1, 2))}, 0, false},
		{"restarted", []Announcement{leaving(announcement(1, 2)), announcement(2, 1)}, 0, true},
		{"leaving of an older incarnation", []Announcement{announcement(2, 1), leaving(announcement(1, 5))}, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			d := New()
			for _, a := range c.apply {
				d.Apply(0, a)
			}
			u, ok := d.Get("e")
			g.Expect(ok).To(gomega.BeTrue())
			g.Expect(u.Usable(c.at)).To(gomega.Equal(c.usable))
		})
	}
}

func TestBusyCorrectsLaggingReports(t *testing.T) {
	g := gomega.NewWithT(t)
	d := New()
	d.Apply(0, announcement(1, 1))
	u, _ := d.Get("e")
	u.Start()
	u.Start()
	g.Expect(u.Free()).To(gomega.BeZero())
	report := announcement(1, 2)
	report.Load = Load{Running: 2}
	d.Apply(0, report)
	u.Finish()
	g.Expect(u.Busy()).To(gomega.Equal(1))
	report.Sequence = 3
	report.Load = Load{Running: math.MaxInt, Queued: math.MaxInt}
	d.Apply(0, report)
	g.Expect(u.Free()).To(gomega.BeZero(), "a sum that overflows")
	g.Expect(u.Headroom()).To(gomega.BeNumerically("<", 0))
}

func TestAnnouncementCheck(t *testing.T) {
	cases := map[string]func(*Announcement){
		"no ID":          func(a *Announcement) { a.ID = "" },
		"no port":        func(a *Announcement) { a.Address = netip.MustParseAddrPort("127.0.0.1:0") },
		"invalid zone":   func(a *Announcement) { a.Zone = "zone a" },
		"lease too long": func(a *Announcement) { a.Lease = time.Hour },
		"no slots":       func(a *Announcement) { a.Slots = 0 },
		"negative load":  func(a *Announcement) { a.Load.Running = -1 },
		"unknown kind":   func(a *Announcement) { a.Kind = "other" },
	}
	for name, invalidate := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			a := announcement(1, 1)
			g.Expect(a.Check()).To(gomega.Succeed())
			invalidate(&a)
			g.Expect(a.Check()).NotTo(gomega.Succeed())
		})
	}
}

func FuzzRecord(f *testing.F) {
	a := announcement(1, 1)
	f.Add(a.Record().Payload)
	f.Fuzz(func(_ *testing.T, data []byte) {
		r := a.Record()
		r.Payload = data
		if got, err := FromRecord(r); err == nil {
			New().Apply(0, got)
		}
	})
}
