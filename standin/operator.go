package standin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/beamdoor/beamdoor/internal/lab/flowrules"
)

// Route is a route in the submitted configuration.
type Route struct {
	Name     string
	Virtual  netip.AddrPort
	Services []string
	// Kind is the platform's route type, or "".
	Kind string
}

// nextVersion returns the version that the next call of Configure will submit.
func (f *Fleet) nextVersion() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.version + 1
}

// Configure submits a new version, retrying until a member acknowledges it.
func (f *Fleet) Configure(routes []Route) error {
	f.mutex.Lock()
	f.version++
	version := f.version
	f.mutex.Unlock()
	body, err := f.configuration(version, routes)
	if err != nil {
		return err
	}
	if err := f.submit(pathReplaceConfig, body); err != nil {
		return err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.acknowledged = max(f.acknowledged, version)
	return nil
}

// Paths of the platform's operator API.
const (
	pathReplaceConfig = "/-/config/replace"
	// pathEvacuation takes a zone and an action.
	pathEvacuation = "/-/evacuations/%s/%s"
)

// SetZoneEvacuation starts or finishes the evacuation of a zone, retrying until a member
// acknowledges it.
func (f *Fleet) SetZoneEvacuation(zone string, evacuate bool) error {
	if !evacuate {
		f.monitor.setEvacuated(zone, false)
		return f.submit(fmt.Sprintf(pathEvacuation, zone, "finish"), nil)
	}
	if err := f.submit(fmt.Sprintf(pathEvacuation, zone, "start"), nil); err != nil {
		return err
	}
	f.monitor.setEvacuated(zone, true)
	return nil
}

// submitAttempts is the number of times that a request is tried at every member.
const submitAttempts = 50

// submit posts a request to one member after the other until one acknowledges it.
func (f *Fleet) submit(path string, body []byte) error {
	for range submitAttempts {
		for _, address := range f.controls() {
			if f.post(address+path, body) {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("no member acknowledged the request " + path)
}

func (f *Fleet) configuration(version uint64, routes []Route) ([]byte, error) {
	services := map[string]bool{}
	var routeBodies, serviceBodies []map[string]any
	for _, route := range routes {
		var split []map[string]any
		for _, service := range route.Services {
			services[service] = true
			f.monitor.Allow(route.Virtual.String(), service)
			split = append(split, map[string]any{"service": service, "weight": 1})
		}
		routeBodies = append(routeBodies, map[string]any{
			"name": route.Name, "hostname": route.Virtual.Addr().String(), "pathPrefix": fmt.Sprintf("/%d/", route.Virtual.Port()),
			"timeoutMs": 2000, "trafficSplit": split, "routeType": route.Kind,
		})
	}
	for service := range services {
		serviceBodies = append(serviceBodies, map[string]any{"name": service})
	}
	return json.Marshal(map[string]any{"version": version, "routes": routeBodies, "services": serviceBodies})
}

func (f *Fleet) post(url string, body []byte) bool {
	client := http.Client{Timeout: httpTimeout}
	response, err := client.Post("http://"+url, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// CheckConfiguration reads the configuration back and compares its version with the newest
// acknowledged one.
func (f *Fleet) CheckConfiguration() error {
	var last error
	for range 50 {
		for _, address := range f.controls() {
			if last = f.checkRead(address); last == nil {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("could not read the configuration from any member: %w", last)
}

// checkRead reads the configuration from a member. Its version must not be older than the
// newest acknowledged before the read, nor newer than the newest submitted.
func (f *Fleet) checkRead(address string) error {
	f.mutex.Lock()
	acknowledged := f.acknowledged
	f.mutex.Unlock()
	version, err := readVersion(address)
	if err != nil {
		return err
	}
	f.mutex.Lock()
	submitted := f.version
	f.mutex.Unlock()
	f.monitor.ReadBack(address, version, acknowledged)
	if version > submitted {
		f.monitor.Broke(flowrules.Config, "%s has version %d, but the newest submitted version is %d", address, version, submitted)
	}
	return nil
}

func readVersion(address string) (uint64, error) {
	client := http.Client{Timeout: httpTimeout}
	response, err := client.Get("http://" + address + "/-/config/read")
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d", response.StatusCode)
	}
	var held struct{ Version uint64 }
	return held.Version, json.Unmarshal(body, &held)
}
