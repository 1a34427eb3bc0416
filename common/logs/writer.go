// Package logs writes log lines without blocking the callers: lines wait in a
// bounded queue, and those that don't fit are dropped and counted.
package logs

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Limits of the log.
const (
	// maxQueuedLines is the number of lines that may wait to be written.
	maxQueuedLines = 2048
	// linesPerSecond is the rate at which one process may log. It is several
	// times that of two lines a request, at the largest published rate for one
	// entry.
	linesPerSecond = 500
	// maxBatchBytes is the size of a batch from which no line is added to it.
	maxBatchBytes = 32 << 10
	// reportInterval is how often the number of dropped lines is reported, if it
	// has grown.
	reportInterval = 5 * time.Second
)

// Writer queues lines and writes them to an output in the background.
type Writer struct {
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
	done    chan struct{}
}

var _ io.Writer = (*Writer)(nil)

// New returns a writer that queues lines until Start.
func New() *Writer {
	return &Writer{
		lines:   make(chan []byte, maxQueuedLines),
		limiter: rate.NewLimiter(linesPerSecond, maxQueuedLines),
		done:    make(chan struct{}),
	}
}

// Write implements io.Writer. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.limiter.Allow() {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Start writes the lines to out until ctx ends, and then those that still wait.
func (w *Writer) Start(ctx context.Context, out io.Writer) {
	go func() {
		defer close(w.done)
		reportTicks := time.NewTicker(reportInterval)
		defer reportTicks.Stop()
		reported := int64(0)
		for {
			select {
			case line := <-w.lines:
				w.write(out, line)
			case <-reportTicks.C:
				if dropped := w.Dropped(); dropped > reported {
					_, _ = fmt.Fprintf(out, "log lines left out: %d in all\n", dropped)
					reported = dropped
				}
			case <-ctx.Done():
				for len(w.lines) > 0 {
					w.write(out, <-w.lines)
				}
				return
			}
		}
	}()
}

// write writes the batch, together with lines that wait, by one call.
func (w *Writer) write(out io.Writer, batch []byte) {
	for len(batch) < maxBatchBytes {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	// The error of a failed write to the log can't be reported anywhere.
	_, _ = out.Write(batch)
}

// Wait returns when Start's context has ended and all lines are written, or
// after the timeout.
func (w *Writer) Wait(timeout time.Duration) {
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}
