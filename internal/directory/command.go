package directory

import (
	"github.com/beamdoor/beamdoor/internal/steperror"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// CommandKind is the type of a command in the replicated log.
type CommandKind uint8

// The kinds of commands. All of them are safe to apply more than once.
const (
	// CommandPublish edits the configuration.
	CommandPublish CommandKind = iota + 1
	// CommandPutTarget registers a target, or moves a registered one to a later state.
	CommandPutTarget
	// CommandEndTarget marks the target with the given ID as leaving or ended.
	CommandEndTarget
	// CommandAddMember adds a control member with the next free ID.
	CommandAddMember
	// CommandRemoveMember removes a control member.
	CommandRemoveMember
	// CommandEvacuate starts or ends the evacuation of a zone.
	CommandEvacuate
	// CommandOrderTarget sets the operator's rule for a target: judged, ejected or
	// exempt.
	CommandOrderTarget
	// CommandOrderVersion sets the operator's rule for a version of a service: judged,
	// held or released.
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

	// Confirmation is that of an operator's order.
	Confirmation Confirmation
}

// EncodeCommand encodes a command for the log.
func EncodeCommand(command Command) []byte {
	var encoder wire.Encoder
	encoder.Uint8(uint8(command.Kind))
	switch command.Kind {
	case CommandPublish:
		encodeEdit(&encoder, command.Edit)
	case CommandPutTarget, CommandEndTarget:
		encodeTarget(&encoder, command.Target)
		encodeOptionalFields(&encoder, command.Target)
	case CommandAddMember, CommandRemoveMember:
		encodeMember(&encoder, command.Member)
	case CommandEvacuate:
		encodeEvacuation(&encoder, command.Evacuation)
		encodeConfirmation(&encoder, command.Confirmation)
	case CommandOrderTarget:
		encodeTargetOrder(&encoder, command.TargetOrder)
		encodeConfirmation(&encoder, command.Confirmation)
	case CommandOrderVersion:
		encodeVersionOrder(&encoder, command.VersionOrder)
		encodeConfirmation(&encoder, command.Confirmation)
	}
	return encoder.Buffer
}

// DecodeCommand decodes a command from the log.
func DecodeCommand(data []byte) (Command, error) {
	const step = "directory.decode_command"
	decoder := wire.NewDecoder(data)
	command := Command{Kind: CommandKind(decoder.Uint8())}
	switch command.Kind {
	case CommandPublish:
		command.Edit = decodeEdit(decoder)
	case CommandPutTarget, CommandEndTarget:
		command.Target = decodeTarget(decoder)
		decodeOptionalFields(decoder, &command.Target)
	case CommandAddMember, CommandRemoveMember:
		command.Member = decodeMember(decoder)
	case CommandEvacuate:
		command.Evacuation = decodeEvacuation(decoder)
		command.Confirmation = decodeConfirmation(decoder)
	case CommandOrderTarget:
		command.TargetOrder = decodeTargetOrder(decoder)
		command.Confirmation = decodeConfirmation(decoder)
	case CommandOrderVersion:
		command.VersionOrder = decodeVersionOrder(decoder)
		command.Confirmation = decodeConfirmation(decoder)
	default:
		return Command{}, steperror.New(step, "", "unknown command kind")
	}
	return command, decoder.Err(step)
}

// Code is the result code of a command.
type Code uint8

// The result codes of commands.
const (
	// CodeDone means that the state reflects the command, also if it did so before.
	CodeDone Code = iota
	// CodeConflict means that another edit or order was applied first; the state is
	// unchanged.
	CodeConflict
	// CodeNotFound means that the target is not registered, the version has no live
	// targets or the rule does not exist; the state is unchanged.
	CodeNotFound
	// CodeAddressInUse means that the address belongs to another target that was heard
	// from recently; the state is unchanged.
	CodeAddressInUse
	// CodeOutdated means that the command refers to a start that a later start has
	// replaced; the state is unchanged.
	CodeOutdated
)

// Result is the result of a command.
type Result struct {
	Code Code
	// Revision is the log position of the command.
	Revision uint64
}
