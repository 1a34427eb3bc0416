package result

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Ran says whether a request was executed by an upstream.
type Ran string

// The values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Error is an error with a result code. It is also the body of a problem+json
// response.
type Error struct {
	Code   Code   `json:"code"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	Ran    Ran    `json:"ran"`
	// RetryAfter is the delay after which a retry may succeed; zero if unknown.
	RetryAfter time.Duration `json:"-"`
	// RetrySeconds is RetryAfter in whole seconds, rounded up.
	RetrySeconds int `json:"retryAfterSeconds,omitempty"`
}

var _ error = (*Error)(nil)

// New returns an Error with the code's name and status.
func New(code Code, ran Ran, format string, args ...any) *Error {
	info := code.Info()
	return &Error{
		Code:   code,
		Title:  info.Name,
		Status: info.Status,
		Detail: fmt.Sprintf(format, args...),
		Ran:    ran,
	}
}

// WithRetry sets the delay after which a retry may succeed and returns e.
func (e *Error) WithRetry(after time.Duration) *Error {
	e.RetryAfter = after
	e.RetrySeconds = int((after + time.Second - 1) / time.Second)
	return e
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s (ran: %s)", int(e.Code), e.Title, e.Detail, e.Ran)
}

// From returns the *Error that err is or wraps. An error without a code becomes
// Internal with RanUnknown.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, RanUnknown, "%v", err)
}
