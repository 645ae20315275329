package eventlog

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/beamdoor/beamdoor/internal/ring"
)

const (
	// queueCapacity is the number of lines that AsyncWriter buffers.
	queueCapacity = 1024
	// sampledPerSecond is the number of sampled lines that a logger writes per second;
	// the rest are counted and dropped.
	sampledPerSecond = 60
)

// AsyncWriter writes lines to a sink without blocking the caller. A goroutine drains a
// bounded ring buffer; lines that do not fit are dropped and counted.
type AsyncWriter struct {
	lines   *ring.Ring[[]byte]
	sink    io.Writer
	done    sync.WaitGroup
	dropped atomic.Uint64
}

var _ io.Writer = (*AsyncWriter)(nil)

// NewAsyncWriter returns a writer that passes lines on to the sink.
func NewAsyncWriter(sink io.Writer) *AsyncWriter {
	writer := &AsyncWriter{lines: ring.New[[]byte](queueCapacity), sink: sink}
	writer.done.Add(1)
	go writer.run()
	return writer
}

// Write queues one line, or drops it if the buffer is full. It never blocks or fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if !w.lines.TryPush(bytes.Clone(line)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped because the buffer was full.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }

// Close flushes the queued lines and stops the goroutine.
func (w *AsyncWriter) Close() {
	w.lines.Close()
	w.done.Wait()
}

func (w *AsyncWriter) run() {
	defer w.done.Done()
	var batch [][]byte
	for {
		var open bool
		batch, open = w.lines.PopBatch(batch[:0], queueCapacity)
		if !open {
			return
		}
		_, _ = w.sink.Write(bytes.Join(batch, nil))
	}
}

// rateLimiter limits sampled lines per one-second window.
type rateLimiter struct {
	mutex       sync.Mutex
	windowStart time.Time
	used        int
	suppressed  int
}

// allow reports whether one more line may be written. The first call in a new window also
// returns the number of lines suppressed since the previous report.
func (r *rateLimiter) allow(now time.Time) (allowed bool, suppressed int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if now.Sub(r.windowStart) >= time.Second {
		r.windowStart = now
		r.used = 0
		suppressed = r.suppressed
		r.suppressed = 0
	}
	if r.used >= sampledPerSecond {
		r.suppressed++
		return false, suppressed
	}
	r.used++
	return true, suppressed
}

// Sampled writes an event that may occur for every packet, at most sampledPerSecond
// lines per second. Suppressed lines are reported as LinesLeftOut.
func (l *Logger) Sampled(id ID, fields ...any) {
	allowed, suppressed := l.limiter.allow(time.Now())
	if suppressed > 0 {
		l.Event(LinesLeftOut, "lines", suppressed)
	}
	if allowed {
		l.Event(id, fields...)
	}
}
