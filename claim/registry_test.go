package claim

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

func key(caller, name string) Key { return Key{Caller: caller, Service: "booking", Key: name} }

func claimOf(k Key, sum uint64, owner string) Command {
	return Command{Claim: &Claim{Key: k, Sum: sum, Owner: owner}}
}

func settleOf(k Key, owner string, outcome State) Command {
	s := &Settle{Key: k, Owner: owner, Outcome: outcome}
	if outcome == Answered {
		s.Answer = &Answer{Status: 200, Body: []byte("done by " + owner)}
	}
	return Command{Settle: s}
}

func TestRegistryFaults(t *testing.T) {
	k := key("sitters", "k1")
	cases := []struct {
		name   string
		before []Command
		then   Command
		want   Reply
	}{
		{"first claim", nil, claimOf(k, 1, "a"), Reply{Granted: true, State: Claimed}},
		{"claim sent again by its owner", []Command{claimOf(k, 1, "a")}, claimOf(k, 1, "a"), Reply{Granted: true, State: Claimed}},
		{"claim by another owner", []Command{claimOf(k, 1, "a")}, claimOf(k, 1, "b"), Reply{State: Claimed}},
		{"another body", []Command{claimOf(k, 1, "a")}, claimOf(k, 2, "b"), Reply{State: Claimed, Reused: true}},
		{"another caller's key", []Command{claimOf(k, 1, "a")}, claimOf(key("owners", "k1"), 1, "b"), Reply{Granted: true, State: Claimed}},
		{
			"answered",
			[]Command{claimOf(k, 1, "a"), settleOf(k, "a", Answered)},
			claimOf(k, 1, "b"),
			Reply{State: Answered, Answer: &Answer{Status: 200, Body: []byte("done by a")}},
		},
		{"never sent", []Command{claimOf(k, 1, "a"), settleOf(k, "a", Free)}, claimOf(k, 1, "b"), Reply{Granted: true, State: Claimed}},
		{"unknown", []Command{claimOf(k, 1, "a"), settleOf(k, "a", Unknown)}, claimOf(k, 1, "b"), Reply{State: Unknown}},
		{"owner is gone", []Command{claimOf(k, 1, "a"), {Advance: &Advance{OwnerTimeout}}}, claimOf(k, 1, "b"), Reply{State: Unknown}},
		{"owner answers late", []Command{
			claimOf(k, 1, "a"),
			{Advance: &Advance{OwnerTimeout}},
			settleOf(k, "a", Answered),
		}, claimOf(k, 1, "b"), Reply{State: Answered, Answer: &Answer{Status: 200, Body: []byte("done by a")}}},
		{"a late doubled release frees no other's claim", []Command{
			claimOf(k, 1, "a"),
			settleOf(k, "a", Free),
			claimOf(k, 1, "b"),
			settleOf(k, "a", Free),
		}, claimOf(k, 1, "c"), Reply{State: Claimed}},
		{"a release after an answer", []Command{
			claimOf(k, 1, "a"),
			settleOf(k, "a", Answered),
			settleOf(k, "a", Free),
		}, claimOf(k, 1, "c"), Reply{State: Answered, Answer: &Answer{Status: 200, Body: []byte("done by a")}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := New()
			for _, b := range c.before {
				g.Expect(b.Check()).To(gomega.Succeed())
				r.Apply(b)
			}
			g.Expect(r.Apply(c.then)).To(gomega.Equal(c.want))
		})
	}
}

func TestRetentionAndBounds(t *testing.T) {
	g := gomega.NewWithT(t)
	r := New()
	k := key("sitters", "k1")
	r.Apply(claimOf(k, 1, "a"))
	r.Apply(settleOf(k, "a", Answered))
	for range int(Retention/maxAdvance) - 1 {
		r.Apply(Command{Advance: &Advance{maxAdvance}})
	}
	g.Expect(r.Apply(claimOf(k, 1, "b")).State).To(gomega.Equal(Answered))
	r.Apply(Command{Advance: &Advance{maxAdvance}})
	g.Expect(r.Len()).To(gomega.BeZero())
	g.Expect(r.stored).To(gomega.BeZero())

	for i := range MaxRegisters {
		r.Apply(claimOf(key("sitters", fmt.Sprint(i)), 1, "a"))
	}
	g.Expect(r.Apply(claimOf(key("sitters", "more"), 1, "a"))).To(gomega.Equal(Reply{Full: true}))
}

func TestStoredAnswersAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	r := New()
	body := make([]byte, MaxAnswer)
	const n = MaxStored/MaxAnswer + 10
	for i := range n {
		k := key("sitters", fmt.Sprint(i))
		r.Apply(claimOf(k, 1, "a"))
		r.Apply(Command{Settle: &Settle{Key: k, Owner: "a", Outcome: Answered, Answer: &Answer{Status: 200, Body: body}}})
	}
	g.Expect(r.stored).To(gomega.BeNumerically("<=", MaxStored))
	first := r.Apply(claimOf(key("sitters", "0"), 1, "b"))
	g.Expect(first.State).To(gomega.Equal(Answered))
	g.Expect(first.Answer.Dropped).To(gomega.BeTrue())
}

// call is the oracle's view of one key: how often the call ran.
type call struct {
	runs    int
	answers map[string]bool
}

// TestRegistryRunsAtMostOnce has entries claim, run, lose answers and die in
// any order, with snapshots between; each call may run at most once.
func TestRegistryRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New()
		calls := map[Key]*call{}
		type owner struct {
			key  Key
			name string
			ran  bool
		}
		var owners []*owner
		turn := 0
		pick := func(t *rapid.T) *owner {
			if len(owners) == 0 {
				t.Skip("no owner")
			}
			return rapid.SampledFrom(owners).Draw(t, "owner")
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				turn++
				k := key(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "caller"), rapid.SampledFrom([]string{"1", "2"}).Draw(t, "key"))
				if calls[k] == nil {
					calls[k] = &call{answers: map[string]bool{}}
				}
				o := &owner{key: k, name: fmt.Sprintf("entry-%d", turn)}
				reply := r.Apply(claimOf(k, 1, o.name))
				switch {
				case reply.Granted:
					owners = append(owners, o)
				case reply.State == Answered && !calls[k].answers[string(reply.Answer.Body)]:
					t.Fatalf("key %v got %q, which was never its answer", k, reply.Answer.Body)
				case reply.State == Free:
					t.Fatalf("key %v was neither granted nor held", k)
				}
			},
			"run": func(t *rapid.T) {
				o := pick(t)
				if o.ran || !r.Apply(claimOf(o.key, 1, o.name)).Granted {
					t.Skip("ran or lost already")
				}
				o.ran = true
				c := calls[o.key]
				if c.runs++; c.runs > 1 {
					t.Fatalf("the call of key %v ran twice", o.key)
				}
				c.answers["done by "+o.name] = true
			},
			"settle": func(t *rapid.T) {
				o := pick(t)
				if o.ran {
					r.Apply(settleOf(o.key, o.name, rapid.SampledFrom([]State{Answered, Unknown}).Draw(t, "outcome")))
				} else {
					r.Apply(settleOf(o.key, o.name, Free))
				}
			},
			"time": func(t *rapid.T) {
				r.Apply(Command{Advance: &Advance{time.Duration(rapid.IntRange(0, 60).Draw(t, "seconds")) * time.Second}})
			},
			"snapshot": func(t *rapid.T) {
				data, err := r.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				restored := New()
				if err := restored.Restore(data); err != nil {
					t.Fatal(err)
				}
				again, _ := restored.Snapshot()
				if string(again) != string(data) {
					t.Fatal("a restored registry differs")
				}
				r = restored
			},
		})
	})
}

func FuzzCommand(f *testing.F) {
	f.Fuzz(func(_ *testing.T, data []byte) {
		r := New()
		_ = r.Restore(data)
		r.Apply(claimOf(key("a", "b"), 1, "c"))
		r.Apply(Command{Advance: &Advance{maxAdvance}})
	})
}
