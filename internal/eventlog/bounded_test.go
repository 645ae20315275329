package eventlog

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// stuckSink is a reader of the log that has stopped reading.
type stuckSink struct{ release chan struct{} }

func (s *stuckSink) Write(data []byte) (int, error) {
	<-s.release
	return len(data), nil
}

func TestAReaderThatStopsNeverHoldsUpTheWriter(t *testing.T) {
	sink := &stuckSink{release: make(chan struct{})}
	writer := NewAsyncWriter(sink)
	done := make(chan struct{})
	go func() {
		for range 3 * boundedCapacity {
			_, _ = writer.Write([]byte("line\n"))
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("the writer was held up")
	}
	assert.GreaterOrEqual(t, writer.Dropped(), uint64(boundedCapacity))
	close(sink.release)
	writer.Close()
}

func TestAllLinesArriveWhenTheReaderReads(t *testing.T) {
	var sink bytes.Buffer
	writer := NewAsyncWriter(&sink)
	for range 100 {
		_, _ = writer.Write([]byte("line\n"))
	}
	writer.Close()
	assert.Equal(t, 100, strings.Count(sink.String(), "line\n"))
	assert.Zero(t, writer.Dropped())
}

func TestSampledLinesAreBoundedAndCounted(t *testing.T) {
	var b budget
	now := time.Now()
	allowed := 0
	for range 3 * sampledPerSecond {
		if ok, _ := b.take(now); ok {
			allowed++
		}
	}
	assert.Equal(t, sampledPerSecond, allowed)
	ok, leftOut := b.take(now.Add(time.Second))
	assert.True(t, ok)
	assert.Equal(t, 2*sampledPerSecond, leftOut)
}
