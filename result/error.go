package result

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Ran says whether a request was executed by an upstream.
type Ran string

// The three answers to "did it run".
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Error is a failure with its numbered code. It is also the body of a
// problem+json answer.
type Error struct {
	Code   Code   `json:"code"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	Ran    Ran    `json:"ran"`
	// RetryAfter is the delay after which a new try may succeed; zero means
	// that none is known.
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

// WithRetry sets the delay after which a new try may succeed.
func (e *Error) WithRetry(after time.Duration) *Error {
	e.RetryAfter = after
	e.RetrySeconds = int((after + time.Second - 1) / time.Second)
	return e
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s (ran: %s)", int(e.Code), e.Title, e.Detail, e.Ran)
}

// From returns err as an *Error. An error without a code becomes Internal
// with an unknown outcome.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, RanUnknown, "%v", err)
}
