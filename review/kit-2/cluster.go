package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// zones of the stand-in deployment, all in one region.
var zones = []string{"norte", "centro", "sur"}

// machine is one process of the system.
type machine struct {
	name, role, ip, zone string
	command              *exec.Cmd
	exited               chan struct{}
}

// cluster holds the processes of the system.
type cluster struct {
	program, folder string
	block           int
	datagrams       int
	ready, control  int
	inner, metrics  int
	// targets is the port of all targets.
	targets        int
	members, edges []*machine
	// gone are the machines that were taken away.
	gone   []*machine
	record *record
	// bounds are the lines of the settings' table of bounds.
	bounds string
}

func (c *cluster) ip(net, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", c.block, net, number)
}

// newCluster chooses free addresses and ports and names the machines.
func newCluster(program, folder string, members, edges int, rec *record) (*cluster, error) {
	for range 40 {
		base := 20000 + rand.IntN(9000)
		c := &cluster{
			program: program, folder: folder, block: 60 + rand.IntN(120), record: rec,
			datagrams: base, ready: base + 1, control: base + 2, metrics: base + 3, inner: base + 4, targets: base + 30,
		}
		for number := range members {
			c.members = append(c.members, &machine{name: fmt.Sprintf("core-%d", number+1), role: "member", ip: c.ip(2, number+1), zone: zones[number%len(zones)]})
		}
		for number := range edges {
			c.edges = append(c.edges, &machine{name: fmt.Sprintf("front-%d", number+1), role: "edge", ip: c.ip(1, number+1), zone: zones[number%len(zones)]})
		}
		if c.portsFree() {
			return c, nil
		}
	}
	return nil, errors.New("no free ports")
}

func (c *cluster) portsFree() bool {
	for _, ip := range []string{c.ip(1, 1), c.ip(2, 1), c.ip(4, 1), c.ip(100, 1)} {
		for port := c.datagrams; port <= c.targets; port++ {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (c *cluster) controls() []string {
	var list []string
	for _, m := range c.members {
		list = append(list, fmt.Sprintf("%s:%d", m.ip, c.control))
	}
	return list
}

// settings returns the settings file of a machine, in the form of DEPLOY.md.
func (c *cluster) settings(m *machine, bootstrap bool) string {
	var seeds []string
	for _, member := range c.members[:min(3, len(c.members))] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", member.ip, c.control)))
	}
	class, serves, listen, disk, counts := "front", "front", "", 0, false
	data := ""
	if m.role == "member" {
		class, serves, disk, counts = "core", "control", 128, true
		listen = fmt.Sprintf("control = \"%s:%d\"\n", m.ip, c.control)
		data = fmt.Sprintf("dataDir = %q\n", filepath.Join(c.folder, m.name+".data"))
	} else {
		listen = fmt.Sprintf("datagrams = \"%s:%d\"\nready = \"%s:%d\"\n", m.ip, c.datagrams, m.ip, c.ready)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "nodeName = %q\nrole = %q\nmachineClass = %q\nserves = [%q]\nip = %q\nzone = %q\nregion = \"uio\"\n", m.name, m.role, class, serves, m.ip, m.zone)
	fmt.Fprintf(&b, "portRange = [%d,%d]\nseedNodes = [%s]\nbootstrap = %t\nlossCounts = %t\n", c.inner, c.inner+15, strings.Join(seeds, ","), bootstrap, counts)
	fmt.Fprintf(&b, "discovery = \"registry\"\nentry = \"announce\"\nheartbeatMs = 1200\n%s", data)
	fmt.Fprintf(&b, "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"flows\"]\nconfig_mode = \"highest\"\nflowHash = \"steady\"\nforwarding = \"echo\"\n")
	fmt.Fprintf(&b, "metrics = \"%d/metrics\"\n", c.metrics)
	fmt.Fprintf(&b, "[zones]\n")
	for _, zone := range zones {
		fmt.Fprintf(&b, "%s = \"uio\"\n", zone)
	}
	fmt.Fprintf(&b, "[listen]\n%s[limits]\ncpuShare = 0.288\ncpuCores = 1\nmemoryMb = 284\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = %d\n", listen, disk)
	fmt.Fprintf(&b, "[faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\n%s", c.bounds)
	return b.String()
}

// start starts a process with the command of the deploy file.
func (c *cluster) start(m *machine, bootstrap bool) error {
	path := filepath.Join(c.folder, m.name+".toml")
	if err := os.WriteFile(path, []byte(c.settings(m, bootstrap)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(c.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(c.program, m.role)
	command.Env = append(os.Environ(), "BEAMDOOR_NODE_FILE="+path)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	m.command, m.exited = command, make(chan struct{})
	go func(done chan struct{}) {
		_ = command.Wait()
		close(done)
	}(m.exited)
	c.record.log("started %s (%s, %s)", m.name, m.role, m.zone)
	return nil
}

func (c *cluster) startAll() error {
	for _, m := range append(append([]*machine{}, c.members...), c.edges...) {
		if err := c.start(m, true); err != nil {
			return err
		}
	}
	return nil
}

func (m *machine) signal(signal syscall.Signal) { _ = m.command.Process.Signal(signal) }

// kill sends SIGKILL and waits for the end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	<-m.exited
}

// stopAll ends every process that was started.
func (c *cluster) stopAll() {
	for _, m := range append(append([]*machine{}, c.members...), c.edges...) {
		if m.command != nil {
			m.kill()
		}
	}
}

var leaderLine = regexp.MustCompile(`(?m)^\w*leader 1$`)

// isLeader reads the member's own figures, at the address that the setting "metrics" gives.
func (c *cluster) isLeader(m *machine) bool {
	client := http.Client{Timeout: 300 * time.Millisecond}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/metrics", m.ip, c.metrics))
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return err == nil && leaderLine.Match(bytes.ReplaceAll(body, []byte("\r"), nil))
}

// leader returns the position of the leading member, or -1.
func (c *cluster) leader() int {
	for position, m := range c.members {
		if c.isLeader(m) {
			return position
		}
	}
	return -1
}

// waitReady waits until all edges answer that they are ready.
func (c *cluster) waitReady(limit time.Duration) error {
	client := http.Client{Timeout: 500 * time.Millisecond}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range c.edges {
			response, err := client.Get(fmt.Sprintf("http://%s:%d/-/readiness", m.ip, c.ready))
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(c.edges) {
			return nil
		}
	}
	return errors.New("the edges did not become ready")
}
