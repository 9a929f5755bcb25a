package presence

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/clock/clocktest"
)

// TestSuspendedHomeGrantsNoWholeLimit suspends the machine of a tenant's home while another
// daemon grants in its place: until it hears the others again it grants its own part alone. By a
// clock that stands still it would grant the whole rate at once, beside the other one.
func TestSuspendedHomeGrantsNoWholeLimit(t *testing.T) {
	const daemons = 8
	machine, list := clocktest.New(), New()
	for index := range daemons - 1 {
		list.Heard(fmt.Sprint("d", index), machine.Now())
	}
	assert.Equal(t, list.HomeShare(machine.Now(), daemons, nil), 1.0)
	machine.Suspend(5 * time.Second)
	assert.Equal(t, list.HomeShare(machine.Steady(), daemons, nil), 1.0)
	assert.Assert(t, list.HomeShare(machine.Now(), daemons, nil) <= 1.0/daemons/enoughPresent)
}
