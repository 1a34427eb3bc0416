package peer

import (
	"net/netip"
	"testing"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/hyssopladder/hyssopladder/common/cuttest"
	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/peer/rpc"
)

// cutReply is a reply whose fields may all be missing.
type cutReply struct {
	Revision uint64 `json:"revision,omitempty"`
	Name     string `json:"name,omitempty"`
}

// Check implements wire.Checker.
func (cutReply) Check() error { return nil }

// TestCutRepliesAreErrors guards against a reply with missing or shorter fields, of which
// only a part has come.
func TestCutRepliesAreErrors(t *testing.T) {
	g := gomega.NewWithT(t)
	want := cutReply{Revision: 70000, Name: "node"}
	frame, err := proto.Marshal(&rpc.Frame{Body: wire.MustEncode(want)})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	cuttest.Each(t, "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n", string(frame), func(t *testing.T, server netip.AddrPort, c *cuttest.Cut) {
		g, about := gomega.NewWithT(t), c.String()
		var got cutReply
		err := NewClient().Call(t.Context(), server, Read, struct{}{}, &got)
		if body, whole := c.Whole(); !whole || body != c.Body {
			g.Expect(err).To(gomega.HaveOccurred(), about)
			return
		}
		g.Expect(err).NotTo(gomega.HaveOccurred(), about)
		g.Expect(got).To(gomega.Equal(want))
	})
}
