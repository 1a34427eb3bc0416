package control

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/hyssopladder/hyssopladder/common/actors"
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/pack"
	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/consensus"
	"github.com/hyssopladder/hyssopladder/fleet"
	"github.com/hyssopladder/hyssopladder/gossip"
	"github.com/hyssopladder/hyssopladder/keeper"
	"github.com/hyssopladder/hyssopladder/member"
	"github.com/hyssopladder/hyssopladder/peer"
	"github.com/hyssopladder/hyssopladder/plan"
	"github.com/hyssopladder/hyssopladder/platform"
	"github.com/hyssopladder/hyssopladder/rollout"
	"github.com/hyssopladder/hyssopladder/settings"
	"github.com/hyssopladder/hyssopladder/upstream"
	"github.com/hyssopladder/hyssopladder/wal"
)

var testLimits = rollout.Limits{ExposeShare: 0.1, ExposeSlack: 50, RevertWithin: 5 * time.Second}

// rolloutConfig has two services that are scaled.
const rolloutConfig = `{"version":1,"limits":{"maxHeaderBytes":9000,"maxBodyBytes":9000,"headerTimeoutMs":1,"idleTimeoutMs":1},
	"services":[{"name":"s","engine":{"slots":4,"kvCapacity":1000},"autoscale":{"min":2,"max":4,"bootS":1,"zonePrices":{"a":1}}},
		{"name":"other","engine":{"slots":4,"kvCapacity":1000},"autoscale":{"min":2,"max":4,"bootS":1,"zonePrices":{"a":1}}}],
	"routes":[{"name":"r","host":"h","pathPrefix":"/","kind":"idempotent","timeoutMs":100,"attempts":1,"service":"s"}]}`

// controlNode is one keeper with its control server.
type controlNode struct {
	*Control
	folder      string
	incarnation uint64
	stop        context.CancelFunc
}

// controlNodes are keepers in this process that can be stopped, and started again from
// their disks.
type controlNodes struct {
	t     *testing.T
	seeds []netip.AddrPort
	nodes [3]*controlNode
}

func startControlNodes(t *testing.T, limits ...rollout.Limits) *controlNodes {
	k := &controlNodes{t: t}
	for i := range k.nodes {
		k.nodes[i] = &controlNode{folder: t.TempDir()}
		k.start(i, limits[i])
	}
	return k
}

func (k *controlNodes) start(i int, limits rollout.Limits) {
	g, n := gomega.NewWithT(k.t), k.nodes[i]
	ctx, stop := context.WithCancel(k.t.Context())
	n.stop = stop
	server, err := peer.New(ctx, netip.MustParseAddrPort("127.0.0.1:0"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	k.seeds = append(k.seeds, server.Address)
	system := actors.NewSystem()
	var fs wal.FS
	g.Eventually(func() error {
		fs, err = wal.OpenFolder(n.folder)
		return err
	}, 5*time.Second).Should(gomega.Succeed())
	journal, stored, err := wal.Open(fs, func() consensus.ID { return consensus.ID(i + 1) })
	g.Expect(err).NotTo(gomega.HaveOccurred())
	n.incarnation++
	host := gossip.New(ctx, gossip.Options{
		Node: member.NodeInfo{Name: fmt.Sprint(i), Address: server.Address}, Incarnation: n.incarnation, Seeds: k.seeds,
		Interval: 50 * time.Millisecond, Lease: time.Second, Clock: clock.System(), Actors: system, Server: server,
	})
	host.SetKeeper(journal.Identity().ID.String(), journal.Identity().Cluster)
	o := keeper.Options{
		Name: fmt.Sprint(i), Settings: settings.Keeper{InitialVoters: 3, Voters: 3, ReplaceAfter: time.Minute, Bootstrap: i == 0},
		Address: server.Address, Seeds: k.seeds, Journal: journal, Stored: stored,
		Gossip: host, Server: server, Clock: clock.System(), Actors: system, Metrics: metrics.NewRegistry(),
	}
	if limits.Enabled() {
		o.Later = keeper.NewRollouts()
	}
	kept, err := keeper.New(ctx, o)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	n.Control = New(ctx, Options{
		Name: o.Name, Incarnation: n.incarnation, Gossip: host, Keeper: kept, Client: keeper.NewClient(host, server.Client),
		Server: server, Clock: o.Clock, Folder: fs, Rollouts: limits, Metrics: o.Metrics,
	})
	server.Started()
}

func (k *controlNodes) call(i int, method, path, body string) (int, string, http.Header) {
	r, err := http.NewRequestWithContext(k.t.Context(), method, fmt.Sprintf("http://%s%s", k.nodes[i].options.Server.Address, path), strings.NewReader(body))
	gomega.NewWithT(k.t).Expect(err).NotTo(gomega.HaveOccurred())
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error(), nil
	}
	return response.StatusCode, strings.TrimSpace(string(data)), response.Header
}

// status calls a keeper and returns the status of its response.
func (k *controlNodes) status(i int, method, path, body string) func() (status int) {
	return func() (status int) { status, _, _ = k.call(i, method, path, body); return }
}

func (k *controlNodes) view(i int) keeper.View {
	v, _ := k.nodes[i].options.Keeper.View()
	return v
}

// leader waits until some keeper leads.
func (k *controlNodes) leader() int {
	leader := -1
	gomega.NewWithT(k.t).Eventually(func() int {
		leader = slices.IndexFunc(k.nodes[:], func(n *controlNode) bool {
			v, _ := n.options.Keeper.View()
			return v.Leading
		})
		return leader
	}, 10*time.Second).ShouldNot(gomega.Equal(-1))
	return leader
}

// awaitLevel waits until all keepers have the level of rollouts in force and reach a majority.
func (k *controlNodes) awaitLevel() {
	for i := range k.nodes {
		gomega.NewWithT(k.t).Eventually(func() bool { return k.nodes[i].options.Keeper.Confirm(k.t.Context()) }, 10*time.Second).Should(gomega.BeTrue())
		gomega.NewWithT(k.t).Eventually(func() any { return k.view(i).Level }, 10*time.Second).Should(gomega.Equal(keeper.RolloutLevel))
	}
}

const (
	startPath = "/v1/rollouts/start"
	getPath   = "/v1/rollouts/s/get"
	goodOrder = `{"service":"s","to":"v2","durationS":1800.5}`
)

// TestRolloutCalls guards against an order that is acknowledged without a majority or refused for
// good though it may be carried out later, and against one that isn't refused though it can't be.
func TestRolloutCalls(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	k := startControlNodes(t, testLimits, testLimits, rollout.Limits{})
	g.Eventually(k.status(0, "POST", "/v1/config/put", rolloutConfig), 10*time.Second).Should(gomega.Equal(200))
	// Keeper 2 knows no rollouts.
	g.Expect(k.status(2, "POST", startPath, goodOrder)()).To(gomega.Equal(404))
	g.Expect(k.status(2, "GET", getPath, "")()).To(gomega.Equal(404))
	status, body, header := k.call(0, "POST", startPath, goodOrder)
	g.Expect(status).To(gomega.Equal(503))
	g.Expect(body).To(gomega.And(gomega.ContainSubstring("5014"), gomega.ContainSubstring(`"ran":"no"`)))
	g.Expect(header.Get("Retry-After")).To(gomega.Equal("1"))
	k.nodes[2].stop()
	k.start(2, testLimits)
	k.awaitLevel()

	sound := func(field string) string { return strings.Replace(goodOrder, `"durationS":1800.5`, field, 1) }
	for _, c := range []struct {
		name, method, path, body string
		status                   int
		want                     string
	}{
		{"no order yet", "GET", getPath, "", 404, "5013"},
		{"no service", "POST", startPath, `{"to":"v2","durationS":12}`, 400, "5010"},
		{"no release", "POST", startPath, `{"service":"s","to":"","durationS":12}`, 400, "5010"},
		{"no time", "POST", startPath, `{"service":"s","to":"v2"}`, 400, "5010"},
		{"a time of 0", "POST", startPath, sound(`"durationS":0`), 400, "5010"},
		{"a time above an hour", "POST", startPath, sound(`"durationS":3600.1`), 400, "5010"},
		{"a time beyond numbers", "POST", startPath, sound(`"durationS":1e300`), 400, "5010"},
		{"a long release", "POST", startPath, strings.Replace(goodOrder, "v2", strings.Repeat("v", 2000), 1), 400, "5010"},
		{"a long body", "POST", startPath, `{"service":"` + strings.Repeat("s", 70_000), 400, "5010"},
		{"unknown service", "POST", startPath, `{"service":"none","to":"v2","durationS":12}`, 422, "5011"},
		{"good", "POST", startPath, goodOrder, 200, ""},
		{"sent again", "POST", startPath, goodOrder, 200, ""},
		{"another one meanwhile", "POST", startPath, strings.Replace(goodOrder, "v2", "v3", 1), 409, "5012"},
		{"another time meanwhile", "POST", startPath, sound(`"durationS":1801`), 409, "5012"},
		{"state", "GET", getPath, "", 200, `{"state":"running","to":"v2"}`},
		{"status", "GET", "/operator/rollouts/s", "", 200, `"phase":"running","number":1,`},
		{"an operator's order beyond durations", "POST", "/operator/rollouts/other", `{"to":"v2","withinMs":9223372036854775807}`, 400, "5010"},
		{"an operator's order below durations", "POST", "/operator/rollouts/other", `{"to":"v2","withinMs":-18446744013709}`, 400, "5010"},
		{"an operator's order of a long release", "POST", "/operator/rollouts/other", `{"to":"` + strings.Repeat("v", 2000) + `","withinMs":900000}`, 400, "5010"},
		{"an operator's order", "POST", "/operator/rollouts/other", `{"to":"v2","withinMs":900000}`, 200, `"phase":"running","number":2,`},
		{"revert", "POST", "/operator/rollouts/s/revert", "", 200, `"phase":"reverted"`},
		{"revert again", "POST", "/operator/rollouts/s/revert", "", 200, `"phase":"reverted"`},
		{"state after it", "GET", getPath, "", 200, `{"state":"reverted","to":"v2"}`},
	} {
		// Any keeper answers, so the calls go to each in turn.
		for i := range k.nodes {
			status, body, _ := k.call(i, c.method, c.path, c.body)
			g.Expect(status).To(gomega.Equal(c.status), "%s at keeper %d: %s", c.name, i, body)
			g.Expect(body).To(gomega.ContainSubstring(c.want), "%s at keeper %d", c.name, i)
		}
	}

	// A succeeded rollout can't be reverted.
	end := rollout.Command{End: &rollout.End{Service: "other", Number: 2, Phase: rollout.Succeeded, Superseded: []string{"v1"}}}
	outcome, err := k.nodes[0].options.Client.Rollout(t.Context(), end)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(outcome).To(gomega.Equal(rollout.Accepted))
	g.Expect(k.status(1, "POST", "/operator/rollouts/other/revert", "")()).To(gomega.Equal(409))

	k.nodes[0].stop()
	k.nodes[1].stop()
	for path, method := range map[string]string{startPath: "POST", getPath: "GET"} {
		status, body, header := k.call(2, method, path, strings.Replace(goodOrder, "v2", "v4", 1))
		g.Expect(status).To(gomega.Equal(503), body)
		g.Expect(body).To(gomega.ContainSubstring("5004"))
		g.Expect(header.Get("Retry-After")).To(gomega.Equal("1"))
	}
}

// TestOrderSentToAllKeepersStartsOneRollout guards against an order that begins twice or is lost
// when it is sent again to other keepers while the leader is killed, and when all
// keepers start again from their disks.
func TestOrderSentToAllKeepersStartsOneRollout(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	k := startControlNodes(t, testLimits, testLimits, testLimits)
	k.awaitLevel()
	g.Eventually(k.status(0, "POST", "/v1/config/put", rolloutConfig), 10*time.Second).Should(gomega.Equal(200))
	leader := k.leader()
	var calls sync.WaitGroup
	for i := range k.nodes {
		calls.Go(func() {
			if i == leader {
				k.status(i, "POST", startPath, goodOrder)()
				return
			}
			g.Eventually(k.status(i, "POST", startPath, goodOrder), 10*time.Second).Should(gomega.Equal(200))
		})
	}
	k.nodes[leader].stop()
	calls.Wait()
	for i := range k.nodes {
		k.nodes[i].stop()
	}
	for i := range k.nodes {
		k.start(i, testLimits)
	}
	for i := range k.nodes {
		g.Eventually(k.status(i, "POST", startPath, goodOrder), 10*time.Second).Should(gomega.Equal(200))
		g.Eventually(func() []rollout.Rollout { return k.view(i).Rollouts.Rollouts }, 5*time.Second).Should(gomega.HaveLen(1))
		r, _ := k.view(i).Rollouts.Of("s")
		g.Expect(r.Number).To(gomega.Equal(uint64(1)))
		g.Expect(r.Phase).To(gomega.Equal(rollout.Running))
		// The order was found at the start: its time goes on by the wall clock.
		g.Eventually(func() time.Duration {
			return (k.nodes[i].rollouts.clock.elapsed(k.nodes[i].options.Clock(), r) - time.Since(r.At)).Abs()
		}).Should(gomega.BeNumerically("<", 100*time.Millisecond))
	}

	// Entries are sent a newer view at once, and asked for reports more often.
	leader = k.leader()
	client, address := k.nodes[leader].options.Server.Client, k.nodes[leader].options.Server.Address
	var reply SyncReply
	g.Expect(client.Call(t.Context(), address, peer.Sync, SyncRequest{Entry: "e", Config: 1}, &reply)).To(gomega.Succeed())
	g.Expect(reply.Rollouts.Version).To(gomega.BeNumerically(">=", 1))
	g.Expect(reply.Quorum).To(gomega.Equal(QuorumUnasked), "at once")
	var account AccountReply
	g.Expect(client.Call(t.Context(), address, peer.Account, AccountRequest{Entry: "e", Incarnation: 1}, &account)).To(gomega.Succeed())
	g.Expect(account.NextReport).To(gomega.Equal(rolloutReportInterval))
	// The leader carries out what the judge decides.
	judge := &endingJudge{}
	k.nodes[leader].mu.Lock()
	k.nodes[leader].leaderState.judge = judge
	k.nodes[leader].mu.Unlock()
	g.Expect(client.Call(t.Context(), address, peer.Account, AccountRequest{Entry: "e", Incarnation: 1, Releases: &rollout.Report{}}, &account)).To(gomega.Succeed())
	g.Eventually(func() rollout.Phase {
		request := SyncRequest{Entry: "e", Rollouts: reply.Rollouts.Version, Config: 1, Source: reply.Source, Generation: reply.Generation}
		reply = SyncReply{Rollouts: reply.Rollouts}
		g.Expect(client.Call(t.Context(), address, peer.Sync, request, &reply)).To(gomega.Succeed())
		r, _ := reply.Rollouts.Of("s")
		return r.Phase
	}, 5*time.Second).Should(gomega.Equal(rollout.Reverted))
}

// endingJudge ends a rollout once an entry has reported on it.
type endingJudge struct{ entries []string }

func (j *endingJudge) Observe(_ clock.Instant, entry string, _ uint64, _ rollout.Report) {
	j.entries = append(j.entries, entry)
}

func (j *endingJudge) Decide(_ clock.Instant, v rollout.View, state map[string]rollout.ServiceState, _ func(rollout.Rollout) time.Duration) []rollout.Command {
	if r, _ := v.Of("s"); slices.Equal(j.entries, []string{"e"}) && state["s"].Entries == 1 {
		return []rollout.Command{{End: &rollout.End{Service: "s", Number: r.Number, Phase: rollout.Reverted}}}
	}
	return nil
}

// TestRolloutTime guards against a rollout that misses its deadline, or ends at once, because
// wall clocks have jumped, and one that begins anew at each new leader.
func TestRolloutTime(t *testing.T) {
	at := time.Unix(1_700_000_000, 0)
	const now = clock.Instant(time.Hour)
	for _, c := range []struct {
		name             string
		found            bool
		stored, wallGone time.Duration
		want             time.Duration
	}{
		{"seen while running", false, 0, 9 * time.Second, 0},
		{"seen late while running", false, 3 * time.Second, 0, 3 * time.Second},
		{"found at the start", true, 2 * time.Second, 5 * time.Second, 5 * time.Second},
		{"found, with a clock that went back", true, 2 * time.Second, -time.Hour, 2 * time.Second},
		{"found, with a clock that went ahead", true, 2 * time.Second, time.Hour, 24 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := rollout.Rollout{Number: 1, Order: rollout.Order{Service: "s", To: "v2", Within: 12 * time.Second, At: at}, Phase: rollout.Running, Elapsed: c.stored}
			times := newRolloutClock()
			times.observe(now, at.Add(c.wallGone), c.found, &rollout.View{Rollouts: []rollout.Rollout{r}})
			g.Expect(times.elapsed(now, r)).To(gomega.Equal(c.want))
			// Neither the wall clock nor another view counts from then on.
			times.observe(now+time.Second, at.Add(time.Hour), true, &rollout.View{Rollouts: []rollout.Rollout{r}})
			g.Expect(times.elapsed(now+2*time.Second, r)).To(gomega.Equal(c.want + 2*time.Second))
			r.Elapsed = 30 * time.Second
			times.observe(now+3*time.Second, at, false, &rollout.View{Rollouts: []rollout.Rollout{r}})
			g.Expect(times.elapsed(now+4*time.Second, r)).To(gomega.Equal(31 * time.Second))
		})
	}
}

// TestServiceIsNotScaledDuringItsRollout guards against upstreams of the new release that count as
// a surplus, and are given back in the middle of a rollout.
func TestServiceIsNotScaledDuringItsRollout(t *testing.T) {
	packed, err := pack.Deflate([]byte(rolloutConfig))
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	const now = clock.Instant(time.Minute)
	for _, c := range []struct {
		name    string
		phase   rollout.Phase
		release string
		ended   time.Duration
		scaled  bool
	}{
		{"none", 0, "v1", 0, true},
		{"running", rollout.Running, "v1", 0, false},
		{"succeeded", rollout.Succeeded, "v2", time.Second, true},
		{"reverted just now", rollout.Reverted, "v2", time.Second, false},
		{"reverted, and its upstreams are gone", rollout.Reverted, "v1", time.Second, true},
		{"reverted long ago", rollout.Reverted, "v2", rolloutScaleHold, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			cloud := httptest.NewServer(http.NotFoundHandler())
			defer cloud.Close()
			host := &Control{options: Options{Clock: func() clock.Instant { return now }}, registry: newRegistry(), rollouts: &rollouts{clock: newRolloutClock()}}
			host.registry.apply(now, upstream.Announcement{ID: "i", Zone: "a", Release: c.release, Services: []string{"s"}})
			v := keeper.View{Term: 1, Leading: true, Config: config.Put{Number: 1, Packed: packed}, Rollouts: &rollout.View{}}
			if c.phase != 0 {
				v.Rollouts.Rollouts = []rollout.Rollout{{Number: 1, Order: rollout.Order{Service: "s", To: "v2"}, Phase: c.phase}}
			}
			host.rollouts.clock.observe(now-c.ended, time.Time{}, false, v.Rollouts)
			d := newScaleDuty(host, platform.NewCloud(netip.MustParseAddrPort(cloud.Listener.Addr().String())))
			d.term, d.requests, d.unavailableUntil = 1, map[scaleGroup]*scaleRequest{}, map[scaleGroup]clock.Instant{}
			d.forecasts, d.plannedNeeds = map[string]*plan.Forecast{}, map[string]int{}
			d.lease.Confirmed(now, 1)
			d.scale(t.Context(), now, v)
			g.Expect(d.requests).To(gomega.HaveKey(scaleGroup{"other", "a", true}))
			g.Expect(d.requests[scaleGroup{"s", "a", true}] != nil).To(gomega.Equal(c.scaled))
		})
	}
}

// TestLeaderKnowsTheReleases guards against a judge that takes upstreams or requests for those of
// another release, or waits for entries that are gone or have restarted.
func TestLeaderKnowsTheReleases(t *testing.T) {
	g := gomega.NewWithT(t)
	s, r := newLeaderState(0, 1, 0), newRegistry()
	const now = clock.Instant(time.Minute)
	for id, a := range map[string]upstream.Announcement{
		"old": {Release: "v1"}, "left": {Release: "v1", Leaving: true}, "new": {Release: "v2"}, "new2": {Release: "v2"},
		"foreign": {Release: "v2", Services: []string{"other"}},
	} {
		a.ID = id
		if a.Services == nil {
			a.Services = []string{"s"}
		}
		r.apply(now, a)
	}
	report := func(at clock.Instant, entry string, incarnation, version uint64) {
		s.applyReport(at, AccountRequest{Entry: entry, Incarnation: incarnation, RolloutVersion: version, Busy: map[string]fleet.Work{
			"old": {Running: 2}, "left": {Running: 1}, "new": {Running: 3}, "foreign": {Running: 9},
		}})
	}
	report(now-2*reportMaxAge, "gone", 1, 0)
	report(now, "restarted", 1, 0)
	report(now, "restarted", 2, 7)
	report(now, "lagging", 1, 6)
	v := &rollout.View{Version: 7, Rollouts: []rollout.Rollout{
		{Order: rollout.Order{Service: "s", To: "v2"}, Phase: rollout.Running}, {Order: rollout.Order{Service: "over"}, Phase: rollout.Succeeded},
	}}
	s.revision = &config.Revision{}
	for range 20 { // The reports are visited in random order.
		g.Expect(s.rolloutServices(now, r, v)).To(gomega.Equal(map[string]rollout.ServiceState{"s": {
			Upstreams: map[string]int{"v1": 1, "v2": 2}, Running: map[string]int{"v1": 9, "v2": 9}, Applied: 1, Entries: 2, Removed: true,
		}}))
	}
	s.startedAt = now - rolloutCollectTime + time.Millisecond
	g.Expect(s.rolloutServices(now, r, v)).To(gomega.BeEmpty(), "a new leader decides by the first reports")
}

// TestEntriesWithoutRolloutsAreNotAnsweredAtOnce guards against entries of an older build, which
// never name a version, that ask again without a pause.
func TestEntriesWithoutRolloutsAreNotAnsweredAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	now := clock.Instant(time.Minute)
	c := &Control{options: Options{Clock: func() clock.Instant { return now }}, rolloutsSentAt: map[string]clock.Instant{}}
	old, other := &SyncRequest{Entry: "old"}, &SyncRequest{Entry: "other"}
	g.Expect(c.sendsRollouts(old)).To(gomega.BeTrue())
	g.Expect(c.sendsRollouts(old)).To(gomega.BeFalse())
	g.Expect(c.sendsRollouts(other)).To(gomega.BeTrue())
	now += maxHoldTime
	g.Expect(c.sendsRollouts(old)).To(gomega.BeTrue())
	g.Expect(c.rolloutsSentAt).To(gomega.HaveLen(1))
	known := &SyncRequest{Entry: "known", Rollouts: 1}
	g.Expect(c.sendsRollouts(known) && c.sendsRollouts(known)).To(gomega.BeTrue())
}

// TestReleaseInForceIsRefusedOnlyIfAllIsKnown guards against an order that is refused for good
// because the keeper has just started, and knows the new upstreams only.
func TestReleaseInForceIsRefusedOnlyIfAllIsKnown(t *testing.T) {
	g := gomega.NewWithT(t)
	now := registryDelay - 1
	c := &Control{options: Options{Clock: func() clock.Instant { return now }}, registry: newRegistry()}
	c.registry.apply(now, upstream.Announcement{ID: "i", Release: "v2", Services: []string{"s"}})
	g.Expect(c.alreadyServes("s", "v2")).To(gomega.BeFalse())
	now = registryDelay
	g.Expect(c.alreadyServes("s", "v2")).To(gomega.BeTrue())
	g.Expect(c.alreadyServes("none", "v2")).To(gomega.BeFalse())
	c.registry.apply(now, upstream.Announcement{ID: "j", Release: "v1", Services: []string{"s"}})
	g.Expect(c.alreadyServes("s", "v2")).To(gomega.BeFalse())
}

// TestOrderBackToTheReleaseInForceIsRefused guards against an order to the only release that still
// serves after a revert: it takes all requests from it until the trial gives some back.
func TestOrderBackToTheReleaseInForceIsRefused(t *testing.T) {
	packed, err := pack.Deflate([]byte(rolloutConfig))
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	for _, c := range []struct {
		name, serving, last string
		phase               rollout.Phase
		to                  string
		refused             bool
	}{
		{"the first order", "v1", "", 0, "v1", true},
		{"after a revert", "v1", "v2", rollout.Reverted, "v1", true},
		{"while the reverted upstreams are still there", "v1 v2", "v2", rollout.Reverted, "v1", true},
		{"the reverted release again", "v1 v2", "v2", rollout.Reverted, "v2", false},
		{"the reverted release again, alone", "v2", "v2", rollout.Reverted, "v2", false},
		{"sent again after the success", "v2", "v2", rollout.Succeeded, "v2", false},
		{"back after a success", "v2", "v2", rollout.Succeeded, "v1", false},
		{"another one runs", "v1", "v2", rollout.Running, "v1", false},
	} {
		host := &Control{options: Options{Clock: func() clock.Instant { return registryDelay }}, registry: newRegistry()}
		for _, release := range strings.Fields(c.serving) {
			host.registry.apply(0, upstream.Announcement{ID: release, Release: release, Services: []string{"s"}})
		}
		v := keeper.View{Config: config.Put{Number: 1, Packed: packed}, Rollouts: &rollout.View{}}
		if c.last != "" {
			v.Rollouts.Rollouts = []rollout.Rollout{{Order: rollout.Order{Service: "s", To: c.last}, Phase: c.phase}}
		}
		if c.phase == rollout.Reverted {
			v.Rollouts.Reverted = map[string][]string{"s": {c.last}}
		}
		err := (&rollouts{control: host}).refusal(v, &rollout.Order{Service: "s", To: c.to, Within: time.Second})
		gomega.NewWithT(t).Expect(err != nil).To(gomega.Equal(c.refused), "%s: %v", c.name, err)
	}
}
