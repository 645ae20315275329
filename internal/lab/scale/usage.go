package scale

import (
	"net/http"
	"syscall"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/beamdoor/beamdoor/internal/steperror"
)

const (
	kilobyte = 1 << 10
	megabyte = 1 << 20
)

// usage is what a process has spent.
type usage struct {
	// processor is the processor time since its start.
	processor time.Duration
	// resident is the memory in bytes.
	resident float64
	leads    bool
	// toNodes and toMembers are bytes sent since its start.
	toNodes   float64
	toMembers float64
}

// ownUsage returns the processor time and memory of this process.
func ownUsage() usage {
	var spent syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &spent) != nil {
		return usage{}
	}
	return usage{
		processor: time.Duration(spent.Utime.Nano() + spent.Stime.Nano()),
		resident:  float64(spent.Maxrss) * kilobyte,
	}
}

// memberUsage reads the metrics of a control member.
func memberUsage(client *http.Client, admin string) (usage, error) {
	const step = "scale.metrics"
	response, err := client.Get("http://" + admin + "/metrics")
	if err != nil {
		return usage{}, steperror.Wrap(step, admin, err)
	}
	defer func() { _ = response.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil {
		return usage{}, steperror.Wrap(step, admin, err)
	}
	value := func(name string) float64 {
		family := families[name]
		if family == nil || len(family.Metric) == 0 {
			return 0
		}
		metric := family.Metric[0]
		return metric.GetCounter().GetValue() + metric.GetGauge().GetValue()
	}
	return usage{
		processor: time.Duration(value("process_cpu_seconds_total") * float64(time.Second)),
		resident:  value("process_resident_memory_bytes"),
		leads:     value("beamdoor_control_leader") == 1,
		toNodes:   value("beamdoor_control_balancer_sent_bytes_total"),
		toMembers: value("beamdoor_control_member_sent_bytes_total"),
	}, nil
}
