package wal

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"
)

// FS is the folder that a journal lives in. A file is durable after its Sync
// and, when it was created or renamed, after SyncFolder.
type FS interface {
	// Read returns a file's content; os.ErrNotExist if there is none.
	Read(name string) ([]byte, error)
	// Create makes or empties a file.
	Create(name string) (File, error)
	// Append opens a file at its end.
	Append(name string) (File, error)
	// Truncate cuts a file to the size, durably.
	Truncate(name string, size int64) error
	Rename(from, to string) error
	SyncFolder() error
	// Close releases the folder for others.
	Close() error
}

// File is an open file.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// folder is the FS of the operating system.
type folder struct {
	path string
	lock *os.File
}

var _ FS = (*folder)(nil)

const (
	folderMode = 0o700
	fileMode   = 0o600
)

// OpenFolder makes the folder if need be and locks it against a second
// process.
func OpenFolder(path string) (FS, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, errors.Wrap(err, "data folder")
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
		// Some file systems have no locks. The lock only guards against a
		// mistake of the operator.
		klog.ErrorS(err, "data folder can't be locked; going on without", "path", path)
	}
	return &folder{path: path, lock: lock}, nil
}

func (f *folder) name(name string) string { return filepath.Join(f.path, name) }

func (f *folder) Read(name string) ([]byte, error) { return os.ReadFile(f.name(name)) }

func (f *folder) Create(name string) (File, error) {
	return os.OpenFile(f.name(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

func (f *folder) Append(name string) (File, error) {
	return os.OpenFile(f.name(name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
}

func (f *folder) Truncate(name string, size int64) error {
	file, err := os.OpenFile(f.name(name), os.O_RDWR, fileMode)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	if err := file.Truncate(size); err != nil {
		return err
	}
	return file.Sync()
}

func (f *folder) Rename(from, to string) error { return os.Rename(f.name(from), f.name(to)) }

func (f *folder) SyncFolder() error {
	d, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer func() { _ = d.Close() }()
	return d.Sync()
}

func (f *folder) Close() error { return f.lock.Close() }
