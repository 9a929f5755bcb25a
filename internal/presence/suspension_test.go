package presence

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/clock/clocktest"
)

// TestResumedHomeGrantsOnlyOwnShare guards against granting a rate twice after the machine of a tenant's home was
// suspended and another daemon granted in its place. The home must grant only its own share until it hears the
// others again. With a clock that stops during the suspension, it would grant the whole rate at once.
func TestResumedHomeGrantsOnlyOwnShare(t *testing.T) {
	const daemons = 8
	machine, list := clocktest.New(), New()
	for index := range daemons - 1 {
		list.Heard(fmt.Sprint("d", index), machine.Now())
	}
	assert.Equal(t, list.HomeShare(machine.Now(), daemons, nil), 1.0)
	machine.Suspend(5 * time.Second)
	assert.Equal(t, list.HomeShare(machine.Steady(), daemons, nil), 1.0)
	assert.Assert(t, list.HomeShare(machine.Now(), daemons, nil) <= 1.0/daemons/fullRateShare)
}
