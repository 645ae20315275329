package main

import (
	"fmt"
	"net"
	"syscall"
	"time"
)

// foreignReply: a core machine is killed while an order of its own is pending at the leader,
// and returns at once with another order. Two operators send at the same time.
func foreignReply(c *caseContext) (broken []string, err error) {
	f := c.fleet
	first, second := operator{"one", c.record}, operator{"two", c.record}
	if err := f.start(3, 2); err != nil {
		return nil, err
	}
	// The operator's list has one node at first; the machine to be killed has taken no order yet.
	if !first.sendUntilTaken(f.controls()[:1], 10, standardRoutes, 15*time.Second) {
		return nil, fmt.Errorf("the first configuration was not taken")
	}
	time.Sleep(contactTime)
	leader := f.leader()
	if leader == nil {
		return nil, fmt.Errorf("no leader found")
	}
	var killed, other *machine
	for _, m := range f.cores {
		switch {
		case m == leader:
		case killed == nil && m != f.cores[0]:
			killed = m
		default:
			other = m
		}
	}
	c.record.add("leads:", leader.name, "to be killed:", killed.name, "to be frozen:", other.name)
	retimed := append([]route{}, standardRoutes...)
	retimed[0].timeoutMs = 1900
	added := append(append([]route{}, retimed...), route{name: "r-new", hostname: "198.18.0.3", port: 8443, kind: "safe", service: agenda, timeoutMs: 2000})
	newest := 10
	firstDone := make(chan bool, 1)
	if c.trouble {
		f.signal(other, syscall.SIGSTOP)
		f.signal(leader, syscall.SIGSTOP)
	}
	go func() {
		taken := first.send(f.control(killed), 13, retimed)
		// Without a clear answer the order is sent again unchanged, to other nodes first.
		firstDone <- taken || first.sendUntilTaken([]string{f.control(leader), f.control(killed), f.control(other)}, 13, retimed, 8*time.Second)
	}()
	time.Sleep(40 * time.Millisecond)
	if c.trouble {
		f.kill(killed)
		f.signal(leader, syscall.SIGCONT)
		if err := f.startProcess(killed, false); err != nil {
			return nil, err
		}
	}
	err = waitFor(5*time.Second, "the killed machine is back", func() bool {
		connection, err := net.DialTimeout("tcp4", f.control(killed), 100*time.Millisecond)
		if err == nil {
			_ = connection.Close()
		}
		return err == nil
	})
	if err != nil {
		return nil, err
	}
	secondDone := make(chan bool, 1)
	go func() {
		secondDone <- second.sendUntilTaken([]string{f.control(killed), f.control(leader), f.control(other)}, 17, added, 12*time.Second)
	}()
	time.Sleep(1200 * time.Millisecond)
	if c.trouble {
		f.signal(other, syscall.SIGCONT)
	}
	if <-firstDone {
		newest = max(newest, 13)
	}
	if <-secondDone {
		newest = max(newest, 17)
	}
	c.record.add("newest acknowledged version:", newest)
	// All machines are back and calm; the reads come long after the bound.
	time.Sleep(configApplyTime + contactTime)
	for range 4 {
		for _, node := range f.controls() {
			if version, ok := first.read(node); ok && version < newest {
				broken = append(broken, fmt.Sprintf("CONFIG: version %d was acknowledged, but %s reads back version %d", newest, node, version))
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	return broken, nil
}
