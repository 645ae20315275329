// Package hosting provides what the processes of token-routed deployments
// share around their duties: HTTP servers, metrics, the log, the memory limit
// and the watch over the settings file.
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
	// memoryShare is the part of the memory limit, in percent, that the
	// collector may fill before it works harder.
	memoryShare = 60
	// reloadInterval is the time between two looks at the settings file.
	reloadInterval = time.Second
)

// Serve answers HTTP calls at an IPv4 address until the process ends. Callers
// that stall are dropped.
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

// ServeMetrics serves metrics at a place of an IP number, written as PORT/PATH;
// an empty place asks for none. A failure is logged and does not end the process.
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

// OpenLog returns a logger to standard output that never blocks, and the
// function that writes what is left.
func OpenLog(process string) (logger *eventlog.Logger, closeLog func()) {
	writer := eventlog.NewAsyncWriter(os.Stdout)
	return eventlog.New(writer, process), writer.Close
}

// LimitMemory tells the collector of the process's memory limit in bytes; 0
// means none.
func LimitMemory(limit int64) {
	if limit > 0 {
		debug.SetMemoryLimit(limit * memoryShare / 100)
	}
}

// ReloadableSettings is what may change in the settings of a process while it runs.
type ReloadableSettings struct {
	// Seeds are addresses of control members.
	Seeds    []string
	Strength strength.Resources
}

func (c ReloadableSettings) equal(other ReloadableSettings) bool {
	return slices.Equal(c.Seeds, other.Seeds) && c.Strength == other.Strength
}

// WatchReloadable reads what may change again after each SIGHUP, and now and then
// without one, and passes it on when it differs from what is current. Settings that
// cannot be read change nothing.
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

// WatchSettings calls reload after each SIGHUP, and now and then without one,
// until the context ends.
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
