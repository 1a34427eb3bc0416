package ingress

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/call"
	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/control"
	"github.com/hyssopladder/hyssopladder/link"
	"github.com/hyssopladder/hyssopladder/origin"
	"github.com/hyssopladder/hyssopladder/peer"
)

// TestOriginOfALongStreamIsKept has a stream that goes on for longer than origins are
// kept: its caller may still take it up.
func TestOriginOfALongStreamIsKept(t *testing.T) {
	g := gomega.NewWithT(t)
	var nanos atomic.Int64
	nanos.Store(int64(time.Hour))
	read := func() clock.Instant { return clock.Instant(nanos.Load()) }
	in := &Ingress{
		options: Options{Clock: read}, origins: origin.New(),
		link: link.New(t.Context(), link.Options{Clock: read, PeerClient: peer.NewClient(), BuildUsageReport: func() control.AccountRequest { return control.AccountRequest{} }}),
	}
	d := &forwarding{in: in, r: &request{Request: call.Request{ID: "r1"}}, origin: &origin.Origin{Service: "s", Release: "v1"}}
	d.tellOrigin()
	began := read()
	for read()-began < 5*origin.Retention {
		nanos.Add(int64(time.Second))
		d.keepOrigin()
		o, ok := in.origins.Find(read(), origin.StreamOf("", "r1"))
		g.Expect(ok).To(gomega.BeTrue(), "after %v", read()-began)
		g.Expect(o).To(gomega.Equal(*d.origin))
	}
	nanos.Add(int64(3 * origin.Retention))
	_, ok := in.origins.Find(read(), origin.StreamOf("", "r1"))
	g.Expect(ok).To(gomega.BeFalse())
}
