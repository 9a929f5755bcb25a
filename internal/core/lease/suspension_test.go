package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/clock/clocktest"
	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/port/porttest"
)

// settle executes a machine's calls until it has none left for now.
func settle(t *testing.T, table *porttest.Table, machine *Machine, now time.Time) {
	t.Helper()
	for action := machine.Tick(now); action != nil; action = machine.Tick(now) {
		switch call := action.(type) {
		case Read:
			assert.NilError(t, machine.ReadDone(now, table.Read([]string{call.Key}), nil))
		case Commit:
			rows, committed := table.Commit(call.Transaction)
			if !committed {
				assert.NilError(t, machine.CommitDone(now, nil, &port.ConflictError{Current: rows}))
				continue
			}
			assert.NilError(t, machine.CommitDone(now, rows, nil))
		}
	}
}

// TestSuspendedHolderDoesNotAct suspends the machine of a holder until another daemon holds the
// lease and acts. With a clock that stops during suspension both would act.
func TestSuspendedHolderDoesNotAct(t *testing.T) {
	table := porttest.NewTable()
	settings := Settings{Key: testKey, Duration: testDuration, MaximumDrift: testDrift}
	settings.Holder, settings.Incarnation = "first", 1
	first := New(settings)
	settings.Holder, settings.Incarnation = "second", 2
	second := New(settings)
	for _, each := range []*Machine{first, second} {
		each.Want(true)
		each.SetActing(true)
	}
	suspended, other := clocktest.New(), clocktest.New()
	settle(t, table, first, suspended.Now())
	assert.Assert(t, first.Grant().MayActAt(suspended.Now()))
	for range 100 {
		settle(t, table, second, other.Now())
		suspended.Suspend(testDuration / 20)
		other.Pass(testDuration / 20)
	}
	assert.Assert(t, second.Grant().MayActAt(other.Now()))
	assert.Assert(t, first.Grant().MayActAt(suspended.Steady()), "a clock that stops during suspension must show the fault")
	assert.Assert(t, !first.Grant().MayActAt(suspended.Now()))
	settle(t, table, first, suspended.Now())
	assert.Assert(t, !first.Grant().MayActAt(suspended.Now()))
}
