// Package hosting provides the runtime services that the processes of token-routed
// deployments share: HTTP servers, metrics, logging, the memory limit and reloading
// of the settings file.
package hosting

import (
	"context"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"github.com/beamdoor/beamdoor/internal/eventlog"
	"github.com/beamdoor/beamdoor/internal/hangup"
	"github.com/beamdoor/beamdoor/internal/steperror"
	"github.com/beamdoor/beamdoor/internal/strength"
)

const (
	readHeaderTimeout = 2 * time.Second
	idleTimeout       = 30 * time.Second
	// memoryLimitPercent is the percentage of the machine's memory limit that is set as
	// the soft limit of Go's garbage collector.
	memoryLimitPercent = 60
	// reloadInterval is the interval at which the settings file is read again.
	reloadInterval = time.Second
)

// Serve listens on an IPv4 address and serves HTTP in the background until the process
// ends. Header and idle timeouts close stalled connections.
func Serve(address string, handler http.Handler, opts ...ServeOption) error {
	var s serving
	for _, opt := range opts {
		opt(&s)
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return steperror.Wrap("hosting.listen", address, err)
	}
	server := &http.Server{Handler: s.pace.handler(handler), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	if s.connections != nil {
		listener = s.connections.bind(server, listener)
	}
	go func() { _ = server.Serve(s.pace.listener(listener)) }()
	return nil
}

// ServeMetrics serves metrics on an IP address at place, written as PORT/PATH; a place
// without a slash disables it. A failure to listen is logged and not returned.
func ServeMetrics(ip, place string, handler http.Handler, logger *eventlog.Logger, opts ...ServeOption) {
	port, path, found := strings.Cut(place, "/")
	if !found {
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /"+path, handler)
	if err := Serve(net.JoinHostPort(ip, port), mux, opts...); err != nil {
		logger.Event(eventlog.SocketFailed, "err", err)
	}
}

// OpenLog returns a non-blocking logger to standard output and a function that flushes
// and closes it.
func OpenLog(process string) (logger *eventlog.Logger, closeLog func()) {
	writer := eventlog.NewAsyncWriter(os.Stdout)
	return eventlog.New(writer, process), writer.Close
}

// LimitMemory derives the soft limit of Go's garbage collector from a memory limit in
// bytes; 0 sets none.
func LimitMemory(limit int64) {
	if limit > 0 {
		debug.SetMemoryLimit(limit * memoryLimitPercent / 100)
	}
}

// ReloadableSettings holds the settings that a running process can reload.
type ReloadableSettings struct {
	// Seeds are addresses of control members.
	Seeds    []string
	Strength strength.Resources
}

func (c ReloadableSettings) equal(other ReloadableSettings) bool {
	return slices.Equal(c.Seeds, other.Seeds) && c.Strength == other.Strength
}

// WatchReloadable reads the settings after each SIGHUP and periodically, and calls set
// when they differ from the current ones. When reading fails, the current ones stay.
func WatchReloadable(ctx context.Context, logger *eventlog.Logger, current ReloadableSettings, read func() (ReloadableSettings, error), set func(ReloadableSettings)) {
	WatchSettings(ctx, func() {
		next, err := read()
		if err != nil {
			logger.Sampled(eventlog.SettingsReloaded, "changed", false, "err", err)
			return
		}
		if next.equal(current) {
			return
		}
		current = next
		logger.Event(eventlog.SettingsReloaded, "changed", true, "seeds", strings.Join(next.Seeds, " "), "strength", next.Strength)
		LimitMemory(next.Strength.Memory)
		set(next)
	})
}

// WatchSettings calls reload after each SIGHUP and at every reloadInterval, until the
// context ends.
func WatchSettings(ctx context.Context, reload func()) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup.Signals:
		case <-ticker.C:
		}
		reload()
	}
}
