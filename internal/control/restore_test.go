package control

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/lab/disk"
	"github.com/beamdoor/beamdoor/internal/raft"
	"github.com/beamdoor/beamdoor/internal/store"
	"github.com/beamdoor/beamdoor/internal/wal"
)

func newDisk() *disk.Disk { return disk.New(rand.New(rand.NewPCG(1, 1))) }

func backup(t *testing.T) []byte {
	state := store.New(store.Options{})
	state.Apply(store.Command{Kind: store.CommandApply, Body: &beamdoorv1.ApplyRequest{
		RequestId: make([]byte, store.RequestIDSize),
		Services:  []*beamdoorv1.Service{{Name: "a", Address: "10.0.0.1:1", Cell: 1, SharingPolicy: "builtin/even", HealthPolicy: "builtin/health"}},
	}})
	data, err := state.Encode()
	require.NoError(t, err)
	return data
}

// boot starts a core from a disk.
func boot(t *testing.T, files wal.FileSystem, id raft.MemberID, founders []*beamdoorv1.Member) *Core {
	identity, err := wal.LoadIdentity(files, rand.Uint64)
	require.NoError(t, err)
	log, restored, _, err := wal.Open(files)
	require.NoError(t, err)
	settings := DefaultSettings()
	settings.Raft.ID = id
	settings.Raft.Identity = identity
	settings.Raft.Random = rand.New(rand.NewPCG(uint64(id), 1))
	settings.InitialMembers = founders
	settings.SeedMembers = []raft.MemberID{1, 2, 3}
	core, err := NewCore(0, settings, log, restored)
	require.NoError(t, err)
	return core
}

func TestRestoredFolderLeadsAloneWithNewerRevisions(t *testing.T) {
	files := newDisk()
	first := &beamdoorv1.Member{Id: 11, Peer: "p", Nodes: "n", Admin: "a"}
	revision, err := RestoreFolder(files, rand.Uint64, first, backup(t))
	require.NoError(t, err)
	files.Crash()
	core := boot(t, files, 11, nil)
	var now kernel.Instant
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		core.Tick(now)
	}
	assert.True(t, core.CanRead(now))
	assert.Equal(t, revision, core.Store().Revision())
	assert.NotNil(t, core.Store().Service("a"))
	assert.Zero(t, core.Store().CellConfig(1, 5).BaseRevision, "balancers get everything anew")
	_, err = RestoreFolder(files, rand.Uint64, first, backup(t))
	assert.ErrorContains(t, err, "not empty")
	_, err = RestoreFolder(newDisk(), rand.Uint64, first, []byte("rubbish"))
	assert.Error(t, err)
}

// pass runs cores that reach each other at once.
func pass(cores map[raft.MemberID]*Core, now *kernel.Instant, length time.Duration) {
	for end := now.Add(length); *now < end; *now = now.Add(50 * time.Millisecond) {
		for id := raft.MemberID(1); id <= 3; id++ {
			if core := cores[id]; core != nil {
				deliver(cores, *now, id, core.Tick(*now))
			}
		}
	}
}

func deliver(cores map[raft.MemberID]*Core, now kernel.Instant, from raft.MemberID, output Output) {
	for _, message := range output.Members {
		if to := cores[message.To]; to != nil {
			deliver(cores, now, message.To, to.HandleMemberFrame(now, from, message.Frame))
		}
	}
}

func founderList() []*beamdoorv1.Member {
	return []*beamdoorv1.Member{{Id: 1, Peer: "1"}, {Id: 2, Peer: "2"}, {Id: 3, Peer: "3"}}
}

func TestGroupIsFoundedOnlyByAllFoundersTogether(t *testing.T) {
	cores := map[raft.MemberID]*Core{}
	disks := map[raft.MemberID]*disk.Disk{}
	var now kernel.Instant
	for id := raft.MemberID(1); id <= 3; id++ {
		disks[id] = newDisk()
	}
	for id := raft.MemberID(1); id <= 2; id++ {
		cores[id] = boot(t, disks[id], id, founderList())
	}
	pass(cores, &now, 5*time.Second)
	assert.True(t, cores[1].isEmpty(), "one founder is missing")
	cores[3] = boot(t, disks[3], 3, founderList())
	pass(cores, &now, 5*time.Second)
	leaders := 0
	for _, core := range cores {
		assert.Len(t, core.Raft().Membership().Voters, 3)
		if core.IsLeader() {
			leaders++
		}
	}
	assert.Equal(t, 1, leaders)

	disks[1].Wipe()
	cores[1] = boot(t, disks[1], 1, founderList())
	delete(cores, 3)
	pass(cores, &now, 10*time.Second)
	assert.False(t, cores[1].IsLeader(), "a founder that lost its disk founds no second group")
	assert.False(t, cores[2].IsLeader(), "and its vote does not count")
	cores[3] = boot(t, disks[3], 3, founderList())
	pass(cores, &now, 10*time.Second)
	assert.True(t, cores[2].IsLeader() || cores[3].IsLeader())
}
