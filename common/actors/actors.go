// Package actors runs protoactor actors that end with a context.
package actors

import (
	"context"
	"log/slog"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/go-logr/logr"
	"k8s.io/klog/v2"
)

// NewSystem returns an actor system that logs to klog, at verbosity 2.
func NewSystem() *actor.ActorSystem {
	return actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return slog.New(logr.ToSlogHandler(klog.Background().V(2)))
	}))
}

// Ref sends messages to one actor.
type Ref struct {
	system *actor.ActorSystem
	pid    *actor.PID
	ctx    context.Context
}

// Spawn starts an actor that passes each message to receive, one at a time. The
// actor ends with ctx. Its mailbox is unbounded, so that senders have to limit
// what they send.
func Spawn(ctx context.Context, system *actor.ActorSystem, prefix string, receive func(message any)) *Ref {
	props := actor.PropsFromFunc(func(c actor.Context) {
		switch c.Message().(type) {
		case *actor.Started, *actor.Stopping, *actor.Stopped, *actor.Restarting:
		default:
			receive(c.Message())
		}
	})
	pid := system.Root.SpawnPrefix(props, prefix)
	context.AfterFunc(ctx, func() { system.Root.Stop(pid) })
	return &Ref{system: system, pid: pid, ctx: ctx}
}

// Send delivers a message without waiting; after the end of the actor's
// context it is dropped.
func (r *Ref) Send(message any) {
	if r.ctx.Err() == nil {
		r.system.Root.Send(r.pid, message)
	}
}

// Ask sends the message that build makes with a reply channel, and waits for the
// reply. It returns false if ctx or the actor ends first.
func Ask[T any](ctx context.Context, r *Ref, build func(reply chan<- T) any) (T, bool) {
	reply := make(chan T, 1)
	r.Send(build(reply))
	var zero T
	select {
	case v := <-reply:
		return v, true
	case <-ctx.Done():
		return zero, false
	case <-r.ctx.Done():
		return zero, false
	}
}
