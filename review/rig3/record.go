package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"time"
)

// record writes what happens with the time since the beginning. Summaries go to the standard
// output too.
type record struct {
	mu    sync.Mutex
	began time.Time
	out   io.Writer
}

func newRecord(out io.Writer) *record { return &record{began: time.Now(), out: out} }

// add writes a line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := strings.TrimRight(fmt.Sprintf(format, args...), "\n")
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.began).Seconds(), text)
}

// tell writes a line to the standard output too.
func (r *record) tell(format string, args ...any) {
	r.add(format, args...)
	_, _ = fmt.Fprintf(os.Stdout, format+"\n", args...)
}
