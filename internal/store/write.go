package store

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
)

// checkBase rejects a write whose base revision is older than the newest operator
// write, or newer than the current revision.
func (s *Store) checkBase(base uint64) *Result {
	if s.options.NoCompareAndSet || base >= s.operatorRevision && base <= s.revision {
		return nil
	}
	if base > s.revision {
		result := s.reject(ErrorInvalid, fmt.Sprintf("base_revision %d is newer than the newest revision %d", base, s.revision))
		return &result
	}
	reason := fmt.Sprintf("base_revision %d is older than revision %d, written by %q", base, s.operatorRevision, s.operatorAuthor)
	result := s.reject(ErrorConflict, reason)
	result.ConflictRevision = s.operatorRevision
	return &result
}

func (s *Store) applyRequest(command Command, request *beamdoorv1.ApplyRequest) Result {
	if conflict := s.checkBase(request.BaseRevision); conflict != nil {
		return *conflict
	}
	if problem := s.checkApply(request); problem != "" {
		return s.reject(ErrorInvalid, problem)
	}
	summary := request.Summary
	if summary == "" {
		summary = fmt.Sprintf("%d services, %d policies", len(request.Services), len(request.Policies))
	}
	revision := s.acceptOperator(command, request.Author, summary)
	for _, policy := range request.Policies {
		stored := proto.CloneOf(policy)
		stored.Revision = revision
		s.policies[policy.Name] = stored
	}
	for _, name := range request.RemovedPolicies {
		delete(s.policies, name)
	}
	for _, name := range request.RemovedServices {
		s.removeService(name, revision)
	}
	for _, service := range request.Services {
		s.writeService(service, revision)
	}
	return Result{Revision: revision}
}

// writeService stores a service. A target keeps its ID, and with it its flows, while
// its name and address and the service's address and cell are unchanged. It also keeps
// draining, because the applied file may predate the drain.
func (s *Store) writeService(service *beamdoorv1.Service, revision uint64) {
	stored := proto.CloneOf(service)
	previous := s.services[service.Name]
	known := map[string]*beamdoorv1.Target{}
	if previous != nil {
		stored.Id = previous.Id
		for _, target := range previous.Targets {
			known[target.Name] = target
		}
	}
	moved := previous != nil && (previous.Address != stored.Address || previous.Cell != stored.Cell)
	if moved {
		s.addTombstone(previous, revision)
		s.deleteService(previous)
	}
	if previous == nil || moved {
		stored.Id = s.allocateID()
	}
	stored.Revision = revision
	for _, target := range stored.Targets {
		old := known[target.Name]
		if old != nil && old.Address == target.Address && !moved {
			target.Id = old.Id
			target.Draining = target.Draining || old.Draining
			continue
		}
		target.Id = s.allocateID()
	}
	s.putService(stored)
}

func (s *Store) allocateID() uint32 {
	id := s.nextID
	s.nextID++
	return id
}

func (s *Store) removeService(name string, revision uint64) {
	if service, exists := s.services[name]; exists {
		s.addTombstone(service, revision)
		s.deleteService(service)
	}
}

func (s *Store) addTombstone(service *beamdoorv1.Service, revision uint64) {
	s.cell(service.Cell).raiseRevision(revision)
	s.tombstones = append(s.tombstones, &beamdoorv1.Tombstone{
		Name:     service.Name,
		Cell:     service.Cell,
		Revision: revision,
	})
	if len(s.tombstones) > TombstoneLimit {
		s.tombstoneHorizon = s.tombstones[0].Revision
		s.tombstones = s.tombstones[1:]
	}
}

// checkApply validates the state that would result from the request. It returns a
// description of the first problem, or "".
func (s *Store) checkApply(request *beamdoorv1.ApplyRequest) string {
	after := map[string]*beamdoorv1.Service{}
	for name, service := range s.services {
		after[name] = service
	}
	for _, name := range request.RemovedServices {
		if _, exists := after[name]; !exists {
			return fmt.Sprintf("removed_services: service %q does not exist", name)
		}
		delete(after, name)
	}
	for _, service := range request.Services {
		after[service.Name] = service
	}
	policies := map[string]bool{}
	for name := range s.policies {
		policies[name] = true
	}
	for _, name := range request.RemovedPolicies {
		if !policies[name] {
			return fmt.Sprintf("removed_policies: policy %q does not exist", name)
		}
		delete(policies, name)
	}
	for _, policy := range request.Policies {
		policies[policy.Name] = true
	}
	return checkServices(sorted(after), policies)
}

func checkServices(services []*beamdoorv1.Service, policies map[string]bool) string {
	addresses := map[string]string{}
	for _, service := range services {
		if other, taken := addresses[service.Address]; taken {
			return fmt.Sprintf("services.%s.address: %s is taken by %s", service.Name, service.Address, other)
		}
		addresses[service.Address] = "service " + service.Name
		for _, name := range []string{service.SharingPolicy, service.HealthPolicy} {
			if !policies[name] && !strings.HasPrefix(name, BuiltinPrefix) {
				return fmt.Sprintf("services.%s: policy %q does not exist", service.Name, name)
			}
		}
		for _, target := range service.Targets {
			owner := "target " + service.Name + "/" + target.Name
			if other, taken := addresses[target.Address]; taken {
				return fmt.Sprintf("services.%s.targets.%s.address: %s is taken by %s", service.Name, target.Name, target.Address, other)
			}
			addresses[target.Address] = owner
		}
	}
	return ""
}

// BuiltinPrefix is the name prefix of built-in policies.
const BuiltinPrefix = "builtin/"

func (s *Store) setDraining(command Command, request *beamdoorv1.SetDrainingRequest) Result {
	if request.BaseRevision != 0 {
		if conflict := s.checkBase(request.BaseRevision); conflict != nil {
			return *conflict
		}
	}
	service, exists := s.services[request.Service]
	if !exists {
		return s.reject(ErrorNotFound, fmt.Sprintf("service %q does not exist", request.Service))
	}
	stored := proto.CloneOf(service)
	for _, name := range request.Targets {
		target := targetNamed(stored, name)
		if target == nil {
			return s.reject(ErrorNotFound, fmt.Sprintf("service %q has no target %q", request.Service, name))
		}
		target.Draining = request.Draining
	}
	verb := "drain"
	if !request.Draining {
		verb = "undrain"
	}
	summary := fmt.Sprintf("%s %s: %s", verb, request.Service, strings.Join(request.Targets, ", "))
	stored.Revision = s.acceptOperator(command, request.Author, summary)
	s.putService(stored)
	return Result{Revision: stored.Revision}
}

func targetNamed(service *beamdoorv1.Service, name string) *beamdoorv1.Target {
	for _, target := range service.Targets {
		if target.Name == name {
			return target
		}
	}
	return nil
}

func (s *Store) setMember(command Command, request *beamdoorv1.ChangeMemberRequest) Result {
	id := request.GetMember().GetId()
	if request.Change == beamdoorv1.MemberChange_MEMBER_CHANGE_REMOVE {
		delete(s.members, id)
	} else {
		s.members[id] = proto.CloneOf(request.Member)
	}
	summary := fmt.Sprintf("control member %d: %s", id, request.Change)
	return Result{Revision: s.accept(command, "control", summary)}
}
