package keeper

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/level"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/rollout"
)

// RolloutLevel is the level of the log from which on it holds rollouts.
const RolloutLevel level.Level = 1

// rolloutTimeout bounds the wait for a majority to store a command of a rollout. Operators
// send an order that isn't acknowledged to another keeper.
const rolloutTimeout = 3 * time.Second

// Rollouts is the state of level 1: the rollouts of all services.
type Rollouts struct {
	store *rollout.Store
	// view is the state as others see it. It is replaced with each change and never modified.
	view *rollout.View
}

var _ Later = (*Rollouts)(nil)

// NewRollouts returns the state without any rollout.
func NewRollouts() *Rollouts { return &Rollouts{store: rollout.NewStore(), view: &rollout.View{}} }

// rolloutReply is the reply to a command of a rollout.
type rolloutReply struct {
	Outcome rollout.Outcome `json:"o"`
}

// Check verifies a decoded reply.
func (r *rolloutReply) Check() error { return nil }

// Reads implements Later.
func (*Rollouts) Reads() level.Level { return RolloutLevel }

// NeedsAll implements Later. An entry that knows no rollouts shares its requests out over all
// releases, as it does without an order.
func (*Rollouts) NeedsAll(level.Level) bool { return false }

func decodeRollout(c LaterCommand) (rollout.Command, error) {
	var command rollout.Command
	if c.Level != RolloutLevel {
		return command, errors.Errorf("command of level %d, want %d", c.Level, RolloutLevel)
	}
	err := wire.Decode(c.Data, &command)
	return command, err
}

// Verify implements Later.
func (*Rollouts) Verify(c LaterCommand) error {
	_, err := decodeRollout(c)
	return err
}

// Apply implements Later.
func (r *Rollouts) Apply(c LaterCommand) ([]byte, error) {
	command, err := decodeRollout(c)
	if err != nil {
		return nil, err
	}
	outcome := r.store.Apply(command)
	if outcome == rollout.Accepted {
		r.publish()
	}
	return wire.Encode(&rolloutReply{outcome})
}

// Snapshot implements Later.
func (r *Rollouts) Snapshot() ([]byte, error) { return r.store.Snapshot() }

// Restore implements Later.
func (r *Rollouts) Restore(data []byte) error {
	if err := r.store.Restore(data); err != nil {
		return errors.Wrap(err, "rollouts")
	}
	r.publish()
	return nil
}

func (r *Rollouts) publish() {
	v := r.store.View()
	r.view = &v
}

// rollouts returns the view of the rollouts, or nil if this keeper has none.
func (m *stateMachine) rollouts() *rollout.View {
	if r, ok := m.later.(*Rollouts); ok {
		return r.view
	}
	return nil
}

func rolloutCommand(c rollout.Command) (Command, error) {
	data, err := wire.Encode(&c)
	return Command{Later: &LaterCommand{Level: RolloutLevel, Data: data}}, err
}

func (r *Reply) rolloutOutcome() (rollout.Outcome, error) {
	var decoded rolloutReply
	if err := wire.Decode(r.Later, &decoded); err != nil {
		return 0, errors.Wrap(err, "reply to a rollout's command")
	}
	return decoded.Outcome, nil
}

// ProposeRollout proposes a command of a rollout, if this keeper leads. After an error it may
// or may not have been carried out.
func (k *Keeper) ProposeRollout(ctx context.Context, c rollout.Command) (rollout.Outcome, error) {
	command, err := rolloutCommand(c)
	if err != nil {
		return 0, err
	}
	reply := k.Propose(ctx, command)
	if reply.NotLeader {
		return 0, errors.Errorf("this keeper doesn't lead, or the outcome isn't known: %s", reply.Detail)
	}
	return reply.rolloutOutcome()
}

// Rollout carries out a command of a rollout. After an error it may or may not have been
// carried out, unless the error says that it hasn't run.
func (c *Client) Rollout(ctx context.Context, command rollout.Command) (rollout.Outcome, error) {
	later, err := rolloutCommand(command)
	if err != nil {
		return 0, err
	}
	reply, err := c.propose(ctx, later, rolloutTimeout)
	if err != nil {
		last := result.From(err)
		if last.Code == result.LevelNotRead && last.Ran == result.RanNo {
			return 0, result.New(result.RolloutsNotReady, result.RanNo, "%s", last.Detail).WithRetry(time.Second)
		}
		return 0, result.New(result.NoQuorum, last.Ran, "no majority of keepers answered: %v", err).WithRetry(time.Second)
	}
	return reply.rolloutOutcome()
}
