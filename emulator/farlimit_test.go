package emulator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestEndpointsFarBelowTheirLimit: endpoints advertise a limit that is four times what they
// get. Nobody may be refused because entries learn late of each other's requests.
func TestEndpointsFarBelowTheirLimit(t *testing.T) {
	t.Parallel()
	runLimitTest(t, 9, 1, func(d *limitTest) {
		const perEndpoint = 20
		d.setLimit(4*perEndpoint, "p00", "p01", "p02")
		d.sendLoad(3*perEndpoint, 8*time.Second)
		d.wg.Wait()
		assert.Zero(t, d.refused, "of %d calls", d.refused+d.served)
	})
}
