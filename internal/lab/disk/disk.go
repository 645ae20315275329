// Package disk provides an emulated folder that loses in a crash what was not
// synced, fills up, and fails to sync.
package disk

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
	// writes are the offsets at which the writes since the last sync begin.
	writes []int
}

// settle makes all that the file holds last.
func (f *diskFile) settle() {
	f.synced = len(f.data)
	f.writes = nil
}

// Disk is a folder that loses in a crash what was not synced: the tail of a
// file, and the creation, renaming or removal of one.
type Disk struct {
	// Full makes writes fail, and FailSyncs makes syncs fail.
	Full      bool
	FailSyncs bool

	random  *rand.Rand
	files   map[string]*diskFile
	lasting map[string]*diskFile
}

var _ wal.FileSystem = (*Disk)(nil)

// New returns an empty folder.
func New(random *rand.Rand) *Disk {
	return &Disk{random: random, files: map[string]*diskFile{}, lasting: map[string]*diskFile{}}
}

// Crash keeps what was synced and a random part of what was not: either a
// beginning of it, or each write on its own, present, missing or torn. The last
// byte of a torn tail may be wrong.
func (d *Disk) Crash() {
	d.files = map[string]*diskFile{}
	for _, name := range sortedNames(d.lasting) {
		file := d.lasting[name]
		d.files[name] = file
		if len(file.data) == file.synced {
			continue
		}
		if d.random.IntN(2) == 0 {
			d.keepBeginning(file)
		} else {
			d.keepSomeWrites(file)
		}
		file.settle()
	}
	d.Full = false
	d.FailSyncs = false
}

func (d *Disk) keepBeginning(file *diskFile) {
	kept := d.random.IntN(len(file.data) - file.synced + 1)
	file.data = file.data[:file.synced+kept]
	if kept > 0 && d.random.IntN(2) == 0 {
		file.data[len(file.data)-1] ^= 1 << d.random.IntN(8)
	}
}

// keepSomeWrites loses writes one by one; where a later one is present, a lost
// one leaves zeros.
func (d *Disk) keepSomeWrites(file *diskFile) {
	end := file.synced
	for position, start := range file.writes {
		stop := len(file.data)
		if position+1 < len(file.writes) {
			stop = file.writes[position+1]
		}
		kept := start
		switch d.random.IntN(3) {
		case 0:
			kept = stop
		case 1:
			kept += d.random.IntN(stop - start + 1)
		}
		clear(file.data[kept:stop])
		if kept > start {
			end = kept
		}
	}
	file.data = file.data[:end]
}

// Wipe loses everything.
func (d *Disk) Wipe() {
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
	disk *Disk
	file *diskFile
}

// Write implements wal.File.
func (f *openFile) Write(data []byte) (int, error) {
	f.file.writes = append(f.file.writes, len(f.file.data))
	if f.disk.Full {
		half := len(data) / 2
		f.file.data = append(f.file.data, data[:half]...)
		return half, errDiskFull
	}
	f.file.data = append(f.file.data, data...)
	return len(data), nil
}

// Sync implements wal.File.
func (f *openFile) Sync() error {
	if f.disk.FailSyncs {
		return errSyncFailed
	}
	f.file.settle()
	return nil
}

// Close implements wal.File.
func (f *openFile) Close() error { return nil }

// Create implements wal.FileSystem.
func (d *Disk) Create(name string) (wal.File, error) {
	if d.Full {
		return nil, errDiskFull
	}
	file := &diskFile{}
	d.files[name] = file
	return &openFile{disk: d, file: file}, nil
}

// OpenAppend implements wal.FileSystem.
func (d *Disk) OpenAppend(name string) (wal.File, error) {
	file, known := d.files[name]
	if !known {
		return nil, fs.ErrNotExist
	}
	return &openFile{disk: d, file: file}, nil
}

// ReadFile implements wal.FileSystem.
func (d *Disk) ReadFile(name string) ([]byte, error) {
	file, known := d.files[name]
	if !known {
		return nil, fs.ErrNotExist
	}
	return append([]byte(nil), file.data...), nil
}

// Truncate implements wal.FileSystem.
func (d *Disk) Truncate(name string, size int64) error {
	file, known := d.files[name]
	if !known {
		return fs.ErrNotExist
	}
	file.data = file.data[:size]
	file.settle()
	return nil
}

// List implements wal.FileSystem.
func (d *Disk) List() ([]string, error) { return sortedNames(d.files), nil }

// Rename implements wal.FileSystem.
func (d *Disk) Rename(oldName, newName string) error {
	file, known := d.files[oldName]
	if !known {
		return fs.ErrNotExist
	}
	delete(d.files, oldName)
	d.files[newName] = file
	return nil
}

// Remove implements wal.FileSystem.
func (d *Disk) Remove(name string) error {
	delete(d.files, name)
	return nil
}

// SyncDir implements wal.FileSystem.
func (d *Disk) SyncDir() error {
	if d.FailSyncs {
		return errSyncFailed
	}
	d.lasting = make(map[string]*diskFile, len(d.files))
	for name, file := range d.files {
		d.lasting[name] = file
	}
	return nil
}

// Flip changes one bit of a file, as on a disk that goes bad.
func (d *Disk) Flip(name string, offset int) {
	file := d.files[name]
	file.data[offset] ^= 1
}

// Size returns the size of a file in bytes.
func (d *Disk) Size(name string) int { return len(d.files[name].data) }
