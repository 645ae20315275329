package eventlog

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// blockedSink is a sink whose writes block until it is released.
type blockedSink struct{ release chan struct{} }

func (s *blockedSink) Write(data []byte) (int, error) {
	<-s.release
	return len(data), nil
}

func TestAsyncWriterNeverBlocksOnStalledSink(t *testing.T) {
	sink := &blockedSink{release: make(chan struct{})}
	writer := NewAsyncWriter(sink)
	done := make(chan struct{})
	go func() {
		for range 3 * queueCapacity {
			_, _ = writer.Write([]byte("line\n"))
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocked on a stalled sink")
	}
	assert.GreaterOrEqual(t, writer.Dropped(), uint64(queueCapacity))
	close(sink.release)
	writer.Close()
}

func TestAsyncWriterDeliversAllLines(t *testing.T) {
	var sink bytes.Buffer
	writer := NewAsyncWriter(&sink)
	for range 100 {
		_, _ = writer.Write([]byte("line\n"))
	}
	writer.Close()
	assert.Equal(t, 100, strings.Count(sink.String(), "line\n"))
	assert.Zero(t, writer.Dropped())
}

func TestRateLimiterCountsSuppressedLines(t *testing.T) {
	var limiter rateLimiter
	now := time.Now()
	allowed := 0
	for range 3 * sampledPerSecond {
		if ok, _ := limiter.allow(now); ok {
			allowed++
		}
	}
	assert.Equal(t, sampledPerSecond, allowed)
	ok, suppressed := limiter.allow(now.Add(time.Second))
	assert.True(t, ok)
	assert.Equal(t, 2*sampledPerSecond, suppressed)
}
