package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// evacuateBound and contactBound are the bounds evacuateMs and contactMs of the settings.
	evacuateBound = 5 * time.Second
	contactBound  = 5 * time.Second
	// slack is added to the bounds before the case counts.
	slack = 500 * time.Millisecond
	// freezeTime is how long the core machine stands still.
	freezeTime = 7 * time.Second
	// orderAfter is how long after the beginning of the freeze the operator ends the
	// evacuation, and againAfter how long after that was acknowledged it starts another one.
	orderAfter = 1600 * time.Millisecond
	againAfter = 2 * time.Second
	// watchTime is how long opening packets are counted in each round.
	watchTime = 3 * time.Second
	// rounds is how often the same is done, unless the rule was broken before.
	rounds = 5
	// targetsPerZone is the number of targets of each zone.
	targetsPerZone = 6
	evacuatedZone  = "norte"
)

// taken is an opening packet that a target of the evacuated zone took.
type taken struct {
	at     time.Time
	target string
	edge   string
	port   uint16
}

// arrivals holds the opening packets that targets of the evacuated zone took.
type arrivals struct {
	mutex sync.Mutex
	list  []taken
}

func (a *arrivals) add(t *target, p packet) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.list = append(a.list, taken{at: time.Now(), target: t.id, edge: p.from.Addr().String(), port: p.src.Port()})
}

// evacuation shows what becomes of an order to end an evacuation that a frozen core machine
// takes only after it has woken up, when the zone was evacuated again meanwhile.
func evacuation(s *setup) (bool, error) {
	c := s.cluster
	if err := s.configure(); err != nil {
		return false, err
	}
	seen := &arrivals{}
	number := uint64(0xc0)
	for position, zone := range zones {
		for copies := range targetsPerZone {
			t := newTarget(number, serviceName, zone, c.ip(100, 1+targetsPerZone*position+copies), c.targets, c, s.record)
			number++
			if zone == evacuatedZone {
				t.onSYN = seen.add
			}
			if err := t.start(); err != nil {
				return false, err
			}
			defer t.crash()
		}
	}
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
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Add(1)
	go func() {
		defer group.Done()
		traffic(s, clients, done)
	}()
	defer func() {
		close(done)
		group.Wait()
	}()
	time.Sleep(contactBound + slack)
	for round := range rounds {
		late, err := evacuationRound(s, clients, seen, round)
		if late > 0 || err != nil {
			return late > 0, err
		}
	}
	return false, nil
}

// evacuationRound evacuates the zone, ends that and evacuates it again, and returns the number
// of opening packets that break the rule EVAC after that.
func evacuationRound(s *setup, clients *client, seen *arrivals, round int) (int, error) {
	c := s.cluster
	leader := c.leader()
	if leader < 0 {
		return 0, errors.New("no member leads")
	}
	frozen, other := (leader+1+round%2)%len(c.members), (leader+2-round%2)%len(c.members)
	op := &operator{controls: c.controls(), record: s.record}
	start, finish := "/-/evacuations/"+evacuatedZone+"/start", "/-/evacuations/"+evacuatedZone+"/finish"
	s.record.log("round %d", round+1)
	if _, err := op.send(start, nil, other); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	frozenAt := time.Now()
	if s.trouble {
		c.members[frozen].signal(syscall.SIGSTOP)
		s.record.log("core-%d freezes", frozen+1)
	}
	time.Sleep(orderAfter)
	if _, err := op.send(finish, nil, frozen); err != nil {
		return 0, err
	}
	time.Sleep(againAfter)
	if _, err := op.send(start, nil, other); err != nil {
		return 0, err
	}
	acknowledged := time.Now()
	s.record.log("the second evacuation of %s is acknowledged", evacuatedZone)
	time.Sleep(time.Until(frozenAt.Add(freezeTime)))
	if s.trouble {
		c.members[frozen].signal(syscall.SIGCONT)
		s.record.log("core-%d wakes up", frozen+1)
	}
	from := time.Now().Add(contactBound + slack)
	if bound := acknowledged.Add(evacuateBound + slack); bound.After(from) {
		from = bound
	}
	time.Sleep(time.Until(from.Add(watchTime)))
	late := seen.after(s.record, clients, from, acknowledged)
	s.record.log("%d opening packets reached targets in %s more than %v after its evacuation was acknowledged, while it was not taken back", late, evacuatedZone, evacuateBound)
	if late > 0 {
		return late, nil
	}
	_, err := op.send(finish, nil, other)
	time.Sleep(time.Second)
	return 0, err
}

// after returns the number of opening packets that were sent and taken after an instant.
func (a *arrivals) after(rec *record, clients *client, from, acknowledged time.Time) int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	late := 0
	for _, seen := range a.list {
		if seen.at.Before(from) || clients.opening(seen.port).Before(from) {
			continue
		}
		late++
		rec.quiet("an opening packet of port %d reached %s in %s from %s, %.1f s after the acknowledgement", seen.port, seen.target, evacuatedZone, seen.edge, seen.at.Sub(acknowledged).Seconds())
	}
	return late
}

// traffic opens a flow for each request, about 40 a second.
func traffic(s *setup, c *client, done chan struct{}) {
	var group sync.WaitGroup
	for number := 0; ; number++ {
		select {
		case <-done:
			group.Wait()
			return
		case <-time.After(25 * time.Millisecond):
		}
		group.Add(1)
		go func() {
			defer group.Done()
			f, err := c.open(virtual)
			if err == nil {
				err = f.request(fmt.Sprintf("flow-%d", number), 2*time.Second)
			}
			if err != nil {
				s.record.quiet("request flow-%d: %v", number, err)
				return
			}
			s.record.quiet("request flow-%d was answered by %s", number, f.targetID)
			f.close()
		}()
	}
}
