// Command reviewkit runs the scripts of the review: it starts the project's programs as the
// deploy file says, on loopback, with stand-ins for clients, servers and the platform.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseContext is what a case needs.
type caseContext struct {
	fleet   *fleet
	record  *recorder
	trouble bool
}

var cases = map[string]func(c *caseContext) (broken []string, err error){
	"two-voters":      twoVoters,
	"foreign-reply":   foreignReply,
	"late-heartbeat":  lateHeartbeat,
	"early-departure": earlyDeparture,
	"full-target":     fullTarget,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: reviewkit CASE ROOT FOLDER")
		return exitNotRun
	}
	play, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		return exitNotRun
	}
	record, err := newRecorder(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	f, err := newFleet(os.Args[2], record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	type result struct {
		broken []string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := play(&caseContext{fleet: f, record: record, trouble: os.Getenv("TROUBLE") != "0"})
		done <- result{broken, err}
	}()
	select {
	case <-signals:
		return exitNotRun
	case <-time.After(110 * time.Second):
		fmt.Fprintln(os.Stderr, "the case took too long")
		return exitNotRun
	case r := <-done:
		return report(record, r.broken, r.err)
	}
}

func report(record *recorder, broken []string, err error) int {
	if err != nil {
		record.add("not run:", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
	for _, text := range broken {
		record.add("BROKEN", text)
		fmt.Println("BROKEN", text)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	record.add("held")
	fmt.Println("held")
	return exitHeld
}

// waitFor polls a condition.
func waitFor(limit time.Duration, what string, condition func() bool) error {
	end := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(end) {
			return fmt.Errorf("%s: not within %v", what, limit)
		}
		time.Sleep(2 * time.Millisecond)
	}
	return nil
}
