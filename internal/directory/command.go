package directory

import (
	"github.com/beamdoor/beamdoor/internal/steperror"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// CommandKind tells what a command of the replicated log does.
type CommandKind uint8

// The kinds of commands. All may be repeated without harm.
const (
	// CommandPublish edits the configuration.
	CommandPublish CommandKind = iota + 1
	// CommandPutTarget registers a target, or moves a known one to a later stage.
	CommandPutTarget
	// CommandEndTarget notes that the target named by its ID ends.
	CommandEndTarget
	// CommandAddMember adds a control member under the next free number.
	CommandAddMember
	// CommandRemoveMember removes a control member.
	CommandRemoveMember
	// CommandEvacuate begins or ends the evacuation of a zone.
	CommandEvacuate
	// CommandOrderTarget says whether a target is judged, ejected or exempt.
	CommandOrderTarget
	// CommandOrderVersion says whether a version of a service is judged, held or
	// released.
	CommandOrderVersion
)

// Command is one write to the replicated state.
type Command struct {
	Kind       CommandKind
	Edit       Edit
	Target     Target
	Member     Member
	Evacuation Evacuation

	TargetOrder TargetOrder

	VersionOrder VersionOrder
}

// EncodeCommand returns the bytes of a command for the log.
func EncodeCommand(command Command) []byte {
	var encoder wire.Encoder
	encoder.Uint8(uint8(command.Kind))
	switch command.Kind {
	case CommandPublish:
		encodeEdit(&encoder, command.Edit)
	case CommandPutTarget, CommandEndTarget:
		encodeTarget(&encoder, command.Target)
		encodeTargetDetails(&encoder, command.Target)
	case CommandAddMember, CommandRemoveMember:
		encodeMember(&encoder, command.Member)
	case CommandEvacuate:
		encodeEvacuation(&encoder, command.Evacuation)
	case CommandOrderTarget:
		encodeTargetOrder(&encoder, command.TargetOrder)
	case CommandOrderVersion:
		encodeVersionOrder(&encoder, command.VersionOrder)
	}
	return encoder.Buffer
}

// DecodeCommand reads a command from the log.
func DecodeCommand(data []byte) (Command, error) {
	const step = "directory.decode_command"
	decoder := wire.NewDecoder(data)
	command := Command{Kind: CommandKind(decoder.Uint8())}
	switch command.Kind {
	case CommandPublish:
		command.Edit = decodeEdit(decoder)
	case CommandPutTarget, CommandEndTarget:
		command.Target = decodeTarget(decoder)
		decodeTargetDetails(decoder, &command.Target)
	case CommandAddMember, CommandRemoveMember:
		command.Member = decodeMember(decoder)
	case CommandEvacuate:
		command.Evacuation = decodeEvacuation(decoder)
	case CommandOrderTarget:
		command.TargetOrder = decodeTargetOrder(decoder)
	case CommandOrderVersion:
		command.VersionOrder = decodeVersionOrder(decoder)
	default:
		return Command{}, steperror.New(step, "", "unknown command kind")
	}
	return command, decoder.Err(step)
}

// Code is the outcome of a command.
type Code uint8

// The outcomes of a command.
const (
	// CodeDone means that the command is part of the state, also when the
	// state already held what it asks for.
	CodeDone Code = iota
	// CodeConflict means that another edit or order came first; nothing was changed.
	CodeConflict
	// CodeNotFound means that the target is not registered, or that the version has no
	// targets; nothing was changed.
	CodeNotFound
	// CodeAddressInUse means that the target's address is that of another one that was heard
	// lately; nothing was changed.
	CodeAddressInUse
	// CodeOutdated means that the word is that of a start of the target that a later
	// one has replaced; nothing was changed.
	CodeOutdated
)

// Result is the outcome of a command.
type Result struct {
	Code Code
	// Revision is the log position of the command.
	Revision uint64
}
