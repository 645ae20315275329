// Package e2e runs the product's processes in one test process, with sockets,
// disks and an unmodified CoAP client.
package e2e

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/message/pool"
	"github.com/plgd-dev/go-coap/v3/options"
	"github.com/plgd-dev/go-coap/v3/udp"
	"github.com/plgd-dev/go-coap/v3/udp/client"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
	"github.com/beamdoor/beamdoor/api/beamdoor/v1/beamdoorv1connect"
	"github.com/beamdoor/beamdoor/internal/adminclient"
	"github.com/beamdoor/beamdoor/internal/balancer"
	"github.com/beamdoor/beamdoor/internal/config"
	"github.com/beamdoor/beamdoor/internal/control"
	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/lab/backend"
	"github.com/beamdoor/beamdoor/internal/lab/fabric"
	"github.com/beamdoor/beamdoor/internal/lab/platform"
	"github.com/beamdoor/beamdoor/internal/lab/target"
	"github.com/beamdoor/beamdoor/internal/routing"
	"github.com/beamdoor/beamdoor/internal/settings"
)

// patience bounds every wait; nothing is judged by how long it takes.
const patience = 60 * time.Second

// nextPort counts the ports given out. They lie below the range from which the
// system takes ports for outgoing connections.
var nextPort atomic.Uint32

// freeAddress returns an address of its own for each use: the loopback IP
// belongs to this process, and the port is given out once.
func freeAddress() string {
	const firstPort = 20000
	pid := os.Getpid()
	ip := netip.AddrFrom4([4]byte{127, byte(64 + pid>>16&0x3f), byte(pid >> 8), byte(pid)})
	return netip.AddrPortFrom(ip, uint16(firstPort+nextPort.Add(1))).String()
}

// system is a whole set-up in this process.
type system struct {
	t         *testing.T
	folder    string
	members   []settings.Member
	booking   string
	documents string
	back      string
	egress    string
	targets   []config.Target
	platform  *platform.Settings
	api       *adminclient.Client
	group     sync.WaitGroup
	stops     []context.CancelFunc
}

// spawn runs something until the test ends or the returned function is called.
func (s *system) spawn(run func(context.Context) error) context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	s.stops = append(s.stops, cancel)
	s.group.Add(1)
	go func() {
		defer s.group.Done()
		assert.NoError(s.t, run(ctx))
	}()
	return cancel
}

func newSystem(t *testing.T, balancers int) *system {
	s := &system{t: t, folder: t.TempDir(), booking: freeAddress(), documents: freeAddress(), back: freeAddress(), egress: freeAddress()}
	s.platform = &platform.Settings{Listen: freeAddress(), Lag: 200 * time.Millisecond}
	var admin []string
	for id := uint32(1); id <= 3; id++ {
		member := settings.Member{ID: id, Peer: freeAddress(), Nodes: freeAddress(), Admin: freeAddress()}
		s.members = append(s.members, member)
		admin = append(admin, member.Admin)
	}
	s.api = adminclient.New(admin, patience)
	for id := uint32(1); id <= 3; id++ {
		s.startControl(id)
	}
	for i := range 3 {
		s.startTarget(fmt.Sprintf("booking-%d", i), s.booking)
	}
	s.startTarget("documents-0", s.documents)
	for i := range balancers {
		s.startBalancer(i)
	}
	s.spawn(platform.New(s.platform).Run)
	running, err := fabric.New(fabric.Settings{
		Services: []string{s.booking, s.documents}, Return: s.back, Egress: s.egress,
		Admin: freeAddress(), Platform: s.platform.Listen, Seed: 1,
	})
	require.NoError(t, err)
	s.spawn(running.Run)
	t.Cleanup(func() {
		for _, stop := range s.stops {
			stop()
		}
		s.group.Wait()
	})
	return s
}

func (s *system) startControl(id uint32) context.CancelFunc {
	loaded := &settings.Control{ID: id, DataFolder: filepath.Join(s.folder, fmt.Sprint(id)), Bootstrap: true, Members: s.members}
	process, err := control.OpenProcess(loaded, control.DefaultSettings(), eventlog.Discard())
	require.NoError(s.t, err)
	return s.spawn(process.Run)
}

func (s *system) startTarget(name, service string) {
	address, admin := freeAddress(), freeAddress()
	running, err := target.New(target.Settings{
		Backend: backend.Settings{Name: name, Slots: 2, Queue: 64, ServiceTime: time.Millisecond, Notify: 100 * time.Millisecond, Seed: 1},
		Listen:  address, Admin: admin, Return: s.back, Service: service,
	})
	require.NoError(s.t, err)
	s.spawn(running.Run)
	s.targets = append(s.targets, config.Target{Name: name, Address: address, Admin: admin, Zone: "z"})
}

func (s *system) startBalancer(number int) {
	loaded := &settings.Balancer{
		Name: fmt.Sprintf("b%d", number), Zone: "z", Cell: 1, Fabric: s.egress,
		Callers: freeAddress(), Targets: freeAddress(), Peers: freeAddress(), Admin: freeAddress(),
	}
	for _, member := range s.members {
		loaded.Control = append(loaded.Control, member.Nodes)
	}
	process, err := balancer.NewProcess(loaded, routing.DefaultSettings(), eventlog.Discard())
	require.NoError(s.t, err)
	force := make(chan struct{})
	s.spawn(func(ctx context.Context) error {
		<-ctx.Done()
		close(force)
		return nil
	})
	s.spawn(func(context.Context) error { return process.Run(context.Background(), force) })
	s.platform.Machines = append(s.platform.Machines, platform.Machine{Name: loaded.Name, Callers: loaded.Callers, Targets: loaded.Targets, Admin: loaded.Admin})
}

// configure applies both services and waits until they are in force.
func (s *system) configure() {
	var file bytes.Buffer
	fmt.Fprintf(&file, "services:\n")
	for name, address := range map[string]string{"booking": s.booking, "documents": s.documents} {
		fmt.Fprintf(&file, "  - name: %s\n    address: %s\n    targets:\n", name, address)
		for _, added := range s.targets {
			if strings.HasPrefix(added.Name, name) {
				fmt.Fprintf(&file, "      - {name: %s, address: '%s', admin: '%s'}\n", added.Name, added.Address, added.Admin)
			}
		}
	}
	parsed, err := config.Parse("e2e.yaml", file.Bytes())
	require.NoError(s.t, err)
	request := &beamdoorv1.ApplyRequest{RequestId: adminclient.NewRequestID(), Author: "e2e", Services: parsed.Services, BaseRevision: s.status().Revision}
	response, err := adminclient.Call(s.t.Context(), s.api, func(ctx context.Context, api beamdoorv1connect.AdminServiceClient) (*connect.Response[beamdoorv1.WriteResponse], error) {
		return api.Apply(ctx, connect.NewRequest(request))
	})
	require.NoError(s.t, err)
	require.Eventually(s.t, func() bool { return s.status().InForceRevision >= response.Revision }, patience, 50*time.Millisecond)
}

// status returns the leader's status, or an empty one while nobody leads.
func (s *system) status() *beamdoorv1.StatusResponse {
	for _, member := range s.members {
		api := beamdoorv1connect.NewAdminServiceClient(s.api.HTTP(), "http://"+member.Admin)
		response, err := api.Status(s.t.Context(), connect.NewRequest(&beamdoorv1.StatusRequest{}))
		if err == nil && response.Msg.LeaderId == response.Msg.MemberId {
			return response.Msg
		}
	}
	return &beamdoorv1.StatusResponse{}
}

func (s *system) awaitBalancers(count int) {
	require.Eventually(s.t, func() bool {
		status := s.status()
		leases := 0
		for _, known := range status.Balancers {
			if known.LeaseLeftMs > 0 {
				leases++
			}
		}
		return leases == count
	}, patience, 100*time.Millisecond)
}

func (s *system) dial(address string) *client.Conn {
	connection, err := udp.Dial(address, options.WithErrors(func(error) {}))
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = connection.Close() })
	return connection
}

// TestUnmodifiedClient sends requests, observes and downloads with the CoAP
// library's client as it comes.
func TestUnmodifiedClient(t *testing.T) {
	s := newSystem(t, 3)
	s.awaitBalancers(3)
	s.configure()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()

	connection := s.dial(s.booking)
	var owner string
	for number := range 10 {
		id := fmt.Sprintf("request-%d", number)
		response, err := connection.Post(ctx, "/book", message.TextPlain, strings.NewReader(id))
		require.NoError(t, err)
		body, err := response.ReadBody()
		require.NoError(t, err)
		name, echoed, _ := strings.Cut(string(body), " ")
		assert.Equal(t, id, echoed, "every answer belongs to its request")
		if owner == "" {
			owner = name
		}
		assert.Equal(t, owner, name, "the flow keeps its target")
	}

	notified := make(chan string, 64)
	_, err := s.dial(s.booking).Observe(ctx, "/board", func(received *pool.Message) {
		if body, err := received.ReadBody(); err == nil && received.Code() == codes.Content {
			notified <- string(body)
		}
	})
	require.NoError(t, err)
	first, _, _ := strings.Cut(<-notified, " ")
	for range 5 {
		name, _, _ := strings.Cut(<-notified, " ")
		assert.Equal(t, first, name)
	}

	response, err := s.dial(s.documents).Get(ctx, backend.DocumentPath, message.Option{ID: message.URIQuery, Value: []byte("name=a")})
	require.NoError(t, err)
	body, err := response.ReadBody()
	require.NoError(t, err)
	assert.True(t, bytes.Equal(backend.Document("name=a"), body), "the whole document")
}

// TestControlMembersRestartOnTheirDisks stops every control member and starts
// it again from its folder: nothing that was accepted is gone.
func TestControlMembersRestartOnTheirDisks(t *testing.T) {
	s := newSystem(t, 1)
	s.awaitBalancers(1)
	s.configure()
	before := s.status().Revision
	for _, stop := range s.stops[:3] {
		stop()
	}
	time.Sleep(500 * time.Millisecond)
	for id := uint32(1); id <= 3; id++ {
		s.startControl(id)
	}
	s.awaitBalancers(1)
	assert.GreaterOrEqual(t, s.status().Revision, before)
}
