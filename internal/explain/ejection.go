package explain

import (
	"slices"
	"strconv"
	"time"

	"github.com/beamdoor/beamdoor/internal/eventlog"
)

// Keys of the fields in placement and ejection events.
const (
	keyEjected = "ejected"
	keyService = "service"
	keyReason  = "reason"
	keyCause   = "cause"
)

// ejectionLookback is how long before a flow's placement an ejection can still affect it:
// the longest hold plus the longest probation.
const ejectionLookback = 75 * time.Second

var ejectionEvents = []string{
	eventNumber(eventlog.TargetEjected), eventNumber(eventlog.TargetOnProbation), eventNumber(eventlog.TargetReadmitted),
	eventNumber(eventlog.VersionHeld), eventNumber(eventlog.VersionOnTrial), eventNumber(eventlog.VersionReadmitted),
}

// ejectionScope selects the ejection events that are relevant to a flow.
type ejectionScope struct {
	// active is set if a placement of the flow skipped ejected targets.
	active bool
	// services are the services of the flow's targets; empty if the logs do not name them.
	services    map[string]bool
	first, last time.Time
}

// ejectionScopeOf returns the scope for the flow of a caller.
func ejectionScopeOf(lines []Line, caller string, targets map[string]bool) ejectionScope {
	scope := ejectionScope{services: map[string]bool{}}
	for _, line := range lines {
		if service := line.Value(keyService); service != "" && targets[line.Value(keyTarget)] {
			scope.services[service] = true
		}
		count, err := strconv.Atoi(line.Value(keyEjected))
		if line.Value(keyCaller) != caller || err != nil || count == 0 {
			continue
		}
		if !scope.active {
			scope.first = line.Time
		}
		scope.active = true
		scope.last = line.Time
	}
	return scope
}

// includes reports whether a line is an ejection event within the scope.
func (s ejectionScope) includes(line Line) bool {
	if !s.active || !slices.Contains(ejectionEvents, line.Event) {
		return false
	}
	if len(s.services) > 0 && !s.services[line.Value(keyService)] {
		return false
	}
	return line.Time.After(s.first.Add(-ejectionLookback)) && line.Time.Before(s.last.Add(contextWindow))
}

// annotation returns the reason to print beside the message of a line, or "".
func annotation(line Line) string {
	switch line.Event {
	case eventNumber(eventlog.TargetEjected):
		return " (skipped: " + line.Value(keyReason) + ")"
	case eventNumber(eventlog.VersionHeld):
		return " (version " + line.Value(keyVersion) + " skipped: " + line.Value(keyCause) + ")"
	}
	return ""
}
