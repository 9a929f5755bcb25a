package hollowwatch

import (
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/core/watch"
)

// backendsPerDaemon is the proportion of the target size, 2,800 to 340.
const backendsPerDaemon = 2800.0 / 340

func startFleet(t testing.TB, daemons int) *Fleet {
	t.Helper()
	fleet, err := NewFleet(Options{
		Daemons: daemons, Backends: int(backendsPerDaemon * float64(daemons)), Zones: 6, Loss: 0.05, Seed: 1,
		Pace: watch.Pace{Shortest: 500 * time.Millisecond, Longest: 2 * time.Second, PerSecond: 8},
	})
	assert.NilError(t, err)
	return fleet
}

// usage is what a phase cost per daemon and simulated second.
type usage struct {
	sent, received, polls, messages, worst, cpu float64
}

func (f *Fleet) measure(phase func()) usage {
	for _, counted := range f.daemons {
		counted.traffic = Traffic{}
	}
	begun, processor := f.now, processorTime()
	phase()
	seconds := f.now.Sub(begun).Seconds()
	each := seconds * float64(len(f.daemons))
	used := usage{cpu: (processorTime() - processor).Seconds() / each}
	for _, counted := range f.daemons {
		used.sent += float64(counted.traffic.SentBytes) / each
		used.received += float64(counted.traffic.ReceivedBytes) / each
		used.polls += float64(counted.traffic.Polls) / each
		used.messages += float64(counted.traffic.SentMessages) / each
		used.worst = max(used.worst, float64(counted.traffic.SentBytes+counted.traffic.ReceivedBytes)/seconds)
	}
	return used
}

func processorTime() time.Duration {
	var used syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &used) // it cannot fail on own usage
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

func (u usage) report(b *testing.B, phase string) {
	b.Logf("%-12s sent %6.0f B/s, received %6.0f B/s, busiest %6.0f B/s both ways, %5.2f messages/s, %5.2f polls/s, CPU %.4f%%",
		phase, u.sent, u.received, u.worst, u.messages, u.polls, 100*u.cpu)
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// spreadTimes changes back ends one after the other and returns, sorted, how long
// each change took to be known by 99 in 100 daemons, and by all.
func (f *Fleet) spreadTimes(count int, change func(*backend)) (most, all []time.Duration) {
	for number := range count {
		changed := f.backends[number*len(f.backends)/count]
		f.Run(time.Duration(f.random.Int64N(int64(2 * time.Second))))
		change(changed)
		start := f.now
		for f.informed(changed)*100 < len(f.daemons)*99 {
			f.advance()
		}
		most = append(most, f.now.Sub(start))
		f.awaitAgreement([]*backend{changed}, time.Minute)
		all = append(all, f.now.Sub(start))
	}
	slices.Sort(most)
	slices.Sort(all)
	return most, all
}

func reportTimes(b *testing.B, what string, most, all []time.Duration) {
	b.Logf("%-12s known by 99%% of daemons after: median %s, longest %s; by all: median %s, longest %s", what,
		most[len(most)/2], most[len(most)-1], all[len(all)/2], all[len(all)-1])
}

// badMinute crashes a whole zone's back ends within two seconds. Each is back
// after 10 to 30 seconds, and has its models 5 seconds later.
func (f *Fleet) badMinute() {
	end := f.now.Add(time.Minute)
	type life struct {
		backend           *backend
		down, back, ready time.Time
	}
	var lives []life
	for _, candidate := range f.backends {
		if candidate.zone != f.zone(0) {
			continue
		}
		down := f.now.Add(time.Duration(f.random.Int64N(int64(2 * time.Second))))
		back := down.Add(10*time.Second + time.Duration(f.random.Int64N(int64(20*time.Second))))
		lives = append(lives, life{candidate, down, back, back.Add(5 * time.Second)})
	}
	for f.now.Before(end) {
		f.advance()
		for _, next := range lives {
			switch {
			case passed(f.now, next.down):
				next.backend.up, next.backend.silent = false, false
			case passed(f.now, next.back):
				next.backend.restart(f.now)
			case passed(f.now, next.ready):
				next.backend.ready = true
			}
		}
	}
}

// passed tells whether a moment was in the last step.
func passed(now, moment time.Time) bool {
	return !moment.After(now) && moment.After(now.Add(-step))
}

// BenchmarkFleet measures the watching of back ends at growing sizes.
func BenchmarkFleet(b *testing.B) {
	for _, daemons := range []int{50, 100, 200, 340} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			before := heapBytes()
			fleet := startFleet(b, daemons)
			startup := fleet.measure(func() { fleet.Run(5 * time.Second) })
			b.Logf("all know all after %s more", fleet.awaitAgreement(fleet.backends, time.Minute))
			fleet.Run(20 * time.Second)
			memory := float64(heapBytes()-before) / float64(daemons)
			startup.report(b, "first 5 s")
			fleet.measure(func() { fleet.Run(30 * time.Second) }).report(b, "quiet")
			b.Logf("memory %.0f kB a daemon", memory/1000)

			const probes = 20
			most, all := fleet.spreadTimes(probes, func(changed *backend) { changed.up = false })
			reportTimes(b, "refusing", most, all)
			most, all = fleet.spreadTimes(probes, func(changed *backend) { changed.restart(fleet.now) })
			reportTimes(b, "returning", most, all)
			most, all = fleet.spreadTimes(probes, func(changed *backend) { changed.ready = true })
			reportTimes(b, "ready", most, all)
			most, all = fleet.spreadTimes(probes, func(changed *backend) { changed.up, changed.silent = false, true })
			reportTimes(b, "silent", most, all)
			fleet.spreadTimes(probes, func(changed *backend) { changed.restart(fleet.now); changed.ready = true })

			fleet.measure(fleet.badMinute).report(b, "bad minute")
			b.Logf("bad minute   all know all %s after it", fleet.awaitAgreement(fleet.backends, time.Minute))
			assert.Equal(b, fleet.network.failed, 0)
		})
	}
}
