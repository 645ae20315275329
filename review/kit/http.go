package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// callTimeout is how long a caller of control waits for a response.
const callTimeout = time.Second

// noRedirect returns 307 responses to the caller, which follows them itself.
var httpClient = &http.Client{
	Timeout:       callTimeout,
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	Transport:     &http.Transport{DisableKeepAlives: true},
}

// post sends a call and follows up to two redirects.
func post(address, path string, body []byte) (status int, reply []byte, err error) {
	url := "http://" + address + path
	for range 3 {
		response, err := httpClient.Post(url, "application/json", bytes.NewReader(body))
		if err != nil {
			return 0, nil, err
		}
		reply, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return 0, nil, err
		}
		if response.StatusCode != http.StatusTemporaryRedirect {
			return response.StatusCode, reply, nil
		}
		url = response.Header.Get("Location")
	}
	return http.StatusTemporaryRedirect, nil, nil
}

const (
	agenda     = "svc7agenda"
	documentos = "svc9docs"
)

// route is one route of a configuration.
type route struct {
	name, hostname, kind, service string
	port                          int
	timeoutMs                     int
}

var standardRoutes = []route{
	{name: "r-board", hostname: "198.18.0.1", port: 8443, kind: "safe", service: agenda, timeoutMs: 2000},
	{name: "r-booking", hostname: "198.18.0.1", port: 8080, kind: "unsafe", service: agenda, timeoutMs: 2500},
	{name: "r-certificate", hostname: "198.18.0.2", port: 8443, kind: "download", service: documentos, timeoutMs: 8000},
}

// maxConns is the number of flows that a target holds, as the configuration says.
var maxConns = 2000

// configuration returns the body of an operator's order.
func configuration(version int, routes []route) []byte {
	var list []map[string]any
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "hostname": r.hostname, "pathPrefix": fmt.Sprintf("/%d/", r.port), "routeType": r.kind,
			"timeoutMs": r.timeoutMs, "aimMs": 150, "priority": 2, "service": r.service, "maxAttempts": 2,
		})
	}
	var services []map[string]any
	for _, name := range []string{agenda, documentos} {
		services = append(services, map[string]any{"name": name, "healthPath": "/health", "maxConns": maxConns, "protocol": "h1", "tls": false})
	}
	body, _ := json.Marshal(map[string]any{
		"version": version, "routes": list, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return body
}

// operator sends orders and records them.
type operator struct {
	name   string
	record *recorder
}

// send sends one order to one node and reports whether it was acknowledged.
func (o operator) send(node string, version int, routes []route) bool {
	o.record.add("operator", o.name, "sends version", version, "to", node)
	status, reply, err := post(node, "/-/config/replace", configuration(version, routes))
	o.record.add("operator", o.name, "version", version, "at", node, "status", status, "reply", string(reply), "err", err)
	return err == nil && status == http.StatusOK
}

// sendUntilTaken sends an order to one node after the other, with growing pauses, until one
// acknowledges it.
func (o operator) sendUntilTaken(nodes []string, version int, routes []route, limit time.Duration) bool {
	pause := 50 * time.Millisecond
	end := time.Now().Add(limit)
	for attempt := 0; time.Now().Before(end); attempt++ {
		if o.send(nodes[attempt%len(nodes)], version, routes) {
			return true
		}
		time.Sleep(pause)
		pause = min(2*pause, 800*time.Millisecond)
	}
	return false
}

// read reads the configuration at a node and returns its version; ok is false if the node
// gave none.
func (o operator) read(node string) (version int, ok bool) {
	response, err := httpClient.Get("http://" + node + "/-/config/read")
	if err != nil {
		o.record.add("operator", o.name, "reads at", node, "err", err)
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	var held struct{ Version int }
	if response.StatusCode != http.StatusOK || json.Unmarshal(body, &held) != nil {
		o.record.add("operator", o.name, "reads at", node, "status", response.StatusCode)
		return 0, false
	}
	o.record.add("operator", o.name, "reads at", node, "version", held.Version)
	return held.Version, true
}
