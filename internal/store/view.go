package store

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
)

const controlAuthor = "control"

// changeView creates the next view of a cell. A change based on an older view is
// rejected as a conflict.
func (s *Store) changeView(command Command, change *beamdoorv1.ViewChange) Result {
	previous := s.views[change.Cell]
	if previous.GetNumber() != change.BaseNumber {
		reason := fmt.Sprintf("view %d of cell %d is not the newest", change.BaseNumber, change.Cell)
		return s.reject(ErrorConflict, reason)
	}
	next := &beamdoorv1.View{
		Cell:     change.Cell,
		Number:   change.BaseNumber + 1,
		Founding: change.BaseNumber == 0,
	}
	for _, member := range previous.GetMembers() {
		if containsID(change.Removed, member.Id) {
			continue
		}
		kept := proto.CloneOf(member)
		if containsID(change.Leaving, member.Id) {
			kept.State = beamdoorv1.BalancerState_BALANCER_STATE_LEAVING
		}
		next.Members = append(next.Members, kept)
	}
	for _, added := range change.Added {
		member := proto.CloneOf(added)
		member.Id = s.allocateID()
		member.State = beamdoorv1.BalancerState_BALANCER_STATE_ACTIVE
		next.Members = append(next.Members, member)
	}
	summary := fmt.Sprintf("view %d of cell %d: %d added, %d leaving, %d removed",
		next.Number, next.Cell, len(change.Added), len(change.Leaving), len(change.Removed))
	next.Revision = s.accept(command, controlAuthor, summary)
	s.putView(next)
	return Result{Revision: next.Revision}
}

func containsID(list []uint32, id uint32) bool {
	for _, item := range list {
		if item == id {
			return true
		}
	}
	return false
}

// removeBalancer marks a balancer as leaving. A later view change removes it once it
// has handed over its flows.
func (s *Store) removeBalancer(command Command, request *beamdoorv1.RemoveBalancerRequest) Result {
	for _, view := range sorted(s.views) {
		for _, member := range view.Members {
			if member.Name != request.Name {
				continue
			}
			return s.changeView(command, &beamdoorv1.ViewChange{
				Cell:       view.Cell,
				BaseNumber: view.Number,
				Leaving:    []uint32{member.Id},
			})
		}
	}
	return s.reject(ErrorNotFound, fmt.Sprintf("balancer %q does not exist", request.Name))
}

// CellConfig returns the configuration of a cell for a balancer at revision have: an
// incremental update, or the full configuration if the balancer has none or its
// revision is older than the retained tombstones.
func (s *Store) CellConfig(cell uint32, have uint64) *beamdoorv1.CellConfig {
	config := &beamdoorv1.CellConfig{Revision: s.revision, BaseRevision: have}
	if have > s.revision || have < s.tombstoneHorizon {
		config.BaseRevision = 0
	}
	for _, service := range sorted(s.cell(cell).services) {
		if service.Revision > config.BaseRevision {
			config.Services = append(config.Services, service)
		}
	}
	if view := s.views[cell]; view != nil && view.Revision > config.BaseRevision {
		config.View = view
	}
	if config.BaseRevision == 0 {
		return config
	}
	for _, tombstone := range s.tombstones {
		if tombstone.Cell != cell || tombstone.Revision <= config.BaseRevision {
			continue
		}
		current := s.services[tombstone.Name]
		if current == nil || current.Cell != cell {
			config.RemovedServices = append(config.RemovedServices, tombstone.Name)
		}
	}
	return config
}

// CellRevision returns the newest revision that changed the cell. A balancer at or
// above it is up to date.
func (s *Store) CellRevision(cell uint32) uint64 { return s.cell(cell).revision }

// cellIndex holds the services of one cell and the cell's newest revision.
type cellIndex struct {
	services map[string]*beamdoorv1.Service
	revision uint64
}

func (c *cellIndex) raiseRevision(revision uint64) { c.revision = max(c.revision, revision) }

func (s *Store) cell(number uint32) *cellIndex {
	index, known := s.cells[number]
	if !known {
		index = &cellIndex{services: map[string]*beamdoorv1.Service{}}
		s.cells[number] = index
	}
	return index
}

func (s *Store) putService(service *beamdoorv1.Service) {
	s.services[service.Name] = service
	index := s.cell(service.Cell)
	index.services[service.Name] = service
	index.raiseRevision(service.Revision)
}

func (s *Store) deleteService(service *beamdoorv1.Service) {
	delete(s.services, service.Name)
	delete(s.cell(service.Cell).services, service.Name)
}

func (s *Store) putView(view *beamdoorv1.View) {
	s.views[view.Cell] = view
	s.cell(view.Cell).raiseRevision(view.Revision)
}
