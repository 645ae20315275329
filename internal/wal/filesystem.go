package wal

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"sort"

	"github.com/beamdoor/beamdoor/internal/faultlayer"
	"github.com/beamdoor/beamdoor/internal/steperror"
)

// File is an open file to which records are appended.
type File interface {
	// Write appends bytes.
	Write(data []byte) (int, error)
	// Sync flushes all written data to stable storage.
	Sync() error
	// Close closes the file without syncing it.
	Close() error
}

// FileSystem gives access to the data directory of one member. The simulator
// implements one that loses unsynced data on a crash.
type FileSystem interface {
	// Create creates a file, or truncates an existing one.
	Create(name string) (File, error)
	// OpenAppend opens an existing file for appending.
	OpenAppend(name string) (File, error)
	// ReadFile returns the contents of a file.
	ReadFile(name string) ([]byte, error)
	// Truncate shortens a file to size bytes and syncs it.
	Truncate(name string, size int64) error
	// List returns the names of all regular files in lexical order.
	List() ([]string, error)
	// Rename renames oldName to newName and replaces an existing newName.
	Rename(oldName, newName string) error
	// Remove deletes a file. A missing file is not an error.
	Remove(name string) error
	// SyncDir syncs the directory, which makes creations, renames and removals durable.
	SyncDir() error
}

// Dir is a FileSystem in a directory of the operating system.
type Dir struct {
	path string
}

var _ FileSystem = (*Dir)(nil)

const (
	dirMode  = 0o750
	fileMode = 0o640
)

// OpenDir creates the directory if it is missing and syncs its parent.
func OpenDir(path string) (*Dir, error) {
	const step = "wal.open_folder"
	if err := os.MkdirAll(path, dirMode); err != nil {
		return nil, steperror.Wrap(step, path, err)
	}
	if err := syncPath(filepath.Dir(path)); err != nil {
		return nil, steperror.Wrap(step, path, err)
	}
	return &Dir{path: path}, nil
}

func syncPath(path string) error {
	handle, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(handle.Sync(), handle.Close())
}

// dirFile is an open file of a Dir. Its writes and syncs can fail by injected faults.
type dirFile struct{ *os.File }

func openFile(path string, flags int) (File, error) {
	if err := faultlayer.InjectDiskFault(); err != nil {
		return nil, err
	}
	file, err := os.OpenFile(path, flags|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return nil, err
	}
	return dirFile{file}, nil
}

// Write implements File.
func (f dirFile) Write(data []byte) (int, error) {
	if err := faultlayer.InjectDiskFault(); err != nil {
		return 0, err
	}
	return f.File.Write(data)
}

// Sync implements File.
func (f dirFile) Sync() error {
	if err := faultlayer.InjectDiskFault(); err != nil {
		return err
	}
	return f.File.Sync()
}

func (f *Dir) join(name string) string { return filepath.Join(f.path, name) }

// Create implements FileSystem.
func (f *Dir) Create(name string) (File, error) {
	return openFile(f.join(name), os.O_CREATE|os.O_TRUNC)
}

// OpenAppend implements FileSystem.
func (f *Dir) OpenAppend(name string) (File, error) {
	return openFile(f.join(name), 0)
}

// ReadFile implements FileSystem.
func (f *Dir) ReadFile(name string) ([]byte, error) { return os.ReadFile(f.join(name)) }

// Truncate implements FileSystem.
func (f *Dir) Truncate(name string, size int64) error {
	if err := os.Truncate(f.join(name), size); err != nil {
		return err
	}
	return syncPath(f.join(name))
}

// List implements FileSystem.
func (f *Dir) List() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, entry := range entries {
		if entry.Type().IsRegular() {
			names = append(names, entry.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

// Rename implements FileSystem.
func (f *Dir) Rename(oldName, newName string) error {
	return os.Rename(f.join(oldName), f.join(newName))
}

// Remove implements FileSystem.
func (f *Dir) Remove(name string) error {
	err := os.Remove(f.join(name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}

// SyncDir implements FileSystem.
func (f *Dir) SyncDir() error { return syncPath(f.path) }
