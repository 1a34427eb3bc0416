package e2e

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/hyssopladder/hyssopladder/examples"
	"github.com/hyssopladder/hyssopladder/operator"
)

// otherBinaryVariable names the environment variable with the path of a binary of
// another version. Without it the specs of this file are skipped.
const otherBinaryVariable = "HYSSOPLADDER_OTHER"

// otherBinary returns the path of the binary of another version.
func otherBinary() string {
	ginkgo.GinkgoHelper()
	path := os.Getenv(otherBinaryVariable)
	if path == "" {
		ginkgo.Skip("set " + otherBinaryVariable + " to the path of a binary of another version")
	}
	return path
}

// mixVersions has the platform's nodes run either of two versions from now on, at random, if
// there is another one: they are replaced and go back in any order.
func (d *platformDeployment) mixVersions(random *rand.Rand) {
	other := os.Getenv(otherBinaryVariable)
	if other == "" {
		return
	}
	d.programs = []string{binary, other}
	useBinary(d.program(random))
}

// program returns the binary of the next node, "" for the one that is tested.
func (d *platformDeployment) program(random *rand.Rand) string {
	if len(d.programs) == 0 {
		return ""
	}
	return d.programs[random.IntN(len(d.programs))]
}

// useBinary sets the binary of the processes that are started next, until the end
// of the spec.
func useBinary(path string) {
	before := binary
	ginkgo.DeferCleanup(func() { binary = before })
	binary = path
}

// runTool runs a command of a binary and returns its output.
func runTool(program string, args ...string) string {
	ginkgo.GinkgoHelper()
	s, err := gexec.Start(exec.Command(program, args...), ginkgo.GinkgoWriter, ginkgo.GinkgoWriter)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Eventually(s, startLimit).Should(gexec.Exit(0))
	return string(s.Out.Contents())
}

// dumpPaths returns the sorted paths of all JSON names in the dumps of the nodes;
// the elements of a list share one path.
func dumpPaths(nodes []*process) []string {
	ginkgo.GinkgoHelper()
	seen := map[string]bool{}
	var walk func(path string, v any)
	walk = func(path string, v any) {
		switch v := v.(type) {
		case map[string]any:
			for name, inner := range v {
				seen[path+"."+name] = true
				walk(path+"."+name, inner)
			}
		case []any:
			for _, inner := range v {
				walk(path+"[]", inner)
			}
		}
	}
	for _, n := range nodes {
		raw, err := n.operator().Dump(context.Background())
		gomega.Expect(err).NotTo(gomega.HaveOccurred(), n.Instance)
		var v any
		gomega.Expect(json.Unmarshal(raw, &v)).To(gomega.Succeed())
		walk("", v)
	}
	paths := make([]string, 0, len(seen))
	for p := range seen {
		paths = append(paths, p)
	}
	slices.Sort(paths)
	return paths
}

// stop ends a process gracefully.
func (p *process) stop() {
	ginkgo.GinkgoHelper()
	p.signal(syscall.SIGTERM)
	gomega.Eventually(p.Exited, stopLimit).Should(gomega.BeClosed())
	gomega.Expect(p.ExitCode()).To(gomega.Equal(0))
}

// versionOrder is one of the two orders of an update: the first version is replaced by the
// second.
type versionOrder struct {
	name     string
	versions [2]string
}

// versionOrders begins with the update to this version.
func versionOrders(other string) []versionOrder {
	return []versionOrder{{"from the other version to this", [2]string{other, binary}}, {"from this version to the other", [2]string{binary, other}}}
}

// addedNames are those of dumps, beside metrics, that this version has added.
var addedNames = []string{".plugins.gossip.nodes[].version", ".plugins.gossip.nodes[].formats"}

// knownNames are the names that dumps of both versions have: all names of the dumps before
// an update but metrics and added names that the other version lacks.
type knownNames struct{ other map[string]bool }

// of returns the names that are to be found after an update to the version: those among before,
// and the added ones if it is this version. The first call is with those of the other version.
func (k *knownNames) of(before []string, version string) []string {
	mayLack := func(path string) bool {
		return strings.HasPrefix(path, ".metrics.") || slices.Contains(addedNames, path)
	}
	if k.other == nil {
		k.other = map[string]bool{}
		for _, path := range before {
			if mayLack(path) {
				k.other[path] = true
			}
		}
	}
	known := slices.DeleteFunc(slices.Clone(before), func(path string) bool { return mayLack(path) && !k.other[path] })
	if version != otherBinary() {
		known = append(known, slices.DeleteFunc(slices.Clone(addedNames), func(path string) bool { return slices.Contains(known, path) })...)
	}
	return known
}

var loggedRequest = regexp.MustCompile(`request="(r\d+)"`)

// loggedRequests returns the IDs of the requests that the logs name, in the order in which they were
// sent. A process that serves many requests leaves out the lines of some.
func loggedRequests(paths []string) []string {
	ginkgo.GinkgoHelper()
	var ids []string
	for _, path := range paths {
		text, err := os.ReadFile(path)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		for _, m := range loggedRequest.FindAllStringSubmatch(string(text), -1) {
			ids = append(ids, m[1])
		}
	}
	slices.SortFunc(ids, func(x, y string) int { return cmp.Or(len(x)-len(y), strings.Compare(x, y)) })
	return slices.Compact(ids)
}

var _ = ginkgo.Describe("Two versions", func() {
	ginkgo.It("serve services together, and each works with the other's data and settings", func() {
		var known knownNames
		for _, order := range versionOrders(otherBinary()) {
			name, versions := order.name, order.versions
			ginkgo.By(name)
			useBinary(versions[0])
			nodes := startTwoZones()
			startEngines(nodes, []string{"a", "b", "b"}, "--decode", "2ms")
			bookings := startBookingServices(nodes)
			first := map[string]reply{}
			bookFirst := func(key string, n *process) {
				ginkgo.GinkgoHelper()
				r := sendBooking(n, "sitters", key, "the booking "+key)
				gomega.Expect(r.status).To(gomega.Equal(http.StatusOK), "%s", r.body)
				first[key] = r
			}
			// expectReplayed sends each keyed booking again through a node and
			// expects its first answer.
			expectReplayed := func(n *process) {
				ginkgo.GinkgoHelper()
				for key, original := range first {
					var r reply
					gomega.Eventually(func() string {
						r = sendBooking(n, "sitters", key, "the booking "+key)
						return r.header.Get("X-Replayed")
					}, startLimit).Should(gomega.Equal("true"), "%s at %s", key, n.Instance)
					gomega.Expect(r.status).To(gomega.Equal(http.StatusOK))
					gomega.Expect(r.body).To(gomega.Equal(original.body))
				}
			}
			revision := uint64(0)
			applyChange := func(n *process, change string) {
				ginkgo.GinkgoHelper()
				var s operator.StoredDocument
				gomega.Eventually(func() (err error) {
					s, err = n.operator().Apply(context.Background(), operator.DocumentWrite{Name: "booking", INI: examples.Booking, ChangeID: change, IfMatch: "*"})
					return err
				}, startLimit).Should(gomega.Succeed())
				gomega.Expect(s.Revision).To(gomega.BeNumerically(">", revision))
				revision = s.Revision
				for _, m := range nodes {
					gomega.Eventually(func() (uint64, error) {
						stored, err := m.operator().Get(context.Background(), "booking")
						return stored.Revision, err
					}, startLimit).Should(gomega.Equal(revision), m.Instance)
				}
			}
			bookFirst("before", nodes[0])
			before := dumpPaths(nodes)

			b := startBalancer(nodes)
			load := startLoad(8, 20, b.pick)
			load.waitForAnswers(8)
			for i, n := range nodes {
				n.stop()
				useBinary(versions[1])
				nodes[i] = n.restart()
				waitForReady(nodes[i])
				b.replace(i, nodes[i])
				load.waitForAnswers(8)
				expectReplayed(nodes[i])
				other := nodes[(i+1)%len(nodes)]
				expectReplayed(other)
				bookFirst(fmt.Sprint("by the new ", i), nodes[i])
				bookFirst(fmt.Sprint("by its neighbour ", i), other)
				expectReplayed(other)
				applyChange(nodes[i], fmt.Sprint("by the new ", i))
				applyChange(other, fmt.Sprint("by its neighbour ", i))
				load.waitForEachWorker(1)
			}
			load.stopAndCheck()

			gomega.Eventually(func() []string { return dumpPaths(nodes) }, startLimit).Should(gomega.ContainElements(known.of(before, versions[1])))
			for _, n := range nodes {
				gomega.Expect(runTool(versions[0], "status", "--node", n.Peers.String())).To(gomega.ContainSubstring("booking"))
				// The free slots still change for a moment after the load, between
				// the two reads.
				gomega.Eventually(func(g gomega.Gomega) {
					lines := runTool(versions[0], "status", "--node", n.Peers.String())
					g.Expect(lines).To(gomega.Equal(runTool(versions[1], "status", "--node", n.Peers.String())))
				}, startLimit).Should(gomega.Succeed())
				gomega.Expect(runTool(versions[0], "dump", "--node", n.Peers.String())).To(gomega.ContainSubstring(`"plugins"`))
			}

			ginkgo.By("restarting all nodes with the first version at once, on the data of the second")
			for _, n := range nodes {
				n.signal(syscall.SIGKILL)
				gomega.Eventually(n.Exited, stopLimit).Should(gomega.BeClosed())
			}
			useBinary(versions[0])
			for i, n := range nodes {
				nodes[i] = n.restart()
			}
			waitForUpstreams(nodes, "booking", len(bookings))
			for _, n := range nodes {
				expectReplayed(n)
			}
			applyChange(nodes[1], "after the restart")
			runs := runCounts(bookings...)
			for key := range first {
				gomega.Expect(runs).To(gomega.HaveKeyWithValue("POST /bookings the booking "+key, 1))
			}
			for _, n := range nodes {
				n.stop()
			}
		}
	})

	ginkgo.It("serve a platform together, and each works with the other's configuration", func() {
		var known knownNames
		for _, order := range versionOrders(otherBinary()) {
			name, versions := order.name, order.versions
			ginkgo.By(name)
			useBinary(versions[0])
			d := startPlatform()
			version := 3
			gomega.Eventually(func() int { return d.putConfig(1, platformConfig(version, 100000, "key-m", "key-v3")) }, startLimit).Should(gomega.Equal(http.StatusOK))
			for _, zone := range []string{"a", "b"} {
				startReplica("i-s-"+zone, "speech", zone, d.keepers)
				startReplica("i-b-"+zone, "booking", zone, d.keepers)
			}
			waitUntilServed := func(entry int) {
				ginkgo.GinkgoHelper()
				gomega.Eventually(func() int { return d.readyStatus(entry) }, startLimit).Should(gomega.Equal(http.StatusOK))
				for _, path := range []string{"/ask/any", "/book/any"} {
					gomega.Eventually(func() int {
						status, _ := d.sendRequest(entry, "POST", path, fmt.Sprint("key-v", version), "x")
						return status
					}, startLimit).Should(gomega.Equal(http.StatusOK), "%s at entry %d", path, entry)
				}
			}
			for i := range d.entries {
				waitUntilServed(i)
			}

			// Callers send to the entries that aren't being replaced.
			var wait sync.WaitGroup
			var stopping atomic.Bool
			var replaced, answered atomic.Int64
			replaced.Store(-1)
			failures := make(chan string, 1024)
			for w := range 4 {
				wait.Go(func() {
					for i := w; !stopping.Load(); i++ {
						entry := i % len(d.callers)
						if int64(entry) == replaced.Load() {
							entry = (entry + 1) % len(d.callers)
						}
						path, want := "/book/x", "POST /book/x x by "
						if i%2 == 0 {
							path, want = "/ask/x", wholeStream()
						}
						status, body := d.sendRequest(entry, "POST", path, "key-m", "x")
						if status != http.StatusOK || !strings.HasPrefix(body, want) {
							failures <- fmt.Sprintf("%s at entry %d: %d %s", path, entry, status, body)
							return
						}
						answered.Add(1)
					}
				})
			}
			waitForAnswers := func(n int64) {
				ginkgo.GinkgoHelper()
				want := answered.Load() + n
				gomega.Eventually(func() bool { return answered.Load() >= want || len(failures) > 0 }, startLimit).Should(gomega.BeTrue())
				gomega.Expect(failures).To(gomega.BeEmpty())
			}
			// putNextConfig sends the next configuration to a keeper and expects that
			// all keepers store it and it comes into force at all entries.
			putNextConfig := func(keeper int) {
				ginkgo.GinkgoHelper()
				version++
				config := platformConfig(version, 100000, "key-m", fmt.Sprint("key-v", version))
				gomega.Eventually(func() int { return d.putConfig(keeper, config) }, startLimit).Should(gomega.Equal(http.StatusOK))
				for k := range d.keepers {
					gomega.Eventually(func() string {
						return string(sendRequest(http.MethodGet, fmt.Sprintf("http://%s/v1/config/get", d.keepers[k].Peers), "", nil).body)
					}, startLimit).Should(gomega.Equal(config), "keeper %d", k)
				}
				for i := range d.entries {
					waitUntilServed(i)
					gomega.Eventually(func() int {
						status, _ := d.sendRequest(i, "POST", "/book/any", fmt.Sprint("key-v", version-1), "x")
						return status
					}, 5*time.Second).Should(gomega.Equal(http.StatusUnauthorized), "entry %d", i)
				}
			}
			waitForAnswers(8)

			var logs []string
			saveLog := func(p *process, name string) {
				ginkgo.GinkgoHelper()
				path := filepath.Join(ginkgo.GinkgoT().TempDir(), name+".log")
				gomega.Expect(os.WriteFile(path, p.Out.Contents(), 0o600)).To(gomega.Succeed())
				logs = append(logs, path)
			}
			before := dumpPaths(d.keepers)
			replace := func(list []*process, i int, name string) {
				ginkgo.GinkgoHelper()
				list[i].stop()
				saveLog(list[i], fmt.Sprintf("%s-%d-before", name, i))
				useBinary(versions[1])
				list[i] = list[i].restart()
			}
			for i := range d.keepers {
				replace(d.keepers, i, "keeper")
				putNextConfig(i)
				putNextConfig((i + 1) % len(d.keepers))
				waitForAnswers(8)
				if i < len(d.entries) {
					replaced.Store(int64(i))
					replace(d.entries, i, "entry")
					waitUntilServed(i)
					replaced.Store(-1)
					putNextConfig(i)
					waitForAnswers(8)
				}
			}
			stopping.Store(true)
			wait.Wait()
			gomega.Expect(failures).To(gomega.BeEmpty())
			gomega.Eventually(func() []string { return dumpPaths(d.keepers) }, startLimit).Should(gomega.ContainElements(known.of(before, versions[1])))

			ginkgo.By("explaining requests from the logs of both versions")
			for i := range d.entries {
				saveLog(d.entries[i], fmt.Sprintf("entry-%d-after", i))
			}
			logged := loggedRequests(logs)
			gomega.Expect(logged).NotTo(gomega.BeEmpty())
			last := len(logged) - 1
			for _, i := range []int{0, last / 4, last / 2, 3 * last / 4, last} {
				explained := runTool(versions[0], append([]string{"explain", logged[i]}, logs...)...)
				gomega.Expect(explained).NotTo(gomega.BeEmpty(), logged[i])
				gomega.Expect(explained).To(gomega.Equal(runTool(versions[1], append([]string{"explain", logged[i]}, logs...)...)))
			}

			ginkgo.By("restarting all keepers with the first version at once, on the data of the second")
			for _, k := range d.keepers {
				k.signal(syscall.SIGKILL)
				gomega.Eventually(k.Exited, stopLimit).Should(gomega.BeClosed())
			}
			useBinary(versions[0])
			for i, k := range d.keepers {
				d.keepers[i] = k.restart()
			}
			for i := range d.entries {
				waitUntilServed(i)
			}
			putNextConfig(2)
			for _, p := range append(append([]*process{}, d.entries...), d.keepers...) {
				p.stop()
			}
		}
	})
})
