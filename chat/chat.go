// Package chat holds the parts of a chat completions request that entries and
// upstreams interpret in the same way: the messages, the prompt text made of them
// and the point at which an upstream resumes an answer.
package chat

import (
	"encoding/json"
	"strings"
)

// Message is one message of a conversation.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Prompt returns the text by whose prefixes prompts are compared and cached.
func Prompt(model string, messages []Message) string {
	var b strings.Builder
	b.WriteString(model)
	for _, m := range messages {
		b.WriteString("\n" + m.Role + "\n")
		b.Write(m.Content)
	}
	return b.String()
}

// Resume asks an upstream to continue an answer after tokens that another attempt
// generated.
type Resume struct {
	// Offset is the number of tokens that were already generated.
	Offset int `json:"offset"`
	// Text is the text of these tokens.
	Text string `json:"text"`
}
