// Package capacity measures on this machine what the parts of a daemon cost, and
// projects the costs to the target size. docs/CAPACITY.md explains the result.
package capacity

import (
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/lotusward/lotusward/internal/lab/capacity/projection"
)

// Units of slopes.
const (
	seconds        = "s"
	bytesUnit      = "B"
	bytesPerSecond = "B/s"
	perSecond      = "1/s"
	coreUnit       = "core"
)

// rounds is in how many parts a measurement is done; the middle one counts, since
// the machine also does other work.
const rounds = 5

// stopwatch measures operations for a limited time each.
type stopwatch struct{ limit time.Duration }

// each returns the processor time of one operation, in seconds, with that of the
// garbage collector.
func (s stopwatch) each(operation func()) float64 {
	operation()
	var results []float64
	for range rounds {
		results = append(results, s.round(operation))
	}
	slices.Sort(results)
	return results[rounds/2]
}

func (s stopwatch) round(operation func()) float64 {
	count := 0
	began, used := time.Now(), processorTime()
	for time.Since(began) < s.limit/rounds {
		operation()
		count++
	}
	return (processorTime() - used).Seconds() / float64(count)
}

// over makes a slope of operations on several sizes.
func (s stopwatch) over(of string, sizes []int, prepare func(size int) func()) projection.Slope {
	slope := projection.Slope{Unit: seconds, Of: of}
	for _, size := range sizes {
		value := s.each(prepare(size))
		slope.Points = append(slope.Points, projection.Point{Size: float64(size), Value: value})
	}
	return slope
}

// one makes a slope of an operation that does not depend on a size.
func (s stopwatch) one(operation func()) projection.Slope {
	return projection.Constant(seconds, s.each(operation))
}

// processorTime is what this process has used, user and system.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapOf returns the live heap that the value made by make takes, in bytes.
func heapOf[T any](make func() T) float64 {
	before := liveHeap()
	made := make()
	after := liveHeap()
	runtime.KeepAlive(made)
	return float64(after) - float64(before)
}

// heapOver makes a slope of the live heap of values of several sizes.
func heapOver[T any](of string, sizes []int, make func(size int) T) projection.Slope {
	slope := projection.Slope{Unit: bytesUnit, Of: of}
	for _, size := range sizes {
		value := heapOf(func() T { return make(size) })
		slope.Points = append(slope.Points, projection.Point{Size: float64(size), Value: value})
	}
	return slope
}

// liveHeap collects twice, so that what finalizers free is gone too.
func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return statistics.HeapAlloc
}

// heapAndStacks is the live heap and the stacks in use.
func heapAndStacks() uint64 {
	liveHeap()
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return statistics.HeapAlloc + statistics.StackInuse
}
