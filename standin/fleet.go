package standin

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/beamdoor/beamdoor/internal/lab/flowrules"
	"github.com/beamdoor/beamdoor/internal/lab/soak"
)

// Ports used by the fleet, the same at every address.
const (
	defaultPacketPort = 8172
	readyPort         = 8167
	controlPort       = 8166
	innerPort         = 7720
	targetPort        = 8080
)

// Subcommands of beamdoor-node.
const (
	edgeRole   = "edge"
	memberRole = "member"
)

// Settings configure a fleet.
type Settings struct {
	// Program is the path of beamdoor-node.
	Program string
	// Folder holds the settings, data and logs of the processes.
	Folder string
	Edges  int
	Hash   Hash
	// Block is the second octet of all addresses, so that fleets can run side by side.
	Block int
	// Heartbeat is the heartbeat interval of targets; 0 means 400 ms.
	Heartbeat time.Duration
	// Tolerance is the number of simultaneous disk losses to tolerate; 0 means 1. The fleet
	// has 2*Tolerance+1 members.
	Tolerance int
	// ProxyMembers puts a proxy in front of each member's peer protocol. It requires a program
	// built with the tag "soak".
	ProxyMembers bool
	// LinkMbps is the link rate in the edges' settings; 0 means unspecified.
	LinkMbps float64
}

// Third octet of the addresses of each kind of process.
const (
	edgeNet   = 1
	memberNet = 2
	targetNet = 100
	callerNet = 4
	// targetsPerNet is the number of target addresses per third octet.
	targetsPerNet = 200
	// seedCount is the maximum number of seeds in a settings file.
	seedCount = 3
	// hiddenNet is for members behind a proxy.
	hiddenNet = 12
)

// address returns a loopback address of the fleet's block.
func (f *Fleet) address(net, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.settings.Block, net, number)
}

// node is an edge or member process.
type node struct {
	name    string
	role    string
	ip      string
	command *exec.Cmd
	exited  chan struct{}
}

// Fleet runs edges and members as real processes on loopback, with simulated routers,
// targets and callers.
type Fleet struct {
	settings   Settings
	packetPort uint16
	router     *router
	monitor    *monitor
	links      links
	done       chan struct{}
	// settingsWritten counts the edge settings files written.
	settingsWritten atomic.Int64

	mutex sync.Mutex
	nodes map[string]*node
	// members and memberNames are the addresses and names of the current members.
	members     []string
	memberNames []string
	nextMember  int
	// onlySeed, unless empty, replaces the seeds in settings files.
	onlySeed string
	// version is the newest submitted version, acknowledged the newest that a member
	// acknowledged.
	version      uint64
	acknowledged uint64
	targets      []*target
	callers      []*caller
	nextIP       int
	// proxies are the proxies in front of members, by member name.
	proxies map[string]*soak.Proxy
}

// New returns a fleet without starting any process.
func New(settings Settings) *Fleet {
	if settings.Heartbeat == 0 {
		settings.Heartbeat = heartbeatInterval
	}
	return &Fleet{
		settings: settings, packetPort: defaultPacketPort, router: newRouter(settings.Hash), monitor: newMonitor(settings.Folder),
		done: make(chan struct{}), nodes: map[string]*node{}, nextIP: 0, proxies: map[string]*soak.Proxy{},
	}
}

// Report returns the observations of callers and targets so far.
func (f *Fleet) Report() flowrules.Report { return f.monitor.Report() }

// nameOf returns the name of the node with the address, or the address if there is none.
func (f *Fleet) nameOf(from netip.AddrPort) string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for name, running := range f.nodes {
		if running.ip == from.Addr().String() {
			return name
		}
	}
	return from.String()
}

// Start bootstraps the member group and starts the edges.
func (f *Fleet) Start() error {
	go f.monitor.stalls.run(f.done)
	go f.monitor.logs.run(f.done)
	for number := range 2*f.tolerance() + 1 {
		f.members = append(f.members, f.address(memberNet, number+1))
		f.memberNames = append(f.memberNames, fmt.Sprintf("member-%d", number+1))
	}
	f.nextMember = len(f.members) + 1
	for position, ip := range f.members {
		if err := f.startNode(f.memberNames[position], memberRole, ip, true); err != nil {
			return err
		}
	}
	for number := range f.settings.Edges {
		if err := f.AddEdge(number + 1); err != nil {
			return err
		}
	}
	go f.router.run(f.done)
	return nil
}

// tolerance returns the number of simultaneous disk losses to tolerate.
func (f *Fleet) tolerance() int { return max(1, f.settings.Tolerance) }

// AddEdge registers an edge with the routers and starts it.
func (f *Fleet) AddEdge(number int) error {
	ip := f.address(edgeNet, number)
	f.router.add(netip.MustParseAddrPort(fmt.Sprintf("%s:%d", ip, f.packetPort)), fmt.Sprintf("%s:%d", ip, readyPort))
	return f.startNode(fmt.Sprintf("edge-%d", number), edgeRole, ip, true)
}

// ReplaceMember kills a member for good and starts an empty one at a new address.
func (f *Fleet) ReplaceMember(position int) error {
	oldName := f.memberNames[position]
	f.Kill(oldName)
	f.mutex.Lock()
	number := f.nextMember
	f.nextMember++
	ip := f.address(memberNet, number)
	name := fmt.Sprintf("member-%d", number)
	f.members[position] = ip
	f.memberNames[position] = name
	delete(f.nodes, oldName)
	f.mutex.Unlock()
	return f.startNode(name, memberRole, ip, false)
}

// zones are assigned to nodes and targets by address, in rotation.
var zones = []string{"north", "south", "west"}

func zoneOf(ip string) string {
	last := netip.MustParseAddr(ip).As4()[3]
	return zones[int(last)%len(zones)]
}

func (f *Fleet) startNode(name, role, ip string, bootstrap bool) error {
	path, err := f.writeSettings(name, role, ip, bootstrap)
	if err != nil {
		return err
	}
	started := &node{name: name, role: role, ip: ip}
	f.mutex.Lock()
	f.nodes[name] = started
	f.mutex.Unlock()
	if err := f.openProxy(started); err != nil {
		return err
	}
	return f.run(started, path)
}

// openProxy starts the proxy of a member if the fleet uses proxies.
func (f *Fleet) openProxy(started *node) error {
	if !f.settings.ProxyMembers || started.role != memberRole {
		return nil
	}
	proxy, err := soak.NewProxy(fmt.Sprintf("%s:%d", started.ip, innerPort), f.hidden(started.ip))
	if err != nil {
		return err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.proxies[started.name] = proxy
	return nil
}

// machines are the machine limits written to edge settings in rotation: none, and two
// sizes. An edge's limits change when its settings are written again.
var machines = [...]string{
	"",
	"cpuShare = 0.045\ncpuCores = 1\nmemoryMb = 144\nmaxFds = 3075\n",
	"cpuShare = 0.152\ncpuCores = 1\nmemoryMb = 424\nmaxFds = 10250\n",
}

func (f *Fleet) writeSettings(name, role, ip string, bootstrap bool) (string, error) {
	var seeds bytes.Buffer
	f.mutex.Lock()
	members := slices.Clone(f.members)
	f.mutex.Unlock()
	if !bootstrap {
		members = shuffled(members)
	}
	members = shuffled(members[:min(len(members), seedCount)])
	if only := f.currentOnlySeed(); only != "" {
		members = []string{only}
	}
	for position, member := range members {
		if position > 0 {
			seeds.WriteString(",")
		}
		fmt.Fprintf(&seeds, "%q", fmt.Sprintf("%s:%d", member, controlPort))
	}
	listen := fmt.Sprintf("control = \"%s:%d\"\n", ip, controlPort)
	limits := ""
	if role == edgeRole {
		turn := f.settingsWritten.Add(1) % int64(len(machines))
		limits = fmt.Sprintf("[limits]\nlinkMbps = %g\n%s", f.settings.LinkMbps, machines[turn])
		listen = fmt.Sprintf("datagrams = \"%s:%d\"\nready = \"%s:%d\"\n", ip, f.packetPort, ip, readyPort)
	}
	text := fmt.Sprintf(`nodeName = %q
ip = %q
zone = %q
portRange = [%d,%d]
seedNodes = [%s]
bootstrap = %t
dataDir = %q
forwarding = "echo"
config_mode = "highest"
[listen]
%s[faultTolerance]
machines = %d
[bounds]
graceS = 6
%s`, name, ip, zoneOf(ip), innerPort, innerPort+15, seeds.String(), bootstrap, filepath.Join(f.settings.Folder, name+".data"), listen, f.tolerance(), limits)
	path := filepath.Join(f.settings.Folder, name+".toml")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// setOnlySeed makes new settings files name a single seed; "" restores all seeds.
func (f *Fleet) setOnlySeed(ip string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.onlySeed = ip
}

func (f *Fleet) currentOnlySeed() string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.onlySeed
}

func (f *Fleet) run(started *node, settings string) error {
	log, err := os.OpenFile(filepath.Join(f.settings.Folder, started.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(f.settings.Program, started.role, "--settings", settings)
	command.Env = append(os.Environ(), f.environment(started)...)
	command.Stdout = log
	command.Stderr = log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	started.command = command
	started.exited = exited
	return nil
}

// environment returns the variables that the soak build of the program reads.
func (f *Fleet) environment(started *node) []string {
	if !f.settings.ProxyMembers || started.role != memberRole {
		return nil
	}
	hidden := f.hidden(started.ip)
	return []string{"BEAMDOOR_SOAK_LISTEN=" + hidden, "BEAMDOOR_SOAK_DISK=" + f.diskFile(started.name)}
}

// hidden returns the listening address of a member behind a proxy.
func (f *Fleet) hidden(ip string) string {
	last := netip.MustParseAddr(ip).As4()[3]
	return fmt.Sprintf("%s:%d", f.address(hiddenNet, int(last)), innerPort)
}

// diskFile returns the path of the file that selects the disk fault of a member.
func (f *Fleet) diskFile(name string) string { return filepath.Join(f.settings.Folder, name+".disk") }

func (f *Fleet) node(name string) *node {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.nodes[name]
}

// Signal sends a signal to a process of the fleet.
func (f *Fleet) Signal(name string, signal syscall.Signal) error {
	return f.node(name).command.Process.Signal(signal)
}

// Kill sends SIGKILL to a process and waits for it to exit.
func (f *Fleet) Kill(name string) {
	_ = f.Signal(name, syscall.SIGKILL)
	<-f.node(name).exited
}

// Stop sends SIGTERM to a process and waits for it to exit.
func (f *Fleet) Stop(name string) {
	_ = f.Signal(name, syscall.SIGTERM)
	<-f.node(name).exited
}

// Restart starts an exited process again with new settings.
func (f *Fleet) Restart(name string) error {
	stopped := f.node(name)
	path, err := f.writeSettings(name, stopped.role, stopped.ip, false)
	if err != nil {
		return err
	}
	return f.run(stopped, path)
}

// Wipe deletes the data directory of an exited member.
func (f *Fleet) Wipe(name string) error {
	return os.RemoveAll(filepath.Join(f.settings.Folder, name+".data"))
}

// Close stops all targets, callers, proxies and processes.
func (f *Fleet) Close() {
	close(f.done)
	f.mutex.Lock()
	nodes := f.nodes
	proxies := f.proxies
	targets := f.targets
	callers := f.callers
	f.mutex.Unlock()
	for _, t := range targets {
		t.crash()
	}
	for _, c := range callers {
		_ = c.socket.Close()
	}
	for _, proxy := range proxies {
		proxy.Close()
	}
	for _, running := range nodes {
		if running.command == nil {
			continue // the process failed to start
		}
		_ = running.command.Process.Signal(syscall.SIGKILL)
		<-running.exited
	}
}

// addCaller registers a caller whose socket Close closes.
func (f *Fleet) addCaller(c *caller) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.callers = append(f.callers, c)
}

// controls returns the members' control addresses.
func (f *Fleet) controls() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var addresses []string
	for _, ip := range f.members {
		addresses = append(addresses, fmt.Sprintf("%s:%d", ip, controlPort))
	}
	return addresses
}

// AddTarget starts a target of a service at a new address.
func (f *Fleet) AddTarget(service string) (*target, error) {
	return f.addTargetAt(service, f.freeIP())
}

// freeIP allocates a target address.
func (f *Fleet) freeIP() string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	ip := f.address(targetNet+f.nextIP/targetsPerNet, 1+f.nextIP%targetsPerNet)
	f.nextIP++
	return ip
}

// targetNumberBits is the length of target numbers on the platform.
const targetNumberBits = 40

func (f *Fleet) addTargetAt(service, ip string) (*target, error) {
	return f.startTarget(rand.Uint64()>>(64-targetNumberBits), service, ip)
}

// RestartTarget starts an ended target again with the same ID, at the same or a new address.
func (f *Fleet) RestartTarget(ended *target, newAddress bool) error {
	ip := ended.address.Addr().String()
	if newAddress {
		ip = f.freeIP()
	}
	_, err := f.startTarget(ended.number, ended.service, ip)
	return err
}

func (f *Fleet) startTarget(number uint64, service, ip string) (*target, error) {
	started, err := newTarget(f, number, service, zoneOf(ip), netip.MustParseAddrPort(fmt.Sprintf("%s:%d", ip, targetPort)))
	if err != nil {
		return nil, err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.targets = append(f.targets, started)
	return started, nil
}

// WaitReady waits until the given number of edges is healthy.
func (f *Fleet) WaitReady(edges int, limit time.Duration) error {
	end := time.Now().Add(limit)
	for f.router.healthyCount() < edges {
		if time.Now().After(end) {
			return fmt.Errorf("only %d of %d edges are ready after %v", f.router.healthyCount(), edges, limit)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}
