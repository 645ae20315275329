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

// mostShare is the share of the nodes by which a change has reached most of them.
const mostShare = 0.99

// Propagation tells how long changes of one kind took from the first member that had them to
// the nodes. Nodes that started later do not count.
type Propagation struct {
	// Kind is a version, or the stage that targets came to.
	Kind    string `json:"kind"`
	Changes int    `json:"changes"`
	// Nodes is the number of nodes that the last change reached.
	Nodes int `json:"nodes"`
	// First, Median, P99 and Last are the longest times of these changes until the first
	// node, half of them, 99 of 100 and the last one had it.
	First  time.Duration `json:"firstNanoseconds"`
	Median time.Duration `json:"halfNanoseconds"`
	P99    time.Duration `json:"mostNanoseconds"`
	Last   time.Duration `json:"lastNanoseconds"`
}

// change is a change of the directory, when the first member had it.
type change struct {
	kind     string
	revision uint64
	at       time.Time
}

// applied is a revision that a node put in force at a time.
type applied struct {
	revision uint64
	at       time.Time
}

// Propagations returns the spread of each version, in their order, and then that of each stage
// of targets. Clocks of machines may differ; the times do by as much.
func Propagations(lines []Line) []Propagation {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	nodes := appliedBy(lines)
	var spreads []Propagation
	numbers := map[string]int{}
	for _, c := range changesIn(lines) {
		number, known := numbers[c.kind]
		if !known {
			number = len(spreads)
			numbers[c.kind] = number
			spreads = append(spreads, Propagation{Kind: c.kind})
		}
		spreads[number].add(delays(nodes, c))
	}
	return spreads
}

// appliedBy returns what each node put in force, in the order of time.
func appliedBy(lines []Line) map[string][]applied {
	nodes := map[string][]applied{}
	for _, line := range lines {
		if line.Event != eventNumber(eventlog.DirectoryUpdated) {
			continue
		}
		if revision, err := strconv.ParseUint(line.Value(keyRevision), 10, 64); err == nil {
			nodes[line.Process] = append(nodes[line.Process], applied{revision: revision, at: line.Time})
		}
	}
	return nodes
}

// changesIn returns the changes that members wrote, each once: versions first.
func changesIn(lines []Line) []change {
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

// delays returns how long a change took to each node that had an older revision when it
// was made, in order.
func delays(nodes map[string][]applied, c change) []time.Duration {
	var list []time.Duration
	for _, updates := range nodes {
		first := slices.IndexFunc(updates, func(a applied) bool { return a.revision >= c.revision })
		if first > 0 && updates[0].at.Before(c.at) {
			list = append(list, max(0, updates[first].at.Sub(c.at)))
		}
	}
	slices.Sort(list)
	return list
}

func (s *Propagation) add(delays []time.Duration) {
	s.Changes++
	if len(delays) == 0 {
		return
	}
	at := func(share float64) time.Duration { return delays[min(int(share*float64(len(delays))), len(delays)-1)] }
	s.Nodes = len(delays)
	s.First = max(s.First, delays[0])
	s.Median = max(s.Median, at(0.5))
	s.P99 = max(s.P99, at(mostShare))
	s.Last = max(s.Last, delays[len(delays)-1])
}

// PrintPropagations writes spreads as a table.
func PrintPropagations(writer io.Writer, spreads []Propagation) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "change\tnumber\tnodes\tfirst\thalf\t99 of 100\tlast")
	for _, s := range spreads {
		fmt.Fprintf(table, "%s\t%d\t%d\t%v\t%v\t%v\t%v\n", s.Kind, s.Changes, s.Nodes, s.First, s.Median, s.P99, s.Last)
	}
	return table.Flush()
}
