package entry

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopladder/hyssopladder/chat"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/route"
)

// Limits of a chat request.
const (
	maxMessages      = 1024
	defaultMaxTokens = 64
	maxMaxTokens     = 32768
	// prefillWeight is the work of a prompt token relative to that of a
	// generated one.
	prefillWeight = 0.1
)

// chatRequest is a chat completions request. The exported fields are those that
// the entry reads; fields holds all of them, to be passed on unchanged.
type chatRequest struct {
	Model     string         `json:"model"`
	Messages  []chat.Message `json:"messages"`
	Stream    bool           `json:"stream"`
	MaxTokens int            `json:"max_tokens"`
	fields    map[string]json.RawMessage
}

// parseChat decodes and validates a request body.
func parseChat(body []byte) (*chatRequest, error) {
	r := &chatRequest{}
	if err := json.Unmarshal(body, r); err != nil {
		return nil, result.New(result.BadRequest, result.RanNo, "body: %v", err)
	}
	if err := json.Unmarshal(body, &r.fields); err != nil {
		return nil, result.New(result.BadRequest, result.RanNo, "body: %v", err)
	}
	switch {
	case r.Model == "":
		return nil, result.New(result.BadRequest, result.RanNo, "model: missing")
	case len(r.Messages) == 0 || len(r.Messages) > maxMessages:
		return nil, result.New(result.BadRequest, result.RanNo, "messages: found %d, want 1 to %d", len(r.Messages), maxMessages)
	case r.MaxTokens < 0 || r.MaxTokens > maxMaxTokens:
		return nil, result.New(result.BadRequest, result.RanNo, "max_tokens: found %d, want 0 to %d", r.MaxTokens, maxMaxTokens)
	}
	return r, nil
}

// query returns the routing query of the request and its cost in generated
// tokens.
func (r *chatRequest) query() (route.Query, float64) {
	text := chat.Prompt(r.Model, r.Messages)
	tokens := route.Tokens(text)
	output := r.MaxTokens
	if output == 0 {
		output = defaultMaxTokens
	}
	q := route.Query{Prefixes: route.Prefixes(text), PromptTokens: tokens}
	return q, float64(output) + prefillWeight*float64(tokens)
}

// maxSharedParts bounds the messages by which prompts are compared: the first and
// the last ones, of each half as many.
const maxSharedParts = 8

// sharedParts returns the hashes of the messages that other prompts may contain
// too, which are all but the last.
func (r *chatRequest) sharedParts() []uint64 {
	earlier := r.Messages[:len(r.Messages)-1]
	var parts []uint64
	for i, m := range earlier {
		if i < maxSharedParts/2 || i >= len(earlier)-maxSharedParts/2 {
			parts = append(parts, xxhash.Sum64String(m.Role+"\n"+string(m.Content)))
		}
	}
	return parts
}

// upstreamBody returns the request body for an upstream: it always asks for a
// stream, and to resume at offset if the caller has already received tokens.
func (r *chatRequest) upstreamBody(offset int, text string) ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(r.fields)+2)
	for k, v := range r.fields {
		fields[k] = v
	}
	fields["stream"] = json.RawMessage("true")
	delete(fields, "resume")
	if offset > 0 {
		point, err := json.Marshal(chat.Resume{Offset: offset, Text: text})
		if err != nil {
			return nil, err
		}
		fields["resume"] = point
	}
	return json.Marshal(fields)
}
