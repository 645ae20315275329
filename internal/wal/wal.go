// Package wal stores the persistent state of a Raft member: a segmented write-ahead
// log with a checksum per record, snapshots, and the identity of the data directory.
// Data is durable once Save has returned without an error.
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
	tempName       = "snapshot.tmp"
	identityName   = "identity"
)

// Log is an open write-ahead log. After the first failed write or sync every later
// Save fails, because the contents of the disk are then unknown.
type Log struct {
	files    FileSystem
	segment  File
	sequence uint64
	err      error
	// segmentBytes is the size of the live segments, snapshotBytes that of the snapshot.
	segmentBytes, snapshotBytes int64
	// commit is the commit index last written.
	commit uint64
	// SkipSync omits syncs; used by ablation tests.
	SkipSync bool
}

func segmentName(sequence uint64) string { return fmt.Sprintf("%s%016x", segmentPrefix, sequence) }

func snapshotName(index uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, index) }

// Report describes what was read from the data directory.
type Report struct {
	// TornBytes is the size of the torn tail, which Open truncates.
	TornBytes int
	// Segments is the number of log segments read.
	Segments int
	// Records is the number of valid records read.
	Records int
}

// Open reads the data directory, truncates a torn tail and opens the log for appending.
// Damage to synced data is an error: acknowledged entries may be lost, and the member
// has to be replaced.
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

// Verify reads the data directory without modifying it.
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

// Save persists the snapshot, entries and hard state of a Ready and syncs them. A new
// commit index alone does not cause a write; it is saved with the next entries.
func (l *Log) Save(ready raft.Ready, state raft.PersistentState) error {
	if l.err != nil {
		return l.err
	}
	if ready.Snapshot != nil {
		return l.recordError(l.Rewrite(state))
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
		return l.recordError(steperror.Wrap("wal.append", "", err))
	}
	if err := l.sync(l.segment); err != nil {
		return l.recordError(steperror.Wrap("wal.sync", "", err))
	}
	l.segmentBytes += int64(len(buffer))
	l.commit = max(l.commit, ready.HardState.Commit)
	return l.appendMarker()
}

// appendMarker appends a marker after a synced batch. The marker itself is not synced; without
// it, the last batch counts as possibly unsynced when the log is read.
func (l *Log) appendMarker() error {
	marker := appendRecord(nil, recordMarker, nil)
	_, err := l.segment.Write(marker)
	l.segmentBytes += int64(len(marker))
	return l.recordError(steperror.Wrap("wal.mark", "", err))
}

func (l *Log) sync(file File) error {
	if l.SkipSync {
		return nil
	}
	return file.Sync()
}

func (l *Log) recordError(err error) error {
	if err != nil && l.err == nil {
		l.err = err
	}
	return err
}

// Rewrite writes a snapshot and a new segment with the entries after it, then removes
// the old segments and snapshots.
func (l *Log) Rewrite(state raft.PersistentState) error {
	if err := l.writeSnapshot(state.Snapshot); err != nil {
		return l.recordError(err)
	}
	if err := l.startSegment(state); err != nil {
		return l.recordError(err)
	}
	return l.recordError(l.removeOld(state.Snapshot.Index))
}

func (l *Log) writeSnapshot(snapshot raft.Snapshot) error {
	const step = "wal.write_snapshot"
	file, err := l.files.Create(tempName)
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
	if err := l.files.Rename(tempName, snapshotName(snapshot.Index)); err != nil {
		return steperror.Wrap(step, "", err)
	}
	return steperror.Wrap(step, "", l.files.SyncDir())
}

func (l *Log) startSegment(state raft.PersistentState) error {
	const step = "wal.start_segment"
	name := segmentName(l.sequence + 1)
	file, err := l.files.Create(name)
	if err != nil {
		return steperror.Wrap(step, name, err)
	}
	buffer := appendRecord(nil, recordHardState, encodeHardState(state.HardState))
	for _, entry := range state.Entries {
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
	l.commit = max(l.commit, state.HardState.Commit)
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

// PeakDiskUsage returns the disk space in bytes needed while the next snapshot is
// written, assuming that it is as large as the last one.
func (l *Log) PeakDiskUsage() int64 { return l.segmentBytes + 2*l.snapshotBytes }

// Close closes the open segment.
func (l *Log) Close() error { return l.segment.Close() }

// LoadIdentity returns the random identity of the data directory. It generates and
// stores one if there is none.
func LoadIdentity(files FileSystem, generate func() uint64) (uint64, error) {
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
	identity, err := writeIdentity(files, generate())
	return identity, steperror.Wrap(step, "", err)
}

func writeIdentity(files FileSystem, identity uint64) (uint64, error) {
	var encoder wire.Encoder
	encoder.Uint64(identity)
	return identity, WriteFileAtomic(files, identityName, encoder.Buffer)
}

// WriteFileAtomic replaces a file through a temporary file and a rename. After a crash
// the file holds either the old or the new contents.
func WriteFileAtomic(files FileSystem, name string, data []byte) error {
	file, err := files.Create(tempName)
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
	if err := files.Rename(tempName, name); err != nil {
		return err
	}
	return files.SyncDir()
}

// Clear removes all files of the data directory. It removes the identity first, so
// that an interrupted run never leaves an identity with incomplete state.
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
