// Package store provides the replicated state of the control plane:
// services, policies, the views of the cells, the history, and the answers
// to request identities. It is deterministic: the same commands in the same
// order give the same state on every member.
package store

import (
	"sort"

	"google.golang.org/protobuf/proto"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
	"github.com/beamdoor/beamdoor/internal/steperror"
)

const (
	// AnswerLimit is the number of request identities whose answer is kept.
	// A resend is safe until so many other writes were accepted.
	AnswerLimit = 4096
	// HistoryLimit is the number of changes kept for History and Watch.
	HistoryLimit = 1024
	// TombstoneLimit is the number of removed services remembered.
	TombstoneLimit = 4096
	// RequestIDSize is the size of a request identity in bytes.
	RequestIDSize = 16
)

// ErrorCode classifies a refused write.
type ErrorCode uint32

// The classes of refused writes.
const (
	// ErrorNone is an accepted write.
	ErrorNone ErrorCode = iota
	// ErrorConflict is a lost race: another write came first.
	ErrorConflict
	// ErrorInvalid is a write that can never be accepted as it is.
	ErrorInvalid
	// ErrorNotFound names something that does not exist.
	ErrorNotFound
)

// Result is the outcome of one command.
type Result struct {
	Revision uint64
	Code     ErrorCode
	Reason   string
	// ConflictRevision is the revision of the write that came first.
	ConflictRevision uint64
	// Repeated says that the answer was kept from an earlier command.
	Repeated bool
}

// Options switches off single mechanisms for tests.
type Options struct {
	// NoRequestDeduplication runs a repeated write again.
	NoRequestDeduplication bool
	// NoCompareAndSet ignores the base revision.
	NoCompareAndSet bool
}

// Store is the replicated state. It is not safe for concurrent use.
type Store struct {
	options  Options
	revision uint64
	// operatorRevision is the newest revision made by an operator; a write
	// conflicts with it, but not with a change of a view.
	operatorRevision uint64
	operatorAuthor   string
	nextID           uint32
	services         map[string]*beamdoorv1.Service
	// cells indexes the services by cell, with the newest revision of each.
	cells       map[uint32]*cellIndex
	policies    map[string]*beamdoorv1.Policy
	views       map[uint32]*beamdoorv1.View
	members     map[uint32]*beamdoorv1.Member
	answers     []*beamdoorv1.StoredAnswer
	answerIndex map[string]*beamdoorv1.StoredAnswer
	history     []*beamdoorv1.HistoryEntry
	tombstones  []*beamdoorv1.Tombstone
	forgotten   uint64
}

// New returns an empty state.
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

// Revision returns the newest revision.
func (s *Store) Revision() uint64 { return s.revision }

// Service returns a service by name, or nil.
func (s *Store) Service(name string) *beamdoorv1.Service { return s.services[name] }

// Policy returns a policy by name, or nil.
func (s *Store) Policy(name string) *beamdoorv1.Policy { return s.policies[name] }

// View returns the view of a cell, or nil.
func (s *Store) View(cell uint32) *beamdoorv1.View { return s.views[cell] }

// Views returns the views of all cells in order.
func (s *Store) Views() []*beamdoorv1.View { return sorted(s.views) }

// Services returns all services in order of their names.
func (s *Store) Services() []*beamdoorv1.Service { return sorted(s.services) }

// Policies returns all policies in order of their names.
func (s *Store) Policies() []*beamdoorv1.Policy { return sorted(s.policies) }

// Members returns the known control members in order.
func (s *Store) Members() []*beamdoorv1.Member { return sorted(s.members) }

// History returns up to limit changes, the newest first.
func (s *Store) History(limit int) []*beamdoorv1.HistoryEntry {
	var entries []*beamdoorv1.HistoryEntry
	for i := len(s.history) - 1; i >= 0 && len(entries) < limit; i-- {
		entries = append(entries, s.history[i])
	}
	return entries
}

// HistoryAfter returns the changes that came after a revision, oldest first.
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

// requestIdentity is a write of an operator that can be resent.
type requestIdentity interface {
	GetRequestId() []byte
}

// Apply runs one command and returns its outcome.
func (s *Store) Apply(command Command) Result {
	identity := requestID(command.Body)
	if kept := s.keptAnswer(identity); kept != nil {
		return *kept
	}
	result := s.run(command)
	s.keepAnswer(identity, result)
	return result
}

func requestID(body proto.Message) []byte {
	if request, ok := body.(requestIdentity); ok {
		return request.GetRequestId()
	}
	return nil
}

func (s *Store) run(command Command) Result {
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
	return s.refuse(ErrorInvalid, "unknown command")
}

func (s *Store) refuse(code ErrorCode, reason string) Result {
	return Result{Revision: s.revision, Code: code, Reason: reason}
}

func (s *Store) keptAnswer(identity []byte) *Result {
	if len(identity) == 0 || s.options.NoRequestDeduplication {
		return nil
	}
	answer, known := s.answerIndex[string(identity)]
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

func (s *Store) keepAnswer(identity []byte, result Result) {
	if len(identity) == 0 {
		return
	}
	answer := &beamdoorv1.StoredAnswer{
		RequestId:        identity,
		Revision:         result.Revision,
		Error:            result.Reason,
		ErrorCode:        uint32(result.Code),
		ConflictRevision: result.ConflictRevision,
	}
	s.answers = append(s.answers, answer)
	s.answerIndex[string(identity)] = answer
	if len(s.answers) > AnswerLimit {
		delete(s.answerIndex, string(s.answers[0].RequestId))
		s.answers = s.answers[1:]
	}
}

// accept makes the next revision and enters it into the history.
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

// Encode returns a snapshot of the state.
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
		ForgottenRevision: s.forgotten,
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(state)
	return data, steperror.Wrap("store.encode", "", err)
}

// Decode returns the state of a snapshot.
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
	s.forgotten = state.ForgottenRevision
	for _, service := range state.Services {
		s.putService(service)
	}
	for _, tombstone := range s.tombstones {
		s.cell(tombstone.Cell).touch(tombstone.Revision)
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
