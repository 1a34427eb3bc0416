package wal

import (
	"os"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"
)

// Spool keeps records that are of use for a while only, in two files, of which the
// older one is dropped at each Turn. Unlike a Journal it goes on after damage and
// failed writes, without the records that these cost. It isn't safe for concurrent use.
type Spool struct {
	fs   FS
	name string
	// file is the current file, nil until it is opened, and again after a failed write.
	file File
	// size is the length of the current file's intact part.
	size int64
}

// oldSuffix ends the name of the older file.
const oldSuffix = ".old"

// OpenSpool reads the files, and returns the records of both, the oldest first. It
// writes nothing: each Append opens the file if it isn't open yet. The spool can be used
// after an error too; what couldn't be read is lost.
func OpenSpool(fs FS, name string) (*Spool, [][]byte, error) {
	older, _, olderErr := readRecords(fs, name+oldSuffix)
	current, size, err := readRecords(fs, name)
	if err == nil {
		err = olderErr
	}
	return &Spool{fs: fs, name: name, size: size}, append(older, current...), err
}

// readRecords returns the records of a file up to the first damage, and their length in
// the file. A file that doesn't exist has none.
func readRecords(fs FS, name string) (records [][]byte, size int64, err error) {
	data, err := fs.Read(name)
	if errors.Is(err, os.ErrNotExist) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, errors.Wrapf(err, "read %s", name)
	}
	rest := data
	for {
		payload, length, ok := readFrame(rest)
		if !ok {
			break
		}
		records = append(records, payload)
		rest = rest[length:]
	}
	if len(rest) > 0 {
		klog.InfoS("end of a spool dropped", "file", name, "bytes", len(rest), "records", len(records))
	}
	return records, int64(len(data) - len(rest)), nil
}

// open opens the current file for appending after its intact part, unless it is open.
// What follows that is cut, or no later record would be read again.
func (s *Spool) open() error {
	if s.file != nil {
		return nil
	}
	file, err := s.fs.Append(s.name)
	if err != nil {
		return errors.Wrapf(err, "open %s", s.name)
	}
	if err := s.fs.Truncate(s.name, s.size); err != nil {
		_ = file.Close()
		return errors.Wrapf(err, "truncate %s", s.name)
	}
	if err := s.fs.SyncFolder(); err != nil {
		_ = file.Close()
		return errors.Wrapf(err, "sync the folder of %s", s.name)
	}
	s.file = file
	return nil
}

// Append writes and syncs the records.
func (s *Spool) Append(records ...[]byte) error {
	if err := s.open(); err != nil {
		return err
	}
	var b []byte
	for _, r := range records {
		b = appendFrame(b, r)
	}
	_, err := s.file.Write(b)
	if err == nil {
		err = s.file.Sync()
	}
	if err != nil {
		s.close()
		return errors.Wrapf(err, "append to %s", s.name)
	}
	s.size += int64(len(b))
	return nil
}

// Turn drops the older file, and begins a new one.
func (s *Spool) Turn() error {
	if err := s.open(); err != nil {
		return err
	}
	s.close()
	if err := s.fs.Rename(s.name, s.name+oldSuffix); err != nil {
		return errors.Wrapf(err, "turn %s", s.name)
	}
	s.size = 0
	return s.open()
}

// close closes the current file; the next record opens it again. What a failing Close
// could lose has been synced, or is cut.
func (s *Spool) close() {
	_ = s.file.Close()
	s.file = nil
}
