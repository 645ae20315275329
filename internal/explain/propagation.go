package explain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/beamdoor/beamdoor/internal/eventlog"
)

const (
	keyRevision = "revision"
	keyState    = "state"
)

// highPercentile is the percentile that Propagation.P99 reports.
const highPercentile = 0.99

// Propagation holds the delays of changes of one kind from the first control member that
// applied them to the nodes. Nodes that started after a change are not counted.
type Propagation struct {
	// Kind is a configuration version or a target state.
	Kind    string `json:"kind"`
	Changes int    `json:"changes"`
	// Nodes is the number of nodes reached by the last change that reached any.
	Nodes int `json:"nodes"`
	// First, Median, P99 and Last are the delays to the first node, to 50 % and 99 % of
	// the nodes, and to the last node, each the maximum over the changes.
	First  time.Duration `json:"firstNanoseconds"`
	Median time.Duration `json:"halfNanoseconds"`
	P99    time.Duration `json:"mostNanoseconds"`
	Last   time.Duration `json:"lastNanoseconds"`
}

// change is a directory change with the time at which the first member logged it.
type change struct {
	kind     string
	revision uint64
	at       time.Time
}

// appliedUpdate is a revision and the time at which a node applied it.
type appliedUpdate struct {
	revision uint64
	at       time.Time
}

// Propagations returns the propagation of each version, in log order, and then of each
// target state. Clock skew between machines adds to the delays.
func Propagations(lines []Line) []Propagation {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	updates := updatesByNode(lines)
	var propagations []Propagation
	indexes := map[string]int{}
	for _, c := range firstChanges(lines) {
		index, known := indexes[c.kind]
		if !known {
			index = len(propagations)
			indexes[c.kind] = index
			propagations = append(propagations, Propagation{Kind: c.kind})
		}
		propagations[index].add(delays(updates, c))
	}
	return propagations
}

// updatesByNode returns the updates that each node applied, ordered by time.
func updatesByNode(lines []Line) map[string][]appliedUpdate {
	nodes := map[string][]appliedUpdate{}
	for _, line := range lines {
		if line.Event != eventNumber(eventlog.DirectoryUpdated) {
			continue
		}
		if revision, err := strconv.ParseUint(line.Value(keyRevision), 10, 64); err == nil {
			nodes[line.Process] = append(nodes[line.Process], appliedUpdate{revision: revision, at: line.Time})
		}
	}
	return nodes
}

// firstChanges returns the first occurrence of each change, versions before target states.
func firstChanges(lines []Line) []change {
	var versions, stages []change
	seen := map[string]bool{}
	for _, line := range lines {
		revision, err := strconv.ParseUint(line.Value(keyRevision), 10, 64)
		if err != nil {
			continue
		}
		switch line.Event {
		case eventNumber(eventlog.VersionInForce):
			if kind := "version " + line.Value(keyVersion); !seen[kind] {
				seen[kind] = true
				versions = append(versions, change{kind: kind, revision: revision, at: line.Time})
			}
		case eventNumber(eventlog.TargetStage):
			kind := "target " + line.Value(keyState)
			if key := kind + line.Value(keyToken); !seen[key] {
				seen[key] = true
				stages = append(stages, change{kind: kind, revision: revision, at: line.Time})
			}
		}
	}
	slices.SortStableFunc(stages, func(a, b change) int { return cmp.Compare(a.kind, b.kind) })
	return append(versions, stages...)
}

// delays returns the sorted delays of a change to the nodes that had applied an older
// revision before it.
func delays(updatesOf map[string][]appliedUpdate, c change) []time.Duration {
	var list []time.Duration
	for _, updates := range updatesOf {
		first := slices.IndexFunc(updates, func(a appliedUpdate) bool { return a.revision >= c.revision })
		if first > 0 && updates[0].at.Before(c.at) {
			list = append(list, max(0, updates[first].at.Sub(c.at)))
		}
	}
	slices.Sort(list)
	return list
}

func (p *Propagation) add(delays []time.Duration) {
	p.Changes++
	if len(delays) == 0 {
		return
	}
	percentile := func(share float64) time.Duration { return delays[min(int(share*float64(len(delays))), len(delays)-1)] }
	p.Nodes = len(delays)
	p.First = max(p.First, delays[0])
	p.Median = max(p.Median, percentile(0.5))
	p.P99 = max(p.P99, percentile(highPercentile))
	p.Last = max(p.Last, delays[len(delays)-1])
}

// PrintPropagations writes propagations as a table.
func PrintPropagations(writer io.Writer, propagations []Propagation) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "change\tnumber\tnodes\tfirst\thalf\t99 of 100\tlast")
	for _, p := range propagations {
		fmt.Fprintf(table, "%s\t%d\t%d\t%v\t%v\t%v\t%v\n", p.Kind, p.Changes, p.Nodes, p.First, p.Median, p.P99, p.Last)
	}
	return table.Flush()
}
