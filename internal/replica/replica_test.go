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

// countingHost counts what the driver asks for.
type countingHost struct {
	applied    []uint64
	compacted  int
	roles      int
	stopped    error
	applyError error
	// state is what a snapshot holds.
	state []byte
}

var _ Host = (*countingHost)(nil)

func (h *countingHost) Send(raft.Message)                           {}
func (h *countingHost) Restore(kernel.Instant, raft.Snapshot) error { return nil }
func (h *countingHost) Apply(_ kernel.Instant, entry raft.Entry) error {
	h.applied = append(h.applied, entry.Index)
	return h.applyError
}
func (h *countingHost) RoleChanged(kernel.Instant, raft.Role) { h.roles++ }
func (h *countingHost) Encode() ([]byte, error)               { return h.state, nil }
func (h *countingHost) Compacted(raft.Snapshot)               { h.compacted++ }
func (h *countingHost) Stopped(err error)                     { h.stopped = err }

// memory is a storage that fails when told to.
type memory struct{ err error }

func (m *memory) Save(raft.Ready, raft.PersistentState) error { return m.err }
func (m *memory) Rewrite(raft.PersistentState) error          { return m.err }

const compactLen = 4

// leading returns a driver whose only or first member leads a group.
func leading(t *testing.T, members int) (*Driver, *countingHost, *memory) {
	identities := map[raft.MemberID]uint64{}
	for number := range members {
		identities[raft.MemberID(number+1)] = uint64(number + 11)
	}
	host := &countingHost{}
	disk := &memory{}
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

func TestTheLogIsCompactedByAppliedEntries(t *testing.T) {
	driver, host, _ := leading(t, 1)
	propose(t, driver, 3*compactLen)
	assert.Equal(t, 3, host.compacted)
	assert.Len(t, host.applied, 3*compactLen+1)
}

// A snapshot holds the whole state: written each so many entries, it costs more the
// larger the state is, and all that it holds a change. Twice the log is the bound.
func TestSnapshotsCostNoMoreThanTheLogHoweverLargeTheState(t *testing.T) {
	for _, entries := range []int{compactLen, 10 * compactLen, 100 * compactLen} {
		driver, host, _ := leading(t, 1)
		host.state = make([]byte, entries)
		propose(t, driver, compactLen)
		require.Equal(t, 1, host.compacted, "the first one; its size is not known before")
		propose(t, driver, 5*entries)
		assert.Equal(t, 6, host.compacted, "one for as many bytes of entries as it holds")
	}
}

// Entries that wait for a quorum stay in the log whatever is compacted. Counting
// them made a member save a snapshot at every flush (bench run 1a0d676f).
func TestEntriesThatWaitDoNotCompactTheLog(t *testing.T) {
	driver, host, _ := leading(t, 3)
	propose(t, driver, 5*compactLen)
	assert.Zero(t, host.compacted)
}

func TestAFailedDiskOrStateStopsTheMemberOnce(t *testing.T) {
	driver, host, disk := leading(t, 1)
	disk.err = errors.New("no space left")
	propose(t, driver, 1)
	require.ErrorIs(t, host.stopped, disk.err)
	assert.Equal(t, driver.Err, host.stopped)
	applied := len(host.applied)
	_, _, _ = driver.Node.Propose(kernel.Instant(7*time.Second), []byte("y"))
	driver.Flush(kernel.Instant(7 * time.Second))
	assert.Len(t, host.applied, applied)

	driver, host, _ = leading(t, 1)
	host.applyError = errors.New("unknown command")
	propose(t, driver, 1)
	assert.ErrorIs(t, host.stopped, host.applyError)
}
