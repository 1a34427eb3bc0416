package entry

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/claim"
	"github.com/hyssopladder/hyssopladder/relay"
	"github.com/hyssopladder/hyssopladder/result"
)

func TestParseChat(t *testing.T) {
	cases := map[string]string{
		`{`:             "body",
		`{"model":"m"}`: "messages",
		`{"messages":[{"role":"user","content":"x"}]}`:                              "model",
		`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":-1}`:  "max_tokens",
		`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":"x"}`: "body",
	}
	for body, want := range cases {
		_, err := parseChat([]byte(body))
		g := gomega.NewWithT(t)
		g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(want)), body)
		g.Expect(result.From(err).Ran).To(gomega.Equal(result.RanNo))
	}
}

func TestUpstreamBodyKeepsUnknownFields(t *testing.T) {
	g := gomega.NewWithT(t)
	r, err := parseChat([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"temperature":0.2,"resume":{"offset":9}}`))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	body, err := r.upstreamBody(0, "")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(body)).To(gomega.ContainSubstring(`"temperature":0.2`))
	g.Expect(string(body)).NotTo(gomega.ContainSubstring("resume"))
	body, err = r.upstreamBody(2, "a b ")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(body)).To(gomega.ContainSubstring(`"resume":{"offset":2,"text":"a b "}`))
}

func TestEventReader(t *testing.T) {
	tokenEvent := func(id, text string) string {
		return "id: " + id + "\ndata: {\"choices\":[{\"delta\":{\"content\":\"" + text + "\"}}]}\n\n"
	}
	cases := []struct {
		name, stream string
		want         []relay.Chunk
		complete     bool
	}{
		{"complete", tokenEvent("0", "a") + "id: 1\ndata: [DONE]\n\n", []relay.Chunk{{Attempt: 3, Text: "a"}, {Attempt: 3, Offset: 1, Final: true}}, true},
		{"heartbeats", ": wait\n\n: wait\n\n" + tokenEvent("0", "a"), []relay.Chunk{{Attempt: 3, Text: "a"}}, false},
		{"ends within an event", tokenEvent("0", "a") + "id: 1\ndata: {\"cho", []relay.Chunk{{Attempt: 3, Text: "a"}}, false},
		{"no offset", "data: {}\n\n", nil, false},
		{"no choice", "id: 0\ndata: {}\n\n", nil, false},
		{"not JSON", "id: 0\ndata: x\n\n", nil, false},
		{"line too long", "data: " + strings.Repeat("x", maxLineBytes+1), nil, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := newEventReader(strings.NewReader(c.stream), func() {})
			for _, want := range c.want {
				got, err := r.next(3)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(got).To(gomega.Equal(want))
			}
			if !c.complete {
				_, err := r.next(3)
				g.Expect(err).To(gomega.HaveOccurred())
			}
		})
	}
}

// TestEventIDsNameTheRelease guards against incident ORDER: a caller takes its stream
// up at the release that began it, which only the ID of its last event tells.
func TestEventIDsNameTheRelease(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, p := range []position{{0, ""}, {9, ""}, {12, "v2"}, {3, "a@b\n\nid: 7"}, {4, "%"}} {
		id := eventID(p.offset, p.release)
		g.Expect(id).NotTo(gomega.ContainSubstring("\n"))
		got, ok := parseEventID(id)
		g.Expect(ok).To(gomega.BeTrue(), id)
		g.Expect(got).To(gomega.Equal(p))
	}
	for _, text := range []string{"", "-1", "x", "@v1", "4@%zz"} {
		_, ok := parseEventID(text)
		g.Expect(ok).To(gomega.BeFalse(), text)
	}
}

func TestHeldKeyResponses(t *testing.T) {
	body := &claim.Answer{Status: 201, ContentType: "text/plain", Body: []byte("booked")}
	cases := []struct {
		name  string
		reply claim.Reply
		code  result.Code
		ran   result.Ran
	}{
		{"full", claim.Reply{Full: true}, result.ClaimFull, result.RanNo},
		{"reused", claim.Reply{Reused: true, State: claim.Answered}, result.KeyReused, result.RanNo},
		{"pending", claim.Reply{State: claim.Claimed}, result.ClaimPending, result.RanUnknown},
		{"unknown", claim.Reply{State: claim.Unknown}, result.ClaimUnknown, result.RanUnknown},
		{"dropped", claim.Reply{State: claim.Answered, Answer: &claim.Answer{Status: 200, Dropped: true}}, result.ClaimAnswered, result.RanYes},
		{"answered", claim.Reply{State: claim.Answered, Answer: body}, 0, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			a, err := heldKeyResponse(c.reply)
			if c.code == 0 {
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(a.status).To(gomega.Equal(201))
				g.Expect(a.header.Get(headerReplayed)).To(gomega.Equal("true"))
				return
			}
			g.Expect(result.From(err).Code).To(gomega.Equal(c.code))
			g.Expect(result.From(err).Ran).To(gomega.Equal(c.ran))
		})
	}
}

func TestSettlementOutcomes(t *testing.T) {
	g := gomega.NewWithT(t)
	c := claim.Claim{Key: claim.Key{Caller: "c", Service: "s", Key: "k"}, Owner: "o"}
	g.Expect(settlement(c, nil, result.New(result.Overloaded, result.RanNo, "")).Outcome).To(gomega.Equal(claim.Free))
	g.Expect(settlement(c, nil, result.New(result.UpstreamUnknown, result.RanUnknown, "")).Outcome).To(gomega.Equal(claim.Unknown))
	g.Expect(settlement(c, nil, result.New(result.Quarantined, result.RanUnknown, "")).Outcome).To(gomega.Equal(claim.Unknown))
	large := settlement(c, &plainResponse{status: 200, body: make([]byte, claim.MaxAnswerBytes+1)}, nil)
	g.Expect(large.Answer.Dropped).To(gomega.BeTrue())
	g.Expect(large.Answer.Body).To(gomega.BeNil())
}

func FuzzEvents(f *testing.F) {
	f.Add("id: 0\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n")
	f.Fuzz(func(t *testing.T, stream string) {
		r := newEventReader(strings.NewReader(stream), func() {})
		for {
			c, err := r.next(1)
			if err != nil {
				return
			}
			if c.Offset < 0 {
				t.Fatalf("offset %d", c.Offset)
			}
		}
	})
}
