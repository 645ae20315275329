package wal_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/beamdoor/beamdoor/internal/raft"
	"github.com/beamdoor/beamdoor/internal/wal"
)

// BenchmarkSaveRatio alternates Save with a plain append and sync of the same size on
// the same disk, and reports the ratio of their times.
func BenchmarkSaveRatio(b *testing.B) {
	dir, err := wal.OpenDir(filepath.Join(b.TempDir(), "log"))
	require.NoError(b, err)
	log, _, _, err := wal.Open(dir)
	require.NoError(b, err)
	plain, err := os.Create(filepath.Join(b.TempDir(), "bare"))
	require.NoError(b, err)
	data := make([]byte, 512)
	var saving, appending time.Duration
	index := uint64(0)
	for b.Loop() {
		index++
		start := time.Now()
		require.NoError(b, log.Save(raft.Ready{Entries: []raft.Entry{{Term: 1, Index: index, Data: data}}}, raft.PersistentState{}))
		saving += time.Since(start)
		start = time.Now()
		_, err := plain.Write(data)
		require.NoError(b, err)
		require.NoError(b, plain.Sync())
		appending += time.Since(start)
	}
	b.ReportMetric(float64(saving)/float64(appending), "of-bare-append")
}
