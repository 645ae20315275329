// Package wal provides the durable state of a control member: a write-ahead
// log in segments with a checksum on each record, snapshots, and the identity
// of the data folder. What Save returned for survives a crash.
package wal

import (
	"errors"
	"fmt"
	"strings"

	"github.com/beamdoor/beamdoor/internal/raft"
	"github.com/beamdoor/beamdoor/internal/steperror"
	"github.com/beamdoor/beamdoor/internal/wire"
)

const (
	segmentPrefix  = "wal-"
	snapshotPrefix = "snapshot-"
	temporaryName  = "snapshot.tmp"
	identityName   = "identity"
)

// Log is the open durable state. After the first failed write or sync every
// further Save fails: what the disk then holds is not known.
type Log struct {
	files    FileSystem
	segment  File
	sequence uint64
	broken   error
	// segmentBytes and snapshotBytes are the sizes of the files that count.
	segmentBytes, snapshotBytes int64
	// commit is the commit index that was written last.
	commit uint64
	// SkipSync leaves out the sync, for tests that show what rests on it.
	SkipSync bool
}

func segmentName(sequence uint64) string { return fmt.Sprintf("%s%016x", segmentPrefix, sequence) }

func snapshotName(index uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, index) }

// Report tells what Open found and mended.
type Report struct {
	// TornBytes is the size of the incomplete record cut from the end.
	TornBytes int
	// Segments is the number of log segments read.
	Segments int
	// Records is the number of whole records read.
	Records int
}

// Open reads the folder, cuts a torn tail and opens the log for appending.
// Damage anywhere but at the very end is an error: acknowledged entries may
// be gone, and the member must be replaced rather than guess.
func Open(files FileSystem) (*Log, raft.PersistentState, Report, error) {
	reader := &reader{files: files}
	if err := reader.read(); err != nil {
		return nil, raft.PersistentState{}, reader.report, err
	}
	if reader.report.TornBytes > 0 {
		if err := files.Truncate(reader.lastSegment, reader.validBytes); err != nil {
			return nil, raft.PersistentState{}, reader.report, steperror.Wrap("wal.cut_tail", reader.lastSegment, err)
		}
	}
	log := &Log{
		files: files, sequence: reader.sequence, segmentBytes: reader.segmentBytes, snapshotBytes: reader.snapshotBytes,
		commit: reader.restored.HardState.Commit,
	}
	if err := log.openSegment(reader.lastSegment); err != nil {
		return nil, raft.PersistentState{}, reader.report, err
	}
	return log, reader.restored, reader.report, nil
}

// Verify reads the folder without changing it.
func Verify(files FileSystem) (raft.PersistentState, Report, error) {
	reader := &reader{files: files}
	err := reader.read()
	return reader.restored, reader.report, err
}

func (l *Log) openSegment(existing string) error {
	if existing != "" {
		file, err := l.files.OpenAppend(existing)
		l.segment = file
		return steperror.Wrap("wal.open_segment", existing, err)
	}
	l.sequence = 1
	file, err := l.files.Create(segmentName(l.sequence))
	if err != nil {
		return steperror.Wrap("wal.create_segment", segmentName(l.sequence), err)
	}
	l.segment = file
	return steperror.Wrap("wal.sync_folder", "", l.files.SyncDir())
}

// Save writes what a Ready asks to be durable and returns after the sync. The commit
// index goes with what is written in any case: by itself it is worth no sync.
func (l *Log) Save(ready raft.Ready, whole raft.PersistentState) error {
	if l.broken != nil {
		return l.broken
	}
	if ready.Snapshot != nil {
		return l.fail(l.Rewrite(whole))
	}
	var buffer []byte
	for _, entry := range ready.Entries {
		buffer = appendRecord(buffer, recordEntry, raft.EncodeEntry(entry))
	}
	if ready.HardStateChanged || len(buffer) > 0 && ready.HardState.Commit > l.commit {
		buffer = appendRecord(buffer, recordHardState, encodeHardState(ready.HardState))
	}
	if len(buffer) == 0 {
		return nil
	}
	if _, err := l.segment.Write(buffer); err != nil {
		return l.fail(steperror.Wrap("wal.append", "", err))
	}
	if err := l.sync(l.segment); err != nil {
		return l.fail(steperror.Wrap("wal.sync", "", err))
	}
	l.segmentBytes += int64(len(buffer))
	l.commit = max(l.commit, ready.HardState.Commit)
	return l.mark()
}

// mark notes that all before was synced. The marker itself is not: when it is
// lost, the last batch is taken for one that may not have been.
func (l *Log) mark() error {
	marker := appendRecord(nil, recordMarker, nil)
	_, err := l.segment.Write(marker)
	l.segmentBytes += int64(len(marker))
	return l.fail(steperror.Wrap("wal.mark", "", err))
}

func (l *Log) sync(file File) error {
	if l.SkipSync {
		return nil
	}
	return file.Sync()
}

func (l *Log) fail(err error) error {
	if err != nil && l.broken == nil {
		l.broken = err
	}
	return err
}

// Rewrite saves a snapshot with the entries after it and removes the segments
// and snapshots before.
func (l *Log) Rewrite(whole raft.PersistentState) error {
	if err := l.writeSnapshot(whole.Snapshot); err != nil {
		return l.fail(err)
	}
	if err := l.startSegment(whole); err != nil {
		return l.fail(err)
	}
	return l.fail(l.removeOld(whole.Snapshot.Index))
}

func (l *Log) writeSnapshot(snapshot raft.Snapshot) error {
	const step = "wal.write_snapshot"
	file, err := l.files.Create(temporaryName)
	if err != nil {
		return steperror.Wrap(step, "", err)
	}
	record := appendRecord(nil, recordSnapshot, encodeSnapshot(snapshot))
	if _, err := file.Write(record); err != nil {
		return steperror.Wrap(step, "", err)
	}
	l.snapshotBytes = int64(len(record))
	if err := l.sync(file); err != nil {
		return steperror.Wrap(step, "", err)
	}
	if err := file.Close(); err != nil {
		return steperror.Wrap(step, "", err)
	}
	if err := l.files.Rename(temporaryName, snapshotName(snapshot.Index)); err != nil {
		return steperror.Wrap(step, "", err)
	}
	return steperror.Wrap(step, "", l.files.SyncDir())
}

func (l *Log) startSegment(whole raft.PersistentState) error {
	const step = "wal.start_segment"
	name := segmentName(l.sequence + 1)
	file, err := l.files.Create(name)
	if err != nil {
		return steperror.Wrap(step, name, err)
	}
	buffer := appendRecord(nil, recordHardState, encodeHardState(whole.HardState))
	for _, entry := range whole.Entries {
		buffer = appendRecord(buffer, recordEntry, raft.EncodeEntry(entry))
	}
	if _, err := file.Write(buffer); err != nil {
		return steperror.Wrap(step, name, err)
	}
	if err := l.sync(file); err != nil {
		return steperror.Wrap(step, name, err)
	}
	if err := l.files.SyncDir(); err != nil {
		return steperror.Wrap(step, name, err)
	}
	_ = l.segment.Close()
	l.segment = file
	l.segmentBytes = int64(len(buffer))
	l.sequence++
	l.commit = max(l.commit, whole.HardState.Commit)
	return nil
}

func (l *Log) removeOld(snapshotIndex uint64) error {
	const step = "wal.remove_old"
	names, err := l.files.List()
	if err != nil {
		return steperror.Wrap(step, "", err)
	}
	for _, name := range names {
		oldSegment := strings.HasPrefix(name, segmentPrefix) && name < segmentName(l.sequence)
		oldSnapshot := strings.HasPrefix(name, snapshotPrefix) && name < snapshotName(snapshotIndex)
		if !oldSegment && !oldSnapshot {
			continue
		}
		if err := l.files.Remove(name); err != nil {
			return steperror.Wrap(step, name, err)
		}
	}
	return steperror.Wrap(step, "", l.files.SyncDir())
}

// PeakDiskUsage returns the bytes that the log takes on the disk while the next snapshot, as
// large as the last, is written beside it.
func (l *Log) PeakDiskUsage() int64 { return l.segmentBytes + 2*l.snapshotBytes }

// Close releases the open segment.
func (l *Log) Close() error { return l.segment.Close() }

// LoadIdentity returns the random number of the data folder, and draws one
// when the folder is new.
func LoadIdentity(files FileSystem, draw func() uint64) (uint64, error) {
	const step = "wal.identity"
	names, err := files.List()
	if err != nil {
		return 0, steperror.Wrap(step, "", err)
	}
	for _, name := range names {
		if name != identityName {
			continue
		}
		data, err := files.ReadFile(identityName)
		if err != nil {
			return 0, steperror.Wrap(step, "", err)
		}
		decoder := wire.NewDecoder(data)
		identity := decoder.Uint64()
		return identity, decoder.Err(step)
	}
	identity, err := writeIdentity(files, draw())
	return identity, steperror.Wrap(step, "", err)
}

func writeIdentity(files FileSystem, identity uint64) (uint64, error) {
	var encoder wire.Encoder
	encoder.Uint64(identity)
	return identity, WriteFileAtomic(files, identityName, encoder.Buffer)
}

// WriteFileAtomic writes a whole file so that a loss of power leaves the old one or the new
// one.
func WriteFileAtomic(files FileSystem, name string, data []byte) error {
	file, err := files.Create(temporaryName)
	if err != nil {
		return err
	}
	if _, err := file.Write(data); err != nil {
		return errors.Join(err, file.Close())
	}
	if err := file.Sync(); err != nil {
		return errors.Join(err, file.Close())
	}
	if err := file.Close(); err != nil {
		return err
	}
	if err := files.Rename(temporaryName, name); err != nil {
		return err
	}
	return files.SyncDir()
}

// Clear removes all files of a folder that no longer counts. The identity goes
// first, so that an interruption never leaves an old identity with less state
// than it had.
func Clear(files FileSystem) error {
	const step = "wal.clear"
	if err := files.Remove(identityName); err != nil {
		return steperror.Wrap(step, identityName, err)
	}
	if err := files.SyncDir(); err != nil {
		return steperror.Wrap(step, "", err)
	}
	names, err := files.List()
	if err != nil {
		return steperror.Wrap(step, "", err)
	}
	for _, name := range names {
		if err := files.Remove(name); err != nil {
			return steperror.Wrap(step, name, err)
		}
	}
	return steperror.Wrap(step, "", files.SyncDir())
}
