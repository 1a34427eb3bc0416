// Package readahead reads answers ahead of their callers into memory that all of them share,
// so that many long ones at once don't exhaust a process.
package readahead

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"
)

// ownBytes is what each answer may take whatever the others have taken.
const ownBytes = 16 << 10

// Pool is the memory that answers share beyond their own bytes. It is safe for concurrent use.
type Pool struct {
	free *semaphore.Weighted
	wait time.Duration
}

// New returns a pool of the size, in bytes. An answer for which nothing is left waits for others
// to return theirs, for that long in all; answers may also wait for each other.
func New(size int64, wait time.Duration) *Pool {
	return &Pool{free: semaphore.NewWeighted(size), wait: wait}
}

// Answer is the beginning of an answer, or all of it.
type Answer struct {
	Bytes []byte
	// Whole says that the answer has no more bytes, and no more than the limit.
	Whole bool
	pool  *Pool
	taken int64
	// waited is how long the answer has waited for memory.
	waited time.Duration
}

// Release returns the memory to the pool. The bytes aren't to be used any more.
func (a *Answer) Release() {
	if a.taken > 0 {
		a.pool.free.Release(a.taken)
	}
	a.Bytes, a.taken = nil, 0
}

// Read reads up to limit bytes of an answer and one more, which tells a longer answer from one of
// that size, or fewer if the pool is used up. The error is that of the reader, in which case
// the memory is returned. The end of ctx ends a wait for memory.
func (p *Pool) Read(ctx context.Context, r io.Reader, limit int) (Answer, error) {
	a := Answer{pool: p, Bytes: make([]byte, 0, min(ownBytes, limit+1))}
	for {
		if len(a.Bytes) == cap(a.Bytes) && !a.grow(ctx, limit) {
			return a, nil
		}
		n, err := r.Read(a.Bytes[len(a.Bytes):cap(a.Bytes)])
		a.Bytes = a.Bytes[:len(a.Bytes)+n]
		switch {
		case errors.Is(err, io.EOF):
			a.Whole = len(a.Bytes) <= limit
			return a, nil
		case err != nil:
			a.Release()
			return Answer{}, err
		}
	}
}

// grow makes room for more bytes, and reports whether it did.
func (a *Answer) grow(ctx context.Context, limit int) bool {
	size := min(2*cap(a.Bytes), limit+1)
	if size <= cap(a.Bytes) {
		return false
	}
	// Both copies exist for a moment.
	if !a.take(ctx, int64(size)) {
		return false
	}
	grown := make([]byte, len(a.Bytes), size)
	copy(grown, a.Bytes)
	a.Bytes = grown
	if a.taken > 0 {
		a.pool.free.Release(a.taken)
	}
	a.taken = int64(size)
	return true
}

// take takes memory from the pool, at once if there is enough, and reports whether it did.
func (a *Answer) take(ctx context.Context, size int64) bool {
	if a.pool.free.TryAcquire(size) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, a.pool.wait-a.waited)
	defer cancel()
	began := time.Now()
	err := a.pool.free.Acquire(ctx, size)
	a.waited += time.Since(began)
	return err == nil
}
