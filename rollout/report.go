package rollout

import (
	"math"
	"time"

	"github.com/pkg/errors"
)

// Bounds of a decoded report.
const (
	maxReportServices  = maxServices
	maxReportRoutes    = 2 * (maxRoutes + 1)
	maxReportUpstreams = 64
)

// maxRoutes bounds the routes of a service that are counted apart. All others are counted
// together as otherRoutes, since a caller may make up any number of them.
const (
	maxRoutes   = 16
	otherRoutes = "*"
)

// Report is what an entry has seen of the releases of running rollouts since it started. The
// counts are cumulative and begin anew with each rollout.
type Report struct {
	Rollouts []OrderReport `json:"o,omitempty"`
}

// OrderReport is the part of a Report about one rollout.
type OrderReport struct {
	Number uint64 `json:"n"`
	// Requests are all requests of the service, and Routes the attempts that they led to.
	Requests uint64        `json:"q,omitempty"`
	Routes   []RouteReport `json:"r,omitempty"`
	// Stopped says that the entry's own verdict keeps requests from the new release.
	Stopped bool `json:"x,omitempty"`
}

// RouteReport counts the attempts of one route at the new release, or at all others.
type RouteReport struct {
	Route string `json:"r,omitempty"`
	New   bool   `json:"w,omitempty"`
	// Answered are the attempts that began to answer or ended, Bad those of them that are
	// failures of the upstream.
	Sent     uint64 `json:"s,omitempty"`
	Answered uint64 `json:"a,omitempty"`
	Bad      uint64 `json:"b,omitempty"`
	// Times counts the good answers by their times, from the bucket First on.
	First int      `json:"f,omitempty"`
	Times []uint64 `json:"t,omitempty"`
	// Upstreams are those of the new release with the most bad or late answers.
	Upstreams []UpstreamReport `json:"u,omitempty"`
}

// UpstreamReport counts the answers of one upstream. Hash is that of its name: the judge has to
// tell upstreams apart, not to name them.
type UpstreamReport struct {
	Hash     uint32   `json:"h"`
	Answered uint64   `json:"a,omitempty"`
	Bad      uint64   `json:"b,omitempty"`
	First    int      `json:"f,omitempty"`
	Times    []uint64 `json:"t,omitempty"`
}

// Check verifies a decoded report.
func (r *Report) Check() error {
	if len(r.Rollouts) > maxReportServices {
		return errors.Errorf("report on %d rollouts, want at most %d", len(r.Rollouts), maxReportServices)
	}
	for i := range r.Rollouts {
		if err := r.Rollouts[i].check(); err != nil {
			return err
		}
	}
	return nil
}

func (r *OrderReport) check() error {
	if len(r.Routes) > maxReportRoutes {
		return errors.Errorf("report on %d routes, want at most %d", len(r.Routes), maxReportRoutes)
	}
	if r.Requests > math.MaxUint32 {
		return errors.Errorf("report on %d requests, want at most %d", r.Requests, uint32(math.MaxUint32))
	}
	for i := range r.Routes {
		route := &r.Routes[i]
		if len(route.Upstreams) > maxReportUpstreams {
			return errors.Errorf("report on %d upstreams, want at most %d", len(route.Upstreams), maxReportUpstreams)
		}
		if route.Sent > math.MaxUint32 {
			return errors.Errorf("report on %d attempts, want at most %d", route.Sent, uint32(math.MaxUint32))
		}
		if err := checkCounts(route.Answered, route.Bad, route.First, route.Times); err != nil {
			return err
		}
		for _, u := range route.Upstreams {
			if err := checkCounts(u.Answered, u.Bad, u.First, u.Times); err != nil {
				return err
			}
		}
	}
	return nil
}

func checkCounts(answered, bad uint64, first int, times []uint64) error {
	if answered > math.MaxUint32 || bad > answered {
		return errors.Errorf("report on %d answers, %d of them bad", answered, bad)
	}
	if first < 0 || first > timeBuckets || len(times) > timeBuckets-first {
		return errors.Errorf("report on times from bucket %d on in %d buckets, want at most %d", first, len(times), timeBuckets)
	}
	sum := uint64(0)
	for _, n := range times {
		if sum += min(n, math.MaxUint32); sum > answered {
			return errors.Errorf("report on times of more than the %d answers", answered)
		}
	}
	return nil
}

// The buckets of answer times grow by the square root of two, so that a release that is twice
// as slow is told from one that is four times as slow. The last bucket begins at 32 s.
const (
	timeBuckets  = 28
	shortestTime = 4 * time.Millisecond
)

// timeBucket returns the bucket of an answer time. Bucket i holds times up to shortestTime *
// 2^(i/2).
func timeBucket(took time.Duration) int {
	if took <= shortestTime {
		return 0
	}
	return min(int(math.Ceil(2*math.Log2(float64(took)/float64(shortestTime)))), timeBuckets-1)
}

// counts are the answers of one release, or of one of its upstreams.
type counts struct {
	sent, answered, bad uint32
	times               [timeBuckets]uint32
}

func (c *counts) add(other *counts) {
	c.sent += other.sent
	c.answered += other.answered
	c.bad += other.bad
	for i, n := range other.times {
		c.times[i] += n
	}
}

// since returns the difference to an earlier state; it returns false if one of the counts is
// below the earlier one.
func (c *counts) since(earlier *counts) (counts, bool) {
	d := *c
	ok := c.sent >= earlier.sent && c.answered >= earlier.answered && c.bad >= earlier.bad
	d.sent -= earlier.sent
	d.answered -= earlier.answered
	d.bad -= earlier.bad
	for i, n := range earlier.times {
		ok = ok && d.times[i] >= n
		d.times[i] -= n
	}
	return d, ok
}

// above counts the good answers from the bucket on.
func (c *counts) above(bucket int) (n uint32) {
	for i := max(bucket, 0); i < timeBuckets; i++ {
		n += c.times[i]
	}
	return n
}

// median returns the place of the median of the good answers among the buckets' upper ends, as
// a fraction. It returns false without minReference answers.
func (c *counts) median() (float64, bool) {
	sum := c.above(0)
	if sum < minReference {
		return 0, false
	}
	below, half := 0.0, float64(sum)/2
	for i, n := range c.times {
		if below+float64(n) >= half {
			return max(float64(i)-1+(half-below)/float64(n), 0), true
		}
		below += float64(n)
	}
	return timeBuckets - 1, true
}

// medianTime returns the time at a place among the buckets.
func medianTime(place float64) time.Duration {
	return time.Duration(float64(shortestTime) * math.Exp2(place/2))
}

// encodeTimes leaves out the empty buckets at both ends.
func encodeTimes(times *[timeBuckets]uint32) (first int, list []uint64) {
	last := timeBuckets
	for last > 0 && times[last-1] == 0 {
		last--
	}
	for first < last && times[first] == 0 {
		first++
	}
	if first == last {
		return 0, nil
	}
	for _, n := range times[first:last] {
		list = append(list, uint64(n))
	}
	return first, list
}

// decodeCounts expects counts that were checked.
func decodeCounts(sent, answered, bad uint64, first int, times []uint64) counts {
	c := counts{sent: uint32(sent), answered: uint32(answered), bad: uint32(bad)}
	for i, n := range times {
		c.times[first+i] = uint32(n)
	}
	return c
}
