package standin

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Numbers of the events that are counted, as listed in docs/EVENTS.md.
const (
	eventEjected     = "1094"
	eventProbation   = "1095"
	eventReadmitted  = "1096"
	eventConnected   = "2051"
	eventAnnounced   = "2105"
	eventCongested   = "2140"
	eventLinkNarrow  = "2143"
	eventLinkRelaxed = "2144"
)

var countedEvents = map[string]bool{
	eventEjected: true, eventProbation: true, eventReadmitted: true, eventAnnounced: true,
	eventCongested: true, eventLinkNarrow: true, eventLinkRelaxed: true,
}

// logPollInterval is the period at which logs are read.
const logPollInterval = 100 * time.Millisecond

// logWatch tails the logs of a fleet's processes.
type logWatch struct {
	folder string

	mutex   sync.Mutex
	offsets map[string]int64
	// counts holds the number of logged events and other counters, by description.
	counts map[string]int
	// ejected are the ejected targets and those on probation, by ID.
	ejected map[string]ejection
	// announcedTo are the logs of nodes that received a member announcement since the last
	// reset.
	announcedTo map[string]bool
	// followed maps a node's log to the address of the member it last connected to.
	followed map[string]string
}

// ejection is the state of a target that members have ejected.
type ejection struct {
	since time.Time
	// until is when the ejection hold expires.
	until     time.Time
	probation bool
	// flows counts flows received after the bound for propagating the ejection.
	flows int
}

func newLogWatch(folder string) *logWatch {
	return &logWatch{folder: folder, offsets: map[string]int64{}, counts: map[string]int{}, ejected: map[string]ejection{}, announcedTo: map[string]bool{}, followed: map[string]string{}}
}

// run reads the logs periodically until done is closed.
func (l *logWatch) run(done <-chan struct{}) {
	ticker := time.NewTicker(logPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			l.poll()
		}
	}
}

// poll reads what was appended to the logs.
func (l *logWatch) poll() {
	paths, _ := filepath.Glob(filepath.Join(l.folder, "*.log"))
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			continue
		}
		info, err := file.Stat()
		if err == nil && info.Size() > l.offsets[path] {
			data := make([]byte, info.Size()-l.offsets[path])
			size, _ := file.ReadAt(data, l.offsets[path])
			l.read(path, data[:size])
		}
		_ = file.Close()
	}
}

// read processes the complete lines in newly appended data.
func (l *logWatch) read(path string, data []byte) {
	complete := bytes.LastIndexByte(data, '\n') + 1
	l.offsets[path] += int64(complete)
	for line := range strings.Lines(string(data[:complete])) {
		fields := fieldsOf(line)
		if fields["event"] == eventConnected {
			l.followed[path] = fields["address"]
		}
		if !countedEvents[fields["event"]] {
			continue
		}
		l.counts[fmt.Sprint("event ", fields["event"], " ", fields["name"])]++
		if fields["event"] == eventAnnounced {
			l.announcedTo[path] = true
		}
		l.trackTarget(fields)
	}
}

// fieldsOf returns the key=value fields of a line. A quoted value is cut at its first space.
func fieldsOf(line string) map[string]string {
	fields := map[string]string{}
	for word := range strings.FieldsSeq(line) {
		if name, value, found := strings.Cut(word, "="); found {
			fields[name] = value
		}
	}
	return fields
}

// trackTarget updates the ejection state of a target.
func (l *logWatch) trackTarget(fields map[string]string) {
	id := fields["target"]
	switch fields["event"] {
	case eventEjected:
		at, err := time.Parse(time.RFC3339Nano, fields["ts"])
		if err != nil {
			at = time.Now()
		}
		hold, _ := time.ParseDuration(fields["hold"])
		l.ejected[id] = ejection{since: at, until: at.Add(hold)}
	case eventProbation:
		if state, exists := l.ejected[id]; exists {
			state.probation = true
			l.ejected[id] = state
		}
	case eventReadmitted:
		delete(l.ejected, id)
	}
}

// reset discards ejections and announcements, since all members were killed.
func (l *logWatch) reset() {
	l.poll()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	clear(l.ejected)
	clear(l.announcedTo)
}

// recordFlow records a new flow of a target. It returns the time since the target was ejected
// and the number of flows received later than bound after that; both are 0 if the target
// is not ejected.
func (l *logWatch) recordFlow(id string, bound time.Duration) (time.Duration, int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	state, exists := l.ejected[id]
	if !exists || state.probation || time.Now().After(state.until) {
		return 0, 0
	}
	since := time.Since(state.since)
	if since > bound {
		state.flows++
		l.ejected[id] = state
	}
	return since, state.flows
}

// isEjected reports whether a target is ejected or on probation.
func (l *logWatch) isEjected(id string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	_, exists := l.ejected[id]
	return exists
}

// holdEnd returns when the ejection hold of a target expires.
func (l *logWatch) holdEnd(id string) time.Time {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.ejected[id].until
}

// snapshot returns a copy of all counters.
func (l *logWatch) snapshot() map[string]int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return maps.Clone(l.counts)
}

// addCount adds to a counter that isn't an event.
func (l *logWatch) addCount(what string, times int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.counts[what] += times
}

// nodesFollowingOthers returns the logs of the nodes connected to a member other than the
// one at ip.
func (l *logWatch) nodesFollowingOthers(ip string) []string {
	l.poll()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var nodes []string
	for path, member := range l.followed {
		if !strings.HasPrefix(member, ip+":") {
			nodes = append(nodes, path)
		}
	}
	return nodes
}

// announcedCount returns how many of the nodes received a member announcement.
func (l *logWatch) announcedCount(nodes []string) int {
	l.poll()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	count := 0
	for _, path := range nodes {
		if l.announcedTo[path] {
			count++
		}
	}
	return count
}
