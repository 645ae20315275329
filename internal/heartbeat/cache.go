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

// Follow takes over targets that have changed.
func (c *Cache) Follow(targets []directory.Target) {
	if len(targets) == 0 {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, target := range targets {
		if target.State == directory.TargetEnded {
			delete(c.targets, target.ID)
			continue
		}
		c.targets[target.ID] = entry{token: target.Token, state: target.State}
	}
}

// Reset forgets all targets, before those of another state are followed.
func (c *Cache) Reset() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	clear(c.targets)
}

// Take notes a heartbeat and reports whether what it says is known to hold.
func (c *Cache) Take(id string, state directory.TargetState) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known, registered := c.targets[id]
	if !registered || known.state < state {
		return false
	}
	c.heard[known.token] = true
	return true
}

// TakeHeard returns the targets heard since the last call, in no fixed order.
func (c *Cache) TakeHeard() []directory.Token {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var tokens []directory.Token
	for token := range c.heard {
		tokens = append(tokens, token)
	}
	clear(c.heard)
	return tokens
}
