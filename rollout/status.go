package rollout

import "time"

// Request is an operator's order at a keeper.
type Request struct {
	To       string `json:"to"`
	WithinMs int64  `json:"withinMs"`
}

// Status is the state of a service's last rollout for operators.
type Status struct {
	Service string `json:"service"`
	To      string `json:"to"`
	Phase   string `json:"phase"`
	Number  uint64 `json:"number"`
	Step    int    `json:"step"`
	// Share is the fraction of the service's requests that the release gets.
	Share      float64   `json:"share"`
	OrderedAt  time.Time `json:"orderedAt"`
	WithinMs   int64     `json:"withinMs"`
	ElapsedMs  int64     `json:"elapsedMs"`
	Superseded []string  `json:"superseded,omitempty"`
	Reason     string    `json:"reason,omitempty"`
}

// StatusOf returns the state of a rollout, elapsed after its order.
func StatusOf(r Rollout, elapsed time.Duration) Status {
	return Status{
		Service: r.Service, To: r.To, Phase: r.Phase.String(), Number: r.Number, Step: r.Step, Share: r.Share,
		OrderedAt: r.At, WithinMs: r.Within.Milliseconds(), ElapsedMs: elapsed.Milliseconds(), Superseded: r.Superseded, Reason: r.Reason,
	}
}
