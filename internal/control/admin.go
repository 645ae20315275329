package control

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
	"github.com/beamdoor/beamdoor/api/beamdoor/v1/beamdoorv1connect"
	"github.com/beamdoor/beamdoor/internal/config"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/raft"
	"github.com/beamdoor/beamdoor/internal/steperror"
	"github.com/beamdoor/beamdoor/internal/store"
)

// adminService implements the admin API.
type adminService struct {
	process *Process
}

var _ beamdoorv1connect.AdminServiceHandler = (*adminService)(nil)

func (p *Process) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(beamdoorv1connect.NewAdminServiceHandler(&adminService{process: p}))
	mux.Handle("/metrics", p.metrics.handler())
	mux.HandleFunc("/healthz", func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/readyz", p.serveReady)
	return mux
}

// serveReady responds with 200 while the member knows a leader.
func (p *Process) serveReady(writer http.ResponseWriter, request *http.Request) {
	known := false
	err := p.query(request.Context(), func(core *Core, _ kernel.Instant) {
		known = core.Raft().Leader() != raft.NoMember
	})
	if err != nil || !known {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

// newAPIError returns an API error with details. If detail has no step, it takes the step
// and peer of err.
func newAPIError(code connect.Code, err error, detail *beamdoorv1.ErrorDetail) *connect.Error {
	apiError := connect.NewError(code, err)
	if wrapped, ok := asStepError(err); ok && detail.Step == "" {
		detail.Step = wrapped.Step
		detail.Peer = wrapped.Peer
	}
	if encoded, detailErr := connect.NewErrorDetail(detail); detailErr == nil {
		apiError.AddDetail(encoded)
	}
	return apiError
}

func asStepError(err error) (*steperror.Error, bool) {
	var stepError *steperror.Error
	ok := errors.As(err, &stepError)
	return stepError, ok
}

// notLeaderError returns an API error that carries the admin address of the leader.
func (s *adminService) notLeaderError(ctx context.Context, err error) *connect.Error {
	detail := &beamdoorv1.ErrorDetail{Reason: err.Error()}
	_ = s.process.query(ctx, func(core *Core, _ kernel.Instant) {
		for _, member := range core.Store().Members() {
			if member.Id == uint32(core.Raft().Leader()) {
				detail.LeaderAdmin = member.Admin
			}
		}
	})
	return newAPIError(connect.CodeUnavailable, err, detail)
}

// write proposes a command and converts its result to a response.
func (s *adminService) write(ctx context.Context, command store.Command) (*connect.Response[beamdoorv1.WriteResponse], error) {
	result, err := s.process.propose(ctx, command)
	return s.writeResponse(ctx, result, err)
}

func (s *adminService) writeResponse(ctx context.Context, result store.Result, err error) (*connect.Response[beamdoorv1.WriteResponse], error) {
	if err != nil {
		s.process.metrics.writes.WithLabelValues("unknown").Inc()
		return nil, s.notLeaderError(ctx, err)
	}
	if result.Code == store.ErrorNone {
		s.process.metrics.writes.WithLabelValues("accepted").Inc()
		s.process.logger.Event(eventlog.WriteAccepted, "revision", result.Revision, "repeated", result.Repeated)
		return connect.NewResponse(&beamdoorv1.WriteResponse{Revision: result.Revision}), nil
	}
	s.process.metrics.writes.WithLabelValues("refused").Inc()
	s.process.logger.Event(eventlog.WriteRefused, "reason", result.Reason)
	codes := map[store.ErrorCode]connect.Code{
		store.ErrorConflict: connect.CodeAborted,
		store.ErrorInvalid:  connect.CodeInvalidArgument,
		store.ErrorNotFound: connect.CodeNotFound,
	}
	detail := &beamdoorv1.ErrorDetail{
		Step:             "store.apply",
		Reason:           result.Reason,
		ConflictRevision: result.ConflictRevision,
	}
	return nil, newAPIError(codes[result.Code], steperror.New("store.apply", "", result.Reason), detail)
}

func checkRequestID(id []byte) *connect.Error {
	if len(id) == store.RequestIDSize {
		return nil
	}
	reason := "request_id: must be " + strconv.Itoa(store.RequestIDSize) + " bytes"
	return newAPIError(connect.CodeInvalidArgument, errors.New(reason), &beamdoorv1.ErrorDetail{Field: "request_id", Reason: reason})
}

// Apply implements AdminServiceHandler.
func (s *adminService) Apply(ctx context.Context, request *connect.Request[beamdoorv1.ApplyRequest]) (*connect.Response[beamdoorv1.WriteResponse], error) {
	if err := checkRequestID(request.Msg.RequestId); err != nil {
		return nil, err
	}
	if err := config.ValidateRequest(request.Msg); err != nil {
		return nil, newAPIError(connect.CodeInvalidArgument, err, &beamdoorv1.ErrorDetail{Reason: err.Error()})
	}
	return s.write(ctx, store.Command{Kind: store.CommandApply, Body: request.Msg})
}

// SetDraining implements AdminServiceHandler.
func (s *adminService) SetDraining(ctx context.Context, request *connect.Request[beamdoorv1.SetDrainingRequest]) (*connect.Response[beamdoorv1.WriteResponse], error) {
	if err := checkRequestID(request.Msg.RequestId); err != nil {
		return nil, err
	}
	return s.write(ctx, store.Command{Kind: store.CommandSetDraining, Body: request.Msg})
}

// RemoveBalancer implements AdminServiceHandler.
func (s *adminService) RemoveBalancer(ctx context.Context, request *connect.Request[beamdoorv1.RemoveBalancerRequest]) (*connect.Response[beamdoorv1.WriteResponse], error) {
	if err := checkRequestID(request.Msg.RequestId); err != nil {
		return nil, err
	}
	return s.write(ctx, store.Command{Kind: store.CommandRemoveBalancer, Body: request.Msg})
}

// read runs a query on the core. Unless stale is set, it fails when this member can't
// serve a linearizable read.
func (s *adminService) read(ctx context.Context, stale bool, run func(core *Core, now kernel.Instant)) *connect.Error {
	allowed := false
	err := s.process.query(ctx, func(core *Core, now kernel.Instant) {
		allowed = stale || core.CanRead(now)
		if allowed {
			run(core, now)
		}
	})
	if err != nil {
		return newAPIError(connect.CodeUnavailable, err, &beamdoorv1.ErrorDetail{Reason: err.Error()})
	}
	if !allowed {
		return s.notLeaderError(ctx, steperror.New("control.read", "", "this member is not a leader confirmed by a quorum"))
	}
	return nil
}

// Read implements AdminServiceHandler.
func (s *adminService) Read(ctx context.Context, request *connect.Request[beamdoorv1.ReadRequest]) (*connect.Response[beamdoorv1.ReadResponse], error) {
	response := &beamdoorv1.ReadResponse{}
	err := s.read(ctx, request.Msg.Stale, func(core *Core, _ kernel.Instant) {
		response.Revision = core.Store().Revision()
		response.Services = core.Store().Services()
		response.Policies = core.Store().Policies()
		response.Views = core.Store().Views()
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(response), nil
}

const defaultHistoryLimit = 20

// History implements AdminServiceHandler.
func (s *adminService) History(ctx context.Context, request *connect.Request[beamdoorv1.HistoryRequest]) (*connect.Response[beamdoorv1.HistoryResponse], error) {
	limit := int(request.Msg.Limit)
	if limit == 0 {
		limit = defaultHistoryLimit
	}
	response := &beamdoorv1.HistoryResponse{}
	err := s.read(ctx, false, func(core *Core, _ kernel.Instant) { response.Entries = core.Store().History(limit) })
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(response), nil
}

// Status implements AdminServiceHandler. Every member responds; only the leader
// includes the balancers.
func (s *adminService) Status(ctx context.Context, _ *connect.Request[beamdoorv1.StatusRequest]) (*connect.Response[beamdoorv1.StatusResponse], error) {
	var response *beamdoorv1.StatusResponse
	err := s.read(ctx, true, func(core *Core, now kernel.Instant) { response = core.Status(now) })
	if err != nil {
		return nil, err
	}
	response.Targets = s.process.prober.status()
	return connect.NewResponse(response), nil
}

// Trace implements AdminServiceHandler.
func (s *adminService) Trace(ctx context.Context, request *connect.Request[beamdoorv1.TraceRequest]) (*connect.Response[beamdoorv1.TraceResponse], error) {
	var response *beamdoorv1.TraceResponse
	err := s.read(ctx, false, func(core *Core, now kernel.Instant) { response = core.Trace(now, request.Msg.Revision) })
	if err != nil {
		return nil, err
	}
	if response == nil {
		reason := "revision: the leader has no trace of this revision"
		return nil, newAPIError(connect.CodeNotFound, errors.New(reason), &beamdoorv1.ErrorDetail{Field: "revision", Reason: reason})
	}
	return connect.NewResponse(response), nil
}

// Watch implements AdminServiceHandler. It streams the history entries after the
// requested revision until the client disconnects or the process stops.
func (s *adminService) Watch(ctx context.Context, request *connect.Request[beamdoorv1.WatchRequest], stream *connect.ServerStream[beamdoorv1.HistoryEntry]) error {
	watcher := make(chan struct{}, 1)
	s.process.inputs.Push(watchInput{watcher: watcher, add: true})
	defer s.process.inputs.TryPush(watchInput{watcher: watcher})
	seen := request.Msg.FromRevision
	for {
		var entries []*beamdoorv1.HistoryEntry
		err := s.read(ctx, true, func(core *Core, _ kernel.Instant) {
			entries = append(entries, core.Store().HistoryAfter(seen)...)
		})
		if err != nil {
			return err
		}
		for _, entry := range entries {
			if err := stream.Send(entry); err != nil {
				return err
			}
			seen = entry.Revision
		}
		select {
		case <-watcher:
		case <-ctx.Done():
			return nil
		case <-s.process.stopped:
			return nil
		}
	}
}

// ChangeMember implements AdminServiceHandler. A member's addresses are stored before
// it joins, and deleted after it has been removed.
func (s *adminService) ChangeMember(ctx context.Context, request *connect.Request[beamdoorv1.ChangeMemberRequest]) (*connect.Response[beamdoorv1.WriteResponse], error) {
	if err := checkRequestID(request.Msg.RequestId); err != nil {
		return nil, err
	}
	change, err := parseMembershipChange(request.Msg)
	if err != nil {
		return nil, newAPIError(connect.CodeInvalidArgument, err, &beamdoorv1.ErrorDetail{Reason: err.Error()})
	}
	command := store.Command{Kind: store.CommandSetMember, Body: request.Msg}
	if request.Msg.Change == beamdoorv1.MemberChange_MEMBER_CHANGE_ADD_LEARNER {
		if result, err := s.process.propose(ctx, command); err != nil || result.Code != store.ErrorNone {
			return s.writeResponse(ctx, result, err)
		}
	}
	answer := make(chan Outcome, 1)
	result, err := s.process.submit(ctx, membershipInput{change: change, answer: answer}, answer)
	if err != nil || request.Msg.Change != beamdoorv1.MemberChange_MEMBER_CHANGE_REMOVE {
		return s.writeResponse(ctx, result, err)
	}
	return s.write(ctx, command)
}

// membershipChange derives the next membership from the current one.
type membershipChange func(now kernel.Instant, core *Core) (raft.Membership, error)

func parseMembershipChange(request *beamdoorv1.ChangeMemberRequest) (membershipChange, error) {
	if request.GetMember().GetId() == 0 {
		return nil, errors.New("member.id: must be a positive number that no member has used before")
	}
	id := raft.MemberID(request.Member.Id)
	switch request.Change {
	case beamdoorv1.MemberChange_MEMBER_CHANGE_ADD_LEARNER:
		return func(now kernel.Instant, core *Core) (raft.Membership, error) {
			return core.membershipWithLearner(now, id)
		}, nil
	case beamdoorv1.MemberChange_MEMBER_CHANGE_PROMOTE:
		return func(_ kernel.Instant, core *Core) (raft.Membership, error) {
			return core.Raft().Membership().Promote(id), nil
		}, nil
	case beamdoorv1.MemberChange_MEMBER_CHANGE_REMOVE:
		return func(_ kernel.Instant, core *Core) (raft.Membership, error) {
			return core.Raft().Membership().Remove(id), nil
		}, nil
	}
	return nil, errors.New("change: must be add-learner, promote or remove")
}

// Backup implements AdminServiceHandler.
func (s *adminService) Backup(ctx context.Context, _ *connect.Request[beamdoorv1.BackupRequest]) (*connect.Response[beamdoorv1.BackupResponse], error) {
	response := &beamdoorv1.BackupResponse{}
	var encodeErr error
	err := s.read(ctx, false, func(core *Core, _ kernel.Instant) {
		response.Revision = core.Store().Revision()
		response.State, encodeErr = core.Store().Encode()
	})
	if err != nil {
		return nil, err
	}
	if encodeErr != nil {
		return nil, connect.NewError(connect.CodeInternal, encodeErr)
	}
	return connect.NewResponse(response), nil
}

// cloneServices returns deep copies of all services, for use by goroutines that don't
// own the core.
func cloneServices(state *store.Store) []*beamdoorv1.Service {
	var services []*beamdoorv1.Service
	for _, service := range state.Services() {
		services = append(services, proto.CloneOf(service))
	}
	return services
}
