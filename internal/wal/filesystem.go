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
	// Sync returns once all that was written survives a crash.
	Sync() error
	// Close releases the file.
	Close() error
}

// FileSystem is the folder of one member. The simulator has its own, which
// loses what was not synced.
type FileSystem interface {
	// Create makes an empty file, or empties an existing one.
	Create(name string) (File, error)
	// OpenAppend opens an existing file for appending.
	OpenAppend(name string) (File, error)
	// ReadFile returns the whole content of a file.
	ReadFile(name string) ([]byte, error)
	// Truncate cuts a file to a size in bytes.
	Truncate(name string, size int64) error
	// List returns the names of all files in order.
	List() ([]string, error)
	// Rename replaces newName by oldName.
	Rename(oldName, newName string) error
	// Remove deletes a file.
	Remove(name string) error
	// SyncDir makes creations, renames and removals survive a crash.
	SyncDir() error
}

// Dir is the FileSystem of a real process.
type Dir struct {
	path string
}

var _ FileSystem = (*Dir)(nil)

const (
	folderMode = 0o750
	fileMode   = 0o640
)

// OpenDir makes the folder if it is missing and syncs its parent.
func OpenDir(path string) (*Dir, error) {
	const step = "wal.open_folder"
	if err := os.MkdirAll(path, folderMode); err != nil {
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

// folderFile is an open file of a folder.
type folderFile struct{ *os.File }

func openFile(path string, flags int) (File, error) {
	if err := faultlayer.InjectDiskFault(); err != nil {
		return nil, err
	}
	file, err := os.OpenFile(path, flags|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return nil, err
	}
	return folderFile{file}, nil
}

// Write implements File.
func (f folderFile) Write(data []byte) (int, error) {
	if err := faultlayer.InjectDiskFault(); err != nil {
		return 0, err
	}
	return f.File.Write(data)
}

// Sync implements File.
func (f folderFile) Sync() error {
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
