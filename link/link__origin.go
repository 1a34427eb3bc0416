package link

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/pace"
	"github.com/hyssopladder/hyssopladder/origin"
	"github.com/hyssopladder/hyssopladder/peer"
)

// Intervals, timeouts and bounds of the origins of streams.
const (
	// originInterval is the time between two messages to a keeper with the streams
	// that have begun; what began within it is unknown if the entry is killed.
	originInterval = 40 * time.Millisecond
	originTimeout  = 300 * time.Millisecond
	// originAttempts is the number of keepers that are tried for one message.
	originAttempts = 2
	// findInterval is the time between two requests for origins, which callers wait
	// for.
	findInterval = 10 * time.Millisecond
	// maxPendingOrigins bounds the streams that wait to be sent to one keeper, and the
	// callers that wait for an origin.
	maxPendingOrigins = 2048
)

// begunStream is a stream that this entry has begun.
type begunStream struct {
	stream origin.Stream
	origin origin.Origin
}

// Found is what the keepers know of the origin of a stream.
type Found struct {
	// Origin is set if Known is.
	Origin origin.Origin
	Known  bool
	// Serving are the origins that the stream may have, from the keepers' directories.
	// Complete says that no other is possible: every keeper that may have seen the stream
	// begin has answered, and its directory goes back for origin.Retention.
	Serving  []origin.Origin
	Complete bool
	// Config is the number of the newest configuration that one of them has.
	Config uint64
}

// findRequest asks for the origin of a stream, which the service may have begun. done has
// room for the answer.
type findRequest struct {
	stream  origin.Stream
	service string
	done    chan Found
}

// startOrigins starts the loops that send and find origins.
func (l *Link) startOrigins(ctx context.Context) {
	for i := range l.begun {
		l.begun[i] = make(chan begunStream, maxPendingOrigins)
		go pace.Batches(ctx, l.begun[i], originInterval, func(batch []begunStream) { l.sendOrigins(ctx, i, batch) })
	}
	l.finds = make(chan findRequest, maxPendingOrigins)
	go pace.Batches(ctx, l.finds, findInterval, func(batch []findRequest) { l.findOrigins(ctx, batch) })
}

// StreamBegan tells keepers the origin of a stream. It doesn't wait.
func (l *Link) StreamBegan(s origin.Stream, o origin.Origin) {
	for i := range l.begun {
		select {
		case l.begun[i] <- begunStream{s, o}:
		default:
			klog.InfoS("origin of a stream not told: too many wait", "stream", uint64(s), "release", o.Release, "loop", i)
		}
	}
}

// FindOrigin asks the keepers for the origin of a stream, which the service may have
// begun.
func (l *Link) FindOrigin(ctx context.Context, s origin.Stream, service string) Found {
	request := findRequest{s, service, make(chan Found, 1)}
	select {
	case l.finds <- request:
	default:
		klog.InfoS("origin of a stream not asked for: too many wait", "stream", uint64(s))
		return Found{}
	}
	select {
	case f := <-request.done:
		return f
	case <-ctx.Done():
		return Found{}
	}
}

// sendOrigins sends the batch to the keeper of the sync loop, or to another one if
// that fails.
func (l *Link) sendOrigins(ctx context.Context, loop int, batch []begunStream) {
	current, keepers := l.originKeepers()
	if loop < len(current) {
		keepers = append([]netip.AddrPort{current[loop]}, keepers...)
	}
	// Where there is one keeper, only the first loop has any to send to.
	if len(keepers) == 0 {
		return
	}
	for part := range slices.Chunk(batch, origin.MaxStreams) {
		var groups origin.Groups
		for _, b := range part {
			groups.Add(b.stream, b.origin)
		}
		request := &origin.Request{Begun: groups.List()}
		sent := slices.ContainsFunc(keepers[:min(len(keepers), originAttempts)], func(address netip.AddrPort) bool {
			_, ok := l.callOrigins(ctx, address, request)
			return ok
		})
		if !sent && ctx.Err() == nil {
			klog.InfoS("origins of streams lost for one keeper", "streams", len(part), "loop", loop, "keepers", len(keepers))
		}
	}
}

// originKeepers returns the keepers of the sync loops and the other ones, with those that
// are no longer listed but may have seen streams begin.
func (l *Link) originKeepers() (current, others []netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, address := range l.roster.current {
		if address.IsValid() && !slices.Contains(current, address) {
			current = append(current, address)
		}
	}
	for _, address := range l.roster.recent(l.options.Clock()) {
		if !slices.Contains(current, address) {
			others = append(others, address)
		}
	}
	return current, others
}

func (l *Link) callOrigins(ctx context.Context, address netip.AddrPort, request *origin.Request) (reply origin.Reply, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	if err := l.options.PeerClient.Call(ctx, address, peer.Origins, request, &reply); err != nil {
		klog.V(1).InfoS("call for origins failed", "keeper", address, "begun", len(request.Begun), "find", len(request.Find), "err", err)
		return origin.Reply{}, false
	}
	return reply, true
}

// findOrigins starts to find the origins that are asked for, in as many messages as it
// takes.
func (l *Link) findOrigins(ctx context.Context, batch []findRequest) {
	for part := range slices.Chunk(batch, origin.MaxStreams) {
		go l.findPart(ctx, part)
	}
}

// findPart asks the keepers of the sync loops, then all others for what those don't
// know, and then those that the entry doesn't know but the keepers name.
func (l *Link) findPart(ctx context.Context, batch []findRequest) {
	current, others := l.originKeepers()
	open := map[origin.Stream][]findRequest{}
	for _, r := range batch {
		open[r.stream] = append(open[r.stream], r)
	}
	var serving []origin.Origin
	var newest uint64
	complete := len(current)+len(others) > 0
	known := slices.Concat(current, others)
	for rounds := [][]netip.AddrPort{current, others}; len(rounds) > 0 && len(open) > 0; rounds = rounds[1:] {
		reply := l.askForOrigins(ctx, rounds[0], open)
		serving = append(serving, reply.Serving...)
		complete, newest = complete && reply.Complete, max(newest, reply.Config)
		var named []netip.AddrPort
		for _, address := range reply.Keepers {
			if !slices.Contains(known, address) {
				known, named = append(known, address), append(named, address)
			}
		}
		if len(named) > 0 {
			klog.InfoS("origins of streams asked for at keepers that only others know", "streams", len(open), "keepers", named)
			rounds = append(rounds, named)
		}
	}
	for _, requests := range open {
		for _, r := range requests {
			f := Found{Complete: complete, Config: newest}
			for _, o := range serving {
				if o.Service == r.service {
					f.Serving = append(f.Serving, o)
				}
			}
			r.done <- f
		}
	}
}

// askForOrigins asks the keepers at once, and answers and removes the requests whose
// origin one of them knows. It returns what they say together of the other streams: the
// releases and the keepers that they know, the newest configuration, and whether all of
// them have answered with a complete directory.
func (l *Link) askForOrigins(ctx context.Context, keepers []netip.AddrPort, open map[origin.Stream][]findRequest) (all origin.Reply) {
	request := &origin.Request{}
	for s, requests := range open {
		request.Find = append(request.Find, s)
		for _, r := range requests {
			if !slices.Contains(request.Services, r.service) {
				request.Services = append(request.Services, r.service)
			}
		}
	}
	var mu sync.Mutex
	var wait sync.WaitGroup
	complete := 0
	for _, address := range keepers {
		wait.Go(func() {
			reply, ok := l.callOrigins(ctx, address, request)
			if !ok {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			all.Serving, all.Keepers = append(all.Serving, reply.Serving...), append(all.Keepers, reply.Keepers...)
			all.Config = max(all.Config, reply.Config)
			if reply.Complete {
				complete++
			}
			for _, g := range reply.Found {
				for _, s := range g.Streams {
					for _, r := range open[s] {
						r.done <- Found{Origin: g.Origin, Known: true}
					}
					delete(open, s)
				}
			}
		})
	}
	wait.Wait()
	all.Complete = complete == len(keepers)
	return all
}
