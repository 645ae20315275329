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

// Route is one route of the operator's configuration.
type Route struct {
	Name     string
	Virtual  netip.AddrPort
	Services []string
	// Kind is the page's word for the kind of its requests, or "".
	Kind string
}

// nextVersion returns the version that the next Configure submits.
func (f *Fleet) nextVersion() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.version + 1
}

// Configure submits the next version until a member acknowledges it.
func (f *Fleet) Configure(routes []Route) error {
	f.mutex.Lock()
	f.version++
	version := f.version
	f.mutex.Unlock()
	body, err := f.configuration(version, routes)
	if err != nil {
		return err
	}
	if err := f.order(pathReplace, body); err != nil {
		return err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.acknowledged = max(f.acknowledged, version)
	return nil
}

// The platform's calls of an operator.
const (
	pathReplace = "/-/config/replace"
	// pathEvacuation is that of an order about a zone.
	pathEvacuation = "/-/evacuations/%s/%s"
)

// SetZoneEvacuation begins or ends the evacuation of a zone, until a member acknowledges it.
func (f *Fleet) SetZoneEvacuation(zone string, evacuate bool) error {
	if !evacuate {
		f.watch.setEvacuated(zone, false)
		return f.order(fmt.Sprintf(pathEvacuation, zone, "finish"), nil)
	}
	if err := f.order(fmt.Sprintf(pathEvacuation, zone, "start"), nil); err != nil {
		return err
	}
	f.watch.setEvacuated(zone, true)
	return nil
}

// orderRounds is the number of times that an order is offered to all members.
const orderRounds = 50

// order offers an order to one member after the other until one acknowledges it.
func (f *Fleet) order(path string, body []byte) error {
	for range orderRounds {
		for _, address := range f.controls() {
			if f.post(address+path, body) {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("no member took the order " + path)
}

func (f *Fleet) configuration(version uint64, routes []Route) ([]byte, error) {
	services := map[string]bool{}
	var routeBodies, serviceBodies []map[string]any
	for _, route := range routes {
		var split []map[string]any
		for _, service := range route.Services {
			services[service] = true
			f.watch.Allow(route.Virtual.String(), service)
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
	client := http.Client{Timeout: callTimeout}
	response, err := client.Post("http://"+url, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// CheckConfiguration reads the configuration back and holds its version
// against the newest that was acknowledged.
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
	return fmt.Errorf("no member could be read: %w", last)
}

// checkRead reads the configuration back from a member and holds its version
// against what had been acknowledged before the read, and against what was sent.
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
	f.watch.ReadBack(address, version, acknowledged)
	if version > submitted {
		f.watch.Broke(flowrules.Config, "%s holds version %d, the newest that was sent is %d", address, version, submitted)
	}
	return nil
}

func readVersion(address string) (uint64, error) {
	client := http.Client{Timeout: callTimeout}
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
