package raft

import (
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// MemberID identifies a member of the group; it is never reused.
type MemberID uint32

// NoMember is the absent member.
const NoMember MemberID = 0

// EntryKind tells what a log entry holds.
type EntryKind uint8

// The kinds of log entries.
const (
	// EntryNoOp is appended by a new leader (Raft paper, section 8).
	EntryNoOp EntryKind = iota
	// EntryCommand holds a command of the state machine.
	EntryCommand
	// EntryMembership holds an encoded Membership.
	EntryMembership
)

// Entry is one entry of the replicated log.
type Entry struct {
	Term  uint64
	Index uint64
	Kind  EntryKind
	Data  []byte
}

// HardState must be on disk before a message that depends on it is sent.
type HardState struct {
	Term uint64
	Vote MemberID
	// Commit is the position up to which the log was known to be committed when this was
	// written. It never falls, and nothing waits for it to be on disk.
	Commit uint64
}

// Snapshot replaces all entries up to and including Index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	Data       []byte
}

// MessageKind tells the purpose of a message between members.
type MessageKind uint8

// The kinds of messages between members.
const (
	// MessagePreVote asks whether a vote would be granted (Raft thesis, section 9.6).
	MessagePreVote MessageKind = iota + 1
	// MessagePreVoteReply answers MessagePreVote.
	MessagePreVoteReply
	// MessageVote asks for a vote.
	MessageVote
	// MessageVoteReply answers MessageVote.
	MessageVoteReply
	// MessageAppend carries entries, or none as a heartbeat.
	MessageAppend
	// MessageAppendReply answers MessageAppend.
	MessageAppendReply
	// MessageSnapshot carries one chunk of a snapshot.
	MessageSnapshot
	// MessageSnapshotReply asks for the chunk at Offset.
	MessageSnapshotReply
)

// Message travels between two members.
type Message struct {
	Kind MessageKind
	From MemberID
	To   MemberID
	// Identity is the random number of the sender's data folder. A member
	// that lost its disk has another one than the membership says and is not
	// listened to.
	Identity uint64
	Term     uint64
	// LogIndex and LogTerm describe the entry before Entries, the last entry
	// of a candidate, or the last entry of a snapshot.
	LogIndex uint64
	LogTerm  uint64
	Commit   uint64
	Entries  []Entry
	// Reject refuses a vote or an append; then LogIndex is a hint where to retry.
	Reject bool
	// SentAt is the leader's clock when it sent an append; the reply echoes it.
	SentAt kernel.Instant
	// Offset, Data, Last and Membership belong to snapshots.
	Offset     uint64
	Data       []byte
	Last       bool
	Membership Membership
}

// EncodeEntry returns the bytes of one entry, for the disk and the network.
func EncodeEntry(entry Entry) []byte {
	var encoder wire.Encoder
	encodeEntry(&encoder, entry)
	return encoder.Buffer
}

func encodeEntry(encoder *wire.Encoder, entry Entry) {
	encoder.Uint64(entry.Term)
	encoder.Uint64(entry.Index)
	encoder.Uint8(uint8(entry.Kind))
	encoder.Bytes(entry.Data)
}

func decodeEntry(decoder *wire.Decoder) Entry {
	entry := Entry{
		Term:  decoder.Uint64(),
		Index: decoder.Uint64(),
		Kind:  EntryKind(decoder.Uint8()),
	}
	entry.Data = append([]byte(nil), decoder.Bytes()...)
	return entry
}

// DecodeEntry reads one entry and copies its data.
func DecodeEntry(data []byte) (Entry, error) {
	decoder := wire.NewDecoder(data)
	entry := decodeEntry(decoder)
	return entry, decoder.Err("raft.decode_entry")
}

// EncodeMessage returns the bytes of one message.
func EncodeMessage(message Message) []byte {
	var encoder wire.Encoder
	encoder.Uint8(uint8(message.Kind))
	encoder.Uint32(uint32(message.From))
	encoder.Uint32(uint32(message.To))
	encoder.Uint64(message.Identity)
	encoder.Uint64(message.Term)
	encoder.Uint64(message.LogIndex)
	encoder.Uint64(message.LogTerm)
	encoder.Uint64(message.Commit)
	encoder.Bool(message.Reject)
	encoder.Uint64(uint64(message.SentAt))
	encoder.Uint64(message.Offset)
	encoder.Bool(message.Last)
	message.Membership.encode(&encoder)
	encoder.Bytes(message.Data)
	encoder.Uint32(uint32(len(message.Entries)))
	for _, entry := range message.Entries {
		encodeEntry(&encoder, entry)
	}
	return encoder.Buffer
}

// smallestEntry is the size of an entry without data, in bytes.
const smallestEntry = 21

// DecodeMessage reads one message.
func DecodeMessage(data []byte) (Message, error) {
	decoder := wire.NewDecoder(data)
	message := Message{
		Kind:     MessageKind(decoder.Uint8()),
		From:     MemberID(decoder.Uint32()),
		To:       MemberID(decoder.Uint32()),
		Identity: decoder.Uint64(),
		Term:     decoder.Uint64(),
		LogIndex: decoder.Uint64(),
		LogTerm:  decoder.Uint64(),
		Commit:   decoder.Uint64(),
		Reject:   decoder.Bool(),
		SentAt:   kernel.Instant(decoder.Uint64()),
		Offset:   decoder.Uint64(),
		Last:     decoder.Bool(),
	}
	message.Membership = decodeMembership(decoder)
	message.Data = append([]byte(nil), decoder.Bytes()...)
	for count := decoder.Count(smallestEntry); count > 0; count-- {
		message.Entries = append(message.Entries, decodeEntry(decoder))
	}
	return message, decoder.Err("raft.decode_message")
}
