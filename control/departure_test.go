package control

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/rollout"
)

// Starts of the upstream "i-1" of these tests, in Unix milliseconds.
const (
	firstStart  = 1_700_000_000_000
	secondStart = firstStart + 60_000
	thirdStart  = secondStart + 60_000
)

// startDepartures starts three keepers, of which each has heard of the first start of the
// upstream "i-1".
func startDepartures(t *testing.T) *controlNodes {
	k := startControlNodes(t, rollout.Limits{}, rollout.Limits{}, rollout.Limits{})
	for i := range k.nodes {
		gomega.NewWithT(t).Eventually(func() bool { return k.nodes[i].options.Keeper.Confirm(t.Context()) }, 10*time.Second).Should(gomega.BeTrue())
	}
	k.beat(0, "i-1", firstStart, 1, "ready")
	k.awaitMarker("settled", 0)
	return k
}

func upstreamState(id string, born uint64, seq int, state string) string {
	return fmt.Sprintf(`{"service":"s","addr":"10.0.0.9:%d","zone":"a","version":"v1","slots":4,"state":%q,"seq":%d,"born":%d}`, 1+len(id), state, seq, born)
}

// beat sends a keeper a heartbeat, and returns the status of its response.
func (k *controlNodes) beat(keeper int, id string, born uint64, seq int, state string) int {
	return k.status(keeper, http.MethodPost, "/v1/replicas/"+id+"/heartbeat", upstreamState(id, born, seq, state))()
}

func (k *controlNodes) deregister(keeper int, body string) int {
	return k.status(keeper, http.MethodPost, "/v1/replicas/i-1/deregister", body)()
}

// uses reports whether a keeper tells entries to use the upstream.
func (k *controlNodes) uses(keeper int, id string) bool {
	c := k.nodes[keeper].Control
	c.mu.Lock()
	defer c.mu.Unlock()
	u, ok := c.registry.upstreams[id]
	return ok && u.usable()
}

// awaitMarker announces another upstream at a keeper, and waits until all keepers have it: they have
// heard then what that keeper has heard before.
func (k *controlNodes) awaitMarker(id string, keeper int) {
	g := gomega.NewWithT(k.t)
	g.Expect(k.beat(keeper, id, firstStart, 1, "ready")).To(gomega.Equal(http.StatusOK))
	for i := range k.nodes {
		g.Eventually(func() bool { return k.uses(i, id) }, 10*time.Second, 10*time.Millisecond).Should(gomega.BeTrue(), "keeper %d", i)
	}
}

// expectUnused checks that no keeper tells entries to use the upstream "i-1" after a late heartbeat
// of a start has come to each of them, and that a later start is used.
func (k *controlNodes) expectUnused(born, later uint64) {
	g := gomega.NewWithT(k.t)
	for i := range k.nodes {
		k.beat(i, "i-1", born, 10+i, "ready")
		k.awaitMarker(fmt.Sprint("marker-", i), i)
		for j := range k.nodes {
			g.Expect(k.uses(j, "i-1")).To(gomega.BeFalse(), "keeper %d after a heartbeat at keeper %d", j, i)
		}
	}
	k.beat(1, "i-1", later, 1, "ready")
	for i := range k.nodes {
		g.Eventually(func() bool { return k.uses(i, "i-1") }, 10*time.Second, 10*time.Millisecond).Should(gomega.BeTrue(), "a later start, keeper %d", i)
	}
}

// TestDepartureOfAnUnknownStartIsRecorded guards against an acknowledged deregistration that
// no keeper remembers: it names a start whose heartbeats come later, and say ready.
func TestDepartureOfAnUnknownStartIsRecorded(t *testing.T) {
	whole := upstreamState("i-1", secondStart, 3, "draining")
	for name, body := range map[string]string{"whole": whole, "start only": fmt.Sprintf(`{"born":%d}`, uint64(secondStart))} {
		t.Run(name, func(t *testing.T) {
			k := startDepartures(t)
			gomega.NewWithT(t).Expect(k.deregister(0, body)).To(gomega.Equal(http.StatusOK))
			k.expectUnused(secondStart, thirdStart)
		})
	}
	for name, body := range map[string]string{"no start named": "", "no start in a whole call": strings.Replace(whole, `"born"`, `"none"`, 1)} {
		t.Run(name, func(t *testing.T) {
			k := startDepartures(t)
			gomega.NewWithT(t).Expect(k.deregister(0, body)).To(gomega.Equal(http.StatusOK))
			k.expectUnused(secondStart, uint64(time.Now().Add(time.Minute).UnixMilli()))
		})
	}
	t.Run("at a keeper that is started again", func(t *testing.T) {
		k := startDepartures(t)
		gomega.NewWithT(t).Expect(k.deregister(0, whole)).To(gomega.Equal(http.StatusOK))
		k.nodes[0].stop()
		k.start(0, rollout.Limits{})
		k.expectUnused(secondStart, thirdStart)
	})
}

// TestDepartureThatOneKeeperRecordedIsNotAcknowledged guards against an acknowledgement that is
// lost with the keeper that gave it: the others were down.
func TestDepartureThatOneKeeperRecordedIsNotAcknowledged(t *testing.T) {
	for name, leave := range map[string]func(k *controlNodes) int{
		"deregistration":        func(k *controlNodes) int { return k.deregister(0, upstreamState("i-1", firstStart, 2, "ready")) },
		"heartbeat":             func(k *controlNodes) int { return k.beat(0, "i-1", firstStart, 2, "draining") },
		"of an earlier start":   func(k *controlNodes) int { return k.deregister(0, fmt.Sprintf(`{"born":%d}`, firstStart-1)) },
		"of an unknown start":   func(k *controlNodes) int { return k.deregister(0, fmt.Sprintf(`{"born":%d}`, firstStart+1)) },
		"without a named start": func(k *controlNodes) int { return k.deregister(0, "") },
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			k := startDepartures(t)
			k.nodes[1].stop()
			k.nodes[2].stop()
			g.Expect(leave(k)).To(gomega.Equal(http.StatusServiceUnavailable))
			k.start(1, rollout.Limits{})
			g.Eventually(func() int { return leave(k) }, 10*time.Second, 10*time.Millisecond).Should(gomega.Equal(http.StatusOK), "two of three keepers have it")
		})
	}
}

// TestDepartureOutlivesAllKeepers guards against an acknowledgement that is lost when all keepers
// lose their memory at once.
func TestDepartureOutlivesAllKeepers(t *testing.T) {
	g := gomega.NewWithT(t)
	k := startDepartures(t)
	g.Expect(k.deregister(0, upstreamState("i-1", secondStart, 3, "draining"))).To(gomega.Equal(http.StatusOK))
	for _, n := range k.nodes {
		size := func() int64 {
			info, err := os.Stat(filepath.Join(n.folder, departuresFile))
			if err != nil {
				return 0
			}
			return info.Size()
		}
		g.Eventually(size, 10*time.Second, 10*time.Millisecond).ShouldNot(gomega.BeZero())
	}
	for i := range k.nodes {
		k.nodes[i].stop()
	}
	for i := range k.nodes {
		k.start(i, rollout.Limits{})
		g.Expect(k.view(i).Members.Voters).To(gomega.HaveLen(len(k.nodes)), "from its disk, before it can tell a majority")
	}
	k.expectUnused(secondStart, thirdStart)
}

// TestStepsOfOneClockChangeNoTimeOfDay guards against a keeper whose clock has stepped ahead, and
// that takes a start that follows a departure for an earlier one.
func TestStepsOfOneClockChangeNoTimeOfDay(t *testing.T) {
	g := gomega.NewWithT(t)
	c, now, wall := newEntryClocks(), 100*time.Second, time.UnixMilli(secondStart)
	stepped := wall.Add(5 * time.Second)
	g.Expect(c.timeOfDay(now, stepped)).To(gomega.BeTemporally("==", stepped), "no other clock is known")
	for i := range 3 {
		c.observe(now, entryKey{fmt.Sprint(i), 1}, wall.Add(time.Duration(i)*time.Millisecond))
	}
	c.observe(now, entryKey{"without a clock", 1}, time.Time{})
	later := now + clockMaxAge
	g.Expect(c.timeOfDay(later, stepped.Add(clockMaxAge))).To(gomega.BeTemporally("==", wall.Add(clockMaxAge+2*time.Millisecond)))
	g.Expect(c.timeOfDay(later+1, stepped)).To(gomega.BeTemporally("==", stepped), "the entries are gone")
}

// TestUnknownServicesMoveNoUpstream guards against another writer's heartbeat that takes an
// upstream away from its service.
func TestUnknownServicesMoveNoUpstream(t *testing.T) {
	g := gomega.NewWithT(t)
	k := startDepartures(t)
	g.Eventually(k.status(0, http.MethodPost, "/v1/config/put", `{"version":1,"services":[{"name":"s"},{"name":"other"}]}`), 10*time.Second).Should(gomega.Equal(http.StatusOK))
	g.Eventually(func() uint64 { return k.view(0).Config.Number }, 10*time.Second).Should(gomega.BeEquivalentTo(1))
	beat := func(service string, seq int) int {
		state := strings.Replace(upstreamState("i-1", firstStart, seq, "ready"), `"service":"s"`, fmt.Sprintf(`"service":%q`, service), 1)
		return k.status(0, http.MethodPost, "/v1/replicas/i-1/heartbeat", state)()
	}
	for i, c := range []struct {
		service, serves string
		status          int
	}{{"elsewhere", "s", http.StatusBadRequest}, {"s", "s", http.StatusOK}, {"other", "other", http.StatusOK}} {
		g.Expect(beat(c.service, 10+i)).To(gomega.Equal(c.status), c.service)
		k.awaitMarker(fmt.Sprint("after-", c.service), 0)
		g.Expect(k.nodes[0].Control.registry.upstreams["i-1"].Services).To(gomega.Equal([]string{c.serves}))
	}
}
