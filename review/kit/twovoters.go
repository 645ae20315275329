package main

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

// recoverTime is recoverS of the settings.
const recoverTime = 12 * time.Second

// frozenFor is the time from the freeze of one machine to the loss of the other's disk.
const frozenFor = 2490 * time.Millisecond

// twoVoters: a core machine is frozen for some seconds; while the group replaces it, another
// one loses its disk. Afterwards all five run, with four of the five disks as they were.
func twoVoters(c *caseContext) (broken []string, err error) {
	f := c.fleet
	op := operator{"one", c.record}
	if err := f.start(5, 3); err != nil {
		return nil, err
	}
	if !op.sendUntilTaken(f.controls(), 10, standardRoutes, 15*time.Second) {
		return nil, fmt.Errorf("the first configuration was not taken")
	}
	time.Sleep(contactTime)
	leader := f.leader()
	if leader == nil {
		return nil, fmt.Errorf("no leader found")
	}
	// The group starts with the seeds as voters.
	var frozen, wiped *machine
	for _, m := range f.cores[:3] {
		switch {
		case m == leader:
		case frozen == nil:
			frozen = m
		default:
			wiped = m
		}
	}
	if wiped == nil {
		return nil, fmt.Errorf("the leader is no seed")
	}
	c.record.add("leads:", leader.name, "to be frozen:", frozen.name, "to lose its disk:", wiped.name)
	if !op.sendUntilTaken(f.controls(), 13, standardRoutes[:2], 10*time.Second) {
		return nil, fmt.Errorf("the second configuration was not taken")
	}
	if err := c.freezeAndWipe(frozen, wiped); err != nil {
		return nil, err
	}
	c.record.add("all core machines run")
	time.Sleep(recoverTime)
	// A further change, and the read at the end, asked for at all machines for twice contactMs.
	op.sendUntilTaken(f.controls(), 17, standardRoutes, contactTime)
	answered := false
	for end := time.Now().Add(2 * contactTime); time.Now().Before(end) && !answered; time.Sleep(200 * time.Millisecond) {
		for _, node := range f.controls() {
			version, ok := op.read(node)
			answered = answered || ok
			if ok && version < 13 {
				broken = append(broken, fmt.Sprintf("CONFIG: version 13 was acknowledged, but %s reads back version %d", node, version))
			}
		}
	}
	if !answered {
		broken = append(broken, fmt.Sprintf("CONFIG: the acknowledged version 13 does not come: no machine answered a read for %v, more than recoverS after all were back", 2*contactTime))
	}
	return broken, nil
}

// freezeAndWipe disturbs the core. ONLY=freeze and ONLY=wipe leave out the other half.
func (c *caseContext) freezeAndWipe(frozen, wiped *machine) error {
	f := c.fleet
	only := os.Getenv("ONLY")
	if !c.trouble {
		return nil
	}
	if only != "wipe" {
		f.signal(frozen, syscall.SIGSTOP)
		time.Sleep(frozenFor)
	}
	if only != "freeze" {
		f.kill(wiped)
		// It returns at its old address with an empty dataDir.
		wiped.disks++
		if err := f.startProcess(wiped, false); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	if only != "wipe" {
		f.signal(frozen, syscall.SIGCONT)
	}
	return nil
}
