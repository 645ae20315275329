// Package report collects what callers saw and what targets ran, and checks
// the rules that must always hold. The load on real processes and the
// simulator use the same report.
package report

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/beamdoor/beamdoor/internal/steperror"
)

// Outcome is how a request ended for its caller.
type Outcome string

// The outcomes of a request.
const (
	Done     Outcome = "done"
	NotRun   Outcome = "not run"
	Unknown  Outcome = "outcome unknown"
	NoAnswer Outcome = "no answer"
	// Wrong is an answer that belongs to another request.
	Wrong Outcome = "wrong answer"
)

// Violation is a broken rule.
type Violation struct {
	Rule   string
	Detail string
}

const (
	longestLatency = int64(time.Minute / time.Microsecond)
	significant    = 3
)

// Report is the record of one run. It is safe for concurrent use.
type Report struct {
	mutex     sync.Mutex
	outcomes  map[string]Outcome
	counts    map[string]int
	latency   *hdrhistogram.Histogram
	download  *hdrhistogram.Histogram
	flows     int
	broken    []string
	runs      map[string]int
	perTarget map[string]int
	foreign   int
	halved    []string
	notes     []string
	wholes    int
}

// New returns an empty report.
func New() *Report {
	return &Report{
		outcomes:  map[string]Outcome{},
		counts:    map[string]int{},
		latency:   hdrhistogram.New(1, longestLatency, significant),
		download:  hdrhistogram.New(1, longestLatency, significant),
		runs:      map[string]int{},
		perTarget: map[string]int{},
	}
}

// Count adds one to a named count.
func (r *Report) Count(name string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counts[name]++
}

// Note keeps a line for the end of the report.
func (r *Report) Note(line string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.notes = append(r.notes, line)
}

// FlowOpened notes a flow that is to stay open.
func (r *Report) FlowOpened() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.flows++
}

// FlowBroken notes a flow that froze or moved.
func (r *Report) FlowBroken(reason string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.broken = append(r.broken, reason)
}

// Request notes the outcome of a request that may not be repeated.
func (r *Report) Request(id string, outcome Outcome, taken time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.outcomes[id] = outcome
	r.counts[string(outcome)]++
	if outcome == Done {
		_ = r.latency.RecordValue(taken.Microseconds())
	}
}

// Download notes a download that ended, with what was wrong with it or "".
func (r *Report) Download(problem string, taken time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if problem != "" {
		r.halved = append(r.halved, problem)
		return
	}
	r.wholes++
	_ = r.download.RecordValue(taken.Microseconds())
}

// Ran notes that a target ran a request.
func (r *Report) Ran(target, id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.runs[id]++
	r.perTarget[target]++
}

// Foreign notes a packet that reached a target of another service.
func (r *Report) Foreign() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.foreign++
}

// ReadJournals reads the journals of all targets in a folder.
func (r *Report) ReadJournals(folder string) error {
	const step = "report.journals"
	files, err := filepath.Glob(filepath.Join(folder, "*.journal"))
	if err != nil {
		return steperror.Wrap(step, folder, err)
	}
	for _, file := range files {
		if err := r.readJournal(file); err != nil {
			return steperror.Wrap(step, file, err)
		}
	}
	return nil
}

func (r *Report) readJournal(file string) error {
	opened, err := os.Open(file)
	if err != nil {
		return err
	}
	defer func() { _ = opened.Close() }()
	scanner := bufio.NewScanner(opened)
	for scanner.Scan() {
		var kind, target, id string
		if _, err := fmt.Sscan(scanner.Text(), &kind, &target, &id); err != nil {
			return err
		}
		if kind == "foreign" {
			r.Foreign()
			continue
		}
		r.Ran(target, id)
	}
	return scanner.Err()
}

// Counts returns a copy of the named counts.
func (r *Report) Counts() map[string]int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return maps.Clone(r.counts)
}

// Flows returns the number of flows that were to stay open, and how many broke.
func (r *Report) Flows() (opened, broken int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.flows, len(r.broken)
}

// Violations returns the broken rules.
func (r *Report) Violations() []Violation {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var list []Violation
	add := func(rule, format string, values ...any) {
		list = append(list, Violation{Rule: rule, Detail: fmt.Sprintf(format, values...)})
	}
	for _, reason := range r.broken {
		add("open flow survives", "%s", reason)
	}
	if r.foreign > 0 {
		add("no packet to another service", "%d packets", r.foreign)
	}
	for _, problem := range r.halved {
		add("whole downloads", "%s", problem)
	}
	for id, count := range r.runs {
		if count > 1 {
			add("at most once", "request %s ran %d times", id, count)
		}
	}
	for id, outcome := range r.outcomes {
		switch {
		case outcome == NotRun && r.runs[id] > 0:
			add("not run is true", "request %s was refused as not run, and ran", id)
		case outcome == Done && r.runs[id] == 0:
			add("answers are true", "request %s was answered, and no target ran it", id)
		case outcome == Wrong:
			add("own answer", "request %s got another request's answer", id)
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Rule+list[a].Detail < list[b].Rule+list[b].Detail })
	return list
}

// Imbalance returns the busiest target's share of requests over the mean, for
// the targets whose names start with the prefix.
func (r *Report) Imbalance(prefix string) float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	total, most, targets := 0, 0, 0
	for name, count := range r.perTarget {
		if !strings.HasPrefix(name, prefix) {
			continue
		}
		targets++
		total += count
		most = max(most, count)
	}
	if total == 0 {
		return 0
	}
	return float64(most) * float64(targets) / float64(total)
}

const shownViolations = 20

// Write prints the report and returns the number of broken rules.
func (r *Report) Write(writer io.Writer) int {
	violations := r.Violations()
	imbalance := r.Imbalance("")
	r.mutex.Lock()
	defer r.mutex.Unlock()
	aligned := tabwriter.NewWriter(writer, 0, 4, 2, ' ', 0)
	fmt.Fprintf(aligned, "flows kept open\t%d\n", r.flows)
	fmt.Fprintf(aligned, "flows broken\t%d\n", len(r.broken))
	var names []string
	for name := range r.counts {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(aligned, "%s\t%d\n", name, r.counts[name])
	}
	fmt.Fprintf(aligned, "requests run by targets\t%d\n", len(r.runs))
	fmt.Fprintf(aligned, "downloads whole / not\t%d / %d\n", r.wholes, len(r.halved))
	fmt.Fprintf(aligned, "busiest target over mean\t%.2f\n", imbalance)
	writeLatency(aligned, "request", r.latency)
	writeLatency(aligned, "download", r.download)
	_ = aligned.Flush()
	for i, note := range r.notes {
		if i == shownViolations {
			break
		}
		fmt.Fprintln(writer, note)
	}
	for i, violation := range violations {
		if i == shownViolations {
			fmt.Fprintf(writer, "... and %d more\n", len(violations)-i)
			break
		}
		fmt.Fprintf(writer, "BROKEN %s: %s\n", violation.Rule, violation.Detail)
	}
	if len(violations) == 0 {
		fmt.Fprintln(writer, "no rule was broken")
	}
	return len(violations)
}

func writeLatency(writer io.Writer, name string, histogram *hdrhistogram.Histogram) {
	if histogram.TotalCount() == 0 {
		return
	}
	at := func(percentile float64) time.Duration {
		return time.Duration(histogram.ValueAtPercentile(percentile)) * time.Microsecond
	}
	fmt.Fprintf(writer, "%s p50 p99 max\t%s  %s  %s\n", name, at(50), at(99), time.Duration(histogram.Max())*time.Microsecond)
}

// CheckProgress returns an error when nothing was done, or when more than the
// given share of requests ended without a target's answer: a run that refuses
// everything breaks no rule and is worth nothing.
func (r *Report) CheckProgress(most float64) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	done := r.counts[string(Done)]
	if done == 0 {
		return steperror.New("report.progress", "", "no request was done")
	}
	unfinished := len(r.outcomes) - done
	if share := float64(unfinished) / float64(len(r.outcomes)); share > most {
		reason := fmt.Sprintf("%.1f%% of the requests ended without a target's answer", 100*share)
		return steperror.New("report.progress", "", reason)
	}
	return nil
}
