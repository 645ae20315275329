package replica

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/raft"
)

// fakeHost is a Host that records the driver's calls.
type fakeHost struct {
	applied    []uint64
	compacted  int
	roles      int
	stopped    error
	applyError error
	// state is the result of Encode.
	state []byte
}

var _ Host = (*fakeHost)(nil)

func (h *fakeHost) Send(raft.Message)                           {}
func (h *fakeHost) Restore(kernel.Instant, raft.Snapshot) error { return nil }
func (h *fakeHost) Apply(_ kernel.Instant, entry raft.Entry) error {
	h.applied = append(h.applied, entry.Index)
	return h.applyError
}
func (h *fakeHost) RoleChanged(kernel.Instant, raft.Role) { h.roles++ }
func (h *fakeHost) Encode() ([]byte, error)               { return h.state, nil }
func (h *fakeHost) Compacted(raft.Snapshot)               { h.compacted++ }
func (h *fakeHost) Stopped(err error)                     { h.stopped = err }

// fakeStorage is a Storage that returns err from every call.
type fakeStorage struct{ err error }

func (m *fakeStorage) Save(raft.Ready, raft.PersistentState) error { return m.err }
func (m *fakeStorage) Rewrite(raft.PersistentState) error          { return m.err }

const compactLen = 4

// newLeader returns the driver of member 1, which is the leader of its group.
func newLeader(t *testing.T, members int) (*Driver, *fakeHost, *fakeStorage) {
	identities := map[raft.MemberID]uint64{}
	for number := range members {
		identities[raft.MemberID(number+1)] = uint64(number + 11)
	}
	host := &fakeHost{}
	disk := &fakeStorage{}
	driver := New(host, disk, compactLen)
	driver.Node = raft.NewNode(0, raft.Settings{
		ID: 1, Identity: 11, ElectionTimeout: time.Second, Heartbeat: time.Second, MaxAppend: 8, ChunkSize: 100,
		Random: rand.New(rand.NewPCG(1, 1)),
	}, raft.PersistentState{Snapshot: raft.Snapshot{Index: 1, Membership: raft.NewMembership(identities)}})
	driver.Applied = 1
	now := kernel.Instant(5 * time.Second)
	driver.Node.Tick(now)
	if members > 1 {
		for _, kind := range []raft.MessageKind{raft.MessagePreVoteReply, raft.MessageVoteReply} {
			driver.Node.Step(now, raft.Message{Kind: kind, From: 2, Identity: 12, Term: 1})
		}
	}
	driver.Flush(now)
	require.True(t, driver.IsLeader())
	return driver, host, disk
}

func propose(t *testing.T, driver *Driver, count int) {
	for range count {
		_, _, err := driver.Node.Propose(kernel.Instant(6*time.Second), []byte("x"))
		require.NoError(t, err)
		driver.Flush(kernel.Instant(6 * time.Second))
	}
}

func TestCompactionByAppliedEntries(t *testing.T) {
	driver, host, _ := newLeader(t, 1)
	propose(t, driver, 3*compactLen)
	assert.Equal(t, 3, host.compacted)
	assert.Len(t, host.applied, 3*compactLen+1)
}

// A snapshot holds the whole state, so compaction must wait until the applied entries
// are as large as the last snapshot.
func TestCompactionWaitsForSnapshotSize(t *testing.T) {
	for _, entries := range []int{compactLen, 10 * compactLen, 100 * compactLen} {
		driver, host, _ := newLeader(t, 1)
		host.state = make([]byte, entries)
		propose(t, driver, compactLen)
		require.Equal(t, 1, host.compacted, "the first snapshot depends only on the number of entries")
		propose(t, driver, 5*entries)
		assert.Equal(t, 6, host.compacted, "one snapshot per snapshot size of applied entries")
	}
}

// Uncommitted entries cannot be compacted. Counting them would write a snapshot on
// every flush.
func TestUncommittedEntriesDoNotTriggerCompaction(t *testing.T) {
	driver, host, _ := newLeader(t, 3)
	propose(t, driver, 5*compactLen)
	assert.Zero(t, host.compacted)
}

func TestStorageOrApplyErrorStopsMember(t *testing.T) {
	driver, host, disk := newLeader(t, 1)
	disk.err = errors.New("no space left")
	propose(t, driver, 1)
	require.ErrorIs(t, host.stopped, disk.err)
	assert.Equal(t, driver.Err, host.stopped)
	applied := len(host.applied)
	_, _, _ = driver.Node.Propose(kernel.Instant(7*time.Second), []byte("y"))
	driver.Flush(kernel.Instant(7 * time.Second))
	assert.Len(t, host.applied, applied)

	driver, host, _ = newLeader(t, 1)
	host.applyError = errors.New("unknown command")
	propose(t, driver, 1)
	assert.ErrorIs(t, host.stopped, host.applyError)
}
