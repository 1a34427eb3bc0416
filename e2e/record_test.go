package e2e

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"io"
	"log"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/hyssopladder/hyssopladder/config"
	"github.com/hyssopladder/hyssopladder/peer/rpc"
)

// recordVariable names the environment variable with the folder into which the other
// version's messages and files are recorded.
const recordVariable = "HYSSOPLADDER_RECORD"

// maxRecordedBytes bounds one recorded message.
const maxRecordedBytes = 4 << 10

// recorder keeps the messages that pass through its proxies, by name.
type recorder struct {
	mu       sync.Mutex
	messages map[string][][]byte
	// announcement is the newest of an upstream.
	announcement atomic.Pointer[[]byte]
}

// peerPath begins the paths of calls between nodes.
const peerPath = "/twirp/hyssopladder.peer.Peer/"

// startProxy returns the address of a proxy to the address.
func (r *recorder) startProxy(to netip.AddrPort) netip.AddrPort {
	ginkgo.GinkgoHelper()
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: to.String()})
	proxy.Transport, proxy.ErrorLog = r, log.New(ginkgo.GinkgoWriter, "", 0)
	address := freeAddress()
	listener, err := net.Listen("tcp", address.String())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	server := &http.Server{Handler: proxy}
	go func() { _ = server.Serve(listener) }()
	ginkgo.DeferCleanup(server.Close)
	return address
}

// RoundTrip implements http.RoundTripper.
func (r *recorder) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.Body == nil {
		return http.DefaultTransport.RoundTrip(request)
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, err
	}
	request.Body = io.NopCloser(bytes.NewReader(body))
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	reply, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	response.Body = io.NopCloser(bytes.NewReader(reply))
	if method, ok := strings.CutPrefix(request.URL.Path, peerPath); ok && err == nil && response.StatusCode == http.StatusOK {
		r.add(strings.ToLower(method)+".request", body)
		r.add(strings.ToLower(method)+".reply", reply)
	}
	if request.URL.Path == "/upstream/announce" {
		r.announcement.Store(&body)
	}
	return response, err
}

func (r *recorder) add(name string, frame []byte) {
	var f rpc.Frame
	if len(frame) > maxRecordedBytes || proto.Unmarshal(frame, &f) != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.messages[name] = append(r.messages[name], f.GetBody())
}

func (r *recorder) count(name string) func() int {
	return func() int {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.messages[name])
	}
}

// save writes to a file, for each name, the shortest messages that together have all fields
// and kinds that were recorded.
func (r *recorder) save(path string) {
	ginkgo.GinkgoHelper()
	r.mu.Lock()
	defer r.mu.Unlock()
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(r.messages)) {
		messages, seen := r.messages[name], map[string]bool{}
		slices.SortStableFunc(messages, func(a, b []byte) int { return len(a) - len(b) })
		for _, m := range messages {
			before := len(seen)
			if fieldsOf(m, seen); len(seen) > before {
				fmt.Fprintf(&text, "%s %s\n", name, base64.StdEncoding.EncodeToString(m))
			}
		}
	}
	gomega.Expect(os.WriteFile(path, []byte(text.String()), 0o600)).To(gomega.Succeed())
}

// fieldsOf adds the paths of an encoding's fields, with the values of those that name a kind.
func fieldsOf(data []byte, seen map[string]bool) {
	var v any
	if cbor.Unmarshal(data, &v) != nil {
		return
	}
	var walk func(path string, v any)
	walk = func(path string, v any) {
		switch v := v.(type) {
		case map[any]any:
			for name, inner := range v {
				field := fmt.Sprint(path, ".", name)
				if name == "k" {
					field = fmt.Sprint(field, "=", inner)
				}
				seen[field] = true
				walk(field, inner)
			}
		case []any:
			for _, inner := range v {
				walk(path+"[]", inner)
			}
		}
	}
	walk("", v)
}

// copyFiles copies files of a folder.
func copyFiles(from, to string, names ...string) {
	ginkgo.GinkgoHelper()
	for _, name := range names {
		data, err := os.ReadFile(filepath.Join(from, name))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(os.WriteFile(filepath.Join(to, name), data, 0o600)).To(gomega.Succeed())
	}
}

// putPadded puts a configuration that is older than the newest and too long for a small log.
func (d *platformDeployment) putPadded(seed uint64) int {
	random := rand.NewChaCha8([32]byte{byte(seed)})
	padding := make([]byte, config.MaxDocumentBytes/2)
	_, _ = random.Read(padding)
	text := strings.TrimSuffix(platformConfig(1, 2, "key-m"), "}")
	return d.putConfig(0, fmt.Sprintf("%s,\"padding\":%q}", text, base64.StdEncoding.EncodeToString(padding)))
}

// sendToTunnel returns what an entry answers to a request for a tunnel and through it.
func sendToTunnel(helper, upstream netip.AddrPort) []byte {
	ginkgo.GinkgoHelper()
	c, err := net.Dial("tcp", helper.String())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = c.Close() }()
	gomega.Expect(c.SetDeadline(time.Now().Add(2 * time.Second))).To(gomega.Succeed())
	_, err = fmt.Fprintf(c, "POST /tunnel HTTP/1.1\r\nHost: a\r\nHyssopladder-Upstream: %s\r\nContent-Length: 0\r\n\r\n", upstream)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	head := make([]byte, 4<<10)
	n, _ := c.Read(head)
	_, _ = io.WriteString(c, "GET /ask/x HTTP/1.0\r\n\r\n")
	rest, _ := io.ReadAll(c)
	return append(head[:n], rest...)
}

var _ = ginkgo.Describe("Two versions", func() {
	ginkgo.It("are recorded: the other's messages and files", func() {
		folder := os.Getenv(recordVariable)
		if folder == "" {
			ginkgo.Skip("set " + recordVariable + " to the folder for the records")
		}
		useBinary(otherBinary())
		for _, name := range []string{"keeper", "settings", "tunnel"} {
			gomega.Expect(os.MkdirAll(filepath.Join(folder, name), 0o700)).To(gomega.Succeed())
		}
		r := &recorder{messages: map[string][][]byte{}}
		var reported atomic.Int64
		cloud := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { reported.Add(1) }))
		ginkgo.DeferCleanup(cloud.Close)

		d := &platformDeployment{}
		var peers, seeds []netip.AddrPort
		for range 3 {
			peers = append(peers, freeAddress())
			seeds = append(seeds, r.startProxy(peers[len(peers)-1]))
		}
		for i := range peers {
			d.keepers = append(d.keepers, startNode(nodeOptions{
				name: fmt.Sprintf("keeper-%d", i), zone: string(rune('a' + i)), roles: "keeper, control", peers: peers[i], advertise: seeds[i], seeds: seeds,
				dataFolder: ginkgo.GinkgoT().TempDir(),
				extra: "[keeper]\nbootstrap = true\nfoundBySeeds = true\nreplaceAfter = 1s\nquotaSlack = 2\n[cloud]\naddress = " + cloud.Listener.Addr().String() +
					"\nusageWindow = 1s\nusageWithin = 2s\nholderLease = 1s\nduties = metering\n",
			}))
		}
		for i := range 2 {
			callers, ready := freeAddress(), freeAddress()
			d.callers, d.ready = append(d.callers, callers), append(d.ready, ready)
			d.entries = append(d.entries, startNode(nodeOptions{
				name: fmt.Sprintf("entry-%d", i), zone: string(rune('a' + i)), roles: "ingress", seeds: seeds,
				extra: fmt.Sprintf("[ingress]\nlisten = %s\nready = %s\nusageWindow = 1s\n", callers, ready),
			}))
		}
		plain := startNode(nodeOptions{name: "plain", zone: "a", roles: "entry", seeds: seeds, dataFolder: ""})
		for _, p := range slices.Concat(d.keepers, d.entries, []*process{plain}) {
			o := p.options
			if o.dataFolder != "" {
				o.dataFolder = "data"
			}
			gomega.Expect(os.WriteFile(filepath.Join(folder, "settings", o.name+".ini"), []byte(o.settings()), 0o600)).To(gomega.Succeed())
		}

		ginkgo.By("documents, claims, configurations")
		gomega.Eventually(func() int { return d.putConfig(1, platformConfig(3, 2, "key-m")) }, startLimit).Should(gomega.Equal(http.StatusOK))
		applyExamples(plain)
		proxied := *plain
		proxied.Peers = r.startProxy(plain.Peers)
		startBookingServices([]*process{&proxied})
		gomega.Eventually(func() int { return sendBooking(plain, "sitters", "k1", "first").status }, startLimit).Should(gomega.Equal(http.StatusOK))

		ginkgo.By("streams, quotas, limits, crashes, usage")
		replicas := []*replica{}
		for i := range 3 {
			s := startReplica(fmt.Sprint("i-s-", i), "speech", string(rune('a'+i%2)), d.keepers)
			s.crashPart = "bad"
			s.limit.Store(500)
			replicas = append(replicas, s)
		}
		for i := range d.entries {
			gomega.Eventually(func() int { return d.readyStatus(i) }, startLimit).Should(gomega.Equal(http.StatusOK))
			gomega.Eventually(func() int { s, _ := d.sendRequest(i, "POST", "/ask/any", "key-m", "x"); return s }, startLimit).Should(gomega.Equal(http.StatusOK))
		}
		gomega.Eventually(func() int {
			for i := range d.entries {
				d.sendRequest(i, "POST", "/ask/any", "key-o", "x")
			}
			return r.count("reserve.reply")()
		}, startLimit).Should(gomega.BeNumerically(">", 2))
		last := fmt.Sprint("r", requestNumber.Load()+1)
		d.sendRequest(0, "POST", "/ask/any", "key-m", "x")
		gomega.Eventually(r.count("origins.reply"), startLimit).Should(gomega.BeNumerically(">", 0))
		d.resume(1, brokenStream{id: last, lastEvent: 3})
		d.resume(1, brokenStream{id: "nobody", lastEvent: 2})
		address := netip.MustParseAddrPort(replicas[2].server.Listener.Addr().String())
		for name, upstream := range map[string]netip.AddrPort{"reached": address, "unknown": netip.MustParseAddrPort("127.0.0.1:1")} {
			if answer := sendToTunnel(d.entries[1].Peers, upstream); !bytes.HasPrefix(answer, []byte("HTTP/1.1 404")) {
				gomega.Expect(os.WriteFile(filepath.Join(folder, "tunnel", name), answer, 0o600)).To(gomega.Succeed())
			}
		}
		d.sendRequest(0, "POST", "/ask/any", "key-m", "x", "X-Prompt-Prefix", "bad:10")
		reports := r.count("account.request")()
		gomega.Eventually(r.count("account.request"), startLimit).Should(gomega.BeNumerically(">", reports+10))
		gomega.Eventually(reported.Load, startLimit).Should(gomega.BeNumerically(">", 0))

		ginkgo.By("data folder without and with a snapshot")
		stopped := d.keepers[2]
		gomega.Eventually(func() ([]byte, error) { return os.ReadFile(filepath.Join(stopped.options.dataFolder, "log")) }, startLimit).Should(
			gomega.ContainSubstring("\xa1ac\xa1aa\xa1ab"), "a command that advances the claims' time")
		stopped.stop()
		copyFiles(stopped.options.dataFolder, filepath.Join(folder, "keeper"), "identity", "log")
		gomega.Eventually(func() bool {
			// An entry doesn't tell all keepers.
			return slices.ContainsFunc(d.keepers, func(k *process) bool {
				data, err := os.ReadFile(filepath.Join(k.options.dataFolder, "origins"))
				return err == nil && len(data) > 0 && os.WriteFile(filepath.Join(folder, "keeper", "origins"), data, 0o600) == nil
			})
		}, startLimit).Should(gomega.BeTrue())
		compacted := func(p *process) func() bool {
			return func() bool { return bytes.Contains(p.Out.Contents(), []byte(`"log compacted"`)) }
		}
		for seed := uint64(0); !compacted(d.keepers[0])() || !compacted(d.keepers[1])(); seed++ {
			gomega.Expect(seed).To(gomega.BeNumerically("<", 6))
			gomega.Eventually(func() int { return d.putPadded(seed) }, startLimit).Should(gomega.Equal(http.StatusOK))
		}
		copyFiles(d.keepers[0].options.dataFolder, filepath.Join(folder, "keeper"), "snapshot")
		d.keepers[2] = stopped.restart()
		newest := platformConfig(4, 2, "key-m")
		gomega.Eventually(func() int { return d.putConfig(2, newest) }, startLimit).Should(gomega.Equal(http.StatusOK))
		gomega.Eventually(func() string {
			return string(sendRequest(http.MethodGet, fmt.Sprintf("http://%s/v1/config/get", d.keepers[2].Peers), "", nil).body)
		}, startLimit).Should(gomega.Equal(newest))
		for _, k := range d.keepers[:2] {
			k.signal(syscall.SIGTERM)
		}
		for _, k := range d.keepers[:2] {
			gomega.Eventually(k.Exited, stopLimit).Should(gomega.BeClosed())
		}
		r.save(filepath.Join(folder, "messages"))
		gomega.Expect(os.WriteFile(filepath.Join(folder, "announcement.json"), *r.announcement.Load(), 0o600)).To(gomega.Succeed())
	})
})
