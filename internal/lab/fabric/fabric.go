// Package fabric is the stand-in for the network that sprays each packet over
// the balancers. It takes callers' packets at the services' addresses, puts
// the proxy header before them, and brings the answers back. It can lose,
// duplicate, delay and reorder packets and cut machines off while it runs.
package fabric

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"

	labv1 "github.com/beamdoor/beamdoor/api/beamdoor/lab/v1"
	"github.com/beamdoor/beamdoor/api/beamdoor/lab/v1/labv1connect"
	"github.com/beamdoor/beamdoor/internal/proxyheader"
	"github.com/beamdoor/beamdoor/internal/steperror"
)

const (
	datagramSize = 2048
	socketBuffer = 4 << 20
	listInterval = 200 * time.Millisecond
	listTimeout  = time.Second
)

// Settings are the addresses of the fabric.
type Settings struct {
	// Services are the virtual addresses that callers use.
	Services []string
	// Return takes the targets' answers, and Egress the balancers' packets for
	// callers.
	Return   string
	Egress   string
	Admin    string
	Platform string
	Seed     uint64
}

// machine is one balancer as the platform lists it.
type machine struct {
	name    string
	callers netip.AddrPort
	targets netip.AddrPort
}

// Fabric moves the packets.
type Fabric struct {
	settings Settings
	services map[netip.AddrPort]*net.UDPConn
	back     *net.UDPConn
	egress   *net.UDPConn

	mutex  sync.Mutex
	random *rand.Rand
	live   []machine
	faults *labv1.SetFaultsRequest
	cut    map[string]bool
}

var _ labv1connect.FabricServiceHandler = (*Fabric)(nil)

// New opens the fabric's sockets.
func New(settings Settings) (*Fabric, error) {
	fabric := &Fabric{
		settings: settings,
		services: map[netip.AddrPort]*net.UDPConn{},
		random:   rand.New(rand.NewPCG(settings.Seed, settings.Seed)),
		faults:   &labv1.SetFaultsRequest{},
		cut:      map[string]bool{},
	}
	for _, address := range settings.Services {
		connection, parsed, err := listen(address)
		if err != nil {
			return nil, err
		}
		fabric.services[parsed] = connection
	}
	var err error
	if fabric.back, _, err = listen(settings.Return); err != nil {
		return nil, err
	}
	if fabric.egress, _, err = listen(settings.Egress); err != nil {
		return nil, err
	}
	return fabric, nil
}

func listen(address string) (*net.UDPConn, netip.AddrPort, error) {
	const step = "fabric.listen"
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, parsed, steperror.Wrap(step, address, err)
	}
	connection, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(parsed))
	if err != nil {
		return nil, parsed, steperror.Wrap(step, address, err)
	}
	_ = connection.SetReadBuffer(socketBuffer)
	_ = connection.SetWriteBuffer(socketBuffer)
	return connection, parsed, nil
}

// Run moves packets until the context ends.
func (f *Fabric) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", f.settings.Admin)
	if err != nil {
		return steperror.Wrap("fabric.listen", f.settings.Admin, err)
	}
	mux := http.NewServeMux()
	mux.Handle(labv1connect.NewFabricServiceHandler(f))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	for address, connection := range f.services {
		go f.runCallers(address, connection)
	}
	go f.runReturn()
	go f.runEgress()
	f.followPlatform(ctx)
	f.close()
	return server.Close()
}

func (f *Fabric) close() {
	for _, connection := range f.services {
		_ = connection.Close()
	}
	_ = f.back.Close()
	_ = f.egress.Close()
}

// followPlatform takes over the platform's list until the context ends.
func (f *Fabric) followPlatform(ctx context.Context) {
	client := labv1connect.NewPlatformServiceClient(&http.Client{Timeout: listTimeout}, "http://"+f.settings.Platform)
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		response, err := client.List(ctx, connect.NewRequest(&labv1.ListRequest{}))
		if err == nil {
			f.adopt(response.Msg)
		}
	}
}

func (f *Fabric) adopt(list *labv1.ListResponse) {
	var live []machine
	for _, entry := range list.Machines {
		if !entry.Live {
			continue
		}
		callers, err := netip.ParseAddrPort(entry.Callers)
		if err != nil {
			continue
		}
		targets, err := netip.ParseAddrPort(entry.Targets)
		if err != nil {
			continue
		}
		live = append(live, machine{name: entry.Name, callers: callers, targets: targets})
	}
	f.mutex.Lock()
	f.live = live
	f.mutex.Unlock()
}

// SetFaults implements the fabric's API.
func (f *Fabric) SetFaults(_ context.Context, request *connect.Request[labv1.SetFaultsRequest]) (*connect.Response[labv1.SetFaultsResponse], error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.faults = request.Msg
	f.cut = map[string]bool{}
	for _, name := range request.Msg.Cut {
		f.cut[name] = true
	}
	return connect.NewResponse(&labv1.SetFaultsResponse{}), nil
}

// fate is what happens to one packet.
type fate struct {
	to     machine
	lost   bool
	copies int
	delay  time.Duration
}

func (f *Fabric) draw() fate {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	drawn := fate{copies: 1}
	if len(f.live) == 0 {
		drawn.lost = true
		return drawn
	}
	drawn.to = f.live[f.random.IntN(len(f.live))]
	drawn.lost = f.random.Float64() < f.faults.Loss || f.cut[drawn.to.name]
	if f.random.Float64() < f.faults.Duplicate {
		drawn.copies = 2
	}
	drawn.delay = time.Duration(f.faults.DelayUs) * time.Microsecond
	if f.faults.JitterUs > 0 {
		drawn.delay += time.Duration(f.random.IntN(int(f.faults.JitterUs))) * time.Microsecond
	}
	if f.random.Float64() < f.faults.Reorder {
		drawn.delay += reorderDelay
	}
	return drawn
}

// reorderDelay lets later packets overtake one that is reordered.
const reorderDelay = 5 * time.Millisecond

// carry sends a packet by its fate; delayed packets need their own copy.
func carry(drawn fate, connection *net.UDPConn, to netip.AddrPort, data []byte) {
	if drawn.lost {
		return
	}
	for range drawn.copies {
		if drawn.delay == 0 {
			_, _ = connection.WriteToUDPAddrPort(data, to)
			continue
		}
		copied := append([]byte(nil), data...)
		time.AfterFunc(drawn.delay, func() { _, _ = connection.WriteToUDPAddrPort(copied, to) })
	}
}

// runCallers takes the packets of callers to one service.
func (f *Fabric) runCallers(service netip.AddrPort, connection *net.UDPConn) {
	buffer := make([]byte, datagramSize)
	var framed []byte
	for {
		size, caller, err := connection.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		caller = netip.AddrPortFrom(caller.Addr().Unmap(), caller.Port())
		framed, err = proxyheader.Append(framed[:0], proxyheader.Header{Source: caller, Destination: service})
		if err != nil {
			continue
		}
		framed = append(framed, buffer[:size]...)
		drawn := f.draw()
		carry(drawn, f.egress, drawn.to.callers, framed)
	}
}

// runReturn sprays the targets' answers over the balancers.
func (f *Fabric) runReturn() {
	buffer := make([]byte, datagramSize)
	for {
		size, _, err := f.back.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		drawn := f.draw()
		carry(drawn, f.back, drawn.to.targets, buffer[:size])
	}
}

// runEgress brings the balancers' packets to the callers, from the service's
// own address.
func (f *Fabric) runEgress() {
	buffer := make([]byte, datagramSize)
	reader := proxyheader.NewReader()
	for {
		size, _, err := f.egress.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		header, payload, err := reader.Read(buffer[:size])
		if err != nil {
			continue
		}
		if connection := f.services[header.Source]; connection != nil {
			_, _ = connection.WriteToUDPAddrPort(payload, header.Destination)
		}
	}
}
