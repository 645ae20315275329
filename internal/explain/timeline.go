package explain

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/beamdoor/beamdoor/internal/eventlog"
)

// Query selects what a timeline is about. Exactly one of the fields is set.
type Query struct {
	// Caller is the client address of a flow as IP:PORT.
	Caller string
	// Target is the name of a target.
	Target string
	// Version is a configuration version.
	Version string
}

// contextWindow is how far before and after a flow's own lines events about its
// targets are included.
const contextWindow = 10 * time.Second

// Timeline returns the lines that match a query, ordered by time.
// Clock skew between machines is not corrected; lines of one process keep their order.
func Timeline(lines []Line, query Query) []Line {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	setStateAges(lines)
	switch {
	case query.Caller != "":
		return flowTimeline(lines, query.Caller)
	case query.Target != "":
		return targetTimeline(lines, query.Target)
	}
	return versionTimeline(lines, query.Version)
}

// setStateAges sets StateAge on each line from the last update of its process.
func setStateAges(lines []Line) {
	updated := map[string]time.Time{}
	for position := range lines {
		line := &lines[position]
		if at, known := updated[line.Process]; known {
			line.StateAge = line.Time.Sub(at)
		}
		if line.Event == eventNumber(eventlog.DirectoryUpdated) {
			updated[line.Process] = line.Time
		}
	}
}

func eventNumber(id eventlog.ID) string { return strconv.Itoa(int(id)) }

// flowTimeline returns the lines of a flow and the nearby events about its targets.
func flowTimeline(lines []Line, caller string) []Line {
	var first, last time.Time
	tokens := map[string]bool{}
	targets := map[string]bool{}
	for _, line := range lines {
		if line.Value(keyCaller) != caller {
			continue
		}
		if first.IsZero() {
			first = line.Time
		}
		last = line.Time
		for _, key := range []string{keyToken, keyTargetToken} {
			tokens[line.Value(key)] = true
		}
		targets[line.Value(keyTarget)] = true
	}
	delete(tokens, "")
	delete(tokens, "00000000")
	delete(targets, "")
	scope := ejectionScopeOf(lines, caller, targets)
	return slices.DeleteFunc(slices.Clone(lines), func(line Line) bool {
		if line.Value(keyCaller) != "" {
			return line.Value(keyCaller) != caller
		}
		if scope.includes(line) {
			return false
		}
		near := !first.IsZero() && line.Time.After(first.Add(-contextWindow)) && line.Time.Before(last.Add(contextWindow))
		return !near || !refersTo(line, targets, tokens)
	})
}

// refersTo reports whether a line names one of the targets or their tokens.
func refersTo(line Line, targets, tokens map[string]bool) bool {
	if targets[line.Value(keyTarget)] || tokens[line.Value(keyToken)] {
		return true
	}
	for _, key := range []string{keyLost, keySuspects} {
		for _, token := range strings.Split(line.Value(key), ",") {
			if tokens[token] {
				return true
			}
		}
	}
	return false
}

// targetTimeline returns the lines about a target, without those of single flows.
func targetTimeline(lines []Line, target string) []Line {
	tokens := map[string]bool{}
	for _, line := range lines {
		if line.Value(keyTarget) == target && line.Value(keyCaller) == "" {
			tokens[line.Value(keyToken)] = true
		}
	}
	delete(tokens, "")
	return slices.DeleteFunc(slices.Clone(lines), func(line Line) bool {
		return line.Value(keyCaller) != "" || !refersTo(line, map[string]bool{target: true}, tokens)
	})
}

// versionTimeline returns the lines of a configuration version, and the role changes,
// timed-out requests and disk failures during its rollout.
func versionTimeline(lines []Line, version string) []Line {
	var first, last time.Time
	for _, line := range lines {
		if line.Value(keyVersion) != version || line.Value(keyCaller) != "" {
			continue
		}
		if first.IsZero() {
			first = line.Time
		}
		last = line.Time
	}
	contextEvents := []string{
		eventNumber(eventlog.RoleChanged), eventNumber(eventlog.RequestGivenUp), eventNumber(eventlog.DiskFailed),
	}
	return slices.DeleteFunc(slices.Clone(lines), func(line Line) bool {
		if line.Value(keyVersion) == version {
			return line.Value(keyCaller) != ""
		}
		near := !first.IsZero() && line.Time.After(first.Add(-contextWindow)) && !line.Time.After(last)
		return !near || !slices.Contains(contextEvents, line.Event)
	})
}

// Print writes a timeline with times relative to its first line.
func Print(writer io.Writer, timeline []Line) error {
	if len(timeline) == 0 {
		_, err := fmt.Fprintln(writer, "no matching lines; lines may have been dropped by rate limiting (event 2130), or the logs cover another time")
		return err
	}
	start := timeline[0].Time
	for _, line := range timeline {
		var text strings.Builder
		fmt.Fprintf(&text, "%+10.3fs  %-22s %s %s%s", line.Time.Sub(start).Seconds(), line.Process, line.Event, line.Message, annotation(line))
		for _, field := range line.Fields {
			if field.Value != "" {
				fmt.Fprintf(&text, "\n%36s%s=%s", "", field.Key, field.Value)
			}
		}
		if line.StateAge >= 0 {
			fmt.Fprintf(&text, "\n%36sstate age: %v", "", line.StateAge.Round(time.Millisecond))
		}
		if _, err := fmt.Fprintln(writer, text.String()); err != nil {
			return err
		}
	}
	return nil
}
