// Package load sends requests to entries at the times of a trace, whether or
// not earlier ones were answered, and reports how long answers took.
package load

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Arrival is one request of a trace. A trace file holds one as JSON on each
// line.
type Arrival struct {
	// AtMicros is the time from the start of the run, in microseconds.
	AtMicros int64  `json:"atMicros"`
	Service  string `json:"service"`
	// Model is set for a model service.
	Model  string `json:"model,omitempty"`
	Call   string `json:"call,omitempty"`
	Rank   string `json:"rank"`
	Caller string `json:"caller"`
	Prompt string `json:"prompt"`
	Tokens int    `json:"tokens,omitempty"`
	Stream bool   `json:"stream,omitempty"`
	// Path and Key (its idempotency key) are those of a plain call.
	Path string `json:"path,omitempty"`
	Key  string `json:"key,omitempty"`
}

// Check verifies a decoded arrival.
func (a *Arrival) Check() error {
	switch {
	case a.AtMicros < 0:
		return errors.New("atMicros is negative")
	case a.Model == "" && a.Path == "":
		return errors.New("either a model or a path is needed")
	case a.Model != "" && a.Path != "":
		return errors.New("a model and a path exclude each other")
	case a.Path != "" && !strings.HasPrefix(a.Path, "/"):
		return errors.Errorf("path %q doesn't start with /", a.Path)
	}
	return nil
}

// maxLineBytes bounds a line of a trace file.
const maxLineBytes = 1 << 20

// ReadTrace reads a trace file.
func ReadTrace(r io.Reader) ([]Arrival, error) {
	var trace []Arrival
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for n := 1; lines.Scan(); n++ {
		if strings.TrimSpace(lines.Text()) == "" {
			continue
		}
		var a Arrival
		err := json.Unmarshal(lines.Bytes(), &a)
		if err == nil {
			err = a.Check()
		}
		if err != nil {
			return nil, errors.Wrapf(err, "trace line %d", n)
		}
		trace = append(trace, a)
	}
	return trace, errors.Wrap(lines.Err(), "read trace")
}

// WriteTrace writes a trace file.
func WriteTrace(w io.Writer, trace []Arrival) error {
	e := json.NewEncoder(w)
	for _, a := range trace {
		if err := e.Encode(a); err != nil {
			return errors.Wrap(err, "write trace")
		}
	}
	return nil
}

// Mix describes the requests of one call in a generated trace.
type Mix struct {
	Model, Call, Rank string
	// Rate is in requests per second.
	Rate    float64
	Callers []string
	Tokens  int
}

// Generate makes a Poisson trace. The same seed gives the same trace.
func Generate(seed uint64, duration time.Duration, mixes []Mix) []Arrival {
	var trace []Arrival
	for i, m := range mixes {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		arrivesAt := time.Duration(0)
		for n := 0; m.Rate > 0; n++ {
			arrivesAt += time.Duration(random.ExpFloat64() / m.Rate * float64(time.Second))
			if arrivesAt >= duration {
				break
			}
			trace = append(trace, Arrival{
				AtMicros: arrivesAt.Microseconds(),
				Service:  m.Model,
				Model:    m.Model,
				Call:     m.Call,
				Rank:     m.Rank,
				Caller:   m.Callers[random.IntN(len(m.Callers))],
				Prompt:   sharedPromptStart(random.IntN(promptVariants)) + fmt.Sprintf("%s %d", m.Call, n),
				Tokens:   m.Tokens,
				Stream:   true,
			})
		}
	}
	sort.SliceStable(trace, func(i, j int) bool { return trace[i].AtMicros < trace[j].AtMicros })
	return trace
}

// promptVariants is the number of different starts that generated prompts share,
// and promptSentences the length of each in sentences.
const (
	promptVariants  = 8
	promptSentences = 16
)

// sharedPromptStart returns the start of many prompts, which prefix caches can hold.
func sharedPromptStart(variant int) string {
	return strings.Repeat(fmt.Sprintf("These are the rules of household %d. ", variant), promptSentences)
}
