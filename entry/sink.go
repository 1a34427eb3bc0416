package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// sink writes the answer of a chat call to the caller.
type sink interface {
	// token adds a token of the upstream to the answer.
	token(offset int, text string, u *upstream.Announcement) error
	// end completes the answer; offset is its number of tokens.
	end(offset int, u *upstream.Announcement) error
	// fail ends an answer that has begun by sending an error.
	fail(err *result.Error)
	// begun reports whether the response has started, so that an error can no
	// longer replace it.
	begun() bool
}

// position is the place in a stream up to which a caller has it, as the ID of the last
// event says.
type position struct {
	offset  int
	release string
}

// releaseSeparator stands before the release in the ID of an event. It isn't there if
// the upstream doesn't state one.
const releaseSeparator = "@"

// eventID returns the ID of the event of a token by a release.
func eventID(offset int, release string) string {
	if release == "" {
		return strconv.Itoa(offset)
	}
	return strconv.Itoa(offset) + releaseSeparator + url.QueryEscape(release)
}

// parseEventID reads the ID of the last event that a caller has; ok isn't set if the
// text isn't one.
func parseEventID(text string) (p position, ok bool) {
	number, escaped, _ := strings.Cut(text, releaseSeparator)
	offset, err := strconv.Atoi(number)
	if err != nil || offset < 0 {
		return position{}, false
	}
	release, err := url.QueryUnescape(escaped)
	return position{offset, release}, err == nil
}

func newSink(w http.ResponseWriter, r *chatRequest, last position, resumes bool, timeout time.Duration) sink {
	if !r.Stream {
		return &bufferedSink{w: w, model: r.Model, timeout: timeout}
	}
	s := &streamSink{w: w, control: http.NewResponseController(w), model: r.Model, timeout: timeout}
	if resumes {
		s.firstOffset = last.offset + 1
	}
	return s
}

// bufferedSink collects the tokens and writes the response at the end.
type bufferedSink struct {
	w       http.ResponseWriter
	model   string
	timeout time.Duration
	text    strings.Builder
}

var _ sink = (*bufferedSink)(nil)

// completion is the response body of the chat completions API.
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

func (s *bufferedSink) token(_ int, text string, _ *upstream.Announcement) error {
	s.text.WriteString(text)
	return nil
}

func (s *bufferedSink) end(offset int, u *upstream.Announcement) error {
	body, err := json.Marshal(completion{
		ID:     "chatcmpl",
		Object: "chat.completion",
		Model:  s.model,
		Choices: []completionChoice{{
			Message:      completionMessage{Role: "assistant", Content: s.text.String()},
			FinishReason: "stop",
		}},
		Usage: completionUsage{CompletionTokens: offset},
	})
	if err != nil {
		return err
	}
	s.w.Header().Set("Content-Type", "application/json")
	s.w.Header().Set(headerServedBy, u.ID)
	body = append(body, '\n')
	setLength(s.w, body)
	return writeBody(s.w, body, s.timeout)
}

func (s *bufferedSink) fail(*result.Error) {}
func (s *bufferedSink) begun() bool        { return false }

// streamSink writes each token as a server-sent event.
type streamSink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	model   string
	timeout time.Duration
	started bool
	// firstOffset is the offset of the first token to send; the caller has
	// already received the earlier ones.
	firstOffset int
}

var _ sink = (*streamSink)(nil)

func (s *streamSink) begin(u *upstream.Announcement) {
	if s.started {
		return
	}
	s.started = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(headerServedBy, u.ID)
}

func (s *streamSink) token(offset int, text string, u *upstream.Announcement) error {
	s.begin(u)
	if offset < s.firstOffset {
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
	return s.write("id: %s\ndata: %s\n\n", eventID(offset, u.Release), data)
}

func (s *streamSink) end(offset int, u *upstream.Announcement) error {
	s.begin(u)
	return s.write("id: %s\ndata: [DONE]\n\n", eventID(offset, u.Release))
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
		return errors.Wrap(result.New(result.Expired, result.RanUnknown, "sending to the caller failed: %v", err), "write")
	}
	return nil
}
