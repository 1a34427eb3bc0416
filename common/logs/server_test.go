package logs

import (
	"bytes"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"k8s.io/klog/v2"
)

// TestServerLogsToTheNodesLog guards against lines of net/http's servers that are lost, that
// callers can make without bound, or that aren't one line.
func TestServerLogsToTheNodesLog(t *testing.T) {
	g := gomega.NewWithT(t)
	state := klog.CaptureState()
	defer state.Restore()
	var text bytes.Buffer
	klog.LogToStderr(false)
	klog.SetOutput(&text)
	l := NewServerLog()
	for range 10 * serverLogBurst {
		l.Print("http: a long detail\n\twith a stack\n" + strings.Repeat("x", 2*maxServerLogBytes))
	}
	klog.Flush()
	lines := strings.Split(strings.TrimSpace(text.String()), "\n")
	g.Expect(len(lines)).To(gomega.And(gomega.BeNumerically(">=", serverLogBurst), gomega.BeNumerically("<", 2*serverLogBurst)))
	for _, line := range lines {
		g.Expect(line).To(gomega.ContainSubstring("a long detail with a stack"))
		g.Expect(len(line)).To(gomega.BeNumerically("<", 2*maxServerLogBytes))
	}
}
