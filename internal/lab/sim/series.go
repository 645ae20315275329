package sim

import (
	"strings"
	"time"

	"github.com/beamdoor/beamdoor/internal/lab/report"
)

// sampleInterval is the time between two samples of a run.
const sampleInterval = time.Second

// Sample is the state of a run at one point of virtual time.
type Sample struct {
	// At is the time since the start in seconds.
	At float64
	// Done, Unfinished and Broken count requests and flows so far.
	Done       int
	Unfinished int
	Broken     int
	// Busiest is the largest number of requests that wait or run at a target of
	// the booking service, and Mean the mean over its targets.
	Busiest float64
	Mean    float64
	// Oldest and Newest are the revisions in force on the balancers.
	Oldest uint64
	Newest uint64
}

// sample notes the state of the run every second.
func (w *World) sample() {
	w.clock.After(sampleInterval, w.sample)
	counts := w.report.Counts()
	_, broken := w.report.Flows()
	now := Sample{
		At:         time.Duration(w.clock.Now()).Seconds(),
		Done:       counts[string(report.Done)],
		Unfinished: counts[string(report.Unknown)] + counts[string(report.NoAnswer)] + counts[string(report.NotRun)],
		Broken:     broken,
	}
	w.sampleLoad(&now)
	w.sampleRevisions(&now)
	w.series = append(w.series, now)
}

func (w *World) sampleLoad(now *Sample) {
	targets := 0.0
	for _, name := range w.names {
		back := w.backends[name]
		if !back.up || !strings.HasPrefix(name, w.setup.BookingName) {
			continue
		}
		load := float64(back.core.Running())
		targets++
		now.Mean += load
		now.Busiest = max(now.Busiest, load)
	}
	if targets > 0 {
		now.Mean /= targets
	}
}

func (w *World) sampleRevisions(now *Sample) {
	for _, b := range w.balancers {
		if !b.up || !b.router.InView() {
			continue
		}
		revision := b.router.Revision()
		now.Newest = max(now.Newest, revision)
		if now.Oldest == 0 || revision < now.Oldest {
			now.Oldest = revision
		}
	}
}
