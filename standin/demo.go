package standin

import (
	"fmt"
	"io"
	"net/netip"
	"slices"
	"syscall"
	"time"
)

// The services and addresses of the demonstration.
const (
	boardService    = "boards"
	documentService = "documents"
)

var (
	boardAddress    = netip.MustParseAddrPort("198.18.0.1:8443")
	bookingAddress  = netip.MustParseAddrPort("198.18.0.1:8080")
	uploadAddress   = netip.MustParseAddrPort("198.18.0.1:8444")
	documentAddress = netip.MustParseAddrPort("198.18.0.2:8443")
)

func routes() []Route {
	return []Route{
		{Name: "board", Virtual: boardAddress, Services: []string{boardService}, Kind: "safe"},
		{Name: "booking", Virtual: bookingAddress, Services: []string{boardService}, Kind: "unsafe"},
		{Name: "upload", Virtual: uploadAddress, Services: []string{boardService}, Kind: "upload"},
		{Name: "document", Virtual: documentAddress, Services: []string{documentService}, Kind: "download"},
	}
}

// Demo runs a fleet under load, then planned maintenance, then faults.
// Quick skips the faults.
type Demo struct {
	Fleet *Fleet
	Out   io.Writer
	Quick bool
}

func (d *Demo) printf(format string, values ...any) {
	_, _ = fmt.Fprintf(d.Out, format+"\n", values...)
}

// Run runs the scenario and returns an error if a step could not be performed. Breaches
// of the rules are in the fleet's report.
func (d *Demo) Run() error {
	if err := d.prepare(); err != nil {
		return err
	}
	d.printf("starting load")
	if err := d.startLoad(); err != nil {
		return err
	}
	steps := []func() error{d.roll, d.release, d.change}
	if !d.Quick {
		steps = append(steps, d.killEdge, d.killMember, d.replaceMember, d.crashTarget, d.restartAll)
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
		time.Sleep(time.Second)
	}
	return d.Fleet.CheckConfiguration()
}

func (d *Demo) prepare() error {
	if err := d.Fleet.Start(); err != nil {
		return err
	}
	for range 6 {
		if _, err := d.Fleet.AddTarget(boardService); err != nil {
			return err
		}
	}
	for range 2 {
		if _, err := d.Fleet.AddTarget(documentService); err != nil {
			return err
		}
	}
	if err := d.Fleet.Configure(routes()); err != nil {
		return err
	}
	return d.Fleet.WaitReady(d.Fleet.settings.Edges, 10*time.Second)
}

func (d *Demo) startLoad() error {
	if err := d.Fleet.startLoad(12); err != nil {
		return err
	}
	time.Sleep(time.Second)
	return nil
}

// uploadSize is the request body size of the upload workload.
const uploadSize = 40_000

// workloads are the workloads that every caller runs.
var workloads = []workload{
	{virtual: boardAddress, request: request{responseSize: 2000}, interval: 100 * time.Millisecond},
	{virtual: bookingAddress, request: request{unsafe: true, responseSize: 600}, interval: 200 * time.Millisecond},
	{virtual: documentAddress, request: request{responseSize: 10_000}, newFlowPerRequest: true, interval: 300 * time.Millisecond},
	{virtual: uploadAddress, request: request{responseSize: 600, uploadSize: uploadSize}, newFlowPerRequest: true, interval: 600 * time.Millisecond},
}

// startLoad starts callers, each running all workloads.
func (f *Fleet) startLoad(callers int) error {
	for number := range callers {
		host, err := newCaller(f, netip.MustParseAddr(f.address(callerNet, number+1)))
		if err != nil {
			return err
		}
		for _, kind := range workloads {
			go host.runWorkload(kind, f.done)
		}
	}
	return nil
}

func (d *Demo) roll() error {
	d.printf("planned: restarting one edge")
	d.Fleet.Stop("edge-1")
	return d.Fleet.Restart("edge-1")
}

func (d *Demo) release() error {
	d.printf("planned: adding a target and draining the one it replaces")
	if _, err := d.Fleet.AddTarget(boardService); err != nil {
		return err
	}
	d.Fleet.targets[0].drain()
	return nil
}

func (d *Demo) change() error {
	d.printf("planned: submitting ten configuration changes")
	for range 10 {
		if err := d.Fleet.Configure(routes()); err != nil {
			return err
		}
	}
	return nil
}

func (d *Demo) killEdge() error {
	d.printf("fault: killing and restarting an edge")
	d.Fleet.Kill("edge-2")
	time.Sleep(time.Second)
	return d.Fleet.Restart("edge-2")
}

func (d *Demo) killMember() error {
	d.printf("fault: pausing a member for two seconds, then wiping the disk of another")
	if err := d.Fleet.Signal("member-1", syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if err := d.Fleet.Signal("member-1", syscall.SIGCONT); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	d.Fleet.Kill("member-2")
	if err := d.Fleet.Wipe("member-2"); err != nil {
		return err
	}
	if err := d.Fleet.Restart("member-2"); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	return d.Fleet.Configure(routes())
}

func (d *Demo) replaceMember() error {
	d.printf("fault: replacing a member with an empty one at another address")
	if err := d.Fleet.ReplaceMember(2); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	return d.Fleet.Configure(routes())
}

func (d *Demo) crashTarget() error {
	d.printf("fault: crashing a target without deregistration")
	d.Fleet.targets[1].crash()
	time.Sleep(4 * time.Second)
	return nil
}

func (d *Demo) restartAll() error {
	d.printf("fault: killing and restarting all members and edges at once")
	names := slices.Clone(d.Fleet.memberNames)
	for number := range d.Fleet.settings.Edges {
		names = append(names, fmt.Sprintf("edge-%d", number+1))
	}
	for _, name := range names {
		d.Fleet.Kill(name)
	}
	for _, name := range names {
		if err := d.Fleet.Restart(name); err != nil {
			return err
		}
	}
	if err := d.Fleet.WaitReady(d.Fleet.settings.Edges, 10*time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	return nil
}
