package wal

import (
	"maps"
	"os"
	"slices"
	"syscall"

	"pgregory.net/rapid"
)

// memoryFS is an FS in memory that loses unsynced data in a crash. What a failed sync
// should have stored isn't stored by a later one, unless it is written anew.
type memoryFS struct {
	// files is what the process sees; disk lists the files whose names survive
	// a crash.
	files, disk map[string]*fileContent
	// renamed are the names that the next SyncFolder makes durable.
	renamed            map[string]bool
	failSync, diskFull bool
	// truncateFails says that a full disk refuses to cut files too.
	truncateFails bool
	// capacity is the room for all files, in bytes, if it isn't 0.
	capacity int
	// fail, if set, returns the error of an operation on a file, which is "folder" and
	// the file that was renamed last for SyncFolder.
	fail        func(operation, name string) error
	lastRenamed string
}

// fileContent is the data of a file; its first synced bytes survive a crash.
type fileContent struct {
	data   []byte
	synced int
	// lost are ranges that a failed sync didn't store.
	lost [][2]int
	// cut is what a Truncate cut off whose sync failed.
	cut []byte
}

func newMemoryFS() *memoryFS {
	return &memoryFS{files: map[string]*fileContent{}, disk: map[string]*fileContent{}, renamed: map[string]bool{}}
}

func (m *memoryFS) failure(operation, name string) error {
	if m.fail == nil {
		return nil
	}
	return m.fail(operation, name)
}

func (m *memoryFS) Read(name string) ([]byte, error) {
	c, ok := m.files[name]
	if !ok {
		return nil, os.ErrNotExist
	}
	return append([]byte(nil), c.data...), nil
}

func (m *memoryFS) Create(name string) (File, error) {
	if err := m.failure("create", name); err != nil {
		return nil, err
	}
	return m.create(name), nil
}

func (m *memoryFS) create(name string) *memoryFile {
	c := &fileContent{}
	m.files[name] = c
	m.renamed[name] = true
	return &memoryFile{m, name, c}
}

func (m *memoryFS) Append(name string) (File, error) {
	if err := m.failure("open", name); err != nil {
		return nil, err
	}
	c, ok := m.files[name]
	if !ok {
		return m.create(name), nil
	}
	return &memoryFile{m, name, c}, nil
}

func (m *memoryFS) Truncate(name string, size int64) error {
	if m.diskFull && m.truncateFails {
		return syscall.ENOSPC
	}
	if err := m.failure("truncate", name); err != nil {
		return err
	}
	c := m.files[name]
	rest := append([]byte(nil), c.data[size:]...)
	c.data = c.data[:size]
	c.lost = slices.DeleteFunc(c.lost, func(r [2]int) bool { return r[0] >= int(size) })
	for i := range c.lost {
		c.lost[i][1] = min(c.lost[i][1], int(size))
	}
	if err := m.failure("sync the cut of", name); err != nil {
		c.synced = min(c.synced, len(c.data))
		c.cut = append(rest, c.cut...)
		return err
	}
	c.synced = len(c.data)
	return nil
}

func (m *memoryFS) Rename(from, to string) error {
	if err := m.failure("rename", to); err != nil {
		return err
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	m.renamed[from], m.renamed[to] = true, true
	m.lastRenamed = to
	return nil
}

func (m *memoryFS) SyncFolder() error {
	err := m.failure("sync folder after", m.lastRenamed)
	if m.failSync {
		err = syscall.EIO
	}
	if err != nil {
		m.renamed = map[string]bool{}
		return err
	}
	for name := range m.renamed {
		m.storeName(name)
	}
	m.renamed = map[string]bool{}
	return nil
}

// storeName makes durable which file has the name.
func (m *memoryFS) storeName(name string) {
	if c, ok := m.files[name]; ok {
		m.disk[name] = c
	} else {
		delete(m.disk, name)
	}
}

func (m *memoryFS) Close() error { return nil }

// crash drops unsynced data, as crashWith does.
func (m *memoryFS) crash(t *rapid.T) {
	m.crashWith(func(label string, low, high int) int { return rapid.IntRange(low, high).Draw(t, label) })
}

// crashWith drops unsynced data. Of the unsynced bytes at the end of a file, some
// may have reached the disk, and one of them may be damaged; so may new names of files.
func (m *memoryFS) crashWith(pick func(label string, low, high int) int) {
	for _, name := range slices.Sorted(maps.Keys(m.files)) {
		if m.files[name] != m.disk[name] && pick("renamed", 0, 1) == 1 {
			m.storeName(name)
		}
	}
	files := map[string]*fileContent{}
	for _, name := range slices.Sorted(maps.Keys(m.disk)) {
		c := m.disk[name]
		keep := c.synced
		if unsynced := len(c.data) - c.synced; unsynced > 0 {
			keep += pick("torn", 0, unsynced)
		}
		data := append([]byte(nil), c.data[:keep]...)
		if keep > c.synced && pick("garble", 0, 1) == 1 {
			data[pick("at", c.synced, keep-1)] ^= 0x55
		}
		for _, r := range c.lost {
			if pick("lost", 0, 1) == 1 {
				clear(data[min(r[0], len(data)):min(r[1], len(data))])
			}
		}
		if len(data) == len(c.data) && len(c.cut) > 0 && pick("cut", 0, 1) == 1 {
			data = append(data, c.cut...)
		}
		files[name] = &fileContent{data: data, synced: len(data)}
	}
	m.files, m.disk = files, maps.Clone(files)
	m.renamed = map[string]bool{}
	m.failSync, m.diskFull, m.truncateFails = false, false, false
}

type memoryFile struct {
	fs      *memoryFS
	name    string
	content *fileContent
}

func (f *memoryFile) Write(b []byte) (int, error) {
	room := len(b)
	err := f.fs.failure("write", f.name)
	if f.fs.diskFull {
		err = syscall.ENOSPC
	}
	if err != nil {
		room = len(b) / 2
	}
	if f.fs.capacity > 0 {
		used := 0
		for _, c := range f.fs.files {
			used += len(c.data)
		}
		if left := max(f.fs.capacity-used, 0); left < room {
			room, err = left, syscall.ENOSPC
		}
	}
	f.content.data = append(f.content.data, b[:room]...)
	return room, err
}

func (f *memoryFile) Sync() error {
	if f.fs.failSync {
		return syscall.EIO
	}
	if err := f.fs.failure("sync", f.name); err != nil {
		if len(f.content.data) > f.content.synced {
			f.content.lost = append(f.content.lost, [2]int{f.content.synced, len(f.content.data)})
		}
		return err
	}
	f.content.synced, f.content.cut = len(f.content.data), nil
	return nil
}

func (f *memoryFile) Close() error { return f.fs.failure("close", f.name) }
