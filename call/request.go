// Package call holds what a caller states about a request, independent of the
// protocol. Package platform decodes it from headers; ingress and fleet use it.
package call

import "time"

// PromptPart is a piece of a prompt that several requests may share; ID is the
// same for the same piece.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// SharedParts returns the parts of a prompt that other requests may share, which are all
// but the last.
func SharedParts(parts []PromptPart) []PromptPart { return parts[:max(len(parts)-1, 0)] }

// Request is what a caller states about a request. A golden file of package
// platform holds the names of the fields.
type Request struct {
	// ID identifies one attempt of a caller.
	ID string
	// Key is the API key.
	Key string
	// Patience is how long the caller waits for the response; 0 if not stated.
	Patience time.Duration
	// LastEvent is the event after which the caller resumes a stream; valid if
	// Resumes is set.
	LastEvent uint64
	Resumes   bool
	// ResumedID is the ID of the caller's attempt that brought the first event of the
	// resumed stream, "" if it isn't stated.
	ResumedID string
	// PromptTokens is the length of the prompt and MaxTokens the maximum length
	// of the answer; valid if Counted is set.
	PromptTokens, MaxTokens int
	Counted                 bool
	// Parts are the parts of the prompt, in order.
	Parts []PromptPart
	// LengthHint is the caller's estimate of the answer's length in tokens, or 0.
	LengthHint int
}
