package store

import (
	"fmt"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
)

// restoreJump is the distance that a restored state keeps from the backup:
// revisions and IDs that were given out after it are never given out again.
const restoreJump = 1 << 20

// RestoreFromBackup prepares a state from a backup for a new group: everything in it
// counts as newer than whatever a balancer may have, and the group has one
// member. It returns the new revision.
func (s *Store) RestoreFromBackup(first *beamdoorv1.Member) uint64 {
	backupRevision := s.revision
	s.revision += restoreJump
	s.nextID += restoreJump
	s.operatorRevision = s.revision
	s.operatorAuthor = controlAuthor
	s.tombstones = nil
	s.forgotten = s.revision
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
