// Package hangup catches SIGHUP from the first moment of a process on. Until it is
// caught the signal ends a process, and the platform may send it to one that has
// just been started. The package imports nothing of the project, so that it is
// initialised before nearly everything else; what is left is the start of the
// language's runtime.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals receives each SIGHUP; several that nobody has read count as one.
var Signals = catch()

func catch() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}
