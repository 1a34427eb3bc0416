// Package logs writes log lines without ever holding up who logs: lines wait
// in a bounded queue, and what finds no room is counted and left out.
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

// Bounds of the log's volume.
const (
	// maxLines is the number of lines that may wait.
	maxLines = 2048
	// linesPerSecond is what one process may log: two lines a request at the
	// largest published rate for one entry, several times over.
	linesPerSecond = 500
	// maxBatch is the number of bytes that are written at once.
	maxBatch = 32 << 10
	// reportInterval is the time between two lines about what was left out.
	reportInterval = 5 * time.Second
)

// Writer takes lines and hands them to an output in the background.
type Writer struct {
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
	done    chan struct{}
}

var _ io.Writer = (*Writer)(nil)

// New returns a writer that keeps lines until Start.
func New() *Writer {
	return &Writer{
		lines: make(chan []byte, maxLines),
		limit: rate.NewLimiter(linesPerSecond, maxLines),
		done:  make(chan struct{}),
	}
}

// Write implements io.Writer. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.limit.Allow() {
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

// Dropped is the number of lines that were left out.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Start writes the lines to out until ctx ends, and then those that wait.
func (w *Writer) Start(ctx context.Context, out io.Writer) {
	go func() {
		defer close(w.done)
		report := time.NewTicker(reportInterval)
		defer report.Stop()
		reported := int64(0)
		for {
			select {
			case line := <-w.lines:
				w.write(out, line)
			case <-report.C:
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

// write joins the lines that wait into one write.
func (w *Writer) write(out io.Writer, batch []byte) {
	for len(batch) < maxBatch {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	// There is nowhere left to report a failed write of the log.
	_, _ = out.Write(batch)
}

// Wait returns when all lines are written after the end of Start's context, or
// after the time.
func (w *Writer) Wait(most time.Duration) {
	select {
	case <-w.done:
	case <-time.After(most):
	}
}
