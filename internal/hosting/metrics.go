package hosting

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// namespace is the prefix of every metric name.
const namespace = "beamdoor"

// firstBucket, bucketFactor and bucketCount define the histogram buckets, from 0.1 ms
// to 13 s.
const (
	firstBucket  = 0.0001
	bucketFactor = 2
	bucketCount  = 18
)

// Metrics is the Prometheus registry of one process.
type Metrics struct {
	subsystem string
	registry  *prometheus.Registry
}

// NewMetrics returns an empty registry whose metrics belong to a subsystem.
func NewMetrics(subsystem string) *Metrics {
	return &Metrics{subsystem: subsystem, registry: prometheus.NewRegistry()}
}

// Handler returns the HTTP handler that exposes the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Gauge registers a gauge.
func (m *Metrics) Gauge(name, help string) prometheus.Gauge {
	gauge := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Subsystem: m.subsystem, Name: name, Help: help})
	m.registry.MustRegister(gauge)
	return gauge
}

// GaugeVec registers a gauge vector with one label.
func (m *Metrics) GaugeVec(name, help, label string) *prometheus.GaugeVec {
	options := prometheus.GaugeOpts{Namespace: namespace, Subsystem: m.subsystem, Name: name, Help: help}
	gauges := prometheus.NewGaugeVec(options, []string{label})
	m.registry.MustRegister(gauges)
	return gauges
}

// Counter registers a counter.
func (m *Metrics) Counter(name, help string) prometheus.Counter {
	counter := prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Subsystem: m.subsystem, Name: name, Help: help})
	m.registry.MustRegister(counter)
	return counter
}

// CounterVec registers a counter vector with one label.
func (m *Metrics) CounterVec(name, help, label string) *prometheus.CounterVec {
	options := prometheus.CounterOpts{Namespace: namespace, Subsystem: m.subsystem, Name: name, Help: help}
	counters := prometheus.NewCounterVec(options, []string{label})
	m.registry.MustRegister(counters)
	return counters
}

// DurationHistogramVec registers a vector of histograms of seconds with one label.
func (m *Metrics) DurationHistogramVec(name, help, label string) *prometheus.HistogramVec {
	histograms := prometheus.NewHistogramVec(m.seconds(name, help), []string{label})
	m.registry.MustRegister(histograms)
	return histograms
}

// DurationHistogram registers a histogram of durations in seconds.
func (m *Metrics) DurationHistogram(name, help string) prometheus.Histogram {
	histogram := prometheus.NewHistogram(m.seconds(name, help))
	m.registry.MustRegister(histogram)
	return histogram
}

func (m *Metrics) seconds(name, help string) prometheus.HistogramOpts {
	return prometheus.HistogramOpts{
		Namespace: namespace, Subsystem: m.subsystem, Name: name, Help: help,
		Buckets: prometheus.ExponentialBuckets(firstBucket, bucketFactor, bucketCount),
	}
}
