package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"time"
)

// versions is the number of changes of the large configuration.
var versions = flag.Int("versions", 70, "number of changes of the large configuration (case replacement)")

const (
	// routeCount is the number of routes: those of the site and of its kind big_config.
	routeCount = 350 + 1400
	// changeGap is the time between two changes.
	changeGap = 200 * time.Millisecond
	// firstVersion is the version that the first configuration has.
	firstVersion = 7
	// successorAfter is how long after a core machine is gone the empty one comes.
	successorAfter = time.Second
	// catchUp is the bound catchUpS, recoverBound the bound recoverS of the settings.
	catchUp      = 6 * time.Second
	recoverBound = 15 * time.Second
	// readTime is how long the configuration is asked for at the end.
	readTime = 10 * time.Second
)

// replacement shows whether core machines can be replaced, one after the other, after a
// large configuration has been changed many times.
func replacement(s *setup) (bool, error) {
	c := s.cluster
	op := &operator{controls: c.controls(), record: s.record}
	version := firstVersion
	body := largeConfiguration(version)
	s.record.log("a configuration has %d routes and %d bytes", routeCount, len(body))
	for ; ; version++ {
		at := version % len(op.controls)
		if _, err := op.send("/-/config/replace", largeConfiguration(version), at); err != nil {
			return false, err
		}
		if version == firstVersion+*versions {
			break
		}
		time.Sleep(changeGap)
	}
	acknowledged := version
	s.record.log("version %d is acknowledged, the newest", acknowledged)
	time.Sleep(2 * time.Second)
	for _, position := range []int{2, 1} {
		if !s.trouble {
			continue
		}
		if err := s.replace(position); err != nil {
			return false, err
		}
		// Far more than catchUpS after the start of the successor.
		time.Sleep(catchUp + 6*time.Second)
	}
	time.Sleep(recoverBound - catchUp)
	end := time.Now().Add(readTime)
	for time.Now().Before(end) {
		for position, control := range c.controls() {
			got, err := readVersion(control)
			s.record.log("read at core machine %d of the list: %s", position+1, readText(got, err))
			if err == nil {
				return got < acknowledged, nil
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	s.record.log("no machine answered a read for %v", readTime)
	return true, nil
}

// replace ends a core machine for good and starts an empty one at another address.
func (s *setup) replace(position int) error {
	c := s.cluster
	gone := c.members[position]
	gone.kill()
	s.record.log("%s is gone for good", gone.name)
	time.Sleep(successorAfter)
	number := 4 + (2 - position)
	c.gone = append(c.gone, gone)
	c.members[position] = &machine{name: fmt.Sprintf("core-%d", number), role: "member", ip: c.ip(2, number), zone: gone.zone}
	return c.start(c.members[position], false)
}

// largeConfiguration returns a configuration whose time-outs are those of its version.
func largeConfiguration(version int) []byte {
	routes := make([]map[string]any, routeCount)
	for number := range routes {
		routes[number] = map[string]any{
			"name": fmt.Sprintf("r-%07d", number), "hostname": fmt.Sprintf("198.18.%d.%d", number/200, 1+number%200), "pathPrefix": "/8443/",
			"routeType": "safe", "timeoutMs": 2000 + version, "aimMs": 400, "priority": 2, "maxAttempts": 2, "service": "lookup-1",
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "healthPath": "/health", "maxConns": 2000, "protocol": "h1", "tls": false}
	}
	body, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": []map[string]any{service("lookup-1"), service("tiles-1")},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return body
}

func readVersion(control string) (int, error) {
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + control + "/-/config/read")
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	if response.StatusCode != http.StatusOK {
		return 0, errors.New(response.Status)
	}
	var held struct{ Version int }
	return held.Version, json.Unmarshal(text, &held)
}

func readText(version int, err error) string {
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("version %d", version)
}
