package wal

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"
)

// FS is the data folder of a journal. A file is durable after its Sync and, if
// it was created or renamed, after SyncFolder.
type FS interface {
	// Read returns the content of a file, or os.ErrNotExist.
	Read(name string) ([]byte, error)
	// Create creates a file or empties an existing one.
	Create(name string) (File, error)
	// Append opens a file for writing at its end, and creates it if need be.
	Append(name string) (File, error)
	// Truncate cuts a file to the size and syncs it.
	Truncate(name string, size int64) error
	Rename(from, to string) error
	SyncFolder() error
	// Close unlocks the folder for other processes.
	Close() error
}

// File is a file that is open for writing.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// osFolder is an FS on the file system of the operating system.
type osFolder struct {
	path string
	lock *os.File
}

var _ FS = (*osFolder)(nil)

const (
	folderMode = 0o700
	fileMode   = 0o600
)

// OpenFolder creates the folder if need be and locks it against use by a
// second process.
func OpenFolder(path string) (FS, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, errors.Wrap(err, "create data folder")
	}
	lock, err := os.OpenFile(filepath.Join(path, "lock"), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "lock data folder")
	}
	switch err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); {
	case errors.Is(err, syscall.EWOULDBLOCK):
		_ = lock.Close()
		return nil, errors.Wrapf(err, "data folder %s is in use by another process", path)
	case err != nil:
		// Some file systems have no locks. The lock only guards against an
		// operator who starts two processes on one folder.
		klog.ErrorS(err, "the data folder can't be locked; continuing without a lock", "path", path)
	}
	return &osFolder{path: path, lock: lock}, nil
}

func (f *osFolder) fullPath(name string) string { return filepath.Join(f.path, name) }

func (f *osFolder) Read(name string) ([]byte, error) { return os.ReadFile(f.fullPath(name)) }

func (f *osFolder) Create(name string) (File, error) {
	return os.OpenFile(f.fullPath(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

func (f *osFolder) Append(name string) (File, error) {
	return os.OpenFile(f.fullPath(name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
}

func (f *osFolder) Truncate(name string, size int64) error {
	file, err := os.OpenFile(f.fullPath(name), os.O_RDWR, fileMode)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	if err := file.Truncate(size); err != nil {
		return err
	}
	return file.Sync()
}

func (f *osFolder) Rename(from, to string) error { return os.Rename(f.fullPath(from), f.fullPath(to)) }

func (f *osFolder) SyncFolder() error {
	dir, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer func() { _ = dir.Close() }()
	return dir.Sync()
}

func (f *osFolder) Close() error { return f.lock.Close() }
