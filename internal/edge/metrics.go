package edge

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/beamdoor/beamdoor/internal/egress"
	"github.com/beamdoor/beamdoor/internal/hosting"
	"github.com/beamdoor/beamdoor/internal/steer"
)

// metrics holds the metrics that a node exports.
type metrics struct {
	set        *hosting.Metrics
	decisions  []prometheus.Counter
	malformed  prometheus.Counter
	waitlisted prometheus.Counter
	// expiredWaiting counts packets removed from the waitlist after their callers timed
	// out.
	expiredWaiting prometheus.Counter
	remembered     prometheus.Counter
	// waitlistFull counts packets rejected by the full waitlist, and untrackedFlows the
	// flows above the flow limit.
	waitlistFull   prometheus.Counter
	untrackedFlows prometheus.Counter
	inputOverflow  prometheus.Counter
	writeErrors    prometheus.Counter
	readErrors     prometheus.Counter
	// linkSent counts bytes including all headers.
	linkSent   prometheus.Counter
	duplicates prometheus.Counter
	// linkDropped and linkDroppedBytes are indexed by reason.
	linkDropped      []prometheus.Counter
	linkDroppedBytes []prometheus.Counter
	linkQueue        prometheus.Gauge
	linkQueueBytes   prometheus.Gauge
	// linkRate is in bytes per second.
	linkRate       prometheus.Gauge
	linkReductions prometheus.Counter
	linkRefused    prometheus.Counter
	// admissions counts new flows by admission reason.
	admissions []prometheus.Counter
	// openingDelay is how long opening packets were held, in seconds.
	openingDelay prometheus.Histogram
	// linkUseIn and linkUseOut are the used shares of the link, linkWait the expected
	// wait at that use and peerWait that at other nodes, in seconds.
	linkUseIn, linkUseOut, linkWait, peerWait prometheus.Gauge
	peersKnown                                prometheus.Gauge
	// linkWaits are indexed by urgency, in seconds.
	linkWaits []prometheus.Observer
	// probes counts target probes by outcome.
	probes                 []prometheus.Counter
	heartbeatsAcknowledged prometheus.Counter
	heartbeatsDeferred     prometheus.Counter
	flows                  prometheus.Gauge
	waitingFlows           prometheus.Gauge
	revision               prometheus.Gauge
	version                prometheus.Gauge
	evacuatedZones         prometheus.Gauge
	// relativeTimes are indexed by bucket of the relative response time.
	relativeTimes []prometheus.Gauge
	// stateAge is the age of the node's state at a placement, in seconds.
	stateAge prometheus.Histogram
	// waitlistDelay is the time callers had waited when their packets were released, in
	// seconds.
	waitlistDelay prometheus.Histogram
	// readyAfter is the time from the process start until the node was ready, in seconds.
	readyAfter prometheus.Histogram
	// currentGaps are the periods without a current member, in seconds.
	currentGaps prometheus.Histogram
	// firstPlacement is the time from the process start until the first new flow was
	// placed, in seconds.
	firstPlacement       prometheus.Histogram
	placedFromRemembered prometheus.Counter
	// updateDuration is the time to apply an update, in seconds.
	updateDuration prometheus.Histogram
}

func newMetrics() *metrics {
	set := hosting.NewMetrics("edge")
	m := &metrics{
		set:                    set,
		malformed:              set.Counter("malformed_total", "datagrams that are no packets"),
		waitlisted:             set.Counter("waited_total", "packets that came before the node was ready"),
		expiredWaiting:         set.Counter("waited_too_long_total", "packets whose callers had left before the node was ready"),
		waitlistFull:           set.Counter("waiting_refused_total", "packets that came before the node was ready and found no room to wait"),
		untrackedFlows:         set.Counter("flows_not_kept_total", "times that a flow was served but not kept, since the node keeps as many as it may"),
		remembered:             set.Counter("remembered_targets_total", "targets taken from a member's disk before any member was current"),
		inputOverflow:          set.Counter("overflow_total", "datagrams that found no room in the ring"),
		writeErrors:            set.Counter("write_errors_total", "datagrams that could not be sent"),
		readErrors:             set.Counter("read_errors_total", "failed reads of the socket for packets"),
		linkSent:               set.Counter("link_sent_bytes_total", "bytes of datagrams sent, with all headers"),
		duplicates:             set.Counter("link_duplicates_total", "datagrams not sent since their data waited for the link already"),
		linkQueue:              set.Gauge("link_queue_packets", "datagrams that wait for the link"),
		linkRate:               set.Gauge("link_rate_bytes", "bytes a second that the link is held to carry"),
		linkReductions:         set.Counter("link_reductions_total", "times that the rate of the link was lowered for losses"),
		linkRefused:            set.Counter("link_refused_openings_total", "new flows refused for lack of room on the node's own link"),
		linkQueueBytes:         set.Gauge("link_queue_bytes", "bytes that wait for the link"),
		heartbeatsAcknowledged: set.Counter("heartbeats_taken_total", "heartbeats of targets that were acknowledged"),
		heartbeatsDeferred:     set.Counter("heartbeats_left_total", "heartbeats of targets that were left to a control member"),
		flows:                  set.Gauge("flows", "flows counted as open"),
		waitingFlows:           set.Gauge("waiting_flows", "flows whose callers wait for an answer"),
		revision:               set.Gauge("revision", "revision of the directory in force"),
		version:                set.Gauge("configuration_version", "version of the configuration in force"),
		evacuatedZones:         set.Gauge("evacuated_zones", "zones whose targets take no new flows"),
		stateAge:               set.DurationHistogram("state_age_seconds", "age of the node's state when it placed a flow"),
		waitlistDelay:          set.DurationHistogram("held_seconds", "time that callers had waited when packets kept for them were sent"),
		readyAfter:             set.DurationHistogram("ready_after_seconds", "time from the start of the process until the node was ready"),
		firstPlacement:         set.DurationHistogram("first_placed_after_seconds", "time from the start of the process until the first new flow was placed"),
		placedFromRemembered:   set.Counter("placed_by_memory_total", "new flows placed by what a member's disk remembers"),
		currentGaps:            set.DurationHistogram("current_gap_seconds", "time without a control member that was current, where it was longer than usual"),
		updateDuration:         set.DurationHistogram("update_seconds", "time to put an update in force"),
	}
	decisions := set.CounterVec("packets_total", "packets by the reason of their decision", "reason")
	for _, reason := range steer.Reasons() {
		m.decisions = append(m.decisions, decisions.WithLabelValues(reason.String()))
	}
	probes := set.CounterVec("probes_total", "connections opened to ask whether a target lives, by outcome", "outcome")
	for _, outcome := range steer.ProbeOutcomes() {
		m.probes = append(m.probes, probes.WithLabelValues(outcome.String()))
	}
	m.addLinkMetrics(set)
	m.addRelativeTimes(set)
	return m
}

func (m *metrics) addRelativeTimes(set *hosting.Metrics) {
	gauges := set.GaugeVec("targets_by_relative_time", "targets that take new flows by the time that they take, as a multiple of what is usual for their service", "at_most")
	for _, bound := range relativeTimeBuckets {
		m.relativeTimes = append(m.relativeTimes, gauges.WithLabelValues(strconv.FormatFloat(bound, 'g', -1, 64)))
	}
	m.relativeTimes = append(m.relativeTimes, gauges.WithLabelValues("more"))
}

func (m *metrics) addLinkMetrics(set *hosting.Metrics) {
	dropped := set.CounterVec("link_dropped_total", "datagrams that waited for the link and were not sent, by reason", "reason")
	bytes := set.CounterVec("link_dropped_bytes_total", "bytes that waited for the link and were not sent, by reason", "reason")
	for _, reason := range egress.DropReasons() {
		m.linkDropped = append(m.linkDropped, dropped.WithLabelValues(reason.String()))
		m.linkDroppedBytes = append(m.linkDroppedBytes, bytes.WithLabelValues(reason.String()))
	}
	admissions := set.CounterVec("admissions_total", "new flows by why they were not taken at once", "reason")
	for _, reason := range egress.DecisionReasons() {
		m.admissions = append(m.admissions, admissions.WithLabelValues(reason.String()))
	}
	m.openingDelay = set.DurationHistogram("opening_held_seconds", "time that opening packets were held until their data had room")
	m.linkUseIn = set.Gauge("link_use_in", "share of the link that incoming datagrams used in the last second")
	m.linkUseOut = set.Gauge("link_use_out", "share of the link that outgoing datagrams used in the last second")
	m.linkWait = set.Gauge("link_expected_wait_seconds", "wait that a new flow meets on average at the link's use")
	m.peerWait = set.Gauge("room_offered_wait_seconds", "the same at the least used nodes of the zone, 0 while unknown")
	m.peersKnown = set.Gauge("room_known", "1 while the use of other nodes is known")
	waits := set.DurationHistogramVec("link_wait_seconds", "time that datagrams waited for the link, by urgency", "urgency")
	for urgency := range egress.UrgencyCount {
		m.linkWaits = append(m.linkWaits, waits.WithLabelValues(strconv.Itoa(urgency)))
	}
}

// setLinkUse sets the gauges of the link's use.
func (m *metrics) setLinkUse(u *linkUse, load egress.LinkLoad) {
	m.linkUseIn.Set(u.inShare)
	m.linkUseOut.Set(u.outShare)
	m.linkWait.Set(load.ExpectedWait().Seconds())
	m.peersKnown.Set(0)
	m.peerWait.Set(0)
	if u.peersKnown {
		m.peersKnown.Set(1)
		m.peerWait.Set(load.RetryWait.Seconds())
	}
}

// observeLinkWait records how long a datagram was queued.
func (m *metrics) observeLinkWait(urgency uint8, waited time.Duration) {
	m.linkWaits[min(int(urgency), egress.UrgencyCount-1)].Observe(waited.Seconds())
}

func (m *metrics) count(decision steer.Decision) { m.decisions[decision.Reason].Inc() }

// Metrics returns the HTTP handler for the metrics.
func (p *Process) Metrics() http.Handler { return p.metrics.set.Handler() }

func (m *metrics) countHeartbeat(acknowledged bool) {
	if acknowledged {
		m.heartbeatsAcknowledged.Inc()
		return
	}
	m.heartbeatsDeferred.Inc()
}
