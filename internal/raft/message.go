package raft

import (
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// MemberID identifies a member of the group; it is never reused.
type MemberID uint32

// NoMember is the absent member.
const NoMember MemberID = 0

// EntryKind is the type of a log entry.
type EntryKind uint8

// The kinds of log entries.
const (
	// EntryNoOp is the empty entry that a new leader appends (Raft paper, section 8).
	EntryNoOp EntryKind = iota
	// EntryCommand holds a state machine command.
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

// HardState is persisted before any message that depends on it is sent.
type HardState struct {
	Term uint64
	Vote MemberID
	// Commit is the commit index known at the time of writing. It never decreases, and
	// does not need to be synced.
	Commit uint64
}

// Snapshot replaces all entries up to and including Index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	Data       []byte
}

// MessageKind is the type of a message between members.
type MessageKind uint8

// The message kinds.
const (
	// MessagePreVote asks whether a vote would be granted (Raft thesis, section 9.6).
	MessagePreVote MessageKind = iota + 1
	// MessagePreVoteReply answers MessagePreVote.
	MessagePreVoteReply
	// MessageVote asks for a vote.
	MessageVote
	// MessageVoteReply answers MessageVote.
	MessageVoteReply
	// MessageAppend carries log entries; without entries it is a heartbeat.
	MessageAppend
	// MessageAppendReply answers MessageAppend.
	MessageAppendReply
	// MessageSnapshot carries one chunk of a snapshot.
	MessageSnapshot
	// MessageSnapshotReply requests the chunk at Offset.
	MessageSnapshotReply
)

// Message is a message between two members.
type Message struct {
	Kind MessageKind
	From MemberID
	To   MemberID
	// Identity is the random identity of the sender's data directory. Messages whose
	// identity does not match the membership are dropped.
	Identity uint64
	Term     uint64
	// LogIndex and LogTerm identify the entry preceding Entries, the candidate's last
	// entry, or the last entry covered by a snapshot. In an append reply, LogIndex is
	// the last matching index; in a snapshot reply, it is the index of the snapshot.
	LogIndex uint64
	LogTerm  uint64
	Commit   uint64
	Entries  []Entry
	// Reject denies a vote or an append; for an append, LogIndex is then the index
	// after which to retry.
	Reject bool
	// SentAt is the leader's clock when it sent the message; the reply echoes it.
	SentAt kernel.Instant
	// Offset, Data, Last and Membership are used by snapshot messages.
	Offset     uint64
	Data       []byte
	Last       bool
	Membership Membership
}

// EncodeEntry encodes an entry. The same format is used on disk and on the network.
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

// DecodeEntry decodes an entry. The result does not alias data.
func DecodeEntry(data []byte) (Entry, error) {
	decoder := wire.NewDecoder(data)
	entry := decodeEntry(decoder)
	return entry, decoder.Err("raft.decode_entry")
}

// EncodeMessage encodes a message.
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

// minEntrySize is the encoded size of an entry without data, in bytes.
const minEntrySize = 21

// DecodeMessage decodes a message. The result does not alias data.
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
	for count := decoder.Count(minEntrySize); count > 0; count-- {
		message.Entries = append(message.Entries, decodeEntry(decoder))
	}
	return message, decoder.Err("raft.decode_message")
}
