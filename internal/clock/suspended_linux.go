package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readTries is how often the clocks are read until two readings lie close together, and
	// closeReadings how close: a thread that is held up in between shows as suspended time.
	readTries     = 8
	closeReadings = 200 * time.Microsecond
)

// readSuspended is by how much the clock that counts suspensions is ahead of the steady one.
func readSuspended() (time.Duration, bool) {
	least := time.Duration(1<<63 - 1)
	var best time.Duration
	for range readTries {
		before, ok := read(unix.CLOCK_MONOTONIC)
		whole, wholeOK := read(unix.CLOCK_BOOTTIME)
		after, afterOK := read(unix.CLOCK_MONOTONIC)
		if !ok || !wholeOK || !afterOK {
			return 0, false
		}
		if after-before < least {
			least, best = after-before, whole-before
		}
		if least <= closeReadings {
			break
		}
	}
	return best, true
}

func read(clock int32) (time.Duration, bool) {
	var now unix.Timespec
	err := unix.ClockGettime(clock, &now)
	return time.Duration(now.Nano()), err == nil
}
