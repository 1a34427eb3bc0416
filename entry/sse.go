package entry

import (
	"bufio"
	"encoding/json"
	"io"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/relay"
)

// maxLineBytes limits one line of an event stream.
const maxLineBytes = 256 << 10

// streamChunk is one event of a chat completions stream.
type streamChunk struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Model   string         `json:"model"`
	Choices []streamChoice `json:"choices"`
}

type streamChoice struct {
	Index        int         `json:"index"`
	Delta        streamDelta `json:"delta"`
	FinishReason *string     `json:"finish_reason"`
}

type streamDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// eventReader reads an upstream's stream of server-sent events.
type eventReader struct {
	lines *bufio.Scanner
	// progress is called for each line, heartbeats included.
	progress func()
}

func newEventReader(r io.Reader, progress func()) *eventReader {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 4096), maxLineBytes)
	return &eventReader{lines: s, progress: progress}
}

// next returns the next chunk of the attempt. A stream that ends without its
// final event is an error.
func (e *eventReader) next(attempt int) (relay.Chunk, error) {
	id, data := "", ""
	for e.lines.Scan() {
		e.progress()
		line := e.lines.Text()
		switch {
		case strings.HasPrefix(line, ":"):
		case strings.HasPrefix(line, "id:"):
			id = strings.TrimSpace(line[3:])
		case strings.HasPrefix(line, "data:"):
			data = strings.TrimSpace(line[5:])
		case line == "" && data != "":
			return parseEvent(attempt, id, data)
		}
	}
	if err := e.lines.Err(); err != nil {
		return relay.Chunk{}, errors.Wrap(err, "event stream")
	}
	return relay.Chunk{}, io.ErrUnexpectedEOF
}

func parseEvent(attempt int, id, data string) (relay.Chunk, error) {
	offset, err := strconv.Atoi(id)
	if err != nil || offset < 0 {
		return relay.Chunk{}, errors.Errorf("event stream: found id %q, want a token offset", id)
	}
	if data == "[DONE]" {
		return relay.Chunk{Attempt: attempt, Offset: offset, Final: true}, nil
	}
	var c streamChunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return relay.Chunk{}, errors.Wrap(err, "event stream")
	}
	if len(c.Choices) != 1 {
		return relay.Chunk{}, errors.Errorf("event stream: found %d choices, want 1", len(c.Choices))
	}
	return relay.Chunk{Attempt: attempt, Offset: offset, Text: c.Choices[0].Delta.Content}, nil
}
