package ring

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestPushAndPop(t *testing.T) {
	queue := New[int](2)
	require.True(t, queue.TryPush(1))
	require.True(t, queue.TryPush(2))
	assert.False(t, queue.TryPush(3), "push to a full ring")
	assert.Equal(t, uint64(1), queue.Dropped())
	first, open := queue.Pop()
	assert.True(t, open)
	assert.Equal(t, 1, first)
	batch, open := queue.PopBatch(nil, 10)
	assert.True(t, open)
	assert.Equal(t, []int{2}, batch)
}

func TestPopAfterClose(t *testing.T) {
	queue := New[int](4)
	queue.TryPush(1)
	queue.Close()
	assert.False(t, queue.TryPush(2))
	assert.False(t, queue.Push(2))
	item, open := queue.Pop()
	assert.True(t, open)
	assert.Equal(t, 1, item)
	_, open = queue.Pop()
	assert.False(t, open)
	_, open = queue.PopBatch(nil, 1)
	assert.False(t, open)
}

func TestPushBlocksWhenFull(t *testing.T) {
	queue := New[int](1)
	const items = 1000
	var producers sync.WaitGroup
	for range 4 {
		producers.Add(1)
		go func() {
			defer producers.Done()
			for range items {
				queue.Push(1)
			}
		}()
	}
	go func() {
		producers.Wait()
		queue.Close()
	}()
	sum := 0
	for {
		item, open := queue.Pop()
		if !open {
			break
		}
		sum += item
	}
	assert.Equal(t, 4*items, sum)
	assert.Zero(t, queue.Dropped())
}
