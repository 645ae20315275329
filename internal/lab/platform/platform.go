// Package platform is the stand-in for the platform's list of live and
// leaving machines. It asks each machine whether it is ready, and publishes
// what it heard only after a lag.
package platform

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.yaml.in/yaml/v3"

	labv1 "github.com/beamdoor/beamdoor/api/beamdoor/lab/v1"
	"github.com/beamdoor/beamdoor/api/beamdoor/lab/v1/labv1connect"
	"github.com/beamdoor/beamdoor/internal/steperror"
)

// Machine is one machine in the platform's file.
type Machine struct {
	Name    string `yaml:"name"`
	Callers string `yaml:"callers"`
	Targets string `yaml:"targets"`
	Admin   string `yaml:"admin"`
}

// Settings are the settings of the platform.
type Settings struct {
	Listen   string        `yaml:"listen"`
	Lag      time.Duration `yaml:"lag"`
	Machines []Machine     `yaml:"machines"`
}

const (
	pollInterval = 200 * time.Millisecond
	pollTimeout  = 300 * time.Millisecond
)

// LoadSettings reads the platform's file.
func LoadSettings(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, steperror.Wrap("platform.settings", path, err)
	}
	loaded := &Settings{}
	return loaded, steperror.Wrap("platform.settings", path, yaml.Unmarshal(data, loaded))
}

// snapshot is what was true at one time.
type snapshot struct {
	at   time.Time
	live map[string]bool
}

// Platform serves the list.
type Platform struct {
	settings  *Settings
	client    *http.Client
	mutex     sync.Mutex
	snapshots []snapshot
}

var _ labv1connect.PlatformServiceHandler = (*Platform)(nil)

// New returns a platform.
func New(settings *Settings) *Platform {
	return &Platform{settings: settings, client: &http.Client{Timeout: pollTimeout}}
}

// Run serves until the context ends.
func (p *Platform) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", p.settings.Listen)
	if err != nil {
		return steperror.Wrap("platform.listen", p.settings.Listen, err)
	}
	mux := http.NewServeMux()
	mux.Handle(labv1connect.NewPlatformServiceHandler(p))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.poll(ctx)
		case <-ctx.Done():
			return server.Close()
		}
	}
}

func (p *Platform) poll(ctx context.Context) {
	taken := snapshot{at: time.Now(), live: map[string]bool{}}
	var mutex sync.Mutex
	var group sync.WaitGroup
	for _, machine := range p.settings.Machines {
		group.Add(1)
		go func() {
			defer group.Done()
			ready := p.ready(ctx, machine)
			mutex.Lock()
			taken.live[machine.Name] = ready
			mutex.Unlock()
		}()
	}
	group.Wait()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.snapshots = append(p.snapshots, taken)
	for len(p.snapshots) > 1 && time.Since(p.snapshots[1].at) >= p.settings.Lag {
		p.snapshots = p.snapshots[1:]
	}
}

func (p *Platform) ready(ctx context.Context, machine Machine) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+machine.Admin+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := p.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// List implements the platform's API.
func (p *Platform) List(context.Context, *connect.Request[labv1.ListRequest]) (*connect.Response[labv1.ListResponse], error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	response := &labv1.ListResponse{}
	for _, machine := range p.settings.Machines {
		live := len(p.snapshots) > 0 && p.snapshots[0].live[machine.Name]
		response.Machines = append(response.Machines, &labv1.Machine{
			Name:    machine.Name,
			Callers: machine.Callers,
			Targets: machine.Targets,
			Admin:   machine.Admin,
			Live:    live,
		})
	}
	return connect.NewResponse(response), nil
}
