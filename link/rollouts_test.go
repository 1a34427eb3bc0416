package link

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/control"
	"github.com/hyssopladder/hyssopladder/rollout"
)

// TestRolloutViewsAndConfirmationsOnlyRise guards against replies that the two loops get out of
// order: an older view came back into force, a confirmation was passed on before the view that it
// holds for, and one of a keeper without a majority counted. A version that is named before its
// view is in force would be confirmed for the view before.
func TestRolloutViewsAndConfirmationsOnlyRise(t *testing.T) {
	g := gomega.NewWithT(t)
	var got string
	l := &Link{}
	l.options.OnRollouts = func(v rollout.View) { got += fmt.Sprintf("view %d after %d ", v.Version, l.rollouts.version) }
	l.options.OnRolloutsConfirmed = func(at clock.Instant) { got += fmt.Sprint("confirmed ", at) }
	for _, c := range []struct {
		askedAt time.Duration
		view    uint64
		quorum  control.Quorum
		want    string
	}{
		{2, 5, control.QuorumConfirmed, "view 5 after 0 confirmed 2ns"},
		{1, 4, control.QuorumConfirmed, ""},
		{3, 5, control.QuorumMissed, ""},
		{4, 0, control.QuorumConfirmed, "confirmed 4ns"},
		{5, 6, control.QuorumUnasked, "view 6 after 5 "},
		{3, 7, control.QuorumConfirmed, "view 7 after 6 "},
	} {
		got = ""
		l.applyRollouts(c.askedAt, &control.SyncReply{Quorum: c.quorum, Rollouts: &rollout.View{Version: c.view}})
		g.Expect(got).To(gomega.Equal(c.want), "%+v", c)
	}
}
