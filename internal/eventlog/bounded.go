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
	// boundedCapacity is the number of lines that wait for the writer.
	boundedCapacity = 1024
	// sampledPerSecond is the number of sampled lines that a process writes
	// in a second; what is beyond is counted.
	sampledPerSecond = 60
)

// AsyncWriter is a sink that never blocks its caller: lines wait in a bounded ring
// for a goroutine that writes them, and lines that find no room are counted.
type AsyncWriter struct {
	lines   *ring.Ring[[]byte]
	sink    io.Writer
	done    sync.WaitGroup
	dropped atomic.Uint64
}

var _ io.Writer = (*AsyncWriter)(nil)

// NewAsyncWriter returns a writer that passes lines on to the sink.
func NewAsyncWriter(sink io.Writer) *AsyncWriter {
	writer := &AsyncWriter{lines: ring.New[[]byte](boundedCapacity), sink: sink}
	writer.done.Add(1)
	go writer.run()
	return writer
}

// Write queues one line. It never fails and never blocks.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if !w.lines.TryPush(bytes.Clone(line)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that found no room.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }

// Close writes what is queued and ends the goroutine.
func (w *AsyncWriter) Close() {
	w.lines.Close()
	w.done.Wait()
}

func (w *AsyncWriter) run() {
	defer w.done.Done()
	var batch [][]byte
	for {
		var open bool
		batch, open = w.lines.PopBatch(batch[:0], boundedCapacity)
		if !open {
			return
		}
		_, _ = w.sink.Write(bytes.Join(batch, nil))
	}
}

// budget counts sampled lines in the current second.
type budget struct {
	mutex   sync.Mutex
	second  time.Time
	used    int
	leftOut int
}

// take reports whether one more line may be written, and how many lines of
// the seconds before were left out.
func (b *budget) take(now time.Time) (allowed bool, leftOut int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if now.Sub(b.second) >= time.Second {
		b.second = now
		b.used = 0
		leftOut = b.leftOut
		b.leftOut = 0
	}
	if b.used >= sampledPerSecond {
		b.leftOut++
		return false, leftOut
	}
	b.used++
	return true, leftOut
}

// Sampled writes an event that may come with every packet: at most
// sampledPerSecond lines a second, the others are counted.
func (l *Logger) Sampled(id ID, fields ...any) {
	allowed, leftOut := l.budget.take(time.Now())
	if leftOut > 0 {
		l.Event(LinesLeftOut, "lines", leftOut)
	}
	if allowed {
		l.Event(id, fields...)
	}
}
