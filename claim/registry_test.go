package claim

import (
	"flag"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

func key(caller, name string) Key { return Key{Caller: caller, Service: "booking", Key: name} }

func claimCommand(k Key, callHash uint64, owner string) Command {
	return Command{Claim: &Claim{Key: k, CallHash: callHash, Owner: owner}}
}

func settleCommand(k Key, owner string, outcome State) Command {
	s := &Settle{Key: k, Owner: owner, Outcome: outcome}
	if outcome == Answered {
		s.Answer = &Answer{Status: 200, Body: []byte("done by " + owner)}
	}
	return Command{Settle: s}
}

func TestRegistryReplies(t *testing.T) {
	k := key("sitters", "k1")
	cases := []struct {
		name    string
		setup   []Command
		command Command
		want    Reply
	}{
		{"first claim", nil, claimCommand(k, 1, "a"), Reply{Granted: true, State: Claimed}},
		{"claim sent again by its owner", []Command{claimCommand(k, 1, "a")}, claimCommand(k, 1, "a"), Reply{Granted: true, State: Claimed}},
		{"claim by another owner", []Command{claimCommand(k, 1, "a")}, claimCommand(k, 1, "b"), Reply{State: Claimed}},
		{"key reused for another call", []Command{claimCommand(k, 1, "a")}, claimCommand(k, 2, "b"), Reply{State: Claimed, Reused: true}},
		{"same key of another caller", []Command{claimCommand(k, 1, "a")}, claimCommand(key("owners", "k1"), 1, "b"), Reply{Granted: true, State: Claimed}},
		{
			"answered",
			[]Command{claimCommand(k, 1, "a"), settleCommand(k, "a", Answered)},
			claimCommand(k, 1, "b"),
			Reply{State: Answered, Answer: &Answer{Status: 200, Body: []byte("done by a")}},
		},
		{"call never sent", []Command{claimCommand(k, 1, "a"), settleCommand(k, "a", Free)}, claimCommand(k, 1, "b"), Reply{Granted: true, State: Claimed}},
		{"outcome unknown", []Command{claimCommand(k, 1, "a"), settleCommand(k, "a", Unknown)}, claimCommand(k, 1, "b"), Reply{State: Unknown}},
		{"owner timed out", []Command{claimCommand(k, 1, "a"), {Advance: &Advance{OwnerTimeout}}}, claimCommand(k, 1, "b"), Reply{State: Unknown}},
		{"owner answers after its timeout", []Command{
			claimCommand(k, 1, "a"),
			{Advance: &Advance{OwnerTimeout}},
			settleCommand(k, "a", Answered),
		}, claimCommand(k, 1, "b"), Reply{State: Answered, Answer: &Answer{Status: 200, Body: []byte("done by a")}}},
		{"a duplicate release doesn't free the claim of another owner", []Command{
			claimCommand(k, 1, "a"),
			settleCommand(k, "a", Free),
			claimCommand(k, 1, "b"),
			settleCommand(k, "a", Free),
		}, claimCommand(k, 1, "c"), Reply{State: Claimed}},
		{"a release after an answer has no effect", []Command{
			claimCommand(k, 1, "a"),
			settleCommand(k, "a", Answered),
			settleCommand(k, "a", Free),
		}, claimCommand(k, 1, "c"), Reply{State: Answered, Answer: &Answer{Status: 200, Body: []byte("done by a")}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := New()
			for _, before := range c.setup {
				g.Expect(before.Check()).To(gomega.Succeed())
				r.Apply(before)
			}
			g.Expect(r.Apply(c.command)).To(gomega.Equal(c.want))
		})
	}
}

func TestRegistersExpireAndAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	r := New()
	k := key("sitters", "k1")
	r.Apply(claimCommand(k, 1, "a"))
	r.Apply(settleCommand(k, "a", Answered))
	for range int(Retention/maxAdvance) - 1 {
		r.Apply(Command{Advance: &Advance{maxAdvance}})
	}
	g.Expect(r.Apply(claimCommand(k, 1, "b")).State).To(gomega.Equal(Answered))
	r.Apply(Command{Advance: &Advance{maxAdvance}})
	g.Expect(r.Len()).To(gomega.BeZero())
	g.Expect(r.storedBytes).To(gomega.BeZero())

	for i := range MaxRegisters {
		r.Apply(claimCommand(key("sitters", fmt.Sprint(i)), 1, "a"))
	}
	g.Expect(r.Apply(claimCommand(key("sitters", "more"), 1, "a"))).To(gomega.Equal(Reply{Full: true}))
}

func TestStoredAnswersAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	r := New()
	body := make([]byte, MaxAnswerBytes)
	const n = MaxStoredBytes/MaxAnswerBytes + 10
	for i := range n {
		k := key("sitters", fmt.Sprint(i))
		r.Apply(claimCommand(k, 1, "a"))
		r.Apply(Command{Settle: &Settle{Key: k, Owner: "a", Outcome: Answered, Answer: &Answer{Status: 200, Body: body}}})
	}
	g.Expect(r.storedBytes).To(gomega.BeNumerically("<=", MaxStoredBytes))
	first := r.Apply(claimCommand(key("sitters", "0"), 1, "b"))
	g.Expect(first.State).To(gomega.Equal(Answered))
	g.Expect(first.Answer.Dropped).To(gomega.BeTrue())
}

// callOracle is what the test knows of a key's call: how often it ran, and its
// possible answers.
type callOracle struct {
	runs    int
	answers map[string]bool
}

// TestRegistryRunsAtMostOnce lets owners claim, run, settle and time out in
// random order, with snapshots in between. Each call may run at most once, also
// if its owner crashes or loses the answer.
func TestRegistryRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New()
		calls := map[Key]*callOracle{}
		type owner struct {
			key  Key
			name string
			ran  bool
		}
		var owners []*owner
		claims := 0
		pick := func(t *rapid.T) *owner {
			if len(owners) == 0 {
				t.Skip("no owner")
			}
			return rapid.SampledFrom(owners).Draw(t, "owner")
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				claims++
				k := key(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "caller"), rapid.SampledFrom([]string{"1", "2"}).Draw(t, "key"))
				if calls[k] == nil {
					calls[k] = &callOracle{answers: map[string]bool{}}
				}
				o := &owner{key: k, name: fmt.Sprintf("entry-%d", claims)}
				reply := r.Apply(claimCommand(k, 1, o.name))
				switch {
				case reply.Granted:
					owners = append(owners, o)
				case reply.State == Answered && !calls[k].answers[string(reply.Answer.Body)]:
					t.Fatalf("key %v got %q, which isn't an answer to its call", k, reply.Answer.Body)
				case reply.State == Free:
					t.Fatalf("key %v was neither granted nor claimed", k)
				}
			},
			"run": func(t *rapid.T) {
				o := pick(t)
				if o.ran || !r.Apply(claimCommand(o.key, 1, o.name)).Granted {
					t.Skip("the call has run or the claim was lost")
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
					r.Apply(settleCommand(o.key, o.name, rapid.SampledFrom([]State{Answered, Unknown}).Draw(t, "outcome")))
				} else {
					r.Apply(settleCommand(o.key, o.name, Free))
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
					t.Fatal("the restored registry differs from its snapshot")
				}
				r = restored
			},
		})
	})
}

func FuzzRestore(f *testing.F) {
	f.Fuzz(func(_ *testing.T, data []byte) {
		r := New()
		_ = r.Restore(data)
		r.Apply(claimCommand(key("a", "b"), 1, "c"))
		r.Apply(Command{Advance: &Advance{maxAdvance}})
	})
}

// TestFreedClaimsTakeNoRoom frees claims behind one register that stays: neither
// the memory nor the snapshot may grow with them.
func TestFreedClaimsTakeNoRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	r := New()
	key := func(name string) Key { return Key{Caller: "app", Service: "booking", Key: name} }
	r.Apply(Command{Claim: &Claim{Key: key("held"), Owner: "o"}})
	for i := range 10_000 {
		k := key(strconv.Itoa(i))
		g.Expect(r.Apply(Command{Claim: &Claim{Key: k, Owner: "o"}}).Granted).To(gomega.BeTrue())
		r.Apply(Command{Settle: &Settle{Key: k, Owner: "o", Outcome: Free}})
	}
	g.Expect(r.Len()).To(gomega.Equal(1))
	g.Expect(len(r.claimOrder)).To(gomega.BeNumerically("<=", freedClaimsKept+2))
	snapshot, err := r.Snapshot()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(len(snapshot)).To(gomega.BeNumerically("<", 10<<10))
	r.Apply(Command{Advance: &Advance{By: maxAdvance}})
	r.Apply(Command{Advance: &Advance{By: maxAdvance}})
	g.Expect(r.Apply(Command{Claim: &Claim{Key: key("held"), Owner: "p"}}).State).To(gomega.Equal(Unknown), "the register that stays still ends in time")
}
