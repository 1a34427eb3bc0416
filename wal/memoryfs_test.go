package wal

import (
	"os"
	"syscall"

	"pgregory.net/rapid"
)

// memoryFS is an FS in memory that loses unsynced data in a crash.
type memoryFS struct {
	// files is what the process sees; disk lists the files whose names survive
	// a crash.
	files, disk        map[string]*fileContent
	failSync, diskFull bool
	// truncateFails says that a full disk refuses to cut files too.
	truncateFails bool
}

// fileContent is the data of a file; its first synced bytes survive a crash.
type fileContent struct {
	data   []byte
	synced int
}

func newMemoryFS() *memoryFS {
	return &memoryFS{files: map[string]*fileContent{}, disk: map[string]*fileContent{}}
}

func (m *memoryFS) Read(name string) ([]byte, error) {
	c, ok := m.files[name]
	if !ok {
		return nil, os.ErrNotExist
	}
	return append([]byte(nil), c.data...), nil
}

func (m *memoryFS) Create(name string) (File, error) {
	c := &fileContent{}
	m.files[name] = c
	return &memoryFile{m, c}, nil
}

func (m *memoryFS) Append(name string) (File, error) {
	c, ok := m.files[name]
	if !ok {
		return m.Create(name)
	}
	return &memoryFile{m, c}, nil
}

func (m *memoryFS) Truncate(name string, size int64) error {
	if m.diskFull && m.truncateFails {
		return syscall.ENOSPC
	}
	c := m.files[name]
	c.data = c.data[:size]
	c.synced = len(c.data)
	return nil
}

func (m *memoryFS) Rename(from, to string) error {
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memoryFS) SyncFolder() error {
	if m.failSync {
		return syscall.EIO
	}
	m.disk = map[string]*fileContent{}
	for name, c := range m.files {
		m.disk[name] = c
	}
	return nil
}

func (m *memoryFS) Close() error { return nil }

// crash drops unsynced data. Of the unsynced bytes at the end of a file, some
// may have reached the disk, and one of them may be damaged.
func (m *memoryFS) crash(t *rapid.T) {
	files := map[string]*fileContent{}
	for name, c := range m.disk {
		keep := c.synced
		if unsynced := len(c.data) - c.synced; unsynced > 0 {
			keep += rapid.IntRange(0, unsynced).Draw(t, "torn")
		}
		data := append([]byte(nil), c.data[:keep]...)
		if keep > c.synced && rapid.Bool().Draw(t, "garble") {
			data[rapid.IntRange(c.synced, keep-1).Draw(t, "at")] ^= 0x55
		}
		files[name] = &fileContent{data: data, synced: keep}
	}
	m.files = files
	m.failSync, m.diskFull, m.truncateFails = false, false, false
	_ = m.SyncFolder()
}

type memoryFile struct {
	fs      *memoryFS
	content *fileContent
}

func (f *memoryFile) Write(b []byte) (int, error) {
	if f.fs.diskFull {
		half := len(b) / 2
		f.content.data = append(f.content.data, b[:half]...)
		return half, syscall.ENOSPC
	}
	f.content.data = append(f.content.data, b...)
	return len(b), nil
}

func (f *memoryFile) Sync() error {
	if f.fs.failSync {
		return syscall.EIO
	}
	f.content.synced = len(f.content.data)
	return nil
}

func (f *memoryFile) Close() error { return nil }
