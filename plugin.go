package ebonypulley

import (
	"sort"
	"strings"
	"sync"

	"github.com/joomcode/errorx"
)

// PluginID names a plug-in as "<kind>.<name>", for example "scorer.load".
type PluginID string

// Kind returns the part before the first dot.
func (id PluginID) Kind() string {
	kind, _, _ := strings.Cut(string(id), ".")
	return kind
}

// Plugin is a component that the configuration document selects by its ID. The package
// that uses plug-ins of a kind defines the interface that they must also satisfy.
type Plugin interface {
	// PluginInfo describes the plug-in; it must not depend on the receiver.
	PluginInfo() PluginInfo
}

// PluginInfo describes a plug-in in the registry.
type PluginInfo struct {
	// ID is unique in the process.
	ID PluginID
	// New returns an instance that is not provisioned yet.
	New func() Plugin
}

// Provisioner is implemented by plug-ins that prepare state before use.
type Provisioner interface {
	Provision() error
}

// Validator is implemented by plug-ins that validate their state before use. Validate
// runs after Provision.
type Validator interface {
	Validate() error
}

var (
	pluginErrors = errorx.NewNamespace("plugin")
	// ErrUnknownPlugin is returned for an ID that is not registered.
	ErrUnknownPlugin = pluginErrors.NewType("unknown")
	// ErrPluginSetup is returned when Provision or Validate fails.
	ErrPluginSetup = pluginErrors.NewType("refused")

	registryMu sync.RWMutex
	registry   = make(map[PluginID]PluginInfo)
)

// RegisterPlugin adds a plug-in to the registry; plug-ins call it from init. It panics
// on a malformed or duplicate ID, because that is a programming error.
func RegisterPlugin(p Plugin) {
	info := p.PluginInfo()
	if info.ID.Kind() == string(info.ID) || info.New == nil {
		panic("plugin: ID without a kind, or no constructor: " + string(info.ID))
	}
	registryMu.Lock()
	defer registryMu.Unlock()
	if _, dup := registry[info.ID]; dup {
		panic("plugin: duplicate ID: " + string(info.ID))
	}
	registry[info.ID] = info
}

// NewPlugin returns a provisioned and validated instance of the plug-in.
func NewPlugin(id PluginID) (Plugin, error) {
	registryMu.RLock()
	info, ok := registry[id]
	registryMu.RUnlock()
	if !ok {
		return nil, ErrUnknownPlugin.New("unknown plug-in %q; known plug-ins: %s", id, joinIDs(Plugins(id.Kind())))
	}
	p := info.New()
	if pr, ok := p.(Provisioner); ok {
		if err := pr.Provision(); err != nil {
			return nil, ErrPluginSetup.Wrap(err, "provision %s", id)
		}
	}
	if v, ok := p.(Validator); ok {
		if err := v.Validate(); err != nil {
			return nil, ErrPluginSetup.Wrap(err, "validate %s", id)
		}
	}
	return p, nil
}

// Plugins returns the registered IDs of a kind in order; an empty kind means all.
func Plugins(kind string) []PluginID {
	registryMu.RLock()
	defer registryMu.RUnlock()
	var ids []PluginID
	for id := range registry {
		if kind == "" || id.Kind() == kind {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

func joinIDs(ids []PluginID) string {
	names := make([]string, len(ids))
	for i, id := range ids {
		names[i] = string(id)
	}
	return strings.Join(names, ", ")
}
