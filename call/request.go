// Package call holds what a caller's request says about itself, whichever
// protocol brought it.
package call

import "time"

// Part is a piece of a prompt that requests may share.
type Part struct {
	ID     uint64
	Tokens int
}

// Request is what a caller says about a request.
type Request struct {
	// ID identifies one attempt of a caller.
	ID  string
	Key string
	// Patience is how long the caller waits; 0 if it doesn't say.
	Patience time.Duration
	// LastEvent is the event after which a stream goes on, if Resumes is set.
	LastEvent uint64
	Resumes   bool
	// PromptTokens and MaxTokens are the lengths of the prompt and, at most,
	// of the answer; Counted says whether the caller gave them.
	PromptTokens, MaxTokens int
	Counted                 bool
	// Parts are those of the prompt, in order.
	Parts []Part
	// LengthHint is the caller's estimate of the answer's tokens, or 0.
	LengthHint int
}
