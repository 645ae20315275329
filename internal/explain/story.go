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

// Query says what a story is about. Exactly one of the fields is set.
type Query struct {
	// Caller is a flow's caller as IP:PORT.
	Caller string
	// Target is the name of a target.
	Target string
	// Version is the version of a configuration.
	Version string
}

// around is how far before and after the lines of a flow the fate of its
// targets is told.
const around = 10 * time.Second

// Timeline returns the lines that answer a question, in the order of their times.
// Clocks of machines may differ; lines of one process keep their order.
func Timeline(lines []Line, question Query) []Line {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	setAges(lines)
	switch {
	case question.Caller != "":
		return storyOfFlow(lines, question.Caller)
	case question.Target != "":
		return storyOfTarget(lines, question.Target)
	}
	return storyOfVersion(lines, question.Version)
}

// setAges works out how old each process's state was at each of its lines.
func setAges(lines []Line) {
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

// storyOfFlow returns the decisions on a flow and what became of its targets.
func storyOfFlow(lines []Line, caller string) []Line {
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
	passed := passedOverBy(lines, caller, targets)
	return slices.DeleteFunc(slices.Clone(lines), func(line Line) bool {
		if line.Value(keyCaller) != "" {
			return line.Value(keyCaller) != caller
		}
		if passed.includes(line) {
			return false
		}
		near := !first.IsZero() && line.Time.After(first.Add(-around)) && line.Time.Before(last.Add(around))
		return !near || !concerns(line, targets, tokens)
	})
}

// concerns reports whether a line is about one of the targets.
func concerns(line Line, targets, tokens map[string]bool) bool {
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

// storyOfTarget returns what the control members believed of a target.
func storyOfTarget(lines []Line, target string) []Line {
	tokens := map[string]bool{}
	for _, line := range lines {
		if line.Value(keyTarget) == target && line.Value(keyCaller) == "" {
			tokens[line.Value(keyToken)] = true
		}
	}
	delete(tokens, "")
	return slices.DeleteFunc(slices.Clone(lines), func(line Line) bool {
		return line.Value(keyCaller) != "" || !concerns(line, map[string]bool{target: true}, tokens)
	})
}

// storyOfVersion returns the way of a configuration, and the changes of leaders
// and of readiness while it was on its way.
func storyOfVersion(lines []Line, version string) []Line {
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
	leaders := []string{
		eventNumber(eventlog.RoleChanged), eventNumber(eventlog.RequestGivenUp), eventNumber(eventlog.DiskFailed),
	}
	return slices.DeleteFunc(slices.Clone(lines), func(line Line) bool {
		if line.Value(keyVersion) == version {
			return line.Value(keyCaller) != ""
		}
		near := !first.IsZero() && line.Time.After(first.Add(-around)) && !line.Time.After(last)
		return !near || !slices.Contains(leaders, line.Event)
	})
}

// Print writes a timeline with times from its first line.
func Print(writer io.Writer, story []Line) error {
	if len(story) == 0 {
		_, err := fmt.Fprintln(writer, "no line of these logs is about it; was it left out (event 2130), or another time?")
		return err
	}
	start := story[0].Time
	for _, line := range story {
		var text strings.Builder
		fmt.Fprintf(&text, "%+10.3fs  %-22s %s %s%s", line.Time.Sub(start).Seconds(), line.Process, line.Event, line.Message, remark(line))
		for _, field := range line.Fields {
			if field.Value != "" {
				fmt.Fprintf(&text, "\n%36s%s=%s", "", field.Key, field.Value)
			}
		}
		if line.StateAge >= 0 {
			fmt.Fprintf(&text, "\n%36sage of its state: %v", "", line.StateAge.Round(time.Millisecond))
		}
		if _, err := fmt.Fprintln(writer, text.String()); err != nil {
			return err
		}
	}
	return nil
}
