// Package relay orders the tokens of one answer for package entry when several
// attempts, on different upstreams, produce them: each token reaches the caller
// exactly once and in order. It does no I/O.
package relay

// Chunk is one token of an answer, or its end, as an upstream sent it.
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

const (
	// Emit means that the chunk goes to the caller.
	Emit Verdict = iota
	// Drop means that the chunk is ignored: it belongs to another attempt, is a
	// duplicate or came after the end.
	Drop
	// Gap means that tokens are missing; the attempt has to be aborted.
	Gap
	// End means that the answer is complete.
	End
)

// Stream tracks one answer across attempts. The zero value is ready for Begin.
type Stream struct {
	attempt    int
	nextOffset int
	ended      bool
}

// Begin starts a new attempt. It returns the attempt's number and the offset at
// which the upstream has to resume. Chunks of older attempts are dropped from
// now on.
func (s *Stream) Begin() (attempt, offset int) {
	s.attempt++
	return s.attempt, s.nextOffset
}

// Accept decides what to do with a chunk and advances the stream.
func (s *Stream) Accept(c Chunk) Verdict {
	switch {
	case c.Attempt != s.attempt || s.ended || c.Offset < s.nextOffset:
		return Drop
	case c.Offset > s.nextOffset:
		return Gap
	case c.Final:
		s.ended = true
		return End
	default:
		s.nextOffset++
		return Emit
	}
}

// Offset is the number of tokens that were emitted.
func (s *Stream) Offset() int { return s.nextOffset }

// Ended reports whether the answer is complete.
func (s *Stream) Ended() bool { return s.ended }
