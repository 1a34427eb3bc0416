package fleet

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestDocumentsAreReadByFewUpstreams guards against recomputing shared prompt
// prefixes: long requests share 165 documents, each requested every few seconds
// through any of six entries, next to short urgent requests. Most shared tokens
// must be cache hits, and the urgent requests must not be late.
func TestDocumentsAreReadByFewUpstreams(t *testing.T) {
	g := gomega.NewWithT(t)
	drafts := &requestKind{perSecond: 25, rank: 6, target: 2500 * time.Millisecond, commonTokens: 528, documents: 165, documentTokens: 4700, ownTokens: 6600, outputTokens: 384}
	chats := &requestKind{perSecond: 40, rank: 0, target: 500 * time.Millisecond, commonTokens: 113, documents: 177, documentTokens: 78, ownTokens: 610, outputTokens: 294}
	tags := &requestKind{perSecond: 36, rank: 3, target: 600 * time.Millisecond, commonTokens: 386, documents: 164, documentTokens: 205, ownTokens: 1600, outputTokens: 24}
	e := newEmulation(3, 6, 14, drafts, chats, tags)
	e.simulate(20*second, 60*second)
	recomputed := float64(e.recomputedTokens) / float64(e.sharedTokens)
	t.Logf("recomputed %.3f of the shared tokens; refused %d", recomputed, e.refused)
	for name, k := range map[string]*requestKind{"drafts": drafts, "chats": chats, "tags": tags} {
		t.Logf("%s: %d answered, %d late, median first token %v, 99th percentile %v", name, k.answered, k.late, k.percentile(0.5), k.percentile(0.99))
	}
	g.Expect(recomputed).To(gomega.BeNumerically("<", 0.25))
	g.Expect(float64(chats.late) / float64(chats.answered)).To(gomega.BeNumerically("<", 0.02))
	g.Expect(float64(drafts.late) / float64(drafts.answered)).To(gomega.BeNumerically("<", 0.02))
}

// TestAHotDocumentIsSpread guards against sending all requests for one document
// to one upstream: more than half of the long requests share one, which is more
// than a single upstream can process. Few may be late.
func TestAHotDocumentIsSpread(t *testing.T) {
	g := gomega.NewWithT(t)
	hot := &requestKind{perSecond: 14, rank: 6, target: 2500 * time.Millisecond, commonTokens: 528, documents: 1, documentTokens: 4700, ownTokens: 6600, outputTokens: 384}
	drafts := &requestKind{perSecond: 11, rank: 6, target: 2500 * time.Millisecond, commonTokens: 528, documents: 165, documentTokens: 4700, ownTokens: 6600, outputTokens: 384}
	chats := &requestKind{perSecond: 40, rank: 0, target: 500 * time.Millisecond, commonTokens: 113, documents: 177, documentTokens: 78, ownTokens: 610, outputTokens: 294}
	e := newEmulation(4, 6, 14, hot, drafts, chats)
	e.simulate(20*second, 60*second)
	t.Logf("recomputed %.3f of the shared tokens; refused %d", float64(e.recomputedTokens)/float64(e.sharedTokens), e.refused)
	for name, k := range map[string]*requestKind{"hot": hot, "drafts": drafts, "chats": chats} {
		t.Logf("%s: %d answered, %d late, median first token %v, 99th percentile %v", name, k.answered, k.late, k.percentile(0.5), k.percentile(0.99))
		g.Expect(float64(k.late) / float64(k.answered)).To(gomega.BeNumerically("<", 0.02))
	}
	g.Expect(e.refused).To(gomega.BeZero())
}
