package store

import (
	"fmt"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
)

// restoreOffset is added to the revision and the next ID of a backup, so that values
// allocated after the backup are not reused.
const restoreOffset = 1 << 20

// RestoreFromBackup turns a state decoded from a backup into the initial state of a new
// single-member group. All objects get a revision newer than any a balancer may hold.
// It returns that revision.
func (s *Store) RestoreFromBackup(first *beamdoorv1.Member) uint64 {
	backupRevision := s.revision
	s.revision += restoreOffset
	s.nextID += restoreOffset
	s.operatorRevision = s.revision
	s.operatorAuthor = controlAuthor
	s.tombstones = nil
	s.tombstoneHorizon = s.revision
	for _, service := range s.Services() {
		service.Revision = s.revision
		s.putService(service)
	}
	for _, view := range s.Views() {
		view.Revision = s.revision
		s.putView(view)
	}
	s.members = map[uint32]*beamdoorv1.Member{first.Id: first}
	s.history = append(s.history, &beamdoorv1.HistoryEntry{
		Revision: s.revision,
		Author:   controlAuthor,
		Summary:  fmt.Sprintf("restored from a backup of revision %d", backupRevision),
	})
	return s.revision
}
