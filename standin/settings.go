package standin

import (
	"context"
	"net/http"
	"os"

	"github.com/joomcode/errorx"

	"ebonypulley"
	"ebonypulley/jsonc"
)

// Kind names a stand-in.
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

// Settings of a stand-in process.
type Settings struct {
	Kind   Kind   `json:"kind"`
	Listen string `json:"listen"`
	// Engine is used by kind engine, Plain by kind plain.
	Engine EngineSettings `json:"engine"`
	Plain  PlainSettings  `json:"plain"`
	// Document is the file that kind config publishes at its start.
	Document string `json:"document"`
	// VMs are the names that kind vms lists as live, Lag how late it is.
	VMs []string       `json:"vms"`
	Lag jsonc.Duration `json:"lag"`
	// LoadTime is how long kind weights needs for a model.
	LoadTime jsonc.Duration `json:"load_time"`
}

// Handler is a stand-in: an HTTP interface and, for some, work beside it.
type Handler interface {
	http.Handler
}

// Runner is implemented by stand-ins that work beside their interface.
type Runner interface {
	Run(ctx context.Context) error
}

// New returns the stand-in that the settings describe.
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
		return newConfigFrom(set.Document)
	default:
		return nil, errorx.IllegalArgument.New("kind %q is none of %v", set.Kind, Kinds)
	}
}

func newConfigFrom(file string) (Handler, error) {
	if file == "" {
		return NewConfigService(nil), nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errorx.IllegalArgument.Wrap(err, "document")
	}
	return NewConfigService(text), nil
}
