package registry

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/beamdoor/beamdoor/internal/kernel"
)

// restartSeeds is the number of simulated restarts.
const restartSeeds = 60

// restartAll cuts the power of all members, starts them again within 300 ms, and returns
// the time from the start of the last member needed for a quorum until there is a leader.
func (c *cluster) restartAll() time.Duration {
	for _, name := range c.names() {
		c.kill(name, true)
	}
	c.run(500 * time.Millisecond)
	var starts []kernel.Instant
	pending := map[string]kernel.Instant{}
	for _, name := range c.names() {
		at := c.now.Add(time.Duration(c.random.Int64N(int64(300 * time.Millisecond))))
		pending[name] = at
		starts = append(starts, at)
	}
	slices.Sort(starts)
	needed := starts[len(starts)/2]
	c.runUntil(5*time.Second, "a leader", func() bool {
		for _, name := range c.names() {
			if at, waits := pending[name]; waits && c.now >= at {
				delete(pending, name)
				c.start(name)
			}
		}
		return c.leader() != nil
	})
	return c.now.Sub(needed)
}

// Guards against split votes of members that have waited for a quorum and stand for
// election at the same time.
func TestLeaderElectedSoonAfterFullRestart(t *testing.T) {
	var times []time.Duration
	for seed := range uint64(restartSeeds) {
		c := newTolerantCluster(t, seed, 5, 2)
		times = append(times, c.restartAll())
	}
	slices.Sort(times)
	t.Logf("median %s, 90th percentile %s, maximum %s", times[restartSeeds/2], times[restartSeeds*9/10], times[restartSeeds-1])
	assert.Less(t, times[restartSeeds*9/10], 200*time.Millisecond)
	assert.Less(t, times[restartSeeds-1], 300*time.Millisecond)
}
