package simnet_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ebonypulley/internal/simnet"
)

// TestAddressIsFreeAfterClose: a process exits when Accept reports that its
// listener is closed. Its successor must then be able to listen on the address;
// a Close that freed it later would fail the successor with "in use".
func TestAddressIsFreeAfterClose(t *testing.T) {
	const successors = 20000
	n := simnet.New()
	done := make(chan struct{})
	defer close(done)
	for range 4 { // contend for the network's mutex
		go func() {
			for {
				select {
				case <-done:
					return
				default:
					n.BytesReceived("another")
				}
			}
		}()
	}
	for range successors {
		ln, err := n.Listen("process", "process:1")
		require.NoError(t, err)
		exited := make(chan struct{})
		go func() {
			defer close(exited)
			_, _ = ln.Accept() // returns when the listener is closed
		}()
		go func() { _ = ln.Close() }()
		<-exited
	}
}
