package clock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// machine is a machine with its clocks. Its readings of the steady clock and the time of day
// come as one time.Time, as Go's do: what is added to one is added to both, so that steps are
// taken off a copy without the steady reading.
type machine struct {
	real      time.Duration
	suspended time.Duration
	stepped   time.Duration
}

// clockOf is a clock that reads a machine's. The two readings are given apart, since a
// time.Time whose readings disagree can't be made up.
func clockOf(m *machine) *testClock {
	return &testClock{machine: m, Clock: newClock(time.Now, func() (time.Duration, bool) { return m.suspended, true })}
}

type testClock struct {
	*Clock
	machine *machine
}

// judge does what Now does with the machine's readings.
func (c *testClock) judge() time.Duration {
	steady := c.machine.real - c.machine.suspended
	daytime := c.machine.real + c.machine.stepped
	c.notice(daytime - steady)
	return steady + time.Duration(c.counted.Load())
}

// TestSuspensionsCountAndStepsDoNot draws pauses, suspensions and steps of the time of day: the
// clock shows what has truly passed. Where a step hides a suspension, a check finds it.
func TestSuspensionsCountAndStepsDoNot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := &machine{}
		clock := clockOf(machine)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			span := time.Duration(rapid.IntRange(10, 30_000).Draw(t, "span")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				machine.real += span
			case 1:
				machine.real += span
				machine.suspended += span
			case 2:
				machine.stepped += span
			case 3:
				machine.stepped -= span
				if rapid.Bool().Draw(t, "hidden") {
					machine.real += span
					machine.suspended += span
					clock.Check()
				}
			}
			assert.Equal(t, clock.judge(), machine.real)
		}
	})
}

// TestSuspensionsAreTold tells each once, with its length.
func TestSuspensionsAreTold(t *testing.T) {
	machine := &machine{}
	clock := clockOf(machine)
	var told []time.Duration
	noticed := func(suspended time.Duration) { told = append(told, suspended) }
	clock.noticed.Store(&noticed)
	for range 2 {
		machine.real += 3 * time.Second
		machine.suspended += 3 * time.Second
		clock.judge()
		clock.judge()
	}
	assert.DeepEqual(t, told, []time.Duration{3 * time.Second, 3 * time.Second})
}

// TestClockOfTheProcessRuns reads the real one: without a suspension it goes with Go's.
func TestClockOfTheProcessRuns(t *testing.T) {
	assert.Assert(t, Readable())
	began, then := time.Now(), Now()
	time.Sleep(20 * time.Millisecond)
	difference := Since(then) - time.Since(began)
	assert.Assert(t, difference < time.Millisecond && difference > -20*time.Millisecond, "%v", difference)
	assert.Equal(t, Suspended(), time.Duration(0))
}

// BenchmarkNow takes 95 ns, BenchmarkSteady, Go's own clock, 63 ns, and BenchmarkSuspended,
// the two clocks of the system, 625 ns.
func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}

func BenchmarkSteady(b *testing.B) {
	for b.Loop() {
		_ = time.Now()
	}
}

func BenchmarkSuspended(b *testing.B) {
	for b.Loop() {
		readSuspended()
	}
}
