// Package standin simulates the services around the router for demos and tests.
//
// A model engine, a plain service, the configuration service, the VM list and the
// weight store run as HTTP servers, in the test's process or in one of their own;
// faults are injected into them with POST /admin/fault. The platform's store and
// workers are simulated for tests only.
package standin

import (
	"github.com/cespare/xxhash/v2"
)

// vocabulary holds the tokens that an engine generates.
var vocabulary = [...]string{
	" the", " club", " seat", " child", " form", " is", " and", " of", " to", " chess", " dombra",
	" robot", " swim", " school", " term", " fee", " letter", " note", " office", " city", " parent",
	" brief", " brand", " order", " placement", " flight", " agency", " safe", " risk", " class",
	" evening", " cutoff",
}

// meanAnswerTokens is the mean number of tokens of an answer that max_tokens does not cut.
const meanAnswerTokens = 400

// Finish reasons of an answer.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// Generator generates the deterministic answer to a prompt. Each token depends
// on all text before it, so that the answer to a prompt followed by the first
// tokens of its answer is the rest of that answer, as with greedy decoding.
type Generator struct {
	digest *xxhash.Digest
}

// NewGenerator returns a generator that continues text.
func NewGenerator(text string) *Generator {
	d := xxhash.New()
	_, _ = d.WriteString(text)
	return &Generator{digest: d}
}

// Next returns the next token, or false at the end of the answer.
func (g *Generator) Next() (string, bool) {
	sum := g.digest.Sum64()
	if sum%meanAnswerTokens == 0 {
		return "", false
	}
	token := vocabulary[(sum>>32)%uint64(len(vocabulary))]
	_, _ = g.digest.WriteString(token)
	return token, true
}

// GenerateAnswer returns the complete answer to a prompt and its finish reason.
func GenerateAnswer(prompt string, maxTokens int) (tokens []string, finishReason string) {
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

func restoreGenerator(state []byte) (*Generator, error) {
	d := xxhash.New()
	if err := d.UnmarshalBinary(state); err != nil {
		return nil, err
	}
	return &Generator{digest: d}, nil
}
