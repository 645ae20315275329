package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"time"
)

// startDeployment starts the machines, the first configuration and the standing targets, and
// returns once the front machines are ready.
func startDeployment(c *caseContext) (*router, error) {
	f := c.fleet
	if err := f.start(5, 3); err != nil {
		return nil, err
	}
	op := operator{"one", c.record}
	if !op.sendUntilTaken(f.controls(), 10, standardRoutes, 15*time.Second) {
		return nil, fmt.Errorf("the configuration was not taken")
	}
	for number := range 6 {
		service := agenda
		if number >= 4 {
			service = documentos
		}
		t, err := newTarget(f, service, zones[number%len(zones)], f.address(100, number+1))
		if err != nil {
			return nil, err
		}
		go t.run()
	}
	r := newRouter(f)
	return r, waitFor(20*time.Second, "all front machines are ready", func() bool { return r.readyCount() == len(f.fronts) })
}

var boardRoute = netip.MustParseAddrPort("198.18.0.1:8443")

// lateHeartbeat: the first heartbeat of a crashed target, held back by a cut, arrives while a
// heartbeat of its successor at the same address is late.
func lateHeartbeat(c *caseContext) (broken []string, err error) {
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
	ip := f.address(100, 50)
	// The first start of the target at this address. Its machine is cut off while it sends its
	// first heartbeat; the cut holds back the bytes.
	first, err := newTarget(f, agenda, zones[0], ip)
	if err != nil {
		return nil, err
	}
	release := make(chan struct{})
	if c.trouble {
		go first.callHeld(f, release)
	} else {
		go first.run()
	}
	time.Sleep(2 * time.Second)
	first.crash()
	time.Sleep(addressReuse)
	c.record.add("the cut is over")
	// Its second start, with a new id.
	second, err := newTarget(f, agenda, zones[0], ip)
	if err != nil {
		return nil, err
	}
	go second.run()
	time.Sleep(2500 * time.Millisecond)
	// Long flows: opened now, with a request each 2 s.
	var flows []*clientFlow
	for attempt := 0; attempt < 400 && len(flows) < 6; attempt++ {
		flow := clients[attempt%len(clients)].open(boardRoute)
		if opened, _ := flow.state(); opened && flow.targetAddress == second.address {
			flows = append(flows, flow)
		} else if opened {
			flow.close()
		}
	}
	if len(flows) == 0 {
		return nil, fmt.Errorf("no flow was placed on the second start")
	}
	for number, flow := range flows {
		if !flow.request(fmt.Sprintf("a%d", number)) {
			return nil, fmt.Errorf("a flow to the second start is not served")
		}
	}
	// More than contactMs after the cut. One heartbeat of the second start comes 2.4 s late.
	time.Sleep(contactTime)
	switch {
	case !c.trouble:
	case os.Getenv("ONLY") == "cut":
		// All heartbeats of the second start are on time.
		time.Sleep(rand.N(heartbeatTime))
		close(release)
	case os.Getenv("ONLY") == "election":
		// All heartbeats of the second start are on time; the leader is killed instead. The
		// requests go on once all machines are in touch again.
		leader := f.leader()
		if leader == nil {
			return nil, fmt.Errorf("no leader found")
		}
		f.kill(leader)
		if err := f.startProcess(leader, false); err != nil {
			return nil, err
		}
		err := waitFor(2*time.Second, "another leader", func() bool { return f.leader() != leader })
		if err != nil {
			return nil, err
		}
		close(release)
		time.Sleep(contactTime + 500*time.Millisecond)
	default:
		second.setDelay(2400 * time.Millisecond)
		time.Sleep(heartbeatTime + 1700*time.Millisecond)
		close(release)
		time.Sleep(300 * time.Millisecond)
		second.setDelay(0)
	}
	for round := range 5 {
		time.Sleep(2 * time.Second)
		for number, flow := range flows {
			flow.request(fmt.Sprintf("b%d-%d", round, number))
		}
	}
	for _, flow := range flows {
		if opened, reset := flow.state(); opened && reset && flow.resetBySystem && !second.isStopped() {
			broken = append(broken, fmt.Sprintf("FLOW: the flow %v to %v, %.1f s old, is reset by the system while its target %s lives",
				flow.src, flow.dst, flow.resetAt.Sub(flow.openedAt).Seconds(), second.id))
		}
	}
	return broken, nil
}

func (t *target) setDelay(delay time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.delay = delay
}

// callHeld sends the first heartbeat, whose bytes are held back until release.
func (t *target) callHeld(f *fleet, release chan struct{}) {
	body := fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":2,"state":"ready","warmupLeftMs":0,"callSeq":1}`, t.service, t.address, t.zone)
	node := t.controls[0]
	if leader := f.leader(); leader == f.cores[0] {
		node = t.controls[1]
	}
	t.record.add("target", t.id, "sends heartbeat 1 to", node, "held back by the cut")
	<-release
	status, _, err := post(node, fmt.Sprintf("/-/instances/%s/heartbeat", t.id), body)
	t.record.add("the heartbeat 1 of", t.id, "arrives at", node, "status", status, "err", err)
}

func (f *clientFlow) close() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.transmit(packet{echo: f.echo, src: f.src, dst: f.dst, flags: flagFIN | flagACK, seq: f.nextSend, ack: f.nextReceive})
}
