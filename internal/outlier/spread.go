package outlier

import "github.com/beamdoor/beamdoor/internal/kernel"

// spreadLifetime is how long a reported failure distribution stays valid.
const spreadLifetime = WindowTime

// memberSpread is the latest distribution of a target's failures over a member's nodes.
type memberSpread struct {
	nodes, failures, topFailures uint32
	// topNode is the key of the node that saw the most failures.
	topNode    uint32
	receivedAt kernel.Instant
}

// failureSpread aggregates the distribution of failures over nodes for some targets.
type failureSpread struct {
	nodes, failures, reports uint32
	// byTopNode holds, for each node that saw the most failures in some report, the sum of
	// those failures.
	byTopNode map[uint32]uint32
}

func newFailureSpread() *failureSpread { return &failureSpread{byTopNode: map[uint32]uint32{}} }

// add adds the members' reports on a target and deletes expired ones.
func (s *failureSpread) add(now kernel.Instant, rec *targetRecord) {
	for from, report := range rec.spreads {
		if now.Sub(report.receivedAt) >= spreadLifetime {
			delete(rec.spreads, from)
			continue
		}
		s.reports++
		s.nodes += report.nodes
		s.failures += report.failures
		s.byTopNode[report.topNode] += report.topFailures
	}
}

// independentFailures returns the number of failures that count as evidence and the number
// of nodes that saw failures. The failures of the node that saw the most count as one,
// since a single node may have a local or network fault. A node that saw the most in
// several reports, such as one that changed members, is counted once.
func (s *failureSpread) independentFailures() (failures, nodes uint32) {
	var topFailures uint32
	for _, count := range s.byTopNode {
		topFailures = max(topFailures, count)
	}
	nodes = s.nodes - min(s.nodes, s.reports-uint32(len(s.byTopNode)))
	if nodes < 2 || topFailures >= s.failures {
		return 0, nodes
	}
	return s.failures - topFailures + 1, nodes
}

// discount scales a number of failures by the fraction of recent failures that are
// independent.
func (s *failureSpread) discount(failures uint32) uint32 {
	independent, _ := s.independentFailures()
	if s.failures == 0 {
		return failures
	}
	return uint32(uint64(failures) * uint64(independent) / uint64(s.failures))
}
