package standin

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/beamdoor/beamdoor/internal/lab/flowrules"
	"github.com/beamdoor/beamdoor/internal/lab/soak"
)

// plants are defects around the product, one for each rule: a run with one of
// them must end with a breach of that rule.
var plants = map[flowrules.Rule]func(s *Soak) error{
	flowrules.Route:   (*Soak).plantWrongService,
	flowrules.Drain:   (*Soak).plantUnsaidDrain,
	flowrules.Flow:    (*Soak).plantTakenAddress,
	flowrules.Mixed:   (*Soak).plantMixedAnswers,
	flowrules.Unasked: (*Soak).plantRepeatedRequest,
	flowrules.Config:  (*Soak).plantUnsentRoute,
	flowrules.Lost:    (*Soak).plantUnsentVersion,

	flowrules.Evacuated: (*Soak).plantUnsentOrder,
	flowrules.Ejected:   (*Soak).plantUnsaidEjection,
	flowrules.Silent:    (*Soak).plantSilentConnection,
	flowrules.Recover:   (*Soak).plantDeadEdges,
}

// plantAfter is how long the load runs before a defect is planted.
const plantAfter = 2 * time.Second

// InjectDefect puts a defect in place that breaks a rule.
func (s *Soak) InjectDefect(rule flowrules.Rule) error {
	plant, known := plants[rule]
	if !known {
		return fmt.Errorf("--plant: %q is no rule", rule)
	}
	time.Sleep(plantAfter)
	return plant(s)
}

// plantWrongService lets a target of one service say that it is of another.
func (s *Soak) plantWrongService() error {
	t := s.anyTarget(documentService, 0)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.claims = boardService
	return s.moveToNewIdentity(t)
}

// moveToNewIdentity makes members take the target for another incarnation.
func (s *Soak) moveToNewIdentity(t *target) error {
	t.number++
	t.id = fmt.Sprintf("i-%010x", t.number)
	return nil
}

// plantUnsaidDrain lets a target believe that its drain was acknowledged.
func (s *Soak) plantUnsaidDrain() error {
	t := s.anyTarget(documentService, 0)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.drained = time.Now()
	return nil
}

// flowsWait bounds the wait for a target that holds open flows.
const flowsWait = 10 * time.Second

// targetWithFlows returns the target of a service that holds the most open flows.
// Only callers with an open flow can see that it is reset.
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

// plantTakenAddress registers another incarnation at the address of a target that
// lives and holds flows. The address of one that is heard is not given away: the target
// falls silent before.
func (s *Soak) plantTakenAddress() error {
	t, err := s.targetWithFlows(boardService)
	if err != nil {
		return err
	}
	t.mutex.Lock()
	body := t.heartbeat()
	t.unheard = true
	t.mutex.Unlock()
	for !t.post("/-/instances/i-ffffffffff/heartbeat", body) {
		time.Sleep(heartbeatInterval)
	}
	return nil
}

// plantMixedAnswers lets a target answer another request.
func (s *Soak) plantMixedAnswers() error {
	t := s.anyTarget(boardService, 0)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.mixes = true
	return nil
}

// plantRepeatedRequest sends a request twice that may not be repeated.
func (s *Soak) plantRepeatedRequest() error {
	asked := request{id: s.fleet.watch.Ask(true), unsafe: true, answer: 10}
	for range 2 {
		flow, err := s.prober.open(bookingAddress)
		if err != nil {
			return err
		}
		if err := flow.do(asked); err != nil {
			return err
		}
		flow.close()
	}
	return nil
}

// plantUnsentRoute lets the prober believe in a route that was never sent.
func (s *Soak) plantUnsentRoute() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unsent = probe{version: 1 << 40, virtual: probeAddress(1 << 40), acknowledgedAt: time.Now()}
	return nil
}

// plantUnsentVersion lets the operator believe in a version that was never sent.
func (s *Soak) plantUnsentVersion() error {
	s.fleet.mutex.Lock()
	defer s.fleet.mutex.Unlock()
	s.lostVersion = true
	return nil
}

// plantUnsentOrder lets the operator believe that a zone was evacuated.
func (s *Soak) plantUnsentOrder() error {
	for _, zone := range zones {
		s.fleet.watch.setEvacuated(zone, true)
	}
	return nil
}

// plantDeadEdges lets all edges die at the end.
func (s *Soak) plantDeadEdges() error {
	s.killAtEnd = true
	return nil
}

// plantedHold is shorter than a run with a planted defect, whose end waits for the
// readmission.
const plantedHold = 6 * time.Second

// plantUnsaidEjection lets the watch believe that a target was ejected.
func (s *Soak) plantUnsaidEjection() error {
	logs := s.fleet.watch.logs
	// A target that takes a packet asks the logs: they must not be locked while targets
	// are.
	t := s.anyTarget(documentService, 0)
	logs.mutex.Lock()
	defer logs.mutex.Unlock()
	logs.left[t.id] = leftOut{at: time.Now(), until: time.Now().Add(plantedHold)}
	return nil
}

// plantSilentConnection opens a connection to a member that nobody gives up.
func (s *Soak) plantSilentConnection() error {
	member := s.fleet.memberNames[0]
	connection, err := net.Dial("tcp4", net.JoinHostPort(s.fleet.node(member).ip, strconv.Itoa(innerPort)))
	if err != nil {
		return err
	}
	go func() {
		<-s.fleet.done
		_ = connection.Close()
	}()
	// A connection that the proxy has not taken yet would not be silenced.
	for !s.fleet.proxies[member].Holds(connection.LocalAddr()) {
		time.Sleep(stallTick)
	}
	return s.silenceConnections(soak.Fault{})
}
