package sim

import (
	"errors"
	"io/fs"
	"math/rand/v2"
	"sort"

	"github.com/beamdoor/beamdoor/internal/wal"
)

// errDiskFull is what a full disk returns.
var errDiskFull = errors.New("no space left on device")

// errSyncFailed is what a failing disk returns.
var errSyncFailed = errors.New("input/output error")

// diskFile is one file: what was written and how much of it was synced.
type diskFile struct {
	data   []byte
	synced int
}

// disk is a folder that loses in a crash what was not synced: the tail of a
// file, and the creation, renaming or removal of one.
type disk struct {
	random    *rand.Rand
	files     map[string]*diskFile
	lasting   map[string]*diskFile
	full      bool
	failSyncs bool
	lost      int
}

var _ wal.FileSystem = (*disk)(nil)

func newDisk(random *rand.Rand) *disk {
	return &disk{random: random, files: map[string]*diskFile{}, lasting: map[string]*diskFile{}}
}

// crash keeps what was synced and a random part of what was not; the last
// byte of a torn tail may be wrong.
func (d *disk) crash() {
	d.files = map[string]*diskFile{}
	for _, name := range sortedNames(d.lasting) {
		file := d.lasting[name]
		d.files[name] = file
		loose := len(file.data) - file.synced
		if loose == 0 {
			continue
		}
		kept := d.random.IntN(loose + 1)
		d.lost += loose - kept
		file.data = file.data[:file.synced+kept]
		if kept > 0 && d.random.IntN(2) == 0 {
			file.data[len(file.data)-1] ^= 1 << d.random.IntN(8)
		}
		file.synced = len(file.data)
	}
	d.full = false
	d.failSyncs = false
}

// wipe loses everything.
func (d *disk) wipe() {
	d.files = map[string]*diskFile{}
	d.lasting = map[string]*diskFile{}
}

func sortedNames(files map[string]*diskFile) []string {
	names := make([]string, 0, len(files))
	for name := range files {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// openFile is an open file of a disk.
type openFile struct {
	disk *disk
	file *diskFile
}

// Write implements wal.File.
func (f *openFile) Write(data []byte) (int, error) {
	if f.disk.full {
		half := len(data) / 2
		f.file.data = append(f.file.data, data[:half]...)
		return half, errDiskFull
	}
	f.file.data = append(f.file.data, data...)
	return len(data), nil
}

// Sync implements wal.File.
func (f *openFile) Sync() error {
	if f.disk.failSyncs {
		return errSyncFailed
	}
	f.file.synced = len(f.file.data)
	return nil
}

// Close implements wal.File.
func (f *openFile) Close() error { return nil }

// Create implements wal.FileSystem.
func (d *disk) Create(name string) (wal.File, error) {
	if d.full {
		return nil, errDiskFull
	}
	file := &diskFile{}
	d.files[name] = file
	return &openFile{disk: d, file: file}, nil
}

// OpenAppend implements wal.FileSystem.
func (d *disk) OpenAppend(name string) (wal.File, error) {
	file, known := d.files[name]
	if !known {
		return nil, fs.ErrNotExist
	}
	return &openFile{disk: d, file: file}, nil
}

// ReadFile implements wal.FileSystem.
func (d *disk) ReadFile(name string) ([]byte, error) {
	file, known := d.files[name]
	if !known {
		return nil, fs.ErrNotExist
	}
	return append([]byte(nil), file.data...), nil
}

// Truncate implements wal.FileSystem.
func (d *disk) Truncate(name string, size int64) error {
	file, known := d.files[name]
	if !known {
		return fs.ErrNotExist
	}
	file.data = file.data[:size]
	file.synced = min(file.synced, int(size))
	return nil
}

// List implements wal.FileSystem.
func (d *disk) List() ([]string, error) { return sortedNames(d.files), nil }

// Rename implements wal.FileSystem.
func (d *disk) Rename(oldName, newName string) error {
	file, known := d.files[oldName]
	if !known {
		return fs.ErrNotExist
	}
	delete(d.files, oldName)
	d.files[newName] = file
	return nil
}

// Remove implements wal.FileSystem.
func (d *disk) Remove(name string) error {
	delete(d.files, name)
	return nil
}

// SyncFolder implements wal.FileSystem.
func (d *disk) SyncFolder() error {
	if d.failSyncs {
		return errSyncFailed
	}
	d.lasting = make(map[string]*diskFile, len(d.files))
	for name, file := range d.files {
		d.lasting[name] = file
	}
	return nil
}
