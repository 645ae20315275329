// Package kernel provides the basis of the deterministic cores: time values and a
// registry of plug-ins with dotted identifiers. A core performs no I/O, reads no clock
// and starts no goroutine, so that processes and the simulator run the same code.
package kernel

import (
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/beamdoor/beamdoor/internal/steperror"
)

// Instant is a point on the monotonic clock of one process, in nanoseconds since an
// arbitrary start. Instants of different processes are not comparable.
type Instant int64

// Add returns the instant i+d.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from other to i.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// Before reports whether i is before other.
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

// Plugin is the common interface of all plug-ins.
type Plugin interface {
	// PluginID returns the identifier under which the plug-in is registered.
	PluginID() PluginID
}

// Validator is a plug-in that checks its own settings before use.
type Validator interface {
	// Validate returns an error that names the invalid setting.
	Validate() error
}

// Cleaner is a plug-in that releases resources when its core stops.
type Cleaner interface {
	// Cleanup is called once, after the last event.
	Cleanup()
}

// Constructor returns a new plug-in.
type Constructor func() Plugin

var (
	registryMutex sync.RWMutex
	registry      = map[PluginID]Constructor{}
)

// Register adds a plug-in to the registry. It is called from init functions and panics on
// an empty or duplicate identifier.
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

// New creates and validates the plug-in with the given identifier.
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

// Names returns the sorted identifiers of the plug-ins in a namespace.
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
