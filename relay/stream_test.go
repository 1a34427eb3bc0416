package relay

import (
	"flag"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

func TestVerdicts(t *testing.T) {
	cases := []struct {
		name   string
		chunks []Chunk
		want   []Verdict
	}{
		{"in order", []Chunk{{Attempt: 2}, {Attempt: 2, Offset: 1}, {Attempt: 2, Offset: 2, Final: true}}, []Verdict{Emit, Emit, End}},
		{"duplicate", []Chunk{{Attempt: 2}, {Attempt: 2}}, []Verdict{Emit, Drop}},
		{"of an older attempt", []Chunk{{Attempt: 1}, {Attempt: 2}}, []Verdict{Drop, Emit}},
		{"of a future attempt", []Chunk{{Attempt: 3}}, []Verdict{Drop}},
		{"gap", []Chunk{{Attempt: 2, Offset: 1}}, []Verdict{Gap}},
		{"early end", []Chunk{{Attempt: 2}, {Attempt: 2, Offset: 5, Final: true}}, []Verdict{Emit, Gap}},
		{"end of an older attempt", []Chunk{{Attempt: 1, Offset: 0, Final: true}}, []Verdict{Drop}},
		{"after the end", []Chunk{{Attempt: 2, Final: true}, {Attempt: 2}}, []Verdict{End, Drop}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := &Stream{}
			s.Begin()
			s.Begin()
			for i, chunk := range c.chunks {
				g.Expect(s.Accept(chunk)).To(gomega.Equal(c.want[i]), "chunk %d", i)
			}
		})
	}
}

// TestStreamIsWholeOrNotEnded delivers the chunks of several attempts in any
// order. The emitted tokens must be a prefix of the answer at all times, and the
// whole answer once the stream has ended.
func TestStreamIsWholeOrNotEnded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		answer := rapid.SliceOfN(rapid.StringMatching(`[a-z]{1,3}`), 1, 12).Draw(t, "answer")
		s := &Stream{}
		var inFlight []Chunk
		var emitted []string
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(*rapid.T) {
				attempt, offset := s.Begin()
				for i := offset; i < len(answer); i++ {
					inFlight = append(inFlight, Chunk{Attempt: attempt, Offset: i, Text: answer[i]})
				}
				inFlight = append(inFlight, Chunk{Attempt: attempt, Offset: len(answer), Final: true})
			},
			"deliver": func(t *rapid.T) {
				if len(inFlight) == 0 {
					t.Skip("nothing sent")
				}
				c := rapid.SampledFrom(inFlight).Draw(t, "chunk")
				if s.Accept(c) == Emit {
					emitted = append(emitted, c.Text)
				}
			},
			"": func(t *rapid.T) {
				if len(emitted) > len(answer) || s.Ended() && len(emitted) != len(answer) {
					t.Fatalf("emitted %d of %d tokens, ended %t", len(emitted), len(answer), s.Ended())
				}
				for i := range emitted {
					if emitted[i] != answer[i] {
						t.Fatalf("token %d is %q, want %q", i, emitted[i], answer[i])
					}
				}
			},
		})
	})
}
