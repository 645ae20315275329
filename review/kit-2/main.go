// Command kit-2 holds the stand-ins of the cases of the second review: clients, routers,
// targets and the operator of the users' platform around real processes of the system.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// setup holds what a case runs with.
type setup struct {
	cluster *cluster
	record  *record
	trouble bool
}

// cases maps the name of a case to its code; the result is true if the rule was broken.
var cases = map[string]func(s *setup) (broken bool, err error){
	"takeover":    takeover,
	"evacuation":  evacuation,
	"leaving":     leaving,
	"replacement": replacement,
}

// members is the number of core machines of each case.
var members = map[string]int{"takeover": 5, "evacuation": 3, "leaving": 5, "replacement": 3}

// smallBounds are those of the small deployments.
const smallBounds = "seedLagS = 3\naddrReuseS = 2\ncontactMs = 4000\nackMs = 5000\ncatchUpS = 4\ndrainMs = 3000\ngraceS = 6\nlossSlackMs = 200\nconfigApplyMs = 3000\n" +
	"downgradeSlackMs = 250\nmaxStretchMs = 12000\nrecoverS = 12\nreorderMs = 2000\nmaxFlowS = 60\n"

// grownBounds are those of the grown deployments.
const grownBounds = "seedLagS = 3\naddrReuseS = 2\ncontactMs = 5000\nackMs = 6000\ncatchUpS = 6\ndrainMs = 4000\ngraceS = 6\nlossSlackMs = 200\nconfigApplyMs = 4000\n" +
	"downgradeSlackMs = 250\nmaxStretchMs = 15000\ncoldOver = 1.5\ncoldSlack = 5\nevacuateMs = 5000\nrecoverS = 15\nreorderMs = 2000\nmaxFlowS = 60\n"

// bounds are the bounds of the settings of each case.
var bounds = map[string]string{
	"takeover":   smallBounds,
	"leaving":    smallBounds,
	"evacuation": grownBounds,
}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/beamdoor-node", "program of the deploy file")
	folder := flag.String("folder", "", "temporary folder for settings, data and logs")
	path := flag.String("record", "record.txt", "file that gets what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	os.Exit(run(*name, *program, *folder, *path, *trouble))
}

func run(name, program, folder, path string, trouble bool) int {
	play, known := cases[name]
	rec, err := newRecord(path)
	if err != nil || !known {
		fmt.Fprintln(os.Stderr, "the case cannot run:", name, err)
		return exitNotRun
	}
	c, err := newCluster(program, folder, members[name], 3, rec)
	if err != nil {
		rec.log("not run: %v", err)
		return exitNotRun
	}
	c.bounds = bounds[name]
	defer c.stopAll()
	go c.stopOnSignal()
	rec.log("case %s, trouble %t", name, trouble)
	if err := c.startAll(); err != nil {
		rec.log("not run: %v", err)
		return exitNotRun
	}
	broken, err := play(&setup{cluster: c, record: rec, trouble: trouble})
	switch {
	case err != nil:
		rec.log("not run: %v", err)
		return exitNotRun
	case broken:
		rec.log("result: the rule was broken")
		return exitBroken
	}
	rec.log("result: the rule held")
	return exitHeld
}

// playTime bounds a case.
const playTime = 112 * time.Second

// stopOnSignal ends all processes when this one is told to stop or takes too long.
func (c *cluster) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(playTime):
	}
	c.record.log("not run: stopped from outside or out of time")
	c.stopAll()
	os.Exit(exitNotRun)
}

// virtual is the address of the only route.
var virtual = netip.MustParseAddrPort("198.18.0.1:8443")

const serviceName = "agenda-1"

// configuration returns a configuration with one route and one service.
func configuration(version int) []byte {
	body, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-1", "hostname": virtual.Addr().String(), "pathPrefix": fmt.Sprintf("/%d/", virtual.Port()), "routeType": "safe",
			"timeoutMs": 2000, "aimMs": 120, "priority": 2, "service": serviceName, "maxAttempts": 2,
		}},
		"services": []map[string]any{{"name": serviceName, "healthPath": "/health", "maxConns": 2000, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return body
}

// configure sends the first configuration until it is taken.
func (s *setup) configure() error {
	op := &operator{controls: s.cluster.controls(), record: s.record}
	var err error
	for range 10 {
		if _, err = op.send("/-/config/replace", configuration(7), 0); err == nil {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return err
}
