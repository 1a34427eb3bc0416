package ingress

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/call"
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/common/problem"
	"github.com/hyssopladder/hyssopladder/fleet"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// placementPattern is where operators ask where a request would go.
const placementPattern = "GET /operator/placement"

// defaultExplainedTime is the deadline and the target of a request that names none.
const defaultExplainedTime = 10 * time.Second

// servePlacement explains where a request would go now, without sending it.
func (in *Ingress) servePlacement(w http.ResponseWriter, r *http.Request) {
	t, err := explainedTicket(r.URL.Query())
	if err != nil {
		problem.Write(w, result.New(result.BadRequest, result.RanNo, "%v", err))
		return
	}
	var p fleet.Placement
	in.dispatcher.run(func(now clock.Instant, f *fleet.Fleet) []fleet.Action {
		t.Deadline += now
		p = f.Explain(now, t)
		return nil
	})
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(p)
}

// explainedTicket reads a request from a query; its deadline is a time from now.
func explainedTicket(q url.Values) (fleet.Ticket, error) {
	t := fleet.Ticket{Service: q.Get("service"), Organisation: q.Get("organisation"), MaxRuns: 1, Target: defaultExplainedTime, Deadline: defaultExplainedTime}
	if t.Service == "" {
		return t, errors.New("no service")
	}
	if release := q.Get("release"); release != "" {
		t.Binding = upstream.BoundTo(release)
	}
	for key, target := range map[string]*int{"rank": &t.Rank, "prompt": &t.PromptTokens, "output": &t.OutputTokens} {
		text := q.Get(key)
		if text == "" {
			continue
		}
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			return t, errors.Errorf("%s: found %q, want a number of 0 or more", key, text)
		}
		*target = n
	}
	if text := q.Get("target"); text != "" {
		target, err := time.ParseDuration(text)
		if err != nil || target <= 0 {
			return t, errors.Errorf("target: found %q, want a time such as 500ms", text)
		}
		t.Target, t.Deadline = target, max(target, defaultExplainedTime)
	}
	if text := q.Get("parts"); text != "" {
		for part := range strings.SplitSeq(text, ",") {
			id, tokens, _ := strings.Cut(part, ":")
			n, err1 := strconv.ParseUint(id, 16, 64)
			count, err2 := strconv.Atoi(tokens)
			if err1 != nil || err2 != nil || count < 0 {
				return t, errors.Errorf("parts: found %q, want a hexadecimal ID and a number of tokens, such as 5c1e:800", part)
			}
			t.PromptParts = append(t.PromptParts, call.PromptPart{ID: n, Tokens: count})
		}
	}
	return t, nil
}
