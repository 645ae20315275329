package balancer

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
	"github.com/beamdoor/beamdoor/api/beamdoor/v1/beamdoorv1connect"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/routing"
)

const metricsNamespace = "beamdoor_balancer"

// metrics holds the Prometheus metrics of a balancer.
type metrics struct {
	registry        *prometheus.Registry
	counters        *prometheus.GaugeVec
	flows           prometheus.Gauge
	revision        prometheus.Gauge
	view            prometheus.Gauge
	hasLease        prometheus.Gauge
	dropped         prometheus.Gauge
	controlSent     prometheus.Counter
	controlReceived prometheus.Counter
	refusedPackets  *prometheus.CounterVec
	mutex           sync.Mutex
	refusedBySource map[string]uint64
}

func newMetrics() *metrics {
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: metricsNamespace, Name: name, Help: help})
	}
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help})
	}
	m := &metrics{
		registry: prometheus.NewRegistry(),
		counters: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: metricsNamespace,
			Name:      "routing_count",
			Help:      "Counts of the routing core since the start, by kind.",
		}, []string{"kind"}),
		flows:           gauge("flows", "Flows held."),
		revision:        gauge("revision", "Configuration revision in force."),
		view:            gauge("view", "Number of the view in force."),
		hasLease:        gauge("has_lease", "1 while this balancer has a lease."),
		dropped:         gauge("inputs_dropped", "Inputs that found no room in the ring."),
		controlSent:     counter("control_sent_bytes_total", "Bytes sent to the control plane."),
		controlReceived: counter("control_received_bytes_total", "Bytes received from the control plane."),
		refusedPackets: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace,
			Name:      "refused_packets_total",
			Help:      "Packets that could not be read, by source.",
		}, []string{"source"}),
		refusedBySource: map[string]uint64{},
	}
	m.registry.MustRegister(m.counters, m.flows, m.revision, m.view, m.hasLease, m.dropped, m.controlSent, m.controlReceived,
		m.refusedPackets, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// countRefused counts a refused packet and returns the count of its source.
func (m *metrics) countRefused(source string) uint64 {
	m.refusedPackets.WithLabelValues(source).Inc()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.refusedBySource[source]++
	return m.refusedBySource[source]
}

// observe copies the state and the counters of the router into the metrics.
func (m *metrics) observe(now kernel.Instant, router *routing.Router, dropped uint64) {
	m.flows.Set(float64(router.FlowCount()))
	m.revision.Set(float64(router.Revision()))
	m.view.Set(float64(router.ViewNumber()))
	m.dropped.Set(float64(dropped))
	m.hasLease.Set(0)
	if router.HasLease(now) {
		m.hasLease.Set(1)
	}
	for kind, count := range router.Counters().ByName() {
		m.counters.WithLabelValues(kind).Set(float64(count))
	}
}

// explainService implements the Explain call, which shows how a caller's packets
// would be routed.
type explainService struct {
	process *Process
}

var _ beamdoorv1connect.BalancerServiceHandler = (*explainService)(nil)

func (p *Process) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(beamdoorv1connect.NewBalancerServiceHandler(&explainService{process: p}))
	mux.Handle("/metrics", promhttp.HandlerFor(p.metrics.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("/healthz", func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/readyz", p.serveReady)
	return mux
}

// serveReady responds with 200 while the network fabric may send packets here: the
// balancer is in the view and is not leaving it.
func (p *Process) serveReady(writer http.ResponseWriter, request *http.Request) {
	ready := false
	err := p.query(request.Context(), func(router *routing.Router, _ kernel.Instant) {
		ready = router.InView() && !p.leaving
	})
	if err != nil || !ready {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Explain implements BalancerServiceHandler.
func (s *explainService) Explain(ctx context.Context, request *connect.Request[beamdoorv1.ExplainRequest]) (*connect.Response[beamdoorv1.ExplainResponse], error) {
	caller, err := netip.ParseAddrPort(request.Msg.Caller)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("caller: must be an IP address and a port"))
	}
	var explanation routing.Explanation
	known := false
	queryErr := s.process.query(ctx, func(router *routing.Router, now kernel.Instant) {
		explanation, known = router.Explain(now, request.Msg.Service, caller)
	})
	if queryErr != nil {
		return nil, connect.NewError(connect.CodeUnavailable, queryErr)
	}
	if !known {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("service: "+request.Msg.Service+" is not in the configuration applied by this balancer"))
	}
	return connect.NewResponse(&beamdoorv1.ExplainResponse{
		Known:     explanation.Known,
		Service:   request.Msg.Service,
		Target:    explanation.Target,
		Partition: uint32(explanation.Partition),
		Primary:   explanation.Primary,
		Backup:    explanation.Backup,
		View:      explanation.View,
		Revision:  explanation.Revision,
		Reason:    explanation.Reason,
		Policy:    explanation.Policy,
		Weight:    uint32(explanation.Weight),
		DecidedBy: explanation.DecidedBy,
		AgeMs:     explanation.IdleTime.Milliseconds(),
	}), nil
}
