package registry

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/beamdoor/beamdoor/internal/hosting"
	"github.com/beamdoor/beamdoor/internal/raft"
	"github.com/beamdoor/beamdoor/internal/replica"
	"github.com/beamdoor/beamdoor/internal/wire"
)

// metrics are the Prometheus metrics of a member.
type metrics struct {
	set      *hosting.Metrics
	leader   prometheus.Gauge
	term     prometheus.Gauge
	revision prometheus.Gauge
	version  prometheus.Gauge
	nodes    prometheus.Gauge
	targets  prometheus.Gauge
	suspects prometheus.Gauge
	lost     prometheus.Gauge
	ejected  prometheus.Gauge
	// probation is the number of ejected targets that get trial flows.
	probation prometheus.Gauge
	// versionsHeld is the number of service versions held back by the leader.
	versionsHeld prometheus.Gauge
	voters       prometheus.Gauge
	// votersMissing is the number of voters missing for the configured tolerance.
	votersMissing prometheus.Gauge
	// toleratesZoneLoss is 1 while a quorum survives the loss of any LostZones zones.
	toleratesZoneLoss prometheus.Gauge
	// requestSeconds is the duration of calls in seconds.
	requestSeconds prometheus.Histogram
	// saveSeconds is the time to persist a batch in seconds.
	saveSeconds prometheus.Histogram
	// frameBytes counts the bytes of frames sent to members and nodes by kind.
	frameBytes *prometheus.CounterVec
	// nodesWithoutStrength is the number of nodes that state no processor, and nodesBounded
	// the number whose stated processor was reduced to a bound.
	nodesWithoutStrength, nodesBounded prometheus.Gauge
	// diskHeldBytes is the size of the log and its snapshots on disk.
	diskHeldBytes prometheus.Gauge
	// referrals counts the nodes referred to another member.
	referrals prometheus.Counter
	// leaderlessSeconds is the time without a known leader in seconds.
	leaderlessSeconds prometheus.Counter
}

func newMetrics() *metrics {
	set := hosting.NewMetrics("member")
	return &metrics{
		set:                  set,
		leader:               set.Gauge("leader", "1 while this member leads"),
		term:                 set.Gauge("term", "term of the replicated log"),
		revision:             set.Gauge("revision", "log position of the last change"),
		version:              set.Gauge("configuration_version", "version of the configuration that holds"),
		nodes:                set.Gauge("nodes", "subscribed nodes"),
		targets:              set.Gauge("targets", "targets that have not ended"),
		suspects:             set.Gauge("suspects", "targets not heard from lately"),
		lost:                 set.Gauge("lost", "targets held for dead"),
		ejected:              set.Gauge("ejected", "targets that get no new flows because they fail their work"),
		probation:            set.Gauge("probation", "targets that are tried after they were ejected"),
		versionsHeld:         set.Gauge("versions_held", "versions of services whose targets get trial flows only, at the leader"),
		voters:               set.Gauge("voters", "voters of the group that this member knows of"),
		votersMissing:        set.Gauge("voters_missing", "voters that the stated tolerance needs and the group has not"),
		toleratesZoneLoss:    set.Gauge("bears_lost_zones", "1 while a quorum is left after the loss of the zones that must be borne"),
		requestSeconds:       set.DurationHistogram("request_seconds", "time from a call to its outcome"),
		saveSeconds:          set.DurationHistogram("save_seconds", "time of the disk to make a batch last"),
		frameBytes:           set.CounterVec("frame_bytes_total", "bytes of frames sent to members and nodes", "kind"),
		nodesWithoutStrength: set.Gauge("nodes_without_strength", "subscribed nodes that state no processor"),
		nodesBounded:         set.Gauge("nodes_bounded", "subscribed nodes whose stated processor was taken for less"),
		diskHeldBytes:        set.Gauge("disk_held_bytes", "bytes of the log and of its snapshots, while one is written too"),
		referrals:            set.Counter("referrals_total", "nodes that were sent on to another member"),
		leaderlessSeconds:    set.Counter("leaderless_seconds_total", "time without a known leader"),
	}
}

// observe sets the gauges from the state of the core.
func (m *metrics) observe(core *Core) {
	m.leader.Set(gaugeValue(core.IsLeader()))
	m.toleratesZoneLoss.Set(gaugeValue(core.ToleratesZoneLoss()))
	m.term.Set(float64(core.replica.Term))
	m.revision.Set(float64(core.state.Revision()))
	m.version.Set(float64(core.state.Configuration().Version))
	m.nodes.Set(float64(len(core.nodes)))
	m.targets.Set(float64(core.state.TargetCount()))
	m.voters.Set(float64(core.Voters()))
	m.votersMissing.Set(float64(max(0, core.settings.Voters-core.Voters())))
	m.lost.Set(float64(len(core.liveness.verdicts.Lost)))
	m.suspects.Set(float64(len(core.liveness.verdicts.Suspects)))
	m.ejected.Set(float64(len(core.liveness.verdicts.Ejected)))
	m.nodesWithoutStrength.Set(float64(core.strengths.unstated))
	m.nodesBounded.Set(float64(len(core.strengths.capped)))
	m.probation.Set(float64(len(core.liveness.verdicts.Probation)))
	m.versionsHeld.Set(float64(core.outcomes.detector.HeldVersions()))
}

// gaugeValue returns 1 for true and 0 for false.
func gaugeValue(set bool) float64 {
	if set {
		return 1
	}
	return 0
}

// countFrame adds a frame sent to a member or a node to frameBytes.
func (m *metrics) countFrame(frame wire.Frame) {
	m.frameBytes.WithLabelValues(frame.Kind.String()).Add(float64(wire.FrameSize(frame)))
}

// Metrics returns the HTTP handler of the metrics address.
func (p *Process) Metrics() http.Handler { return p.metrics.set.Handler() }

// timedStorage records the duration of saves.
type timedStorage struct {
	replica.Storage
	saves prometheus.Histogram
}

var _ replica.Storage = (*timedStorage)(nil)

// Save implements replica.Storage.
func (t *timedStorage) Save(ready raft.Ready, whole raft.PersistentState) error {
	started := time.Now()
	err := t.Storage.Save(ready, whole)
	t.saves.Observe(time.Since(started).Seconds())
	return err
}
