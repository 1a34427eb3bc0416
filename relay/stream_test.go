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
		{"doubled", []Chunk{{Attempt: 2}, {Attempt: 2}}, []Verdict{Emit, Drop}},
		{"of an older attempt", []Chunk{{Attempt: 1}, {Attempt: 2}}, []Verdict{Drop, Emit}},
		{"of an attempt to come", []Chunk{{Attempt: 3}}, []Verdict{Drop}},
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

// TestStreamIsWholeOrNotEnded mixes the chunks of several attempts in any
// order; what is emitted is always a prefix of the answer, and all of it once
// the stream has ended.
func TestStreamIsWholeOrNotEnded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		answer := rapid.SliceOfN(rapid.StringMatching(`[a-z]{1,3}`), 1, 12).Draw(t, "answer")
		s := &Stream{}
		var pool []Chunk
		var got []string
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(*rapid.T) {
				attempt, offset := s.Begin()
				for i := offset; i < len(answer); i++ {
					pool = append(pool, Chunk{Attempt: attempt, Offset: i, Text: answer[i]})
				}
				pool = append(pool, Chunk{Attempt: attempt, Offset: len(answer), Final: true})
			},
			"deliver": func(t *rapid.T) {
				if len(pool) == 0 {
					t.Skip("nothing sent")
				}
				c := rapid.SampledFrom(pool).Draw(t, "chunk")
				if s.Accept(c) == Emit {
					got = append(got, c.Text)
				}
			},
			"": func(t *rapid.T) {
				if len(got) > len(answer) || s.Ended() && len(got) != len(answer) {
					t.Fatalf("%d of %d tokens, ended %t", len(got), len(answer), s.Ended())
				}
				for i := range got {
					if got[i] != answer[i] {
						t.Fatalf("token %d is %q, want %q", i, got[i], answer[i])
					}
				}
			},
		})
	})
}
