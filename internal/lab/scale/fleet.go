package scale

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/beamdoor/beamdoor/internal/steperror"
)

const (
	// zoneCount is the number of zones in which the nodes stand.
	zoneCount = 6
	// cellSize is the number of balancers in a cell.
	cellSize = 16
	// startRate is the number of nodes started a second.
	startRate = 1000
	// joinPoll is the time between two looks at who has joined.
	joinPoll = 20 * time.Millisecond
)

func zoneName(index int) string { return fmt.Sprintf("zone-%d", index%zoneCount) }

// fleet is all hollow nodes.
type fleet struct {
	options Options
	nodes   []*node
	byPeer  map[string]*node
	joined  atomic.Int64
	group   sync.WaitGroup

	mutex     sync.Mutex
	revisions []uint64
	// waiting are the revisions whose spread is being watched.
	waiting map[uint64]*spread
	failure error
}

// spread is how one revision comes into force.
type spread struct {
	accepted time.Time
	missing  int
	has      []bool
	done     chan struct{}
	slowest  time.Duration
}

func newFleet(options Options) *fleet {
	created := &fleet{
		options:   options,
		byPeer:    map[string]*node{},
		revisions: make([]uint64, options.Hollow),
		waiting:   map[uint64]*spread{},
	}
	for index := range options.Hollow {
		added := newNode(created, index, uint32(index/cellSize)+options.FirstCell)
		created.nodes = append(created.nodes, added)
		created.byPeer[added.peer] = added
	}
	return created
}

func (f *fleet) cells() int { return (f.options.Hollow + cellSize - 1) / cellSize }

func (f *fleet) start() {
	for i, started := range f.nodes {
		f.group.Add(1)
		go func() {
			defer f.group.Done()
			started.run()
		}()
		if i%cellSize == cellSize-1 {
			time.Sleep(cellSize * time.Second / startRate)
		}
	}
}

func (f *fleet) stop() {
	for _, running := range f.nodes {
		close(running.stop)
	}
	f.group.Wait()
}

func (f *fleet) fail(err error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.failure == nil {
		f.failure = err
	}
}

func (f *fleet) failed() error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.failure
}

// noteRevision notes what is in force on one node.
func (f *fleet) noteRevision(index int, revision uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.revisions[index] == revision {
		return
	}
	f.revisions[index] = revision
	for watched, current := range f.waiting {
		if revision < watched || current.has[index] {
			continue
		}
		current.has[index] = true
		current.missing--
		if current.missing == 0 {
			current.slowest = time.Since(current.accepted)
			close(current.done)
			delete(f.waiting, watched)
		}
	}
}

// watch follows a revision that was accepted until every node has it.
func (f *fleet) watch(revision uint64, accepted time.Time) *spread {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	watched := &spread{accepted: accepted, has: make([]bool, len(f.nodes)), done: make(chan struct{})}
	for index, current := range f.revisions {
		watched.has[index] = current >= revision
		if !watched.has[index] {
			watched.missing++
		}
	}
	if watched.missing == 0 {
		watched.slowest = time.Since(accepted)
		close(watched.done)
		return watched
	}
	f.waiting[revision] = watched
	return watched
}

// await waits until a revision is in force on every node.
func (f *fleet) await(watched *spread, limit time.Duration) (time.Duration, error) {
	select {
	case <-watched.done:
		return watched.slowest, nil
	case <-time.After(limit):
		return 0, steperror.New("scale.await", "", "a revision is not in force on every node in time")
	}
}

// awaitJoined waits until every node is in a view and has a lease.
func (f *fleet) awaitJoined(limit time.Duration) (time.Duration, error) {
	start := time.Now()
	for time.Since(start) < limit {
		if f.joined.Load() == int64(len(f.nodes)) {
			return time.Since(start), nil
		}
		if err := f.failed(); err != nil {
			return 0, err
		}
		time.Sleep(joinPoll)
	}
	reason := fmt.Sprintf("%d of %d nodes have joined in time", f.joined.Load(), len(f.nodes))
	return 0, steperror.New("scale.join", "", reason)
}

// traffic sums the control bytes of all nodes.
func (f *fleet) traffic() (sent, received uint64) {
	for _, counted := range f.nodes {
		sent += counted.sent.Load()
		received += counted.received.Load()
	}
	return sent, received
}

// reconnect breaks the connections of all nodes at once, as when all control
// members were restarted; the nodes keep their state.
func (f *fleet) reconnect() {
	for _, hit := range f.nodes {
		hit.post(hit.hangUp)
	}
}

// restart makes a share of the nodes start anew at once, without a
// configuration, as after the loss of a zone.
func (f *fleet) restart(every int) int {
	restarted := 0
	for index, hit := range f.nodes {
		if index%every != 0 {
			continue
		}
		restarted++
		hit.post(func() {
			hit.hangUp()
			if hit.joined {
				hit.joined = false
				f.joined.Add(-1)
			}
			if err := hit.begin(); err != nil {
				f.fail(err)
			}
			f.noteRevision(hit.index, 0)
		})
	}
	return restarted
}
