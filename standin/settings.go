package standin

import (
	"context"
	"net/http"
	"os"

	"github.com/joomcode/errorx"

	"ebonypulley"
	"ebonypulley/jsonc"
)

// Kind is the kind of a stand-in.
type Kind string

// Kinds of stand-ins.
const (
	KindEngine  Kind = "engine"
	KindPlain   Kind = "plain"
	KindConfig  Kind = "config"
	KindVMs     Kind = "vms"
	KindWeights Kind = "weights"
)

// Kinds lists all kinds.
var Kinds = []Kind{KindEngine, KindPlain, KindConfig, KindVMs, KindWeights}

// Valid reports whether k is one of Kinds.
func (k Kind) Valid() bool {
	for _, known := range Kinds {
		if k == known {
			return true
		}
	}
	return false
}

// Settings are the settings of a stand-in process.
type Settings struct {
	Kind   Kind   `json:"kind"`
	Listen string `json:"listen"`
	// Engine configures kind engine, Plain kind plain.
	Engine EngineSettings `json:"engine"`
	Plain  PlainSettings  `json:"plain"`
	// Document is the file whose text kind config publishes at its start.
	Document string `json:"document"`
	// VMs are the names that kind vms lists as live at its start; Lag is the delay
	// until a change is visible.
	VMs []string       `json:"vms"`
	Lag jsonc.Duration `json:"lag"`
	// LoadTime is the time that kind weights takes to serve a model.
	LoadTime jsonc.Duration `json:"load_time"`
}

// Handler is a stand-in's HTTP interface. Stand-ins with background work are also
// a Runner.
type Handler interface {
	http.Handler
}

// Runner is implemented by stand-ins with background work; Run runs it until ctx
// ends.
type Runner interface {
	Run(ctx context.Context) error
}

// New returns the stand-in that set describes. Engines connect to other stand-ins
// with dial; nil means TCP.
func New(set Settings, dial ebonypulley.Dialer) (Handler, error) {
	switch set.Kind {
	case KindEngine:
		return NewEngine(set.Engine, dial), nil
	case KindPlain:
		return NewPlainService(set.Plain), nil
	case KindVMs:
		return NewVMList(set.VMs, set.Lag), nil
	case KindWeights:
		return NewWeightStore(set.LoadTime), nil
	case KindConfig:
		return newConfigServiceFromFile(set.Document)
	default:
		return nil, errorx.IllegalArgument.New("kind %q is none of %v", set.Kind, Kinds)
	}
}

func newConfigServiceFromFile(file string) (Handler, error) {
	if file == "" {
		return NewConfigService(nil), nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errorx.IllegalArgument.Wrap(err, "document")
	}
	return NewConfigService(text), nil
}
