package scale

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/HdrHistogram/hdrhistogram-go"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
	"github.com/beamdoor/beamdoor/api/beamdoor/v1/beamdoorv1connect"
	"github.com/beamdoor/beamdoor/internal/adminclient"
	"github.com/beamdoor/beamdoor/internal/steperror"
)

// Options choose one run.
type Options struct {
	// Admin and Nodes are the control members' addresses for operators and for
	// balancers.
	Admin []string
	Nodes []string
	// Hollow, Targets, Services and Changes are sizes.
	Hollow   int
	Targets  int
	Services int
	Changes  int
	// Rate is the largest number of changes a second.
	Rate float64
	// Probed is the number of targets that the control plane asks for their load.
	Probed int
	// ProbeListen is the address that answers for all probed targets.
	ProbeListen string
	// FirstCell is the number of the first hollow cell.
	FirstCell uint32
	// Idle is how long the fleet is watched without changes.
	Idle time.Duration
}

const (
	joinLimit    = 3 * time.Minute
	changeLimit  = time.Minute
	applyBatch   = 500
	callTimeout  = 20 * time.Second
	longestDelay = int64(time.Minute / time.Microsecond)
	significant  = 3
	// settleWait lets what the joining started come to rest.
	settleWait = 5 * time.Second
	// restartEvery makes one in six nodes restart: a zone.
	restartEvery = zoneCount
)

// Row is the measurement of one run, in the order of its columns.
type Row struct {
	Nodes, Targets, Services, Probed, Changes int
	// Join and Reconnect are the times in seconds until every node has joined
	// after a start, and until every node has a revision that was written after
	// all connections broke. Restart is the time until a zone's nodes, all
	// restarted at once, are back in their views.
	Join, Reconnect, Restart float64
	// InForce50, InForce99 and InForceMax are the times in seconds until a
	// change is in force on every node.
	InForce50, InForce99, InForceMax float64
	// NodeSent and NodeReceived are bytes a second of a node at rest, and
	// ChangeReceived what one change adds to a node on average, in bytes.
	NodeSent, NodeReceived, ChangeReceived float64
	// NodeCore and the members' are shares of a core at rest.
	NodeCore, LeaderCore, FollowerCore float64
	// LeaderMegabytes and NodeMegabytes are resident memory.
	LeaderMegabytes, NodeMegabytes float64
	// WriteMilliseconds is the mean time of a write until it is accepted.
	WriteMilliseconds float64
}

// runner carries one run out.
type runner struct {
	options Options
	out     io.Writer
	fleet   *fleet
	client  *adminclient.Client
	row     Row
}

// Run measures one size.
func Run(ctx context.Context, out io.Writer, options Options) (Row, error) {
	measured := &runner{
		options: options,
		out:     out,
		fleet:   newFleet(options),
		client:  adminclient.New(options.Admin, callTimeout),
		row:     Row{Nodes: options.Hollow, Targets: options.Targets, Services: options.Services, Probed: options.Probed, Changes: options.Changes},
	}
	if options.Probed > 0 {
		listener, err := net.Listen("tcp", options.ProbeListen)
		if err != nil {
			return Row{}, steperror.Wrap("scale.listen", options.ProbeListen, err)
		}
		server := &http.Server{Handler: loadHandler(), ReadHeaderTimeout: time.Second}
		go func() { _ = server.Serve(listener) }()
		defer func() { _ = server.Close() }()
	}
	steps := []func(context.Context) error{
		measured.configure, measured.join, measured.rest, measured.change, measured.reconnectAll, measured.restartZone,
	}
	defer measured.fleet.stop()
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return measured.row, err
		}
	}
	return measured.row, measured.fleet.failed()
}

func (r *runner) say(format string, values ...any) { fmt.Fprintf(r.out, format+"\n", values...) }

// configure writes all services, some in each write.
func (r *runner) configure(ctx context.Context) error {
	services := r.services()
	start := time.Now()
	for len(services) > 0 {
		batch := services[:min(applyBatch, len(services))]
		services = services[len(batch):]
		if _, err := r.apply(ctx, batch); err != nil {
			return err
		}
	}
	taken := time.Since(start).Round(time.Millisecond)
	r.say("configured %d services with %d targets in %s", r.options.Services, r.options.Targets, taken)
	return nil
}

// apply writes services on the newest revision. Nobody else writes.
func (r *runner) apply(ctx context.Context, services []*beamdoorv1.Service) (uint64, error) {
	newest, err := adminclient.Call(ctx, r.client, func(ctx context.Context, api beamdoorv1connect.AdminServiceClient) (*connect.Response[beamdoorv1.HistoryResponse], error) {
		return api.History(ctx, connect.NewRequest(&beamdoorv1.HistoryRequest{Limit: 1}))
	})
	if err != nil {
		return 0, err
	}
	request := &beamdoorv1.ApplyRequest{RequestId: adminclient.NewRequestID(), Author: "scale", Services: services}
	if len(newest.Entries) > 0 {
		request.BaseRevision = newest.Entries[0].Revision
	}
	response, err := adminclient.Call(ctx, r.client, func(ctx context.Context, api beamdoorv1connect.AdminServiceClient) (*connect.Response[beamdoorv1.WriteResponse], error) {
		return api.Apply(ctx, connect.NewRequest(request))
	})
	if err != nil {
		return 0, err
	}
	return response.Revision, nil
}

func (r *runner) join(context.Context) error {
	start := time.Now()
	r.fleet.start()
	if _, err := r.fleet.awaitJoined(joinLimit); err != nil {
		return err
	}
	r.row.Join = time.Since(start).Seconds()
	r.say("%d nodes have joined in %.1f s", r.options.Hollow, r.row.Join)
	return nil
}

// rest measures a while without changes.
func (r *runner) rest(context.Context) error {
	time.Sleep(settleWait)
	before, own := r.memberUsages(), ownUsage()
	sentBefore, receivedBefore := r.fleet.traffic()
	time.Sleep(r.options.Idle)
	after, ownAfter := r.memberUsages(), ownUsage()
	sent, received := r.fleet.traffic()
	seconds := r.options.Idle.Seconds()
	nodes := float64(r.options.Hollow)
	r.row.NodeSent = float64(sent-sentBefore) / seconds / nodes
	r.row.NodeReceived = float64(received-receivedBefore) / seconds / nodes
	r.row.NodeCore = (ownAfter.processor - own.processor).Seconds() / seconds / nodes
	r.row.NodeMegabytes = ownAfter.resident / nodes / megabyte
	r.noteMembers(before, after, seconds)
	r.say("at rest: a node sends %.0f and receives %.0f B/s, the leader takes %.2f of a core, a follower %.2f",
		r.row.NodeSent, r.row.NodeReceived, r.row.LeaderCore, r.row.FollowerCore)
	return nil
}

func (r *runner) noteMembers(before, after []usage, seconds float64) {
	followers := 0
	for i := range after {
		share := (after[i].processor - before[i].processor).Seconds() / seconds
		if after[i].leads {
			r.row.LeaderCore = share
			r.row.LeaderMegabytes = after[i].resident / megabyte
			continue
		}
		followers++
		r.row.FollowerCore += share
	}
	r.row.FollowerCore /= float64(max(followers, 1))
}

func (r *runner) memberUsages() []usage {
	var list []usage
	for _, admin := range r.options.Admin {
		spent, err := memberUsage(r.client.HTTP(), admin)
		if err != nil {
			r.fleet.fail(err)
		}
		list = append(list, spent)
	}
	return list
}

// change makes the changes and follows each until it is in force everywhere.
func (r *runner) change(ctx context.Context) error {
	if r.options.Changes == 0 {
		return nil
	}
	delays := hdrhistogram.New(1, longestDelay, significant)
	var writing time.Duration
	_, receivedBefore := r.fleet.traffic()
	begun := time.Now()
	for number := range r.options.Changes {
		start := time.Now()
		accepted, taken, err := r.changeOne(ctx, number)
		if err != nil {
			return err
		}
		writing += accepted
		_ = delays.RecordValue(taken.Microseconds())
		time.Sleep(time.Duration(float64(time.Second)/r.options.Rate) - time.Since(start))
	}
	_, received := r.fleet.traffic()
	changes := float64(r.options.Changes)
	nodes := float64(r.options.Hollow)
	resting := r.row.NodeReceived * nodes * time.Since(begun).Seconds()
	r.row.ChangeReceived = (float64(received-receivedBefore) - resting) / nodes / changes
	r.row.InForce50 = seconds(delays.ValueAtPercentile(50))
	r.row.InForce99 = seconds(delays.ValueAtPercentile(99))
	r.row.InForceMax = seconds(delays.Max())
	r.row.WriteMilliseconds = writing.Seconds() * 1000 / changes
	r.say("%d changes in force everywhere after p50 %.2f s, p99 %.2f s, max %.2f s; a write takes %.1f ms",
		r.options.Changes, r.row.InForce50, r.row.InForce99, r.row.InForceMax, r.row.WriteMilliseconds)
	return nil
}

func seconds(microseconds int64) float64 { return float64(microseconds) / 1e6 }

// changeOne returns the time until a change was accepted, and from then until
// it was in force on every node.
func (r *runner) changeOne(ctx context.Context, number int) (accepted, inForce time.Duration, err error) {
	start := time.Now()
	revision, err := r.apply(ctx, []*beamdoorv1.Service{r.changed(number)})
	if err != nil {
		return 0, 0, err
	}
	answered := time.Now()
	inForce, err = r.fleet.await(r.fleet.watch(revision, answered), changeLimit)
	return answered.Sub(start), inForce, err
}

// reconnectAll breaks all connections and makes a change at the same time.
func (r *runner) reconnectAll(ctx context.Context) error {
	r.fleet.reconnect()
	start := time.Now()
	if _, _, err := r.changeOne(ctx, r.options.Changes); err != nil {
		return err
	}
	r.row.Reconnect = time.Since(start).Seconds()
	r.say("a change made while all connections were broken was in force everywhere after %.1f s", r.row.Reconnect)
	return nil
}

// restartZone restarts the nodes of a zone at once and waits until all are
// back in their views.
func (r *runner) restartZone(context.Context) error {
	count := r.fleet.restart(restartEvery)
	time.Sleep(tickInterval)
	start := time.Now()
	if _, err := r.fleet.awaitJoined(joinLimit); err != nil {
		return err
	}
	r.row.Restart = time.Since(start).Seconds()
	r.say("%d nodes are back %.1f s after they restarted at once", count, r.row.Restart)
	return nil
}
