package standin

import (
	"time"

	"github.com/beamdoor/beamdoor/internal/lab/flowrules"
	"github.com/beamdoor/beamdoor/internal/lab/soak"
)

const (
	// minFailureTime is added to the duration of a target fault; detection takes at least half a
	// second.
	minFailureTime = 2 * time.Second
	// readmissionBound is how soon after its hold a healthy target must be readmitted: the limit
	// of a probation, plus three seconds for a change of leader.
	readmissionBound = 18 * time.Second
)

// failTarget returns a fault that makes a target fail requests while its heartbeats report it
// ready. Only boards have enough targets, since at most a third of a service is ejected.
func (s *Soak) failTarget(how failure) func(soak.Fault) error {
	return func(fault soak.Fault) error {
		t := s.anyTarget(boardService, fault.Pick)
		defer s.fleet.monitor.beginFault(t.id)()
		t.setFailure(how)
		time.Sleep(minFailureTime + fault.For)
		t.setFailure(failureNone)
		return nil
	}
}

// checkReadmission waits until every running target has been readmitted.
func (s *Soak) checkReadmission() {
	logs := s.fleet.monitor.logs
	for _, service := range []string{boardService, documentService} {
		for _, t := range s.usableTargets(service) {
			for logs.isEjected(t.id) && time.Now().Before(logs.holdEnd(t.id).Add(readmissionBound)) {
				time.Sleep(logPollInterval)
			}
			if logs.isEjected(t.id) && t.running() {
				s.fleet.monitor.Broke(flowrules.Ejected, "%s is healthy but still ejected %v after its hold", t.id, readmissionBound)
			}
		}
	}
}
