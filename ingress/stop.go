package ingress

import (
	"time"

	"github.com/pkg/errors"
)

// errStopping ends the attempt of a request to which the stopping entry itself responds.
var errStopping = errors.New("the entry stops")

// answerTime is how long the answer is expected to take: a plain one comes within the
// route's target, and a stream may go on for all its time.
func (r *request) answerTime() time.Duration {
	timeout := r.deadline - r.arrived
	if r.isStream() {
		return timeout
	}
	return min(timeout, r.route.Target)
}
