package wal

import (
	"os"
	"syscall"

	"pgregory.net/rapid"
)

// memory is an FS that forgets what wasn't synced.
type memory struct {
	// files is what a process sees; disk is what survives a crash.
	files, disk    map[string]*content
	failSync, full bool
}

type content struct {
	data   []byte
	synced int
}

func newMemory() *memory {
	return &memory{files: map[string]*content{}, disk: map[string]*content{}}
}

func (m *memory) Read(name string) ([]byte, error) {
	c, ok := m.files[name]
	if !ok {
		return nil, os.ErrNotExist
	}
	return append([]byte(nil), c.data...), nil
}

func (m *memory) Create(name string) (File, error) {
	c := &content{}
	m.files[name] = c
	return &memoryFile{m, c}, nil
}

func (m *memory) Append(name string) (File, error) {
	c, ok := m.files[name]
	if !ok {
		return m.Create(name)
	}
	return &memoryFile{m, c}, nil
}

func (m *memory) Truncate(name string, size int64) error {
	c := m.files[name]
	c.data = c.data[:size]
	c.synced = len(c.data)
	return nil
}

func (m *memory) Rename(from, to string) error {
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memory) SyncFolder() error {
	if m.failSync {
		return syscall.EIO
	}
	m.disk = map[string]*content{}
	for name, c := range m.files {
		m.disk[name] = c
	}
	return nil
}

func (m *memory) Close() error { return nil }

// crash forgets what wasn't synced; of unsynced bytes at the end of a file a
// part may have reached the disk, and a part of that may be damaged.
func (m *memory) crash(t *rapid.T) {
	files := map[string]*content{}
	for name, c := range m.disk {
		keep := c.synced
		if rest := len(c.data) - c.synced; rest > 0 {
			keep += rapid.IntRange(0, rest).Draw(t, "torn")
		}
		data := append([]byte(nil), c.data[:keep]...)
		if keep > c.synced && rapid.Bool().Draw(t, "garble") {
			data[rapid.IntRange(c.synced, keep-1).Draw(t, "at")] ^= 0x55
		}
		files[name] = &content{data: data, synced: keep}
	}
	m.files = files
	m.failSync, m.full = false, false
	_ = m.SyncFolder()
}

type memoryFile struct {
	m *memory
	c *content
}

func (f *memoryFile) Write(b []byte) (int, error) {
	if f.m.full {
		half := len(b) / 2
		f.c.data = append(f.c.data, b[:half]...)
		return half, syscall.ENOSPC
	}
	f.c.data = append(f.c.data, b...)
	return len(b), nil
}

func (f *memoryFile) Sync() error {
	if f.m.failSync {
		return syscall.EIO
	}
	f.c.synced = len(f.c.data)
	return nil
}

func (f *memoryFile) Close() error { return nil }
