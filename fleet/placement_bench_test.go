package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/hyssopladder/hyssopladder/call"
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// BenchmarkPlacement ends a request and so places one of 512 that wait, and adds another,
// at 60 upstreams that are full.
func BenchmarkPlacement(b *testing.B) {
	for _, kind := range []string{"plain", "engine"} {
		b.Run(kind, func(b *testing.B) {
			f := New(Options{Zone: "a", RetryRatio: 0.2, RetrySlack: 50, Entries: 65})
			s := config.Service{Name: "s"}
			if kind == "engine" {
				s.Engine = &config.Engine{Slots: 4, MemoryTokens: 560_000}
			}
			f.SetConfig(0, &config.Revision{Services: []config.Service{s}})
			var members []upstream.Member
			for i := range 60 {
				members = append(members, member(fmt.Sprintf("u%02d", i), uint16(i+1), 1))
			}
			f.Merge(0, members)
			now, id := clock.Instant(time.Second), uint64(0)
			var running []uint64
			add := func(actions []Action) {
				for _, a := range actions {
					if g, ok := a.(Grant); ok {
						running = append(running, g.Ticket)
					}
				}
			}
			submit := func() {
				id++
				add(f.Submit(now, Ticket{
					ID: id, Service: "s", Rank: int(id % 3), Organisation: fmt.Sprint("o", id%16), MaxRuns: 2, Target: time.Hour, Deadline: time.Hour, Fingerprint: id,
					PromptTokens: 500, OutputTokens: 100, PromptParts: []call.PromptPart{{ID: id % 40, Tokens: 300}, {ID: 1 << 40, Tokens: 200}},
				}))
			}
			for range 60*4 + 511 {
				submit()
			}
			for b.Loop() {
				now += time.Millisecond
				first := running[0]
				running = running[1:]
				add(f.Progress(now, first))
				add(f.Finish(now, first, true, true))
				submit()
			}
			b.ReportMetric(float64(len(f.service("s").queue)), "waiting")
		})
	}
}
