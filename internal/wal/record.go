package wal

import (
	"encoding/binary"
	"hash/crc32"
	"sync"

	"github.com/beamdoor/beamdoor/internal/raft"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// recordKind is the type of a log record.
type recordKind uint8

const (
	recordEntry recordKind = iota + 1
	recordHardState
	// recordMarker is an empty record appended after a batch was synced. It distinguishes
	// damaged records before it from a torn tail.
	recordMarker
	recordSnapshot
)

// A record consists of the payload length (4 bytes), a CRC-32C over kind and payload
// (4 bytes), the kind (1 byte) and the payload.
const (
	lengthSize = 4
	headerSize = 9
)

// castagnoli is built on first use, because most processes open no log.
var castagnoli = sync.OnceValue(func() *crc32.Table { return crc32.MakeTable(crc32.Castagnoli) })

func appendRecord(buffer []byte, kind recordKind, payload []byte) []byte {
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(payload)))
	checksum := crc32.Update(crc32.Checksum([]byte{byte(kind)}, castagnoli()), castagnoli(), payload)
	buffer = binary.BigEndian.AppendUint32(buffer, checksum)
	buffer = append(buffer, byte(kind))
	return append(buffer, payload...)
}

// parseRecord parses the record at the start of data. It returns false if the record is
// incomplete or its checksum does not match.
func parseRecord(data []byte) (kind recordKind, payload []byte, size int, ok bool) {
	if len(data) < headerSize {
		return 0, nil, 0, false
	}
	length := int64(binary.BigEndian.Uint32(data))
	if length > int64(len(data)-headerSize) {
		return 0, nil, 0, false
	}
	want := binary.BigEndian.Uint32(data[lengthSize:])
	size = headerSize + int(length)
	body := data[headerSize-1 : size]
	if crc32.Checksum(body, castagnoli()) != want {
		return 0, nil, 0, false
	}
	return recordKind(body[0]), body[1:], size, true
}

// containsMarker reports whether data contains a marker at any offset. A marker after an
// invalid record means that the record was synced and later damaged. Without one, the
// rest belongs to an unsynced batch, any part of which may be missing.
func containsMarker(data []byte) bool {
	for offset := 0; offset+headerSize <= len(data); offset++ {
		kind, _, _, ok := parseRecord(data[offset:])
		if ok && kind == recordMarker {
			return true
		}
	}
	return false
}

func encodeHardState(state raft.HardState) []byte {
	var encoder wire.Encoder
	encoder.Uint64(state.Term)
	encoder.Uint32(uint32(state.Vote))
	encoder.Uint64(state.Commit)
	return encoder.Buffer
}

func decodeHardState(data []byte) (raft.HardState, error) {
	decoder := wire.NewDecoder(data)
	state := raft.HardState{Term: decoder.Uint64(), Vote: raft.MemberID(decoder.Uint32())}
	// Records written by older versions have no commit index.
	if decoder.HasMore() {
		state.Commit = decoder.Uint64()
	}
	return state, decoder.Err("wal.decode_hard_state")
}

func encodeSnapshot(snapshot raft.Snapshot) []byte {
	var encoder wire.Encoder
	encoder.Uint64(snapshot.Index)
	encoder.Uint64(snapshot.Term)
	encoder.Bytes(raft.EncodeMembership(snapshot.Membership))
	encoder.Bytes(snapshot.Data)
	return encoder.Buffer
}

func decodeSnapshot(data []byte) (raft.Snapshot, error) {
	decoder := wire.NewDecoder(data)
	snapshot := raft.Snapshot{Index: decoder.Uint64(), Term: decoder.Uint64()}
	membershipBytes := decoder.Bytes()
	snapshot.Data = append([]byte(nil), decoder.Bytes()...)
	if err := decoder.Err("wal.decode_snapshot"); err != nil {
		return raft.Snapshot{}, err
	}
	membership, err := raft.DecodeMembership(membershipBytes)
	snapshot.Membership = membership
	return snapshot, err
}
