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

func encodedBackup(t *testing.T) []byte {
	state := store.New(store.Options{})
	state.Apply(store.Command{Kind: store.CommandApply, Body: &beamdoorv1.ApplyRequest{
		RequestId: make([]byte, store.RequestIDSize),
		Services:  []*beamdoorv1.Service{{Name: "a", Address: "10.0.0.1:1", Cell: 1, SharingPolicy: "builtin/even", HealthPolicy: "builtin/health"}},
	}})
	data, err := state.Encode()
	require.NoError(t, err)
	return data
}

// startCore starts a core from the state on a disk.
func startCore(t *testing.T, files wal.FileSystem, id raft.MemberID, members []*beamdoorv1.Member) *Core {
	identity, err := wal.LoadIdentity(files, rand.Uint64)
	require.NoError(t, err)
	log, restored, _, err := wal.Open(files)
	require.NoError(t, err)
	settings := DefaultSettings()
	settings.Raft.ID = id
	settings.Raft.Identity = identity
	settings.Raft.Random = rand.New(rand.NewPCG(uint64(id), 1))
	settings.InitialMembers = members
	settings.SeedMembers = []raft.MemberID{1, 2, 3}
	core, err := NewCore(0, settings, log, restored)
	require.NoError(t, err)
	return core
}

func TestRestoredFolderStartsSingleMemberGroup(t *testing.T) {
	files := newDisk()
	member := &beamdoorv1.Member{Id: 11, Peer: "p", Nodes: "n", Admin: "a"}
	revision, err := RestoreFolder(files, rand.Uint64, member, encodedBackup(t))
	require.NoError(t, err)
	files.Crash()
	core := startCore(t, files, 11, nil)
	var now kernel.Instant
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		core.Tick(now)
	}
	assert.True(t, core.CanRead(now))
	assert.Equal(t, revision, core.Store().Revision())
	assert.NotNil(t, core.Store().Service("a"))
	assert.Zero(t, core.Store().CellConfig(1, 5).BaseRevision, "balancers receive the full configuration")
	_, err = RestoreFolder(files, rand.Uint64, member, encodedBackup(t))
	assert.ErrorContains(t, err, "not empty")
	_, err = RestoreFolder(newDisk(), rand.Uint64, member, []byte("invalid"))
	assert.Error(t, err)
}

// runCores advances the cores by a duration and delivers their messages without delay.
func runCores(cores map[raft.MemberID]*Core, now *kernel.Instant, duration time.Duration) {
	for end := now.Add(duration); *now < end; *now = now.Add(50 * time.Millisecond) {
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

func threeMembers() []*beamdoorv1.Member {
	return []*beamdoorv1.Member{{Id: 1, Peer: "1"}, {Id: 2, Peer: "2"}, {Id: 3, Peer: "3"}}
}

func TestBootstrapRequiresAllInitialMembers(t *testing.T) {
	cores := map[raft.MemberID]*Core{}
	disks := map[raft.MemberID]*disk.Disk{}
	var now kernel.Instant
	for id := raft.MemberID(1); id <= 3; id++ {
		disks[id] = newDisk()
	}
	for id := raft.MemberID(1); id <= 2; id++ {
		cores[id] = startCore(t, disks[id], id, threeMembers())
	}
	runCores(cores, &now, 5*time.Second)
	assert.True(t, cores[1].isUninitialized(), "one initial member is missing")
	cores[3] = startCore(t, disks[3], 3, threeMembers())
	runCores(cores, &now, 5*time.Second)
	leaders := 0
	for _, core := range cores {
		assert.Len(t, core.Raft().Membership().Voters, 3)
		if core.IsLeader() {
			leaders++
		}
	}
	assert.Equal(t, 1, leaders)

	disks[1].Wipe()
	cores[1] = startCore(t, disks[1], 1, threeMembers())
	delete(cores, 3)
	runCores(cores, &now, 10*time.Second)
	assert.False(t, cores[1].IsLeader(), "a member that lost its disk creates no second group")
	assert.False(t, cores[2].IsLeader(), "the vote of a member that lost its disk does not count")
	cores[3] = startCore(t, disks[3], 3, threeMembers())
	runCores(cores, &now, 10*time.Second)
	assert.True(t, cores[2].IsLeader() || cores[3].IsLeader())
}
