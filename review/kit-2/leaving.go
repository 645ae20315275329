package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// drainBound is the bound drainMs of the settings.
	drainBound = 3 * time.Second
	// leaveAfter is how long after its start the target is taken away, and serveOn how long it
	// serves on after its call was acknowledged.
	leaveAfter = 700 * time.Millisecond
	serveOn    = drainBound + 6*time.Second
	// lateBy is the delay of the target's first heartbeat.
	lateBy = 2500 * time.Millisecond
)

// leaving shows what a target gets that says deregister first, when its only heartbeat comes
// seconds late.
func leaving(s *setup) (bool, error) {
	c := s.cluster
	if err := s.configure(); err != nil {
		return false, err
	}
	for position, zone := range zones {
		t := newTarget(uint64(0xa0+position), serviceName, zone, c.ip(100, 1+position), c.targets, c, s.record)
		if err := t.start(); err != nil {
			return false, err
		}
		defer t.crash()
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
	time.Sleep(5 * time.Second)
	seen := &arrivals{}
	brief := newTarget(0x0d0d, serviceName, "norte", c.ip(100, 9), c.targets, c, s.record)
	brief.onSYN = seen.add
	brief.beatThrough = func(node, path string, body []byte) (int, error) { return s.lateCall(node, path, body) }
	if err := brief.start(); err != nil {
		return false, err
	}
	defer brief.crash()
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Add(1)
	go func() {
		defer group.Done()
		traffic(s, clients, done)
	}()
	time.Sleep(leaveAfter)
	brief.stopBeats()
	body, _ := json.Marshal(map[string]any{"callSeq": brief.sequence + 1})
	at := -1
	for position, node := range c.controls() {
		status, err := post(node, "/-/instances/"+brief.id+"/deregister", body)
		s.record.log("target %s says deregister to core-%d: %s", brief.id, position+1, answerText(status, err))
		if err == nil && status == http.StatusOK {
			at = position
			break
		}
	}
	acknowledged := time.Now()
	if at < 0 {
		close(done)
		group.Wait()
		return false, errors.New("no node acknowledged that the target leaves")
	}
	time.Sleep(time.Until(acknowledged.Add(serveOn)))
	brief.crash()
	s.record.log("target %s ends", brief.id)
	close(done)
	group.Wait()
	late := seen.after(s.record, clients, acknowledged.Add(drainBound), acknowledged)
	s.record.log("%d opening packets reached %s more than %v after it was acknowledged to be gone", late, brief.id, drainBound)
	return late > 0, nil
}

// lateCall carries a heartbeat; with the disruption it arrives lateBy after it was sent, and
// its sender does not wait for it.
func (s *setup) lateCall(node, path string, body []byte) (int, error) {
	if !s.trouble {
		status, err := post(node, path, body)
		s.record.log("POST %s to %s: %s", path, node, answerText(status, err))
		return status, err
	}
	s.record.log("POST %s to %s is on its way", path, node)
	go func() {
		time.Sleep(lateBy)
		status, err := post(node, path, body)
		s.record.log("POST %s reaches %s %v late: %s", path, node, lateBy, answerText(status, err))
	}()
	time.Sleep(time.Second)
	return 0, fmt.Errorf("no answer within a second")
}

// stopBeats ends the heartbeats of a target that serves on.
func (t *target) stopBeats() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.silent = true
}
