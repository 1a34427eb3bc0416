package e2e

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// CI runs the orders with orderSeeds, to which each seed that failed is added;
// HYSSOPLADDER_SOAK=N runs N more seeds.
var orderSeeds = []uint64{1}

const (
	orderDuration = 4 * time.Second
	orderCallers  = 8
	// triesPerOrder is how often a caller sends an order that was refused.
	triesPerOrder = 4
	// maxRetryWait bounds how long a caller waits before it sends an order again.
	maxRetryWait = 500 * time.Millisecond
)

// unreliableDesk is an upstream that confirms orders, but loses, repeats, cuts off
// and delays answers. It counts how often each order ran.
type unreliableDesk struct {
	id       string
	listener net.Listener

	mu   sync.Mutex
	runs map[string]int
}

func startDesk(id, zone string, seed uint64, keepers []*process) *unreliableDesk {
	ginkgo.GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	d := &unreliableDesk{id: id, listener: l, runs: map[string]int{}}
	ginkgo.DeferCleanup(l.Close)
	go func() {
		for n := uint64(0); ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.serve(c.(*net.TCPConn), rand.New(rand.NewPCG(seed, n)))
		}
	}()
	announce(id, firstRelease, "booking", zone, l.Addr(), keepers, &atomic.Bool{})
	return d
}

func (d *unreliableDesk) serve(c *net.TCPConn, random *rand.Rand) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	lateCopy := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		requestID := r.Header.Get("X-Request-Id")
		head := fmt.Sprintf("X-Request-Id: %s\r\nX-Replica-Seal: seal-%s\r\n", requestID, d.id)
		refusal := "HTTP/1.1 503 Full\r\n" + head + "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
		text := fmt.Sprintf("order %s confirmed to %s", body, requestID)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(text), text)
		if r.Header.Get("X-Expect-Replica") != d.id || random.IntN(8) == 0 {
			_, _ = io.WriteString(c, lateCopy+refusal)
			lateCopy = ""
			continue
		}
		d.mu.Lock()
		d.runs[string(body)]++
		d.mu.Unlock()
		send := func(text string) { _, _ = io.WriteString(c, lateCopy+text); lateCopy = "" }
		switch random.IntN(14) {
		case 0:
			return
		case 1:
			_ = c.SetLinger(0)
			return
		case 2:
			send(answer[:random.IntN(len(answer)-1)+1])
			return
		case 3:
			send(answer[:random.IntN(len(answer)-1)+1])
			_ = c.SetLinger(0)
			return
		case 4:
			send(answer + answer)
		case 5:
			send(answer)
			lateCopy = answer
		case 6:
			send("HTTP/1.1 500 Broken\r\n" + head + "Content-Length: 0\r\n\r\n")
		default:
			send(answer)
		}
	}
}

// order is one order of a caller and what the caller was told of it.
type order struct {
	id string
	// confirmed says that an answer confirmed it, refused that the last answer
	// promised that it hadn't run; otherwise the outcome is unknown.
	confirmed, refused bool
	told               string
}

// placeOrder sends an order on the caller's connection. After a promise that it
// hasn't run it sends the order again, as another request on a new connection.
// random decides where the caller breaks its connection off.
func placeOrder(d *platformDeployment, client *http.Client, id string, random *rand.Rand) order {
	o := order{id: id}
	for try := range triesPerOrder {
		o.refused = false
		requestID := fmt.Sprintf("%s-try-%d", id, try)
		if random.IntN(10) == 0 {
			// The caller sends the order and resets its connection unread.
			if c, err := net.Dial("tcp", d.callers[random.IntN(len(d.callers))].String()); err == nil {
				_, _ = fmt.Fprintf(c, "POST /book/%s HTTP/1.1\r\nHost: mill.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2000\r\nAuthorization: Token key-m\r\nContent-Length: %d\r\n\r\n%s", id, requestID, len(id), id)
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}
			o.told = "nothing: the caller reset its connection"
			return o
		}
		r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/book/%s", d.callers[random.IntN(len(d.callers))], id), strings.NewReader(id))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		// Without GetBody net/http sends nothing again by itself.
		r.GetBody = nil
		r.Host = "mill.example"
		r.Header.Set("X-Request-Id", requestID)
		r.Header.Set("X-Deadline-Ms", "2000")
		r.Header.Set("Authorization", "Token key-m")
		response, err := client.Do(r)
		if err != nil {
			o.told = err.Error()
			return o
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		o.told = fmt.Sprintf("%d %s %v", response.StatusCode, body, err)
		switch response.StatusCode {
		case http.StatusOK:
			o.confirmed = err == nil
			if o.confirmed {
				gomega.Expect(string(body)).To(gomega.Equal(fmt.Sprintf("order %s confirmed to %s", id, requestID)), "the answer is the order's own")
			}
			return o
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			o.refused = true
			if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
				<-time.After(min(time.Duration(seconds*float64(time.Second)), maxRetryWait))
			}
			continue
		}
		return o
	}
	return o
}

var _ = ginkgo.Describe("Orders with lost answers and reset connections", func() {
	for _, seed := range withExtraSeeds(orderSeeds, 2000) {
		ginkgo.It(fmt.Sprintf("run at most once each, and every promise is true, with seed %d", seed), func() {
			d := startPlatform()
			gomega.Eventually(func() int { return d.putConfig(1, platformConfig(3, 1000, "key-m")) }, startLimit).Should(gomega.Equal(http.StatusOK))
			var desks []*unreliableDesk
			for i := range 3 {
				desks = append(desks, startDesk(fmt.Sprint("i-d", i), string(rune('a'+i%2)), seed*10+uint64(i), slices.Clone(d.keepers)))
			}
			for i := range d.entries {
				gomega.Eventually(func() int {
					status, _ := d.sendRequest(i, "POST", "/book/before", "key-m", "before")
					return status
				}, startLimit).Should(gomega.Equal(http.StatusOK))
			}
			random := rand.New(rand.NewPCG(seed, 7))
			var mu sync.Mutex
			var orders []order
			var callers sync.WaitGroup
			began := time.Now()
			for i := range orderCallers {
				callerRandom := rand.New(rand.NewPCG(seed, uint64(100+i)))
				callers.Go(func() {
					defer ginkgo.GinkgoRecover()
					client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{}}
					for n := 0; time.Since(began) < orderDuration; n++ {
						o := placeOrder(d, client, fmt.Sprintf("order-%d-%d", i, n), callerRandom)
						mu.Lock()
						orders = append(orders, o)
						mu.Unlock()
					}
				})
			}
			for time.Since(began) < orderDuration {
				i := random.IntN(len(d.keepers))
				ginkgo.By("killing " + d.keepers[i].options.name)
				d.keepers[i].Kill().Wait(stopLimit)
				d.keepers[i] = d.keepers[i].restart()
				gomega.Eventually(func() bool { return allVotersLive(d.keepers) }, startLimit).Should(gomega.BeTrue())
			}
			callers.Wait()
			runs := map[string]int{}
			for _, desk := range desks {
				desk.mu.Lock()
				for id, n := range desk.runs {
					runs[id] += n
				}
				desk.mu.Unlock()
			}
			confirmed, unknown := 0, 0
			for _, o := range orders {
				switch {
				case o.confirmed:
					confirmed++
					gomega.Expect(runs[o.id]).To(gomega.Equal(1), "%+v", o)
				case o.refused:
					gomega.Expect(runs[o.id]).To(gomega.BeZero(), "%+v", o)
				default:
					unknown++
					gomega.Expect(runs[o.id]).To(gomega.BeNumerically("<=", 1), "%+v", o)
				}
			}
			ginkgo.GinkgoWriter.Printf("%d orders, %d confirmed, %d with an unknown outcome\n", len(orders), confirmed, unknown)
			gomega.Expect(confirmed).To(gomega.BeNumerically(">", len(orders)/4), "of %d", len(orders))
			gomega.Expect(unknown).To(gomega.BeNumerically(">", 0), "the faults had an effect")
		})
	}
})
