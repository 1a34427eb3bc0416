package readahead

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// TestAnswersShareThePool guards against answers that together take more than the pool has,
// against memory that isn't returned, against a beginning that is taken for a whole answer, and
// against an answer that gets no free memory once it has no time to wait.
func TestAnswersShareThePool(t *testing.T) {
	const limit, pool = 4 * ownBytes, 9 * ownBytes
	for _, tc := range []struct {
		length, others int
		whole          bool
		bytes          int
	}{
		{0, 0, true, 0},
		{ownBytes - 1, pool, true, ownBytes - 1},
		{ownBytes, 0, true, ownBytes},
		{limit, 0, true, limit},
		{limit + 1, 0, false, limit + 1},
		{10 * limit, 0, false, limit + 1},
		{limit, pool, false, ownBytes},
		{limit, pool - 2*ownBytes, false, 2 * ownBytes},
	} {
		g := gomega.NewWithT(t)
		p := New(pool, 0)
		g.Expect(p.free.TryAcquire(int64(tc.others))).To(gomega.BeTrue())
		for _, reader := range []func(io.Reader) io.Reader{func(r io.Reader) io.Reader { return r }, iotest.HalfReader, iotest.DataErrReader} {
			a, err := p.Read(t.Context(), reader(bytes.NewReader(make([]byte, tc.length))), limit)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(a.Whole).To(gomega.Equal(tc.whole), "%+v", tc)
			g.Expect(len(a.Bytes)).To(gomega.Equal(tc.bytes), "%+v", tc)
			a.Release()
			a.Release()
		}
		a, err := p.Read(t.Context(), io.MultiReader(bytes.NewReader(make([]byte, min(tc.bytes, limit))), iotest.ErrReader(errors.New("reset"))), limit)
		g.Expect(err == nil).To(gomega.Equal(tc.others > 0 && tc.bytes >= ownBytes), "%+v", tc)
		a.Release()
		p.free.Release(int64(tc.others))
		g.Expect(p.free.TryAcquire(pool)).To(gomega.BeTrue(), "all memory is free again")
	}
}

// TestAnswersWaitForMemory guards against an answer that is lost though another one is about to
// return its memory.
func TestAnswersWaitForMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	const size = 4 * ownBytes
	p := New(size, time.Minute)
	first, err := p.Read(t.Context(), bytes.NewReader(make([]byte, 2*ownBytes-1)), size)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(p.free.TryAcquire(size - first.taken)).To(gomega.BeTrue())
	second := make(chan Answer)
	go func() {
		a, _ := p.Read(t.Context(), bytes.NewReader(make([]byte, 2*ownBytes-1)), size)
		second <- a
	}()
	g.Consistently(second).ShouldNot(gomega.Receive())
	first.Release()
	var a Answer
	g.Eventually(second).Should(gomega.Receive(&a))
	g.Expect(a.Whole).To(gomega.BeTrue())
}
