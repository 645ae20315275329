package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// heldFlows is how many flows a target of this case holds (maxConns in the configuration).
	heldFlows = 40
	// flowsEach is the number of long flows on each of the two targets before the crash.
	flowsEach = 26
)

// fullTarget: one of two targets of a service crashes. Its clients come back to the other one,
// which is then full and, as the pages say, silent to opening packets, while its open flows rest.
func fullTarget(c *caseContext) (broken []string, err error) {
	f := c.fleet
	maxConns = heldFlows
	if err := f.start(5, 3); err != nil {
		return nil, err
	}
	op := operator{"one", c.record}
	if !op.sendUntilTaken(f.controls(), 10, standardRoutes, 15*time.Second) {
		return nil, fmt.Errorf("the configuration was not taken")
	}
	var targets []*target
	for number := range 2 {
		t, err := newTarget(f, agenda, zones[0], f.address(100, number+1))
		if err != nil {
			return nil, err
		}
		t.maxFlows = heldFlows
		targets = append(targets, t)
		go t.run()
	}
	for number := range 4 {
		t, err := newTarget(f, documentos, zones[number%len(zones)], f.address(100, 10+number))
		if err != nil {
			return nil, err
		}
		go t.run()
	}
	r := newRouter(f)
	if err := waitFor(20*time.Second, "all front machines are ready", func() bool { return r.readyCount() == len(f.fronts) }); err != nil {
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
	crashing, living := targets[0], targets[1]
	onLiving, onCrashing, err := openLongFlows(clients, living, crashing)
	if err != nil {
		return nil, err
	}
	if c.trouble {
		crashing.crash()
	}
	// The clients of the living target send a request on each flow and rest for minRest to maxRest.
	stop := make(chan struct{})
	for number, flow := range onLiving {
		go flow.requestNowAndThen(fmt.Sprintf("l%d", number), stop)
	}
	// The clients of the crashed target send their next request, and open another flow when it
	// fails.
	var group sync.WaitGroup
	var mutex sync.Mutex
	for number, flow := range onCrashing {
		group.Add(1)
		go func() {
			defer group.Done()
			for try := 0; try < 3 && !flow.request(fmt.Sprintf("b%d-%d", number, try)); try++ {
				flow = flow.client.open(boardRoute)
			}
			mutex.Lock()
			defer mutex.Unlock()
			if opened, _ := flow.state(); opened && flow.targetAddress == living.address {
				onLiving = append(onLiving, flow)
			}
		}()
	}
	group.Wait()
	time.Sleep(2 * time.Second)
	close(stop)
	for _, flow := range onLiving {
		if _, reset := flow.state(); reset && flow.resetBySystem {
			broken = append(broken, fmt.Sprintf("FLOW: the flow %v to %v, %.1f s old, is reset by the system while its target %s lives, undisturbed",
				flow.src, flow.dst, flow.resetAt.Sub(flow.openedAt).Seconds(), living.id))
		}
	}
	c.record.add("flows at the living target", living.id, len(onLiving), "of them reset by the system", len(broken))
	return broken[:min(len(broken), 6)], nil
}

// minRest and maxRest bound the pause between two requests on a flow to the living target;
// both are shorter than idleTimeoutMs.
const (
	minRest = 9 * time.Second
	maxRest = 14 * time.Second
)

// requestNowAndThen sends requests with pauses until the flow is reset.
func (f *clientFlow) requestNowAndThen(name string, stop chan struct{}) {
	pause := minRest + rand.N(maxRest-minRest)
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		if !f.request(fmt.Sprintf("%s-%d", name, number)) {
			return
		}
		pause = minRest + rand.N(maxRest-minRest)
	}
}

// openLongFlows opens flowsEach flows on each target and sends a request on each.
func openLongFlows(clients []*client, living, crashing *target) (onLiving, onCrashing []*clientFlow, err error) {
	for attempt := 0; attempt < 600 && len(onLiving)+len(onCrashing) < 2*flowsEach; attempt++ {
		flow := clients[attempt%len(clients)].open(boardRoute)
		opened, _ := flow.state()
		switch {
		case !opened:
			return nil, nil, fmt.Errorf("a flow did not open")
		case !flow.request(fmt.Sprintf("a%d", attempt)):
			return nil, nil, fmt.Errorf("a flow is not served")
		case flow.targetAddress == living.address && len(onLiving) < flowsEach:
			onLiving = append(onLiving, flow)
		case flow.targetAddress == crashing.address && len(onCrashing) < flowsEach:
			onCrashing = append(onCrashing, flow)
		default:
			flow.close()
		}
	}
	return onLiving, onCrashing, nil
}
