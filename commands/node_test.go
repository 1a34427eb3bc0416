package commands

import (
	"bytes"
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/settings"
)

// signallingWriter sends the process a signal when the node prints its first
// line.
type signallingWriter struct {
	bytes.Buffer
	signals []syscall.Signal
	stop    context.CancelFunc
}

func (w *signallingWriter) Write(p []byte) (int, error) {
	if w.Len() == 0 {
		for _, s := range w.signals {
			_ = syscall.Kill(syscall.Getpid(), s)
		}
		defer time.AfterFunc(200*time.Millisecond, w.stop)
	}
	return w.Buffer.Write(p)
}

// TestSignalsDuringTheStartEndNothing sends the signals for a reload and for a dump
// before the node has printed that it listens. Uncaught, either ends the process.
func TestSignalsDuringTheStartEndNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var errOut bytes.Buffer
	out := &signallingWriter{signals: []syscall.Signal{syscall.SIGHUP, syscall.SIGUSR1}, stop: cancel}
	c := &cli{ctx: ctx, out: out, errOut: &errOut, actions: map[string]func() error{}}
	s := settings.Default()
	s.Node.Name, s.Node.Zone = "alone", "a"
	s.Node.Roles = []string{settings.RoleEntry}
	g.Expect(c.runNode(s, "missing.ini")).To(gomega.Succeed())
	g.Expect(errOut.String()).To(gomega.ContainSubstring(`"alone"`), "the dump")
}
