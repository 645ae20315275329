// Package store implements the replicated state machine of the control plane:
// services, policies, cell views, the change history and the stored results of
// requests. It is deterministic: applying the same commands in the same order yields
// the same state on every member.
package store

import (
	"sort"

	"google.golang.org/protobuf/proto"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
	"github.com/beamdoor/beamdoor/internal/steperror"
)

const (
	// AnswerLimit is the number of request results kept for deduplication. A request
	// is no longer deduplicated after that many newer requests.
	AnswerLimit = 4096
	// HistoryLimit is the number of changes retained for History and Watch.
	HistoryLimit = 1024
	// TombstoneLimit is the number of retained tombstones of removed services.
	TombstoneLimit = 4096
	// RequestIDSize is the size of a request ID in bytes.
	RequestIDSize = 16
)

// ErrorCode classifies a rejected write.
type ErrorCode uint32

// The error codes.
const (
	// ErrorNone means that the write was accepted.
	ErrorNone ErrorCode = iota
	// ErrorConflict means that a concurrent write was accepted first.
	ErrorConflict
	// ErrorInvalid means that the request is invalid.
	ErrorInvalid
	// ErrorNotFound means that the request refers to an object that does not exist.
	ErrorNotFound
)

// Result is the outcome of one command.
type Result struct {
	Revision uint64
	Code     ErrorCode
	Reason   string
	// ConflictRevision is the revision of the conflicting write.
	ConflictRevision uint64
	// Repeated is set if this is the stored result of an earlier request with the
	// same ID.
	Repeated bool
}

// Options disables individual mechanisms for ablation tests.
type Options struct {
	// NoRequestDeduplication executes repeated requests again.
	NoRequestDeduplication bool
	// NoCompareAndSet ignores the base revision of a request.
	NoCompareAndSet bool
}

// Store is the replicated state. It is not safe for concurrent use.
type Store struct {
	options  Options
	revision uint64
	// operatorRevision is the newest revision written by an operator. Writes conflict
	// with it, but not with view changes.
	operatorRevision uint64
	operatorAuthor   string
	nextID           uint32
	services         map[string]*beamdoorv1.Service
	// cells indexes services and revisions by cell.
	cells            map[uint32]*cellIndex
	policies         map[string]*beamdoorv1.Policy
	views            map[uint32]*beamdoorv1.View
	members          map[uint32]*beamdoorv1.Member
	answers          []*beamdoorv1.StoredAnswer
	answerIndex      map[string]*beamdoorv1.StoredAnswer
	history          []*beamdoorv1.HistoryEntry
	tombstones       []*beamdoorv1.Tombstone
	tombstoneHorizon uint64
}

// New returns an empty store.
func New(options Options) *Store {
	return &Store{
		options:     options,
		nextID:      1,
		services:    map[string]*beamdoorv1.Service{},
		cells:       map[uint32]*cellIndex{},
		policies:    map[string]*beamdoorv1.Policy{},
		views:       map[uint32]*beamdoorv1.View{},
		members:     map[uint32]*beamdoorv1.Member{},
		answerIndex: map[string]*beamdoorv1.StoredAnswer{},
	}
}

// Revision returns the current revision.
func (s *Store) Revision() uint64 { return s.revision }

// Service returns the named service, or nil.
func (s *Store) Service(name string) *beamdoorv1.Service { return s.services[name] }

// Policy returns the named policy, or nil.
func (s *Store) Policy(name string) *beamdoorv1.Policy { return s.policies[name] }

// View returns the current view of a cell, or nil.
func (s *Store) View(cell uint32) *beamdoorv1.View { return s.views[cell] }

// Views returns the views of all cells, sorted by cell.
func (s *Store) Views() []*beamdoorv1.View { return sorted(s.views) }

// Services returns all services, sorted by name.
func (s *Store) Services() []*beamdoorv1.Service { return sorted(s.services) }

// Policies returns all policies, sorted by name.
func (s *Store) Policies() []*beamdoorv1.Policy { return sorted(s.policies) }

// Members returns the known control plane members, sorted by ID.
func (s *Store) Members() []*beamdoorv1.Member { return sorted(s.members) }

// History returns up to limit changes, newest first.
func (s *Store) History(limit int) []*beamdoorv1.HistoryEntry {
	var entries []*beamdoorv1.HistoryEntry
	for i := len(s.history) - 1; i >= 0 && len(entries) < limit; i-- {
		entries = append(entries, s.history[i])
	}
	return entries
}

// HistoryAfter returns the retained changes after a revision, oldest first.
func (s *Store) HistoryAfter(revision uint64) []*beamdoorv1.HistoryEntry {
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > revision })
	return s.history[first:]
}

type ordered interface {
	~string | ~uint32
}

func sorted[K ordered, V any](objects map[K]V) []V {
	keys := make([]K, 0, len(objects))
	for key := range objects {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(a, b int) bool { return keys[a] < keys[b] })
	list := make([]V, 0, len(keys))
	for _, key := range keys {
		list = append(list, objects[key])
	}
	return list
}

// identifiedRequest is implemented by requests that carry a request ID.
type identifiedRequest interface {
	GetRequestId() []byte
}

// Apply applies a command and returns its result. A request whose ID was seen before
// gets the stored result.
func (s *Store) Apply(command Command) Result {
	id := requestID(command.Body)
	if kept := s.storedResult(id); kept != nil {
		return *kept
	}
	result := s.execute(command)
	s.storeResult(id, result)
	return result
}

func requestID(body proto.Message) []byte {
	if request, ok := body.(identifiedRequest); ok {
		return request.GetRequestId()
	}
	return nil
}

func (s *Store) execute(command Command) Result {
	switch body := command.Body.(type) {
	case *beamdoorv1.ApplyRequest:
		return s.applyRequest(command, body)
	case *beamdoorv1.SetDrainingRequest:
		return s.setDraining(command, body)
	case *beamdoorv1.RemoveBalancerRequest:
		return s.removeBalancer(command, body)
	case *beamdoorv1.ViewChange:
		return s.changeView(command, body)
	case *beamdoorv1.ChangeMemberRequest:
		return s.setMember(command, body)
	}
	return s.reject(ErrorInvalid, "unknown command")
}

func (s *Store) reject(code ErrorCode, reason string) Result {
	return Result{Revision: s.revision, Code: code, Reason: reason}
}

func (s *Store) storedResult(id []byte) *Result {
	if len(id) == 0 || s.options.NoRequestDeduplication {
		return nil
	}
	answer, known := s.answerIndex[string(id)]
	if !known {
		return nil
	}
	return &Result{
		Revision:         answer.Revision,
		Code:             ErrorCode(answer.ErrorCode),
		Reason:           answer.Error,
		ConflictRevision: answer.ConflictRevision,
		Repeated:         true,
	}
}

func (s *Store) storeResult(id []byte, result Result) {
	if len(id) == 0 {
		return
	}
	answer := &beamdoorv1.StoredAnswer{
		RequestId:        id,
		Revision:         result.Revision,
		Error:            result.Reason,
		ErrorCode:        uint32(result.Code),
		ConflictRevision: result.ConflictRevision,
	}
	s.answers = append(s.answers, answer)
	s.answerIndex[string(id)] = answer
	if len(s.answers) > AnswerLimit {
		delete(s.answerIndex, string(s.answers[0].RequestId))
		s.answers = s.answers[1:]
	}
}

// accept allocates the next revision and appends it to the history.
func (s *Store) accept(command Command, author, summary string) uint64 {
	s.revision++
	s.history = append(s.history, &beamdoorv1.HistoryEntry{
		Revision: s.revision,
		Author:   author,
		Summary:  summary,
		UnixMs:   command.UnixMilliseconds,
	})
	if len(s.history) > HistoryLimit {
		s.history = s.history[len(s.history)-HistoryLimit:]
	}
	return s.revision
}

func (s *Store) acceptOperator(command Command, author, summary string) uint64 {
	revision := s.accept(command, author, summary)
	s.operatorRevision = revision
	s.operatorAuthor = author
	return revision
}

// Encode serializes the state to a snapshot.
func (s *Store) Encode() ([]byte, error) {
	state := &beamdoorv1.State{
		Revision:          s.revision,
		Services:          s.Services(),
		Policies:          s.Policies(),
		Views:             s.Views(),
		Answers:           s.answers,
		History:           s.history,
		NextId:            s.nextID,
		Members:           s.Members(),
		OperatorRevision:  s.operatorRevision,
		OperatorAuthor:    s.operatorAuthor,
		Tombstones:        s.tombstones,
		ForgottenRevision: s.tombstoneHorizon,
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(state)
	return data, steperror.Wrap("store.encode", "", err)
}

// Decode restores a store from a snapshot.
func Decode(data []byte, options Options) (*Store, error) {
	state := &beamdoorv1.State{}
	if err := proto.Unmarshal(data, state); err != nil {
		return nil, steperror.Wrap("store.decode", "", err)
	}
	s := New(options)
	s.revision = state.Revision
	s.operatorRevision = state.OperatorRevision
	s.operatorAuthor = state.OperatorAuthor
	s.nextID = max(state.NextId, 1)
	s.history = state.History
	s.tombstones = state.Tombstones
	s.tombstoneHorizon = state.ForgottenRevision
	for _, service := range state.Services {
		s.putService(service)
	}
	for _, tombstone := range s.tombstones {
		s.cell(tombstone.Cell).raiseRevision(tombstone.Revision)
	}
	for _, policy := range state.Policies {
		s.policies[policy.Name] = policy
	}
	for _, view := range state.Views {
		s.putView(view)
	}
	for _, member := range state.Members {
		s.members[member.Id] = member
	}
	s.answers = state.Answers
	for _, answer := range state.Answers {
		s.answerIndex[string(answer.RequestId)] = answer
	}
	return s, nil
}
