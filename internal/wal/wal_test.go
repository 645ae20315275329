package wal_test

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/beamdoor/beamdoor/internal/lab/disk"
	"github.com/beamdoor/beamdoor/internal/raft"
	"github.com/beamdoor/beamdoor/internal/wal"
)

const firstSegment = "wal-0000000000000001"

func newDisk() *disk.Disk { return disk.New(rand.New(rand.NewPCG(1, 1))) }

func entry(index uint64) raft.Entry {
	return raft.Entry{Term: 1, Index: index, Kind: raft.EntryCommand, Data: []byte(strings.Repeat("x", int(index%7)+1))}
}

func entries(first, last uint64) []raft.Entry {
	var list []raft.Entry
	for index := first; index <= last; index++ {
		list = append(list, entry(index))
	}
	return list
}

func open(t require.TestingT, files wal.FileSystem) (*wal.Log, raft.PersistentState) {
	log, restored, _, err := wal.Open(files)
	require.NoError(t, err)
	return log, restored
}

func save(t require.TestingT, log *wal.Log, list ...raft.Entry) {
	ready := raft.Ready{Entries: list, HardState: raft.HardState{Term: 1, Vote: 2}, HardStateChanged: true}
	require.NoError(t, log.Save(ready, raft.PersistentState{}))
}

func TestSaveIsDurable(t *testing.T) {
	files := newDisk()
	log, _ := open(t, files)
	save(t, log, entries(1, 3)...)
	files.Crash()
	_, restored := open(t, files)
	assert.Equal(t, entries(1, 3), restored.Entries)
	assert.Equal(t, raft.HardState{Term: 1, Vote: 2}, restored.HardState)
}

func TestSkipSyncLosesAcknowledgedEntries(t *testing.T) {
	fewest := 40
	for seed := range uint64(10) {
		files := disk.New(rand.New(rand.NewPCG(seed, 1)))
		log, _ := open(t, files)
		save(t, log, entries(1, 1)...)
		log.SkipSync = true
		save(t, log, entries(2, 40)...)
		files.Crash()
		// If a marker survives without its batch, Open reports damage, because the
		// marker says that the batch was synced.
		_, restored, _, err := wal.Open(files)
		if err != nil {
			require.ErrorContains(t, err, "damaged")
			continue
		}
		fewest = min(fewest, len(restored.Entries))
	}
	assert.Less(t, fewest, 40)
}

func TestTornTailIsTruncated(t *testing.T) {
	reference := newDisk()
	log, _ := open(t, reference)
	save(t, log, entries(1, 2)...)
	ackedSize := reference.Size(firstSegment)
	save(t, log, entries(3, 4)...)
	fullSize := reference.Size(firstSegment)
	for size := ackedSize; size < fullSize; size++ {
		files := newDisk()
		log, _ := open(t, files)
		save(t, log, entries(1, 2)...)
		save(t, log, entries(3, 4)...)
		require.NoError(t, files.Truncate(firstSegment, int64(size)))
		log, restored := open(t, files)
		assert.GreaterOrEqual(t, len(restored.Entries), 2, "size %d", size)
		next := uint64(len(restored.Entries)) + 1
		save(t, log, entry(next))
		_, again := open(t, files)
		assert.Equal(t, entries(1, next), again.Entries, "size %d", size)
	}
}

// A crash may lose a marker and keep the unsynced batch after it. The log must open
// with all acknowledged entries.
func TestLostMarkerBeforeUnsyncedBatch(t *testing.T) {
	files := newDisk()
	log, _ := open(t, files)
	save(t, log, entries(1, 2)...)
	end := files.Size(firstSegment)
	const markerSize = 9
	files.FailSyncs = true
	require.Error(t, log.Save(raft.Ready{Entries: entries(3, 9)}, raft.PersistentState{}))
	files.FailSyncs = false
	for offset := end - markerSize; offset < end; offset++ {
		files.Flip(firstSegment, offset)
	}
	_, restored := open(t, files)
	assert.GreaterOrEqual(t, len(restored.Entries), 2)
}

// Whatever part of the unsynced writes survives a crash, the log must open with all
// acknowledged entries.
func TestCrashKeepsAcknowledgedEntries(t *testing.T) {
	for seed := range uint64(400) {
		files := disk.New(rand.New(rand.NewPCG(seed, 7)))
		log, _ := open(t, files)
		acknowledged := uint64(0)
		for round := range 4 {
			save(t, log, entries(acknowledged+1, acknowledged+3)...)
			acknowledged += 3
			if round%2 == 0 {
				files.FailSyncs = true
				require.Error(t, log.Save(raft.Ready{Entries: entries(acknowledged+1, acknowledged+4)}, raft.PersistentState{}))
			}
			files.Crash()
			var restored raft.PersistentState
			log, restored = open(t, files)
			require.GreaterOrEqual(t, uint64(len(restored.Entries)), acknowledged, "seed %d", seed)
			acknowledged = uint64(len(restored.Entries))
		}
	}
}

// A damaged byte in an acknowledged batch, including the newest one, must be reported
// as damage and never truncated as a torn tail.
func TestDamageIsDetected(t *testing.T) {
	files := newDisk()
	log, _ := open(t, files)
	save(t, log, entries(1, 2)...)
	save(t, log, entries(3, 3)...)
	const markerSize = 9
	for offset := range files.Size(firstSegment) - markerSize {
		files.Flip(firstSegment, offset)
		_, _, err := wal.Verify(files)
		assert.Error(t, err, "byte %d", offset)
		_, _, _, err = wal.Open(files)
		assert.ErrorContains(t, err, "damaged", "byte %d", offset)
		files.Flip(firstSegment, offset)
	}
	_, report, err := wal.Verify(files)
	require.NoError(t, err)
	assert.Zero(t, report.TornBytes)
}

func TestFailedWriteOrSyncIsSticky(t *testing.T) {
	for name, breakDisk := range map[string]func(*disk.Disk){
		"full": func(files *disk.Disk) { files.Full = true },
		"sync": func(files *disk.Disk) { files.FailSyncs = true },
	} {
		t.Run(name, func(t *testing.T) {
			files := newDisk()
			log, _ := open(t, files)
			save(t, log, entry(1))
			breakDisk(files)
			ready := raft.Ready{Entries: entries(2, 2)}
			require.Error(t, log.Save(ready, raft.PersistentState{}))
			files.Full = false
			files.FailSyncs = false
			assert.Error(t, log.Save(ready, raft.PersistentState{}), "the contents of the disk are unknown")
		})
	}
}

func TestRewrite(t *testing.T) {
	files := newDisk()
	log, _ := open(t, files)
	save(t, log, entries(1, 9)...)
	state := raft.PersistentState{
		HardState: raft.HardState{Term: 3, Vote: 1},
		Snapshot: raft.Snapshot{
			Index: 7, Term: 1, Data: []byte("state"),
			Membership: raft.NewMembership(map[raft.MemberID]uint64{1: 11, 2: 22}),
		},
		Entries: entries(8, 9),
	}
	require.NoError(t, log.Rewrite(state))
	save(t, log, entry(10))
	files.Crash()
	_, restored := open(t, files)
	assert.Equal(t, state.Snapshot, restored.Snapshot)
	assert.Equal(t, entries(8, 10), restored.Entries)
	names, err := files.List()
	require.NoError(t, err)
	assert.NotContains(t, names, firstSegment, "old segments must be removed")
}

func TestMissingEntryIsDetected(t *testing.T) {
	files := newDisk()
	log, _ := open(t, files)
	save(t, log, entry(1))
	save(t, log, entry(3))
	_, _, _, err := wal.Open(files)
	assert.ErrorContains(t, err, "entry 2 is missing")
}

func TestLoadIdentity(t *testing.T) {
	files := newDisk()
	draws := uint64(0)
	draw := func() uint64 { draws++; return draws }
	first, err := wal.LoadIdentity(files, draw)
	require.NoError(t, err)
	files.Crash()
	second, err := wal.LoadIdentity(files, draw)
	require.NoError(t, err)
	assert.Equal(t, first, second)
	files.Wipe()
	third, err := wal.LoadIdentity(files, draw)
	require.NoError(t, err)
	assert.NotEqual(t, first, third, "a wiped disk must get a new identity")
}

func TestDir(t *testing.T) {
	dir, err := wal.OpenDir(t.TempDir())
	require.NoError(t, err)
	log, _ := open(t, dir)
	save(t, log, entries(1, 5)...)
	require.NoError(t, log.Rewrite(raft.PersistentState{Snapshot: raft.Snapshot{Index: 3, Term: 1}, Entries: entries(4, 5)}))
	require.NoError(t, log.Close())
	_, restored := open(t, dir)
	assert.Equal(t, entries(4, 5), restored.Entries)
}

// Any sequence of saves, rewrites and crashes must preserve all saved entries.
func TestLogAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		files := disk.New(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		log, _ := open(t, files)
		var saved []raft.Entry
		var snapshot raft.Snapshot
		next := uint64(1)
		t.Repeat(map[string]func(*rapid.T){
			"save": func(t *rapid.T) {
				save(t, log, entry(next))
				saved = append(saved, entry(next))
				next++
			},
			"replace": func(t *rapid.T) {
				if len(saved) == 0 {
					t.Skip("nothing to replace")
				}
				changed := saved[len(saved)-1]
				changed.Term++
				save(t, log, changed)
				saved[len(saved)-1] = changed
			},
			"compact": func(t *rapid.T) {
				if len(saved) == 0 {
					t.Skip("nothing to compact")
				}
				snapshot = raft.Snapshot{Index: saved[0].Index, Term: saved[0].Term, Data: []byte("s")}
				saved = append([]raft.Entry(nil), saved[1:]...)
				require.NoError(t, log.Rewrite(raft.PersistentState{Snapshot: snapshot, Entries: saved}))
			},
			"crash": func(t *rapid.T) {
				files.Crash()
				var restored raft.PersistentState
				log, restored = open(t, files)
				assert.Equal(t, snapshot.Index, restored.Snapshot.Index)
				assert.Equal(t, len(saved), len(restored.Entries))
				for i := range saved {
					assert.Equal(t, saved[i], restored.Entries[i])
				}
			},
		})
	})
}

func FuzzOpenSegment(f *testing.F) {
	files := newDisk()
	log, _ := open(f, files)
	save(f, log, entries(1, 3)...)
	data, err := files.ReadFile(firstSegment)
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		files := newDisk()
		file, err := files.Create(firstSegment)
		require.NoError(t, err)
		_, err = file.Write(data)
		require.NoError(t, err)
		log, restored, _, err := wal.Open(files)
		if err != nil {
			return
		}
		save(t, log, entry(uint64(len(restored.Entries))+1))
	})
}

// PeakDiskUsage must equal the size of all files plus that of the next snapshot.
func TestPeakDiskUsage(t *testing.T) {
	path := t.TempDir()
	dir, err := wal.OpenDir(path)
	require.NoError(t, err)
	log, _ := open(t, dir)
	check := func(snapshot int64) {
		t.Helper()
		files, err := os.ReadDir(path)
		require.NoError(t, err)
		want := snapshot
		for _, file := range files {
			info, err := file.Info()
			require.NoError(t, err)
			want += info.Size()
		}
		assert.Equal(t, want, log.PeakDiskUsage())
	}
	check(0)
	save(t, log, entries(1, 30)...)
	check(0)
	require.NoError(t, log.Rewrite(raft.PersistentState{Snapshot: raft.Snapshot{Index: 20, Term: 1, Data: make([]byte, 500)}, Entries: entries(21, 30)}))
	names, err := filepath.Glob(filepath.Join(path, "snapshot-*"))
	require.NoError(t, err)
	require.Len(t, names, 1)
	info, err := os.Stat(names[0])
	require.NoError(t, err)
	check(info.Size())
	save(t, log, entries(31, 33)...)
	check(info.Size())
	require.NoError(t, log.Close())
	log, _ = open(t, dir)
	check(info.Size())
	require.NoError(t, log.Close())
}

func TestCommitIndexIsSavedWithEntries(t *testing.T) {
	files := newDisk()
	log, _ := open(t, files)
	save(t, log, entries(1, 3)...)
	ready := raft.Ready{Entries: entries(4, 5), HardState: raft.HardState{Term: 1, Vote: 2, Commit: 3}}
	require.NoError(t, log.Save(ready, raft.PersistentState{}))
	require.NoError(t, log.Save(raft.Ready{HardState: raft.HardState{Term: 1, Vote: 2, Commit: 5}}, raft.PersistentState{}), "a commit index alone must not cause a write")
	files.Crash()
	_, restored := open(t, files)
	assert.Equal(t, raft.HardState{Term: 1, Vote: 2, Commit: 3}, restored.HardState)
	assert.Equal(t, entries(1, 5), restored.Entries)
}
