package hollow

import (
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// Rates of what happens at the size that the project builds for, a day.
const (
	day             = 24 * time.Hour
	changesPerDay   = 6600
	restartsPerDay  = 1200
	failuresPerDay  = 17
	loadBytes       = 64
	loadInterval    = 2 * time.Second
	restartDuration = 3 * time.Second
)

// Cost is what the membership costs one daemon.
type Cost struct {
	SentBytes     float64 // a second, with IP and UDP headers
	ReceivedBytes float64
	SentMessages  float64 // a second
	// PeakBytes is the most that all daemons moved in one second, both ways, for
	// each daemon.
	PeakBytes float64
	// Core is the share of a core, with the simulation's own work and without
	// system calls.
	Core float64
	// FalseDeaths counts live daemons taken for dead.
	FalseDeaths int
}

// processorTime is what this process has used, user and system.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measure runs for a time, calling each second, and tells what it cost a daemon.
func (f *fleet) measure(length time.Duration, each func(second int)) Cost {
	size := float64(len(f.network.Hosts()))
	before, deathsBefore, usedBefore := f.traffic(), f.deaths, processorTime()
	peak, last := 0, before
	seconds := int(length / time.Second)
	for second := range seconds {
		each(second)
		f.network.Run(time.Second)
		now := f.traffic()
		peak = max(peak, now.SentBytes+now.ReceivedBytes-last.SentBytes-last.ReceivedBytes)
		last = now
	}
	span := size * length.Seconds()
	return Cost{
		SentBytes:     float64(last.SentBytes-before.SentBytes) / span,
		ReceivedBytes: float64(last.ReceivedBytes-before.ReceivedBytes) / span,
		SentMessages:  float64(last.SentMessages-before.SentMessages) / span,
		PeakBytes:     float64(peak) / size,
		Core:          (processorTime() - usedBefore).Seconds() / span,
		FalseDeaths:   f.deaths - deathsBefore,
	}
}

// idle measures a fleet in which nothing happens.
func (f *fleet) idle(length time.Duration) Cost {
	return f.measure(length, func(int) {})
}

// busy measures a fleet with an ordinary day's changes of configuration and load
// summaries, and with the restarts of a day sped up by a factor.
func (f *fleet) busy(length time.Duration, restartFactor float64) Cost {
	changeEvery := day / changesPerDay
	restartEvery := time.Duration(float64(day) / (restartsPerDay * restartFactor))
	var nextChange, nextRestart time.Duration
	return f.measure(length, func(second int) {
		at := time.Duration(second) * time.Second
		if at >= nextChange {
			nextChange += changeEvery
			f.change()
		}
		for at >= nextRestart {
			nextRestart += restartEvery
			f.restartOne()
		}
		f.returnRestarted()
		if at%loadInterval == 0 {
			f.reportLoads(uint64(second) + 1)
		}
	})
}

// change lets one daemon put the next configuration revision in force.
func (f *fleet) change() (*Host, identity.Revision) {
	var highest identity.Revision
	for _, host := range f.network.Hosts() {
		highest = max(highest, host.Node.HighestRevision())
	}
	teller := f.anyHost()
	teller.Node.SetRevision(highest + 1)
	return teller, highest + 1
}

// anyHost draws a running host that is not a seed, so that starts find a seed.
func (f *fleet) anyHost() *Host {
	hosts := f.network.Hosts()
	for {
		drawn := hosts[seedCount+f.network.random.IntN(len(hosts)-seedCount)]
		if drawn.Running {
			return drawn
		}
	}
}

// restartOne lets one daemon leave; returnRestarted starts it again.
func (f *fleet) restartOne() {
	host := f.anyHost()
	host.Perform(host.Node.Leave(f.network.now))
	host.returnAt = f.network.now.Add(restartDuration)
}

func (f *fleet) returnRestarted() {
	for _, host := range f.network.Hosts() {
		if !host.returnAt.IsZero() && !f.network.now.Before(host.returnAt) {
			host.returnAt = time.Time{}
			host.Restart()
		}
	}
}

// reportLoads sets a new load summary in each zone.
func (f *fleet) reportLoads(version uint64) {
	told := map[identity.Zone]bool{}
	for _, host := range f.network.Hosts() {
		if host.Running && !told[host.Zone] {
			told[host.Zone] = true
			host.Node.SetZoneLoad(uint64(f.network.now.UnixMilli())+version, make([]byte, loadBytes))
		}
	}
}

// heapInUse is the live heap after a collection, in bytes.
func heapInUse() uint64 {
	runtime.GC()
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return statistics.HeapAlloc
}

func (c Cost) columns() []string {
	return []string{
		fmt.Sprintf("%.1f", c.SentBytes/1000), fmt.Sprintf("%.1f", c.ReceivedBytes/1000),
		fmt.Sprintf("%.1f", (c.SentBytes+c.ReceivedBytes)/1000), fmt.Sprintf("%.1f", c.PeakBytes/1000),
		fmt.Sprintf("%.1f", c.SentMessages), fmt.Sprintf("%.3f", c.Core*100), fmt.Sprint(c.FalseDeaths),
	}
}
