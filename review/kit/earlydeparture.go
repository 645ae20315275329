package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// earlyDeparture: a target whose heartbeats come seconds late leaves without saying
// "draining": it deregisters before its first heartbeat has arrived.
func earlyDeparture(c *caseContext) (broken []string, err error) {
	f := c.fleet
	r, err := startDeployment(c)
	if err != nil {
		return nil, err
	}
	var clients []*client
	for number, zone := range zones {
		one, err := newClient(f, r, zone, number+1)
		if err != nil {
			return nil, err
		}
		clients = append(clients, one)
	}
	time.Sleep(contactTime)
	leaving, err := newTarget(f, agenda, zones[0], f.address(100, 50))
	if err != nil {
		return nil, err
	}
	var mutex sync.Mutex
	var acknowledgedAt time.Time
	late, opened := 0, 0
	leaving.onOpen = func(p packet, from netip.AddrPort) {
		mutex.Lock()
		defer mutex.Unlock()
		opened++
		age := time.Since(acknowledgedAt)
		if !acknowledgedAt.IsZero() && age > drainTime {
			late++
			if late <= 5 {
				broken = append(broken, fmt.Sprintf("DRAIN: %v's opening packet through %v arrives at %s %.1f s after it was acknowledged as gone", p.src, from, leaving.id, age.Seconds()))
			}
			c.record.add("target", leaving.id, "takes a SYN of", p.src, "through", from, "after", age)
		}
	}
	if c.trouble {
		leaving.delay = 3500 * time.Millisecond
	}
	go leaving.run()
	time.Sleep(2500 * time.Millisecond)
	// The platform takes the target away again.
	leaving.mutex.Lock()
	leaving.silent = true
	leaving.mutex.Unlock()
	acknowledged := leaving.deregister()
	mutex.Lock()
	acknowledgedAt = time.Now()
	mutex.Unlock()
	if !acknowledged {
		return nil, fmt.Errorf("the target's leave was not acknowledged")
	}
	c.record.add("target", leaving.id, "is acknowledged as gone and serves on")
	end := time.Now().Add(12 * time.Second)
	for number := 0; time.Now().Before(end); number++ {
		flow := clients[number%len(clients)].open(boardRoute)
		if opened, _ := flow.state(); opened {
			flow.request(fmt.Sprintf("c%d", number))
			flow.close()
		}
		time.Sleep(60 * time.Millisecond)
	}
	leaving.crash()
	mutex.Lock()
	defer mutex.Unlock()
	c.record.add("SYNs taken:", opened, "of those too late:", late)
	return broken, nil
}
