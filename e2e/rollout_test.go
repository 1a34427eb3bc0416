package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

const (
	exposeShare = 0.1
	exposeSlack = 50
	// newRelease is the release that is ordered.
	newRelease = "v2"
	// loadInterval is the time between two requests of a load at one entry.
	loadInterval = 25 * time.Millisecond
	// workTime is how long a replica of a rollout takes for an answer, so that some are under
	// way at any time.
	workTime = 20 * time.Millisecond
	// longTime is how long each longEvery-th answer of a replica takes in the spec of a good
	// release. It is longer than a release has to stay healthy in its last step, so that
	// the old upstreams are still at work then.
	longTime  = 1500 * time.Millisecond
	longEvery = 40
	// shareLifetime is how long an entry without keepers uses the last share that it learned,
	// and receiptMargin the time of a request from an entry to a replica on a busy machine.
	shareLifetime = 3 * time.Second
	receiptMargin = 200 * time.Millisecond
)

// rolloutServices are the services of the specs, one for each.
var rolloutServices = []string{"good", "bad", "led", "cut"}

// rolloutConfig returns a configuration with a route for each service. No request is sent a
// second time once it ran, but those of cut.
func rolloutConfig() string {
	var routes, services []string
	for _, s := range rolloutServices {
		kind, attempts := "non_idempotent", 1
		if s == "cut" {
			kind, attempts = "idempotent", 2
		}
		routes = append(routes, fmt.Sprintf(`{"name":%q,"host":"mill.example","pathPrefix":"/%s/","kind":%q,"timeoutMs":2000,"sloMs":500,"priority":1,"service":%q,"attempts":%d,"public":true}`, s, s, kind, s, attempts))
		services = append(services, fmt.Sprintf(`{"name":%q,"healthPath":"/healthz","maxConns":90}`, s))
	}
	return fmt.Sprintf(`{"version":1,"routes":[%s],"services":[%s],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"mill","apiKeys":["key-m"]}]}`,
		strings.Join(routes, ","), strings.Join(services, ","))
}

// rolloutReplica notes when each request came.
type rolloutReplica struct {
	*replica
	mu   sync.Mutex
	came []time.Time
}

// startReplicas starts two upstreams of a release; every failEvery-th of its answers is a
// failure, none if it is 0.
func (d *platformDeployment) startReplicas(service, release string, failEvery int) []*rolloutReplica {
	ginkgo.GinkgoHelper()
	var list []*rolloutReplica
	for _, zone := range []string{"a", "b"} {
		r := &rolloutReplica{replica: newReplica(release, fmt.Sprintf("i-%s-%s-%s", service, release, zone), service, zone)}
		r.failure = func() int {
			r.mu.Lock()
			r.came = append(r.came, time.Now())
			n := len(r.came)
			r.mu.Unlock()
			if service == "good" && n%longEvery == 0 {
				<-time.After(longTime)
			} else {
				<-time.After(workTime)
			}
			if failEvery > 0 && n%failEvery == 0 {
				return http.StatusInternalServerError
			}
			return 0
		}
		// A keeper that is restarted has the same address.
		r.start(slices.Clone(d.keepers))
		list = append(list, r)
	}
	return list
}

// cameAfter counts the requests that came to the replicas after a moment.
func cameAfter(replicas []*rolloutReplica, t time.Time) (n int) {
	for _, r := range replicas {
		r.mu.Lock()
		for _, at := range r.came {
			if at.After(t) {
				n++
			}
		}
		r.mu.Unlock()
	}
	return n
}

// rolloutLoad is a steady load on a service at all entries.
type rolloutLoad struct {
	cancel  context.CancelFunc
	wait    sync.WaitGroup
	mu      sync.Mutex
	sent    []time.Time
	refused []string
}

func (d *platformDeployment) startLoad(service string) *rolloutLoad {
	ctx, cancel := context.WithCancel(context.Background())
	l := &rolloutLoad{cancel: cancel}
	ginkgo.DeferCleanup(l.stop)
	for entry := range d.callers {
		l.wait.Go(func() {
			ticker := time.NewTicker(loadInterval)
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
					l.wait.Go(func() { l.send(d, entry, service) })
				}
			}
		})
	}
	return l
}

func (l *rolloutLoad) send(d *platformDeployment, entry int, service string) {
	began := time.Now()
	status, body := d.sendRequest(entry, http.MethodPost, "/"+service+"/x", "", "x", "X-Deadline-Ms", "2000")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = append(l.sent, began)
	if status != http.StatusOK {
		l.refused = append(l.refused, fmt.Sprintf("%s entry %d: %d %.200s", began.Format("15:04:05.000"), entry, status, body))
	}
}

// stop ends the load after the last answer.
func (l *rolloutLoad) stop() {
	l.cancel()
	l.wait.Wait()
}

var rolloutClient = &http.Client{Timeout: 4 * time.Second}

// order sends an order to a keeper and returns the status of its reply, or 0.
func (d *platformDeployment) order(keeper int, service string, within time.Duration) int {
	body := fmt.Sprintf(`{"service":%q,"to":%q,"durationS":%d}`, service, newRelease, int(within.Seconds()))
	response, err := rolloutClient.Post(fmt.Sprintf("http://%s/v1/rollouts/start", d.keepers[keeper].Peers), "application/json", strings.NewReader(body))
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// acknowledged sends an order until a keeper acknowledges it, and returns the time just before
// the acknowledged one.
func (d *platformDeployment) acknowledged(service string, within time.Duration) time.Time {
	ginkgo.GinkgoHelper()
	var at time.Time
	keeper := 0
	gomega.Eventually(func() int {
		keeper++
		at = time.Now()
		return d.order(keeper%len(d.keepers), service, within)
	}, startLimit).Should(gomega.Equal(http.StatusOK))
	return at
}

// state returns the state of a rollout by the first keeper that tells it, "" if none does.
func (d *platformDeployment) state(service string) string {
	for _, k := range d.keepers {
		response, err := rolloutClient.Get(fmt.Sprintf("http://%s/v1/rollouts/%s/get", k.Peers, service))
		if err != nil {
			continue
		}
		var s struct{ State, To string }
		err = json.NewDecoder(response.Body).Decode(&s)
		_ = response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK {
			return s.State
		}
	}
	return ""
}

// awaitEnd waits until a rollout is over, which has to be before its deadline. It returns the
// state and when it was read.
func (d *platformDeployment) awaitEnd(service string, ordered time.Time, within time.Duration) (string, time.Time) {
	ginkgo.GinkgoHelper()
	state := ""
	gomega.Eventually(func() string {
		state = d.state(service)
		return state
	}, time.Until(ordered.Add(within)), 20*time.Millisecond).Should(gomega.BeElementOf("succeeded", "reverted"), "before the deadline")
	return state, time.Now()
}

// leader returns the number of the leading keeper.
func (d *platformDeployment) leader() int {
	ginkgo.GinkgoHelper()
	leads := func(k *process) bool {
		var dump keeperDump
		raw, err := k.operator().Dump(context.Background())
		return err == nil && json.Unmarshal(raw, &dump) == nil && dump.Plugins.Keeper.Role == "leader"
	}
	found := -1
	gomega.Eventually(func() int {
		found = slices.IndexFunc(d.keepers, leads)
		return found
	}, startLimit).Should(gomega.BeNumerically(">=", 0))
	return found
}

// beginRollout starts the upstreams of the first release, a load, and, once all is served, a
// rollout and the upstreams of the new release.
func (d *platformDeployment) beginRollout(service string, within time.Duration, failEvery int) (l *rolloutLoad, old, fresh []*rolloutReplica, ordered time.Time) {
	ginkgo.GinkgoHelper()
	old = d.startReplicas(service, firstRelease, 0)
	for i := range d.entries {
		gomega.Eventually(func() int {
			status, _ := d.sendRequest(i, http.MethodPost, "/"+service+"/x", "", "x")
			return status
		}, startLimit).Should(gomega.Equal(http.StatusOK))
	}
	l = d.startLoad(service)
	ordered = d.acknowledged(service, within)
	return l, old, d.startReplicas(service, newRelease, failEvery), ordered
}

// The specs guard against faults between the parts of rollouts, each of which has tests of its
// own: orders, steps, shares and reports go through separate processes here.
var _ = ginkgo.Describe("A rollout", ginkgo.Ordered, ginkgo.ContinueOnFailure, func() {
	d := &platformDeployment{}
	ginkgo.BeforeAll(func() {
		d.startEntries(3, fmt.Sprintf("exposeShare = %v\nexposeSlack = %d\nrevertWithin = 5s\n", exposeShare, exposeSlack))
		gomega.Eventually(func() int { return d.putConfig(1, rolloutConfig()) }, startLimit).Should(gomega.Equal(http.StatusOK))
		for i := range d.entries {
			gomega.Eventually(func() int { return d.readyStatus(i) }, startLimit).Should(gomega.Equal(http.StatusOK))
		}
	})

	// Guards against a success while an entry still sends requests to the old release, or some
	// are under way there.
	ginkgo.It("of a good release succeeds, and loses no request as the old upstreams stop at that moment", func() {
		const within = 8 * time.Second
		load, old, fresh, ordered := d.beginRollout("good", within, 0)
		state, ended := d.awaitEnd("good", ordered, within)
		for _, r := range old {
			r.end()
		}
		ginkgo.GinkgoWriter.Printf("%s after %v\n", state, ended.Sub(ordered))
		gomega.Expect(state).To(gomega.Equal("succeeded"))
		gomega.Eventually(func() int { return cameAfter(fresh, ended) }, within).Should(gomega.BeNumerically(">", 50))
		load.stop()
		gomega.Expect(load.refused).To(gomega.BeEmpty(), "of %d requests; succeeded at %s", len(load.sent), ended.Format("15:04:05.000"))
	})

	// Guards against a verdict that comes too late, and against an entry that doesn't learn of it
	// or doesn't follow it.
	ginkgo.It("of a release that fails half of its requests is reverted within its bounds", func() {
		const within = 6 * time.Second
		load, old, fresh, ordered := d.beginRollout("bad", within, 2)
		state, ended := d.awaitEnd("bad", ordered, within)
		ginkgo.GinkgoWriter.Printf("%s after %v\n", state, ended.Sub(ordered))
		gomega.Expect(state).To(gomega.Equal("reverted"))
		<-time.After(time.Second)
		// With no other upstreams left, only the revert keeps requests from those that fail.
		for _, r := range old {
			r.end()
		}
		alone := time.Now()
		<-time.After(time.Until(ordered.Add(within)))
		load.stop()
		exposed, requests := cameAfter(fresh, time.Time{}), 0
		for _, at := range load.sent {
			if at.After(ordered) && at.Before(alone) {
				requests++
			}
		}
		ginkgo.GinkgoWriter.Printf("%d of %d requests were exposed\n", exposed, requests)
		gomega.Expect(exposed).To(gomega.BeNumerically(">", 0))
		gomega.Expect(exposed).To(gomega.BeNumerically("<=", exposeShare*float64(requests)+exposeSlack), "of %d requests", requests)
		gomega.Expect(cameAfter(fresh, ended.Add(2*time.Second))).To(gomega.BeZero(), "requests two seconds after the revert")
	})

	// Guards against entries that go on with a share that may have been taken back meanwhile.
	ginkgo.It("gives its release no requests at entries that are cut off from the keepers", func() {
		const within = 20 * time.Second
		load, old, fresh, _ := d.beginRollout("cut", within, 0)
		gomega.Eventually(func() (float64, error) {
			status, err := d.keepers[0].operator().Rollout(context.Background(), "cut")
			return status.Share, err
		}, within/2).Should(gomega.BeNumerically(">=", 0.05))
		before := cameAfter(fresh, time.Time{})
		for _, k := range d.keepers {
			k.signal(syscall.SIGSTOP)
		}
		cutOff := time.Now()
		<-time.After(shareLifetime + 2*time.Second)
		late, during := cameAfter(fresh, cutOff.Add(shareLifetime+receiptMargin)), cameAfter(fresh, cutOff)
		for _, k := range d.keepers {
			k.signal(syscall.SIGCONT)
		}
		resumed := time.Now()
		ginkgo.GinkgoWriter.Printf("requests of the new release: %d before the cut, %d after it, %d of them too late; of the old one %d\n", before, during, late, cameAfter(old, cutOff))
		gomega.Expect(during).To(gomega.BeNumerically(">", 0), "while the share is still in force")
		gomega.Expect(late).To(gomega.BeZero())
		gomega.Eventually(func() int { return cameAfter(fresh, resumed) }, within).Should(gomega.BeNumerically(">", 0), "once the keepers confirm the share")
		load.stop()
		_, err := d.keepers[0].operator().RevertRollout(context.Background(), "cut")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(load.refused).To(gomega.BeEmpty(), "of %d requests", len(load.sent))
	})

	// Guards against an order that is carried out twice, or forgotten, as its leader changes. It is
	// the last spec, as the keeper that it restarts ends with it.
	ginkgo.It("that is ordered again each second is carried out once while the leading keeper is killed", func() {
		const within = 8 * time.Second
		load, _, _, ordered := d.beginRollout("led", within, 0)
		status, err := d.keepers[0].operator().Rollout(context.Background(), "led")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())

		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		replies := make(chan int, 100)
		addresses := slices.Clone(d.keepers)
		repeats := &platformDeployment{keepers: addresses}
		var wait sync.WaitGroup
		wait.Go(func() {
			ticker := time.NewTicker(time.Second)
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
					wait.Go(func() { replies <- repeats.order(n%len(addresses), "led", within) })
				}
			}
		})
		<-time.After(time.Until(ordered.Add(2 * time.Second)))
		leading := d.leader()
		d.keepers[leading].Kill().Wait(stopLimit)
		<-time.After(time.Second)
		d.keepers[leading] = d.keepers[leading].restart()

		state, ended := d.awaitEnd("led", ordered, within)
		ginkgo.GinkgoWriter.Printf("%s after %v\n", state, ended.Sub(ordered))
		gomega.Expect(state).To(gomega.Equal("succeeded"))
		gomega.Expect(d.order((leading+1)%len(d.keepers), "led", within)).To(gomega.Equal(http.StatusOK), "the same order after the end")
		cancel()
		wait.Wait()
		close(replies)
		counts := map[int]int{}
		for status := range replies {
			counts[status]++
		}
		ginkgo.GinkgoWriter.Println("replies to repeated orders, by status:", counts)
		for status := range counts {
			gomega.Expect(status).To(gomega.Or(gomega.Equal(http.StatusOK), gomega.BeZero(), gomega.BeNumerically(">=", http.StatusInternalServerError)))
		}
		for _, k := range d.keepers {
			last, err := k.operator().Rollout(context.Background(), "led")
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(last.Number).To(gomega.Equal(status.Number), k.Instance)
			gomega.Expect(last.Phase).To(gomega.Equal("succeeded"), k.Instance)
		}
		load.stop()
		gomega.Expect(load.refused).To(gomega.BeEmpty(), "of %d requests", len(load.sent))
	})
})
