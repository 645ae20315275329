// Package kernel provides the base of every deterministic core in the
// project: time as a value, and a registry in which plug-ins register
// themselves under a dotted identifier. A core does no input or output, reads
// no clock and starts no goroutine, so that a process and the simulator can
// run the very same code.
package kernel

import (
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/beamdoor/beamdoor/internal/steperror"
)

// Instant is a point on the monotonic clock of one process, in nanoseconds
// since an arbitrary start. Instants of two processes do not compare.
type Instant int64

// Add returns the instant a duration later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from other to i.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// Before reports whether i lies before other.
func (i Instant) Before(other Instant) bool { return i < other }

// PluginID is a dotted identifier such as "route.scheme.owner". The part
// before the last dot is the namespace.
type PluginID string

// Namespace returns the identifier without its last part.
func (id PluginID) Namespace() string {
	last := strings.LastIndexByte(string(id), '.')
	if last < 0 {
		return ""
	}
	return string(id[:last])
}

// Plugin is what every plug-in has in common.
type Plugin interface {
	// PluginID returns the identifier under which the plug-in is registered.
	PluginID() PluginID
}

// Validator is a plug-in that checks its own settings before use.
type Validator interface {
	// Validate returns an error that names the wrong setting.
	Validate() error
}

// Cleaner is a plug-in that releases what it holds when its core stops.
type Cleaner interface {
	// Cleanup is called once, after the last event.
	Cleanup()
}

// Constructor makes a fresh plug-in.
type Constructor func() Plugin

var (
	registryMutex sync.RWMutex
	registry      = map[PluginID]Constructor{}
)

// Register adds a plug-in to the registry. It is called from init functions
// and panics on an empty or repeated identifier, which is a programming error.
func Register(constructor Constructor) {
	id := constructor().PluginID()
	registryMutex.Lock()
	defer registryMutex.Unlock()
	if id == "" {
		panic("kernel: plug-in without an identifier")
	}
	if _, exists := registry[id]; exists {
		panic("kernel: plug-in registered twice: " + string(id))
	}
	registry[id] = constructor
}

// New makes and validates the plug-in with the given identifier.
func New(id PluginID) (Plugin, error) {
	registryMutex.RLock()
	constructor, exists := registry[id]
	registryMutex.RUnlock()
	if !exists {
		known := strings.Join(Names(id.Namespace()), ", ")
		return nil, steperror.New("kernel.new", "", "no plug-in named "+string(id)+"; known: "+known)
	}
	plugin := constructor()
	if validator, ok := plugin.(Validator); ok {
		if err := validator.Validate(); err != nil {
			return nil, steperror.Wrap("kernel.validate "+string(id), "", err)
		}
	}
	return plugin, nil
}

// Names returns the identifiers registered in a namespace, in order.
func Names(namespace string) []string {
	registryMutex.RLock()
	defer registryMutex.RUnlock()
	var names []string
	for id := range registry {
		if id.Namespace() == namespace {
			names = append(names, string(id))
		}
	}
	sort.Strings(names)
	return names
}
