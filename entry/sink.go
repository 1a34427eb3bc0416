package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/result"
)

// sink is the caller's side of an answer.
type sink interface {
	// token passes a token on.
	token(offset int, text, upstreamID string) error
	// end completes the answer.
	end(offset int, upstreamID string) error
	// fail ends an answer that has begun with an error.
	fail(err *result.Error)
	// begun reports whether bytes were sent to the caller.
	begun() bool
}

func newSink(w http.ResponseWriter, r *chatRequest, lastEvent string, timeout time.Duration) sink {
	if !r.Stream {
		return &wholeSink{w: w, model: r.Model}
	}
	s := &streamSink{w: w, control: http.NewResponseController(w), model: r.Model, timeout: timeout}
	if n, err := strconv.Atoi(lastEvent); err == nil && n >= 0 {
		s.from = n + 1
	}
	return s
}

// wholeSink gathers the answer and writes it at the end.
type wholeSink struct {
	w     http.ResponseWriter
	model string
	text  strings.Builder
}

var _ sink = (*wholeSink)(nil)

// completion is the usual answer of chat completions.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   completionUsage    `json:"usage"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

func (s *wholeSink) token(_ int, text, _ string) error {
	s.text.WriteString(text)
	return nil
}

func (s *wholeSink) end(offset int, upstreamID string) error {
	s.w.Header().Set("Content-Type", "application/json")
	s.w.Header().Set(headerServedBy, upstreamID)
	_ = json.NewEncoder(s.w).Encode(completion{
		ID:     "chatcmpl",
		Object: "chat.completion",
		Model:  s.model,
		Choices: []completionChoice{{
			Message:      completionMessage{Role: "assistant", Content: s.text.String()},
			FinishReason: "stop",
		}},
		Usage: completionUsage{CompletionTokens: offset},
	})
	return nil
}

func (s *wholeSink) fail(*result.Error) {}
func (s *wholeSink) begun() bool        { return false }

// streamSink writes each token as an event.
type streamSink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	model   string
	timeout time.Duration
	started bool
	// from is the first offset to send; the caller has the earlier ones.
	from int
}

var _ sink = (*streamSink)(nil)

func (s *streamSink) begin(upstreamID string) {
	if s.started {
		return
	}
	s.started = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(headerServedBy, upstreamID)
}

func (s *streamSink) token(offset int, text, upstreamID string) error {
	s.begin(upstreamID)
	if offset < s.from {
		return nil
	}
	data, err := json.Marshal(streamChunk{
		ID:      "chatcmpl",
		Object:  "chat.completion.chunk",
		Model:   s.model,
		Choices: []streamChoice{{Delta: streamDelta{Content: text}}},
	})
	if err != nil {
		return err
	}
	return s.write("id: %d\ndata: %s\n\n", offset, data)
}

func (s *streamSink) end(offset int, upstreamID string) error {
	s.begin(upstreamID)
	return s.write("id: %d\ndata: [DONE]\n\n", offset)
}

func (s *streamSink) fail(err *result.Error) {
	data, _ := json.Marshal(err)
	_ = s.write("event: error\ndata: %s\n\n", data)
}

func (s *streamSink) begun() bool { return s.started }

func (s *streamSink) write(format string, args ...any) error {
	_ = s.control.SetWriteDeadline(deadline(s.timeout))
	_, err := fmt.Fprintf(s.w, format, args...)
	if err == nil {
		err = s.control.Flush()
	}
	_ = s.control.SetWriteDeadline(noDeadline)
	if err != nil {
		return errors.Wrap(result.New(result.Expired, result.RanUnknown, "the caller took no bytes: %v", err), "write")
	}
	return nil
}
