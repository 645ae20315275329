// Package ring provides the bounded queue that connects the goroutines of a process. Each
// goroutine reads from one ring.
package ring

import "sync"

// Ring is a bounded first-in first-out queue, safe for many producers and
// consumers. The zero value is not usable; call New.
type Ring[T any] struct {
	mutex    sync.Mutex
	notEmpty sync.Cond
	notFull  sync.Cond
	items    []T
	head     int
	count    int
	closed   bool
	dropped  uint64
}

// New returns a ring that holds at most capacity items.
func New[T any](capacity int) *Ring[T] {
	if capacity < 1 {
		capacity = 1
	}
	r := &Ring[T]{items: make([]T, capacity)}
	r.notEmpty.L = &r.mutex
	r.notFull.L = &r.mutex
	return r
}

// TryPush appends an item. If the ring is full or closed, it counts the item as dropped
// and returns false.
func (r *Ring[T]) TryPush(item T) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.closed || r.count == len(r.items) {
		r.dropped++
		return false
	}
	r.append(item)
	return true
}

// Push appends an item and blocks while the ring is full. If the ring is closed, it
// counts the item as dropped and returns false.
func (r *Ring[T]) Push(item T) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for r.count == len(r.items) && !r.closed {
		r.notFull.Wait()
	}
	if r.closed {
		r.dropped++
		return false
	}
	r.append(item)
	return true
}

func (r *Ring[T]) append(item T) {
	r.items[(r.head+r.count)%len(r.items)] = item
	r.count++
	r.notEmpty.Signal()
}

// Pop removes the oldest item and blocks while the ring is empty. It returns false if the
// ring is closed and empty.
func (r *Ring[T]) Pop() (T, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for r.count == 0 && !r.closed {
		r.notEmpty.Wait()
	}
	var zero T
	if r.count == 0 {
		return zero, false
	}
	item := r.items[r.head]
	r.items[r.head] = zero
	r.head = (r.head + 1) % len(r.items)
	r.count--
	r.notFull.Signal()
	return item, true
}

// PopBatch moves up to limit items to batch. It blocks only for the first item, and
// returns false if the ring is closed and empty.
func (r *Ring[T]) PopBatch(batch []T, limit int) ([]T, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for r.count == 0 && !r.closed {
		r.notEmpty.Wait()
	}
	if r.count == 0 {
		return batch, false
	}
	var zero T
	for taken := 0; taken < limit && r.count > 0; taken++ {
		batch = append(batch, r.items[r.head])
		r.items[r.head] = zero
		r.head = (r.head + 1) % len(r.items)
		r.count--
	}
	r.notFull.Broadcast()
	return batch, true
}

// Discard removes all queued items and returns their number.
func (r *Ring[T]) Discard() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	discarded := r.count
	clear(r.items)
	r.head = 0
	r.count = 0
	r.notFull.Broadcast()
	return discarded
}

// Close closes the ring and wakes all waiting goroutines; queued items can still be
// popped.
func (r *Ring[T]) Close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.closed = true
	r.notEmpty.Broadcast()
	r.notFull.Broadcast()
}

// Len returns the number of queued items.
func (r *Ring[T]) Len() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.count
}

// Dropped returns the number of items rejected because the ring was full or closed.
func (r *Ring[T]) Dropped() uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.dropped
}
