// ================================================================
// The data folder of a process with persistent state. Data is durable only after a sync.
//
// A Folder is a struct of functions, so that a test can make any write short, make any sync
// fail, or lose all unsynced data. NewFolder uses the file system; NewMemory keeps files in
// memory and can simulate a crash.
// ================================================================

// Package disk appends to, syncs and replaces the files of a data folder.
package disk

import (
	"os"
	"path/filepath"
	"sort"
	"syscall"

	"github.com/pkg/errors"

	"github.com/tidepost/tidepost/pkg/failure"
)

const (
	folderMode      = 0o750
	fileMode        = 0o640
	temporarySuffix = ".tmp"
	lockFile        = "lock"
)

// File is a file open for appending.
type File struct {
	// Append writes at the end; a short write returns an error.
	Append func(data []byte) error
	// Sync makes all appended data durable.
	Sync func() error
	// Truncate shortens the file to a length in bytes.
	Truncate func(length int64) error
	// Close closes the file.
	Close func() error
}

// Folder is a data folder. All names are relative to it.
type Folder struct {
	// Open opens a file for appending and creates it if it is missing.
	Open func(name string) (*File, error)
	// Read returns the whole file; os.ErrNotExist if it is missing.
	Read func(name string) ([]byte, error)
	// Replace atomically replaces the file's content, durably.
	Replace func(name string, data []byte) error
	// Remove deletes a file; a missing one is no error.
	Remove func(name string) error
	// List returns the names of all files, sorted.
	List func() ([]string, error)
	// Close releases the folder and its lock.
	Close func() error
}

// NewFolder opens a folder of the file system, creates it if it is missing, and locks it
// until Close: two processes with one folder would violate each other's durable state.
func NewFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, diskFailed("create folder", path, err)
	}
	lock, err := os.OpenFile(filepath.Join(path, lockFile), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, diskFailed("open lock of", path, err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, diskFailed("lock (another process holds it)", path, err)
	}
	r := realFolder{path}
	return &Folder{
		Open:    r.open,
		Read:    func(name string) ([]byte, error) { return os.ReadFile(r.filePath(name)) },
		Replace: r.replace,
		Remove:  r.remove,
		List:    r.list,
		Close:   lock.Close,
	}, nil
}

// realFolder is the file system behind NewFolder.
type realFolder struct{ path string }

func (r realFolder) filePath(name string) string { return filepath.Join(r.path, name) }

func (r realFolder) open(name string) (*File, error) {
	f, err := os.OpenFile(r.filePath(name), os.O_CREATE|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return nil, diskFailed("open", name, err)
	}
	if err := r.syncDirectory(); err != nil {
		_ = f.Close()
		return nil, err
	}
	return &File{
		Append: func(data []byte) error {
			_, err := f.Write(data)
			return diskFailed("append to", name, err)
		},
		Sync:     func() error { return diskFailed("sync", name, f.Sync()) },
		Truncate: func(length int64) error { return diskFailed("truncate", name, f.Truncate(length)) },
		Close:    f.Close,
	}, nil
}

func (r realFolder) replace(name string, data []byte) error {
	temporary := r.filePath(name + temporarySuffix)
	f, err := os.OpenFile(temporary, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, fileMode)
	if err != nil {
		return diskFailed("open", temporary, err)
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return diskFailed("write", temporary, err)
	}
	if err := os.Rename(temporary, r.filePath(name)); err != nil {
		return diskFailed("rename", name, err)
	}
	return r.syncDirectory()
}

func (r realFolder) remove(name string) error {
	if err := os.Remove(r.filePath(name)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return diskFailed("remove", name, err)
	}
	return r.syncDirectory()
}

func (r realFolder) list() ([]string, error) {
	entries, err := os.ReadDir(r.path)
	if err != nil {
		return nil, diskFailed("list", r.path, err)
	}
	var names []string
	for _, e := range entries {
		if !e.IsDir() && e.Name() != lockFile && filepath.Ext(e.Name()) != temporarySuffix {
			names = append(names, e.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

// syncDirectory makes creations, renames and removals in the folder durable.
func (r realFolder) syncDirectory() error {
	d, err := os.Open(r.path)
	if err != nil {
		return diskFailed("open", r.path, err)
	}
	defer d.Close()
	return diskFailed("sync folder", r.path, d.Sync())
}

// diskFailed returns err as a failure of the kind DiskFailed, or nil.
func diskFailed(operation, name string, err error) error {
	if err == nil {
		return nil
	}
	return failure.New(failure.DiskFailed, "%s %s: %v", operation, name, err)
}
