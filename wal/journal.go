// Package wal keeps a voter's state on disk: its identity, term and vote,
// log and snapshot. What Save has returned from survives a crash.
package wal

import (
	"os"
	"syscall"

	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/consensus"
	"github.com/hyssopladder/hyssopladder/result"
)

// The files of a data folder.
const (
	identityFile = "identity"
	logFile      = "log"
	snapshotFile = "snapshot"
	temporary    = ".tmp"
)

// Identity names a data folder for its whole life.
type Identity struct {
	ID consensus.ID `json:"i"`
	// Cluster is that of the cluster which the folder belongs to; 0 before it
	// belongs to one.
	Cluster uint64 `json:"c,omitempty"`
}

// Check verifies a decoded identity.
func (i *Identity) Check() error {
	if i.ID == consensus.None {
		return errors.New("identity without an ID")
	}
	return nil
}

// batch is the payload of a frame of the log.
type batch struct {
	State   *consensus.HardState `json:"s,omitempty"`
	Entries []consensus.Entry    `json:"e,omitempty"`
}

// Check verifies a decoded batch.
func (b *batch) Check() error {
	for i := 1; i < len(b.Entries); i++ {
		if b.Entries[i].Index != b.Entries[i-1].Index+1 {
			return errors.New("batch with a gap")
		}
	}
	return nil
}

type snapshot struct{ consensus.Snapshot }

// Check verifies a decoded snapshot.
func (s *snapshot) Check() error {
	if s.Index == 0 {
		return errors.New("snapshot without an index")
	}
	return s.Config.Check()
}

// Journal is an open data folder. It isn't safe for concurrent use. After an
// error of Save it takes no more: whether the data is on disk isn't known.
type Journal struct {
	fs       FS
	log      File
	size     int64
	identity Identity
	failed   error
}

// Open reads a data folder. newID gives the identity of a folder that is new.
// A torn tail of the log is cut off; damage before the tail is an error with
// code JournalDamaged.
func Open(fs FS, newID func() consensus.ID) (*Journal, consensus.Stored, error) {
	j := &Journal{fs: fs}
	stored := consensus.Stored{}
	if err := j.openIdentity(newID); err != nil {
		return nil, stored, err
	}
	if err := j.readSnapshot(&stored); err != nil {
		return nil, stored, err
	}
	data, err := fs.Read(logFile)
	if errors.Is(err, os.ErrNotExist) && j.identity.Cluster == 0 && stored.Snapshot.Index == 0 {
		return j, stored, j.rewrite(stored.State, nil)
	}
	if err != nil {
		return nil, stored, damaged("log: %v", err)
	}
	if err := j.replay(data, &stored); err != nil {
		return nil, stored, err
	}
	j.log, err = fs.Append(logFile)
	return j, stored, errors.Wrap(err, "open log")
}

func damaged(format string, args ...any) error {
	return result.New(result.JournalDamaged, result.RanNo, format, args...)
}

// openIdentity reads the folder's identity, or gives it one.
func (j *Journal) openIdentity(newID func() consensus.ID) error {
	data, err := j.fs.Read(identityFile)
	if errors.Is(err, os.ErrNotExist) {
		if _, err := j.fs.Read(logFile); err == nil {
			return damaged("the folder has a log but no identity")
		}
		j.identity = Identity{ID: newID()}
		return j.replace(identityFile, wire.MustEncode(&j.identity))
	}
	if err != nil {
		return damaged("identity: %v", err)
	}
	payload, _, ok := readFrame(data)
	if !ok {
		return damaged("identity: no whole record")
	}
	if err := wire.Decode(payload, &j.identity); err != nil {
		return damaged("identity: %v", err)
	}
	return nil
}

func (j *Journal) readSnapshot(stored *consensus.Stored) error {
	data, err := j.fs.Read(snapshotFile)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return damaged("snapshot: %v", err)
	}
	payload, _, ok := readFrame(data)
	if !ok {
		return damaged("snapshot: no whole record")
	}
	var s snapshot
	if err := wire.Decode(payload, &s); err != nil {
		return damaged("snapshot: %v", err)
	}
	stored.Snapshot = s.Snapshot
	return nil
}

// replay reads the frames of the log.
func (j *Journal) replay(data []byte, stored *consensus.Stored) error {
	for at := 0; at < len(data); {
		payload, length, ok := readFrame(data[at:])
		if !ok {
			if frameFollows(data[at:]) {
				return damaged("log: a record at byte %d is damaged, and whole ones follow it", at)
			}
			j.size = int64(at)
			return errors.Wrap(j.fs.Truncate(logFile, int64(at)), "cut torn tail")
		}
		var b batch
		if err := wire.Decode(payload, &b); err != nil {
			return damaged("log: record at byte %d: %v", at, err)
		}
		if err := merge(stored, b); err != nil {
			return err
		}
		at += length
		j.size = int64(at)
	}
	return nil
}

// merge adds a batch: its entries replace those from its first index on.
func merge(stored *consensus.Stored, b batch) error {
	if b.State != nil {
		stored.State = *b.State
	}
	if len(b.Entries) == 0 {
		return nil
	}
	first := b.Entries[0].Index
	for len(stored.Entries) > 0 && stored.Entries[len(stored.Entries)-1].Index >= first {
		stored.Entries = stored.Entries[:len(stored.Entries)-1]
	}
	if n := len(stored.Entries); n > 0 && stored.Entries[n-1].Index+1 != first {
		if first > stored.Snapshot.Index+1 {
			return damaged("log: entry %d after %d", first, stored.Entries[n-1].Index)
		}
		// A snapshot was installed between the two.
		stored.Entries = nil
	}
	stored.Entries = append(stored.Entries, b.Entries...)
	return nil
}

// Identity returns the folder's identity.
func (j *Journal) Identity() Identity { return j.identity }

// Size is the length of the log, in bytes.
func (j *Journal) Size() int64 { return j.size }

// Join makes the folder part of a cluster, for good.
func (j *Journal) Join(cluster uint64) error {
	j.identity.Cluster = cluster
	return j.guard(j.replace(identityFile, wire.MustEncode(&j.identity)))
}

// Save stores and syncs what a Ready asks for.
func (j *Journal) Save(r consensus.Ready) error {
	if j.failed != nil {
		return j.failed
	}
	if r.Snapshot != nil {
		state := r.State
		return j.Compact(*r.Snapshot, state, r.Entries)
	}
	b := batch{Entries: r.Entries}
	if r.StateChanged {
		b.State = &r.State
	}
	return j.guard(j.write(b))
}

func (j *Journal) write(b batch) error {
	frame := appendFrame(nil, wire.MustEncode(&b))
	if _, err := j.log.Write(frame); err != nil {
		return errors.Wrap(err, "write log")
	}
	if err := j.log.Sync(); err != nil {
		return errors.Wrap(err, "sync log")
	}
	j.size += int64(len(frame))
	return nil
}

// Compact stores a snapshot and starts the log anew with the state and the
// entries after it.
func (j *Journal) Compact(s consensus.Snapshot, state consensus.HardState, entries []consensus.Entry) error {
	if j.failed != nil {
		return j.failed
	}
	err := j.replace(snapshotFile, wire.MustEncode(&snapshot{s}))
	if err == nil {
		err = j.rewrite(state, entries)
	}
	return j.guard(err)
}

// rewrite replaces the log.
func (j *Journal) rewrite(state consensus.HardState, entries []consensus.Entry) error {
	payload := wire.MustEncode(&batch{State: &state, Entries: entries})
	if j.log != nil {
		_ = j.log.Close()
		j.log = nil
	}
	if err := j.replace(logFile, payload); err != nil {
		return err
	}
	j.size = int64(frameHeader + len(payload))
	log, err := j.fs.Append(logFile)
	j.log = log
	return errors.Wrap(err, "open log")
}

// replace puts a file of one frame in place of the old one, durably.
func (j *Journal) replace(name string, payload []byte) error {
	f, err := j.fs.Create(name + temporary)
	if err != nil {
		return errors.Wrapf(err, "create %s", name)
	}
	_, err = f.Write(appendFrame(nil, payload))
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = j.fs.Rename(name+temporary, name)
	}
	if err == nil {
		err = j.fs.SyncFolder()
	}
	return errors.Wrapf(err, "replace %s", name)
}

// guard remembers the first failure, with its numbered code.
func (j *Journal) guard(err error) error {
	if err == nil {
		return nil
	}
	code := result.JournalSyncFailed
	if errors.Is(err, syscall.ENOSPC) {
		code = result.JournalFull
	}
	j.failed = result.New(code, result.RanUnknown, "%v", err)
	return j.failed
}

// Close closes the log and releases the folder.
func (j *Journal) Close() error {
	if j.log != nil {
		_ = j.log.Close()
	}
	return j.fs.Close()
}
