package pace

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

func TestBackoffDoublesUpToItsLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	b := Backoff{First: 50 * time.Millisecond, Max: 300 * time.Millisecond}
	var waits []time.Duration
	for range 5 {
		waits = append(waits, b.Failed(0.5))
	}
	ms := time.Millisecond
	g.Expect(waits).To(gomega.Equal([]time.Duration{50 * ms, 100 * ms, 200 * ms, 300 * ms, 300 * ms}))
	b.Succeeded()
	g.Expect(b.Failed(0)).To(gomega.Equal(45 * ms))
	for range 100 {
		g.Expect(b.Failed(0.999)).To(gomega.BeNumerically("<=", 330*ms))
	}
}

// TestBatchesAnswerAllThatWait has many callers that ask all the time: the rounds
// stay rare, and none is answered by a round that began before it asked.
func TestBatchesAnswerAllThatWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		const interval, roundTime, callers = 60 * time.Millisecond, 5 * time.Millisecond, 98
		type request struct {
			askedAt time.Time
			done    chan time.Time
		}
		ctx, cancel := context.WithCancel(t.Context())
		requests := make(chan request, callers)
		rounds := 0
		go Batches(ctx, requests, interval, func(batch []request) {
			rounds++
			began := time.Now()
			<-time.After(roundTime)
			for _, r := range batch {
				r.done <- began
			}
		})
		start := time.Now()
		var wait sync.WaitGroup
		for range callers {
			wait.Go(func() {
				for time.Since(start) < 3*time.Second {
					r := request{time.Now(), make(chan time.Time, 1)}
					requests <- r
					began := <-r.done
					if began.Before(r.askedAt) {
						t.Error("answered by a round that began before the request")
					}
					if waited := time.Since(r.askedAt); waited > interval+roundTime {
						t.Errorf("waited for %v", waited)
					}
				}
			})
		}
		wait.Wait()
		cancel()
		synctest.Wait()
		g.Expect(rounds).To(gomega.BeNumerically("<=", 3*time.Second/interval+2))
	})
}

func TestFirstRequestAfterAPauseIsAnsweredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		requests := make(chan chan time.Time)
		go Batches(ctx, requests, time.Second, func(batch []chan time.Time) {
			for _, done := range batch {
				done <- time.Now()
			}
		})
		for range 2 {
			<-time.After(time.Minute)
			asked, done := time.Now(), make(chan time.Time, 1)
			requests <- done
			g.Expect(<-done).To(gomega.Equal(asked))
		}
		cancel()
		synctest.Wait()
	})
}
