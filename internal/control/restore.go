package control

import (
	"errors"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
	"github.com/beamdoor/beamdoor/internal/raft"
	"github.com/beamdoor/beamdoor/internal/steperror"
	"github.com/beamdoor/beamdoor/internal/store"
	"github.com/beamdoor/beamdoor/internal/wal"
)

// restoreTerm is the Raft term of a restored group. It exceeds the term of any signals
// that balancers may still hold.
const restoreTerm = 1 << 20

// RestoreFolder initializes an empty data folder from a backup, with first as the only
// member of a new group. It returns the revision of the restored state. The function
// random generates the identity of the folder.
func RestoreFolder(files wal.FileSystem, random func() uint64, first *beamdoorv1.Member, backup []byte) (uint64, error) {
	const step = "control.restore_folder"
	names, err := files.List()
	if err != nil {
		return 0, steperror.Wrap(step, "", err)
	}
	if len(names) > 0 {
		return 0, steperror.New(step, "", "the folder is not empty")
	}
	state, err := store.Decode(backup, store.Options{})
	if err != nil {
		return 0, steperror.Wrap(step, "", err)
	}
	revision := state.RestoreFromBackup(first)
	data, err := state.Encode()
	if err != nil {
		return 0, steperror.Wrap(step, "", err)
	}
	identity, err := wal.LoadIdentity(files, random)
	if err != nil {
		return 0, err
	}
	log, _, _, err := wal.Open(files)
	if err != nil {
		return 0, err
	}
	membership := raft.NewMembership(map[raft.MemberID]uint64{raft.MemberID(first.Id): identity})
	err = log.Rewrite(raft.PersistentState{
		HardState: raft.HardState{Term: restoreTerm},
		Snapshot:  raft.Snapshot{Index: 1, Membership: membership, Data: data},
	})
	return revision, steperror.Wrap(step, "", errors.Join(err, log.Close()))
}
