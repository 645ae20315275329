// Package settings reads the settings of a process from a YAML file and flags.
// Flags override the file. Unknown fields are errors.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/knadh/koanf/parsers/yaml"
	"github.com/knadh/koanf/providers/posflag"
	"github.com/knadh/koanf/providers/rawbytes"
	"github.com/knadh/koanf/v2"
	"github.com/spf13/pflag"

	"github.com/beamdoor/beamdoor/internal/config"
)

// Member is the entry of a control member in the member list.
type Member struct {
	ID uint32 `yaml:"id" koanf:"id"`
	// Peer is the TCP address for the other members.
	Peer string `yaml:"peer" koanf:"peer"`
	// Admin is the HTTP address of the administration API.
	Admin string `yaml:"admin" koanf:"admin"`
	// Nodes is the TCP address that balancers connect to.
	Nodes string `yaml:"nodes" koanf:"nodes"`
}

// Control holds the settings of a control member.
type Control struct {
	ID         uint32 `yaml:"id" koanf:"id"`
	DataFolder string `yaml:"data_folder" koanf:"data_folder"`
	// Bootstrap initializes the membership from Members if the data folder is empty.
	Bootstrap bool     `yaml:"bootstrap" koanf:"bootstrap"`
	Members   []Member `yaml:"members" koanf:"members"`
}

// Balancer holds the settings of a balancer.
type Balancer struct {
	Name string `yaml:"name" koanf:"name"`
	Zone string `yaml:"zone" koanf:"zone"`
	Cell uint32 `yaml:"cell" koanf:"cell"`
	// Callers, Targets and Peers are the UDP listen addresses for packets from
	// callers, from targets and from other balancers.
	Callers string `yaml:"callers" koanf:"callers"`
	Targets string `yaml:"targets" koanf:"targets"`
	Peers   string `yaml:"peers" koanf:"peers"`
	// Fabric is the UDP address to which packets for callers are sent.
	Fabric string `yaml:"fabric" koanf:"fabric"`
	// Admin is the HTTP address of the metrics, health and explain endpoints.
	Admin string `yaml:"admin" koanf:"admin"`
	// Control lists the TCP addresses of the control members.
	Control []string `yaml:"control" koanf:"control"`
}

// delimiter separates the parts of a nested koanf key.
const delimiter = "."

// load decodes the file and the changed flags into out.
func load(path string, flags *pflag.FlagSet, out any) error {
	collector := &config.Collector{File: path}
	loader := koanf.New(delimiter)
	if path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			collector.Add("file", "", err.Error())
			return collector.Err()
		}
		if !config.DecodeStrict(collector, data, out) {
			return collector.Err()
		}
		if err := loader.Load(rawbytes.Provider(data), yaml.Parser()); err != nil {
			collector.Add("file", "", err.Error())
			return collector.Err()
		}
	}
	if flags != nil {
		byKey := func(flag *pflag.Flag) (string, any) {
			if !flag.Changed {
				return "", nil
			}
			return strings.ReplaceAll(flag.Name, "-", "_"), posflag.FlagVal(flags, flag)
		}
		if err := loader.Load(posflag.ProviderWithFlag(flags, delimiter, loader, byKey), nil); err != nil {
			collector.Add("flags", "", err.Error())
			return collector.Err()
		}
	}
	if err := loader.Unmarshal("", out); err != nil {
		collector.Add("file", "", err.Error())
	}
	return collector.Err()
}

// LoadControl reads and validates the settings of a control member.
func LoadControl(path string, flags *pflag.FlagSet) (*Control, error) {
	loaded := &Control{}
	if err := load(path, flags, loaded); err != nil {
		return nil, err
	}
	collector := &config.Collector{File: path}
	if loaded.ID == 0 {
		collector.Add("id", "0", "must be a positive number never used by another member")
	}
	if loaded.DataFolder == "" {
		collector.Add("data_folder", "", "is required: folder for the member's state")
	}
	found := false
	seen := map[uint32]bool{}
	for i, member := range loaded.Members {
		field := fmt.Sprintf("members[%d]", i)
		if seen[member.ID] || member.ID == 0 {
			collector.Add(field+".id", fmt.Sprint(member.ID), "must be a positive number, unique among the members")
		}
		seen[member.ID] = true
		found = found || member.ID == loaded.ID
		checkAddress(collector, field+".peer", member.Peer)
		checkAddress(collector, field+".admin", member.Admin)
		checkAddress(collector, field+".nodes", member.Nodes)
	}
	if !found {
		collector.Add("members", "", fmt.Sprintf("must list this member's own addresses under id %d", loaded.ID))
	}
	return loaded, collector.Err()
}

// Self returns the member's own entry in Members, or a zero Member.
func (c *Control) Self() Member {
	for _, member := range c.Members {
		if member.ID == c.ID {
			return member
		}
	}
	return Member{}
}

// LoadBalancer reads and validates the settings of a balancer.
func LoadBalancer(path string, flags *pflag.FlagSet) (*Balancer, error) {
	loaded := &Balancer{Cell: config.DefaultCell}
	if err := load(path, flags, loaded); err != nil {
		return nil, err
	}
	collector := &config.Collector{File: path}
	if loaded.Name == "" {
		collector.Add("name", "", "is required: name of the balancer")
	}
	checkAddress(collector, "callers", loaded.Callers)
	checkAddress(collector, "targets", loaded.Targets)
	checkAddress(collector, "peers", loaded.Peers)
	checkAddress(collector, "fabric", loaded.Fabric)
	checkAddress(collector, "admin", loaded.Admin)
	if len(loaded.Control) == 0 {
		collector.Add("control", "", "must list the control members' addresses for balancers")
	}
	for i, address := range loaded.Control {
		checkAddress(collector, fmt.Sprintf("control[%d]", i), address)
	}
	return loaded, collector.Err()
}

func checkAddress(collector *config.Collector, field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		collector.Add(field, value, "must be an IP address and a port, such as 127.0.0.1:7000")
	}
}
