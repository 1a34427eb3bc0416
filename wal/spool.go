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
	file File
	// size is the length of the current file's intact part. If broken is set, the file may
	// have more than that, which has to be cut before the next record.
	size   int64
	broken bool
}

// oldSuffix ends the name of the older file.
const oldSuffix = ".old"

// OpenSpool opens the files, and returns the records of both, the oldest first.
func OpenSpool(fs FS, name string) (*Spool, [][]byte, error) {
	s := &Spool{fs: fs, name: name}
	records, _, err := readRecords(fs, name+oldSuffix)
	if err != nil {
		return nil, nil, err
	}
	current, size, err := readRecords(fs, name)
	if err != nil {
		return nil, nil, err
	}
	s.size = size
	// What follows the intact part is cut, or no later record would be read again.
	if err := s.open(); err != nil {
		return nil, nil, err
	}
	return s, append(records, current...), nil
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

// open opens the current file for appending after its intact part.
func (s *Spool) open() error {
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
	if err := s.repair(); err != nil {
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
		s.broken = true
		return errors.Wrapf(err, "append to %s", s.name)
	}
	s.size += int64(len(b))
	return nil
}

// repair makes the current file ready for the next record.
func (s *Spool) repair() error {
	if s.file == nil {
		return s.open()
	}
	if !s.broken {
		return nil
	}
	if err := s.fs.Truncate(s.name, s.size); err != nil {
		return errors.Wrapf(err, "truncate %s", s.name)
	}
	s.broken = false
	return nil
}

// Turn drops the older file, and begins a new one.
func (s *Spool) Turn() error {
	if err := s.repair(); err != nil {
		return err
	}
	_ = s.file.Close()
	s.file = nil
	if err := s.fs.Rename(s.name, s.name+oldSuffix); err != nil && !errors.Is(err, os.ErrNotExist) {
		return errors.Wrapf(err, "turn %s", s.name)
	}
	s.size = 0
	return s.open()
}

// Close closes the current file.
func (s *Spool) Close() error {
	if s.file == nil {
		return nil
	}
	return s.file.Close()
}
