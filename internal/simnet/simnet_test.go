package simnet_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ebonypulley/internal/simnet"
)

// TestSuccessorListensAtOnce: a process ends when its listener is closed, and its successor finds
// the address in use.
func TestSuccessorListensAtOnce(t *testing.T) {
	const successors = 20000
	n := simnet.New()
	done := make(chan struct{})
	defer close(done)
	for range 4 { // others use the network meanwhile
		go func() {
			for {
				select {
				case <-done:
					return
				default:
					n.Carried("another")
				}
			}
		}()
	}
	for range successors {
		ln, err := n.Listen("process", "process:1")
		require.NoError(t, err)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_, _ = ln.Accept() // it returns when the listener is closed
		}()
		go func() { _ = ln.Close() }()
		<-ended
	}
}
