package wal

import (
	"fmt"
	"strings"

	"github.com/beamdoor/beamdoor/internal/raft"
	"github.com/beamdoor/beamdoor/internal/steperror"
)

// reader restores the state of a member from its data directory.
type reader struct {
	files       FileSystem
	restored    raft.PersistentState
	report      Report
	lastSegment string
	sequence    uint64
	validBytes  int64
	// segmentBytes is the valid size of all segments read, snapshotBytes the size of the
	// newest snapshot.
	segmentBytes, snapshotBytes int64
}

func (r *reader) read() error {
	names, err := r.files.List()
	if err != nil {
		return steperror.Wrap("wal.list", "", err)
	}
	var segments, snapshots []string
	for _, name := range names {
		switch {
		case strings.HasPrefix(name, segmentPrefix):
			segments = append(segments, name)
		case strings.HasPrefix(name, snapshotPrefix):
			snapshots = append(snapshots, name)
		}
	}
	if err := r.readSnapshot(snapshots); err != nil {
		return err
	}
	for position, name := range segments {
		if err := r.readSegment(name, position == len(segments)-1); err != nil {
			return err
		}
	}
	return r.checkContinuity()
}

func (r *reader) readSnapshot(names []string) error {
	const step = "wal.read_snapshot"
	if len(names) == 0 {
		return nil
	}
	newest := names[len(names)-1]
	data, err := r.files.ReadFile(newest)
	if err != nil {
		return steperror.Wrap(step, newest, err)
	}
	kind, payload, _, ok := parseRecord(data)
	if !ok || kind != recordSnapshot {
		return steperror.New(step, newest, "snapshot is damaged: checksum mismatch")
	}
	snapshot, err := decodeSnapshot(payload)
	if err != nil {
		return steperror.Wrap(step, newest, err)
	}
	r.restored.Snapshot = snapshot
	r.snapshotBytes = int64(len(data))
	return nil
}

func (r *reader) readSegment(name string, last bool) error {
	const step = "wal.read_segment"
	data, err := r.files.ReadFile(name)
	if err != nil {
		return steperror.Wrap(step, name, err)
	}
	r.report.Segments++
	r.lastSegment = name
	if _, err := fmt.Sscanf(name, segmentPrefix+"%016x", &r.sequence); err != nil {
		return steperror.New(step, name, "segment name is not a number")
	}
	offset := 0
	for offset < len(data) {
		kind, payload, size, ok := parseRecord(data[offset:])
		if !ok {
			break
		}
		if err := r.addRecord(kind, payload); err != nil {
			return steperror.Wrap(step, name, err)
		}
		r.report.Records++
		offset += size
	}
	r.validBytes = int64(offset)
	r.segmentBytes += r.validBytes
	if offset == len(data) {
		return nil
	}
	if !last || containsMarker(data[offset+1:]) {
		reason := fmt.Sprintf("record at byte %d is damaged and a synced batch follows", offset)
		return steperror.New(step, name, reason)
	}
	r.report.TornBytes = len(data) - offset
	return nil
}

func (r *reader) addRecord(kind recordKind, payload []byte) error {
	var err error
	switch kind {
	case recordEntry:
		var entry raft.Entry
		if entry, err = raft.DecodeEntry(payload); err == nil {
			r.addEntry(entry)
		}
	case recordHardState:
		r.restored.HardState, err = decodeHardState(payload)
	case recordMarker:
	default:
		err = steperror.New("wal.apply", "", fmt.Sprintf("unknown record kind %d", kind))
	}
	return err
}

// addEntry appends an entry. An entry at an existing index replaces that entry and
// all later ones.
func (r *reader) addEntry(entry raft.Entry) {
	if entry.Index <= r.restored.Snapshot.Index {
		return
	}
	for len(r.restored.Entries) > 0 {
		newest := r.restored.Entries[len(r.restored.Entries)-1]
		if newest.Index < entry.Index {
			break
		}
		r.restored.Entries = r.restored.Entries[:len(r.restored.Entries)-1]
	}
	r.restored.Entries = append(r.restored.Entries, entry)
}

func (r *reader) checkContinuity() error {
	next := r.restored.Snapshot.Index + 1
	for _, entry := range r.restored.Entries {
		if entry.Index != next {
			reason := fmt.Sprintf("entry %d is missing", next)
			return steperror.New("wal.check", "", reason)
		}
		next++
	}
	return nil
}
