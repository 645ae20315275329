package standin

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/beamdoor/beamdoor/internal/lab/flowrules"
	"github.com/beamdoor/beamdoor/internal/lab/soak"
)

// defects are faults injected outside the product, one for each rule. A run with one must
// report a breach of its rule.
var defects = map[flowrules.Rule]func(s *Soak) error{
	flowrules.Route:   (*Soak).injectWrongService,
	flowrules.Drain:   (*Soak).injectUnacknowledgedDrain,
	flowrules.Flow:    (*Soak).injectAddressTakeover,
	flowrules.Mixed:   (*Soak).injectWrongResponseIDs,
	flowrules.Unasked: (*Soak).injectRepeatedRequest,
	flowrules.Config:  (*Soak).injectUnsentRoute,
	flowrules.Lost:    (*Soak).injectUnsentVersion,

	flowrules.Evacuated: (*Soak).injectUnsentEvacuation,
	flowrules.Ejected:   (*Soak).injectUnloggedEjection,
	flowrules.Silent:    (*Soak).injectSilentConnection,
	flowrules.Recover:   (*Soak).injectDeadEdges,
}

// defectDelay is how long the load runs before a defect is injected.
const defectDelay = 2 * time.Second

// InjectDefect injects the defect that breaks a rule.
func (s *Soak) InjectDefect(rule flowrules.Rule) error {
	inject, known := defects[rule]
	if !known {
		return fmt.Errorf("--plant: %q: unknown rule", rule)
	}
	time.Sleep(defectDelay)
	return inject(s)
}

// injectWrongService makes a target register for another service.
func (s *Soak) injectWrongService() error {
	t := s.anyTarget(documentService, 0)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.claimedService = boardService
	return s.moveToNewIdentity(t)
}

// moveToNewIdentity makes members treat the target as a new incarnation.
func (s *Soak) moveToNewIdentity(t *target) error {
	t.number++
	t.id = fmt.Sprintf("i-%010x", t.number)
	return nil
}

// injectUnacknowledgedDrain marks a target as drained although no member was told.
func (s *Soak) injectUnacknowledgedDrain() error {
	t := s.anyTarget(documentService, 0)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.drained = time.Now()
	return nil
}

// flowsWait bounds the wait for a target with open flows.
const flowsWait = 10 * time.Second

// targetWithFlows returns the target of a service with the most open flows. A reset is
// only visible to callers with an open flow.
func (s *Soak) targetWithFlows(service string) (*target, error) {
	for end := time.Now().Add(flowsWait); time.Now().Before(end); time.Sleep(heartbeatInterval / 4) {
		busiest, flows := (*target)(nil), 0
		for _, t := range s.usableTargets(service) {
			if open := t.openFlows(); open > flows {
				busiest, flows = t, open
			}
		}
		if busiest != nil {
			return busiest, nil
		}
	}
	return nil, fmt.Errorf("no target of %s holds an open flow after %v", service, flowsWait)
}

// injectAddressTakeover registers another incarnation at the address of a target with open
// flows. Members keep an address as long as heartbeats arrive, so these stop first.
func (s *Soak) injectAddressTakeover() error {
	t, err := s.targetWithFlows(boardService)
	if err != nil {
		return err
	}
	t.mutex.Lock()
	body := t.heartbeat()
	t.heartbeatsStopped = true
	t.mutex.Unlock()
	for !t.post("/-/instances/i-ffffffffff/heartbeat", body) {
		time.Sleep(heartbeatInterval)
	}
	return nil
}

// injectWrongResponseIDs makes a target respond with the ID of another request.
func (s *Soak) injectWrongResponseIDs() error {
	t := s.anyTarget(boardService, 0)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.sendWrongIDs = true
	return nil
}

// injectRepeatedRequest sends a non-repeatable request twice.
func (s *Soak) injectRepeatedRequest() error {
	req := request{id: s.fleet.monitor.Ask(true), unsafe: true, responseSize: 10}
	for range 2 {
		flow, err := s.prober.open(bookingAddress)
		if err != nil {
			return err
		}
		if err := flow.roundTrip(req); err != nil {
			return err
		}
		flow.close()
	}
	return nil
}

// injectUnsentRoute makes the prober expect a route that was never submitted.
func (s *Soak) injectUnsentRoute() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fakeProbe = probe{version: 1 << 40, virtual: probeAddress(1 << 40), acknowledgedAt: time.Now()}
	return nil
}

// injectUnsentVersion makes the final check expect a version that was never submitted.
func (s *Soak) injectUnsentVersion() error {
	s.fleet.mutex.Lock()
	defer s.fleet.mutex.Unlock()
	s.claimLostVersion = true
	return nil
}

// injectUnsentEvacuation marks all zones as evacuated without telling the members.
func (s *Soak) injectUnsentEvacuation() error {
	for _, zone := range zones {
		s.fleet.monitor.setEvacuated(zone, true)
	}
	return nil
}

// injectDeadEdges kills all edges at the end of the run.
func (s *Soak) injectDeadEdges() error {
	s.killAtEnd = true
	return nil
}

// injectedHold is shorter than a run, which waits at its end for readmission.
const injectedHold = 6 * time.Second

// injectUnloggedEjection makes the monitor believe that a target was ejected.
func (s *Soak) injectUnloggedEjection() error {
	logs := s.fleet.monitor.logs
	// Lock order: a target holds its lock when it locks the logs.
	t := s.anyTarget(documentService, 0)
	logs.mutex.Lock()
	defer logs.mutex.Unlock()
	logs.ejected[t.id] = ejection{since: time.Now(), until: time.Now().Add(injectedHold)}
	return nil
}

// injectSilentConnection opens a connection to a member that is never closed when silent.
func (s *Soak) injectSilentConnection() error {
	member := s.fleet.memberNames[0]
	connection, err := net.Dial("tcp4", net.JoinHostPort(s.fleet.node(member).ip, strconv.Itoa(innerPort)))
	if err != nil {
		return err
	}
	go func() {
		<-s.fleet.done
		_ = connection.Close()
	}()
	// The proxy only silences connections that it has accepted.
	for !s.fleet.proxies[member].Holds(connection.LocalAddr()) {
		time.Sleep(stallInterval)
	}
	return s.silenceConnections(soak.Fault{})
}
