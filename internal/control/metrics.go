package control

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metrics holds the Prometheus metrics of a control member.
type metrics struct {
	registry      *prometheus.Registry
	revision      prometheus.Gauge
	leader        prometheus.Gauge
	term          prometheus.Gauge
	commit        prometheus.Gauge
	balancers     prometheus.Gauge
	memberBytes   prometheus.Counter
	balancerBytes prometheus.Counter
	writes        *prometheus.CounterVec
}

const metricsNamespace = "beamdoor_control"

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: metricsNamespace, Name: name, Help: help})
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help})
}

func newMetrics() *metrics {
	m := &metrics{
		registry:      prometheus.NewRegistry(),
		revision:      gauge("revision", "Newest configuration revision applied by this member."),
		leader:        gauge("leader", "1 while this member leads."),
		term:          gauge("term", "Term of the replicated log."),
		commit:        gauge("commit_index", "Index of the last committed entry."),
		balancers:     gauge("connected_balancers", "Balancers connected to this member."),
		memberBytes:   counter("member_sent_bytes_total", "Bytes sent to other control members."),
		balancerBytes: counter("balancer_sent_bytes_total", "Bytes sent to balancers."),
		writes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace,
			Name:      "writes_total",
			Help:      "Writes of operators by result.",
		}, []string{"result"}),
	}
	m.registry.MustRegister(m.revision, m.leader, m.term, m.commit, m.balancers, m.memberBytes, m.balancerBytes, m.writes,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

func (m *metrics) observe(core *Core) {
	leader := 0.0
	if core.IsLeader() {
		leader = 1
	}
	m.leader.Set(leader)
	m.revision.Set(float64(core.Store().Revision()))
	m.term.Set(float64(core.Raft().Term()))
	m.commit.Set(float64(core.Raft().Commit()))
	m.balancers.Set(float64(core.ConnectedBalancers()))
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
