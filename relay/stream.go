// Package relay keeps the order of a token stream across attempts: each token
// reaches the caller exactly once, whichever upstream computed it.
package relay

// Chunk is a piece of an answer as an upstream sent it.
type Chunk struct {
	// Attempt is the attempt that produced the chunk.
	Attempt int `json:"attempt"`
	// Offset is the position of the token within the whole answer.
	Offset int    `json:"offset"`
	Text   string `json:"text,omitempty"`
	// Final says that the answer ends before Offset.
	Final bool `json:"final,omitempty"`
}

// Verdict says what to do with a chunk.
type Verdict int

// The verdicts.
const (
	// Emit passes the chunk on to the caller.
	Emit Verdict = iota
	// Drop ignores it: it is late or doubled.
	Drop
	// Gap means that tokens are missing; the attempt must be given up.
	Gap
	// End means that the answer is whole.
	End
)

// Stream tracks one answer.
type Stream struct {
	attempt int
	next    int
	ended   bool
}

// Begin starts a new attempt and returns its number with the offset from
// which the upstream has to go on. Chunks of older attempts are dropped from
// now on.
func (s *Stream) Begin() (attempt, offset int) {
	s.attempt++
	return s.attempt, s.next
}

// Accept judges a chunk and moves the stream on.
func (s *Stream) Accept(c Chunk) Verdict {
	switch {
	case c.Attempt != s.attempt || s.ended || c.Offset < s.next:
		return Drop
	case c.Offset > s.next:
		return Gap
	case c.Final:
		s.ended = true
		return End
	default:
		s.next++
		return Emit
	}
}

// Offset is the number of tokens that were emitted.
func (s *Stream) Offset() int { return s.next }

// Ended reports whether the answer is whole.
func (s *Stream) Ended() bool { return s.ended }
