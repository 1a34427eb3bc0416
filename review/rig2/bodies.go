package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the case, with those of a small deployment.
const (
	// requestsPerSecond is the usual number of streams that begin at the one entry of the site's third
	// zone: 22.5 requests a second, of which 78 in 100 are streams.
	requestsPerSecond = 17.5
	// largeBody is below the configuration's maxBodyBytes, usualBody that of the sheet's long streams.
	largeBody = 4_000_000
	usualBody = 12_000
	// bytesPerSecond is a caller's part of a link of 1,000 Mbit/s, of which all of them use 560.
	bytesPerSecond = 8_000_000
	// faultEnds is the number of ends of one machine's process that is a fault.
	faultEnds     = 3
	faultMachines = 2
	bodiesTime    = 50 * time.Second
)

// residentMb returns the memory of a process, in megabytes.
func residentMb(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	size, resident := 0, 0
	_, _ = fmt.Sscan(string(data), &size, &resident)
	return resident * os.Getpagesize() >> 20
}

// guard kills the process of a node that uses more than its memory and starts it again after a
// short delay, as the platform does, until ctx ends. It returns the number of such ends.
func (c *cluster) guard(ctx context.Context, n *node) (ends, highest int) {
	for ctx.Err() == nil {
		used := residentMb(n.pid())
		highest = max(highest, used)
		if used > memoryMb {
			ends++
			c.record.add("platform", "%s uses %d MB, over its %d MB: killed, end %d", n.name, used, memoryMb, ends)
			n.signal(syscall.SIGKILL)
			<-n.ended()
			time.Sleep(500 * time.Millisecond)
			if err := c.start(n); err != nil {
				c.record.add("platform", "%s can't be started: %v", n.name, err)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return ends, highest
}

// slowBody is a body that comes as fast as a caller's part of the link allows.
type slowBody struct {
	left  int
	began time.Time
	sent  int
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	if b.began.IsZero() {
		b.began = time.Now()
	}
	time.Sleep(time.Until(b.began.Add(time.Duration(b.sent) * time.Second / bytesPerSecond)))
	n := min(len(p), b.left, 32<<10)
	for i := range p[:n] {
		p[i] = 'w'
	}
	b.left, b.sent = b.left-n, b.sent+n
	return n, nil
}

// bodies has callers send the usual number of requests, with bodies of the size that the configuration
// allows.
func bodies(r *record, trouble bool) (int, error) {
	c, err := startCluster(r, 3, "")
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return cannotRun, err
	}
	for i := range 3 {
		s := &server{
			id: fmt.Sprintf("i-c40e77a%d", i), service: "asistente", zone: fmt.Sprintf("home-%c", 'a'+i), address: freeAddress(), c: c, slots: 64, queue: 134,
			events: 64, pace: 50 * time.Millisecond,
		}
		if err := s.start("v1", 0); err != nil {
			return cannotRun, err
		}
	}
	if err := c.put(streamConfig); err != nil {
		return cannotRun, err
	}
	if err := c.await(); err != nil {
		return cannotRun, err
	}
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), bodiesTime)
	defer cancel()
	size := usualBody
	if trouble {
		size = largeBody
	}
	ends, highest := make([]int, len(c.entries)), make([]int, len(c.entries))
	var running sync.WaitGroup
	var number, complete, refused, down, lost atomic.Int64
	for i, n := range c.entries {
		running.Go(func() { ends[i], highest[i] = c.guard(ctx, n) })
		running.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			for ctx.Err() == nil {
				time.Sleep(time.Duration(rand.ExpFloat64() / requestsPerSecond * float64(time.Second)))
				running.Go(func() {
					id := fmt.Sprintf("c-%05d", number.Add(1))
					began := time.Now()
					status, whole, err := upload(ctx, n, client, id, size)
					switch {
					case ctx.Err() != nil:
						return
					case whole:
						complete.Add(1)
					case errors.Is(err, syscall.ECONNREFUSED):
						down.Add(1)
					case status == 0 || status == http.StatusOK:
						lost.Add(1)
					default:
						refused.Add(1)
					}
					r.add("client", "%s to %s: %d, whole %v, after %v, %v", id, n.name, status, whole, time.Since(began).Round(time.Millisecond), err)
				})
			}
		})
	}
	running.Wait()
	faults := 0
	for i, n := range c.entries {
		r.verdict("%s: at most %d MB, ended %d times over its memory of %d MB", n.name, highest[i], ends[i], memoryMb)
		if ends[i] >= faultEnds {
			faults++
		}
	}
	r.verdict("%d requests with bodies of %d bytes: %d answered whole, %d refused, %d not connected, %d cut", number.Load(), size, complete.Load(), refused.Load(), down.Load(), lost.Load())
	if faults >= faultMachines {
		r.verdict("Fault: processes of %d machines of %d ended by themselves %d times or more", faults, len(c.nodes()), faultEnds)
		return broken, nil
	}
	return held, nil
}

// upload sends a request for a stream with a body of the size. It returns the answer's status, 0 for
// none, and whether the stream came to its end.
func upload(ctx context.Context, n *node, client *http.Client, id string, size int) (status int, whole bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.callers+"/history/h", &slowBody{left: size})
	if err != nil {
		return 0, false, err
	}
	request.ContentLength = int64(size)
	request.Host = "mill.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "15000")
	request.Header.Set("Authorization", "Token key-m")
	response, err := client.Do(request)
	if err != nil {
		return 0, false, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, err == nil && response.StatusCode == http.StatusOK && strings.Contains(string(body), "(end)"), err
}
