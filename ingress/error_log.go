package ingress

import (
	"log"
	"strings"
	"time"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

// Bounds of what net/http's server logs.
const (
	serverLogInterval = 100 * time.Millisecond
	serverLogBurst    = 10
	maxServerLogBytes = 2 << 10
)

// serverLog writes what net/http's server logs to the node's log.
type serverLog struct{ limiter *rate.Limiter }

func newServerLog() *log.Logger {
	return log.New(serverLog{rate.NewLimiter(rate.Every(serverLogInterval), serverLogBurst)}, "", 0)
}

// Write implements io.Writer.
func (l serverLog) Write(p []byte) (int, error) {
	if l.limiter.Allow() {
		klog.InfoS("HTTP server", "detail", oneLine.Replace(strings.TrimSpace(string(p[:min(len(p), maxServerLogBytes)]))))
	}
	return len(p), nil
}
