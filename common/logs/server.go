package logs

import (
	"log"
	"strings"
	"time"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

// Bounds of what net/http's servers log.
const (
	serverLogInterval = 100 * time.Millisecond
	serverLogBurst    = 10
	maxServerLogBytes = 2 << 10
)

// oneLine makes a stack one line.
var oneLine = strings.NewReplacer("\n\t", " ", "\n", "; ")

// OneLine is at most maxBytes of a stack, as one line.
func OneLine(stack []byte, maxBytes int) string {
	return oneLine.Replace(strings.TrimSpace(string(stack[:min(len(stack), maxBytes)])))
}

// serverLog writes what net/http's servers log to the node's log.
type serverLog struct{ limiter *rate.Limiter }

// NewServerLog is the ErrorLog of an http.Server.
func NewServerLog() *log.Logger {
	return log.New(serverLog{rate.NewLimiter(rate.Every(serverLogInterval), serverLogBurst)}, "", 0)
}

// Write implements io.Writer.
func (l serverLog) Write(p []byte) (int, error) {
	if l.limiter.Allow() {
		klog.InfoS("HTTP server", "detail", OneLine(p, maxServerLogBytes))
	}
	return len(p), nil
}
