package registry

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/beamdoor/beamdoor/internal/directory"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/peerlink"
	"github.com/beamdoor/beamdoor/internal/steperror"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// OperatorAction is the action that an operator requests from a member over the member
// protocol.
type OperatorAction uint8

// The actions.
const (
	// ActionList changes nothing and returns the current status.
	ActionList OperatorAction = iota
	// ActionEvacuateZone starts the evacuation of a zone.
	ActionEvacuateZone
	// ActionEndEvacuation ends the evacuation of a zone.
	ActionEndEvacuation
	// ActionEjectTarget stops new flows to a target.
	ActionEjectTarget
	// ActionExemptTarget keeps a target from being ejected.
	ActionExemptTarget
	// ActionReadmitTarget removes either rule and readmits a target that the members
	// ejected.
	ActionReadmitTarget
	// ActionHoldVersion stops new flows to the targets of a version.
	ActionHoldVersion
	// ActionReleaseVersion keeps a version from being held.
	ActionReleaseVersion
	// ActionJudgeVersion removes either rule.
	ActionJudgeVersion
)

// targetRuleOf maps the actions on a target to rules.
var targetRuleOf = map[OperatorAction]directory.TargetRule{
	ActionEjectTarget:   directory.RuleEjected,
	ActionExemptTarget:  directory.RuleExempt,
	ActionReadmitTarget: directory.RuleJudged,
}

// versionRuleOf maps the actions on a version to rules.
var versionRuleOf = map[OperatorAction]directory.VersionRule{
	ActionHoldVersion:    directory.VersionHeld,
	ActionReleaseVersion: directory.VersionReleased,
	ActionJudgeVersion:   directory.VersionJudged,
}

// operatorTimeout limits how long a request waits for the group: long enough for an
// election and a write.
const operatorTimeout = 3 * time.Second

// OperatorRequest is a request of an operator to a member.
type OperatorRequest struct {
	Action OperatorAction
	Zone   string
	// Target is the ID of a target. If ready, it is included in the response even in the
	// default state.
	Target string
	// Version identifies a version of a service.
	Version directory.ServiceVersion
	// Position is the log position with which the caller confirms an order. It is 0 in the
	// first request; see OperatorResponse.Confirm.
	Position uint64
}

func (o OperatorRequest) frame() wire.Frame {
	var encoder wire.Encoder
	encoder.Uint8(uint8(o.Action))
	encoder.String(o.Zone)
	encoder.String(o.Target)
	if o.Version.Version != "" || o.Position > 0 {
		encoder.String(o.Version.Service)
		encoder.String(o.Version.Version)
	}
	if o.Position > 0 {
		encoder.Uint64(o.Position)
	}
	return wire.Frame{Kind: wire.FrameOrder, Payload: encoder.Buffer}
}

func decodeOperatorRequest(payload []byte) (OperatorRequest, error) {
	decoder := wire.NewDecoder(payload)
	request := OperatorRequest{Action: OperatorAction(decoder.Uint8()), Zone: decoder.String()}
	// Older clients omit the fields below.
	if decoder.HasMore() {
		request.Target = decoder.String()
	}
	if decoder.HasMore() {
		request.Version = directory.ServiceVersion{Service: decoder.String(), Version: decoder.String()}
	}
	if decoder.HasMore() {
		request.Position = decoder.Uint64()
	}
	return request, decoder.Err("registry.decode_order")
}

// ZoneStatus is the number of ready targets of a service in a zone, and their slots.
type ZoneStatus struct {
	Zone, Service  string
	Targets, Slots uint32
	// Evacuated is set while the zone gets no new flows.
	Evacuated bool
}

// OperatorResponse is a member's response to a request.
type OperatorResponse struct {
	// Error says why the request failed, and is empty when it succeeded. Rejected is set
	// when a retry cannot succeed.
	Error    string
	Rejected bool
	// Zones are the zones of all services, sorted by service and zone.
	Zones []ZoneStatus
	// Targets are the ready targets that are not in the default state, and the one that the
	// request names.
	Targets []TargetStatus
	// Versions are the versions of all services, sorted by service and version.
	Versions []VersionStatus
	// Confirm is the log position with which the caller must confirm the order, if it was not
	// submitted for that reason. Clients without confirmations see Error.
	Confirm uint64
}

func (r OperatorResponse) frame() wire.Frame {
	var encoder wire.Encoder
	encoder.String(r.Error)
	encoder.Bool(r.Rejected)
	encoder.Uint32(uint32(len(r.Zones)))
	for _, status := range r.Zones {
		encoder.String(status.Zone)
		encoder.String(status.Service)
		encoder.Uint32(status.Targets)
		encoder.Uint32(status.Slots)
		encoder.Bool(status.Evacuated)
	}
	encodeTargetStatuses(&encoder, r.Targets)
	if len(r.Versions) > 0 || r.Confirm > 0 {
		encodeVersionStatuses(&encoder, r.Versions)
	}
	if r.Confirm > 0 {
		encoder.Uint64(r.Confirm)
	}
	return wire.Frame{Kind: wire.FrameOrderReply, Payload: encoder.Buffer}
}

// minZoneStatusSize is the encoded size in bytes of a status with empty names.
const minZoneStatusSize = 17

func decodeOperatorResponse(payload []byte) (OperatorResponse, error) {
	decoder := wire.NewDecoder(payload)
	response := OperatorResponse{Error: decoder.String(), Rejected: decoder.Bool()}
	for count := decoder.Count(minZoneStatusSize); count > 0; count-- {
		response.Zones = append(response.Zones, ZoneStatus{
			Zone: decoder.String(), Service: decoder.String(), Targets: decoder.Uint32(), Slots: decoder.Uint32(), Evacuated: decoder.Bool(),
		})
	}
	if decoder.HasMore() {
		response.Targets = decodeTargetStatuses(decoder)
	}
	if decoder.HasMore() {
		response.Versions = decodeVersionStatuses(decoder)
	}
	if decoder.HasMore() {
		response.Confirm = decoder.Uint64()
	}
	return response, decoder.Err("registry.decode_order_reply")
}

// SendOperatorRequest sends a request to the first member that accepts a connection, confirms
// it if the member asks for that, and returns the response.
func SendOperatorRequest(ctx context.Context, addresses []string, request OperatorRequest) (OperatorResponse, error) {
	const step = "registry.send_order"
	remaining := slices.Clone(addresses)
	connection, address, err := peerlink.DialFirst(ctx, func() (string, bool) {
		if len(remaining) == 0 {
			return "", false
		}
		next := remaining[0]
		remaining = remaining[1:]
		return next, true
	})
	if err != nil {
		return OperatorResponse{}, err
	}
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	response, err := exchangeOperatorRequest(connection, reader, request)
	if err == nil && response.Confirm > 0 {
		request.Position = response.Confirm
		response, err = exchangeOperatorRequest(connection, reader, request)
	}
	return response, steperror.Wrap(step, address, err)
}

// exchangeOperatorRequest sends a request on a connection and waits for the response.
func exchangeOperatorRequest(connection net.Conn, reader *bufio.Reader, request OperatorRequest) (OperatorResponse, error) {
	if err := peerlink.Write(connection, wire.AppendFrame(nil, request.frame())); err != nil {
		return OperatorResponse{}, err
	}
	if err := connection.SetReadDeadline(time.Now().Add(operatorTimeout + time.Second)); err != nil {
		return OperatorResponse{}, err
	}
	frame, err := wire.ReadFrame(reader)
	if err != nil {
		return OperatorResponse{}, err
	}
	return decodeOperatorResponse(frame.Payload)
}

// serveOperatorRequest handles a request and sends the response.
func (p *Process) serveOperatorRequest(connection net.Conn, frame wire.Frame) {
	request, err := decodeOperatorRequest(frame.Payload)
	if err != nil {
		p.logger.Event(eventlog.BadFrame, "peer", connection.RemoteAddr(), "err", err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	response := p.handleOperatorRequest(ctx, request)
	if err := peerlink.Write(connection, wire.AppendFrame(nil, response.frame())); err != nil {
		p.logger.Sampled(eventlog.BadFrame, "peer", connection.RemoteAddr(), "err", err)
	}
}

func (p *Process) handleOperatorRequest(ctx context.Context, request OperatorRequest) OperatorResponse {
	var err error
	switch request.Action {
	case ActionEvacuateZone:
		err = p.Evacuate(ctx, request.Zone, true, request.Position)
	case ActionEndEvacuation:
		err = p.Evacuate(ctx, request.Zone, false, request.Position)
	case ActionEjectTarget, ActionExemptTarget, ActionReadmitTarget:
		err = p.SetTargetRule(ctx, request.Target, targetRuleOf[request.Action], request.Position)
	case ActionHoldVersion, ActionReleaseVersion, ActionJudgeVersion:
		err = p.SetVersionRule(ctx, request.Version, versionRuleOf[request.Action], request.Position)
	}
	var response OperatorResponse
	if err == nil {
		response, err = p.readStatus(ctx, request.Target)
	}
	if err != nil {
		var problem *directory.Problem
		response = OperatorResponse{Error: err.Error(), Rejected: errors.As(err, &problem)}
	}
	var unconfirmed *directory.UnconfirmedOrderError
	if errors.As(err, &unconfirmed) {
		response.Rejected = true
		response.Confirm = unconfirmed.Position
	}
	return response
}

// readStatus returns the status of zones, targets and versions as a linearizable read.
func (p *Process) readStatus(ctx context.Context, id string) (OperatorResponse, error) {
	if _, err := p.call(ctx, func(core *Core, now kernel.Instant) (Ticket, Output) { return core.Read(now) }); err != nil {
		return OperatorResponse{}, err
	}
	answer := make(chan OperatorResponse, 1)
	_, err := p.call(ctx, func(core *Core, _ kernel.Instant) (Ticket, Output) {
		answer <- OperatorResponse{Zones: core.zoneStatuses(), Targets: core.targetStatuses(id), Versions: core.versionStatuses()}
		return 0, Output{}
	})
	if err != nil {
		return OperatorResponse{}, err
	}
	return <-answer, nil
}

func (c *Core) zoneStatuses() []ZoneStatus {
	type zoneService struct{ zone, service string }
	statuses := map[zoneService]ZoneStatus{}
	c.state.EachTarget(func(target *directory.Target) {
		if target.State != directory.TargetReady {
			return
		}
		key := zoneService{zone: target.Zone, service: target.Service}
		status := statuses[key]
		status.Zone, status.Service = target.Zone, target.Service
		status.Targets++
		status.Slots += target.Slots
		status.Evacuated = c.state.Evacuation(target.Zone).Active
		statuses[key] = status
	})
	return slices.SortedFunc(maps.Values(statuses), func(a, b ZoneStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone))
	})
}
