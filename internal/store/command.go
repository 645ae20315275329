package store

import (
	"google.golang.org/protobuf/proto"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
	"github.com/beamdoor/beamdoor/internal/steperror"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// CommandKind identifies the request type that a command holds.
type CommandKind uint8

// The command kinds.
const (
	// CommandApply holds an ApplyRequest.
	CommandApply CommandKind = iota + 1
	// CommandSetDraining holds a SetDrainingRequest.
	CommandSetDraining
	// CommandRemoveBalancer holds a RemoveBalancerRequest.
	CommandRemoveBalancer
	// CommandChangeView holds a ViewChange.
	CommandChangeView
	// CommandSetMember holds a ChangeMemberRequest, which sets or removes a member's
	// addresses.
	CommandSetMember
)

// Command is a write to the replicated state.
type Command struct {
	Kind CommandKind
	// UnixMilliseconds is the leader's wall clock time, used only in the history.
	UnixMilliseconds int64
	Body             proto.Message
}

func newBody(kind CommandKind) proto.Message {
	switch kind {
	case CommandApply:
		return &beamdoorv1.ApplyRequest{}
	case CommandSetDraining:
		return &beamdoorv1.SetDrainingRequest{}
	case CommandRemoveBalancer:
		return &beamdoorv1.RemoveBalancerRequest{}
	case CommandChangeView:
		return &beamdoorv1.ViewChange{}
	case CommandSetMember:
		return &beamdoorv1.ChangeMemberRequest{}
	}
	return nil
}

// EncodeCommand encodes a command for the log.
func EncodeCommand(command Command) ([]byte, error) {
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(command.Body)
	if err != nil {
		return nil, steperror.Wrap("store.encode_command", "", err)
	}
	var encoder wire.Encoder
	encoder.Uint8(uint8(command.Kind))
	encoder.Uint64(uint64(command.UnixMilliseconds))
	encoder.Bytes(body)
	return encoder.Buffer, nil
}

// DecodeCommand decodes a command from the log.
func DecodeCommand(data []byte) (Command, error) {
	const step = "store.decode_command"
	decoder := wire.NewDecoder(data)
	command := Command{
		Kind:             CommandKind(decoder.Uint8()),
		UnixMilliseconds: int64(decoder.Uint64()),
	}
	body := decoder.Bytes()
	if err := decoder.Err(step); err != nil {
		return Command{}, err
	}
	command.Body = newBody(command.Kind)
	if command.Body == nil {
		return Command{}, steperror.New(step, "", "unknown command kind")
	}
	return command, steperror.Wrap(step, "", proto.Unmarshal(body, command.Body))
}
