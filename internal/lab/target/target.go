// Package target is the stand-in process for a back end: a socket, an
// administration endpoint and a journal of what ran around the core in
// package backend.
package target

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"connectrpc.com/connect"

	labv1 "github.com/beamdoor/beamdoor/api/beamdoor/lab/v1"
	"github.com/beamdoor/beamdoor/api/beamdoor/lab/v1/labv1connect"
	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
	"github.com/beamdoor/beamdoor/api/beamdoor/v1/beamdoorv1connect"
	"github.com/beamdoor/beamdoor/internal/kernel"
	"github.com/beamdoor/beamdoor/internal/lab/backend"
	"github.com/beamdoor/beamdoor/internal/proxyheader"
	"github.com/beamdoor/beamdoor/internal/steperror"
)

const (
	datagramSize = 2048
	socketBuffer = 4 << 20
	journalMode  = 0o640
	// shortestWait keeps a core that is always due from spinning.
	shortestWait = time.Millisecond
)

// Settings are the settings of a target.
type Settings struct {
	Backend backend.Settings
	Listen  string
	Admin   string
	Return  string
	Service string
	Journal string
}

// Target is a running back end.
type Target struct {
	settings Settings
	service  netip.AddrPort
	back     netip.AddrPort
	socket   *net.UDPConn
	journal  *os.File
	started  time.Time

	mutex sync.Mutex
	core  *backend.Backend
}

var (
	_ beamdoorv1connect.TargetServiceHandler = (*Target)(nil)
	_ labv1connect.TargetLabServiceHandler   = (*Target)(nil)
)

// New opens the target's socket and journal.
func New(settings Settings) (*Target, error) {
	const step = "target.open"
	listen, err := netip.ParseAddrPort(settings.Listen)
	if err != nil {
		return nil, steperror.Wrap(step, settings.Listen, err)
	}
	target := &Target{settings: settings, started: time.Now()}
	if target.service, err = netip.ParseAddrPort(settings.Service); err != nil {
		return nil, steperror.Wrap(step, settings.Service, err)
	}
	if target.back, err = netip.ParseAddrPort(settings.Return); err != nil {
		return nil, steperror.Wrap(step, settings.Return, err)
	}
	settings.Backend.Service = target.service
	settings.Backend.Run = uint64(target.started.UnixNano())
	target.core = backend.New(target.now(), settings.Backend)
	if settings.Journal != "" {
		target.journal, err = os.OpenFile(settings.Journal, os.O_CREATE|os.O_WRONLY|os.O_APPEND, journalMode)
		if err != nil {
			return nil, steperror.Wrap(step, settings.Journal, err)
		}
	}
	if target.socket, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen)); err != nil {
		return nil, steperror.Wrap(step, settings.Listen, err)
	}
	_ = target.socket.SetReadBuffer(socketBuffer)
	return target, nil
}

func (t *Target) now() kernel.Instant { return kernel.Instant(time.Since(t.started)) }

// Run serves until the context ends.
func (t *Target) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", t.settings.Admin)
	if err != nil {
		return steperror.Wrap("target.listen", t.settings.Admin, err)
	}
	mux := http.NewServeMux()
	mux.Handle(beamdoorv1connect.NewTargetServiceHandler(t))
	mux.Handle(labv1connect.NewTargetLabServiceHandler(t))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	go t.read()
	<-ctx.Done()
	_ = t.socket.Close()
	return server.Close()
}

// read takes packets, and lets time pass between them: the read deadline is
// when the core has something to do.
func (t *Target) read() {
	reader := proxyheader.NewReader()
	buffer := make([]byte, datagramSize)
	for {
		t.mutex.Lock()
		wait := max(t.core.Due().Sub(t.now()), shortestWait)
		t.mutex.Unlock()
		_ = t.socket.SetReadDeadline(time.Now().Add(wait))
		size, _, err := t.socket.ReadFromUDPAddrPort(buffer)
		if err != nil && !isTimeout(err) {
			return
		}
		t.mutex.Lock()
		if err == nil {
			t.receive(reader, buffer[:size])
		}
		t.carryOut(t.core.Tick(t.now()))
		t.mutex.Unlock()
	}
}

func isTimeout(err error) bool {
	network, ok := err.(net.Error)
	return ok && network.Timeout()
}

func (t *Target) receive(reader *proxyheader.Reader, packet []byte) {
	header, payload, err := reader.Read(packet)
	if err != nil {
		return
	}
	t.carryOut(t.core.Receive(t.now(), header, payload))
}

// carryOut sends the replies and writes the journal. A request is in the
// journal before its answer is sent.
func (t *Target) carryOut(events []backend.Event) {
	for _, event := range events {
		switch event.Kind {
		case backend.Reply:
			t.send(event)
		case backend.Ran:
			t.write("ran", event.ID)
		case backend.Foreign:
			t.write("foreign", "-")
		}
	}
}

func (t *Target) write(kind, id string) {
	if t.journal != nil {
		fmt.Fprintf(t.journal, "%s %s %s\n", kind, t.core.Name(), id)
	}
}

// send brings a reply back through the fabric, with the header turned round
// and the tag of the request.
func (t *Target) send(event backend.Event) {
	header := proxyheader.Header{Source: t.service, Destination: event.Caller, Tag: &event.Tag}
	framed, err := proxyheader.Append(nil, header)
	if err != nil {
		return
	}
	_, _ = t.socket.WriteToUDPAddrPort(append(framed, event.Payload...), t.back)
}

// Load implements the target's API.
func (t *Target) Load(context.Context, *connect.Request[beamdoorv1.LoadRequest]) (*connect.Response[beamdoorv1.LoadResponse], error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return connect.NewResponse(t.core.Load(t.now())), nil
}

// Drain implements the target's API.
func (t *Target) Drain(_ context.Context, request *connect.Request[beamdoorv1.DrainRequest]) (*connect.Response[beamdoorv1.DrainResponse], error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.core.Drain(request.Msg.Draining)
	return connect.NewResponse(&beamdoorv1.DrainResponse{}), nil
}

// SetBehaviour implements the lab's API.
func (t *Target) SetBehaviour(_ context.Context, request *connect.Request[labv1.SetBehaviourRequest]) (*connect.Response[labv1.SetBehaviourResponse], error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.core.SetBehaviour(backend.Behaviour{
		ReportLag: time.Duration(request.Msg.ReportLagMs) * time.Millisecond,
		Lie:       request.Msg.Lie,
		NotReady:  request.Msg.NotReady,
	})
	return connect.NewResponse(&labv1.SetBehaviourResponse{}), nil
}
