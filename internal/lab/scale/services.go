package scale

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"connectrpc.com/connect"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
	"github.com/beamdoor/beamdoor/api/beamdoor/v1/beamdoorv1connect"
)

// services returns all services, spread over the cells, and the targets spread
// over the services.
func (r *runner) services() []*beamdoorv1.Service {
	var services []*beamdoorv1.Service
	for number := range r.options.Services {
		services = append(services, r.service(number))
	}
	return services
}

func (r *runner) service(number int) *beamdoorv1.Service {
	service := &beamdoorv1.Service{
		Name:          fmt.Sprintf("service-%d", number),
		Address:       fmt.Sprintf("10.100.%d.%d:5683", number>>8, number&0xff),
		Cell:          r.options.FirstCell + uint32(number%r.fleet.cells()),
		Priority:      "flows",
		SharingPolicy: "builtin/even",
		HealthPolicy:  "builtin/health",
		Limits:        &beamdoorv1.Limits{},
	}
	first := r.options.Targets * number / r.options.Services
	last := r.options.Targets * (number + 1) / r.options.Services
	for target := first; target < last; target++ {
		service.Targets = append(service.Targets, r.target(target))
	}
	return service
}

func (r *runner) target(number int) *beamdoorv1.Target {
	target := &beamdoorv1.Target{
		Name:        fmt.Sprintf("target-%d", number),
		Address:     fmt.Sprintf("10.%d.%d.%d:9000", 200+number>>16, number>>8&0xff, number&0xff),
		Zone:        zoneName(number),
		Slots:       2,
		Connections: 2000,
	}
	if number < r.options.Probed {
		_, port, _ := strings.Cut(r.options.ProbeListen, ":")
		target.Admin = fmt.Sprintf("127.%d.%d.%d:%s", 20+number>>16, number>>8&0xff, number&0xff, port)
	}
	return target
}

// changeStride spreads the changes over the services.
const changeStride = 7919

// changed returns a service with one target's capacity changed.
func (r *runner) changed(number int) *beamdoorv1.Service {
	service := r.service(number * changeStride % r.options.Services)
	if len(service.Targets) > 0 {
		service.Targets[0].Connections += uint32(number + 1)
	}
	return service
}

// loadEndpoint answers for all probed targets.
type loadEndpoint struct{}

var _ beamdoorv1connect.TargetServiceHandler = loadEndpoint{}

// hollowUptime is the uptime that probed targets report, in milliseconds.
const hollowUptime = 1_000_000

// Load implements the target's API.
func (loadEndpoint) Load(context.Context, *connect.Request[beamdoorv1.LoadRequest]) (*connect.Response[beamdoorv1.LoadResponse], error) {
	return connect.NewResponse(&beamdoorv1.LoadResponse{Ready: true, UptimeMs: hollowUptime, Run: 1}), nil
}

// Drain implements the target's API.
func (loadEndpoint) Drain(context.Context, *connect.Request[beamdoorv1.DrainRequest]) (*connect.Response[beamdoorv1.DrainResponse], error) {
	return connect.NewResponse(&beamdoorv1.DrainResponse{}), nil
}

func loadHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(beamdoorv1connect.NewTargetServiceHandler(loadEndpoint{}))
	return mux
}
