package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The bounds of the settings files, as on the sheet of the small site.
const (
	contactTime     = 4 * time.Second
	drainTime       = 3 * time.Second
	configApplyTime = 3 * time.Second
	addressReuse    = 2 * time.Second
	heartbeatTime   = 1200 * time.Millisecond
)

// Ports of all machines. Every fleet has loopback addresses of its own.
const (
	controlPort  = 8166
	readyPort    = 8167
	datagramPort = 8172
	firstPort    = 7720
	lastPort     = 7735
	targetPort   = 8080
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// machine is one machine of the deployment with its process.
type machine struct {
	name, class, role, zone, ip string
	// disks counts the disks that the machine has lost; its dataDir has another name for each.
	disks int

	command *exec.Cmd
	exited  chan struct{}
}

// fleet is a small deployment: core and front machines as separate processes.
type fleet struct {
	root, folder string
	block        int
	roles        map[string][]string
	record       *recorder

	mutex    sync.Mutex
	machines map[string]*machine
	cores    []*machine
	fronts   []*machine
	closed   bool
}

// newFleet reads the deploy file and picks a free block of loopback addresses.
func newFleet(root string, record *recorder) (*fleet, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "beamdoor-review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, folder: folder, record: record, machines: map[string]*machine{}, roles: readRoles(string(text))}
	f.block, err = freeBlock()
	return f, err
}

var roleLine = regexp.MustCompile(`(?m)^\[roles\.(\w+)\]$|^run = "([^"]+)"$|^on = "([^"]+)"$`)

// readRoles returns the command of the role on each class of machines.
func readRoles(text string) map[string][]string {
	roles := map[string][]string{}
	var command []string
	for _, found := range roleLine.FindAllStringSubmatch(text, -1) {
		switch {
		case found[2] != "":
			command = strings.Fields(found[2])
		case found[3] != "":
			roles[found[3]] = command
		}
	}
	return roles
}

// freeBlock returns the second octet of a loopback network whose ports are free.
func freeBlock() (int, error) {
	first := 20 + os.Getpid()%200
	for offset := range 200 {
		block := 20 + (first-20+offset)%200
		if isFree(block) {
			return block, nil
		}
	}
	return 0, fmt.Errorf("no free loopback addresses")
}

func isFree(block int) bool {
	for _, port := range []int{controlPort, readyPort, datagramPort, firstPort, targetPort} {
		for _, network := range []int{1, 2, 100} {
			listener, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%d.1:%d", block, network, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func (f *fleet) address(network, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.block, network, number)
}

// start starts the core and front machines.
func (f *fleet) start(cores, fronts int) error {
	for number := range cores {
		f.cores = append(f.cores, &machine{
			name: fmt.Sprintf("core-%d", number+1), class: "core", role: "member",
			zone: zones[number%len(zones)], ip: f.address(2, number+1),
		})
	}
	for number := range fronts {
		f.fronts = append(f.fronts, &machine{
			name: fmt.Sprintf("front-%d", number+1), class: "front", role: "edge",
			zone: zones[number%len(zones)], ip: f.address(1, number+1),
		})
	}
	for _, m := range append(append([]*machine{}, f.cores...), f.fronts...) {
		f.machines[m.name] = m
		if err := f.startProcess(m, true); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) controls() []string {
	var list []string
	for _, m := range f.cores {
		list = append(list, f.control(m))
	}
	return list
}

func (f *fleet) control(m *machine) string { return fmt.Sprintf("%s:%d", m.ip, controlPort) }

func (f *fleet) writeSettings(m *machine, bootstrap bool) (string, error) {
	var seeds []string
	for _, core := range f.cores[:min(3, len(f.cores))] {
		seeds = append(seeds, fmt.Sprintf("%q", f.control(core)))
	}
	var text strings.Builder
	fmt.Fprintf(&text, "nodeName = %q\nrole = %q\nmachineClass = %q\n", m.name, m.role, m.class)
	serves, listen, share, memory, disk := "control", fmt.Sprintf("control = \"%s\"\n", f.control(m)), 0.24, 280, 128
	if m.class == "front" {
		serves, share, memory, disk = "front", 0.288, 284, 0
		listen = fmt.Sprintf("datagrams = \"%s:%d\"\nready = \"%s:%d\"\n", m.ip, datagramPort, m.ip, readyPort)
	}
	fmt.Fprintf(&text, "serves = [%q]\nip = %q\nzone = %q\nregion = \"here\"\n", serves, m.ip, m.zone)
	fmt.Fprintf(&text, "portRange = [%d,%d]\nseedNodes = [%s]\nbootstrap = %t\n", firstPort, lastPort, strings.Join(seeds, ","), bootstrap)
	if m.class == "core" {
		fmt.Fprintf(&text, "dataDir = %q\n", filepath.Join(f.folder, fmt.Sprintf("%s.data%d", m.name, m.disks)))
	}
	text.WriteString("lossCounts = " + fmt.Sprint(m.class == "core") + "\ndiscovery = \"registry\"\nentry = \"announce\"\nheartbeatMs = 1200\n")
	text.WriteString("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"flows\"]\nconfig_mode = \"highest\"\nflowHash = \"steady\"\nforwarding = \"echo\"\n")
	text.WriteString("[zones]\n")
	for _, zone := range zones {
		fmt.Fprintf(&text, "%s = \"here\"\n", zone)
	}
	fmt.Fprintf(&text, "[listen]\n%s[limits]\ncpuShare = %g\ncpuCores = 1\nmemoryMb = %d\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = %d\n", listen, share, memory, disk)
	text.WriteString("[faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n")
	text.WriteString("[bounds]\nseedLagS = 3\naddrReuseS = 2\ncontactMs = 4000\nackMs = 5000\ncatchUpS = 4\ndrainMs = 3000\ngraceS = 6\nlossSlackMs = 200\nconfigApplyMs = 3000\ndowngradeSlackMs = 250\nmaxStretchMs = 12000\nrecoverS = 12\nreorderMs = 2000\nmaxFlowS = 60\n")
	path := filepath.Join(f.folder, m.name+".toml")
	return path, os.WriteFile(path, []byte(text.String()), 0o600)
}

func (f *fleet) startProcess(m *machine, bootstrap bool) error {
	path, err := f.writeSettings(m, bootstrap)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(f.logFile(m), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	run := f.roles[m.class]
	if len(run) == 0 {
		return fmt.Errorf("the deploy file has no role on %s", m.class)
	}
	command := exec.Command(filepath.Join(f.root, run[0]), run[1:]...)
	command.Dir = f.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BEAMDOOR_NODE_FILE=" + path}
	command.Stdout, command.Stderr = log, log
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.closed {
		return fmt.Errorf("the fleet is closed")
	}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	m.command, m.exited = command, exited
	f.record.add("machine", m.name, "started", m.ip)
	return nil
}

func (f *fleet) logFile(m *machine) string { return filepath.Join(f.folder, m.name+".log") }

func (f *fleet) signal(m *machine, signal syscall.Signal) {
	f.record.add("machine", m.name, "signal", signal.String())
	_ = m.command.Process.Signal(signal)
}

func (f *fleet) kill(m *machine) {
	f.signal(m, syscall.SIGKILL)
	<-m.exited
}

var leaderLine = regexp.MustCompile(`role=(\S+) term=(\d+)`)

// leader returns the core machine that last said in its log that it leads. It only selects
// the machine to disturb; nothing is judged by it.
func (f *fleet) leader() *machine {
	var leading *machine
	best := -1
	for _, m := range f.cores {
		text, _ := os.ReadFile(f.logFile(m))
		role, term := "", -1
		for _, found := range leaderLine.FindAllStringSubmatch(string(text), -1) {
			role = found[1]
			_, _ = fmt.Sscan(found[2], &term)
		}
		if role == "leader" && term > best {
			leading, best = m, term
		}
	}
	return leading
}

// close ends all processes of the fleet and removes its folder.
func (f *fleet) close() {
	f.mutex.Lock()
	f.closed = true
	f.mutex.Unlock()
	for _, m := range f.machines {
		if m.command != nil {
			_ = m.command.Process.Kill()
			<-m.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
		return
	}
	fmt.Println("kept", f.folder)
}
