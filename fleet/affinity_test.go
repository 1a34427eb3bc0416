package fleet

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestDocumentsAreReadByFewUpstreams is the load of a service whose long
// requests share 165 documents, each asked for every few seconds through any of
// six entries, beside short urgent ones. Most of what is shared is found where
// it was read before, and the urgent ones don't wait for it.
func TestDocumentsAreReadByFewUpstreams(t *testing.T) {
	g := gomega.NewWithT(t)
	drafts := &kind{perSecond: 25, rank: 6, target: 2500 * time.Millisecond, common: 528, documents: 165, document: 4700, own: 6600, output: 384}
	chats := &kind{perSecond: 40, rank: 0, target: 500 * time.Millisecond, common: 113, documents: 177, document: 78, own: 610, output: 294}
	tags := &kind{perSecond: 36, rank: 3, target: 600 * time.Millisecond, common: 386, documents: 164, document: 205, own: 1600, output: 24}
	e := newEmulation(3, 6, 14, drafts, chats, tags)
	e.play(20*second, 60*second)
	again := float64(e.again) / float64(e.shared)
	t.Logf("read again %.3f of the shared tokens; refused %d", again, e.refused)
	for name, k := range map[string]*kind{"drafts": drafts, "chats": chats, "tags": tags} {
		t.Logf("%s: %d answered, %d late, first token %v in the median, %v at 99%%", name, k.answered, k.late, k.percentile(0.5), k.percentile(0.99))
	}
	g.Expect(again).To(gomega.BeNumerically("<", 0.25))
	g.Expect(float64(chats.late) / float64(chats.answered)).To(gomega.BeNumerically("<", 0.02))
	g.Expect(float64(drafts.late) / float64(drafts.answered)).To(gomega.BeNumerically("<", 0.02))
}

// TestAHotDocumentIsSpread has half of the long requests ask for one document:
// more than one upstream can read. None of them is late.
func TestAHotDocumentIsSpread(t *testing.T) {
	g := gomega.NewWithT(t)
	hot := &kind{perSecond: 14, rank: 6, target: 2500 * time.Millisecond, common: 528, documents: 1, document: 4700, own: 6600, output: 384}
	drafts := &kind{perSecond: 11, rank: 6, target: 2500 * time.Millisecond, common: 528, documents: 165, document: 4700, own: 6600, output: 384}
	chats := &kind{perSecond: 40, rank: 0, target: 500 * time.Millisecond, common: 113, documents: 177, document: 78, own: 610, output: 294}
	e := newEmulation(4, 6, 14, hot, drafts, chats)
	e.play(20*second, 60*second)
	t.Logf("read again %.3f of the shared tokens; refused %d", float64(e.again)/float64(e.shared), e.refused)
	for name, k := range map[string]*kind{"hot": hot, "drafts": drafts, "chats": chats} {
		t.Logf("%s: %d answered, %d late, first token %v in the median, %v at 99%%", name, k.answered, k.late, k.percentile(0.5), k.percentile(0.99))
		g.Expect(float64(k.late) / float64(k.answered)).To(gomega.BeNumerically("<", 0.02))
	}
	g.Expect(e.refused).To(gomega.BeZero())
}
