// Package wal stores the state of a consensus member in a data folder: its
// identity, term and vote, log and snapshot. What Save has stored without an
// error survives a crash.
//
// The log file is a sequence of frames, each with one batch of changes. The
// identity and snapshot files hold one frame each and are replaced as a whole.
package wal

import (
	"os"
	"syscall"

	"github.com/pkg/errors"

	"github.com/hyssopladder/hyssopladder/common/wire"
	"github.com/hyssopladder/hyssopladder/consensus"
	"github.com/hyssopladder/hyssopladder/founding"
	"github.com/hyssopladder/hyssopladder/result"
)

// Files of a data folder.
const (
	identityFile    = "identity"
	logFile         = "log"
	snapshotFile    = "snapshot"
	temporarySuffix = ".tmp"
)

// Identity identifies a data folder; its ID never changes.
type Identity struct {
	ID consensus.ID `json:"i"`
	// Cluster identifies the cluster that the folder belongs to; 0 before it
	// has joined one.
	Cluster uint64 `json:"c,omitempty"`
	// Word is what the folder's keeper has given its word for in a founding; nil if nothing.
	Word *founding.Word `json:"w,omitempty"`
}

// Check validates a decoded identity.
func (i *Identity) Check() error {
	if i.ID == consensus.None {
		return errors.New("identity without an ID")
	}
	if i.Word != nil {
		return i.Word.Check()
	}
	return nil
}

// batch is the payload of one frame of the log: the new term and vote, and new
// entries.
type batch struct {
	State   *consensus.HardState `json:"s,omitempty"`
	Entries []consensus.Entry    `json:"e,omitempty"`
}

// Check validates a decoded batch.
func (b *batch) Check() error {
	for i := 1; i < len(b.Entries); i++ {
		if b.Entries[i].Index != b.Entries[i-1].Index+1 {
			return errors.New("the entries of a batch aren't consecutive")
		}
	}
	return nil
}

// snapshot is the payload of the snapshot file.
type snapshot struct{ consensus.Snapshot }

// Check validates a decoded snapshot.
func (s *snapshot) Check() error {
	if s.Index == 0 {
		return errors.New("snapshot without an index")
	}
	return s.Config.Check()
}

// Journal is an open data folder. It isn't safe for concurrent use. After a
// failed write Save and Compact return its error and write nothing, since it
// isn't known what is on disk. The exception is a full disk: what it held before
// is still there, and a later call may succeed (see IsFull).
type Journal struct {
	fs FS
	// log is nil until something is appended to it.
	log      File
	size     int64
	identity Identity
	failure  error
	// hasTornTail says that bytes of a write or a sync that failed follow the log's
	// frames.
	hasTornTail bool
	// unsettled is the content of a new log of which it isn't known whether a crash
	// leaves it or the one before, since the folder couldn't be synced; nil if it is.
	// It is written anew before anything else is saved.
	unsettled []byte
}

// IsFull reports whether an error of Save, Compact or Join says that the disk is
// full. Then what was stored before is intact, and the same call may be repeated.
func IsFull(err error) bool {
	return err != nil && result.From(err).Code == result.JournalFull
}

// errFull is the cause of an error that IsFull recognises.
var errFull = errors.New("the disk is full")

// isNoSpace reports whether the operating system refused an operation for want of room. A
// limit on the size of files counts as such: it can be raised while the process runs, and a
// compaction makes the log smaller.
func isNoSpace(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EFBIG)
}

// Open reads a data folder. newID returns the ID for a new folder. A torn tail
// of the log is dropped; damage before the tail is an
// error with code JournalDamaged. A new folder on a full disk is an error with code
// JournalFull.
func Open(fs FS, newID func() consensus.ID) (*Journal, consensus.Stored, error) {
	j := &Journal{fs: fs}
	stored := consensus.Stored{}
	for _, name := range []string{identityFile, snapshotFile, logFile} {
		if left, err := fs.Read(name + temporarySuffix); err == nil && len(left) > 0 {
			j.emptyTemporary(name)
		}
	}
	if err := j.loadOrCreateIdentity(newID); err != nil {
		return nil, stored, withCode(err)
	}
	if err := j.readSnapshot(&stored); err != nil {
		return nil, stored, err
	}
	data, err := fs.Read(logFile)
	if errors.Is(err, os.ErrNotExist) && j.identity.Cluster == 0 && stored.Snapshot.Index == 0 {
		return j, stored, withCode(j.replaceLog(stored.State, nil))
	}
	if err != nil {
		return nil, stored, damaged("log: %v", err)
	}
	if err := j.replay(data, &stored); err != nil {
		return nil, stored, err
	}
	// The process before may have been refused a sync: what it wrote can be read, and
	// yet may not be on the disk.
	j.unsettled = data[:j.size:j.size]
	err = j.prepareLog()
	stored.Unsettled = errors.Is(err, errFull)
	if err != nil && !stored.Unsettled {
		return nil, stored, err
	}
	return j, stored, nil
}

// withCode gives the error of a full disk its result code.
func withCode(err error) error {
	if errors.Is(err, errFull) {
		return result.New(result.JournalFull, result.RanNo, "%v", err)
	}
	return err
}

func damaged(format string, args ...any) error {
	return result.New(result.JournalDamaged, result.RanNo, format, args...)
}

// loadOrCreateIdentity reads the folder's identity, or creates that of a new
// folder.
func (j *Journal) loadOrCreateIdentity(newID func() consensus.ID) error {
	data, err := j.fs.Read(identityFile)
	if errors.Is(err, os.ErrNotExist) {
		if _, err := j.fs.Read(logFile); err == nil {
			return damaged("the data folder has a log file but no identity file")
		}
		j.identity = Identity{ID: newID()}
		return j.replaceFile(identityFile, wire.MustEncode(&j.identity))
	}
	if err != nil {
		return damaged("identity: %v", err)
	}
	payload, _, ok := readFrame(data)
	if !ok {
		return damaged("identity: the record is incomplete or damaged")
	}
	if err := wire.Decode(payload, &j.identity); err != nil {
		return damaged("identity: %v", err)
	}
	if j.identity.Cluster != 0 {
		return nil
	}
	if _, err := j.fs.Read(logFile); errors.Is(err, os.ErrNotExist) {
		// The first start wasn't completed, perhaps as the sync of this file was refused.
		return j.replaceFile(identityFile, payload)
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
		return damaged("snapshot: the record is incomplete or damaged")
	}
	var s snapshot
	if err := wire.Decode(payload, &s); err != nil {
		return damaged("snapshot: %v", err)
	}
	stored.Snapshot = s.Snapshot
	return nil
}

// replay reads the frames of the log up to a torn tail.
func (j *Journal) replay(data []byte, stored *consensus.Stored) error {
	for offset := 0; offset < len(data); {
		payload, length, ok := readFrame(data[offset:])
		if !ok {
			if hasLaterFrame(data[offset:]) {
				return damaged("log: the record at byte %d is damaged, and intact records follow it", offset)
			}
			j.size, j.hasTornTail = int64(offset), true
			return nil
		}
		var b batch
		if err := wire.Decode(payload, &b); err != nil {
			return damaged("log: record at byte %d: %v", offset, err)
		}
		if err := applyBatch(stored, b); err != nil {
			return err
		}
		offset += length
		j.size = int64(offset)
	}
	return nil
}

// applyBatch adds a batch to the stored state. Its entries replace those from
// its first index on.
func applyBatch(stored *consensus.Stored, b batch) error {
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
			return damaged("log: entry %d follows entry %d", first, stored.Entries[n-1].Index)
		}
		// A snapshot was installed between the two entries.
		stored.Entries = nil
	}
	stored.Entries = append(stored.Entries, b.Entries...)
	return nil
}

// Identity returns the folder's identity.
func (j *Journal) Identity() Identity { return j.identity }

// Size returns the length of the log file, in bytes.
func (j *Journal) Size() int64 { return j.size }

// Join permanently records the cluster that the folder belongs to.
func (j *Journal) Join(cluster uint64) error {
	if j.failure != nil {
		return j.failure
	}
	if err := j.prepareLog(); err != nil {
		// A folder that belongs to a cluster has to have a log.
		return j.recordFailure(err)
	}
	joined := j.identity
	joined.Cluster = cluster
	return j.replaceIdentity(joined)
}

// GiveWord permanently records what the folder's keeper has given its word for.
func (j *Journal) GiveWord(w founding.Word) error {
	if j.failure != nil {
		return j.failure
	}
	given := j.identity
	given.Word = &w
	return j.replaceIdentity(given)
}

func (j *Journal) replaceIdentity(next Identity) error {
	if err := j.replaceFile(identityFile, wire.MustEncode(&next)); err != nil {
		return j.recordFailure(err)
	}
	j.identity = next
	return nil
}

// Save stores and syncs the state, snapshot and entries of a Ready.
func (j *Journal) Save(r consensus.Ready) error {
	if j.failure != nil {
		return j.failure
	}
	if r.Snapshot != nil {
		state := r.State
		return j.Compact(*r.Snapshot, state, r.Entries)
	}
	b := batch{Entries: r.Entries}
	if r.StateChanged {
		b.State = &r.State
	}
	return j.recordFailure(j.appendBatch(b))
}

func (j *Journal) appendBatch(b batch) error {
	if err := j.prepareLog(); err != nil {
		return err
	}
	frame := appendFrame(nil, wire.MustEncode(&b))
	operation := "write log"
	_, err := j.log.Write(frame)
	if err == nil {
		operation = "sync log"
		// After a failed sync the same sync may succeed without having stored
		// anything: the frame is cut and written again.
		err = j.log.Sync()
	}
	if err != nil {
		j.hasTornTail = true
		err = wrapFull(err, operation)
		if errors.Is(err, errFull) {
			if cutErr := j.truncateTail(); cutErr != nil && !errors.Is(cutErr, errFull) {
				return cutErr
			}
		}
		return err
	}
	j.size += int64(len(frame))
	return nil
}

// prepareLog makes the log end with its last intact frame, under its name and durably,
// and opens it.
func (j *Journal) prepareLog() error {
	if j.unsettled != nil {
		if err := j.replaceLogBy(j.unsettled); err != nil {
			return err
		}
	}
	if err := j.truncateTail(); err != nil {
		return err
	}
	if j.log != nil {
		return nil
	}
	log, err := j.fs.Append(logFile)
	if err != nil {
		return wrapFull(err, "open log")
	}
	j.log = log
	return nil
}

// truncateTail removes what a failed write left behind the log's frames.
func (j *Journal) truncateTail() error {
	if !j.hasTornTail {
		return nil
	}
	if err := j.fs.Truncate(logFile, j.size); err != nil {
		return wrapFull(err, "truncate log")
	}
	j.hasTornTail = false
	return nil
}

// Compact stores a snapshot and starts a new log with the given state and
// entries.
func (j *Journal) Compact(s consensus.Snapshot, state consensus.HardState, entries []consensus.Entry) error {
	if j.failure != nil {
		return j.failure
	}
	err := j.replaceFile(snapshotFile, wire.MustEncode(&snapshot{s}))
	if err == nil {
		err = j.replaceLog(state, entries)
	}
	return j.recordFailure(err)
}

// replaceLog replaces the log file by one with a single batch.
func (j *Journal) replaceLog(state consensus.HardState, entries []consensus.Entry) error {
	return j.replaceLogBy(appendFrame(nil, wire.MustEncode(&batch{State: &state, Entries: entries})))
}

// replaceLogBy replaces the log file by one with the content.
func (j *Journal) replaceLogBy(content []byte) error {
	renamed, err := j.replaceContent(logFile, content)
	if !renamed {
		return err
	}
	if j.log != nil {
		_ = j.log.Close()
		j.log = nil
	}
	j.unsettled = nil
	j.hasTornTail = false
	j.size = int64(len(content))
	if err != nil {
		j.unsettled = content
	}
	return err
}

// replaceFile durably replaces a file by one with a single frame.
func (j *Journal) replaceFile(name string, payload []byte) error {
	_, err := j.replaceContent(name, appendFrame(nil, payload))
	return err
}

// replaceContent durably replaces a file by one with the content. After an error renamed
// says that the new file may be found after a crash; it may be the old one too.
func (j *Journal) replaceContent(name string, content []byte) (renamed bool, err error) {
	if err := j.writeTemporary(name, content); err != nil {
		return false, err
	}
	if err := j.fs.Rename(name+temporarySuffix, name); err != nil {
		j.emptyTemporary(name)
		return false, wrapFull(err, "rename "+name)
	}
	return true, wrapFull(j.fs.SyncFolder(), "sync the folder of "+name)
}

// writeTemporary writes and syncs the file that is to replace another.
func (j *Journal) writeTemporary(name string, content []byte) error {
	f, err := j.fs.Create(name + temporarySuffix)
	if err != nil {
		return wrapFull(err, "create "+name)
	}
	_, err = f.Write(content)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		j.emptyTemporary(name)
	}
	return wrapFull(err, "replace "+name)
}

// emptyTemporary gives back the room of a file that replaces no other, or else the rest
// of a full disk would be lost to the log.
func (j *Journal) emptyTemporary(name string) {
	if f, err := j.fs.Create(name + temporarySuffix); err == nil {
		_ = f.Close()
	}
}

// wrapFull wraps an error, which matches errFull if it says that the disk is full.
func wrapFull(err error, message string) error {
	if isNoSpace(err) {
		return errors.Wrapf(errFull, "%s: %v", message, err)
	}
	return errors.Wrap(err, message)
}

// recordFailure keeps a failure, with its result code, as the answer to later
// calls of Save and Compact, unless the disk was full.
func (j *Journal) recordFailure(err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, errFull) {
		return withCode(err)
	}
	j.failure = result.New(result.JournalSyncFailed, result.RanUnknown, "%v", err)
	return j.failure
}

// Close closes the log and unlocks the folder.
func (j *Journal) Close() error {
	if j.log != nil {
		_ = j.log.Close()
	}
	return j.fs.Close()
}
