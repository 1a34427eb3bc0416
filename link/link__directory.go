package link

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/hyssopladder/hyssopladder/common/clock"
	"github.com/hyssopladder/hyssopladder/control"
)

// standStill is a time that no call for the directory takes, and that doesn't pass between
// the ends of two, whether they fail or not, unless the entry itself stood still.
const standStill = 2 * syncTimeout

// wakeTimeout bounds the wait for the first answer after a stand-still: a failed call is
// repeated after firstRetryDelay, and keepers answer at once with the whole directory.
const wakeTimeout = 500 * time.Millisecond

// maxDirectoryGap is how long no keeper may have answered for the directory to count as
// followed all the time. Keepers list upstreams that have ended for longer.
const maxDirectoryGap = 10 * time.Second

// syncOnce makes one call. If the entry stood still meanwhile, the next one gets the whole
// directory, as a keeper answers that at once.
func (l *Link) syncOnce(ctx context.Context, cursor *directoryCursor) error {
	askedAt := l.options.Clock()
	err := l.follow(ctx, askedAt, cursor)
	if !l.endTry(askedAt) {
		klog.InfoS("the entry stood still during a call to a keeper", "keeper", cursor.address, "for", l.options.Clock()-askedAt)
		cursor.source, cursor.generation = 0, 0
	}
	return err
}

// endTry records the end of a call for the directory. It returns false if the entry stood
// still meanwhile, so that the outcome says nothing of the present.
func (l *Link) endTry(askedAt clock.Instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Clock()
	if now-askedAt > standStill {
		return false
	}
	l.triedAt = now
	close(l.tried)
	l.tried = make(chan struct{})
	return true
}

// stoodStill reports whether the entry has stood still since a call for the directory last
// ended, and returns what is closed when the next one ends.
func (l *Link) stoodStill(now clock.Instant) (tried <-chan struct{}, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tried, l.triedAt > 0 && now-l.triedAt > standStill
}

// AwaitDirectory returns at once, unless the entry has stood still: then it waits until a
// keeper that was asked since has answered or failed to. Meanwhile upstreams may have
// started again with another release, or ended.
func (l *Link) AwaitDirectory(ctx context.Context) {
	now := l.options.Clock()
	tried, ok := l.stoodStill(now)
	if !ok {
		return
	}
	bound := time.NewTimer(wakeTimeout)
	defer bound.Stop()
	answered := false
	select {
	case <-tried:
		answered = true
	case <-bound.C:
	case <-ctx.Done():
	}
	klog.InfoS("waited for the directory after a stand-still", "waited", l.options.Clock()-now, "answered", answered)
}

// follow makes one call and applies what the keeper answers.
func (l *Link) follow(ctx context.Context, askedAt clock.Instant, cursor *directoryCursor) error {
	reply, err := l.callSync(ctx, cursor.address, control.SyncRequest{Source: cursor.source, Generation: cursor.generation})
	if err != nil {
		return err
	}
	// Upstreams of a new release aren't used before the view that names it.
	l.applyRollouts(askedAt, reply)
	if len(reply.Members) > 0 {
		l.options.OnMembers(reply.Members)
	}
	cursor.source, cursor.generation = reply.Source, reply.Generation
	if err := l.applyReply(askedAt, cursor.address, reply); err != nil {
		return err
	}
	l.synced.Store(true)
	l.noteServing()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.followDirectory(askedAt)
	wall, ok := l.keeperWalls[cursor.address]
	if !ok {
		wall = &clock.Wall{}
		l.keeperWalls[cursor.address] = wall
	}
	wall.Observe(l.options.Clock(), reply.Wall)
	return nil
}

// followDirectory records that a keeper which was asked at askedAt has brought the
// directory up to date: the entry may have stood still before it read the answer. The
// caller holds l.mu.
func (l *Link) followDirectory(askedAt clock.Instant) {
	if l.directoryAt == 0 || askedAt-l.directoryAt > maxDirectoryGap {
		l.directorySince = askedAt
	}
	l.directoryAt = max(l.directoryAt, askedAt)
}

// DirectoryFollowed is for how long the directory has been followed without a gap; 0 if
// it isn't now.
func (l *Link) DirectoryFollowed() time.Duration {
	now := l.options.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.directoryAt == 0 || now-l.directoryAt > maxDirectoryGap {
		return 0
	}
	return now - l.directorySince
}
