package upstream

import "github.com/hyssopladder/hyssopladder/result"

// Binding restricts a request to upstreams of the release that has begun its stream, as
// answers of two releases don't fit together. The zero value is no restriction.
type Binding struct {
	// Release is the only release that may run the request, if Bound is set.
	Release string
	Bound   bool
}

// BoundTo returns the binding to a release.
func BoundTo(release string) Binding { return Binding{Release: release, Bound: true} }

// Fits reports whether the upstream may run the request.
func (b Binding) Fits(a *Announcement) bool { return !b.Bound || a.Release == b.Release }

// NoUpstream refuses a request to the service that no upstream may run now.
func (b Binding) NoUpstream(service string) *result.Error {
	if b.Bound {
		return result.New(result.NoUpstream, result.RanNo, "no upstream of release %q, which began the stream, serves %q now", b.Release, service)
	}
	return result.New(result.NoUpstream, result.RanNo, "no upstream serves %q now", service)
}
