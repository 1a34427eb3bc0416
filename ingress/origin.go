package ingress

import (
	"context"
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/fleet"
	"github.com/hyssopladder/hyssopladder/origin"
	"github.com/hyssopladder/hyssopladder/result"
	"github.com/hyssopladder/hyssopladder/upstream"
)

// unknownOriginRetryAfter is the Retry-After of a stream that can't go on as nothing is
// known of its origin: a keeper that was out of reach may know it.
const unknownOriginRetryAfter = time.Second

// streamID identifies the stream that the request begins or resumes.
func (r *request) streamID() origin.Stream {
	if r.Resumes && r.ResumedID != "" {
		return origin.StreamOf(r.organisation(), r.ResumedID)
	}
	return origin.StreamOf(r.organisation(), r.ID)
}

// findOrigin binds a request that resumes a stream to what began the stream.
func (in *Ingress) findOrigin(ctx context.Context, r *request) error {
	if !r.Resumes || !r.isStream() {
		return nil
	}
	o, source := in.originOf(ctx, r)
	klog.InfoS("stream resumed", "request", r.ID, "route", r.routeName(), "stream", r.ResumedID, "lastEvent", r.LastEvent,
		"service", o.Service, "release", o.Release, "source", source)
	if source == originUnknown {
		return result.New(result.OriginUnknown, result.RanNo, "nothing is known of the release that began the stream %q", r.ResumedID).WithRetry(unknownOriginRetryAfter)
	}
	if !r.route.Allows(o.Service) {
		return result.New(result.NoUpstream, result.RanNo, "the route no longer leads to the service %q, which began the stream", o.Service).WithRetry(unknownOriginRetryAfter)
	}
	r.service, r.binding = o.Service, upstream.BoundTo(o.Release)
	return nil
}

// originSource says where an origin was found.
type originSource string

const (
	originUnknown originSource = "unknown"
	originOwn     originSource = "entry"
	originKeeper  originSource = "keeper"
	// originOnly means that no keeper knows the stream, and all upstreams that may have
	// begun it are of one release.
	originOnly originSource = "only release"
)

// originOf finds out what began the stream that the request resumes.
func (in *Ingress) originOf(ctx context.Context, r *request) (origin.Origin, originSource) {
	if r.ResumedID != "" {
		if o, ok := in.ownOrigin(r.streamID()); ok {
			return o, originOwn
		}
	}
	found := in.link.FindOrigin(ctx, r.streamID(), r.service)
	if found.Known {
		return found.Origin, originKeeper
	}
	path, _, _ := strings.Cut(r.target, "?")
	oneService := r.route.LeadsOnlyTo(r.service) && found.Config <= r.revision && in.link.LedOnlyTo(r.host, path, r.service)
	klog.InfoS("origin of a stream not found", "request", r.ID, "stream", r.ResumedID, "allKeepersAnswered", found.Complete,
		"serving", found.Serving, "directoryFollowed", in.link.DirectoryFollowed(), "revision", r.revision, "newestRevision", found.Config, "oneService", oneService)
	if !oneService || !found.Complete || in.link.DirectoryFollowed() < origin.Retention {
		return origin.Origin{}, originUnknown
	}
	only, source := origin.Origin{Service: r.service}, originUnknown
	in.dispatcher.run(func(now clock.Instant, f *fleet.Fleet) []fleet.Action {
		if release, ok := f.OnlyRelease(now, r.service, origin.Retention); ok {
			only.Release, source = release, originOnly
		}
		return nil
	})
	// An upstream that has just announced itself may not have reached this entry.
	if slices.ContainsFunc(found.Serving, func(o origin.Origin) bool { return o != only }) {
		return origin.Origin{}, originUnknown
	}
	return only, source
}

// bind binds the stream to the release that has begun it. Its origin is to be told to the
// keepers, as the caller may take it up at another entry.
func (d *forwarding) bind() {
	var release string
	var running bool
	d.in.dispatcher.run(func(_ clock.Instant, f *fleet.Fleet) []fleet.Action {
		release, running = f.Bind(d.ticket)
		return nil
	})
	if !running || !d.r.route.Repeatable() {
		return
	}
	d.origin = &origin.Origin{Service: d.r.service, Release: release}
}

// tellOrigin records the stream's origin, and tells the keepers.
func (d *forwarding) tellOrigin() {
	now, s := d.in.options.Clock(), d.r.streamID()
	d.originToldAt = now
	d.in.recordOrigin(now, s, *d.origin)
	d.in.link.StreamBegan(s, *d.origin)
}

// ownOrigin finds the origin of a stream that this entry has begun.
func (in *Ingress) ownOrigin(s origin.Stream) (origin.Origin, bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.origins.Find(in.options.Clock(), s)
}

func (in *Ingress) recordOrigin(now clock.Instant, s origin.Stream, o origin.Origin) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.origins.Record(now, s, o)
}

// keepOrigin tells the origin of a long stream again before it is forgotten.
func (d *forwarding) keepOrigin() {
	if d.origin != nil && d.in.options.Clock()-d.originToldAt >= origin.Retention/2 {
		d.tellOrigin()
	}
}
