// Package machine tells what the machine that a measurement runs on is doing.
// Figures of a busy machine are worth little without it.
package machine

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// LoadAverage returns the load averages of 1, 5 and 15 minutes, or "unknown".
func LoadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	const averages = 3
	return strings.Join(strings.Fields(string(text))[:averages], " ")
}

// CPUStall returns the time since the start of the machine in which some task
// that could run had to wait for a processor (Linux pressure stall information).
// It is zero where the machine does not tell.
func CPUStall() time.Duration {
	text, err := os.ReadFile("/proc/pressure/cpu")
	if err != nil {
		return 0
	}
	_, total, found := strings.Cut(strings.SplitN(string(text), "\n", 2)[0], "total=")
	if !found {
		return 0
	}
	var microseconds int64
	if _, err := fmt.Sscan(total, &microseconds); err != nil {
		return 0
	}
	return time.Duration(microseconds) * time.Microsecond
}

// Scheduling is what the threads of a process got from the machine.
type Scheduling struct {
	// Ran is processor time; Waited is time in which a thread could run and had no
	// processor.
	Ran, Waited time.Duration
}

// SchedulingOf sums the threads of a process up (Linux schedstat). Threads that
// have ended are not in it.
func SchedulingOf(processID int) (Scheduling, error) {
	directory := fmt.Sprintf("/proc/%d/task", processID)
	threads, err := os.ReadDir(directory)
	if err != nil {
		return Scheduling{}, err
	}
	var sum Scheduling
	for _, thread := range threads {
		text, err := os.ReadFile(directory + "/" + thread.Name() + "/schedstat")
		if err != nil {
			continue // the thread has just ended
		}
		var ran, waited int64
		if _, err := fmt.Sscan(string(text), &ran, &waited); err != nil {
			return Scheduling{}, fmt.Errorf("schedstat of thread %s: %w", thread.Name(), err)
		}
		sum.Ran += time.Duration(ran)
		sum.Waited += time.Duration(waited)
	}
	return sum, nil
}
