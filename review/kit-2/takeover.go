package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// takeover shows what a heartbeat does that was held up by the network, whose sender has
// crashed and at whose address a new incarnation serves, when it arrives just after the
// leading core process was killed.
func takeover(s *setup) (bool, error) {
	c := s.cluster
	if err := s.configure(); err != nil {
		return false, err
	}
	shared := c.ip(100, 2)
	var others []*target
	for position, zone := range []string{"norte", "sur"} {
		t := newTarget(uint64(0xa0+position), serviceName, zone, c.ip(100, 1+2*position), c.targets, c, s.record)
		if err := t.start(); err != nil {
			return false, err
		}
		others = append(others, t)
		defer t.crash()
	}
	// The first incarnation: its first heartbeat is held up, and it crashes.
	held := make(chan []byte, 1)
	var heldPath string
	first := newTarget(0x0a01, serviceName, "centro", shared, c.targets, c, s.record)
	first.beatThrough = func(_, path string, body []byte) (int, error) {
		heldPath = path
		select {
		case held <- body:
			s.record.log("the heartbeat of %s is held up by the network", first.id)
		default:
		}
		time.Sleep(time.Second)
		return 0, errors.New("no answer within a second")
	}
	if err := first.start(); err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	first.crash()
	s.record.log("target %s crashes", first.id)
	late := <-held
	time.Sleep(500 * time.Millisecond)
	second := newTarget(0x0b02, serviceName, "centro", shared, c.targets, c, s.record)
	if err := second.start(); err != nil {
		return false, err
	}
	defer second.crash()
	if err := c.waitReady(15 * time.Second); err != nil {
		return false, err
	}
	r := newRouter(c)
	defer close(r.done)
	clients, err := newClient(c.ip(4, 1), c.datagrams, r)
	if err != nil {
		return false, err
	}
	defer func() { _ = clients.socket.Close() }()
	leader := c.leader()
	if leader < 0 {
		return false, errors.New("no member leads")
	}
	flows := openFlows(s, clients, 24, "before")
	onSecond := countOn(flows, second.id)
	if onSecond == 0 {
		return false, errors.New("no flow was opened at the second incarnation")
	}
	s.record.log("%d flows are open, %d of them at %s", len(flows), onSecond, second.id)
	drain(second.acknowledged)
	<-second.acknowledged
	receiver := (leader + 1) % len(c.members)
	if s.trouble {
		time.Sleep(50 * time.Millisecond)
		c.members[leader].kill()
		s.record.log("core-%d, which led, is killed", leader+1)
	}
	time.Sleep(100 * time.Millisecond)
	go func() {
		status, err := post(c.controls()[receiver], heldPath, late)
		s.record.log("the late heartbeat of %s reaches core-%d: %s", first.id, receiver+1, answerText(status, err))
	}()
	time.Sleep(time.Second)
	if s.trouble {
		if err := c.start(c.members[leader], false); err != nil {
			return false, err
		}
	}
	// All machines have been in touch again for more than contactMs when the clients go on.
	time.Sleep(7 * time.Second)
	status, err := http.Get("http://" + second.address.String() + "/health")
	if err != nil {
		return false, fmt.Errorf("the second incarnation does not live: %w", err)
	}
	_ = status.Body.Close()
	resets := useFlows(s, flows, second.id)
	after := openFlows(s, clients, 24, "after")
	s.record.log("of %d new flows, %d were opened at %s; its heartbeats go on", len(after), countOn(after, second.id), second.id)
	s.record.log("%d of the %d open flows at %s got a reset that it did not send", resets, onSecond, second.id)
	return resets > 0, nil
}

func drain(times chan time.Time) {
	for {
		select {
		case <-times:
		default:
			return
		}
	}
}

func countOn(flows []*flow, id string) int {
	count := 0
	for _, f := range flows {
		if f.targetID == id {
			count++
		}
	}
	return count
}

// openFlows opens flows one after the other and sends one request on each.
func openFlows(s *setup, c *client, count int, name string) []*flow {
	var list []*flow
	for number := range count {
		f, err := c.open(virtual)
		if err == nil {
			err = f.request(fmt.Sprintf("%s-%d", name, number), 2*time.Second)
		}
		if err != nil {
			s.record.log("flow %s-%d: %v", name, number, err)
			continue
		}
		s.record.quiet("flow %s-%d from %s is open at %s", name, number, f.src, f.targetID)
		list = append(list, f)
		time.Sleep(10 * time.Millisecond)
	}
	return list
}

// useFlows sends a second request on each flow and returns the number of flows at a target
// that were reset by the system.
func useFlows(s *setup, flows []*flow, id string) int {
	var mutex sync.Mutex
	var group sync.WaitGroup
	resets := 0
	for number, f := range flows {
		group.Add(1)
		go func() {
			defer group.Done()
			was := f.targetID
			err := f.request(fmt.Sprintf("again-%d", number), 2*time.Second)
			s.record.log("second request on flow %s at %s, open for %.1f s: %v", f.src, was, time.Since(f.opened).Seconds(), errorText(err))
			mutex.Lock()
			defer mutex.Unlock()
			if errors.Is(err, errSystemReset) && was == id {
				resets++
			}
		}()
	}
	group.Wait()
	return resets
}

func errorText(err error) string {
	if err != nil {
		return err.Error()
	}
	return "answered"
}
