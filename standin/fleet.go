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

// Ports of the stand-in, the same on all machines.
const (
	defaultPacketPort = 8172
	readyPort         = 8167
	controlPort       = 8166
	innerPort         = 7720
	targetPort        = 8080
)

// Roles of the program.
const (
	edgeRole   = "edge"
	memberRole = "member"
)

// Settings of a fleet.
type Settings struct {
	// Program is the path of beamdoor-node.
	Program string
	// Folder holds settings, data and logs of the processes.
	Folder string
	Edges  int
	Hash   Hash
	// Block is the second number of all addresses, so that fleets run side by side.
	Block int
	// Heartbeat is the time between two heartbeats of a target; 0 means 400 ms.
	Heartbeat time.Duration
	// Tolerance is the number of members' disks that may be lost at once; 0 means
	// 1. Twice as many members and one run.
	Tolerance int
	// ProxyMembers puts a proxy before each member's own protocol. The program must be
	// built with the tag "soak".
	ProxyMembers bool
	// LinkMbps is the rate that nodes state of their own links; 0 states none.
	LinkMbps float64
}

// The third number of the addresses of each part.
const (
	edgeNet   = 1
	memberNet = 2
	targetNet = 100
	callerNet = 4
	// targetsPerNet is the number of targets whose addresses share a third number.
	targetsPerNet = 200
	// seedCount is the number of seeds in a settings file.
	seedCount = 3
	// hiddenNet holds members that stand behind a proxy.
	hiddenNet = 12
)

// address returns an address on loopback.
func (f *Fleet) address(net, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.settings.Block, net, number)
}

// node is one process of the fleet.
type node struct {
	name    string
	role    string
	ip      string
	command *exec.Cmd
	exited  chan struct{}
}

// Fleet is a set of real processes on loopback with the platform around them.
type Fleet struct {
	settings   Settings
	packetPort uint16
	router     *router
	watch      *watch
	links      links
	done       chan struct{}
	// written is the number of nodes' settings that were written.
	written atomic.Int64

	mutex sync.Mutex
	nodes map[string]*node
	// members and memberNames are the addresses and names of those that should be.
	members     []string
	memberNames []string
	nextMember  int
	// onlySeed is the only seed in settings written anew, or "".
	onlySeed string
	// version is the newest that was submitted, acknowledged the newest that a
	// member acknowledged.
	version      uint64
	acknowledged uint64
	targets      []*target
	callers      []*caller
	nextIP       int
	// proxies stand before members, by the members' names.
	proxies map[string]*soak.Proxy
}

// New returns a fleet in which nothing runs yet.
func New(settings Settings) *Fleet {
	if settings.Heartbeat == 0 {
		settings.Heartbeat = heartbeatInterval
	}
	return &Fleet{
		settings: settings, packetPort: defaultPacketPort, router: newRouter(settings.Hash), watch: newWatch(settings.Folder),
		done: make(chan struct{}), nodes: map[string]*node{}, nextIP: 0, proxies: map[string]*soak.Proxy{},
	}
}

// Report returns what callers and targets have seen so far.
func (f *Fleet) Report() flowrules.Report { return f.watch.Report() }

// nameOf returns the name of the edge that sends from an address, or the address.
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

// Start founds the group and starts the edges.
func (f *Fleet) Start() error {
	go f.watch.stalls.run(f.done)
	go f.watch.logs.run(f.done)
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

// tolerance returns the number of members' disks that may be lost at once.
func (f *Fleet) tolerance() int { return max(1, f.settings.Tolerance) }

// AddEdge starts one more edge.
func (f *Fleet) AddEdge(number int) error {
	ip := f.address(edgeNet, number)
	f.router.add(netip.MustParseAddrPort(fmt.Sprintf("%s:%d", ip, f.packetPort)), fmt.Sprintf("%s:%d", ip, readyPort))
	return f.startNode(fmt.Sprintf("edge-%d", number), edgeRole, ip, true)
}

// ReplaceMember ends a member for good and starts an empty one elsewhere.
func (f *Fleet) ReplaceMember(position int) error {
	gone := f.memberNames[position]
	f.Kill(gone)
	f.mutex.Lock()
	number := f.nextMember
	f.nextMember++
	ip := f.address(memberNet, number)
	name := fmt.Sprintf("member-%d", number)
	f.members[position] = ip
	f.memberNames[position] = name
	delete(f.nodes, gone)
	f.mutex.Unlock()
	return f.startNode(name, memberRole, ip, false)
}

// zones are those in which edges, members and targets stand by turns.
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

// openProxy puts a proxy before a member when the fleet has proxies.
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

// machines are what settings state of nodes' machines, each in turn: nothing, and two
// strengths. A node whose settings are written again states another one.
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
	if only := f.seedOnly(); only != "" {
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
		turn := f.written.Add(1) % int64(len(machines))
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

// setOnlySeed lets settings written from now on name one member; "" names all again.
func (f *Fleet) setOnlySeed(ip string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.onlySeed = ip
}

func (f *Fleet) seedOnly() string {
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

// environment returns what the soak's build of the program reads.
func (f *Fleet) environment(started *node) []string {
	if !f.settings.ProxyMembers || started.role != memberRole {
		return nil
	}
	hidden := f.hidden(started.ip)
	return []string{"BEAMDOOR_SOAK_LISTEN=" + hidden, "BEAMDOOR_SOAK_DISK=" + f.diskFile(started.name)}
}

// hidden returns where a member listens that others reach through a proxy.
func (f *Fleet) hidden(ip string) string {
	last := netip.MustParseAddr(ip).As4()[3]
	return fmt.Sprintf("%s:%d", f.address(hiddenNet, int(last)), innerPort)
}

// diskFile returns the path of the file that says what is wrong with a disk.
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

// Kill ends a process of the fleet at once and waits for its end.
func (f *Fleet) Kill(name string) {
	_ = f.Signal(name, syscall.SIGKILL)
	<-f.node(name).exited
}

// Stop asks a process to end and waits until it has.
func (f *Fleet) Stop(name string) {
	_ = f.Signal(name, syscall.SIGTERM)
	<-f.node(name).exited
}

// Restart starts a process again that has ended.
func (f *Fleet) Restart(name string) error {
	stopped := f.node(name)
	path, err := f.writeSettings(name, stopped.role, stopped.ip, false)
	if err != nil {
		return err
	}
	return f.run(stopped, path)
}

// Wipe empties the data folder of a member that has ended.
func (f *Fleet) Wipe(name string) error {
	return os.RemoveAll(filepath.Join(f.settings.Folder, name+".data"))
}

// Close ends all that the fleet started.
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
			continue // It could not be started.
		}
		_ = running.command.Process.Signal(syscall.SIGKILL)
		<-running.exited
	}
}

// addCaller notes a host of callers, whose socket is closed with the fleet.
func (f *Fleet) addCaller(c *caller) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.callers = append(f.callers, c)
}

// controls returns the addresses of the members' calls.
func (f *Fleet) controls() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var addresses []string
	for _, ip := range f.members {
		addresses = append(addresses, fmt.Sprintf("%s:%d", ip, controlPort))
	}
	return addresses
}

// AddTarget starts a target of a service.
func (f *Fleet) AddTarget(service string) (*target, error) {
	return f.addTargetAt(service, f.freeIP())
}

// freeIP returns the next address for a target.
func (f *Fleet) freeIP() string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	ip := f.address(targetNet+f.nextIP/targetsPerNet, 1+f.nextIP%targetsPerNet)
	f.nextIP++
	return ip
}

// targetNumberBits is the length of the numbers of targets, as the platform draws them.
const targetNumberBits = 40

func (f *Fleet) addTargetAt(service, ip string) (*target, error) {
	return f.startTarget(rand.Uint64()>>(64-targetNumberBits), service, ip)
}

// RestartTarget starts a target that has ended under its id, at its address or another.
func (f *Fleet) RestartTarget(ended *target, elsewhere bool) error {
	ip := ended.address.Addr().String()
	if elsewhere {
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

// WaitReady waits until so many edges are in.
func (f *Fleet) WaitReady(edges int, limit time.Duration) error {
	end := time.Now().Add(limit)
	for f.router.in() < edges {
		if time.Now().After(end) {
			return fmt.Errorf("only %d of %d edges are ready after %v", f.router.in(), edges, limit)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}
