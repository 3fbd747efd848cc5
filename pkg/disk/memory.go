// ================================================================
// A data folder in memory that can lose unsynced data, for tests and for processes on VMs
// without a disk.
// ================================================================

package disk

import (
	"os"
	"sort"
	"sync"
)

// Memory is the storage behind a folder in memory. It outlives the folder, as a disk
// outlives a process. It is safe for concurrent use.
type Memory struct {
	mu    sync.Mutex
	files map[string]*memoryFile
	// FailSync, if set, is called before each sync and may return its error.
	FailSync func(name string) error
	// FailAppend, if set, is called before each append. With an error, it returns how many
	// bytes are written nevertheless.
	FailAppend func(name string, length int) (int, error)
}

// memoryFile is a file; the first synced bytes of data are synced.
type memoryFile struct {
	data   []byte
	synced int
}

// NewMemory returns empty storage.
func NewMemory() *Memory { return &Memory{files: map[string]*memoryFile{}} }

// SetFailAppend sets FailAppend while the storage is in use.
func (m *Memory) SetFailAppend(f func(name string, length int) (int, error)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.FailAppend = f
}

// Crash discards unsynced data, except for the first keep bytes of each file's unsynced
// tail, as after a torn write.
func (m *Memory) Crash(keep int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, f := range m.files {
		f.data = f.data[:min(len(f.data), f.synced+keep)]
		f.synced = len(f.data)
	}
}

// Corrupt inverts one byte of a file, for tests.
func (m *Memory) Corrupt(name string, offset int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if f := m.files[name]; f != nil && offset < len(f.data) {
		f.data[offset] ^= 0xff
	}
}

// Folder returns a folder in the storage.
func (m *Memory) Folder() *Folder {
	return &Folder{
		Open:    m.open,
		Read:    m.read,
		Replace: m.replace,
		Remove:  m.remove,
		List:    m.list,
		Close:   func() error { return nil },
	}
}

func (m *Memory) open(name string) (*File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.files[name]
	if f == nil {
		f = &memoryFile{}
		m.files[name] = f
	}
	return &File{
		Append:   func(data []byte) error { return m.append(name, f, data) },
		Sync:     func() error { return m.sync(name, f) },
		Truncate: func(length int64) error { return m.truncate(f, length) },
		Close:    func() error { return nil },
	}, nil
}

func (m *Memory) append(name string, f *memoryFile, data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.FailAppend != nil {
		if n, err := m.FailAppend(name, len(data)); err != nil {
			f.data = append(f.data, data[:min(n, len(data))]...)
			return diskFailed("append to", name, err)
		}
	}
	f.data = append(f.data, data...)
	return nil
}

func (m *Memory) sync(name string, f *memoryFile) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.FailSync != nil {
		if err := m.FailSync(name); err != nil {
			return diskFailed("sync", name, err)
		}
	}
	f.synced = len(f.data)
	return nil
}

func (m *Memory) truncate(f *memoryFile, length int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	f.data = f.data[:min(int64(len(f.data)), length)]
	f.synced = min(f.synced, len(f.data))
	return nil
}

func (m *Memory) read(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.files[name]
	if f == nil {
		return nil, os.ErrNotExist
	}
	return append([]byte(nil), f.data...), nil
}

func (m *Memory) replace(name string, data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.FailSync != nil {
		if err := m.FailSync(name); err != nil {
			return diskFailed("sync", name, err)
		}
	}
	m.files[name] = &memoryFile{data: append([]byte(nil), data...), synced: len(data)}
	return nil
}

func (m *Memory) remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.files, name)
	return nil
}

func (m *Memory) list() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := make([]string, 0, len(m.files))
	for name := range m.files {
		names = append(names, name)
	}
	sort.Strings(names)
	return names, nil
}
