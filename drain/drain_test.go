package drain

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

// A stop in these tests lasts from stopAt to stopEnd.
const (
	stopAt    = clock.Instant(time.Hour)
	acceptFor = 2300 * time.Millisecond
	stopEnd   = stopAt + 7*time.Second
	lastly    = stopEnd - AnswerMargin
)

func begun() *Stop {
	s := &Stop{}
	s.Begin(stopAt, stopEnd, acceptFor)
	return s
}

// TestLateRequestsAreTakenOnlyIfTheyEndInTime guards against requests that are taken late
// and cut off with the process, and against refusals while the load balancer still leads
// callers here, or of requests that are sure to end in time.
func TestLateRequestsAreTakenOnlyIfTheyEndInTime(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect((&Stop{}).TooLate(stopEnd, stopEnd+time.Hour)).To(gomega.BeFalse(), "no stop")
	s := begun()
	accepted := stopAt + acceptFor
	for _, c := range []struct {
		now, deadline clock.Instant
		tooLate       bool
	}{
		{stopAt, stopEnd + time.Hour, false},
		{accepted - 1, stopEnd + time.Hour, false},
		{accepted, lastly, false},
		{accepted, lastly + 1, true},
		{lastly, lastly, true},
	} {
		g.Expect(s.TooLate(c.now, c.deadline)).To(gomega.Equal(c.tooLate), "%v %v", c.now-stopAt, c.deadline-stopAt)
	}
}

// TestShortStopKeepsTimeForAnswers guards against a stop that takes requests until its
// end since it is shorter than the load balancer needs.
func TestShortStopKeepsTimeForAnswers(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, limit := range []time.Duration{0, AnswerMargin, time.Second, 2 * time.Second} {
		s := &Stop{}
		s.Begin(stopAt, stopAt+limit, acceptFor)
		lastly := max(stopAt+limit-AnswerMargin, stopAt)
		half := stopAt + (lastly-stopAt)/2
		g.Expect(s.Accepting(half)).To(gomega.BeFalse())
		g.Expect(s.Accepting(half - 1)).To(gomega.BeTrue())
		g.Expect(s.TooLate(half, lastly+time.Hour)).To(gomega.BeTrue())
		g.Expect(s.Answering(lastly)).To(gomega.BeFalse())
	}
}

// TestStopEndsRequests opens requests and looks when the stop ends them: one that waits
// for an upstream ends while another entry can still take it, one that was sent just
// before the process ends, and one whose answer has begun never.
func TestStopEndsRequests(t *testing.T) {
	const patience = time.Minute
	for name, c := range map[string]struct {
		deadline clock.Instant
		needs    time.Duration
		prepare  func(r *Request)
		want     clock.Instant
	}{
		"waits, needs a second":         {stopAt + patience, time.Second, func(*Request) {}, lastly - time.Second},
		"waits, needs all its time":     {stopAt + patience, patience, func(*Request) {}, stopAt + acceptFor},
		"waits, ends in time by itself": {lastly, patience, func(*Request) {}, lastly},
		"was sent":                      {stopAt + patience, patience, func(r *Request) { r.Send(stopAt) }, lastly},
		"was sent and turned away": {stopAt + patience, time.Second, func(r *Request) {
			r.Send(stopAt)
			r.Unsent()
		}, lastly - time.Second},
		"is being answered": {stopAt + patience, patience, func(r *Request) {
			r.Send(stopAt)
			r.Answer()
		}, 0},
		"is closed": {stopAt + patience, patience, (*Request).Close, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s, ended := &Stop{}, 0
			r := s.Open(c.deadline, c.needs, func() { ended++ })
			s.Expire(stopEnd)
			g.Expect(r.Ended()).To(gomega.BeFalse(), "no stop")
			s.Begin(stopAt, stopEnd, acceptFor)
			c.prepare(r)
			if c.want == 0 {
				s.Expire(stopEnd)
				g.Expect(ended).To(gomega.Equal(0))
				return
			}
			s.Expire(c.want - 1)
			g.Expect(r.Ended()).To(gomega.BeFalse())
			s.Expire(c.want)
			s.Expire(stopEnd)
			g.Expect(ended).To(gomega.Equal(1))
			g.Expect(r.Ended()).To(gomega.BeTrue())
			g.Expect(r.Send(c.want)).To(gomega.BeFalse(), "nothing goes upstream any more")
			g.Expect(r.Answer()).To(gomega.BeFalse(), "two answers")
		})
	}
}

// TestNothingIsSentBetweenTwoChecks guards against a request that gets its upstream when
// it is too late, but before the next check has ended it.
func TestNothingIsSentBetweenTwoChecks(t *testing.T) {
	g := gomega.NewWithT(t)
	s := begun()
	r := s.Open(stopEnd+time.Hour, time.Second, func() {})
	g.Expect(r.Send(lastly - time.Second)).To(gomega.BeFalse())
	g.Expect(r.Ended()).To(gomega.BeTrue())
}
