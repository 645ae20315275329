// Package heartbeat answers the heartbeats of targets that change nothing, by
// far the most, and spreads them over the nodes of a deployment. Control
// members and nodes share it.
package heartbeat

import (
	"sync"

	"github.com/beamdoor/beamdoor/internal/directory"
)

// entry is what is known to hold of a target.
type entry struct {
	born  uint64
	token directory.Token
	state directory.TargetState
}

// Cache knows the stages of targets that are on the disks of a quorum. Many
// goroutines may use it at once.
type Cache struct {
	mutex   sync.Mutex
	targets map[string]entry
	heard   map[directory.Token]bool
}

// NewCache returns a cache that knows no target.
func NewCache() *Cache {
	return &Cache{targets: map[string]entry{}, heard: map[directory.Token]bool{}}
}

// Update takes over targets that have changed.
func (c *Cache) Update(targets []directory.Target) {
	if len(targets) == 0 {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, target := range targets {
		known, exists := c.targets[target.ID]
		switch {
		case exists && target.Born < known.born:
		case target.State == directory.TargetEnded:
			delete(c.targets, target.ID)
		default:
			c.targets[target.ID] = entry{born: target.Born, token: target.Token, state: target.State}
		}
	}
}

// Reset forgets all targets, before those of another state are followed.
func (c *Cache) Reset() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	clear(c.targets)
}

// Acknowledge notes a heartbeat and reports whether what it says is known to hold. One of
// another start than the latest is known to hold nothing.
func (c *Cache) Acknowledge(start directory.Start, state directory.TargetState) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known, registered := c.targets[start.ID]
	if !registered || known.born != start.Born || known.state < state {
		return false
	}
	c.heard[known.token] = true
	return true
}

// TakeAcknowledged returns the targets heard since the last call, in no fixed order.
func (c *Cache) TakeAcknowledged() []directory.Token {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var tokens []directory.Token
	for token := range c.heard {
		tokens = append(tokens, token)
	}
	clear(c.heard)
	return tokens
}
