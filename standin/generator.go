// Package standin holds small stand-ins for what the platform provides: model
// engines, a plain service, the configuration service, the VM list and the
// weight store. They speak the interfaces that the router expects and take
// faults by POST /admin/fault.
package standin

import (
	"github.com/cespare/xxhash/v2"
)

// words are the tokens that the engine yields.
var words = [...]string{
	" the", " club", " seat", " child", " form", " is", " and", " of", " to", " chess", " dombra",
	" robot", " swim", " school", " term", " fee", " letter", " note", " office", " city", " parent",
	" brief", " brand", " order", " placement", " flight", " agency", " safe", " risk", " class",
	" evening", " cutoff",
}

// endEvery is the mean number of tokens before an answer ends by itself.
const endEvery = 400

// Finish reasons of an answer.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// Generator yields the deterministic answer to a prompt. Each token depends
// on all text before it, so the answer to prompt+delivered tokens is the rest
// of the answer to the prompt, as with an engine that decodes greedily.
type Generator struct {
	digest *xxhash.Digest
}

// NewGenerator returns the generator behind a text.
func NewGenerator(text string) *Generator {
	d := xxhash.New()
	_, _ = d.WriteString(text)
	return &Generator{digest: d}
}

// Next returns the next token, or false at the answer's own end.
func (g *Generator) Next() (string, bool) {
	sum := g.digest.Sum64()
	if sum%endEvery == 0 {
		return "", false
	}
	token := words[(sum>>32)%uint64(len(words))]
	_, _ = g.digest.WriteString(token)
	return token, true
}

// Answer returns the whole answer to a prompt and its finish reason.
func Answer(prompt string, maxTokens int) (tokens []string, why string) {
	g := NewGenerator(prompt)
	for len(tokens) < maxTokens {
		t, ok := g.Next()
		if !ok {
			return tokens, FinishStop
		}
		tokens = append(tokens, t)
	}
	return tokens, FinishLength
}

func (g *Generator) state() ([]byte, error) { return g.digest.MarshalBinary() }

func generatorFrom(state []byte) (*Generator, error) {
	d := xxhash.New()
	if err := d.UnmarshalBinary(state); err != nil {
		return nil, err
	}
	return &Generator{digest: d}, nil
}
