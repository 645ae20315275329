// Package hangup handles SIGHUP from process initialization on. By default the signal
// terminates a process, and the platform may send it to one that has just started. The
// package imports no other package of this module, so that it is initialized early;
// a signal during startup of the Go runtime still terminates the process.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals receives SIGHUP. It buffers one signal; further ones are dropped until it
// is read.
var Signals = catch()

func catch() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}
