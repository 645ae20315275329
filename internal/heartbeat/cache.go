// Package heartbeat acknowledges the heartbeats that change no state, which are most of
// them, and distributes targets over the nodes of a deployment. Both control members and
// nodes use it.
package heartbeat

import (
	"sync"

	"github.com/beamdoor/beamdoor/internal/directory"
)

// registration is the committed state of a target.
type registration struct {
	born  uint64
	token directory.Token
	state directory.TargetState
}

// Cache holds the target states committed by a quorum. It is safe for concurrent use.
type Cache struct {
	mutex        sync.Mutex
	targets      map[string]registration
	acknowledged map[directory.Token]bool
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{targets: map[string]registration{}, acknowledged: map[directory.Token]bool{}}
}

// Update applies changed targets. Targets of an earlier start than the known one are
// ignored.
func (c *Cache) Update(targets []directory.Target) {
	if len(targets) == 0 {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, target := range targets {
		known, exists := c.targets[target.ID]
		switch {
		case exists && target.StartTime < known.born:
		case target.State == directory.TargetEnded:
			delete(c.targets, target.ID)
		default:
			c.targets[target.ID] = registration{born: target.StartTime, token: target.Token, state: target.State}
		}
	}
}

// Reset removes all targets, before another directory state is applied.
func (c *Cache) Reset() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	clear(c.targets)
}

// Acknowledge records a heartbeat and returns true if its state is already committed. It
// returns false for heartbeats of another start than the registered one.
func (c *Cache) Acknowledge(start directory.Start, state directory.TargetState) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known, registered := c.targets[start.ID]
	if !registered || known.born != start.StartTime || known.state < state {
		return false
	}
	c.acknowledged[known.token] = true
	return true
}

// TakeAcknowledged returns the targets acknowledged since the last call, in no particular
// order.
func (c *Cache) TakeAcknowledged() []directory.Token {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var tokens []directory.Token
	for token := range c.acknowledged {
		tokens = append(tokens, token)
	}
	clear(c.acknowledged)
	return tokens
}
